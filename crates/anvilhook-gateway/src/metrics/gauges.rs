//! Sets the gauges to the state of the instance.

use anvilhook_core::units::{Clock, Millis};

use super::labels::{NameLabel, StageLabels, VersionLabels};
use super::{GatewayMetrics, MAX_SERVICES};
use crate::account_shares::service_code;
use crate::configs::Config;
use crate::placements::lanes_of;
use crate::relay::Gateway;
use crate::wires::Wire;

impl GatewayMetrics {
    pub(super) fn refresh<W: Wire, C: Clock>(&self, gateway: &Gateway<W, C>, now: Millis) {
        let label = |name: &str| NameLabel { name: name.to_owned() };
        self.in_flight.set(gateway.in_flight() as i64);
        self.origins.set(gateway.origins().len() as i64);
        self.broken_paths.set(gateway.broken_paths() as i64);
        self.peers.set(gateway.peers().live_peers(now) as i64);
        let suspects = gateway.suspects().counts(now);
        self.suspected_requests.set(suspects.suspected as i64);
        self.quarantined_requests.set(suspects.quarantined_requests as i64);
        self.quarantined_parts.set(suspects.quarantined_parts as i64);
        self.suspects_on_trial.set(suspects.on_trial as i64);
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
