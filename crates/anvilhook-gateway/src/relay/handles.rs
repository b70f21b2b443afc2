//! KV handles: what an engine keeps of a prompt that it has read.

use std::sync::Arc;

use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::clients::Connection;
use http::Request;
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use volo_http::body::Body;

use super::{Gateway, MIN_PUBLISHED_TOKENS};
use crate::fleets::Upstream;
use crate::prompts::Part;
use crate::wires::{Call, Wire};

/// How long a call of the gateway's own may take.
const OWN_CALL_TIMEOUT: Millis = Millis(1_000);

/// `KvHandle` frees the KV cache at its engine unless it was used.
///
/// A handle that nobody takes keeps its memory from other requests until it lapses.
pub(super) struct KvHandle<W: Wire, C: Clock> {
    gateway: Gateway<W, C>,
    upstream: Arc<Upstream>,
    handle: String,
    is_used: bool,
}

impl<W: Wire, C: Clock> KvHandle<W, C> {
    pub fn new(gateway: Gateway<W, C>, upstream: Arc<Upstream>, handle: String) -> Self {
        Self { gateway, upstream, handle, is_used: false }
    }

    /// Returns the engine that has it.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }

    /// Returns the header's value that has another engine fetch it.
    pub fn source(&self) -> HeaderValue {
        self.gateway.wire().kv_source(self.upstream.entry.address, &self.handle)
    }

    /// Notes that an engine has taken it.
    pub fn mark_used(&mut self) {
        self.is_used = true;
    }
}

impl<W: Wire, C: Clock> Drop for KvHandle<W, C> {
    fn drop(&mut self) {
        if self.is_used {
            return;
        }
        let call = self.gateway.wire().drop_handle(&self.handle);
        let (gateway, upstream) = (self.gateway.clone(), Arc::clone(&self.upstream));
        tokio::spawn(async move {
            let _ = gateway.own_call(&upstream, &call).await;
        });
    }
}

/// `OwnCallAnswer` is an upstream's answer to a call of the gateway's own.
pub(crate) struct OwnCallAnswer {
    pub status: http::StatusCode,
    pub body: bytes::Bytes,
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Asks an engine what its cache holds, and returns the parts of which the peers are told.
    pub(crate) async fn read_cache(&self, upstream: &Upstream) -> Vec<Part> {
        let answer = self.own_call(upstream, &self.wire().cache_list()).await;
        let parts = answer.and_then(|answer| self.wire().cached_parts(&answer.body).ok());
        let mut parts = parts.unwrap_or_default();
        parts.retain(|part| part.tokens >= MIN_PUBLISHED_TOKENS);
        parts
    }

    /// Notes what an engine's cache holds, and has the peers told of it.
    pub(crate) fn record_parts(&self, upstream: &Upstream, parts: &[Part]) {
        let config = self.config();
        let spec = config.as_ref().and_then(|config| config.service(&upstream.entry.service));
        let Some(engine) = spec.and_then(|spec| spec.engine.as_ref()) else { return };
        for part in parts {
            self.record_cached(&upstream.entry.id, std::slice::from_ref(part), engine);
        }
    }

    /// Makes a call of the gateway's own to an upstream. `None` if no whole answer came, or the upstream
    /// wants nothing.
    pub(crate) async fn own_call(&self, upstream: &Upstream, call: &Call) -> Option<OwnCallAnswer> {
        upstream.state.paused_until(self.now()).is_none().then_some(())?;
        let mut headers = HeaderMap::new();
        let names = self.wire().headers();
        let expected = HeaderValue::try_from(&*upstream.entry.id).ok()?;
        headers.insert(&names.expect_instance, expected);
        let body = match &call.body {
            Some(body) => {
                headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                Body::from(body.clone())
            }
            None => Body::empty(),
        };
        let mut req = Request::new(body);
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call.path.parse().ok()?;
        *req.headers_mut() = headers;
        let client = &self.inner.client;
        let address = upstream.entry.address;
        let answer = client.send(address, req, Connection::New, OWN_CALL_TIMEOUT).await.ok()?;
        let status = answer.status();
        self.hear(upstream, "", status, answer.headers());
        let (_, body) = answer.into_parts();
        const MAX_BYTES: usize = 1 << 20;
        let body = anvilhook_http::clients::collect_body(body, MAX_BYTES, OWN_CALL_TIMEOUT);
        Some(OwnCallAnswer { status, body: body.await.ok()? })
    }
}
