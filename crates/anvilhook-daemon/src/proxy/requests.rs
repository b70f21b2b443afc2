//! Requests as the attempt loop sees them.

use std::sync::Arc;

use anvilhook_core::attempts::RequestId;
use anvilhook_core::reports::PrefixHash;
use anvilhook_core::routing::Work;
use anvilhook_core::units::Millis;
use bytes::Bytes;
use http::Method;
use http::header::HeaderMap;

use crate::front::Service;

/// `RequestKind` tells requests apart by what an answer to them looks like.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// A chat completion that is answered whole.
    ChatWhole,
    /// A chat completion that is answered by a stream of events.
    ChatStreamed,
    /// A call of a plain service.
    Plain,
}

/// `ProxyRequest` is a caller's request, checked and ready to be sent.
#[derive(Clone, Debug)]
pub struct ProxyRequest {
    /// Its id.
    pub id: RequestId,
    /// The service that answers it.
    pub service: Arc<Service>,
    /// What kind of answer it asks for.
    pub kind: RequestKind,
    /// Whether it may be repeated without harm.
    pub idempotent: bool,
    /// The method at the upstream.
    pub method: Method,
    /// The path and query at the upstream.
    pub path: String,
    /// The headers for the upstream.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When it arrived.
    pub arrived_at: Millis,
    /// When its answer must be whole.
    pub deadline: Millis,
    /// Its priority; the smaller goes first.
    pub priority: u8,
    /// What it asks of an engine.
    pub work: Work,
    /// Whether `work` tells how long the output will be at most, or only guesses.
    pub bounds_output: bool,
    /// The blocks of its prompt.
    pub prefix: Vec<PrefixHash>,
}

impl ProxyRequest {
    /// Returns whether a model engine answers, which can cancel and resume.
    pub fn is_chat(&self) -> bool {
        self.kind != RequestKind::Plain
    }
}
