//! Stand-in of the platform's store: keyed topics with one partition, write sequences and waiting reads.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Message};

/// Time that each answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type Record = (Vec<u8>, Vec<u8>);

/// Epoch, number and response of an accepted append.
type Append = (u64, u64, String);

#[derive(Default)]
struct Topics {
    records: HashMap<String, Vec<Record>>,
    /// When each record was written.
    written: HashMap<String, Vec<Instant>>,
    /// Number of times that the store came back from an older copy.
    era: u64,
    /// Last five appends by topic and producer.
    appends: HashMap<(String, String), Vec<Append>>,
}

impl Topics {
    fn push(&mut self, topic: &str, records: Vec<Record>) {
        let written = self.written.entry(topic.to_owned()).or_default();
        written.extend(records.iter().map(|_| Instant::now()));
        self.records.entry(topic.to_owned()).or_default().extend(records);
    }
}

/// The store; clones share its content.
#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<Topics>, Condvar)>,
}

/// Way of one instance to the store; while it is cut, nothing is answered and nothing takes effect.
#[derive(Clone, Default)]
pub struct Gate {
    cut: Arc<AtomicBool>,
}

impl Gate {
    pub fn set_cut(&self, is_cut: bool) {
        self.cut.store(is_cut, Ordering::SeqCst);
    }

    fn pass(&self) {
        while self.cut.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Store {
    /// Writes a record as the operator or a runner does; an empty value deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let (topics, changed) = &*self.topics;
        let record = (key.as_bytes().to_vec(), value.as_bytes().to_vec());
        topics.lock().unwrap().push(topic, vec![record]);
        changed.notify_all();
    }

    /// Comes back from a copy that is `age` old. What the operator and the runners have written since is written again.
    pub fn restore(&self, age: Duration) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        let names: Vec<String> = topics.records.keys().cloned().collect();
        for name in names {
            let kept = topics.written[&name].iter().filter(|at| at.elapsed() >= age).count();
            let lost = topics.records.get_mut(&name).map(|records| records.split_off(kept)).unwrap_or_default();
            topics.written.get_mut(&name).into_iter().for_each(|written| written.truncate(kept));
            if name == "keyed.op" || name == "keyed.servers" {
                topics.push(&name, lost);
            }
        }
        topics.appends.clear();
        topics.era += 1;
        changed.notify_all();
    }

    /// Serves the store at an address of its own behind `gate`.
    pub fn listen(&self, gate: &Gate) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let (store, gate) = (self.clone(), gate.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, gate) = (store.clone(), gate.clone());
                std::thread::spawn(move || store.serve(Conn::new(stream), &gate));
            }
        });
        address
    }

    fn serve(&self, mut conn: Conn, gate: &Gate) {
        while let Some(request) = conn.read_request() {
            gate.pass();
            std::thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request, gate);
            gate.pass();
            let era = self.topics.0.lock().unwrap().era;
            let head = format!("HTTP/1.1 {status}\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n", body.len());
            if !conn.write(&[head.as_bytes(), &body].concat()) {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, gate: &Gate) -> (&'static str, Vec<u8>) {
        let target = request.start.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameters: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        let topic = parameters.get("topic").cloned().unwrap_or_default();
        match path {
            "/api/log-append" => self.append(&topic, &parameters, &request.body),
            "/api/log-read" => self.read(&topic, &parameters, gate),
            "/api/log-newest" => self.newest(&topic),
            _ => ("404 Not Found", Vec::new()),
        }
    }

    fn append(&self, topic: &str, parameters: &HashMap<String, String>, mut body: &[u8]) -> (&'static str, Vec<u8>) {
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        let number = |name: &str| parameters.get(name).and_then(|text| text.parse::<u64>().ok());
        let producer = (topic.to_owned(), parameters.get("producer-id").cloned().unwrap_or_default());
        let sequence = number("epoch").zip(number("seq"));
        if let Some((epoch, seq)) = sequence {
            let known = topics.appends.entry(producer.clone()).or_default();
            if let Some((.., response)) = known.iter().find(|(e, s, _)| (*e, *s) == (epoch, seq)) {
                return ("200 OK", response.clone().into_bytes());
            }
            match known.last() {
                Some((last, ..)) if epoch < *last => return ("409 Conflict", br#"{"reason":"fenced"}"#.to_vec()),
                Some((last, at, _)) if epoch == *last && seq != at + 1 => {
                    return ("409 Conflict", format!(r#"{{"reason":"seq","seq":{}}}"#, at + 1).into_bytes());
                }
                _ => {}
            }
        }
        let first = topics.records.get(topic).map_or(0, Vec::len);
        let mut records = Vec::new();
        while body.len() > 4 {
            let (length, rest) = body.split_at(4);
            let length = u32::from_be_bytes(length.try_into().expect("four bytes")) as usize;
            let (content, rest) = rest.split_at(length);
            let (key, value) = content[1..].split_at(usize::from(content[0]));
            records.push((key.to_vec(), value.to_vec()));
            body = rest;
        }
        let response = format!(r#"{{"offset":{first},"end-offset":{}}}"#, first + records.len());
        topics.push(topic, records);
        if let Some((epoch, seq)) = sequence {
            let known = topics.appends.entry(producer).or_default();
            known.push((epoch, seq, response.clone()));
            if known.len() > 5 {
                known.remove(0);
            }
        }
        changed.notify_all();
        ("200 OK", response.into_bytes())
    }

    fn read(&self, topic: &str, parameters: &HashMap<String, String>, gate: &Gate) -> (&'static str, Vec<u8>) {
        let number = |name: &str| parameters.get(name).and_then(|text| text.parse::<usize>().ok()).unwrap_or(0);
        let from = number("source");
        let until = Instant::now() + Duration::from_millis(number("wait-ms") as u64);
        let (topics, changed) = &*self.topics;
        let mut topics = topics.lock().unwrap();
        loop {
            let end = topics.records.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            topics = changed.wait_timeout(topics, left.min(Duration::from_millis(20))).unwrap().0;
            if gate.cut.load(Ordering::SeqCst) {
                break;
            }
        }
        let empty = Vec::new();
        let records = topics.records.get(topic).unwrap_or(&empty);
        if from > records.len() {
            return ("410 Gone", br#"{"first-offset":0}"#.to_vec());
        }
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for (key, value) in &records[from..] {
            body.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key);
            body.extend(value);
        }
        ("200 OK", body)
    }

    fn newest(&self, topic: &str) -> (&'static str, Vec<u8>) {
        let topics = self.topics.0.lock().unwrap();
        let empty = Vec::new();
        let records = topics.records.get(topic).unwrap_or(&empty);
        let newest: BTreeMap<&Vec<u8>, (usize, &Vec<u8>)> =
            records.iter().enumerate().map(|(at, (key, value))| (key, (at, value))).collect();
        let entries: Vec<String> = newest
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (at, value))| {
                let key = String::from_utf8_lossy(key);
                format!(r#"{{"key":"{key}","value":"{}","offset":{at}}}"#, base64(value))
            })
            .collect();
        let body = format!(r#"{{"entries":[{}],"has-more":false,"end-offset":{}}}"#, entries.join(","), records.len());
        ("200 OK", body.into_bytes())
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let escaped = (*first == b'%').then(|| std::str::from_utf8(tail.get(..2)?).ok()).flatten();
        match escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => (bytes, rest) = ([bytes, vec![byte]].concat(), &tail[2..]),
            None => (bytes, rest) = ([bytes, vec![*first]].concat(), tail),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for at in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * at) & 63) as usize];
            text.push(if at <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
