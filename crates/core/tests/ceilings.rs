//! Credit under ceilings: no schedule of cuts, deaths, lost answers, loans and jumping clocks overspends an account.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::ceilings::{
    AccountCeiling, AccountUsage, CeilingPolicy, CeilingTable, CreditRole, HolderCredit, HolderRecord,
    ISOLATION_TIMEOUT, RecordMetadata, ReserveOutcome, instance_of,
};
use coltsfootpick_core::names::ClientAccountName;
use coltsfootpick_core::units::{Instant, Offset, Tokens};
use proptest::prelude::*;

const PREPAID: u64 = 1_000_000;
const INSTANCES: usize = 4;

/// Hands nearly everything out, so that any leak shows as an overspend.
const GREEDY: CeilingPolicy = CeilingPolicy {
    share_percent: 100,
    base_percent: 60,
    window: Duration::from_secs(3_600),
    silence: Duration::from_secs(20),
};

fn account() -> ClientAccountName {
    ClientAccountName::from("clinic")
}

/// The store: an ordered log of records, and writes whose answer was lost and that may still take effect in their turn.
#[derive(Default)]
struct Log {
    records: Vec<Keyed>,
    late: Vec<Write>,
    turns: BTreeMap<Arc<str>, u64>,
}

type Keyed = (Arc<str>, HolderRecord);

/// Records that a writer sent in one turn.
#[derive(Clone)]
struct Write {
    writer: Arc<str>,
    turn: u64,
    records: Vec<Keyed>,
}

impl Log {
    fn end(&self) -> Offset {
        Offset(self.records.len() as u64)
    }

    /// Takes a write whose turn it is; a second sending of one that was taken changes nothing.
    fn append(&mut self, write: Write) {
        let turn = self.turns.entry(write.writer).or_default();
        if write.turn == *turn {
            *turn += 1;
            self.records.extend(write.records);
        }
    }

    /// Newest record of each holder.
    fn newest(&self) -> BTreeMap<Arc<str>, HolderRecord> {
        self.records.iter().cloned().collect()
    }
}

struct Run {
    name: Arc<str>,
    purses: HolderCredit,
    book: CeilingTable,
    open: Vec<Tokens>,
    started: Instant,
    document: u64,
    is_cut: bool,
    turn: u64,
    unsure: Option<Write>,
}

/// A small fleet around one account, with true time and a wall clock an instance that may be wrong.
struct World {
    log: Log,
    runs: Vec<Option<Run>>,
    walls: Vec<i64>,
    now: Instant,
    spent: u64,
    births: usize,
    prepaid: u64,
    version: u64,
    policy: CeilingPolicy,
}

impl World {
    fn new(policy: CeilingPolicy) -> Self {
        let mut world = Self {
            log: Log::default(),
            runs: Vec::new(),
            walls: vec![0; INSTANCES],
            now: Instant(Duration::from_secs(100)),
            spent: 0,
            births: 0,
            prepaid: PREPAID,
            version: 1,
            policy,
        };
        for at in 0..INSTANCES {
            let run = world.birth(at);
            world.runs.push(Some(run));
        }
        world
    }

    fn birth(&mut self, at: usize) -> Run {
        self.births += 1;
        let name: Arc<str> = format!("edge-{at}/{}", self.births).into();
        Run {
            name: Arc::clone(&name),
            purses: HolderCredit::new(name, self.policy),
            book: CeilingTable::default(),
            open: Vec::new(),
            started: self.now,
            document: 0,
            is_cut: false,
            turn: 0,
            unsure: None,
        }
    }

    fn wall(&self, at: usize, time: Instant) -> u64 {
        let true_time = i64::try_from(time.0.as_millis()).unwrap() + 1_000_000;
        u64::try_from(true_time + self.walls[at]).unwrap()
    }

    /// Reads the log as the keeper does: in order, or the newest records when those before were dropped.
    fn read(&mut self, at: usize, is_list: bool) {
        let (now, prepaid) = (self.now, Tokens(self.prepaid));
        let Some(run) = self.runs[at].as_mut().filter(|run| !run.is_cut) else { return };
        let from = usize::try_from(run.book.next().0).unwrap();
        let records = if is_list { self.log.newest().into_iter().collect() } else { self.log.records[from..].to_vec() };
        for (name, record) in records {
            if name == run.name && is_list {
                run.purses.apply_newest(&record);
            } else if name == run.name {
                run.purses.apply_own(&record, &run.book, run.document, |_| Some(prepaid));
            }
            run.book.apply(&name, record, now);
        }
        run.book.advance(self.log.end());
    }

    /// Plans on what was read and writes it; `lost` loses the answer, `late` also delays the effect.
    fn write(&mut self, at: usize, lost: bool, late: bool) {
        let (now, stamp) = (self.now, self.wall(at, self.now));
        let clocks = self.clocks_at(at);
        let prepaid = Tokens(self.prepaid);
        let Some(run) = self.runs[at].as_mut().filter(|run| !run.is_cut) else { return };
        let own = instance_of(&run.name);
        let account = account();
        let write = run.unsure.take().unwrap_or_else(|| {
            let dead = run.book.predecessors(&run.name);
            let end = |record: HolderRecord| record.to_closed(record.is_reserve_unused(own, &clocks));
            let mut records: Vec<_> = dead.into_iter().map(|(name, record)| (name, end(record))).collect();
            let note = RecordMetadata { document: run.document, timestamp: stamp, ..RecordMetadata::default() };
            let next = run.purses.plan_record(&run.book, note, [(&account, prepaid)], now, true);
            records.extend(next.map(|record| (Arc::clone(&run.name), record)));
            Write { writer: Arc::clone(&run.name), turn: run.turn, records }
        });
        if lost {
            run.unsure = Some(write.clone());
        } else {
            run.turn += 1;
        }
        match lost && late {
            true => self.log.late.push(write),
            false => self.log.append(write),
        }
    }

    /// One renewal with nothing in between.
    fn renew(&mut self, at: usize) {
        self.read(at, false);
        self.write(at, false, false);
        self.read(at, false);
    }

    fn clocks_at(&self, at: usize) -> BTreeMap<Arc<str>, u64> {
        let Some(started) = self.runs[at].as_ref().map(|run| run.started) else { return BTreeMap::new() };
        let alive = |other: &usize| self.runs[*other].is_some();
        (0..INSTANCES)
            .filter(alive)
            .map(|other| (Arc::from(format!("edge-{other}")), self.wall(other, started)))
            .collect()
    }

    /// Lets an instance read the document in force.
    fn read_document(&mut self, at: usize) {
        if let Some(run) = &mut self.runs[at] {
            run.document = self.version;
        }
    }

    fn take_effect(&mut self) {
        if let Some(write) = self.log.late.pop() {
            self.log.append(write);
        }
    }

    fn kill(&mut self, at: usize) {
        // What is under way at a death was used in full.
        if let Some(run) = self.runs[at].take() {
            self.spent += run.open.iter().map(|bound| bound.0).sum::<u64>();
        }
    }

    fn start(&mut self, at: usize) {
        if self.runs[at].is_none() {
            let run = self.birth(at);
            self.runs[at] = Some(run);
        }
    }

    fn spend(&mut self, at: usize, bound: u64, used: u64) {
        let (now, prepaid) = (self.now, Tokens(self.prepaid));
        let Some(run) = self.runs[at].as_mut() else { return };
        if run.purses.reserve(&account(), Tokens(bound), prepaid, now) == ReserveOutcome::Reserved {
            run.open.push(Tokens(bound));
        }
        if run.open.len() > 3 {
            let first = run.open.remove(0);
            let used = Tokens(used.min(first.0));
            run.purses.settle(&account(), first, used, now);
            self.spent += used.0;
        }
    }

    /// Spends everything that an instance is allowed to.
    fn drain(&mut self, at: usize) {
        let (now, prepaid) = (self.now, Tokens(self.prepaid));
        let Some(run) = self.runs[at].as_mut() else { return };
        for bound in [100_000, 20_000, 4_000, 500] {
            while run.purses.reserve(&account(), Tokens(bound), prepaid, now) == ReserveOutcome::Reserved {
                run.purses.settle(&account(), Tokens(bound), Tokens(bound), now);
                self.spent += bound;
            }
        }
    }

    /// Kills some instances at once and starts them again after `down` milliseconds.
    fn restart(&mut self, instances: &[usize], down: u64) {
        for at in instances {
            self.kill(*at);
        }
        self.now = self.now.after(Duration::from_millis(down));
        for at in instances {
            self.start(*at);
        }
    }

    fn lend(&mut self, from: usize, to: usize, least: u64, is_lost: bool) {
        let now = self.now;
        let Some(giver) = self.runs[from].as_mut().filter(|_| from != to) else { return };
        let loan = giver.purses.lend(&account(), Tokens(least), Tokens(least * 3), now);
        if let Some(taker) = self.runs[to].as_mut().filter(|_| !is_lost) {
            taker.purses.borrow(&account(), loan.amount);
        }
    }

    /// Everything that was used or is under way.
    fn used(&self) -> u64 {
        let open = self.runs.iter().flatten().flat_map(|run| &run.open);
        self.spent + open.map(|bound| bound.0).sum::<u64>()
    }
}

#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    Read(usize, bool),
    Write(usize, bool, bool),
    Renew(usize),
    TakeEffect,
    Cut(usize, bool),
    CutAll(bool),
    Kill(usize),
    KillAll,
    Start(usize),
    Spend(usize, u64, u64),
    Drain(usize),
    Restart(Vec<usize>, u64),
    Lend(usize, usize, u64, bool),
    Jump(usize, i64),
    Publish,
    ReadDocument(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    prop_oneof![
        8 => (10_u64..1_500).prop_map(Step::Pass),
        8 => (instance.clone(), prop::bool::weighted(0.1)).prop_map(|(at, is_list)| Step::Read(at, is_list)),
        8 => (instance.clone(), prop::bool::weighted(0.1), any::<bool>()).prop_map(|(at, lost, late)| Step::Write(at, lost, late)),
        4 => instance.clone().prop_map(Step::Renew),
        2 => Just(Step::TakeEffect),
        2 => (instance.clone(), any::<bool>()).prop_map(|(at, cut)| Step::Cut(at, cut)),
        1 => any::<bool>().prop_map(Step::CutAll),
        1 => instance.clone().prop_map(Step::Kill),
        1 => Just(Step::KillAll),
        4 => instance.clone().prop_map(Step::Start),
        6 => instance.clone().prop_map(Step::Drain),
        3 => (prop::collection::vec(instance.clone(), 1..INSTANCES + 2), 300_u64..6_000)
            .prop_map(|(some, down)| Step::Restart(some, down)),
        20 => (instance.clone(), 1_000_u64..40_000, 100_u64..40_000).prop_map(|(at, bound, used)| Step::Spend(at, bound, used)),
        8 => (instance.clone(), instance.clone(), 1_000_u64..60_000, prop::bool::weighted(0.2))
            .prop_map(|(from, to, least, lost)| Step::Lend(from, to, least, lost)),
        1 => Just(Step::Publish),
        4 => instance.clone().prop_map(Step::ReadDocument),
        // One clock of four jumps, by more than the time without the store.
        1 => (-4_000_i64..4_000).prop_map(|jump| Step::Jump(0, jump)),
    ]
}

fn play(world: &mut World, step: Step) {
    match step {
        Step::Pass(ms) => world.now = world.now.after(Duration::from_millis(ms)),
        Step::Read(at, is_list) => world.read(at, is_list),
        Step::Write(at, lost, late) => world.write(at, lost, late),
        Step::Renew(at) => world.renew(at),
        Step::TakeEffect => world.take_effect(),
        Step::Cut(at, cut) => {
            if let Some(run) = &mut world.runs[at] {
                run.is_cut = cut;
            }
        }
        Step::CutAll(cut) => world.runs.iter_mut().flatten().for_each(|run| run.is_cut = cut),
        Step::Kill(at) => world.kill(at),
        Step::KillAll => (0..INSTANCES).for_each(|at| world.kill(at)),
        Step::Start(at) => world.start(at),
        Step::Spend(at, bound, used) => world.spend(at, bound, used),
        Step::Drain(at) => world.drain(at),
        Step::Restart(some, down) => world.restart(&some, down),
        Step::Lend(from, to, least, lost) => world.lend(from, to, least, lost),
        Step::Publish => world.version += 1,
        Step::ReadDocument(at) => world.read_document(at),
        Step::Jump(at, jump) => world.walls[at] += jump,
    }
}

proptest! {
    #[test]
    fn never_overspent(steps in prop::collection::vec(step(), 50..400)) {
        let mut world = World::new(GREEDY);
        for step in steps {
            play(&mut world, step.clone());
            let used = world.used();
            prop_assert!(used <= PREPAID, "{used} of {PREPAID} tokens are used after {step:?}");
        }
        // At the end everybody spends all it may, at once and after the longest time without the store.
        for _ in 0..2 {
            (0..INSTANCES).for_each(|at| world.drain(at));
            world.now = world.now.after(ISOLATION_TIMEOUT * 2);
        }
        (0..INSTANCES).for_each(|at| world.drain(at));
        let used = world.used();
        prop_assert!(used <= PREPAID, "{used} of {PREPAID} tokens are used at the end");
    }
}

/// Fleet in which every instance wrote twice, so that each record names the others as witnesses.
fn settled() -> World {
    let mut world = World::new(CeilingPolicy::default());
    for _ in 0..3 {
        (0..INSTANCES).for_each(|at| world.renew(at));
        world.now = world.now.after(Duration::from_millis(100));
    }
    world
}

fn spend_all(world: &mut World, at: usize) -> u64 {
    let before = world.used();
    (0..10_000).for_each(|_| world.spend(at, 500, 500));
    world.used() - before
}

#[test]
fn reserve_waits() {
    let mut world = settled();
    let at_once = spend_all(&mut world, 0);
    world.now = world.now.after(ISOLATION_TIMEOUT.saturating_sub(Duration::from_millis(200)));
    let early = spend_all(&mut world, 0);
    world.now = world.now.after(Duration::from_millis(200));
    let isolated = spend_all(&mut world, 0);
    assert_eq!(early, 0, "the reserve is used before the time without a write is over");
    assert!(at_once > 0 && isolated > at_once, "{at_once} at once, {isolated} from the reserve");
}

#[test]
fn reserve_returned() {
    let mut world = settled();
    let reserve = |world: &World| -> u64 {
        let newest: BTreeMap<_, _> = world.log.records.iter().cloned().collect();
        let reserves = newest.values().filter(|record| record.closed).flat_map(|record| record.ceilings.values());
        reserves.map(|holding| holding.reserve.0).sum()
    };
    (0..INSTANCES).for_each(|at| world.kill(at));
    world.now = world.now.after(Duration::from_millis(1_500));
    (0..INSTANCES).for_each(|at| world.start(at));
    (0..INSTANCES).for_each(|at| world.renew(at));
    let closed = world.log.records.iter().filter(|(_, record)| record.closed).count();
    assert_eq!((closed, reserve(&world)), (INSTANCES, 0));
}

#[test]
fn reserve_in_doubt() {
    let mut world = settled();
    world.kill(0);
    world.now = world.now.after(ISOLATION_TIMEOUT);
    world.start(0);
    world.renew(0);
    let (_, ended) = world.log.records.iter().find(|(_, record)| record.closed).unwrap();
    assert!(ended.ceilings.values().any(|holding| !holding.reserve.is_zero()), "{ended:?}");
}

fn record(stamp: u64, witnesses: &[(&str, u64)]) -> HolderRecord {
    let witnesses = witnesses.iter().map(|(name, stamp)| (Arc::from(*name), *stamp)).collect();
    HolderRecord { timestamp: stamp, witnesses, ..HolderRecord::default() }
}

fn clocks(known: &[(&str, u64)]) -> BTreeMap<Arc<str>, u64> {
    known.iter().map(|(name, now)| (Arc::from(*name), *now)).collect()
}

#[test]
fn clock_votes() {
    let written = record(10_000, &[("edge-1", 10_000), ("edge-2", 10_000)]);
    let fresh = clocks(&[("edge-0", 11_000), ("edge-1", 11_000), ("edge-2", 11_000)]);
    assert!(written.is_reserve_unused("edge-0", &fresh));
    let jumped_back = clocks(&[("edge-0", 11_000), ("edge-1", 16_000), ("edge-2", 16_000)]);
    assert!(!written.is_reserve_unused("edge-0", &jumped_back), "one clock that jumped back must not decide");
    let few = clocks(&[("edge-0", 11_000), ("edge-1", 11_000)]);
    assert!(!written.is_reserve_unused("edge-0", &few), "two clocks prove nothing");
    let stale = clocks(&[("edge-0", 13_500)]);
    assert!(written.is_stale("edge-0", &stale));
}

#[test]
fn lowered_amount() {
    let mut world = settled();
    let run = world.runs[1].as_mut().unwrap();
    let (_, _, allowed) = run.purses.usage(&account());
    assert!(!allowed.is_zero());
    world.prepaid = 10;
    world.renew(1);
    let run = world.runs[1].as_mut().unwrap();
    assert_eq!(run.purses.usage(&account()).2, Tokens::ZERO);
    assert_ne!(run.purses.reserve(&account(), Tokens(5), Tokens(10), world.now), ReserveOutcome::Reserved);
}

#[test]
fn older_document() {
    let mut world = settled();
    world.version = 3;
    world.read_document(1);
    world.renew(1);
    world.prepaid = PREPAID * 10;
    let before = world.runs[0].as_ref().unwrap().purses.usage(&account()).2;
    world.renew(0);
    let after = world.runs[0].as_ref().unwrap().purses.usage(&account()).2;
    assert!(after <= before, "a holder behind the others' document raised its ceiling from {before} to {after}");
}

/// A holder that used its reserve while it was cut off, and is behind the others' document when it returns.
#[test]
fn returns_behind() {
    let mut world = settled();
    world.now = world.now.after(ISOLATION_TIMEOUT * 2);
    spend_all(&mut world, 0);
    world.version = 7;
    world.read_document(1);
    world.renew(1);
    world.renew(0);
    let newest: BTreeMap<_, _> = world.log.records.iter().cloned().collect();
    let covered: u64 = newest["edge-0/1"].ceilings.values().map(|holding| holding.total().0).sum();
    let (used, reserved, _) = world.runs[0].as_ref().unwrap().purses.usage(&account());
    assert!(covered >= (used + reserved).0, "{used} used and {reserved} set aside under {covered}");
}

#[test]
fn exhausted() {
    let mut book = CeilingTable::default();
    let other: Arc<str> = "edge-9/1".into();
    let holding = AccountCeiling { ceiling: Tokens(995), settled: Tokens(990), reserve: Tokens::ZERO };
    let ceilings = [(account(), holding)].into();
    let now = Instant(Duration::from_secs(5));
    book.apply(&other, HolderRecord { ceilings, ..HolderRecord::default() }, now);
    let mut purses = HolderCredit::new("edge-0/1".into(), CeilingPolicy::default());
    purses.plan_record(&book, RecordMetadata::default(), [(&account(), Tokens(1_000))], now, true);
    assert_eq!(purses.reserve(&account(), Tokens(11), Tokens(1_000), now), ReserveOutcome::Exhausted);
    assert_eq!(purses.reserve(&account(), Tokens(10), Tokens(1_000), now), ReserveOutcome::NoHeadroom);
}

#[test]
fn lent_room() {
    let mut world = settled();
    let before = world.runs[0].as_ref().unwrap().purses.usage(&account()).2;
    world.lend(0, 1, 1_000, false);
    let after = world.runs[0].as_ref().unwrap().purses.usage(&account()).2;
    assert!(after < before, "the giver keeps what it lent");
    let ended = world.runs[0].as_mut().unwrap().purses.close(1);
    assert!(!ended.ceilings[&account()].ceiling.is_zero(), "the giver's ceiling no longer covers what it lent");
}

/// Borrowed room is no reason to write: nothing of this holder's own ceiling can be lowered.
#[test]
fn borrowed_room() {
    let mut world = settled();
    let run = world.runs[0].as_mut().unwrap();
    run.purses.borrow(&account(), Tokens(PREPAID / 2));
    world.renew(0);
    let run = world.runs[0].as_mut().unwrap();
    let note = RecordMetadata { document: 1, timestamp: 1, ..RecordMetadata::default() };
    let second = run.purses.plan_record(&run.book, note, [(&account(), Tokens(PREPAID))], world.now, false);
    assert_eq!(second, None);
}

/// Book of `fleet` instances that each used `used` tokens, and the names of their runs.
fn large_book(fleet: usize, used: u64, now: Instant) -> (CeilingTable, Vec<Arc<str>>) {
    let mut book = CeilingTable::default();
    let names: Vec<Arc<str>> = (0..fleet).map(|at| format!("edge-{at}/1").into()).collect();
    let holding = AccountCeiling { settled: Tokens(used), ..AccountCeiling::default() };
    for name in &names {
        let ceilings = [(account(), holding)].into();
        book.apply(name, HolderRecord { ceilings, ..HolderRecord::default() }, now);
    }
    (book, names)
}

#[test]
fn few_homes() {
    let now = Instant(Duration::from_secs(100));
    let silence = CeilingPolicy::default().silence;
    let (book, names) = large_book(67, 100, now);
    let (account, prepaid) = (account(), Tokens(PREPAID));
    let stake = |name: &str, used: u64| {
        let use_of = AccountUsage { account: &account, used: Tokens(used), prepaid };
        book.credit_role(name, use_of, now, silence)
    };
    let holders = names.iter().filter(|name| stake(name, 100) == CreditRole::Lender).count();
    assert_eq!(holders, 2);
    let borrower = names.iter().find(|name| stake(name, 100) == CreditRole::Borrower).unwrap();
    assert_eq!(stake(borrower, 20_000), CreditRole::Lender, "an instance with most of the use holds room itself");
    assert_eq!(stake(borrower, 4_000), CreditRole::Borrower, "a little use is no ground to hold room");
    let (small, names) = large_book(6, 100, now);
    let use_of = AccountUsage { account: &account, used: Tokens(100), prepaid };
    assert_eq!(small.credit_role(&names[0], use_of, now, silence), CreditRole::Shared(6));
}

/// Raises that fit singly were appended before any holder read another's.
#[test]
fn first_raises_count() {
    let mut world = World::new(GREEDY);
    (0..INSTANCES).for_each(|at| world.read(at, false));
    (0..INSTANCES).for_each(|at| world.write(at, false, false));
    (0..INSTANCES).for_each(|at| world.read(at, false));
    let allowed = |world: &World, at: usize| world.runs[at].as_ref().unwrap().purses.usage(&account()).2;
    let (first, last) = (allowed(&world, 0), allowed(&world, INSTANCES - 1));
    assert!(last < first, "{first} first and {last} last: no raise is cut");
    let sum: u64 = (0..INSTANCES).map(|at| allowed(&world, at).0).sum();
    assert!(sum <= PREPAID, "{sum} of {PREPAID} are allowed");
    (0..INSTANCES).for_each(|at| world.drain(at));
    world.renew(0);
    world.renew(INSTANCES - 1);
    assert!(world.used() <= PREPAID);
}

/// A write that was thought lost takes effect after a later one of the same holder.
#[test]
fn late_write() {
    let mut world = settled();
    world.write(0, true, true);
    world.write(0, false, false);
    world.read(0, false);
    let records = world.log.records.len();
    world.take_effect();
    assert_eq!(world.log.records.len(), records, "a write took effect out of its turn");
}

#[test]
fn no_reserve_on_return() {
    let mut world = settled();
    let reserve = |world: &World| world.log.newest()["edge-0/1"].ceilings[&account()].reserve;
    assert!(!reserve(&world).is_zero());
    world.now = world.now.after(ISOLATION_TIMEOUT * 2);
    world.renew(0);
    assert!(reserve(&world).is_zero(), "a reserve was sized before the others told what they used");
    world.now = world.now.after(Duration::from_millis(450));
    world.renew(0);
    assert!(!reserve(&world).is_zero());
}
