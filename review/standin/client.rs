//! Stand-in of the clients: builds requests and notes what was sent and answered.

use std::net::SocketAddr;
use std::time::Duration;

use crate::http::{Conn, Message};
use crate::record::Record;

/// Request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub path: String,
    pub key: String,
    pub deadline_ms: u64,
    /// Further headers, each with its line end.
    pub headers: String,
}

impl Request {
    pub fn new(id: &str, path: &str, tenant: &str) -> Self {
        let (id, path, key) = (id.to_owned(), path.to_owned(), format!("key-{tenant}"));
        Self { id, path, key, deadline_ms: 15_000, headers: String::new() }
    }

    pub fn deadline(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }

    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push_str(&format!("{name}: {value}\r\n"));
        self
    }

    /// Declares a generation of `prompt` tokens in and at most `output` tokens out.
    pub fn generation(self, prompt: u64, output: u64) -> Self {
        let parts = format!("5c1e07a2:{},{:08x}:{}", prompt / 2, hash(&self.id), prompt - prompt / 2);
        self.header("Model", "m").header("Token-Usage", &format!("{prompt},{output}")).header("Prefix-Hash", &parts)
    }

    pub fn encode(&self) -> String {
        let Self { id, path, key, deadline_ms, headers } = self;
        format!(
            "POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
             Authorization: Token {key}\r\n{headers}Content-Length: 0\r\n\r\n"
        )
    }

    /// Sends the request on `conn`.
    pub fn send(&self, conn: &mut Conn, edge: &str, record: &Record) -> bool {
        let headers = self.headers.trim_end().replace("\r\n", "; ");
        record.note(&format!("client sends id={} path={} edge={edge} headers=\"{headers}\"", self.id, self.path));
        let _ = conn.stream.set_read_timeout(Some(Duration::from_millis(self.deadline_ms + 1_000)));
        conn.write(self.encode().as_bytes())
    }

    /// Reads the answer.
    pub fn receive(&self, conn: &mut Conn, record: &Record) -> Option<Message> {
        let answer = conn.read_response();
        let text = match &answer {
            Some(answer) => {
                format!("status={} bytes={} complete={}", answer.status(), answer.body.len(), answer.complete)
            }
            None => "no answer, the connection ended".to_owned(),
        };
        record.note(&format!("client receives id={} {text}", self.id));
        answer
    }

    /// Sends the request on a new connection and reads the answer.
    pub fn exchange(&self, address: SocketAddr, edge: &str, record: &Record) -> Option<Message> {
        let mut conn = Conn::connect(address)?;
        let is_sent = self.send(&mut conn, edge, record);
        is_sent.then(|| self.receive(&mut conn, record)).flatten()
    }
}

fn hash(text: &str) -> u32 {
    text.bytes().fold(7, |sum: u32, byte| sum.wrapping_mul(31).wrapping_add(u32::from(byte)))
}
