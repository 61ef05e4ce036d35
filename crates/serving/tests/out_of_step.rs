//! Streams that are taken up at an instance which has missed the newest entries of backend servers, whatever the reason.

use std::sync::Arc;
use std::time::Duration;

use coltsfootpick_core::names::{ClientAccountName, ServiceName};
use coltsfootpick_core::refusal::{Refusal, RunStatus};
use coltsfootpick_core::stream_origins::{Continuation, StreamKey, StreamOrigin};
use coltsfootpick_serving::blackboard::{Blackboard, InstanceSpec};
use coltsfootpick_serving::interfaces::{KeyedLog, Topic};
use coltsfootpick_serving::outcome::{RequestOutcome, ResponseBody};
use coltsfootpick_serving::request::{CallerRequest, ResumedStream};
use coltsfootpick_serving::retry_share::RetryLimit;
use coltsfootpick_serving::server_controller::ServerController;
use coltsfootpick_serving::stream_registry::StreamRegistry;
use coltsfootpick_serving::topic_reader::{RecordSink, read_newest};
use coltsfootpick_testkit::keyed_store::{KeyedStore, StoreFault};
use coltsfootpick_testkit::plain_protocol::{PlainProtocol, test_location};
use coltsfootpick_testkit::request_harness::{RequestHarness, request};
use coltsfootpick_testkit::scripted_server::{ScriptedServer, ServerAction, chunk, chunked_head, event};
use futures_util::StreamExt;
use test_case::test_case;
use tokio_util::sync::CancellationToken;

/// Time after which every instance in step knows what the others have written.
const TOLD: Duration = Duration::from_millis(900);

/// Longest time until a stream that cannot go on is refused.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range.map(event).collect()
}

/// Server that begins streams and falls silent after the third event, or ends a stream that is taken up.
async fn server(is_taken_up: bool) -> ScriptedServer {
    let end = ServerAction::Write("0\r\n\r\n".to_owned());
    let script = match is_taken_up {
        true => vec![chunked_head(), chunk(&events(4..=6)), end],
        false => vec![chunked_head(), chunk(&events(1..=3)), ServerAction::Wait(Duration::from_secs(30))],
    };
    ScriptedServer::start(vec![script.clone(), script]).await
}

/// Writes the entry of a server to the store, as the server does.
fn list(store: &KeyedStore, name: &str, server: &ScriptedServer, version: &str) {
    let entry = format!("service {} ready 1 {version}", server.address);
    store.put(Topic::Servers, name, Some(entry.as_bytes()));
}

fn arrivals(server: &ScriptedServer) -> usize {
    server.recorded().requests.len()
}

fn take_up(first: &str) -> CallerRequest {
    let resumed = ResumedStream { last_event: "3".into(), first_attempt: Some(first.into()) };
    CallerRequest { resumed: Some(resumed), ..request("explain") }
}

/// Reads the whole text of an answer.
async fn read(outcome: RequestOutcome) -> Result<String, Refusal> {
    let mut pieces = match outcome {
        RequestOutcome::Relayed(_, ResponseBody::Events(pieces)) => pieces,
        RequestOutcome::Relayed(..) => return Ok(String::new()),
        RequestOutcome::Refused(refusal) => return Err(refusal),
    };
    let mut text = String::new();
    while let Some(Ok(piece)) = pieces.next().await {
        text.push_str(std::str::from_utf8(&piece).unwrap());
    }
    Ok(text)
}

/// Why an instance misses the newest entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Gap {
    /// Its calls to the store are not answered.
    Cut,
    /// The store refuses its calls.
    Refused,
    /// It has stood still, or its waiting read hangs, and has not read the list since.
    Asleep,
}

/// Guards against review/5: an instance took its list of servers for current as the store had answered within 2 s, and took
/// streams of a version that it had not seen up at another one.
#[test_case(Gap::Cut, true; "cut off beside a peer")]
#[test_case(Gap::Cut, false; "cut off alone")]
#[test_case(Gap::Refused, true; "turned away beside a peer")]
#[test_case(Gap::Refused, false; "turned away alone")]
#[test_case(Gap::Asleep, true; "woken beside a peer")]
#[test_case(Gap::Asleep, false; "woken alone")]
#[tokio::test]
async fn missed_version(gap: Gap, has_peer: bool) {
    let (old, first, rest) = (server(true).await, server(false).await, server(true).await);
    let store = KeyedStore::default();
    list(&store, "old", &old, "v1");
    let (here, there) = (RequestHarness::start("edge-a", &store, &[]), store.other_path());
    let behind = RequestHarness::start("edge-b", &there, &[]);
    here.follow_servers(&store);
    let following = behind.follow_servers(&there);
    if has_peer {
        behind.add_peer("edge-a", here.take_forwards().await);
    }
    for harness in [&here, &behind] {
        harness.wait_for_credit().await;
    }
    tokio::time::sleep(TOLD).await;
    match gap {
        Gap::Cut => there.set_path_fault(StoreFault::Silent),
        Gap::Refused => there.set_path_fault(StoreFault::Busy),
        Gap::Asleep => {
            following.cancel();
            tokio::time::sleep(Duration::from_millis(600)).await;
        }
    }
    store.put(Topic::Servers, "old", None);
    list(&store, "first", &first, "v2");
    tokio::time::sleep(TOLD).await;
    let begun = request("explain");
    let id = Arc::clone(&begun.id);
    let RequestOutcome::Relayed(_, ResponseBody::Events(mut pieces)) = here.handler.serve(begun).await else {
        panic!("no stream")
    };
    assert!(pieces.next().await.is_some_and(|piece| piece.is_ok()));
    list(&store, "rest", &rest, "v2");
    store.put(Topic::Servers, "first", None);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let asked = tokio::time::Instant::now();
    let answer = read(behind.handler.serve(take_up(&id)).await).await;
    assert_eq!(arrivals(&old), 0, "the stream went on at another version");
    match has_peer {
        true => assert_eq!(answer.unwrap(), events(4..=6), "the peer can tell"),
        false => {
            let refusal = answer.unwrap_err();
            assert_eq!((refusal.run, refusal.retry_after.is_some()), (RunStatus::NotRun, true), "{refusal}");
            assert!(asked.elapsed() < REFUSAL_TIME, "refused after {:?}", asked.elapsed());
        }
    }
}

/// What happens to two instances before a stream is taken up at the second one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// A server of the newer version is listed in the store.
    Listed,
    /// The server of the older version leaves.
    OldGone,
    /// The first instance applies the list.
    FirstApplies,
    /// The first instance writes its record if it has news.
    FirstWrites,
    /// The stream begins at the first instance.
    Begun,
    /// The second instance applies the list; without this step it is asleep.
    SecondApplies,
    /// The second instance is cut off from the store.
    SecondCut,
}

const STEPS: [Step; 7] = [
    Step::Listed,
    Step::OldGone,
    Step::FirstApplies,
    Step::FirstWrites,
    Step::Begun,
    Step::SecondApplies,
    Step::SecondCut,
];

/// Every order of the steps, each of which may also not happen.
fn orders(steps: &[Step]) -> Vec<Vec<Step>> {
    let mut all = vec![Vec::new()];
    for (at, step) in steps.iter().enumerate() {
        let rest = [&steps[..at], &steps[at + 1..]].concat();
        all.extend(orders(&rest).into_iter().map(|order| [&[*step][..], &order].concat()));
    }
    all
}

/// Instance that only knows the list and the records of streams.
struct Instance {
    board: Arc<Blackboard>,
    store: KeyedStore,
    list: ServerController,
    streams: Arc<StreamRegistry>,
}

impl Instance {
    fn new(name: &str, store: KeyedStore) -> Self {
        let retries = RetryLimit { ratio: 0.2, slack: 52 };
        let spec = InstanceSpec { name: name.into(), location: test_location(), retries, link_rate: None, capacity: 0 };
        let board = Blackboard::new(spec);
        let list = ServerController::new(Arc::clone(&board), Arc::new(PlainProtocol));
        let shared: Arc<dyn KeyedLog> = Arc::new(store.clone());
        let run = format!("{name}/1").into();
        let streams = StreamRegistry::new(Arc::clone(&board), shared, Arc::new(PlainProtocol), run);
        Self { board, store, list, streams }
    }

    /// Applies the list as it is in the store; the first time, from the start.
    async fn apply(&mut self) {
        let applied = self.board.server_list.progress().map(|progress| progress.position);
        let next = match applied {
            None => {
                let Ok((records, end)) = read_newest(&self.store, Topic::Servers).await else { return };
                self.list.replace_all(records);
                end
            }
            Some(position) => {
                let Ok(batch) = self.store.read(Topic::Servers, position, Duration::ZERO).await else { return };
                batch.records.into_iter().for_each(|record| self.list.apply(record));
                batch.next
            }
        };
        self.list.note_read(next);
    }

    /// Keeps the record of the instance up to date for one interval.
    async fn write(&self) {
        let stop = CancellationToken::new();
        let running = tokio::spawn(Arc::clone(&self.streams).run(stop.clone()));
        tokio::time::sleep(Duration::from_millis(250)).await;
        stop.cancel();
        running.await.unwrap();
    }

    /// Version at which a stream begins here, by the rule of `docs/ROUTING.md#versions`.
    fn begin(&self, key: StreamKey) -> Option<StreamOrigin> {
        let present = self.board.servers.origins();
        let mut origins = self.board.stream_origins.lock();
        let recorded = present.iter().find(|origin| origins.is_recorded(origin));
        let chosen = recorded.or_else(|| present.first()).cloned()?;
        origins.note_servers(present, self.board.clock.now());
        origins.note_stream(key, chosen.clone(), self.board.clock.now());
        Some(chosen)
    }
}

/// Plays every order with the code of the product. The first instance is dead when the stream is taken up; whatever the second
/// one has missed, the stream never goes on at another version.
#[tokio::test(start_paused = true)]
async fn every_order() {
    let service = ServiceName::from("service");
    let key = StreamKey::of(&ClientAccountName::from("clinic"), "begun");
    let (mut begun_count, mut proven, mut unproven) = (0, 0, 0);
    for order in orders(&STEPS).into_iter().filter(|order| order.contains(&Step::Begun)) {
        let store = KeyedStore::default();
        store.put(Topic::Servers, "old", Some(b"service 127.0.0.1:1 ready 1 v1"));
        let there = store.other_path();
        let (mut first, mut second) = (Instance::new("edge-a", store.clone()), Instance::new("edge-b", there.clone()));
        for instance in [&mut first, &mut second] {
            instance.apply().await;
        }
        first.write().await;
        second.write().await;
        let mut begun = None;
        for step in &order {
            match step {
                Step::Listed => store.put(Topic::Servers, "new", Some(b"service 127.0.0.1:2 ready 1 v2")),
                Step::OldGone => store.put(Topic::Servers, "old", None),
                Step::FirstApplies => first.apply().await,
                Step::FirstWrites => first.write().await,
                Step::Begun => begun = first.begin(key),
                Step::SecondApplies => second.apply().await,
                Step::SecondCut => there.set_path_fault(StoreFault::Silent),
            }
        }
        let Some(begun) = begun else { continue };
        begun_count += 1;
        match second.streams.continuation(Some(key), &service).await {
            Continuation::At(found, _) => assert_eq!(found, begun, "{order:?}"),
            Continuation::Single(found) => {
                proven += 1;
                assert_eq!(found, begun, "{order:?}");
            }
            Continuation::Unknown => {}
            Continuation::Unproven => {
                unproven += 1;
                assert!(order.contains(&Step::SecondCut), "{order:?}");
            }
        }
    }
    assert!(begun_count > 0 && proven > 0 && unproven > 0, "{begun_count} {proven} {unproven}");
}
