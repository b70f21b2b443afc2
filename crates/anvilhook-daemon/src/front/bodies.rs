//! Reads and parses the bodies of callers' requests.

use std::borrow::Cow;

use anvilhook_core::reports::PrefixHash;
use anvilhook_core::routing::Work;
use anvilhook_core::units::{Millis, Tokens};
use anvilhook_engine::prompts::{prefix_blocks, prompt_tokens};
use anvilhook_engine::wire::{ChatMessage, ChatRequest};
use anvilhook_http::collecting::{BodyBounds, CollectError};
use anvilhook_http::{Phase, Shutdown, collect_request};
use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::request::Parts;
use serde::Deserialize;
use volo_http::body::Body;

use crate::proxy::{Code, Failure};

/// How long a body may still take once the instance has begun to stop. A body without end would delay the stop.
const STOP_TIMEOUT: Millis = Millis::from_secs(5);

/// The expected output of a request that sets no `max_tokens`.
const EXPECTED_OUTPUT: Tokens = Tokens(256);

/// The maximum expected output. Many callers set a `max_tokens` far above any real answer; without
/// this cap, an engine would be assumed to be busy far longer than it is.
const MAX_EXPECTED_OUTPUT: Tokens = Tokens(2_048);

/// `BodyLimits` limits the reading of a body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// The maximum size, in bytes.
    pub max_bytes: u64,
    /// The maximum time until the body is complete.
    pub timeout: Millis,
    /// The retry time for a caller whose body does not fit into the memory.
    pub retry_after: Millis,
}

/// Reads the body of a request within limits. It takes memory of the instance until it is dropped.
///
/// # Errors
///
/// A `Failure` if the body is too large, too slow or truncated, does not fit into the memory, or is still not complete a
/// while after the instance has begun to stop. The request has not run.
pub async fn read(
    parts: &Parts,
    body: Body,
    limits: &BodyLimits,
    shutdown: &Shutdown,
) -> Result<Bytes, Failure> {
    let stopping = async {
        shutdown.reached(Phase::Draining).await;
        tokio::time::sleep(STOP_TIMEOUT.as_duration()).await;
    };
    tokio::select! {
        read = read_within(parts, body, limits) => read,
        () = stopping => {
            let failure = Failure::not_run(Code::Draining, "the instance is stopping");
            Err(failure.retry_after(Millis::ZERO))
        }
    }
}

async fn read_within(parts: &Parts, body: Body, limits: &BodyLimits) -> Result<Bytes, Failure> {
    let announced = parts.headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let announced = announced.and_then(|text| text.parse::<u64>().ok());
    check_size(announced.unwrap_or(0), limits.max_bytes)?;

    let most = usize::try_from(limits.max_bytes).unwrap_or(usize::MAX);
    let bounds = BodyBounds::new(most, limits.timeout);
    let collected = collect_request(&parts.extensions, body, &bounds).await;
    collected.map_err(|err| unread(&err, limits))
}

/// Returns the failure of a request whose body was not read.
fn unread(err: &CollectError, limits: &BodyLimits) -> Failure {
    match err {
        CollectError::TooLarge(_) => too_large(limits.max_bytes),
        CollectError::TimedOut => {
            let message = "the body did not arrive before the deadline";
            Failure::not_run(Code::DeadlineExceeded, message)
        }
        CollectError::NoRoom => {
            let message = "there is no memory for the body";
            Failure::not_run(Code::TooManyOpen, message).retry_after(limits.retry_after)
        }
        CollectError::Fragmented | CollectError::Broken(_) => {
            Failure::not_run(Code::BadRequest, format!("the body is incomplete: {err}"))
        }
    }
}

/// Checks the size of a body.
///
/// # Errors
///
/// A `Failure` if it is larger than `max_bytes`.
pub fn check_size(bytes: u64, max_bytes: u64) -> Result<(), Failure> {
    if bytes > max_bytes { Err(too_large(max_bytes)) } else { Ok(()) }
}

fn too_large(max_bytes: u64) -> Failure {
    Failure::not_run(Code::BodyTooLarge, format!("the body is larger than {max_bytes} bytes"))
}

/// `ChatHead` holds the fields of a chat request that routing needs.
#[derive(Debug, Deserialize)]
pub struct ChatHead<'a> {
    /// The requested model or service.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    messages: Vec<ChatMessage>,
}

impl<'a> ChatHead<'a> {
    /// Parses a body.
    ///
    /// # Errors
    ///
    /// A `Failure` that names the place where the body is invalid.
    pub fn try_parse(body: &'a [u8]) -> Result<Self, Failure> {
        serde_json::from_slice(body).map_err(|err| {
            Failure::not_run(Code::BadRequest, format!("the body is not a chat request: {err}"))
        })
    }

    /// Returns the estimated work of the request, which must be done within `time_left`.
    pub fn work(&self, time_left: Millis) -> Work {
        let output = self.max_tokens.map_or(EXPECTED_OUTPUT, Tokens).min(MAX_EXPECTED_OUTPUT);
        Work::new(prompt_tokens(&self.messages), output, time_left)
    }

    /// Returns whether the request sets `max_tokens`.
    pub fn bounds_output(&self) -> bool {
        self.max_tokens.is_some()
    }

    /// Returns the prefix hashes of the prompt's blocks, by which routing finds engines that have
    /// them cached.
    pub fn prefix(&self) -> Vec<PrefixHash> {
        prefix_blocks(&self.messages)
    }
}

/// Returns the body with its model replaced.
///
/// # Errors
///
/// A `Failure` if the body is not a chat request.
pub fn with_model(body: &[u8], model: &str) -> Result<Bytes, Failure> {
    let bad =
        |err| Failure::not_run(Code::BadRequest, format!("the body is not a chat request: {err}"));
    let mut req: ChatRequest = serde_json::from_slice(body).map_err(bad)?;
    req.model = model.to_owned();
    serde_json::to_vec(&req).map(Bytes::from).map_err(bad)
}
