//! Reading and writing of HTTP/1.1 messages on blocking sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// Start line, headers and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub complete: bool,
}

impl Message {
    /// Value of the first header with this name, in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response, 0 for none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> Option<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok().map(Self::new)
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    fn fill(&mut self) -> bool {
        let mut chunk = [0; 16 << 10];
        match self.stream.read(&mut chunk) {
            Ok(count) if count > 0 => {
                self.buffer.extend_from_slice(&chunk[..count]);
                true
            }
            _ => false,
        }
    }

    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    /// Reads start line and headers.
    pub fn read_head(&mut self) -> Option<Message> {
        let start = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
        Some(Message { start, headers, ..Message::default() })
    }

    /// Reads the next piece of a chunked body; an empty one ends it, `None` means that it broke off.
    pub fn read_chunk(&mut self) -> Option<Vec<u8>> {
        let size = usize::from_str_radix(self.line()?.trim(), 16).ok()?;
        let chunk = self.take(size)?;
        self.line()?;
        Some(chunk)
    }

    fn read_body(&mut self, message: &mut Message, until_close: bool) {
        if message.header("transfer-encoding").is_some() {
            while let Some(chunk) = self.read_chunk() {
                if chunk.is_empty() {
                    message.complete = true;
                    return;
                }
                message.body.extend(chunk);
            }
        } else if let Some(length) = message.header("content-length").and_then(|text| text.parse().ok()) {
            match self.take(length) {
                Some(body) => (message.body, message.complete) = (body, true),
                None => message.body = std::mem::take(&mut self.buffer),
            }
        } else if until_close {
            while self.fill() {}
            message.body = std::mem::take(&mut self.buffer);
            message.complete = true;
        } else {
            message.complete = true;
        }
    }

    /// Reads a whole request.
    pub fn read_request(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message, false);
        message.complete.then_some(message)
    }

    /// Reads a response; `None` if the connection ended before its head was read.
    pub fn read_response(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message, true);
        Some(message)
    }
}
