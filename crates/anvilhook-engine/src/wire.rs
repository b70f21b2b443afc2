//! Defines the HTTP protocol of upstreams, as used by the binding and the stand-ins.
//!
//! For requests to model engines and to plain services:
//!
//! - A request carries the attempt's id in `x-anvilhook-attempt`, and every answer echoes it in the
//!   same header. An answer without the echo is invalid.
//! - An upstream may refuse a request before running it: status 429 or 503 with
//!   `x-upstream-refused: true`. No other status means that the request did not run.
//! - An answer that is not streamed announces its length in `content-length`.
//!
//! Model engines additionally serve:
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
//! stream ends with an event whose data is `[DONE]`; a stream without it is truncated. A stream can
//! be resumed at the same engine until its connection has been closed for `RESUME_WINDOW`. The
//! priority and the remaining time are sent in the headers below.
//!
//! Control calls belong to no attempt. Each carries its own id in the attempt's header, and its
//! answer echoes that id. With `max_tokens` 0 an engine only runs the prefill and retains the KV
//! cache for export. For a completion whose id has a KV cache at the engine, the engine only
//! generates. On a pull, the engine requests the export from the engine at `from`, so a KV cache
//! never passes through the process that asks for the pull. An engine retains an unused KV cache for
//! `RESUME_WINDOW`, or until its attempt is cancelled.

use anvilhook_core::units::Millis;
use serde::{Deserialize, Serialize};

pub use anvilhook_core::attempts::ATTEMPT_HEADER;

/// The header that, on status 429 or 503, indicates that the request was refused before running.
pub const REFUSED_HEADER: &str = "x-upstream-refused";
/// The header with the request's priority. Smaller values are served first.
pub const PRIORITY_HEADER: &str = "x-anvilhook-priority";
/// The header with the remaining time until the deadline, in milliseconds.
pub const TIME_LEFT_HEADER: &str = "x-anvilhook-time-left-ms";
/// The path of completions.
pub const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// The path of streams, followed by the attempt's id.
pub const STREAMS_PATH: &str = "/v1/streams";
/// The path of the engine's state.
pub const STATE_PATH: &str = "/control/state";
/// The path of the engine's load report.
pub const REPORT_PATH: &str = "/control/report";
/// The path of the engine's cache events.
pub const CACHE_EVENTS_PATH: &str = "/control/cache-events";
/// The path to which orders are sent.
pub const ORDERS_PATH: &str = "/control/orders";
/// The path of KV caches, followed by the attempt's id.
pub const KV_PATH: &str = "/control/kv";
/// The data of a stream's closing event.
pub const DONE: &str = "[DONE]";
/// How long an engine retains a stream without a reader.
pub const RESUME_WINDOW: Millis = Millis::from_secs(10);

/// `ChatMessage` is one message of a conversation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatMessage {
    /// The author of the message: `system`, `user` or `assistant`.
    pub role: String,
    /// The text of the message.
    pub content: String,
}

/// `ChatRequest` is a request in the widely used chat-completions format. Fields that the system
/// does not use are passed through to the engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatRequest {
    /// The requested model.
    pub model: String,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// The maximum number of output tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// All other fields.
    #[serde(flatten)]
    pub rest: serde_json::Map<String, serde_json::Value>,
}

/// `ChatUsage` counts the tokens of a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatUsage {
    /// The number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// The number of tokens in the output.
    pub completion_tokens: u64,
}

/// `ChatAnswer` is an answer that is not streamed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatAnswer {
    /// The attempt's id.
    pub id: String,
    /// The model that answered.
    pub model: String,
    /// A list with exactly one choice.
    pub choices: Vec<ChatChoice>,
    /// The numbers of prompt and output tokens.
    pub usage: ChatUsage,
}

/// `ChatChoice` holds the message of an answer.
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
    /// A list with exactly one choice, which holds the next piece of the output.
    pub choices: Vec<ChatDelta>,
}

/// `ChatDelta` is the next piece of the output.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChatDelta {
    /// Always 0.
    pub index: u32,
    /// The text of the piece.
    pub delta: ChatText,
    /// Why the output ended; only in the last piece.
    pub finish_reason: Option<String>,
}

/// `ChatText` is a piece of the output's text.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChatText {
    /// The text.
    #[serde(default)]
    pub content: String,
}
