//! Engine in virtual time: continuous batching, chunked prefill, a cache of prompt parts and a bounded memory.
//!
//! An iteration computes at most one chunk of prompts, oldest first, and one token of each generating request. See
//! `docs/design/PLACEMENT.md` for the formulas.

#![allow(clippy::cast_precision_loss, reason = "token counts are far below the precision of f64")]

use std::collections::{HashMap, VecDeque};

use coltsfootpick_core::selection::PromptPart;

/// Nominal values of the engines of one deployment.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// Duration of a step without requests, in milliseconds.
    pub step_ms: f64,
    /// Addition for each generating request, in milliseconds.
    pub per_slot_ms: f64,
    /// Addition for each 1,000 tokens in memory, in milliseconds.
    pub context_ms: f64,
    /// Prompt tokens computed per millisecond.
    pub prefill_per_ms: f64,
    /// Addition for each million pairs of prompt tokens, in milliseconds.
    pub pairs_ms: f64,
    /// Prompt tokens computed between two steps.
    pub chunk: u64,
    /// Requests that run at once.
    pub slots: usize,
    /// Tokens that fit into the memory.
    pub memory: u64,
    /// Shortest time to the first token, in milliseconds.
    pub first_token_ms: f64,
}

/// Request as an engine sees it.
#[derive(Clone, Debug)]
struct EngineJob {
    job: usize,
    parts: Vec<PromptPart>,
    prompt: u64,
    output: u64,
    computed: u64,
    generated: u64,
}

impl EngineJob {
    const fn held(&self) -> u64 {
        self.computed + self.generated
    }
}

/// What happened to a request at the end of an iteration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The prompt is computed and the first token generated.
    First(usize),
    /// Another token was generated; the number of tokens so far.
    Token(usize, u64),
    /// The last token was generated.
    Done(usize),
}

/// One engine.
#[derive(Debug)]
pub struct SimulatedEngine {
    spec: EngineSpec,
    /// Ratio of its speed to the nominal one.
    pub speed: f64,
    /// Ratio by which a disturbance slows it at present.
    pub slowdown: f64,
    queue: VecDeque<EngineJob>,
    prefilling: VecDeque<EngineJob>,
    generating: Vec<EngineJob>,
    /// Cached parts: length and time of the last use.
    cache: HashMap<u64, (u64, u64)>,
    cached_tokens: u64,
    uses: u64,
    chunk_left: u64,
    /// Whether an iteration is running.
    pub is_stepping: bool,
    /// Shared prompt tokens that were computed, by job.
    pub recomputed: Vec<(usize, u64)>,
    /// Requests preempted for lack of memory.
    pub preemptions: u64,
}

impl SimulatedEngine {
    /// Creates an idle engine.
    pub fn new(spec: EngineSpec, speed: f64) -> Self {
        Self {
            spec,
            speed,
            slowdown: 1.0,
            queue: VecDeque::new(),
            prefilling: VecDeque::new(),
            generating: Vec::new(),
            cache: HashMap::new(),
            cached_tokens: 0,
            uses: 0,
            chunk_left: 0,
            is_stepping: false,
            recomputed: Vec::new(),
            preemptions: 0,
        }
    }

    /// Takes a request into the queue.
    pub fn receive(&mut self, job: usize, parts: &[PromptPart], prompt: u64, output: u64) {
        self.queue.push_back(EngineJob { job, parts: parts.to_vec(), prompt, output, computed: 0, generated: 0 });
    }

    /// Requests in the queue and running.
    pub fn open(&self) -> usize {
        self.queue.len() + self.prefilling.len() + self.generating.len()
    }

    /// Prompt tokens that are not computed yet.
    pub fn prefill_left(&self) -> u64 {
        self.queue.iter().chain(&self.prefilling).map(|job| job.prompt - job.computed).sum()
    }

    /// Tokens that running requests hold.
    pub fn held(&self) -> u64 {
        self.prefilling.iter().chain(&self.generating).map(EngineJob::held).sum()
    }

    /// Starts an iteration and returns its duration in milliseconds, or `None` without work.
    pub fn start_step(&mut self) -> Option<f64> {
        self.preempt();
        while self.prefilling.len() + self.generating.len() < self.spec.slots {
            let Some(next) = self.queue.front() else { break };
            if self.held() + next.prompt > self.spec.memory {
                break;
            }
            let Some(mut job) = self.queue.pop_front() else { break };
            self.admit(&mut job);
            self.prefilling.push_back(job);
        }
        self.is_stepping = !self.prefilling.is_empty() || !self.generating.is_empty();
        if !self.is_stepping {
            return None;
        }
        let mut time = 0.0;
        let mut budget = self.spec.chunk;
        for job in &self.prefilling {
            let tokens = budget.min(job.prompt - job.computed);
            let (before, after) = (job.computed as f64, (job.computed + tokens) as f64);
            time += tokens as f64 / self.spec.prefill_per_ms;
            time += (after * after - before * before) / 1e6 * self.spec.pairs_ms;
            budget -= tokens;
        }
        self.chunk_left = self.spec.chunk - budget;
        if !self.generating.is_empty() {
            let running = self.generating.len() as f64;
            let context = self.held() as f64 / 1e3;
            time += self.spec.step_ms + self.spec.per_slot_ms * running + self.spec.context_ms * context;
        }
        Some(time * self.slowdown / self.speed)
    }

    /// Ends an iteration and reports the progress of the requests.
    pub fn end_step(&mut self, progress: &mut Vec<Progress>) {
        for job in &mut self.generating {
            job.generated += 1;
            let done = job.generated >= job.output;
            progress.push(if done { Progress::Done(job.job) } else { Progress::Token(job.job, job.generated) });
        }
        self.generating.retain(|job| job.generated < job.output);
        let mut left = self.chunk_left;
        while let Some(job) = self.prefilling.front_mut() {
            let tokens = left.min(job.prompt - job.computed);
            job.computed += tokens;
            left -= tokens;
            if job.computed < job.prompt {
                break;
            }
            let Some(mut job) = self.prefilling.pop_front() else { break };
            self.store(&job.parts);
            if job.generated == 0 {
                job.generated = 1;
                progress.push(Progress::First(job.job));
            }
            if job.generated >= job.output {
                progress.push(Progress::Done(job.job));
            } else {
                self.generating.push(job);
            }
        }
        self.is_stepping = false;
    }

    /// Skips the leading parts that are cached.
    fn admit(&mut self, job: &mut EngineJob) {
        let Some((_, shared)) = job.parts.split_last() else { return };
        let mut cached = 0;
        let total: u64 = shared.iter().map(|part| part.tokens).sum();
        for part in shared {
            let Some((_, used)) = self.cache.get_mut(&part.id) else { break };
            self.uses += 1;
            *used = self.uses;
            cached += part.tokens;
        }
        job.computed = cached;
        self.recomputed.push((job.job, total - cached));
    }

    fn store(&mut self, parts: &[PromptPart]) {
        let Some((_, shared)) = parts.split_last() else { return };
        for part in shared {
            self.uses += 1;
            if self.cache.insert(part.id, (part.tokens, self.uses)).is_none() {
                self.cached_tokens += part.tokens;
            }
        }
        self.evict();
    }

    /// Evicts the parts unused for longest that do not fit beside the running requests.
    fn evict(&mut self) {
        let room = self.spec.memory.saturating_sub(self.held());
        while self.cached_tokens > room {
            let Some((&id, &(tokens, _))) = self.cache.iter().min_by_key(|(_, (_, used))| *used) else { return };
            self.cache.remove(&id);
            self.cached_tokens -= tokens;
        }
    }

    /// Returns the newest requests to the queue while the running ones do not fit into the memory.
    fn preempt(&mut self) {
        while self.held() > self.spec.memory {
            let Some(mut job) = self.generating.pop() else { return };
            job.computed = 0;
            self.preemptions += 1;
            self.queue.push_front(job);
        }
    }
}
