//! The HTTP form of upstreams that the binding and the stand-ins speak.
//!
//! Requests, to model engines and plain services alike:
//!
//! - carry the attempt's id in `x-anvilhook-attempt`; every answer echoes it there. An answer
//!   without the echo is not an answer.
//! - may be refused before running: status 429 or 503 with `x-upstream-refused: true`. No other
//!   status means that the request did not run.
//! - a whole answer announces its length by `content-length`.
//!
//! Model engines besides:
//!
//! | call | path | body | answer |
//! |---|---|---|---|
//! | complete | `POST /v1/chat/completions` | `ChatRequest` | `ChatAnswer`, or server-sent events |
//! | resume | `GET /v1/streams/{attempt}?after=N` | | server-sent events after number N, 404 if unknown |
//! | cancel | `DELETE /v1/streams/{attempt}` | | 204 |
//! | state | `GET /control/state` | | `EngineState` |
//! | load | `GET /control/report` | | `LoadReport` |
//! | cache events | `GET /control/cache-events?after=N` | | `CacheEventPage` |
//! | order | `POST /control/orders` | `StampedOrder` | `OrderReply` |
//! | export KV cache | `GET /control/kv/{attempt}` | | bytes |
//! | import KV cache | `POST /control/kv/{attempt}` | bytes | 204 |
//! | pull KV cache | `POST /control/kv/{attempt}?from=ADDR` | | 204, 404 if it is not there |
//!
//! A stream's events carry an `id`, numbered from 1 without gaps, and a `ChatChunk` as `data`. The
//! stream ends with an event whose data is `[DONE]`; a stream without it is cut short. A stream can
//! be resumed at the same engine until it has been closed for `RESUME_WINDOW`. The priority and the
//! time left go in the headers below.
//!
//! Control calls belong to no attempt; each carries an id of its own in the attempt's header, which
//! its answer echoes. With `max_tokens` 0 an engine only reads the prompt and keeps its KV cache
//! for export; a completion under an id whose KV cache it holds only generates. To pull, an engine
//! asks the engine at `from` for its export: a KV cache never passes through whoever asks for the
//! pull. An engine keeps a KV cache that nobody uses for `RESUME_WINDOW`, or until its attempt is
//! cancelled.

use anvilhook_core::units::Millis;
use serde::{Deserialize, Serialize};

pub use anvilhook_core::attempts::ATTEMPT_HEADER;

/// On status 429 or 503, says that the request was refused before running.
pub const REFUSED_HEADER: &str = "x-upstream-refused";
/// The priority, smaller first.
pub const PRIORITY_HEADER: &str = "x-anvilhook-priority";
/// The time left until the deadline, in milliseconds.
pub const TIME_LEFT_HEADER: &str = "x-anvilhook-time-left-ms";
/// Completions.
pub const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Streams, by attempt.
pub const STREAMS_PATH: &str = "/v1/streams";
/// The engine's state.
pub const STATE_PATH: &str = "/control/state";
/// The engine's load report.
pub const REPORT_PATH: &str = "/control/report";
/// Cache events.
pub const CACHE_EVENTS_PATH: &str = "/control/cache-events";
/// Orders.
pub const ORDERS_PATH: &str = "/control/orders";
/// KV cache, by attempt.
pub const KV_PATH: &str = "/control/kv";
/// The data of a stream's closing event.
pub const DONE: &str = "[DONE]";
/// How long an engine keeps a stream that nobody reads.
pub const RESUME_WINDOW: Millis = Millis::from_secs(10);

/// `ChatMessage` is one message of a conversation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatMessage {
    /// Who speaks: `system`, `user` or `assistant`.
    pub role: String,
    /// What is said.
    pub content: String,
}

/// `ChatRequest` is a request in the widely used chat-completions form. Fields that the system does
/// not act on pass through to the engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatRequest {
    /// The model asked for.
    pub model: String,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// The most tokens of output.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// All other fields.
    #[serde(flatten)]
    pub rest: serde_json::Map<String, serde_json::Value>,
}

/// `ChatUsage` counts tokens.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the output.
    pub completion_tokens: u64,
}

/// `ChatAnswer` is a whole answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatAnswer {
    /// The attempt's id.
    pub id: String,
    /// The model that answered.
    pub model: String,
    /// The one choice.
    pub choices: Vec<ChatChoice>,
    /// Tokens read and generated.
    pub usage: ChatUsage,
}

/// `ChatChoice` is the answer's message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatChoice {
    /// Always 0.
    pub index: u32,
    /// The message.
    pub message: ChatMessage,
    /// Why the output ended: `stop` or `length`.
    pub finish_reason: String,
}

/// `ChatChunk` is one event of a streamed answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatChunk {
    /// The attempt's id.
    pub id: String,
    /// The model that answers.
    pub model: String,
    /// The one choice's next piece.
    pub choices: Vec<ChatDelta>,
}

/// `ChatDelta` is the next piece of the output.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatDelta {
    /// Always 0.
    pub index: u32,
    /// The text.
    pub delta: ChatText,
    /// Why the output ended, in the last piece.
    pub finish_reason: Option<String>,
}

/// `ChatText` is a piece of text.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatText {
    /// The text.
    #[serde(default)]
    pub content: String,
}
