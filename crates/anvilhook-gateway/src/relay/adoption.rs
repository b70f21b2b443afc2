//! Activates new configurations and new lists of upstreams.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use anvilhook_core::units::Clock;

use super::Gateway;
use crate::configs::Config;
use crate::events::{InstanceEvent, emit};
use crate::fleets::{Entry, FleetView, Upstream};
use crate::wires::Wire;

/// The maximum number of upstreams that one log line names.
const MAX_LOGGED: usize = 16;

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Activates a configuration, unless one of the same or a newer version is active.
    pub fn adopt_config(&self, config: Config) {
        let earlier = self.config();
        let before = earlier.as_ref().map(|config| config.version);
        if before.is_some_and(|before| before >= config.version) {
            return;
        }
        let version = config.version;
        let config = match &earlier {
            Some(earlier) => config.after(earlier),
            None => config,
        };
        if let Some(accounts) = config.accounts() {
            self.usage().learn_names(accounts.names());
        }
        self.inner.config.store(Some(Arc::new(config)));
        self.inner.config_changes.notify_waiters();
        emit(&InstanceEvent::ConfigAdopted { version, before });
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
        for before in earlier.all() {
            let now = view.get(&before.entry.id);
            if now.is_some_and(|now| now.software != before.software) {
                self.retract_origins(before);
            }
        }
        let draining = view.all().filter(|upstream| upstream.entry.draining);
        emit(&InstanceEvent::FleetChanged {
            listed: view.all().count(),
            draining: draining.map(|upstream| &*upstream.entry.id).take(MAX_LOGGED).collect(),
            added: missing_in(&earlier, &view),
            removed: missing_in(&view, &earlier),
            restarted: restarted_in(&view, &earlier),
            versions: versions_of(&view),
        });
    }

    /// Returns whether an upstream has restarted, according to its current entry.
    pub(super) fn has_started_again(&self, upstream: &Upstream) -> bool {
        let view = self.fleet().view();
        view.get(&upstream.entry.id).is_some_and(|now| !now.entry.is_same_start(&upstream.entry))
    }
}

/// Returns the number of upstreams by service and software version, for logs.
fn versions_of(view: &FleetView) -> BTreeMap<String, usize> {
    let mut versions = BTreeMap::new();
    for Upstream { entry, .. } in view.all().map(|upstream| &**upstream) {
        let name = format!("{} {}", entry.service, entry.version.as_deref().unwrap_or("unknown"));
        if versions.len() < MAX_LOGGED || versions.contains_key(&name) {
            *versions.entry(name).or_default() += 1;
        }
    }
    versions
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
