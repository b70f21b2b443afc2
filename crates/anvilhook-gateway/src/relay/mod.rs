//! The path of a request through the gateway: choosing an upstream, sending, checking the answer, retrying
//! and resuming streams.

mod access;
mod admission;
mod adoption;
mod answers;
mod arrivals;
mod attempts;
mod body_memory;
mod calls;
mod client_budgets;
mod closings;
mod collecting;
mod conclusions;
mod continuation;
mod departures;
mod examining;
mod failures;
mod forwarded;
mod generating;
mod handles;
mod limits;
mod path_checks;
mod places;
mod plain;
mod prompts;
mod reading;
mod requests;
mod resumption;
mod shares;
mod signals;
mod stopping;
mod waiting;

use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use anvilhook_core::body_memory::BodyMemoryBounds;
use anvilhook_core::client_bounds::ClientBounds;
use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::speeds::ReadingCost;
use anvilhook_core::units::{Clock, Millis, WallTime};
use anvilhook_core::usage::Source;
use anvilhook_http::HttpClient;
use arc_swap::{ArcSwap, ArcSwapOption};
use http::Version;
use tokio::sync::{Notify, Semaphore};
use volo_http::request::Request;
use volo_http::response::Response;

use crate::account_shares::AccountShares;
use crate::budgets::{Budget, BudgetOptions};
use crate::caches::CacheIndex;
use crate::configs::{Config, Repeats};
use crate::events::{UpstreamEvent, emit};
use crate::fleets::{Fleet, Upstream};
use crate::forwarding::{Forwarders, ServedCalls};
use crate::metrics::GatewayMetrics;
use crate::origins::Origins;
use crate::peers::Peers;
use crate::policies::Policy;
use crate::prompts::Part;
use crate::speeds::Speeds;
use crate::suspects::Suspects;
use crate::usage::Usage;
use crate::wires::Wire;

use admission::FrontAdmission;
pub(crate) use admission::{FrontCheck, InstanceCheck};
use answers::{Outcome, OwnAnswer};
use body_memory::BodyMemory;
use client_budgets::ClientBudgets;
use departures::DepartureWatch;
use limits::LimitQueues;
use path_checks::{LastCheck, MAX_CONCURRENT_CHECKS};
use places::WaitingQueues;
use stopping::{STOPPING, Stopping};

pub(crate) use places::FreedSignal;
pub use places::Stage;
pub(crate) use prompts::MIN_PUBLISHED_TOKENS;
pub(crate) use requests::Exchange;

/// The retry time for a caller whose request timed out before it ran.
const TIMEOUT_PAUSE: Millis = Millis(100);

/// The label of the peers as a source of cached state in metrics.
pub(crate) const PEER_SOURCE: &str = "peers";

/// `GatewayOptions` configures how requests are served.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// The availability zone of this instance.
    pub zone: Arc<str>,
    /// The bandwidth of the instance's link in megabits a second, if known. Instances with wide
    /// links are preferred as zone leaders and followers.
    pub link_mbps: Option<f64>,
    /// The memory that the instance may use, in bytes, if known.
    pub memory: Option<u64>,
    /// The descriptors that the instance may open, if known.
    pub descriptors: Option<u64>,
    /// The initial budget for extra arrivals.
    pub budget: BudgetOptions,
    /// The expected cost of reading prompts (prefill), until it has been measured.
    pub expected_reading: ReadingCost,
    /// The wall-clock time of the machine when the gateway is created.
    pub started_at: WallTime,
    /// The length of the windows in which the usage of client accounts is reported; `None` if it is not
    /// reported.
    pub usage_window: Option<Millis>,
    /// How long after a break callers may still continue a stream.
    pub return_time: Millis,
}

/// `Gateway` serves requests. Clones share all state.
pub struct Gateway<W: Wire, C: Clock> {
    inner: Arc<Inner<W, C>>,
}

impl<W: Wire, C: Clock> Clone for Gateway<W, C> {
    fn clone(&self) -> Self {
        Self { inner: Arc::clone(&self.inner) }
    }
}

struct Inner<W, C> {
    wire: W,
    clock: C,
    client: HttpClient,
    options: GatewayOptions,
    config: ArcSwapOption<Config>,
    /// Notified after each change of `config`.
    config_changes: Notify,
    fleet: Fleet,
    caches: CacheIndex,
    speeds: Speeds,
    budget: Budget,
    policy: ArcSwap<Policy>,
    in_flight: AtomicU64,
    stopping: Stopping,
    has_fleet: AtomicBool,
    metrics: GatewayMetrics,
    peers: Arc<Peers>,
    suspects: Arc<Suspects>,
    origins: Origins,
    usage: Usage,
    account_shares: AccountShares,
    limit_queues: LimitQueues,
    waiting_queues: WaitingQueues,
    forwarders: Forwarders,
    served_calls: ServedCalls,
    admission: FrontAdmission,
    clients: ClientBudgets,
    answer_memory: BodyMemory,
    check_slots: Semaphore,
    last_check: LastCheck,
    /// Engines that have read a prompt, with the parts not yet published to peers.
    cached: Mutex<Vec<(Arc<str>, Vec<Part>)>>,
}

/// `Flight` counts a request as in flight until the last byte of its answer has left the process.
struct Flight<W: Wire, C: Clock>(Gateway<W, C>);

impl<W: Wire, C: Clock> Drop for Flight<W, C> {
    fn drop(&mut self) {
        self.0.inner.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Creates a gateway that has no configuration and no upstreams yet.
    pub fn new(wire: W, clock: C, client: HttpClient, options: GatewayOptions) -> Self {
        let usage = Usage::new(options.usage_window, options.started_at, clock.now());
        let peers = Arc::new(Peers::in_zone(&options.zone));
        let memory = BodyMemoryBounds::of(options.memory);
        let origins = Origins::new(clock.now(), options.return_time);
        let inner = Inner {
            wire,
            clock,
            client,
            budget: Budget::new(options.budget),
            policy: ArcSwap::default(),
            speeds: Speeds::new(options.expected_reading),
            account_shares: AccountShares::in_zone(peers.zone()),
            peers,
            config: ArcSwapOption::empty(),
            config_changes: Notify::new(),
            fleet: Fleet::new(),
            caches: CacheIndex::new(),
            suspects: Arc::default(),
            origins,
            usage,
            limit_queues: LimitQueues::default(),
            waiting_queues: WaitingQueues::default(),
            forwarders: Forwarders::default(),
            served_calls: ServedCalls::default(),
            admission: FrontAdmission::new(options.link_mbps),
            clients: ClientBudgets::new(&ClientBounds::of(options.memory, options.descriptors)),
            answer_memory: BodyMemory::new(memory.answers),
            check_slots: Semaphore::new(MAX_CONCURRENT_CHECKS),
            last_check: LastCheck::default(),
            in_flight: AtomicU64::new(0),
            stopping: Stopping::new(),
            has_fleet: AtomicBool::new(false),
            metrics: GatewayMetrics::new(),
            cached: Mutex::default(),
            options,
        };
        Self { inner: Arc::new(inner) }
    }

    /// Returns the message format of the deployment.
    pub fn wire(&self) -> &W {
        &self.inner.wire
    }

    /// Returns the upstreams.
    pub fn fleet(&self) -> &Fleet {
        &self.inner.fleet
    }

    /// Returns the estimated speeds and current work of the engines.
    pub fn speeds(&self) -> &Speeds {
        &self.inner.speeds
    }

    /// Returns the estimated content of the engines' caches.
    pub fn caches(&self) -> &CacheIndex {
        &self.inner.caches
    }

    /// Removes and returns up to `most` of the oldest cache entries that are not yet published to peers.
    pub fn take_cached(&self, most: usize) -> Vec<(Arc<str>, Vec<Part>)> {
        let mut cached = self.inner.cached.lock().expect("no panic under this lock");
        let count = most.min(cached.len());
        cached.drain(..count).collect()
    }

    /// Returns the active configuration.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.inner.config.load_full()
    }

    /// Returns how many requests are in flight.
    pub fn in_flight(&self) -> u64 {
        self.inner.in_flight.load(Ordering::Acquire)
    }

    /// Returns whether new connections should be directed to this instance.
    pub fn is_ready(&self) -> bool {
        let is_configured = self.inner.config.load().is_some() && self.has_fleet();
        is_configured && !self.is_stopping()
    }

    fn has_fleet(&self) -> bool {
        self.inner.has_fleet.load(Ordering::Acquire)
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &GatewayMetrics {
        &self.inner.metrics
    }

    /// Returns all metrics as text.
    pub fn metrics_text(&self) -> String {
        self.inner.metrics.text(self, self.now())
    }

    /// Records that an update has been received from a source of cached state.
    pub fn record_contact(&self, source: &'static str) {
        self.inner.metrics.record_contact(source, self.now());
    }

    /// Replaces the budget for extra arrivals.
    pub fn set_budget(&self, options: BudgetOptions) {
        self.inner.budget.set_options(options);
    }

    /// Replaces the selection of active parts.
    pub fn set_policy(&self, policy: Policy) {
        self.inner.fleet.set_joint_backlogs(policy.reading_lanes);
        self.inner.policy.store(Arc::new(policy));
    }

    /// Returns the selection of rules that are active among the present number of instances.
    pub fn policy(&self) -> Policy {
        self.inner.policy.load().among(self.peers().instances())
    }

    /// Returns whether predictions for a service use the learnt latency and speeds: the policy is on, and the
    /// service's upstreams report that their speeds differ from moment to moment.
    pub(crate) fn uses_learnt_speeds(&self, service: &Arc<str>) -> bool {
        self.policy().learnt_speeds && self.inner.speeds.has_reports(service)
    }

    /// Returns how many times longer than the mean of its service an upstream's work takes, as predictions
    /// use it.
    pub(crate) fn slowness_of(&self, upstream: &Upstream, now: Millis) -> f64 {
        if self.uses_learnt_speeds(&upstream.entry.service) {
            upstream.state.slowness_at(now)
        } else {
            upstream.state.slowness()
        }
    }

    /// Returns the other instances.
    pub fn peers(&self) -> &Arc<Peers> {
        &self.inner.peers
    }

    /// Returns the requests during which engines have terminated.
    pub fn suspects(&self) -> &Arc<Suspects> {
        &self.inner.suspects
    }

    /// Returns the origins of streams.
    pub(crate) fn origins(&self) -> &Origins {
        &self.inner.origins
    }

    /// Returns the usage of client accounts.
    pub fn usage(&self) -> &Usage {
        &self.inner.usage
    }

    /// Counts a request that has begun to run in its client account's usage, at most once.
    fn count_usage(&self, exchange: &mut Exchange, began_at: Millis) {
        let Some(account) = &exchange.access.account else { return };
        if !std::mem::replace(&mut exchange.is_counted, true) {
            let (zone, number) = (self.peers().zone(), self.peers().number());
            self.usage().count(Source::Instance { zone, number }, account, began_at);
        }
    }

    /// Lifts a quarantine, here and at the other instances. Returns whether this instance has recorded any
    /// engine end against the request.
    pub fn lift(&self, request: Fingerprint) -> bool {
        let is_known = self.suspects().lift(request, self.now());
        self.peers().announce();
        emit(&UpstreamEvent::QuarantineLifted { fingerprint: request });
        is_known
    }

    /// Returns the budget for extra arrivals.
    pub(crate) fn budget(&self) -> &Budget {
        &self.inner.budget
    }

    /// Returns how many extra arrivals a service's budget has left.
    pub fn budget_left(&self, service: &Arc<str>, now: Millis) -> f64 {
        self.inner.budget.left(service, self.inner.peers.instances(), now)
    }

    /// Takes one extra arrival from a service's budget. Returns false if none is left.
    fn try_take_extra(&self, service: &Arc<str>) -> bool {
        self.inner.budget.try_take(service, self.inner.peers.instances(), self.now())
    }

    /// Returns one extra arrival to a service's budget.
    fn refund_extra(&self, service: &Arc<str>) {
        self.inner.budget.give_back(service, self.now());
    }

    pub(crate) fn now(&self) -> Millis {
        self.inner.clock.now()
    }

    /// Counts a request as in flight.
    fn begin_flight(&self) -> Flight<W, C> {
        self.inner.in_flight.fetch_add(1, Ordering::AcqRel);
        Flight(self.clone())
    }

    /// Returns how many calls are being forwarded for other instances.
    pub fn served_calls(&self) -> usize {
        self.inner.served_calls.count()
    }

    /// Returns the bytes of all answers that are held whole.
    pub fn collected_bytes(&self) -> usize {
        self.inner.answer_memory.bytes()
    }

    /// Returns the bytes of the bodies of all requests that are held.
    pub fn received_bytes(&self) -> usize {
        self.inner.clients.body_bytes()
    }

    /// Returns what clients make this instance hold.
    pub(crate) fn clients(&self) -> &ClientBudgets {
        &self.inner.clients
    }

    /// Serves a request.
    pub async fn handle(&self, req: Request) -> Response {
        let flight = self.begin_flight();
        let arrived_at = self.now();
        let has_chunks = req.version() >= Version::HTTP_11;
        let received = self.receive(req, arrived_at).await;
        let (exchange, outcome) = match received {
            Ok(mut exchange) => {
                let mut watch = DepartureWatch::new(self.clone(), &exchange);
                let outcome = self.serve(&mut exchange).await;
                watch.is_over = true;
                (Some(exchange), outcome)
            }
            Err(answer) => (None, Outcome::Own(answer)),
        };
        self.conclude(exchange.as_ref(), &outcome, arrived_at);
        let mut answer = outcome.into_response(self, exchange, flight);
        if !has_chunks {
            answer = self.collect_for_caller(answer).await;
        }
        if self.is_stopping() {
            answers::close_after(&mut answer);
        }
        answer
    }

    async fn receive(&self, req: Request, arrived_at: Millis) -> Result<Exchange, OwnAnswer> {
        let stopped = || OwnAnswer::refused(STOPPING, Millis::ZERO);
        if self.is_refusing() {
            return Err(stopped());
        }
        tokio::select! {
            received = Exchange::receive(self, req, arrived_at) => received,
            () = self.ended() => Err(stopped()),
        }
    }

    /// Restricts a request to one run if any configuration that becomes active while it is served says so.
    ///
    /// The route is read before each attempt only. A configuration that comes and goes during one attempt would not be
    /// noticed, although the caller may have sent the request by it.
    fn watch_route(&self, exchange: &Exchange) -> impl Future<Output = Infallible> + use<W, C> {
        let gateway = self.clone();
        let (host, uri) = (exchange.host(), exchange.uri.clone());
        let sendings = Arc::clone(&exchange.sendings);
        async move {
            loop {
                gateway.inner.config_changes.notified().await;
                let config = gateway.inner.config.load();
                let route = config.as_ref().and_then(|config| config.route(&host, uri.path()));
                if route.is_some_and(|route| !route.repeats.is_repeatable()) {
                    sendings.restrict();
                }
            }
        }
    }

    async fn serve(&self, exchange: &mut Exchange) -> Outcome {
        if let Some(refusal) = self.check_quarantine(exchange) {
            return refusal;
        }
        let limit = exchange.give_up_at - self.now();
        let watch = self.watch_route(exchange);
        let serving = async {
            match exchange.route.repeats {
                Repeats::Idempotent | Repeats::AtMostOnce => self.serve_plain(exchange).await,
                Repeats::Stream { .. } => self.serve_prompt(exchange).await,
            }
        };
        // Once the instance's work ends, no new attempt may start, so the end is polled first.
        let served = tokio::select! {
            biased;
            () = self.ended() => return self.abandoned_outcome(exchange, STOPPING, Millis::ZERO),
            never = watch => match never {},
            served = tokio::time::timeout(limit.as_duration(), serving) => served,
        };
        // The timeout has dropped the attempt in progress, together with its connection.
        served.unwrap_or_else(|_elapsed| self.abandoned_outcome(exchange, "timeout", TIMEOUT_PAUSE))
    }
}
