//! Repeats of all instances together stay within the ratio and the slack that the settings allow the fleet.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use coltsfootpick_core::names::ServiceName;
use coltsfootpick_serving::blackboard::{Blackboard, InstanceSpec};
use coltsfootpick_serving::retry_share::RetryLimit;
use coltsfootpick_serving::servers::ServerEntry;
use coltsfootpick_testkit::keyed_store::KeyedStore;
use coltsfootpick_testkit::plain_protocol::test_location;
use coltsfootpick_testkit::request_harness::{RequestHarness, request, server_entry};
use coltsfootpick_testkit::scripted_server::{ScriptedServer, header, response};
use test_case::test_case;
use tokio::net::TcpListener;

/// Limit of the harness's fleet.
const HARNESS_LIMIT: RetryLimit = RetryLimit { ratio: 0.2, slack: 52 };

/// Most repeats that a limit with `slack` allows beside `requests` requests.
fn allowed(slack: u32, requests: usize) -> usize {
    requests / 5 + slack as usize
}

fn board(index: usize, slack: u32) -> Arc<Blackboard> {
    let retries = RetryLimit { slack, ..HARNESS_LIMIT };
    let (name, location) = (format!("edge-{index}").into(), test_location());
    Blackboard::new(InstanceSpec { name, location, retries, link_rate: None, capacity: 0 })
}

/// Takes retries until none is left, and returns their number.
fn take_all(board: &Blackboard, service: &ServiceName) -> usize {
    (0..1_000).take_while(|_| board.take_retry(service, "id")).count()
}

/// Whether instances learn the size of the fleet before the first request, after it or not at all.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Known {
    Before,
    After,
    Never,
}

#[test_case(6, 52, Known::Before)]
#[test_case(75, 190, Known::Before)]
#[test_case(75, 190, Known::After)]
#[test_case(75, 190, Known::Never)]
#[test_case(295, 630, Known::After)]
#[test_case(420, 190, Known::Before)]
fn shares_sum_up(size: usize, slack: u32, known: Known) {
    let service = ServiceName::from("service");
    let mut taken = 0;
    for index in 0..size {
        let board = board(index, slack);
        if known == Known::Before {
            board.note_fleet_size(size);
            board.mark_fleet_listed();
        }
        board.note_first_dispatch(&service);
        if known == Known::After {
            board.note_fleet_size(size);
            board.mark_fleet_listed();
        }
        taken += take_all(&board, &service);
    }
    assert!(taken <= allowed(slack, size), "{taken} repeats of {size} instances");
}

/// Lists the servers as new ones, so that the first ones are selected again.
fn list_again(harness: &RequestHarness, addresses: &[SocketAddr], run: usize) {
    for (address, letter) in addresses.iter().zip('a'..) {
        let entry = ServerEntry { started_at: Some(run as u64 + 2), ..server_entry(&letter.to_string(), *address) };
        harness.handler.board.servers.put(entry);
    }
}

/// Sends `REQUESTS` requests, lists the servers again before each, and returns how many reached a server more than once.
async fn count_repeats(servers: &[&ScriptedServer], addresses: &[SocketAddr]) -> usize {
    let harness = RequestHarness::start("edge-a", &KeyedStore::default(), addresses);
    for run in 0..REQUESTS {
        list_again(&harness, addresses, run);
        harness.handler.serve(request("read")).await;
    }
    let arrivals: Vec<String> = servers.iter().flat_map(|server| server.recorded().requests).collect();
    let ids: BTreeSet<_> = arrivals.iter().map(|text| header(text, "x-id")).collect();
    assert!(ids.len() > REQUESTS / 2, "{} of {REQUESTS} requests reached a server", ids.len());
    arrivals.len() - ids.len()
}

/// Requests of one test.
const REQUESTS: usize = 400;

async fn dead_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap()
}

#[tokio::test]
async fn failed_connections_earn_nothing() {
    let full = || ScriptedServer::start(vec![vec![response(503, "x-not-run: 1\r\n", "")]]);
    let (first, second) = (full().await, full().await);
    let dead = [dead_address().await, dead_address().await, dead_address().await];
    let addresses = [&dead[..], &[first.address, second.address]].concat();
    let repeats = count_repeats(&[&first, &second], &addresses).await;
    assert!(repeats <= allowed(HARNESS_LIMIT.slack, REQUESTS), "{repeats} repeats of {REQUESTS} requests");
}

#[tokio::test]
async fn misdirected_count() {
    let other = ScriptedServer::start(vec![vec![response(421, "", "")]]).await;
    let sound = ScriptedServer::start(vec![vec![response(200, "", "done")]]).await;
    let repeats = count_repeats(&[&other, &sound], &[other.address, sound.address]).await;
    assert!(repeats <= allowed(HARNESS_LIMIT.slack, REQUESTS), "{repeats} repeats of {REQUESTS} requests");
}
