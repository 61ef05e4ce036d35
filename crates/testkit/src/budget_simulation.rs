//! Simulation of nine hours of requests, payments, partitions, a log outage and crashes with one budget scheme.

use std::collections::BTreeSet;
use std::time::Duration;

use coltsfootpick_core::units::Instant;
use rand_chacha::ChaCha12Rng;
use rand_core::{Rng, SeedableRng};

use crate::budget_schemes::{BudgetScheme, CreditDecision, CreditRequest};

/// Number of instances: two in each of three regions.
pub const INSTANCES: usize = 6;

/// Number of client accounts.
pub const ACCOUNTS: usize = 12;

const REGIONS: usize = 3;
const TICK: Duration = Duration::from_millis(250);
const TICKS_PER_SECOND: u64 = 4;
const HOUR_TICKS: u64 = 3_600 * TICKS_PER_SECOND;
const HOURS: u64 = 9;
const OUTAGE_HOUR: u64 = 7;
const TIMEOUT_TICKS: u64 = 2 * TICKS_PER_SECOND;
const CLOSE_DELAY_TICKS: u64 = 30 * TICKS_PER_SECOND;
const CRASH_INTERVAL_TICKS: u64 = 2 * HOUR_TICKS;
/// Time before its deadline at which a waiting request is forwarded.
const FORWARD_BEFORE_TICKS: u64 = TIMEOUT_TICKS / 2;
const TOP_UP_INTERVAL_TICKS: u64 = HOUR_TICKS / 2;
const TOP_UPS_PER_HOUR: u64 = HOUR_TICKS / TOP_UP_INTERVAL_TICKS;
const REQUESTS_PER_TICK: u64 = 4;
const HOME_REGION_PERCENT: u64 = 80;
const BOUND_MIN_TOKENS: u64 = 300;
const BOUND_RANGE_TOKENS: u64 = 1_700;
const RUN_MIN_TICKS: u64 = 4;
const RUN_RANGE_TICKS: u64 = 36;
const TOP_UP_MIN_PERCENT: u64 = 85;
const TOP_UP_RANGE_PERCENT: u64 = 50;
const PERCENT: u64 = 100;

/// Fault schedule of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultSchedule {
    /// No faults.
    None,
    /// Each region in turn is cut off from the log for an hour, then the log is down for an hour. Whenever one of these
    /// faults starts, an instance crashes.
    All,
}

/// Faults, payments and forwarding of one run.
#[derive(Clone, Copy, Debug)]
pub struct BudgetScenario {
    /// Fault schedule.
    pub faults: FaultSchedule,
    /// Hours of use that the first payments cover.
    pub stock_hours: u64,
    /// Whether a request that gets no credit is forwarded once to the other instance of its region.
    pub forward: bool,
}

/// Results of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct BudgetReport {
    /// Requests that arrived.
    pub requests: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests refused although the unused part of the whole budget covered them.
    pub false_refusals: u64,
    /// Tokens used beyond what was paid in.
    pub overspend: u64,
    /// Tokens billed beyond what engines used.
    pub overbilled: u64,
    /// Tokens used but never billed: those of requests that were open or not yet billed at a crash or at the end.
    pub unbilled: u64,
    /// Tokens that engines used.
    pub used: u64,
    /// Records appended to the log, without payments.
    pub appends: u64,
    /// Crashed incarnations that were closed.
    pub crashes: u64,
    /// Tokens in doubt after all closes.
    pub in_doubt: u64,
    /// Tokens paid in.
    pub paid: u64,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    request: CreditRequest,
    used: u64,
    /// Deadline of a waiting request, or end of a running one.
    due_tick: u64,
    forwarded: bool,
}

struct Simulation<'a> {
    scheme: &'a mut dyn BudgetScheme,
    rng: ChaCha12Rng,
    scenario: BudgetScenario,
    tick: u64,
    waiting: Vec<Job>,
    running: Vec<Job>,
    paid: Vec<u64>,
    used: Vec<u64>,
    reserved: Vec<u64>,
    /// Crashed instances that are not closed yet, by the tick from which a peer tries to.
    unclosed: BTreeSet<(u64, usize)>,
    report: BudgetReport,
}

/// Runs `scheme` through `scenario`; every scheme gets the same requests for the same `seed`.
pub fn run(scheme: &mut dyn BudgetScheme, scenario: BudgetScenario, seed: u64) -> BudgetReport {
    let mut simulation = Simulation {
        scheme,
        rng: ChaCha12Rng::seed_from_u64(seed),
        scenario,
        tick: 0,
        waiting: Vec::new(),
        running: Vec::new(),
        paid: vec![0; ACCOUNTS],
        used: vec![0; ACCOUNTS],
        reserved: vec![0; ACCOUNTS],
        unclosed: BTreeSet::new(),
        report: BudgetReport::default(),
    };
    while simulation.tick < HOURS * HOUR_TICKS {
        simulation.step();
    }
    simulation.finish()
}

impl Simulation<'_> {
    fn step(&mut self) {
        let reachable: Vec<bool> = (0..INSTANCES).map(|instance| self.is_log_reachable(instance)).collect();
        self.pay();
        self.crash(&reachable);
        self.arrive();
        self.reserve();
        self.settle();
        self.scheme.tick(self.now(), &reachable);
        self.tick += 1;
    }

    fn now(&self) -> Instant {
        Instant(TICK * u32::try_from(self.tick).expect("the ticks of a few hours fit a u32"))
    }

    /// Returns whether an instance reaches the log: in each of the hours 1, 3 and 5, one region does not; in hour 7,
    /// none does.
    fn is_log_reachable(&self, instance: usize) -> bool {
        match (self.scenario.faults, self.tick / HOUR_TICKS) {
            (FaultSchedule::All, hour @ (1 | 3 | 5)) => instance as u64 % REGIONS as u64 != hour / 2,
            (FaultSchedule::All, OUTAGE_HOUR) => false,
            _ => true,
        }
    }

    /// Tops up every account each half hour by about what it uses until the next top-up, except while the log is down.
    fn pay(&mut self) {
        let is_due = self.tick.is_multiple_of(TOP_UP_INTERVAL_TICKS);
        if !is_due {
            return;
        }
        let is_log_down = self.scenario.faults == FaultSchedule::All && self.tick / HOUR_TICKS == OUTAGE_HOUR;
        for account in 0..ACCOUNTS {
            let percent = TOP_UP_MIN_PERCENT + self.random_below(TOP_UP_RANGE_PERCENT);
            let tokens = expected_use(account) * percent / PERCENT;
            if !is_log_down {
                let top_ups = if self.tick == 0 { self.scenario.stock_hours * TOP_UPS_PER_HOUR } else { 1 };
                self.paid[account] += tokens * top_ups;
                self.scheme.top_up(account, tokens * top_ups);
            }
        }
    }

    fn crash(&mut self, reachable: &[bool]) {
        if self.scenario.faults == FaultSchedule::All && self.tick % CRASH_INTERVAL_TICKS == CRASH_INTERVAL_TICKS / 2 {
            let instance =
                usize::try_from(self.random_below(INSTANCES as u64)).expect("an instance index fits a usize");
            let (lost, kept) = self.running.iter().partition(|job| job.request.instance == instance);
            self.running = kept;
            let lost: Vec<Job> = lost;
            for job in lost {
                self.used[job.request.account] += job.used;
                self.reserved[job.request.account] -= job.request.bound;
            }
            self.waiting.retain(|job| job.request.instance != instance);
            self.scheme.crash(instance);
            self.unclosed.insert((self.tick + CLOSE_DELAY_TICKS, instance));
        }
        let due: Vec<(u64, usize)> = self.unclosed.iter().filter(|(at, _)| *at <= self.tick).copied().collect();
        for (at, instance) in due {
            if self.scheme.close(instance, reachable) {
                self.unclosed.remove(&(at, instance));
            }
        }
    }

    fn arrive(&mut self) {
        for _ in 0..REQUESTS_PER_TICK {
            let account = self.random_account();
            let in_home_region = self.random_below(PERCENT) < HOME_REGION_PERCENT;
            let region = if in_home_region { account % REGIONS } else { self.random_index(REGIONS) };
            let instance = region + REGIONS * self.random_index(INSTANCES / REGIONS);
            let bound = BOUND_MIN_TOKENS + self.random_below(BOUND_RANGE_TOKENS);
            let used = bound * (20 + self.random_below(70)) / PERCENT;
            let request = CreditRequest { ticket: self.report.requests, instance, account, bound };
            self.report.requests += 1;
            self.waiting.push(Job { request, used, due_tick: self.tick + TIMEOUT_TICKS, forwarded: false });
        }
    }

    fn reserve(&mut self) {
        for job in std::mem::take(&mut self.waiting) {
            let job = self.forward(job);
            match self.scheme.reserve(&job.request) {
                CreditDecision::Reserved => {
                    self.reserved[job.request.account] += job.request.bound;
                    let due_tick = self.tick + RUN_MIN_TICKS + job.request.ticket % RUN_RANGE_TICKS;
                    self.running.push(Job { due_tick, ..job });
                }
                CreditDecision::Waiting if self.tick < job.due_tick => self.waiting.push(job),
                CreditDecision::Waiting => {
                    self.scheme.cancel(&job.request);
                    self.refuse(&job);
                }
                CreditDecision::Refused if self.scenario.forward && !job.forwarded => {
                    let due_job = Job { due_tick: self.tick + FORWARD_BEFORE_TICKS, ..job };
                    let forwarded = self.forward(due_job);
                    self.waiting.push(forwarded);
                }
                CreditDecision::Refused => self.refuse(&job),
            }
        }
    }

    /// Forwards a waiting request near its deadline to the other instance of its region, at most once.
    fn forward(&mut self, job: Job) -> Job {
        if !self.scenario.forward || job.forwarded || self.tick + FORWARD_BEFORE_TICKS < job.due_tick {
            return job;
        }
        self.scheme.cancel(&job.request);
        let instance = (job.request.instance + REGIONS) % INSTANCES;
        Job { request: CreditRequest { instance, ..job.request }, forwarded: true, ..job }
    }

    fn refuse(&mut self, job: &Job) {
        let account = job.request.account;
        let committed = self.used[account] + self.reserved[account] + job.request.bound;
        self.report.refused += 1;
        self.report.false_refusals += u64::from(committed <= self.paid[account]);
    }

    fn settle(&mut self) {
        let (ended, running) = std::mem::take(&mut self.running).into_iter().partition(|job| job.due_tick <= self.tick);
        self.running = running;
        let ended: Vec<Job> = ended;
        for job in ended {
            self.used[job.request.account] += job.used;
            self.reserved[job.request.account] -= job.request.bound;
            self.scheme.settle(&job.request, job.used, self.now());
        }
    }

    fn finish(mut self) -> BudgetReport {
        let excess = self.used.iter().zip(&self.paid).map(|(used, paid)| used.saturating_sub(*paid));
        self.report.overspend = excess.sum();
        self.report.overbilled = self.scheme.billed().saturating_sub(self.used.iter().sum());
        self.report.used = self.used.iter().sum();
        self.report.unbilled = self.report.used.saturating_sub(self.scheme.billed());
        self.report.appends = self.scheme.append_count();
        self.report.crashes = self.scheme.doubt_by_crash().len() as u64;
        self.report.in_doubt = self.scheme.doubt_by_crash().iter().sum();
        self.report.paid = self.paid.iter().sum();
        self.report
    }

    fn random_below(&mut self, limit: u64) -> u64 {
        self.rng.next_u64() % limit
    }

    fn random_index(&mut self, count: usize) -> usize {
        usize::try_from(self.random_below(count as u64)).expect("an index fits a usize")
    }

    fn random_account(&mut self) -> usize {
        let mut left = self.random_below(weights().sum());
        for (account, weight) in weights().enumerate() {
            match left.checked_sub(weight) {
                None => return account,
                Some(remaining) => left = remaining,
            }
        }
        ACCOUNTS - 1
    }
}

/// Relative load of each account: a few accounts are large, the others small.
fn weights() -> impl Iterator<Item = u64> {
    (1..=ACCOUNTS as u64).map(|rank| 1_000 / rank)
}

/// Expected tokens that `account` uses between two top-ups.
fn expected_use(account: usize) -> u64 {
    let mean = (BOUND_MIN_TOKENS + BOUND_RANGE_TOKENS / 2) * 55 / PERCENT;
    let weight = weights().nth(account).unwrap_or_default();
    REQUESTS_PER_TICK * TOP_UP_INTERVAL_TICKS * mean * weight / weights().sum::<u64>()
}
