//! The path of a request through the gateway: choosing an upstream, sending, checking the answer, retrying
//! and resuming streams.

mod access;
mod answers;
mod attempts;
mod bodies;
mod calls;
mod examining;
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

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::orders::Role;
use anvilhook_core::speeds::ReadingCost;
use anvilhook_core::units::{Clock, Millis, WallTime};
use anvilhook_core::usage::Source;
use anvilhook_http::HttpClient;
use arc_swap::{ArcSwap, ArcSwapOption};
use http::StatusCode;
use tokio::sync::Semaphore;
use volo_http::request::Request;
use volo_http::response::Response;

use crate::account_shares::AccountShares;
use crate::budgets::{Budget, BudgetOptions};
use crate::caches::CacheIndex;
use crate::configs::{Config, Repeats};
use crate::events::{Event, emit};
use crate::fleets::{Entry, Fleet, FleetView, Upstream};
use crate::forwarding::{Forwarders, ServedCalls};
use crate::metrics::{GatewayMetrics, KindLabel, RejectionLabels, RequestLabels};
use crate::peers::Peers;
use crate::policies::Policy;
use crate::prompts::Part;
use crate::speeds::Speeds;
use crate::suspects::Suspects;
use crate::usage::Usage;
use crate::wires::Wire;

use answers::{Outcome, OwnAnswer};
use limits::{LIMITED, LimitQueues};
use path_checks::{LastCheck, MAX_CONCURRENT_CHECKS};
use places::{WaitingQueues, rejection_of};
use stopping::{STOPPING, Stopping};

pub(crate) use places::FreedSignal;
pub use places::Stage;
pub(crate) use prompts::MIN_PUBLISHED_TOKENS;
pub(crate) use requests::Exchange;

/// The retry time for a caller whose request timed out before it ran.
const TIMEOUT_PAUSE: Millis = Millis(100);

/// The reason in the answer to a request whose upstreams have all asked for a pause.
const PAUSED: &str = "upstreams_paused";

/// The reason in the answer to a request that engines are too busy to answer in time.
const OVERLOAD: &str = "overload";

/// The label of the peers as a source of cached state in metrics.
pub(crate) const PEER_SOURCE: &str = "peers";

/// The maximum number of upstreams that one log line names.
const MAX_LOGGED: usize = 16;

/// `GatewayOptions` configures how requests are served.
#[derive(Clone, Debug)]
pub struct GatewayOptions {
    /// The availability zone of this instance.
    pub zone: Arc<str>,
    /// The initial budget for extra arrivals.
    pub budget: BudgetOptions,
    /// The expected cost of reading prompts (prefill), until it has been measured.
    pub expected_reading: ReadingCost,
    /// The wall-clock time of the machine when the gateway is created.
    pub started_at: WallTime,
    /// The length of the windows in which the usage of client accounts is reported; `None` if it is not
    /// reported.
    pub usage_window: Option<Millis>,
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
    usage: Usage,
    account_shares: AccountShares,
    limit_queues: LimitQueues,
    waiting_queues: WaitingQueues,
    forwarders: Forwarders,
    served_calls: ServedCalls,
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

/// `DepartureWatch` logs a request whose caller leaves before it is answered. The server then drops the
/// request's future, so nothing else would log its outcome.
struct DepartureWatch<W: Wire, C: Clock> {
    gateway: Gateway<W, C>,
    request: Arc<str>,
    arrived_at: Millis,
    is_over: bool,
}

impl<W: Wire, C: Clock> DepartureWatch<W, C> {
    fn new(gateway: Gateway<W, C>, exchange: &Exchange) -> Self {
        let (request, arrived_at) = (Arc::clone(&exchange.id), exchange.arrived_at);
        Self { gateway, request, arrived_at, is_over: false }
    }
}

impl<W: Wire, C: Clock> Drop for DepartureWatch<W, C> {
    fn drop(&mut self) {
        if !self.is_over {
            let took_ms = (self.gateway.now() - self.arrived_at).0;
            emit(&Event::CallerLeft { request: &self.request, took_ms });
        }
    }
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Creates a gateway that has no configuration and no upstreams yet.
    pub fn new(wire: W, clock: C, client: HttpClient, options: GatewayOptions) -> Self {
        let usage = Usage::new(options.usage_window, options.started_at, clock.now());
        let peers = Arc::new(Peers::in_zone(&options.zone));
        let inner = Inner {
            wire,
            clock,
            client,
            budget: Budget::new(options.budget),
            policy: ArcSwap::default(),
            speeds: Speeds::new(options.expected_reading),
            account_shares: AccountShares::in_zone(peers.zone()),
            peers,
            options,
            config: ArcSwapOption::empty(),
            fleet: Fleet::new(),
            caches: CacheIndex::new(),
            suspects: Arc::default(),
            usage,
            limit_queues: LimitQueues::default(),
            waiting_queues: WaitingQueues::default(),
            forwarders: Forwarders::default(),
            served_calls: ServedCalls::default(),
            check_slots: Semaphore::new(MAX_CONCURRENT_CHECKS),
            last_check: LastCheck::default(),
            in_flight: AtomicU64::new(0),
            stopping: Stopping::new(),
            has_fleet: AtomicBool::new(false),
            metrics: GatewayMetrics::new(),
            cached: Mutex::default(),
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

    /// Activates a configuration, unless one of the same or a newer version is active.
    pub fn adopt_config(&self, config: Config) {
        let before = self.inner.config.load().as_ref().map(|config| config.version);
        if before.is_some_and(|before| before >= config.version) {
            return;
        }
        let version = config.version;
        if let Some(accounts) = config.accounts() {
            self.usage().learn_names(accounts.names());
        }
        self.inner.config.store(Some(Arc::new(config)));
        emit(&Event::ConfigAdopted { version, before });
    }

    /// Replaces the upstreams by those of the upstream table.
    pub fn adopt_entries(&self, entries: impl IntoIterator<Item = Entry>) {
        let now = self.has_fleet().then(|| self.now());
        let earlier = self.inner.fleet.replace_at(now, entries);
        let view = self.inner.fleet.view();
        self.wake_waiting();
        self.inner.has_fleet.store(true, Ordering::Release);
        // An upstream that has restarted under its id has lost the content of its cache.
        let is_same = |engine: &str| {
            let (now, before) = (view.get(engine), earlier.get(engine));
            now.is_some_and(|now| {
                before.is_none_or(|before| before.entry.is_same_start(&now.entry))
            })
        };
        self.inner.caches.retain(is_same);
        let draining = view.all().filter(|upstream| upstream.entry.draining);
        emit(&Event::FleetChanged {
            listed: view.all().count(),
            draining: draining.map(|upstream| &*upstream.entry.id).take(MAX_LOGGED).collect(),
            added: missing_in(&earlier, &view),
            removed: missing_in(&view, &earlier),
            restarted: restarted_in(&view, &earlier),
        });
    }

    /// Returns whether an upstream has restarted, according to its current entry.
    fn has_started_again(&self, upstream: &Upstream) -> bool {
        let view = self.fleet().view();
        view.get(&upstream.entry.id).is_some_and(|now| !now.entry.is_same_start(&upstream.entry))
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
        emit(&Event::QuarantineLifted { fingerprint: request });
        is_known
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

    /// Serves a request.
    pub async fn handle(&self, req: Request) -> Response {
        let flight = self.begin_flight();
        let arrived_at = self.now();
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

    async fn serve(&self, exchange: &mut Exchange) -> Outcome {
        if let Some(refusal) = self.check_quarantine(exchange) {
            return refusal;
        }
        let limit = exchange.give_up_at - self.now();
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
            served = tokio::time::timeout(limit.as_duration(), serving) => served,
        };
        // The timeout has dropped the attempt in progress, together with its connection.
        served.unwrap_or_else(|_elapsed| self.abandoned_outcome(exchange, "timeout", TIMEOUT_PAUSE))
    }

    /// Returns the answer for a request that is abandoned: a refusal only if it has not run.
    fn abandoned_outcome(
        &self,
        exchange: &Exchange,
        cause: &'static str,
        pause: Millis,
    ) -> Outcome {
        if !exchange.may_have_run {
            Outcome::refused(cause, self.retry_time(exchange, cause).unwrap_or(pause))
        } else if exchange.time_left(self.now()) == Millis::ZERO {
            Outcome::failed(StatusCode::GATEWAY_TIMEOUT, cause)
        } else {
            Outcome::may_have_run(cause)
        }
    }

    /// Returns the answer for a request that no upstream accepts. If all upstreams that could serve it have
    /// asked for a pause or have exhausted request limits, the answer names the time at which the first of
    /// them accepts requests again.
    fn no_upstream_outcome(
        &self,
        exchange: &Exchange,
        cause: &'static str,
        pause: Millis,
    ) -> Outcome {
        match self.soonest_opening(&exchange.service) {
            Some((soonest, cause)) => self.abandoned_outcome(exchange, cause, soonest),
            None => self.abandoned_outcome(exchange, cause, pause),
        }
    }

    /// Returns the time until the first of a service's upstreams that are paused, or whose request limits are
    /// exhausted, accepts requests again, and which of the two it is. Returns `None` if there are none or if
    /// any upstream that answers requests accepts work.
    fn soonest_opening(&self, service: &str) -> Option<(Millis, &'static str)> {
        let (now, view) = (self.now(), self.fleet().view());
        let answering =
            || view.of_service(service).iter().filter(|one| one.role() != Some(Role::Prefill));
        if answering().any(|one| one.takes_work(now)) {
            return None;
        }
        let staying = answering().filter(|one| !one.is_leaving());
        let openings = staying.filter_map(|one| {
            let limited_until = one.state.request_limit().next_at(now);
            match one.state.paused_until(now) {
                Some(until) => Some((until.max(limited_until) - now, PAUSED)),
                None => (limited_until > now).then_some((limited_until - now, LIMITED)),
            }
        });
        openings.min()
    }

    fn conclude(&self, exchange: Option<&Exchange>, outcome: &Outcome, arrived_at: Millis) {
        let took = self.now() - arrived_at;
        let config = self.inner.config.load();
        let upstreams = exchange.map_or_else(String::new, |exchange| exchange.tried.join(" "));
        let status = outcome.status().as_u16();
        let excess = exchange.map_or(0.0, |exchange| self.account_excess(exchange));
        let rejection = exchange.and_then(|exchange| rejection_of(exchange, outcome));
        emit(&Event::Concluded {
            request: exchange.map_or("", |exchange| &exchange.id),
            fingerprint: exchange.map(|exchange| exchange.fingerprint),
            route: exchange.map_or("", |exchange| &exchange.route.name),
            account: exchange
                .and_then(|exchange| exchange.access.account.as_ref())
                .map(|one| &*one.name),
            status,
            reason: outcome.reason(),
            retry_after_ms: outcome.retry_after().map(|pause| pause.0),
            upstreams: &upstreams,
            took_ms: took.0,
            had_ms: exchange.map_or(0, |exchange| (exchange.give_up_at - arrived_at).0),
            objective_ms: exchange.map_or(0, |exchange| exchange.route.objective.0),
            config: config.as_ref().map_or(0, |config| config.version),
            excess: (excess > 0.0).then(|| (excess * 100.0).round() / 100.0),
            rejected_by: rejection.map(|(reason, _)| reason),
            predicted_wait_ms: rejection.and_then(|(_, predicted_ms)| predicted_ms),
        });
        if let Some(exchange) = exchange.filter(|_| excess > 0.0 && outcome.reason() == OVERLOAD) {
            self.metrics().account_rejected.get_or_create(&self.share_label(exchange)).inc();
        }
        let kind = exchange.map_or("unknown", |exchange| exchange.route.repeats.as_str());
        let declared = config.as_ref().map_or(0, |config| config.services().count());
        let service = exchange.map_or("", |exchange| &exchange.service);
        let service = self.inner.metrics.service_label(service, declared);
        if let Some((reason, _)) = rejection {
            let labels = RejectionLabels { service: service.clone(), reason };
            self.inner.metrics.rejections.get_or_create(&labels).inc();
        }
        let labels = RequestLabels { service, kind, status, reason: outcome.reason() };
        self.inner.metrics.requests.get_or_create(&labels).inc();
        let latency = self.inner.metrics.latency.get_or_create(&KindLabel { kind });
        latency.observe(took.as_secs_f64());
    }
}

/// Returns the upstreams of `view` that have restarted since `earlier`, for logs.
fn restarted_in<'v>(view: &'v FleetView, earlier: &FleetView) -> Vec<&'v str> {
    let again = view.all().filter(|upstream| {
        let before = earlier.get(&upstream.entry.id);
        before.is_some_and(|before| !before.entry.is_same_start(&upstream.entry))
    });
    again.map(|upstream| &*upstream.entry.id).take(MAX_LOGGED).collect()
}

/// Returns the upstreams of `view` that are missing in `other`, for logs.
fn missing_in<'v>(other: &FleetView, view: &'v FleetView) -> Vec<&'v str> {
    let ids = view.all().map(|upstream| &*upstream.entry.id);
    ids.filter(|id| other.get(id).is_none()).take(MAX_LOGGED).collect()
}
