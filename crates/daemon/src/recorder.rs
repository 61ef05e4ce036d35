//! Records the decisions of a run as a trace that can be replayed; see `docs/TRACES.md`.

use coltsfootpick_core::names::InstanceName;
use coltsfootpick_core::trace::{HEADER, Step, TraceLine};
use coltsfootpick_core::units::Instant;
use parking_lot::Mutex;

/// Recorder of the first trace lines of a run, up to a limit; a limit of 0 disables it.
#[derive(Debug)]
pub struct Recorder {
    instance: InstanceName,
    limit: usize,
    lines: Mutex<Vec<TraceLine>>,
}

impl Recorder {
    /// Creates a recorder that keeps the first `limit` lines of `instance`.
    pub fn new(instance: InstanceName, limit: usize) -> Self {
        Self { instance, limit, lines: Mutex::default() }
    }

    /// Records a step. Call this while holding the lock that orders the step, so that the trace has the same order.
    pub fn note(&self, at: Instant, step: impl FnOnce() -> Step, outcome: impl FnOnce() -> Option<String>) {
        if self.limit == 0 {
            return;
        }
        let mut lines = self.lines.lock();
        if lines.len() < self.limit {
            lines.push(TraceLine { at, instance: self.instance.clone(), step: step(), outcome: outcome() });
        }
    }

    /// Renders the trace as text.
    pub fn render(&self) -> String {
        let lines = self.lines.lock();
        lines.iter().fold(format!("{HEADER}\n"), |text, line| text + &line.to_string() + "\n")
    }
}
