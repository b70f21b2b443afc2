//! The HTTP front for callers: chat completions and calls of plain services.

mod answers;
mod bodies;
mod chats;
mod credentials;
mod headers;
mod limits;
mod metrics;
mod plains;
mod routes;
mod states;

use std::collections::BTreeMap;
use std::sync::Arc;

use anvilhook_core::caches::PrefixIndex;
use anvilhook_core::limits::LimitOptions;
use anvilhook_core::names::UpstreamName;
use anvilhook_core::resources::Configuration;
use anvilhook_core::routing::UpstreamState;
use anvilhook_core::units::{Clock, Millis};
use anvilhook_engine::Upstreams;
use anvilhook_http::Shutdown;
use arc_swap::ArcSwap;
use volo_http::server::route::{Router, any, post};

pub use answers::{failure_body, refused_for_memory};
pub use headers::{
    DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, PRIORITY_HEADER, REQUEST_HEADER, VERDICT_HEADER,
};
pub use metrics::{FrontMetrics, Latencies, ServiceMetrics};
pub use states::{Account, BuildOptions, FrontState, Service};

use crate::proxy::{Claims, Proxy, ProxyOptions, RequestRngs};

/// `FrontOptions` limits what the front accepts from callers.
#[derive(Clone, Copy, Debug)]
pub struct FrontOptions {
    /// The maximum total size of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// The maximum size of a request's body while its service is not known yet, in bytes.
    pub max_body_bytes: u64,
    /// The maximum number of open requests at this instance.
    pub max_open_requests: u64,
    /// The longest deadline that a caller may set.
    pub max_deadline: Millis,
    /// The options of attempts and retries.
    pub proxy: ProxyOptions,
    /// How account limits are divided among instances.
    pub limits: LimitOptions,
}

impl Default for FrontOptions {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 32 * 1024 * 1024,
            max_open_requests: 16_384,
            max_deadline: Millis::from_secs(3_600),
            proxy: ProxyOptions::default(),
            limits: LimitOptions::default(),
        }
    }
}

/// `FrontParts` holds the parts that a front is built from.
#[derive(Debug)]
pub struct FrontParts<C, U, K> {
    /// The instance's clock.
    pub clock: C,
    /// Sends attempts to upstreams.
    pub upstreams: U,
    /// Claims idempotency keys.
    pub claims: K,
    /// Signals the shutdown phase, after which new requests are refused.
    pub shutdown: Shutdown,
    /// The limits and options.
    pub options: FrontOptions,
    /// The request counters.
    pub metrics: FrontMetrics,
    /// The seed of all ids. Except in tests, it must come from the operating system.
    pub seed: [u8; 32],
}

/// `Front` serves callers' requests. Clones share the same front.
#[derive(Debug)]
pub struct Front<C, U, K> {
    inner: Arc<FrontInner<C, U, K>>,
}

/// `FrontInner` is the state that all requests share.
#[derive(Debug)]
struct FrontInner<C, U, K> {
    clock: C,
    proxy: Arc<Proxy<C, U>>,
    claims: K,
    shutdown: Shutdown,
    options: FrontOptions,
    metrics: FrontMetrics,
    rngs: RequestRngs,
    state: ArcSwap<FrontState>,
    flights: Arc<limits::Flights>,
    prefixes: Arc<PrefixIndex>,
}

impl<C, U, K> Clone for Front<C, U, K> {
    fn clone(&self) -> Self {
        Self { inner: Arc::clone(&self.inner) }
    }
}

impl<C: Clock, U: Upstreams, K: Claims> Front<C, U, K> {
    /// Creates a front without a configuration, so without services and accounts.
    pub fn new(parts: FrontParts<C, U, K>) -> Self {
        let proxy = Proxy::new(parts.clock.clone(), parts.upstreams, parts.options.proxy);
        Self {
            inner: Arc::new(FrontInner {
                clock: parts.clock,
                proxy: Arc::new(proxy),
                claims: parts.claims,
                shutdown: parts.shutdown,
                options: parts.options,
                metrics: parts.metrics,
                rngs: RequestRngs::new(parts.seed),
                state: ArcSwap::default(),
                flights: Arc::default(),
                prefixes: states::new_prefix_index(),
            }),
        }
    }

    /// Returns the routes of the callers' front.
    pub fn router(&self) -> Router {
        let chat = self.clone();
        let plain = self.clone();
        let other = self.clone();
        // The library's default answer to other methods would carry no verdict.
        let other_method = self.clone();
        Router::new()
            .route(
                anvilhook_engine::wire::COMPLETIONS_PATH,
                post(move |req| async move { chat.chat(req).await })
                    .fallback(move |req| async move { other_method.unknown(req).await }),
            )
            .route("/services/{*path}", any(move |req| async move { plain.plain(req).await }))
            .fallback(move |req| async move { other.unknown(req).await })
    }

    /// Applies a configuration to the requests that arrive from now on. `instances` is the number
    /// of running instances; account limits are divided by it until peers have published their
    /// demand.
    pub fn apply(&self, cfg: &Configuration, instances: usize) {
        self.apply_with(cfg, instances, |_upstreams| {});
    }

    /// Works like `apply`, but first calls `prepare` to mark the upstreams. If they were marked
    /// afterwards, an upstream that is new to this instance could get a request while it is being
    /// changed.
    pub fn apply_with(
        &self,
        cfg: &Configuration,
        instances: usize,
        prepare: impl FnOnce(&BTreeMap<UpstreamName, Arc<UpstreamState>>),
    ) {
        let earlier = self.inner.state.load();
        let options = BuildOptions {
            instances,
            limits: &self.inner.options.limits,
            metrics: &self.inner.metrics,
            prefixes: &self.inner.prefixes,
        };
        let state = FrontState::build(cfg, &earlier, &options);
        prepare(state.upstreams());
        self.inner.state.store(Arc::new(state));
    }

    /// Returns the current state, by which requests are checked and routed.
    pub fn state(&self) -> Arc<FrontState> {
        self.inner.state.load_full()
    }

    /// Returns the estimate of the engines' prefix caches, which the caller updates from their
    /// cache events.
    pub fn prefixes(&self) -> &Arc<PrefixIndex> {
        &self.inner.prefixes
    }

    /// Returns how many requests are in flight. A request ends when the last byte of its answer has
    /// been handed to the server.
    pub fn in_flight(&self) -> u64 {
        self.inner.flights.open()
    }

    /// Waits until no request is in flight. After the phase `Serving`, no new request begins.
    pub async fn idle(&self) {
        self.inner.flights.idle().await;
    }

    /// Returns how many requests of this instance are in flight at an upstream, including those
    /// that began before it was undeclared and declared again.
    ///
    /// A drain must mark the upstream before it calls this; see `proxy::in_flight_at`.
    pub fn in_flight_at(&self, upstream: &UpstreamName) -> u64 {
        self.inner.state.load().in_flight_at(upstream)
    }
}
