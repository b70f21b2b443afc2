//! Options of a stand-in engine: its speed, its faults and its handling of orders.

use anvilhook_core::names::ModelName;
use anvilhook_core::orders::{ModelRef, Role};
use anvilhook_core::units::{Millis, Tokens};

/// `OrderOutcome` is the state in which an engine restarts after a crash during an order.
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
    /// The seed of random decisions, such as which cache events are lost.
    pub seed: u64,
    /// The role at the first start.
    pub role: Role,
    /// The model at the first start, if one is loaded.
    pub model: Option<ModelRef>,
    /// Whether an order whose stamp is not above the last accepted one is refused.
    pub checks_fencing: bool,
    /// The prompt tokens read per second while no request generates.
    pub prefill_tokens_per_s: u32,
    /// The maximum number of prompt tokens read in one step of the batch. With a larger chunk, a
    /// generating request waits longer for its next token while a prompt is read.
    pub prefill_chunk: Tokens,
    /// The tokens of a KV cache imported per second.
    pub kv_import_tokens_per_s: u32,
    /// The time between two tokens of a request that runs alone, in milliseconds.
    pub decode_step_ms: f64,
    /// The time that each additional generating request adds to a step, in milliseconds.
    pub decode_step_per_request_ms: f64,
    /// The maximum number of requests that read or generate at the same time.
    pub max_batch: u32,
    /// The maximum number of waiting requests; further requests are refused.
    pub max_queue: usize,
    /// The capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// The delay until a cache event is published.
    pub cache_event_lag: Millis,
    /// The share of cache events that are never published, from 0 to 1.
    pub cache_event_loss: f64,
    /// The minimum age of the load report that is returned, once one is old enough.
    pub report_lag: Millis,
    /// The interval between two load reports.
    pub report_interval: Millis,
    /// The duration of a role change.
    pub role_change: Millis,
    /// The time to load a model.
    pub model_load: Millis,
    /// The time to load an adapter. The engine serves requests meanwhile.
    pub adapter_load: Millis,
    /// The state after a restart if a crash interrupted an order.
    pub interrupted_order: OrderOutcome,
    /// Whether each token after the first is published as an event. Callers that only count
    /// complete answers turn this off to save the time of handling these events.
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
