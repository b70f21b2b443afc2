//! How fast a stand-in engine is and how it behaves towards its authority.

use anvilhook_core::names::ModelName;
use anvilhook_core::orders::{ModelRef, Role};
use anvilhook_core::units::{Millis, Tokens};

/// `OrderOutcome` says which state an engine comes back in after a crash amid an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The state before the order.
    Before,
    /// The state that the order asked for.
    After,
}

/// `EngineOptions` describes a stand-in engine.
///
/// ```
/// use anvilhook_standin::engines::EngineOptions;
///
/// let fast = EngineOptions::default().faster(10.0);
/// assert_eq!(fast.prefill_tokens_per_s, 80_000);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct EngineOptions {
    /// The boot number of the first start; each restart adds one.
    pub first_boot: u64,
    /// The seed of what is left to chance, such as which cache events are lost.
    pub seed: u64,
    /// The role at the first start.
    pub role: Role,
    /// The model at the first start, if one is loaded.
    pub model: Option<ModelRef>,
    /// Whether an order whose stamp is not above the last accepted one is refused.
    pub checks_fencing: bool,
    /// Prompt tokens read in a second when nothing else is done.
    pub prefill_tokens_per_s: u32,
    /// The most prompt tokens read in one step of the batch. The larger, the longer a request that
    /// generates waits for its next token while a prompt is read.
    pub prefill_chunk: Tokens,
    /// Tokens of an imported KV cache taken in a second.
    pub kv_import_tokens_per_s: u32,
    /// Time between two tokens of one request that runs alone, in milliseconds.
    pub decode_step_ms: f64,
    /// How much each further request of the batch adds to that time, in milliseconds.
    pub decode_step_per_request_ms: f64,
    /// The most requests that read or generate at once.
    pub max_batch: u32,
    /// The most requests that wait; one more is refused.
    pub max_queue: usize,
    /// The blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// How late a cache event is published.
    pub cache_event_lag: Millis,
    /// The share of cache events that are never published, from 0 to 1.
    pub cache_event_loss: f64,
    /// How old a load report is at least when it is answered.
    pub report_lag: Millis,
    /// The time between two load reports.
    pub report_interval: Millis,
    /// How long a change of role takes.
    pub role_change: Millis,
    /// How long loading a model takes.
    pub model_load: Millis,
    /// How long loading an adapter takes; requests are served meanwhile.
    pub adapter_load: Millis,
    /// Where an order ends that a crash interrupts.
    pub interrupted_order: OrderOutcome,
    /// Whether each token after the first is an event. Who counts whole answers only goes without,
    /// and saves the time of taking them.
    pub token_events: bool,
}

impl EngineOptions {
    /// Returns the options of an engine that does everything `factor` times faster.
    pub fn faster(self, factor: f64) -> Self {
        let rate = |per_s: u32| (f64::from(per_s) * factor) as u32;
        let span = |span: Millis| Millis((span.0 as f64 / factor) as u64);
        Self {
            prefill_tokens_per_s: rate(self.prefill_tokens_per_s),
            kv_import_tokens_per_s: rate(self.kv_import_tokens_per_s),
            decode_step_ms: self.decode_step_ms / factor,
            decode_step_per_request_ms: self.decode_step_per_request_ms / factor,
            cache_event_lag: span(self.cache_event_lag),
            report_lag: span(self.report_lag),
            report_interval: span(self.report_interval).max(Millis(1)),
            role_change: span(self.role_change),
            model_load: span(self.model_load),
            adapter_load: span(self.adapter_load),
            ..self
        }
    }
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            first_boot: 1,
            seed: 0,
            role: Role::Mixed,
            model: default_model(),
            checks_fencing: true,
            prefill_tokens_per_s: 8_000,
            prefill_chunk: Tokens(512),
            kv_import_tokens_per_s: 200_000,
            decode_step_ms: 25.0,
            decode_step_per_request_ms: 0.2,
            max_batch: 32,
            max_queue: 256,
            cache_blocks: 4_000,
            cache_event_lag: Millis(500),
            cache_event_loss: 0.0,
            report_lag: Millis(500),
            report_interval: Millis(250),
            role_change: Millis(4_000),
            model_load: Millis(8_000),
            adapter_load: Millis(1_000),
            interrupted_order: OrderOutcome::Before,
            token_events: true,
        }
    }
}

fn default_model() -> Option<ModelRef> {
    let model = ModelName::try_new("standin").ok()?;
    Some(ModelRef { model, version: 1 })
}
