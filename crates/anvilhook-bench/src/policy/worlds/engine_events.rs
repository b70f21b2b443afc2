//! Applies the events that engines report about their work.

use anvilhook_core::attempts::AttemptId;
use anvilhook_core::units::{Millis, Tokens};
use anvilhook_standin::engines::{CutCause, EngineEvent};

use super::World;
use crate::policy::outcomes::Outcome;

impl World<'_> {
    /// Applies one event of an engine.
    pub(super) fn on_event(&mut self, engine: usize, event: EngineEvent) {
        match event {
            EngineEvent::FirstToken { attempt, at, cached } => {
                self.on_first_token(engine, attempt, at, cached);
            }
            EngineEvent::Prefilled { attempt, cached, .. } => self.on_prefilled(attempt, cached),
            EngineEvent::Finished { attempt, at, .. } => self.on_finished(engine, attempt, at),
            EngineEvent::Cut { attempt, cause, .. } => {
                assert_eq!(cause, CutCause::Crash, "a planned change interrupted a request");
                if let Some(index) = self.current(attempt) {
                    self.retry(index, engine);
                }
            }
            EngineEvent::OrderDone { .. } => self.finish_change(engine),
            EngineEvent::Token { .. } | EngineEvent::Cancelled { .. } => {}
        }
    }

    fn on_first_token(&mut self, engine: usize, attempt: AttemptId, at: Millis, cached: Tokens) {
        let Some(index) = self.current(attempt) else { return };
        let at = at + self.delay_to_caller(index, engine);
        self.flights[index].first_at.get_or_insert(at);
        self.count_cached(index, cached);
    }

    fn on_prefilled(&mut self, attempt: AttemptId, cached: Tokens) {
        let Some(index) = self.current(attempt) else { return };
        self.count_cached(index, cached);
        self.close(index);
        self.flights[index].prompt_read = true;
        self.flights[index].tried.clear();
        self.dispatch(index);
    }

    fn on_finished(&mut self, engine: usize, attempt: AttemptId, at: Millis) {
        let Some(index) = self.current(attempt) else { return };
        let at = at + self.delay_to_caller(index, engine);
        let first_at = self.flights[index].first_at.unwrap_or(at);
        let instance = &self.instances[self.flights[index].instance];
        instance.retries.record_success();
        instance.engines[engine].ejection().record_success(self.now);
        self.end(index, Outcome::Answered { first_at, at });
    }

    /// Resends a request whose engine crashed. Completions are idempotent, so this is safe.
    fn retry(&mut self, index: usize, engine: usize) {
        self.close(index);
        let flight = &mut self.flights[index];
        flight.tried = vec![engine];
        flight.prompt_read = false;
        flight.first_at = None;
        let instance = &self.instances[flight.instance];
        instance.engines[engine].ejection().record_failure(self.now);
        if instance.retries.try_take() {
            self.dispatch(index);
        } else {
            self.end(index, Outcome::Failed);
        }
    }

    fn count_cached(&mut self, index: usize, cached: Tokens) {
        let request = &self.workload.requests[index];
        let shared = self.workload.deployment.kind(request.kind).shared;
        self.totals.shared_tokens += shared;
        self.totals.cached_tokens += cached.0.min(shared);
    }
}
