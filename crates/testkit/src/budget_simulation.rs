//! Nine simulated hours of requests, payments, partitions, an outage and deaths against one way of sharing budgets.

use std::collections::BTreeSet;
use std::time::Duration;

use coltsfootpick_core::units::Instant;
use rand_chacha::ChaCha12Rng;
use rand_core::{Rng, SeedableRng};

use crate::budget_schemes::{Answer, Ask, Scheme};

/// Instances, two in each of three regions.
pub const NODES: usize = 6;

/// Client accounts.
pub const ACCOUNTS: usize = 12;

const REGIONS: usize = 3;
const TICK: Duration = Duration::from_millis(250);
const TICKS_A_SECOND: u64 = 4;
const HOUR_TICKS: u64 = 3_600 * TICKS_A_SECOND;
const HOURS: u64 = 9;
const OUTAGE_HOUR: u64 = 7;
const PATIENCE_TICKS: u64 = 2 * TICKS_A_SECOND;
const CLOSE_TICKS: u64 = 30 * TICKS_A_SECOND;
const DEATH_TICKS: u64 = 2 * HOUR_TICKS;
const FORWARD_TICKS: u64 = PATIENCE_TICKS / 2;
const TOP_UP_TICKS: u64 = HOUR_TICKS / 2;
const ROUNDS_AN_HOUR: u64 = HOUR_TICKS / TOP_UP_TICKS;
const REQUESTS_A_TICK: u64 = 4;
const HOME_PERCENT: u64 = 80;
const BOUND_MIN: u64 = 300;
const BOUND_SPAN: u64 = 1_700;
const RUN_MIN_TICKS: u64 = 4;
const RUN_SPAN_TICKS: u64 = 36;
const TOP_UP_MIN_PERCENT: u64 = 85;
const TOP_UP_SPAN_PERCENT: u64 = 50;
const PERCENT: u64 = 100;

/// Faults of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Faults {
    /// Nothing fails.
    None,
    /// Each region loses the log for an hour in turn, the log is down for an hour, and an instance dies each second
    /// hour, at the start of a partition or of the outage.
    All,
}

/// Load and faults of one run.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Faults.
    pub faults: Faults,
    /// Hours for which the first payments last.
    pub stock: u64,
    /// Whether a request that waits goes on to the other instance of its region.
    pub forward: bool,
}

/// What one run came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Report {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests refused while the whole budget still covered them.
    pub false_refusals: u64,
    /// Tokens used beyond everything paid in.
    pub overspend: u64,
    /// Tokens billed beyond what engines used.
    pub overbilled: u64,
    /// Tokens used that were never billed, by requests open or unbilled at a death or at the end.
    pub unbilled: u64,
    /// Tokens used.
    pub used: u64,
    /// Records appended.
    pub appends: u64,
    /// Deaths that were closed.
    pub deaths: u64,
    /// Tokens put in doubt by all deaths.
    pub doubt: u64,
    /// Tokens paid in.
    pub paid: u64,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    ask: Ask,
    used: u64,
    until: u64,
    forwarded: bool,
}

struct Run<'a> {
    scheme: &'a mut dyn Scheme,
    random: ChaCha12Rng,
    load: Load,
    tick: u64,
    waiting: Vec<Job>,
    running: Vec<Job>,
    paid: Vec<u64>,
    used: Vec<u64>,
    reserved: Vec<u64>,
    unclosed: BTreeSet<(u64, usize)>,
    report: Report,
}

/// Runs `scheme` through the load that `seed` gives; the load is the same for each scheme.
pub fn run(scheme: &mut dyn Scheme, load: Load, seed: u64) -> Report {
    let mut run = Run {
        scheme,
        random: ChaCha12Rng::seed_from_u64(seed),
        load,
        tick: 0,
        waiting: Vec::new(),
        running: Vec::new(),
        paid: vec![0; ACCOUNTS],
        used: vec![0; ACCOUNTS],
        reserved: vec![0; ACCOUNTS],
        unclosed: BTreeSet::new(),
        report: Report::default(),
    };
    while run.tick < HOURS * HOUR_TICKS {
        run.step();
    }
    run.finish()
}

impl Run<'_> {
    fn step(&mut self) {
        let reach: Vec<bool> = (0..NODES).map(|node| self.reaches(node)).collect();
        self.pay();
        self.kill(&reach);
        self.arrive();
        self.reserve();
        self.settle();
        self.scheme.tick(self.now(), &reach);
        self.tick += 1;
    }

    fn now(&self) -> Instant {
        Instant(TICK * u32::try_from(self.tick).expect("a few hours of ticks"))
    }

    /// Regions lose the log in hours 1, 3 and 5; the log is down for everyone in hour 7.
    fn reaches(&self, node: usize) -> bool {
        match (self.load.faults, self.tick / HOUR_TICKS) {
            (Faults::All, hour @ (1 | 3 | 5)) => node as u64 % REGIONS as u64 != hour / 2,
            (Faults::All, OUTAGE_HOUR) => false,
            _ => true,
        }
    }

    /// Payments come as needed for half an hour; none can be made while the log is down.
    fn pay(&mut self) {
        let due = self.tick.is_multiple_of(TOP_UP_TICKS);
        if !due {
            return;
        }
        let is_down = self.load.faults == Faults::All && self.tick / HOUR_TICKS == OUTAGE_HOUR;
        for account in 0..ACCOUNTS {
            let percent = TOP_UP_MIN_PERCENT + self.draw(TOP_UP_SPAN_PERCENT);
            let tokens = expected_use(account) * percent / PERCENT;
            if !is_down {
                let rounds = if self.tick == 0 { self.load.stock * ROUNDS_AN_HOUR } else { 1 };
                self.paid[account] += tokens * rounds;
                self.scheme.top_up(account, tokens * rounds);
            }
        }
    }

    fn kill(&mut self, reach: &[bool]) {
        if self.load.faults == Faults::All && self.tick % DEATH_TICKS == DEATH_TICKS / 2 {
            let node = usize::try_from(self.draw(NODES as u64)).expect("a node");
            let (lost, kept) = self.running.iter().partition(|job| job.ask.node == node);
            self.running = kept;
            let lost: Vec<Job> = lost;
            for job in lost {
                self.used[job.ask.account] += job.used;
                self.reserved[job.ask.account] -= job.ask.bound;
            }
            self.waiting.retain(|job| job.ask.node != node);
            self.scheme.die(node);
            self.unclosed.insert((self.tick + CLOSE_TICKS, node));
        }
        let due: Vec<(u64, usize)> = self.unclosed.iter().filter(|(at, _)| *at <= self.tick).copied().collect();
        for (at, node) in due {
            if self.scheme.close(node, reach) {
                self.unclosed.remove(&(at, node));
            }
        }
    }

    fn arrive(&mut self) {
        for _ in 0..REQUESTS_A_TICK {
            let account = self.draw_account();
            let home = self.draw(PERCENT) < HOME_PERCENT;
            let region = if home { account % REGIONS } else { self.draw_index(REGIONS) };
            let node = region + REGIONS * self.draw_index(NODES / REGIONS);
            let bound = BOUND_MIN + self.draw(BOUND_SPAN);
            let used = bound * (20 + self.draw(70)) / PERCENT;
            let ask = Ask { ticket: self.report.requests, node, account, bound };
            self.report.requests += 1;
            self.waiting.push(Job { ask, used, until: self.tick + PATIENCE_TICKS, forwarded: false });
        }
    }

    fn reserve(&mut self) {
        for job in std::mem::take(&mut self.waiting) {
            let job = self.forward(job);
            match self.scheme.reserve(&job.ask) {
                Answer::Reserved => {
                    self.reserved[job.ask.account] += job.ask.bound;
                    let until = self.tick + RUN_MIN_TICKS + job.ask.ticket % RUN_SPAN_TICKS;
                    self.running.push(Job { until, ..job });
                }
                Answer::Waiting if self.tick < job.until => self.waiting.push(job),
                Answer::Waiting => {
                    self.scheme.give_up(&job.ask);
                    self.refuse(&job);
                }
                Answer::Refused if self.load.forward && !job.forwarded => {
                    let due = Job { until: self.tick + FORWARD_TICKS, ..job };
                    let moved = self.forward(due);
                    self.waiting.push(moved);
                }
                Answer::Refused => self.refuse(&job),
            }
        }
    }

    /// Hands a request that waits to the other instance of its region, once.
    fn forward(&mut self, job: Job) -> Job {
        if !self.load.forward || job.forwarded || self.tick + FORWARD_TICKS < job.until {
            return job;
        }
        self.scheme.give_up(&job.ask);
        let node = (job.ask.node + REGIONS) % NODES;
        Job { ask: Ask { node, ..job.ask }, forwarded: true, ..job }
    }

    fn refuse(&mut self, job: &Job) {
        let account = job.ask.account;
        let taken = self.used[account] + self.reserved[account] + job.ask.bound;
        self.report.refused += 1;
        self.report.false_refusals += u64::from(taken <= self.paid[account]);
    }

    fn settle(&mut self) {
        let (done, running) = std::mem::take(&mut self.running).into_iter().partition(|job| job.until <= self.tick);
        self.running = running;
        let done: Vec<Job> = done;
        for job in done {
            self.used[job.ask.account] += job.used;
            self.reserved[job.ask.account] -= job.ask.bound;
            self.scheme.settle(&job.ask, job.used, self.now());
        }
    }

    fn finish(mut self) -> Report {
        let beyond = self.used.iter().zip(&self.paid).map(|(used, paid)| used.saturating_sub(*paid));
        self.report.overspend = beyond.sum();
        self.report.overbilled = self.scheme.billed().saturating_sub(self.used.iter().sum());
        self.report.used = self.used.iter().sum();
        self.report.unbilled = self.report.used.saturating_sub(self.scheme.billed());
        self.report.appends = self.scheme.appends();
        self.report.deaths = self.scheme.doubts().len() as u64;
        self.report.doubt = self.scheme.doubts().iter().sum();
        self.report.paid = self.paid.iter().sum();
        self.report
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random.next_u64() % below
    }

    fn draw_index(&mut self, below: usize) -> usize {
        usize::try_from(self.draw(below as u64)).expect("an index")
    }

    fn draw_account(&mut self) -> usize {
        let mut left = self.draw(weights().sum());
        for (account, weight) in weights().enumerate() {
            match left.checked_sub(weight) {
                None => return account,
                Some(rest) => left = rest,
            }
        }
        ACCOUNTS - 1
    }
}

/// A few accounts are large, the others small.
fn weights() -> impl Iterator<Item = u64> {
    (1..=ACCOUNTS as u64).map(|rank| 1_000 / rank)
}

/// Tokens that `account` uses between two payments.
fn expected_use(account: usize) -> u64 {
    let mean = (BOUND_MIN + BOUND_SPAN / 2) * 55 / PERCENT;
    let weight = weights().nth(account).unwrap_or_default();
    REQUESTS_A_TICK * TOP_UP_TICKS * mean * weight / weights().sum::<u64>()
}
