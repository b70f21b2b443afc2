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

/// `RequestKind` is the form of answer that a request asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// A chat completion with a single, non-streamed answer.
    ChatWhole,
    /// A chat completion whose answer is a stream of events.
    ChatStreamed,
    /// A call of a plain service.
    Plain,
}

/// `ProxyRequest` is a caller's request, checked and ready to be sent.
#[derive(Clone, Debug)]
pub struct ProxyRequest {
    /// The request's id.
    pub id: RequestId,
    /// The service that answers it.
    pub service: Arc<Service>,
    /// The form of answer that it asks for.
    pub kind: RequestKind,
    /// Whether running it more than once is safe.
    pub idempotent: bool,
    /// The HTTP method sent to the upstream.
    pub method: Method,
    /// The path and query sent to the upstream.
    pub path: String,
    /// The headers for the upstream.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When it arrived.
    pub arrived_at: Millis,
    /// When its answer must be complete.
    pub deadline: Millis,
    /// Its priority; smaller values go first.
    pub priority: u8,
    /// The estimated work for an engine.
    pub work: Work,
    /// Whether the output length in `work` is an upper bound set by the caller, not a default.
    pub bounds_output: bool,
    /// The prefix hashes of its prompt's blocks.
    pub prefix: Vec<PrefixHash>,
}

impl ProxyRequest {
    /// Returns whether a model engine answers the request. Engines can cancel and resume attempts;
    /// plain upstreams can't.
    pub fn is_chat(&self) -> bool {
        self.kind != RequestKind::Plain
    }
}
