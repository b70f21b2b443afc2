//! Counters, histograms and gauges of an instance, in the Prometheus text format.
//!
//! The number of label sets is bounded: services and upstreams are limited to the declared and listed ones,
//! and every other label value comes from a fixed set.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

use anvilhook_core::units::{Clock, Millis};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::account_shares::service_code;
use crate::configs::Config;
use crate::events::{Evidence, LINES_DROPPED};
use crate::peers::SectionBytes;
use crate::placements::lanes_of;
use crate::relay::Gateway;
use crate::wires::Wire;

/// The upper bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0];

/// The maximum number of services that have their own time series; beyond it, all services share one.
const MAX_SERVICES: usize = 64;

/// `RequestLabels` are the labels of concluded requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestLabels {
    /// The service, empty if no route was found.
    pub service: String,
    /// Whether the requests may be repeated.
    pub kind: &'static str,
    /// The status sent to the caller.
    pub status: u16,
    /// The reason.
    pub reason: &'static str,
}

/// `AttemptLabels` are the labels of failed attempts.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct AttemptLabels {
    /// The stage of the request that the attempt was for.
    pub stage: &'static str,
    /// The verdict whether the request has run.
    pub verdict: &'static str,
    /// The cause of the failure.
    pub cause: &'static str,
    /// The step of the call at which it failed: `connect`, `first-byte` or `body`; empty if the upstream
    /// answered or was not called.
    pub step: &'static str,
}

/// `KindLabel` is a kind of requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct KindLabel {
    /// Whether the requests may be repeated.
    pub kind: &'static str,
}

/// `NameLabel` names a service, an upstream, a source of cached state or an outcome.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct NameLabel {
    /// The name.
    pub name: String,
}

/// `TableLabels` are the labels of calls to the platform's tables.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct TableLabels {
    /// The table. All values come from the gateway.
    pub table: String,
    /// `scan`, `changes` or `write`.
    pub call: &'static str,
    /// `answered`, `refused`, `history_gone` or `no_answer`.
    pub outcome: &'static str,
}

/// `RejectionLabels` are the labels of requests that were rejected for lack of capacity.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RejectionLabels {
    /// The service.
    pub service: String,
    /// `predicted`, `waited`, `no_time` or `retry_budget`.
    pub reason: &'static str,
}

/// `StageLabels` are the labels of waiting requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct StageLabels {
    /// The service.
    pub service: String,
    /// `read` or `generate`.
    pub stage: &'static str,
}

/// `VersionLabels` are the labels of upstreams by software version.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct VersionLabels {
    /// The service.
    pub service: String,
    /// The version, `unknown` if the upstream reports none.
    pub version: String,
}

/// `GatewayMetrics` holds all metrics of an instance.
pub struct GatewayMetrics {
    registry: Registry,
    /// Concluded requests, by outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Attempts that produced no answer to forward.
    pub failed_attempts: Family<AttemptLabels, Counter>,
    /// Calls sent to upstreams through other instances, by outcome.
    pub forwarded_calls: Family<NameLabel, Counter>,
    /// Calls received from other instances for upstreams, by outcome.
    pub served_calls: Family<NameLabel, Counter>,
    /// Streams that broke after their first event, by whether they were resumed.
    pub broken_streams: Family<NameLabel, Counter>,
    /// Requests of callers that continue a stream, by what became of them.
    pub continued_streams: Family<NameLabel, Counter>,
    /// Lookups of where a stream began, by result.
    pub origin_lookups: Family<NameLabel, Counter>,
    /// Datagrams about origins sent to peers.
    pub origin_datagrams: Counter,
    /// The size of these datagrams in bytes, without network overhead.
    pub origin_bytes: Counter,
    origins: Gauge,
    /// Requests that were rejected for lack of capacity, by reason.
    pub rejections: Family<RejectionLabels, Counter>,
    /// Orders given to engines, by outcome.
    pub orders: Family<NameLabel, Counter>,
    /// The time to the head of the answer.
    pub latency: Family<KindLabel, Histogram>,
    /// Completed calls to the platform's tables.
    pub table_calls: Family<TableLabels, Counter>,
    /// Items that could not be decoded, by source.
    unreadable: Family<NameLabel, Counter>,
    /// Datagrams sent to peers.
    pub digests: Counter,
    /// The size of these datagrams in bytes, without network overhead.
    pub digest_bytes: Counter,
    /// The bytes of datagrams by section and by scope.
    pub digest_sections: SectionBytes,
    engines_ended: Family<NameLabel, Counter>,
    suspected_requests: Gauge,
    quarantined_requests: Gauge,
    in_flight: Gauge,
    broken_paths: Gauge,
    config_version: Gauge,
    lease_token: Gauge,
    peers: Gauge,
    belief_age_ms: Family<NameLabel, Gauge>,
    budget_left: Family<NameLabel, Gauge>,
    upstream_in_flight: Family<NameLabel, Gauge>,
    upstream_reading_ms: Family<NameLabel, Gauge>,
    upstream_ejected: Family<NameLabel, Gauge>,
    upstream_request_limit: Family<NameLabel, Gauge<f64, AtomicU64>>,
    upstream_slowness: Family<NameLabel, Gauge<f64, AtomicU64>>,
    upstream_contact_age_ms: Family<NameLabel, Gauge>,
    service_in_flight: Family<NameLabel, Gauge>,
    service_reading_ms: Family<NameLabel, Gauge>,
    service_slots: Family<NameLabel, Gauge>,
    service_slow_starts: Family<NameLabel, Gauge>,
    service_versions: Family<VersionLabels, Gauge>,
    service_short_lane_engines: Family<NameLabel, Gauge>,
    accounts_above_share: Family<NameLabel, Gauge>,
    /// The work sent to engines while a service had less capacity than was requested, in milliseconds.
    pub contended_work_ms: Family<NameLabel, Counter>,
    /// Requests that were held back because their accounts were above their shares.
    pub account_held: Family<NameLabel, Counter>,
    /// Requests of such accounts that were rejected because engines were too busy.
    pub account_rejected: Family<NameLabel, Counter>,
    waiting_requests: Family<StageLabels, Gauge>,
    contacts: Mutex<HashMap<&'static str, Millis>>,
}

impl GatewayMetrics {
    /// Creates metrics with all counters at zero.
    pub fn new() -> Self {
        let latency = || Histogram::new(LATENCY_BOUNDS);
        let mut metrics = Self {
            registry: Registry::with_prefix("anvilhook_gateway"),
            requests: Family::default(),
            failed_attempts: Family::default(),
            forwarded_calls: Family::default(),
            served_calls: Family::default(),
            broken_streams: Family::default(),
            continued_streams: Family::default(),
            origin_lookups: Family::default(),
            origin_datagrams: Counter::default(),
            origin_bytes: Counter::default(),
            origins: Gauge::default(),
            rejections: Family::default(),
            orders: Family::default(),
            latency: Family::new_with_constructor(latency),
            table_calls: Family::default(),
            unreadable: Family::default(),
            digests: Counter::default(),
            digest_bytes: Counter::default(),
            digest_sections: SectionBytes::default(),
            engines_ended: Family::default(),
            suspected_requests: Gauge::default(),
            quarantined_requests: Gauge::default(),
            in_flight: Gauge::default(),
            broken_paths: Gauge::default(),
            config_version: Gauge::default(),
            lease_token: Gauge::default(),
            peers: Gauge::default(),
            belief_age_ms: Family::default(),
            budget_left: Family::default(),
            upstream_in_flight: Family::default(),
            upstream_reading_ms: Family::default(),
            upstream_ejected: Family::default(),
            upstream_request_limit: Family::default(),
            upstream_slowness: Family::default(),
            upstream_contact_age_ms: Family::default(),
            service_in_flight: Family::default(),
            service_reading_ms: Family::default(),
            service_slots: Family::default(),
            service_slow_starts: Family::default(),
            service_versions: Family::default(),
            service_short_lane_engines: Family::default(),
            accounts_above_share: Family::default(),
            contended_work_ms: Family::default(),
            account_held: Family::default(),
            account_rejected: Family::default(),
            waiting_requests: Family::default(),
            contacts: Mutex::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Concluded requests, by outcome", self.requests.clone());
        registry.register(
            "failed_attempts",
            "Attempts that produced no answer to forward",
            self.failed_attempts.clone(),
        );
        registry.register(
            "forwarded_calls",
            "Calls sent to upstreams through other instances, by outcome",
            self.forwarded_calls.clone(),
        );
        registry.register(
            "served_calls",
            "Calls received from other instances for upstreams, by outcome",
            self.served_calls.clone(),
        );
        registry.register(
            "broken_paths",
            "Upstreams that this instance does not reach over its own path",
            self.broken_paths.clone(),
        );
        registry.register(
            "broken_streams",
            "Streams that broke after their first event",
            self.broken_streams.clone(),
        );
        registry.register(
            "continued_streams",
            "Requests of callers that continue a stream, by the reason of the answer",
            self.continued_streams.clone(),
        );
        registry.register(
            "origin_lookups",
            "Lookups of where a continued stream began, by result",
            self.origin_lookups.clone(),
        );
        registry.register(
            "origin_datagrams",
            "Datagrams about the origins of streams sent to peers",
            self.origin_datagrams.clone(),
        );
        registry.register(
            "origin_bytes",
            "Bytes of datagrams about the origins of streams",
            self.origin_bytes.clone(),
        );
        registry.register("origins", "Origins of streams kept", self.origins.clone());
        registry.register(
            "service_versions",
            "Listed upstreams of a service, by software version",
            self.service_versions.clone(),
        );
        registry.register(
            "rejections",
            "Requests that were rejected for lack of capacity, by reason",
            self.rejections.clone(),
        );
        registry.register(
            "waiting_requests",
            "Requests that wait at this instance for an engine, by stage",
            self.waiting_requests.clone(),
        );
        registry.register("orders", "Orders given to engines", self.orders.clone());
        registry.register(
            "latency_seconds",
            "Time to the head of the answer",
            self.latency.clone(),
        );
        registry.register(
            "table_calls",
            "Completed calls to the platform's tables",
            self.table_calls.clone(),
        );
        registry.register(
            "unreadable",
            "Versions of rows and of the settings, datagrams and reports that can't be decoded",
            self.unreadable.clone(),
        );
        registry.register("digests", "Datagrams sent to peers", self.digests.clone());
        registry.register(
            "digest_bytes",
            "Bytes of datagrams sent to peers",
            self.digest_bytes.clone(),
        );
        registry.register(
            "digest_section_bytes",
            "Bytes of datagrams sent to peers, by section",
            self.digest_sections.family(),
        );
        registry.register(
            "engines_ended",
            "Engines that terminated while they ran requests of this instance, by evidence",
            self.engines_ended.clone(),
        );
        registry.register(
            "suspected_requests",
            "Requests during which engines have terminated, quarantined ones included",
            self.suspected_requests.clone(),
        );
        registry.register(
            "quarantined_requests",
            "Requests that are sent to no engine because three engines have terminated during them",
            self.quarantined_requests.clone(),
        );
        registry.register("in_flight", "Requests in flight", self.in_flight.clone());
        registry.register(
            "config_version",
            "Version of the active configuration",
            self.config_version.clone(),
        );
        registry.register(
            "lease_token",
            "Fencing token of the last lease held, 0 if none",
            self.lease_token.clone(),
        );
        registry.register("peers", "Other instances recently seen", self.peers.clone());
        registry.register(
            "belief_age_ms",
            "Time since a source of cached state was last contacted",
            self.belief_age_ms.clone(),
        );
        registry.register(
            "retry_budget_left",
            "Extra arrivals left in the window",
            self.budget_left.clone(),
        );
        registry.register(
            "upstream_in_flight",
            "Requests in flight at an upstream, estimated over all instances",
            self.upstream_in_flight.clone(),
        );
        registry.register(
            "upstream_reading_ms",
            "Pending prefill work at an engine, estimated over all instances",
            self.upstream_reading_ms.clone(),
        );
        registry.register(
            "upstream_ejected",
            "Whether an upstream is ejected",
            self.upstream_ejected.clone(),
        );
        registry.register(
            "upstream_request_limit",
            "Requests a second that an upstream accepts from all instances, if it names a limit",
            self.upstream_request_limit.clone(),
        );
        registry.register(
            "upstream_slowness",
            "How many times longer than the mean of its service an upstream's work takes",
            self.upstream_slowness.clone(),
        );
        registry.register(
            "upstream_contact_age_ms",
            "Time since an upstream last answered this instance over its own path",
            self.upstream_contact_age_ms.clone(),
        );
        registry.register(
            "service_in_flight",
            "Requests in flight at a service's upstreams, estimated over all instances",
            self.service_in_flight.clone(),
        );
        registry.register(
            "service_reading_ms",
            "Pending prefill work at a service's engines, estimated over all instances",
            self.service_reading_ms.clone(),
        );
        registry.register(
            "service_slots",
            "Requests that a service's listed upstreams can run at once",
            self.service_slots.clone(),
        );
        registry.register(
            "service_slow_starts",
            "A service's upstreams that are new or reopened and not yet open to all instances",
            self.service_slow_starts.clone(),
        );
        registry.register(
            "service_short_lane_engines",
            "Prefill engines of a service that are reserved for short prompts, 0 without lanes",
            self.service_short_lane_engines.clone(),
        );
        registry.register(
            "accounts_above_share",
            "Client accounts above their fair shares of a service",
            self.accounts_above_share.clone(),
        );
        registry.register(
            "contended_work_ms",
            "Work of client accounts sent to engines while a service had too little capacity",
            self.contended_work_ms.clone(),
        );
        registry.register(
            "account_held",
            "Requests held back because their client accounts were above their fair shares",
            self.account_held.clone(),
        );
        registry.register(
            "account_rejected",
            "Requests of client accounts above their fair shares that were rejected for overload",
            self.account_rejected.clone(),
        );
        registry.register(
            "lines_dropped",
            "Log lines that were dropped because they could not be written fast enough",
            LINES_DROPPED.clone(),
        );
    }

    /// Counts an item that can't be decoded. All names of sources come from the gateway.
    pub fn record_unreadable(&self, source: &str) {
        self.unreadable.get_or_create(&NameLabel { name: source.to_owned() }).inc();
    }

    /// Counts an engine that has terminated.
    pub fn record_end(&self, evidence: Evidence) {
        let label = NameLabel { name: evidence.as_str().to_owned() };
        self.engines_ended.get_or_create(&label).inc();
    }

    /// Records that a source of cached state has been contacted.
    pub fn record_contact(&self, source: &'static str, now: Millis) {
        self.contacts.lock().expect("no panic under this lock").insert(source, now);
    }

    /// Returns the time since a source of cached state was last contacted, `None` if it never was.
    pub fn source_age(&self, source: &str, now: Millis) -> Option<Millis> {
        let contacts = self.contacts.lock().expect("no panic under this lock");
        contacts.get(source).map(|at| now - *at)
    }

    /// Records the fencing token of a lease that was acquired.
    pub fn record_lease(&self, token: u64) {
        self.lease_token.set(i64::try_from(token).unwrap_or(i64::MAX));
    }

    /// Returns the label of a service. If more than `MAX_SERVICES` are declared, all share one label.
    pub fn service_label(&self, service: &str, declared: usize) -> String {
        if declared > MAX_SERVICES { "other".to_owned() } else { service.to_owned() }
    }

    /// Returns all metrics as text.
    pub fn text<W: Wire, C: Clock>(&self, gateway: &Gateway<W, C>, now: Millis) -> String {
        self.refresh(gateway, now);
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(err) => format!("# {err}\n"),
        }
    }

    fn refresh<W: Wire, C: Clock>(&self, gateway: &Gateway<W, C>, now: Millis) {
        let label = |name: &str| NameLabel { name: name.to_owned() };
        self.in_flight.set(gateway.in_flight() as i64);
        self.origins.set(gateway.origins().len() as i64);
        self.broken_paths.set(gateway.broken_paths() as i64);
        self.peers.set(gateway.peers().live_peers(now) as i64);
        let (suspected, quarantined) = gateway.suspects().counts(now);
        self.suspected_requests.set(suspected as i64);
        self.quarantined_requests.set(quarantined as i64);
        for (source, at) in self.contacts.lock().expect("no panic under this lock").iter() {
            self.belief_age_ms.get_or_create(&label(source)).set((now - *at).0 as i64);
        }
        if let Some(config) = gateway.config() {
            self.config_version.set(config.version as i64);
            self.refresh_services(gateway, &config, now);
        }
        // Clears the series first, so that upstreams that are no longer listed leave none behind.
        let families =
            [&self.upstream_in_flight, &self.upstream_reading_ms, &self.upstream_ejected];
        families.iter().for_each(|family| family.clear());
        self.upstream_request_limit.clear();
        self.upstream_slowness.clear();
        self.upstream_contact_age_ms.clear();
        for upstream in gateway.fleet().view().all() {
            let label = label(&upstream.entry.id);
            let work = upstream.state.work(now);
            let is_ejected = upstream.state.ejection().is_ejected(now);
            self.upstream_in_flight.get_or_create(&label).set(i64::from(work.in_flight));
            self.upstream_reading_ms.get_or_create(&label).set(work.reading_ms as i64);
            self.upstream_ejected.get_or_create(&label).set(i64::from(is_ejected));
            let slowness = gateway.slowness_of(upstream, now);
            self.upstream_slowness.get_or_create(&label).set(slowness);
            if let Some(age) = upstream.state.path().contact_age(now) {
                self.upstream_contact_age_ms.get_or_create(&label).set(age.0 as i64);
            }
            if let Some(limit) = upstream.state.request_limit().current_use(now) {
                self.upstream_request_limit.get_or_create(&label).set(limit.per_s);
            }
        }
    }

    fn refresh_services<W: Wire, C: Clock>(
        &self,
        gateway: &Gateway<W, C>,
        config: &Config,
        now: Millis,
    ) {
        let families = [
            &self.budget_left,
            &self.service_in_flight,
            &self.service_reading_ms,
            &self.service_slots,
            &self.service_slow_starts,
            &self.service_short_lane_engines,
            &self.accounts_above_share,
        ];
        families.iter().for_each(|family| family.clear());
        let excesses = gateway.account_shares().excesses(now);
        self.waiting_requests.clear();
        self.service_versions.clear();
        let view = gateway.fleet().view();
        for service in config.services().take(MAX_SERVICES) {
            let label = NameLabel { name: service.name.to_string() };
            let left = gateway.budget_left(&service.name, now) as i64;
            let upstreams = view.of_service(&service.name);
            let works = upstreams.iter().map(|upstream| upstream.state.work(now));
            let (in_flight, reading_ms) = works.fold((0, 0.0), |(count, reading_ms), work| {
                (count + i64::from(work.in_flight), reading_ms + work.reading_ms)
            });
            let slots = upstreams.iter().map(|upstream| i64::from(upstream.entry.slots)).sum();
            self.budget_left.get_or_create(&label).set(left);
            self.service_in_flight.get_or_create(&label).set(in_flight);
            self.service_reading_ms.get_or_create(&label).set(reading_ms as i64);
            self.service_slots.get_or_create(&label).set(slots);
            for upstream in upstreams {
                let version = upstream.entry.version.as_deref().unwrap_or("unknown").to_owned();
                let labels = VersionLabels { service: service.name.to_string(), version };
                self.service_versions.get_or_create(&labels).inc();
            }
            let is_active = gateway.policy().slow_start;
            let starting = upstreams.iter().filter(|one| one.state.slow_start().is_starting(now));
            let starting = if is_active { starting.count() as i64 } else { 0 };
            self.service_slow_starts.get_or_create(&label).set(starting);
            let share = gateway.short_share(&service.name, None);
            let lanes = share.map(|share| lanes_of(upstreams, share, now));
            let short_engines = lanes.map_or(0, |lanes| lanes.short_engines());
            self.service_short_lane_engines.get_or_create(&label).set(short_engines as i64);
            if config.accounts().is_some() {
                let code = service_code(&service.name);
                let above = excesses.by_account.keys().filter(|key| key.service == code).count();
                self.accounts_above_share.get_or_create(&label).set(above as i64);
            }
            for (stage, count) in gateway.waiting_requests(&service.name) {
                let labels = StageLabels { service: service.name.to_string(), stage };
                self.waiting_requests.get_or_create(&labels).set(count as i64);
            }
        }
    }
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}
