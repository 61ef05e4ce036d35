//! Log lines on standard output, bounded in number and never waited for.
//!
//! Lines go through a queue to a thread of their own, so a reader that is slow or gone delays no request. Above
//! the rate of a second, lines of level `info` are dropped first and warnings last; the number dropped is told.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::{Level, Record};
use parking_lot::Mutex;

use crate::log_events::LogEvent;

/// Lines of level `info` written in one second at most.
pub const LINES_PER_SECOND: u64 = 600;

/// Further lines of a second that only warnings may use.
pub const EXTRA_WARNINGS_PER_SECOND: u64 = 200;

/// Lines that wait for the writing thread.
const QUEUED_MAX: usize = 2_048;

/// Time for which the writing thread gathers lines before it writes them together.
const GATHER: Duration = Duration::from_millis(100);

const SECOND: Duration = Duration::from_secs(1);

/// Decides which lines of a second are written.
#[derive(Debug)]
pub struct LogRateLimiter {
    since: Instant,
    written: u64,
    dropped: u64,
}

impl LogRateLimiter {
    /// Budget whose first second starts at `now`.
    pub const fn new(now: Instant) -> Self {
        Self { since: now, written: 0, dropped: 0 }
    }

    /// Whether a line of this level is written, and how many were dropped in the second that ended with it.
    pub fn take(&mut self, level: Level, now: Instant) -> (bool, u64) {
        let mut ended = 0;
        if now.duration_since(self.since) >= SECOND {
            ended = std::mem::take(&mut self.dropped);
            self.written = 0;
            self.since = now;
        }
        let most = if level <= Level::Warn { LINES_PER_SECOND + EXTRA_WARNINGS_PER_SECOND } else { LINES_PER_SECOND };
        let is_written = self.written < most;
        match is_written {
            true => self.written += 1,
            false => self.dropped += 1,
        }
        (is_written, ended)
    }
}

/// Writer that hands lines to its thread.
#[derive(Debug)]
pub struct QueuedLogWriter {
    queue: SyncSender<String>,
    budget: Mutex<LogRateLimiter>,
    overflowed: AtomicU64,
}

impl QueuedLogWriter {
    /// Starts the writing thread.
    pub fn start(out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (queue, lines) = sync_channel(QUEUED_MAX);
        std::thread::Builder::new().name("log-lines".to_owned()).spawn(move || write_lines(&lines, out))?;
        let budget = Mutex::new(LogRateLimiter::new(Instant::now()));
        Ok(Self { queue, budget, overflowed: AtomicU64::new(0) })
    }

    fn push(&self, line: String) {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = self.queue.try_send(line) {
            self.overflowed.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl LogWriter for QueuedLogWriter {
    fn write(&self, _now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let (is_written, dropped) = self.budget.lock().take(record.level(), Instant::now());
        let dropped = dropped + self.overflowed.swap(0, Ordering::Relaxed);
        let time = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis());
        if dropped > 0 {
            self.push(format!("{time} WARN {} lines={dropped}\n", LogEvent::LinesDropped.code()));
        }
        if is_written {
            self.push(format!("{time} {} {}\n", record.level(), record.args()));
        }
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Sends all log lines of the process through a [`BoundedLines`] on standard output.
pub fn start_logging(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    let lines = QueuedLogWriter::start(std::io::stdout())?;
    Logger::with(LogSpecification::parse(level)?).log_to_writer(Box::new(lines)).start()
}

/// Writes what is queued, several lines at a time; ends when the queue's other end is gone or nobody reads.
fn write_lines(lines: &Receiver<String>, mut out: impl Write) {
    while let Ok(mut text) = lines.recv() {
        std::thread::sleep(GATHER);
        while let Ok(line) = lines.try_recv() {
            text.push_str(&line);
        }
        if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
