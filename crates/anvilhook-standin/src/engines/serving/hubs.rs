//! `Hub` connects the engine's server to its state machine: it submits requests, drives the engine
//! and passes its events to the readers of answers.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::units::{Clock, Millis, SystemClock, Tokens};
use anvilhook_engine::prompts::{prefix_blocks, prompt_tokens};
use anvilhook_engine::wire::ChatRequest;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};

use super::ledgers::{AttemptEnd, AttemptRecord};
use super::texts::prompt_digest;
use crate::engines::{EngineEvent, EngineModel, ModelRequest, Refused, WorkKind};

/// The output length of a request that sets none.
const DEFAULT_OUTPUT: Tokens = Tokens(64);

/// The number of sweeps for unread streams and KV caches within one resume window.
const SWEEPS_PER_WINDOW: u64 = 10;

/// `Prompt` is the part of a request that the server retains.
#[derive(Clone, Debug)]
pub(super) struct Prompt {
    pub(super) attempt: AttemptId,
    pub(super) model: String,
    pub(super) digest: u64,
    pub(super) tokens: Tokens,
    pub(super) output: Tokens,
}

/// `Progress` is the progress of an attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    /// The number of tokens generated.
    pub(super) produced: u64,
    /// How the attempt ended, if it has.
    pub(super) end: Option<AttemptEnd>,
}

/// `KvCache` is the small document that represents an exported KV cache.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct KvCache {
    prompt: u64,
    tokens: Tokens,
}

/// `Stream` is an attempt that can be read or resumed.
#[derive(Debug)]
struct Stream {
    prompt: Arc<Prompt>,
    progress: watch::Sender<Progress>,
    readers: usize,
    /// When a reader was last dropped.
    unread_since: Millis,
    /// The index of its record in the ledger.
    record: usize,
}

#[derive(Debug)]
pub(super) struct HubState {
    pub(super) model: EngineModel,
    pub(super) ledger: Vec<AttemptRecord>,
    streams: HashMap<AttemptId, Stream>,
    kv: HashMap<AttemptId, (Millis, KvCache)>,
    swept_at: Millis,
    /// Counts the attempts that have ended.
    ended: watch::Sender<u64>,
}

/// `Hub` holds the engine and the attempts known to its server.
#[derive(Debug)]
pub(super) struct Hub {
    clock: SystemClock,
    resume_window: Millis,
    state: Mutex<HubState>,
    /// Wakes the driver when the engine's next event may have moved to an earlier time.
    work: Notify,
}

/// `Reader` follows the progress of one attempt. Dropping it deregisters it from the hub.
#[derive(Debug)]
pub(super) struct Reader {
    pub(super) prompt: Arc<Prompt>,
    pub(super) progress: watch::Receiver<Progress>,
    hub: Arc<Hub>,
    /// Whether the attempt can be resumed by another reader.
    resumable: bool,
}

impl Hub {
    pub(super) fn new(model: EngineModel, clock: SystemClock, resume_window: Millis) -> Self {
        let state = HubState {
            model,
            ledger: Vec::new(),
            streams: HashMap::new(),
            kv: HashMap::new(),
            swept_at: clock.now(),
            ended: watch::Sender::new(0),
        };
        Self { clock, resume_window, state: Mutex::new(state), work: Notify::new() }
    }

    pub(super) fn now(&self) -> Millis {
        self.clock.now()
    }

    pub(super) fn state(&self) -> MutexGuard<'_, HubState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Submits a request to the engine and returns a reader of its answer.
    pub(super) fn submit(
        self: &Arc<Self>,
        attempt: AttemptId,
        priority: u8,
        req: &ChatRequest,
    ) -> Result<Reader, Refused> {
        let prompt = Arc::new(Prompt {
            attempt,
            model: req.model.clone(),
            digest: prompt_digest(&req.messages),
            tokens: prompt_tokens(&req.messages),
            output: req.max_tokens.map_or(DEFAULT_OUTPUT, Tokens),
        });
        let blocks = prefix_blocks(&req.messages);
        let now = self.now();
        let mut state = self.state();
        let work = ModelRequest {
            attempt,
            kind: state.work_kind(&prompt),
            prompt: prompt.tokens,
            blocks: blocks.into(),
            output: prompt.output,
            priority,
        };
        let submitted = state.submit(now, work);
        state.record(now, &prompt, submitted);
        submitted?;

        let progress = watch::Sender::new(Progress::default());
        let reader = self.reader(&prompt, &progress, req.stream);
        let record = state.ledger.len() - 1;
        let stream = Stream { prompt, progress, readers: 1, unread_since: now, record };
        state.streams.insert(attempt, stream);
        drop(state);
        self.work.notify_one();
        Ok(reader)
    }

    /// Returns another reader of an attempt that is still known.
    pub(super) fn resume(self: &Arc<Self>, attempt: AttemptId) -> Option<Reader> {
        let mut state = self.state();
        let stream = state.streams.get_mut(&attempt)?;
        stream.readers += 1;
        Some(self.reader(&stream.prompt, &stream.progress, true))
    }

    /// Cancels an attempt and removes its KV cache.
    pub(super) fn cancel(&self, attempt: AttemptId, end: AttemptEnd) {
        let now = self.now();
        let mut state = self.state();
        state.kv.remove(&attempt);
        if state.model.cancel(now, attempt) {
            state.end(attempt, end, now);
        }
        state.advance(now);
    }

    /// Waits until an attempt has been received and has ended.
    pub(super) async fn ended(&self, attempt: AttemptId) -> AttemptEnd {
        let mut ended = self.state().ended.subscribe();
        loop {
            let end = self.state().end_of(attempt);
            if let Some(end) = end {
                return end;
            }
            // The sender lives as long as the hub, so the channel cannot close during the wait.
            let _ = ended.changed().await;
        }
    }

    /// Runs `act` on the engine, then applies the resulting events.
    pub(super) fn with_model<T>(&self, act: impl FnOnce(&mut EngineModel, Millis) -> T) -> T {
        let now = self.now();
        let mut state = self.state();
        let done = act(&mut state.model, now);
        state.advance(now);
        drop(state);
        self.work.notify_one();
        done
    }

    /// Returns the KV cache of an attempt.
    pub(super) fn export_kv(&self, attempt: AttemptId) -> Option<KvCache> {
        self.state().kv.get(&attempt).map(|(_, cache)| cache.clone())
    }

    /// Stores the KV cache of an attempt whose output this engine is to generate.
    pub(super) fn import_kv(&self, attempt: AttemptId, cache: KvCache) {
        let now = self.now();
        self.state().kv.insert(attempt, (now, cache));
    }

    /// Terminates the process: all state in memory is lost.
    pub(super) fn crash(&self) {
        self.with_model(|model, now| model.crash(now));
        let mut state = self.state();
        state.streams.clear();
        state.kv.clear();
    }

    /// Drives the engine. Never returns.
    pub(super) async fn drive(&self) {
        loop {
            let now = self.now();
            let next = {
                let mut state = self.state();
                state.advance(now);
                state.sweep(now, self.sweep_interval(), self.resume_window);
                let due = state.model.next_event_at().unwrap_or(Millis::MAX);
                due.min(now + self.sweep_interval())
            };
            let wait = (next - now).as_duration();
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.work.notified() => {}
            }
        }
    }

    fn sweep_interval(&self) -> Millis {
        Millis((self.resume_window.0 / SWEEPS_PER_WINDOW).max(1))
    }

    fn reader(
        self: &Arc<Self>,
        prompt: &Arc<Prompt>,
        progress: &watch::Sender<Progress>,
        resumable: bool,
    ) -> Reader {
        Reader {
            prompt: prompt.clone(),
            progress: progress.subscribe(),
            hub: self.clone(),
            resumable,
        }
    }
}

impl HubState {
    /// Returns the kind of work of a request: only prefill if no output is requested, only decode
    /// if the prompt's KV cache has been imported.
    fn work_kind(&self, prompt: &Prompt) -> WorkKind {
        let imported = self.kv.get(&prompt.attempt);
        if prompt.output == Tokens(0) {
            WorkKind::Prefill
        } else if imported.is_some_and(|(_, cache)| cache.prompt == prompt.digest) {
            WorkKind::Decode
        } else {
            WorkKind::Full
        }
    }

    /// Submits a request to the model. Refuses an attempt that is still known, even if it has
    /// ended.
    fn submit(&mut self, now: Millis, work: ModelRequest) -> Result<(), Refused> {
        if self.streams.contains_key(&work.attempt) {
            return Err(Refused::Duplicate);
        }
        self.model.submit(now, work)
    }

    fn record(&mut self, now: Millis, prompt: &Prompt, submitted: Result<(), Refused>) {
        self.ledger.push(AttemptRecord {
            attempt: prompt.attempt,
            prompt: prompt.digest,
            output: prompt.output,
            received_at: now,
            end: submitted.err().map(|refused| (AttemptEnd::Refused(refused), now)),
        });
        if submitted.is_err() {
            self.ended.send_modify(|ended| *ended += 1);
        }
    }

    fn end_of(&self, attempt: AttemptId) -> Option<AttemptEnd> {
        let record = self.ledger.iter().rev().find(|record| record.attempt == attempt)?;
        record.end.map(|(end, _)| end)
    }

    /// Advances the engine to `now` and applies its events.
    fn advance(&mut self, now: Millis) {
        for event in self.model.advance(now) {
            self.apply_event(event);
        }
    }

    fn apply_event(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::FirstToken { attempt, .. } => self.produced(attempt, 1),
            EngineEvent::Token { attempt, index, .. } => self.produced(attempt, index),
            EngineEvent::Finished { attempt, at, .. } => {
                self.end(attempt, AttemptEnd::Finished, at);
            }
            EngineEvent::Prefilled { attempt, at, .. } => {
                if let Some(stream) = self.streams.get(&attempt) {
                    let Prompt { digest, tokens, .. } = *stream.prompt;
                    self.kv.insert(attempt, (at, KvCache { prompt: digest, tokens }));
                }
                self.end(attempt, AttemptEnd::Prefilled, at);
            }
            EngineEvent::Cut { attempt, at, .. } => self.end(attempt, AttemptEnd::Cut, at),
            // The code that cancels an attempt knows the reason and ends the attempt itself.
            EngineEvent::Cancelled { .. } | EngineEvent::OrderDone { .. } => {}
        }
    }

    fn produced(&self, attempt: AttemptId, produced: u64) {
        if let Some(stream) = self.streams.get(&attempt) {
            stream.progress.send_modify(|progress| progress.produced = produced);
        }
    }

    fn end(&mut self, attempt: AttemptId, end: AttemptEnd, at: Millis) {
        let Some(stream) = self.streams.get(&attempt) else { return };
        self.ledger[stream.record].end = Some((end, at));
        stream.progress.send_modify(|progress| progress.end = Some(end));
        self.ended.send_modify(|ended| *ended += 1);
    }

    /// Removes the KV caches older than the resume window, and the streams without a reader for
    /// that long.
    fn sweep(&mut self, now: Millis, interval: Millis, resume_window: Millis) {
        if now - self.swept_at < interval {
            return;
        }
        self.swept_at = now;
        self.kv.retain(|_, (since, _)| *since + resume_window > now);
        let unread: Vec<AttemptId> = self
            .streams
            .iter()
            .filter(|(_, stream)| stream.readers == 0 && stream.unread_since + resume_window <= now)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in unread {
            if self.model.cancel(now, attempt) {
                self.end(attempt, AttemptEnd::Abandoned, now);
            }
            self.streams.remove(&attempt);
        }
    }
}

impl Reader {
    /// Waits until the attempt has generated more than `produced` tokens or has ended.
    pub(super) async fn wait_beyond(&mut self, produced: u64) -> Progress {
        let advanced = |progress: &Progress| progress.produced > produced || progress.end.is_some();
        match self.progress.wait_for(advanced).await {
            Ok(progress) => *progress,
            // A crash clears the hub's streams, which closes the channel.
            Err(_closed) => Progress { produced, end: Some(AttemptEnd::Cut) },
        }
    }

    /// Waits for the attempt's end.
    pub(super) async fn end(&mut self) -> AttemptEnd {
        match self.progress.wait_for(|progress| progress.end.is_some()).await {
            Ok(progress) => progress.end.unwrap_or(AttemptEnd::Cut),
            Err(_closed) => AttemptEnd::Cut,
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let now = self.hub.now();
        let attempt = self.prompt.attempt;
        let mut state = self.hub.state();
        let Some(stream) = state.streams.get_mut(&attempt) else { return };
        stream.readers -= 1;
        stream.unread_since = now;
        if self.resumable || stream.readers > 0 {
            return;
        }

        // No reader is left, and the answer cannot be resumed.
        if state.model.cancel(now, attempt) {
            state.end(attempt, AttemptEnd::Abandoned, now);
        }
        state.streams.remove(&attempt);
    }
}
