//! The names and descriptions of the metrics.

use super::GatewayMetrics;
use crate::events::LINES_DROPPED;

impl GatewayMetrics {
    pub(super) fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Concluded requests, by outcome", self.requests.clone());
        registry.register(
            "failed_attempts",
            "Attempts that produced no answer to forward",
            self.failed_attempts.clone(),
        );
        registry.register(
            "blocked_sendings",
            "Attempts not sent because the request runs at most once and an earlier attempt may run",
            self.blocked_sendings.clone(),
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
            "closed_connections",
            "Connections of callers that this instance closed of its own accord, by reason",
            self.closed_connections.clone(),
        );
        registry.register(
            "suspected_requests",
            "Requests and prompt parts during which engines have terminated, quarantined ones included",
            self.suspected_requests.clone(),
        );
        registry.register(
            "quarantined_requests",
            "Requests that are sent to no engine because three engines have terminated during them",
            self.quarantined_requests.clone(),
        );
        registry.register(
            "quarantined_parts",
            "Prompt parts whose requests are sent to no engine because engines have terminated during them",
            self.quarantined_parts.clone(),
        );
        registry.register(
            "suspects_on_trial",
            "Requests and prompt parts of which one request at a time is sent, as engines have terminated during them",
            self.suspects_on_trial.clone(),
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
}
