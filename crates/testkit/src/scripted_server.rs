//! Fake backend server that answers each request from a script and records the requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Bytes that an endless action writes at a time.
const ENDLESS_BLOCK_BYTES: usize = 16 << 10;

/// One action of the server's response to a request.
#[derive(Clone, Debug)]
pub enum ServerAction {
    /// Writes text, with `$ID` replaced by the request's id.
    Write(String),
    /// Writes text again and again until the client closes the connection.
    WriteForever(String),
    /// Waits for this time, but ends the connection at once when the client closes it.
    Wait(Duration),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

/// Actions for each request, in order of arrival; the last entry also answers all later requests.
pub type Script = Vec<Vec<ServerAction>>;

/// Requests and connections that the server has received.
#[derive(Clone, Debug, Default)]
pub struct Recording {
    /// Heads and bodies of the requests.
    pub requests: Vec<String>,
    /// Number of accepted connections.
    pub connections: usize,
    /// Times at which the requests arrived.
    pub arrivals: Vec<tokio::time::Instant>,
    /// Number of connections that the client closed.
    pub closed: usize,
    /// Number of server-sent events written.
    pub events: u64,
}

/// Fake backend server that answers from its script.
#[derive(Debug)]
pub struct ScriptedServer {
    /// Address on which the server listens.
    pub address: SocketAddr,
    recorded: Arc<Mutex<Recording>>,
}

impl ScriptedServer {
    /// Starts a server on a loopback port.
    pub async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let recorded = Arc::<Mutex<Recording>>::default();
        tokio::spawn(accept(listener, Arc::new(script), Arc::clone(&recorded)));
        Self { address, recorded }
    }

    /// Starts a server that accepts one connection and crashes at the request: it accepts no further connection, writes
    /// `last_words` and closes this one.
    pub async fn start_crashing(last_words: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let recorded = Arc::<Mutex<Recording>>::default();
        let (last_words, recording) = (last_words.to_owned(), Arc::clone(&recorded));
        tokio::spawn(async move {
            let Ok((mut stream, _)) = listener.accept().await else { return };
            drop(listener);
            if let Some(request) = read_request(&mut stream).await {
                let id = header(&request, "x-id").unwrap_or_default();
                recording.lock().requests.push(request);
                let _ = stream.write_all(last_words.replace("$ID", &id).as_bytes()).await;
            }
        });
        Self { address, recorded }
    }

    /// Returns what the server has recorded so far.
    pub fn recorded(&self) -> Recording {
        self.recorded.lock().clone()
    }
}

/// Complete response with a `content-length`.
pub fn response(status: u16, headers: &str, body: &str) -> ServerAction {
    let length = body.len();
    ServerAction::Write(format!("HTTP/1.1 {status} X\r\nx-id: $ID\r\n{headers}content-length: {length}\r\n\r\n{body}"))
}

/// Head of a streamed response that ends when the connection closes.
pub fn stream_head() -> ServerAction {
    ServerAction::Write(
        "HTTP/1.1 200 OK\r\nx-id: $ID\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n".to_owned(),
    )
}

/// Head of a streamed response with chunked transfer encoding.
pub fn chunked_head() -> ServerAction {
    let head = "HTTP/1.1 200 OK\r\nx-id: $ID\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    ServerAction::Write(head.to_owned())
}

/// One chunk of a response with chunked transfer encoding.
pub fn chunk(text: &str) -> ServerAction {
    ServerAction::Write(format!("{:x}\r\n{text}\r\n", text.len()))
}

/// Server-sent event with a number and a short text.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

async fn accept(listener: TcpListener, script: Arc<Script>, recorded: Arc<Mutex<Recording>>) {
    while let Ok((stream, _)) = listener.accept().await {
        recorded.lock().connections += 1;
        tokio::spawn(serve(stream, Arc::clone(&script), Arc::clone(&recorded)));
    }
}

async fn serve(mut stream: TcpStream, script: Arc<Script>, recorded: Arc<Mutex<Recording>>) {
    while let Some(request) = read_request(&mut stream).await {
        let index = {
            let mut recorded = recorded.lock();
            recorded.requests.push(request.clone());
            recorded.arrivals.push(tokio::time::Instant::now());
            recorded.requests.len() - 1
        };
        let id = header(&request, "x-id").unwrap_or_default();
        for action in script.get(index).or(script.last()).into_iter().flatten() {
            match action {
                ServerAction::Write(text) => {
                    if stream.write_all(text.replace("$ID", &id).as_bytes()).await.is_err() {
                        recorded.lock().closed += 1;
                        return;
                    }
                    recorded.lock().events += text.matches("\n\n").count() as u64;
                }
                ServerAction::WriteForever(text) => {
                    let block = text.repeat(ENDLESS_BLOCK_BYTES.div_ceil(text.len().max(1)));
                    while stream.write_all(block.as_bytes()).await.is_ok() {}
                    recorded.lock().closed += 1;
                    return;
                }
                ServerAction::Wait(span) => {
                    let mut byte = [0; 1];
                    tokio::select! {
                        () = tokio::time::sleep(*span) => {}
                        read = stream.read(&mut byte) => {
                            if !matches!(read, Ok(count) if count > 0) {
                                recorded.lock().closed += 1;
                                return;
                            }
                        }
                    }
                }
                ServerAction::Close => return,
                ServerAction::Reset => {
                    let _ = stream.set_zero_linger();
                    return;
                }
            }
        }
    }
    recorded.lock().closed += 1;
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let head = text.windows(4).position(|window| window == b"\r\n\r\n").map(|at| at + 4);
        if let Some(head) = head {
            let request = String::from_utf8_lossy(&text).into_owned();
            let length = header(&request, "content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
            if text.len() >= head + length {
                return Some(request);
            }
        }
        match stream.read(&mut buffer).await {
            Ok(count) if count > 0 => text.extend_from_slice(&buffer[..count]),
            _ => return None,
        }
    }
}

/// Finds the value of a header in a recorded request.
pub fn header(request: &str, name: &str) -> Option<String> {
    let lines = request.lines().filter_map(|line| line.split_once(": "));
    lines.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_owned()).next()
}
