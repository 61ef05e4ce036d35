//! Writes log lines to standard output, limited in rate and without blocking.
//!
//! Lines go through a queue to a thread of their own, so that a slow or closed reader delays no request. Above the rate
//! limit, lines of level `info` are dropped first and warnings last; the number of dropped lines is logged.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use flexi_logger::writers::LogWriter;
use flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle};
use log::{Level, Record};
use parking_lot::Mutex;

use crate::log_events::LogEvent;

/// Lines per second above which lines of level `info` and below are dropped.
pub const LINES_PER_SECOND: u64 = 600;

/// Lines per second beyond [`LINES_PER_SECOND`] that only warnings and errors may use.
pub const EXTRA_WARNINGS_PER_SECOND: u64 = 200;

/// Maximum number of lines queued for the writer thread.
const QUEUE_LENGTH: usize = 2_048;

/// Time for which the writer thread collects lines before it writes them together.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

const SECOND: Duration = Duration::from_secs(1);

/// Rate limiter that decides which log lines are written.
#[derive(Debug)]
pub struct LogRateLimiter {
    window_start: Instant,
    written: u64,
    dropped: u64,
}

impl LogRateLimiter {
    /// Creates a limiter whose first second starts at `now`.
    pub const fn new(now: Instant) -> Self {
        Self { window_start: now, written: 0, dropped: 0 }
    }

    /// Returns whether a line of `level` is written and, if it is the first of a new second, how many lines were
    /// dropped in the previous one.
    pub fn admit(&mut self, level: Level, now: Instant) -> (bool, u64) {
        let mut last_dropped = 0;
        if now.duration_since(self.window_start) >= SECOND {
            last_dropped = std::mem::take(&mut self.dropped);
            self.written = 0;
            self.window_start = now;
        }
        let limit = if level <= Level::Warn { LINES_PER_SECOND + EXTRA_WARNINGS_PER_SECOND } else { LINES_PER_SECOND };
        let is_written = self.written < limit;
        match is_written {
            true => self.written += 1,
            false => self.dropped += 1,
        }
        (is_written, last_dropped)
    }
}

/// Log writer that queues lines for its writer thread.
#[derive(Debug)]
pub struct QueuedLogWriter {
    queue: SyncSender<String>,
    limiter: Mutex<LogRateLimiter>,
    overflowed: AtomicU64,
}

impl QueuedLogWriter {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start(out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (queue, lines) = sync_channel(QUEUE_LENGTH);
        std::thread::Builder::new().name("log-lines".to_owned()).spawn(move || write_lines(&lines, out))?;
        let limiter = Mutex::new(LogRateLimiter::new(Instant::now()));
        Ok(Self { queue, limiter, overflowed: AtomicU64::new(0) })
    }

    fn push(&self, line: String) {
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = self.queue.try_send(line) {
            self.overflowed.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl LogWriter for QueuedLogWriter {
    fn write(&self, _now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        let (is_written, dropped) = self.limiter.lock().admit(record.level(), Instant::now());
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

/// Logs all lines of the process through a [`QueuedLogWriter`] to standard output.
///
/// # Errors
///
/// Fails if `level` is not a valid log specification, or if the logger cannot be started.
pub fn start_logging(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    let lines = QueuedLogWriter::start(std::io::stdout())?;
    Logger::with(LogSpecification::parse(level)?).log_to_writer(Box::new(lines)).start()
}

/// Writes queued lines in batches until the queue is closed or writing fails.
fn write_lines(lines: &Receiver<String>, mut out: impl Write) {
    while let Ok(mut text) = lines.recv() {
        std::thread::sleep(FLUSH_INTERVAL);
        while let Ok(line) = lines.try_recv() {
            text.push_str(&line);
        }
        if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
