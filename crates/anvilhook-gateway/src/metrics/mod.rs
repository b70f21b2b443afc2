//! Counters, histograms and gauges of an instance, in the Prometheus text format.
//!
//! The number of label sets is bounded: services and upstreams are limited to the declared and listed ones,
//! and every other label value comes from a fixed set.

mod gauges;
mod labels;
mod registration;

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

use anvilhook_core::units::{Clock, Millis};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::events::Evidence;
use crate::peers::SectionBytes;
use crate::relay::Gateway;
use crate::wires::Wire;

pub use labels::{
    AttemptLabels, KindLabel, NameLabel, RejectionLabels, RequestLabels, StageLabels, TableLabels,
    VersionLabels,
};

/// The upper bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0];

/// The maximum number of services that have their own time series; beyond it, all services share one.
const MAX_SERVICES: usize = 64;

/// `GatewayMetrics` holds all metrics of an instance.
pub struct GatewayMetrics {
    registry: Registry,
    /// Concluded requests, by outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Attempts that produced no answer to forward.
    pub failed_attempts: Family<AttemptLabels, Counter>,
    /// Attempts that were not sent because the request may run at most once and an earlier attempt may run.
    pub blocked_sendings: Counter,
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
    /// Connections of callers that this instance closed of its own accord, by reason.
    pub closed_connections: Family<NameLabel, Counter>,
    suspected_requests: Gauge,
    quarantined_requests: Gauge,
    quarantined_parts: Gauge,
    suspects_on_trial: Gauge,
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
            blocked_sendings: Counter::default(),
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
            closed_connections: Family::default(),
            suspected_requests: Gauge::default(),
            quarantined_requests: Gauge::default(),
            quarantined_parts: Gauge::default(),
            suspects_on_trial: Gauge::default(),
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
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}
