//! Continuous batching: decides for each step which requests read their prompts (prefill), which
//! generate tokens and which wait.

use std::collections::{BTreeMap, HashMap};

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::units::{Millis, Tokens};

use super::caches::PrefixCache;
use super::events::{EngineEvent, ModelRequest, WorkKind};
use super::options::EngineOptions;

/// Microseconds in a millisecond.
pub(super) const MICROS_PER_MILLI: u64 = 1_000;

/// `Micros` is the engine's internal time in microseconds, finer than the clock that drives it.
pub(super) type Micros = u64;

/// Rounds `at` up to the first clock reading that is not before it.
pub(super) fn millis_after(at: Micros) -> Millis {
    Millis(at.div_ceil(MICROS_PER_MILLI))
}

/// `QueueKey` orders the requests that wait or read their prompts: by priority, then by arrival.
type QueueKey = (u8, u64);

/// `Reading` is a request whose prompt has not been read completely.
#[derive(Clone, Debug)]
struct Reading {
    req: ModelRequest,
    /// Whether the request occupies a slot of the batch.
    started: bool,
    /// The number of tokens still to be read or imported.
    left: u64,
    /// The number of prompt tokens found in the prefix cache.
    cached: u64,
}

/// `Generating` is a request whose output is being generated.
#[derive(Clone, Debug)]
struct Generating {
    attempt: AttemptId,
    output: u64,
    produced: u64,
    cached: u64,
    last_at: Micros,
    longest_gap: Micros,
}

/// `Step` is the batch step in progress: one token for each generating request, and chunks of
/// prompts.
#[derive(Clone, Debug)]
struct Step {
    ends_at: Micros,
    chunks: Vec<(QueueKey, u64)>,
}

/// `Load` counts the queued and running work of a batch.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    pub(super) queued_requests: u32,
    pub(super) queued_prefill: u64,
    pub(super) running_requests: u32,
    pub(super) running_decode: u64,
}

/// `Batch` holds all open requests of an engine.
#[derive(Clone, Debug, Default)]
pub(super) struct Batch {
    queue_keys: HashMap<AttemptId, QueueKey>,
    reading: BTreeMap<QueueKey, Reading>,
    started: usize,
    generating: Vec<Generating>,
    step: Option<Step>,
    arrivals: u64,
}

impl Batch {
    /// Returns the number of open requests.
    pub(super) fn len(&self) -> usize {
        self.queue_keys.len()
    }

    /// Returns the number of requests that have not started.
    pub(super) fn waiting(&self) -> usize {
        self.reading.len() - self.started
    }

    /// Returns whether the attempt is open.
    pub(super) fn contains(&self, attempt: AttemptId) -> bool {
        self.queue_keys.contains_key(&attempt)
    }

    /// Returns the open attempts, sorted.
    pub(super) fn attempts(&self) -> Vec<AttemptId> {
        let mut attempts: Vec<AttemptId> = self.queue_keys.keys().copied().collect();
        attempts.sort_unstable();
        attempts
    }

    /// Returns when the step in progress ends.
    pub(super) fn step_ends_at(&self) -> Option<Micros> {
        self.step.as_ref().map(|step| step.ends_at)
    }

    /// Returns the queued and running work.
    pub(super) fn load(&self) -> Load {
        let reads = |reading: &&Reading| reading.req.kind != WorkKind::Decode;
        Load {
            queued_requests: self.waiting() as u32,
            queued_prefill: self.reading.values().filter(reads).map(|reading| reading.left).sum(),
            running_requests: self.generating.len() as u32,
            running_decode: self.generating.iter().map(|run| run.output - run.produced).sum(),
        }
    }

    /// Adds a request to the queue.
    pub(super) fn push(&mut self, req: ModelRequest) {
        let key = (req.priority, self.arrivals);
        self.arrivals += 1;
        self.queue_keys.insert(req.attempt, key);
        let left = req.prompt.0;
        self.reading.insert(key, Reading { req, started: false, left, cached: 0 });
    }

    /// Removes a request and returns whether it was open. The end of the step in progress stays the
    /// same.
    pub(super) fn remove(&mut self, attempt: AttemptId) -> bool {
        let Some(key) = self.queue_keys.remove(&attempt) else { return false };
        match self.reading.remove(&key) {
            Some(reading) => self.started -= usize::from(reading.started),
            None => self.generating.retain(|run| run.attempt != attempt),
        }
        true
    }

    /// Begins a step if none is in progress and there is work.
    pub(super) fn begin_step(
        &mut self,
        now: Micros,
        opts: &EngineOptions,
        cache: &mut PrefixCache,
    ) {
        if self.step.is_some() || self.queue_keys.is_empty() {
            return;
        }

        // Each generating request produces one token.
        let mut micros = 0.0;
        if let Some(others) = self.generating.len().checked_sub(1) {
            let step_ms = opts.decode_step_ms + others as f64 * opts.decode_step_per_request_ms;
            micros += step_ms * MICROS_PER_MILLI as f64;
        }

        // The remaining budget of the step goes to prompts, in queue order.
        let mut chunks = Vec::new();
        let mut free =
            (opts.max_batch as usize).saturating_sub(self.started + self.generating.len());
        let mut started_left = self.started;
        let mut budget = opts.prefill_chunk.0.max(1);
        for (key, reading) in &mut self.reading {
            if budget == 0 || (free == 0 && started_left == 0) {
                break;
            }
            if reading.started {
                started_left -= 1;
            } else if free > 0 {
                free -= 1;
                self.started += 1;
                reading.start(cache);
            } else {
                continue;
            }
            let chunk = reading.left.min(budget);
            budget -= chunk;
            micros += chunk as f64 * reading.micros_per_token(opts);
            chunks.push((*key, chunk));
        }
        self.step = Some(Step { ends_at: now + (micros as u64).max(1), chunks });
    }

    /// Ends the step in progress: publishes its tokens and calls `prompt_read` for each prompt that
    /// is now read completely.
    pub(super) fn end_step(
        &mut self,
        token_events: bool,
        events: &mut Vec<EngineEvent>,
        mut prompt_read: impl FnMut(&ModelRequest),
    ) {
        let Some(step) = self.step.take() else { return };
        self.generate(step.ends_at, token_events, events);

        for (key, chunk) in step.chunks {
            // The request may have been cancelled during the step.
            let Some(reading) = self.reading.get_mut(&key) else { continue };
            reading.left -= chunk;
            if reading.left > 0 {
                continue;
            }
            let Some(reading) = self.reading.remove(&key) else { continue };
            self.started -= 1;
            prompt_read(&reading.req);
            self.finish_reading(reading, step.ends_at, events);
        }
    }

    /// Produces one token for each generating request.
    fn generate(&mut self, at: Micros, token_events: bool, events: &mut Vec<EngineEvent>) {
        let queue_keys = &mut self.queue_keys;
        self.generating.retain_mut(|run| {
            run.produce(at, token_events, events);
            let is_unfinished = run.produced < run.output;
            if !is_unfinished {
                queue_keys.remove(&run.attempt);
            }
            is_unfinished
        });
    }

    /// Completes work of kind `Prefill` and moves the other kinds on to generation.
    fn finish_reading(&mut self, reading: Reading, at: Micros, events: &mut Vec<EngineEvent>) {
        let Reading { req, cached, .. } = reading;
        let attempt = req.attempt;
        if req.kind == WorkKind::Prefill {
            self.queue_keys.remove(&attempt);
            let cached = Tokens(cached);
            events.push(EngineEvent::Prefilled { attempt, at: millis_after(at), cached });
            return;
        }

        let output = req.output.0.max(1);
        let mut run =
            Generating { attempt, output, produced: 0, cached, last_at: at, longest_gap: 0 };
        // Reading a prompt yields the first token of its output; importing a KV cache yields none.
        if req.kind == WorkKind::Full {
            run.produce(at, false, events);
        }
        if run.produced < run.output {
            self.generating.push(run);
        } else {
            self.queue_keys.remove(&attempt);
        }
    }
}

impl Reading {
    /// Occupies a slot of the batch and skips the prompt tokens held in the prefix cache.
    fn start(&mut self, cache: &mut PrefixCache) {
        self.started = true;
        if self.req.kind == WorkKind::Decode {
            return;
        }
        let held = cache.take(&self.req.blocks) as u64;
        let in_cache = held * anvilhook_core::reports::PREFIX_BLOCK_TOKENS;
        // The last prompt token is always read, because it yields the first output token.
        self.cached = in_cache.min(self.left.saturating_sub(1));
        self.left -= self.cached;
    }

    fn micros_per_token(&self, opts: &EngineOptions) -> f64 {
        let per_s = match self.req.kind {
            WorkKind::Full | WorkKind::Prefill => opts.prefill_tokens_per_s,
            WorkKind::Decode => opts.kv_import_tokens_per_s,
        };
        1e6 / f64::from(per_s.max(1))
    }
}

impl Generating {
    /// Publishes the next token, and `Finished` after the last one.
    fn produce(&mut self, at: Micros, token_events: bool, events: &mut Vec<EngineEvent>) {
        let attempt = self.attempt;
        let millis = millis_after(at);
        self.produced += 1;
        if self.produced == 1 {
            let cached = Tokens(self.cached);
            events.push(EngineEvent::FirstToken { attempt, at: millis, cached });
        } else {
            self.longest_gap = self.longest_gap.max(at - self.last_at);
            if token_events {
                events.push(EngineEvent::Token { attempt, index: self.produced, at: millis });
            }
        }
        self.last_at = at;
        if self.produced == self.output {
            events.push(EngineEvent::Finished {
                attempt,
                at: millis,
                output: Tokens(self.output),
                longest_gap: millis_after(self.longest_gap),
            });
        }
    }
}
