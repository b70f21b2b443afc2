//! The continuous batch: which requests read, generate or wait, one step after another.

use std::collections::{BTreeMap, HashMap};

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::units::{Millis, Tokens};

use super::caches::PrefixCache;
use super::events::{EngineEvent, ModelRequest, WorkKind};
use super::options::EngineOptions;

/// Microseconds in a millisecond.
pub(super) const MICROS_PER_MILLI: u64 = 1_000;

/// `Micros` is the engine's own time, finer than the clock that drives it.
pub(super) type Micros = u64;

/// Returns the first reading of the clock at which something at `at` has happened.
pub(super) fn millis_after(at: Micros) -> Millis {
    Millis(at.div_ceil(MICROS_PER_MILLI))
}

/// `Place` orders the requests that wait or read: by priority, then by arrival.
type Place = (u8, u64);

/// `Reading` is a request whose prompt is not read yet.
#[derive(Clone, Debug)]
struct Reading {
    req: ModelRequest,
    /// Whether it holds a place of the batch.
    started: bool,
    /// The tokens still to be read or imported.
    left: u64,
    /// The tokens that the prefix cache spared.
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

/// `Step` is the work under way: one token for each request that generates, and a piece of prompt.
#[derive(Clone, Debug)]
struct Step {
    ends_at: Micros,
    pieces: Vec<(Place, u64)>,
}

/// `Load` counts what a batch holds.
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
    places: HashMap<AttemptId, Place>,
    reading: BTreeMap<Place, Reading>,
    started: usize,
    generating: Vec<Generating>,
    step: Option<Step>,
    arrivals: u64,
}

impl Batch {
    /// Returns the number of open requests.
    pub(super) fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns the number of requests that have not started.
    pub(super) fn waiting(&self) -> usize {
        self.reading.len() - self.started
    }

    /// Returns whether the attempt is open.
    pub(super) fn contains(&self, attempt: AttemptId) -> bool {
        self.places.contains_key(&attempt)
    }

    /// Returns the open attempts, sorted.
    pub(super) fn attempts(&self) -> Vec<AttemptId> {
        let mut attempts: Vec<AttemptId> = self.places.keys().copied().collect();
        attempts.sort_unstable();
        attempts
    }

    /// Returns when the step under way ends.
    pub(super) fn step_ends_at(&self) -> Option<Micros> {
        self.step.as_ref().map(|step| step.ends_at)
    }

    /// Counts what the batch holds.
    pub(super) fn load(&self) -> Load {
        let reads = |reading: &&Reading| reading.req.kind != WorkKind::Decode;
        Load {
            queued_requests: self.waiting() as u32,
            queued_prefill: self.reading.values().filter(reads).map(|reading| reading.left).sum(),
            running_requests: self.generating.len() as u32,
            running_decode: self.generating.iter().map(|run| run.output - run.produced).sum(),
        }
    }

    /// Takes a request in.
    pub(super) fn push(&mut self, req: ModelRequest) {
        let place = (req.priority, self.arrivals);
        self.arrivals += 1;
        self.places.insert(req.attempt, place);
        let left = req.prompt.0;
        self.reading.insert(place, Reading { req, started: false, left, cached: 0 });
    }

    /// Drops a request. The step under way ends no sooner for that.
    pub(super) fn remove(&mut self, attempt: AttemptId) -> bool {
        let Some(place) = self.places.remove(&attempt) else { return false };
        match self.reading.remove(&place) {
            Some(reading) => self.started -= usize::from(reading.started),
            None => self.generating.retain(|run| run.attempt != attempt),
        }
        true
    }

    /// Begins a step if none is under way and there is work.
    pub(super) fn begin_step(
        &mut self,
        now: Micros,
        opts: &EngineOptions,
        cache: &mut PrefixCache,
    ) {
        if self.step.is_some() || self.places.is_empty() {
            return;
        }

        // Every request that generates gets one token.
        let mut micros = 0.0;
        if let Some(others) = self.generating.len().checked_sub(1) {
            let step_ms = opts.decode_step_ms + others as f64 * opts.decode_step_per_request_ms;
            micros += step_ms * MICROS_PER_MILLI as f64;
        }

        // The rest of the step reads prompts in the order of their places.
        let mut pieces = Vec::new();
        let mut free =
            (opts.max_batch as usize).saturating_sub(self.started + self.generating.len());
        let mut started_left = self.started;
        let mut budget = opts.prefill_chunk.0.max(1);
        for (place, reading) in &mut self.reading {
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
            let piece = reading.left.min(budget);
            budget -= piece;
            micros += piece as f64 * reading.micros_per_token(opts);
            pieces.push((*place, piece));
        }
        self.step = Some(Step { ends_at: now + (micros as u64).max(1), pieces });
    }

    /// Ends the step under way: publishes its tokens and passes each prompt read to `prompt_read`.
    pub(super) fn end_step(
        &mut self,
        token_events: bool,
        events: &mut Vec<EngineEvent>,
        mut prompt_read: impl FnMut(&ModelRequest),
    ) {
        let Some(step) = self.step.take() else { return };
        self.generate(step.ends_at, token_events, events);

        for (place, piece) in step.pieces {
            // A request that was cancelled meanwhile is gone.
            let Some(reading) = self.reading.get_mut(&place) else { continue };
            reading.left -= piece;
            if reading.left > 0 {
                continue;
            }
            let Some(reading) = self.reading.remove(&place) else { continue };
            self.started -= 1;
            prompt_read(&reading.req);
            self.finish_reading(reading, step.ends_at, events);
        }
    }

    /// Gives one token to each request that generates.
    fn generate(&mut self, at: Micros, token_events: bool, events: &mut Vec<EngineEvent>) {
        let places = &mut self.places;
        self.generating.retain_mut(|run| {
            run.produce(at, token_events, events);
            let goes_on = run.produced < run.output;
            if !goes_on {
                places.remove(&run.attempt);
            }
            goes_on
        });
    }

    /// Ends work of kind `Prefill`, and has the other kinds generate.
    fn finish_reading(&mut self, reading: Reading, at: Micros, events: &mut Vec<EngineEvent>) {
        let Reading { req, cached, .. } = reading;
        let attempt = req.attempt;
        if req.kind == WorkKind::Prefill {
            self.places.remove(&attempt);
            let cached = Tokens(cached);
            events.push(EngineEvent::Prefilled { attempt, at: millis_after(at), cached });
            return;
        }

        let output = req.output.0.max(1);
        let mut run =
            Generating { attempt, output, produced: 0, cached, last_at: at, longest_gap: 0 };
        // Reading a prompt yields the first token of its output; an imported cache yields none.
        if req.kind == WorkKind::Full {
            run.produce(at, false, events);
        }
        if run.produced < run.output {
            self.generating.push(run);
        } else {
            self.places.remove(&attempt);
        }
    }
}

impl Reading {
    /// Takes a place of the batch, and skips what the prefix cache holds.
    fn start(&mut self, cache: &mut PrefixCache) {
        self.started = true;
        if self.req.kind == WorkKind::Decode {
            return;
        }
        let held = cache.take(&self.req.blocks) as u64;
        let in_cache = held * anvilhook_core::reports::PREFIX_BLOCK_TOKENS;
        // The last token is always read, because it yields the first of the output.
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
    /// Publishes the next token, and the end after the last one.
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
