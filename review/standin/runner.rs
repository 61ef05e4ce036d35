//! Stand-in of the runners: plain answers, streams with resumption, and the heartbeats in the store.
//!
//! The last segment of a path says what is asked: `w300` is a plain answer after 300 ms, `n40g20` a stream of 40 events
//! with 20 ms between them.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Conn, Message};
use crate::record::Record;
use crate::store::Store;

/// Output tokens in one event.
pub const EVENT_TOKENS: u64 = 5;

/// Interval of the heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What all runners have seen.
#[derive(Default)]
pub struct Seen {
    /// Runner by request id, in the order of the runs.
    pub runs: Mutex<Vec<(String, String)>>,
    /// Tokens by tenant: the prompt of each request once, and the events sent.
    pub tokens: Mutex<HashMap<String, u64>>,
    prompts: Mutex<HashSet<String>>,
}

pub struct Runner {
    pub name: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub address: SocketAddr,
    born: u64,
    pub seen: Arc<Seen>,
    record: Record,
    draining: AtomicBool,
    seq: AtomicU64,
}

/// Names what a runner is.
pub struct Spec<'a> {
    pub name: &'a str,
    pub service: &'a str,
    pub version: &'a str,
    pub zone: &'a str,
}

impl Runner {
    pub fn start(spec: &Spec<'_>, store: &Store, seen: &Arc<Seen>, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let runner = Arc::new(Self {
            name: spec.name.to_owned(),
            service: spec.service.to_owned(),
            version: spec.version.to_owned(),
            zone: spec.zone.to_owned(),
            address,
            born: since_epoch.as_millis() as u64,
            seen: Arc::clone(seen),
            record: record.clone(),
            draining: AtomicBool::new(false),
            seq: AtomicU64::new(0),
        });
        let (server, beating, store) = (Arc::clone(&runner), Arc::clone(&runner), store.clone());
        std::thread::spawn(move || server.accept(&listener));
        beating.beat(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                beating.beat(&store);
            }
        });
        runner
    }

    fn beat(&self, store: &Store) {
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let entry = format!(
            r#"{{"backend":"{}","address":"{}","zone":"{}","version":"{}","slots":64,"state":"{state}","cold-left-ms":0,"seq":{},"born":{},"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}]}}"#,
            self.service,
            self.address,
            self.zone,
            self.version,
            self.seq.fetch_add(1, Ordering::SeqCst),
            self.born
        );
        store.put("keyed.servers", &self.name, &entry);
    }

    /// Reports that the runner leaves; it serves on.
    pub fn drain(&self, store: &Store) {
        self.draining.store(true, Ordering::SeqCst);
        self.beat(store);
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            let runner = Arc::clone(&self);
            std::thread::spawn(move || runner.serve(Conn::new(stream)));
        }
    }

    fn serve(&self, mut conn: Conn) {
        while let Some(request) = conn.read_request() {
            if !self.handle(&request, &mut conn) {
                let _ = conn.stream.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }

    /// Answers one request; false if the connection is to be closed.
    fn handle(&self, request: &Message, conn: &mut Conn) -> bool {
        let header = |name: &str| request.header(name).unwrap_or_default();
        let (id, tenant) = (header("request-id").to_owned(), header("tenant").to_owned());
        let target = request.start.split(' ').nth(1).unwrap_or_default();
        if header("expect-instance") != self.name {
            return conn.write(b"HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        let last: u64 = header("last-event-id").parse().unwrap_or(0);
        self.record
            .note(&format!("runner={} runs id={id} tenant={tenant} path={target} after-event={last}", self.name));
        self.seen.runs.lock().unwrap().push((id.clone(), self.name.clone()));
        let prompt = header("token-usage").split(',').next().and_then(|text| text.parse::<u64>().ok());
        if let Some(prompt) = prompt.filter(|_| self.seen.prompts.lock().unwrap().insert(id.clone())) {
            *self.seen.tokens.lock().unwrap().entry(tenant.clone()).or_default() += prompt;
        }
        let work = target.rsplit('/').next().unwrap_or_default();
        let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal-{}-{id}\r\n", self.name);
        match work.strip_prefix('n').and_then(|rest| rest.split_once('g')) {
            Some((events, gap)) => {
                let count = events.parse().unwrap_or(1);
                self.stream(conn, &head, &id, &tenant, (last, count), gap.parse().unwrap_or(0))
            }
            None => {
                std::thread::sleep(Duration::from_millis(work[1..].parse().unwrap_or(0)));
                let body = format!("answer of {} to {id}\n", self.name).repeat(20);
                conn.write(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())
            }
        }
    }

    /// Text of one event, which names its runner.
    fn event(&self, id: &str, number: u64) -> String {
        format!("id: {number}\ndata: {id} {number} {} {}\n\n", self.version, self.name)
    }

    fn stream(&self, conn: &mut Conn, head: &str, id: &str, tenant: &str, range: (u64, u64), gap: u64) -> bool {
        let (last, count) = range;
        if !conn
            .write(format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").as_bytes())
        {
            return false;
        }
        for number in last + 1..=count {
            std::thread::sleep(Duration::from_millis(gap));
            let text = self.event(id, number);
            let piece = format!("{:x}\r\n{text}\r\n", text.len());
            if !conn.write(piece.as_bytes()) {
                self.record.note(&format!("runner={} stops id={id} before event={number}", self.name));
                return false;
            }
            *self.seen.tokens.lock().unwrap().entry(tenant.to_owned()).or_default() += EVENT_TOKENS;
        }
        conn.write(b"0\r\n\r\n")
    }
}
