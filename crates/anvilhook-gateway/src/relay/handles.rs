//! KV handles, which refer to the KV cache that an engine retains of a prompt, and the gateway's own calls
//! to upstreams.

use std::sync::Arc;

use anvilhook_core::paths::Path;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_http::clients::Connection;
use http::Request;
use http::header::{CONTENT_TYPE, HeaderValue};
use volo_http::body::Body;
use volo_http::response::Response;

use super::calls::UpstreamCall;
use super::signals::AnswerSource;
use super::{Gateway, MIN_PUBLISHED_TOKENS};
use crate::fleets::Upstream;
use crate::prompts::Part;
use crate::wires::{Call, Wire};

/// The timeout for a call that the gateway itself makes.
const OWN_CALL_TIMEOUT: Millis = Millis(1_000);

/// `KvHandle` frees the KV cache at its engine when it is dropped, unless it was used.
///
/// An unused handle would block the engine's memory for other requests until it expires.
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

    /// Returns the engine that retains the KV cache.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }

    /// Returns the header value by which another engine fetches the KV cache.
    pub fn source(&self) -> HeaderValue {
        self.gateway.wire().kv_source(self.upstream.entry.address, &self.handle)
    }

    /// Records that another engine has fetched the KV cache.
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
            let is_paused = upstream.state.paused_until(gateway.now()).is_some();
            if !is_paused && gateway.take_share_later(&upstream).await {
                let _ = gateway.send_own_call(&upstream, &call).await;
            }
        });
    }
}

/// `OwnCallAnswer` is an upstream's answer to a call that the gateway itself made.
pub(crate) struct OwnCallAnswer {
    pub status: http::StatusCode,
    pub body: bytes::Bytes,
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Queries an engine for the content of its cache and returns the parts that are published to peers.
    pub(crate) async fn read_cache(&self, upstream: &Upstream) -> Vec<Part> {
        let answer = self.own_call(upstream, &self.wire().cache_list()).await;
        let parts = answer.and_then(|answer| self.wire().cached_parts(&answer.body).ok());
        let mut parts = parts.unwrap_or_default();
        parts.retain(|part| part.tokens >= MIN_PUBLISHED_TOKENS);
        parts
    }

    /// Records the content of an engine's cache and publishes it to peers.
    pub(crate) fn record_parts(&self, upstream: &Upstream, parts: &[Part]) {
        let config = self.config();
        let spec = config.as_ref().and_then(|config| config.service(&upstream.entry.service));
        let Some(engine) = spec.and_then(|spec| spec.engine.as_ref()) else { return };
        for part in parts {
            self.record_cached(&upstream.entry.id, std::slice::from_ref(part), engine);
        }
    }

    /// Returns whether the gateway may make a call of its own to an upstream: it has not asked for a pause, and
    /// its request limit is not exhausted.
    pub(super) fn may_call(&self, upstream: &Upstream) -> bool {
        let (state, now) = (&upstream.state, self.now());
        state.paused_until(now).is_none() && state.request_limit().has_share(now)
    }

    /// Calls an upstream on the gateway's own behalf. Returns `None` if no complete answer arrived, if the
    /// upstream has asked for a pause, or if its request limit is exhausted.
    pub(crate) async fn own_call(&self, upstream: &Upstream, call: &Call) -> Option<OwnCallAnswer> {
        if !self.may_call(upstream) || !upstream.state.request_limit().try_take(self.share_basis())
        {
            return None;
        }
        self.send_own_call(upstream, call).await
    }

    /// Calls an upstream like [`own_call`](Self::own_call), for a call whose share of the request limit has
    /// been taken.
    async fn send_own_call(&self, upstream: &Upstream, call: &Call) -> Option<OwnCallAnswer> {
        let answered = self.call(upstream, &self.own_message(upstream, call)).await.ok()?;
        self.receive_own_answer(upstream, answered.answer).await
    }

    /// Calls an upstream like [`own_call`](Self::own_call), but never through another instance: the upstream
    /// takes the calls of two instances for those of two holders of authority.
    pub(crate) async fn own_call_directly(
        &self,
        upstream: &Upstream,
        call: &Call,
    ) -> Option<OwnCallAnswer> {
        if upstream.state.path().current() != Path::Direct
            || !self.may_call(upstream)
            || !upstream.state.request_limit().try_take(self.share_basis())
        {
            return None;
        }
        let answered = self.call_directly(upstream, &self.own_message(upstream, call)).await;
        self.receive_own_answer(upstream, answered.ok()?.answer).await
    }

    fn own_message<'a>(
        &'a self,
        upstream: &'a Upstream,
        call: &'a Call,
    ) -> UpstreamCall<'a, impl Fn() -> Request<Body> + 'a, impl Fn() -> bool + 'a> {
        let message = move || {
            let mut req = Request::new(call.body.clone().map_or_else(Body::empty, Body::from));
            *req.method_mut() = call.method.clone();
            *req.uri_mut() = call.path.parse().expect("a wire's paths are valid");
            let expected =
                HeaderValue::try_from(&*upstream.entry.id).expect("ids are visible text");
            req.headers_mut().insert(&self.wire().headers().expect_instance, expected);
            if call.body.is_some() {
                let json = HeaderValue::from_static("application/json");
                req.headers_mut().insert(CONTENT_TYPE, json);
            }
            req
        };
        UpstreamCall {
            request: "",
            message,
            may_send: || true,
            connection: Connection::New,
            software: None,
            timeout: OWN_CALL_TIMEOUT,
            predicted_ms: 0.0,
            may_repeat: true,
            sendings: None,
        }
    }

    async fn receive_own_answer(
        &self,
        upstream: &Upstream,
        answer: Response,
    ) -> Option<OwnCallAnswer> {
        let status = answer.status();
        self.record_response(upstream, AnswerSource::OwnCall, status, answer.headers());
        let (_, body) = answer.into_parts();
        const MAX_BYTES: usize = 1 << 20;
        let body = anvilhook_http::collecting::collect_body(body, MAX_BYTES, OWN_CALL_TIMEOUT);
        Some(OwnCallAnswer { status, body: body.await.ok()? })
    }
}
