//! Follows the upstreams' entries.

use std::sync::Arc;

use anvilhook_core::units::{Clock, Millis};

use super::{Follow, UnreadableRows};
use crate::entries::EntryRegistry;
use crate::fleets::Entry;
use crate::peers::{FollowedTable, Peers};
use crate::relay::Gateway;
use crate::tables::{Row, TableRevision};
use crate::wires::Wire;

/// The pause after changed entries, in which further changes gather. Upstreams that start together
/// would otherwise cost a call each, and every call has a price.
const GATHER_TIME: Millis = Millis(250);

/// The label of the upstream table as a source of cached state in metrics.
pub(crate) const LIST_SOURCE: &str = "list";

/// `EntryFollower` updates the gateway's fleet from the listed entries.
pub struct EntryFollower<W: Wire, C: Clock> {
    gateway: Gateway<W, C>,
    clock: C,
    registry: Arc<std::sync::Mutex<EntryRegistry>>,
    unreadable: UnreadableRows,
}

impl<W: Wire, C: Clock> EntryFollower<W, C> {
    /// Creates a follower that has no entries yet.
    pub fn new(gateway: Gateway<W, C>, clock: C) -> Self {
        Self { gateway, clock, registry: Arc::default(), unreadable: UnreadableRows::default() }
    }

    fn publish(&self, registry: &EntryRegistry) {
        self.gateway.adopt_entries(registry.entries().cloned());
    }

    fn decode(&mut self, row: &Row) -> Option<Entry> {
        let decoded = row.value.as_ref().map(|value| self.gateway.wire().entry(&row.key, value));
        match decoded {
            Some(Err(err)) => {
                self.unreadable.report(self.gateway.metrics(), self.table(), row, &err);
                None
            }
            readable => {
                self.unreadable.forget(&row.key);
                readable?.ok()
            }
        }
    }

    /// Schedules the expiry of lapsed entries, which must happen on time even if no change arrives.
    /// Each entry has its own expiry time, so the task waits for one after the other.
    fn expire_later(&self) {
        let (clock, gateway) = (self.clock.clone(), self.gateway.clone());
        let registry = Arc::clone(&self.registry);
        let mut due = self.registry.lock().expect("no panic under this lock").next_expiry();
        if due.is_none() {
            return;
        }
        tokio::spawn(async move {
            while let Some(next) = due {
                tokio::time::sleep((next - clock.now() + Millis(1)).as_duration()).await;
                let mut registry = registry.lock().expect("no panic under this lock");
                if registry.expire(clock.now()) {
                    gateway.adopt_entries(registry.entries().cloned());
                }
                due = registry.next_expiry();
            }
        });
    }
}

impl<W: Wire, C: Clock> Follow for EntryFollower<W, C> {
    fn table(&self) -> &'static str {
        self.gateway.wire().upstream_table()
    }

    fn reset(&mut self, rows: &[Row]) {
        let now = self.clock.now();
        let (mut entries, mut unreadable) = (Vec::new(), Vec::new());
        for row in rows.iter().filter(|row| row.value.is_some()) {
            match self.decode(row) {
                Some(entry) => entries.push(entry),
                None => unreadable.push(&row.key),
            }
        }
        self.unreadable.retain(rows);
        let mut registry = self.registry.lock().expect("no panic under this lock");
        // Such a row is discarded, not removed: the upstream's own report with the same number
        // restores it, and unlike a removal it takes effect without a grace period.
        for key in unreadable {
            registry.discard(key, now);
        }
        registry.reset(entries, now);
        self.publish(&registry);
        drop(registry);
        self.expire_later();
    }

    fn change(&mut self, rows: &[Row]) {
        let now = self.clock.now();
        let registry = Arc::clone(&self.registry);
        let mut registry = registry.lock().expect("no panic under this lock");
        let peers = Arc::clone(self.gateway.peers());
        let watch = peers.watch_of(FollowedTable::Entries);
        let epoch = watch.mirror().known().epoch;
        let mut has_changed = false;
        for row in rows {
            has_changed |= match (&row.value, self.decode(row)) {
                (None, _) => {
                    let published_at = watch.published_at(TableRevision::new(epoch, row.version));
                    registry.remove_published(&row.key, published_at.unwrap_or(now), now)
                }
                (Some(_), Some(entry)) => registry.put(entry),
                (Some(_), None) => registry.discard(&row.key, now),
            };
        }
        if has_changed {
            self.publish(&registry);
        }
        drop(registry);
        self.expire_later();
    }

    fn gather_time(&self) -> Millis {
        GATHER_TIME
    }

    fn contacted(&mut self) {
        self.gateway.record_contact(LIST_SOURCE);
    }

    fn sharers(&self) -> (Arc<Peers>, FollowedTable) {
        (Arc::clone(self.gateway.peers()), FollowedTable::Entries)
    }

    /// The upstreams write missing entries again. Until then, they count as lapsed.
    fn restored(&mut self, unreachable_at: Millis) {
        self.unreadable.clear();
        self.regained(unreachable_at);
    }

    fn regained(&mut self, last_unreachable_at: Millis) {
        let now = self.clock.now();
        let mut registry = self.registry.lock().expect("no panic under this lock");
        registry.regained(now);
        registry.bound_grace(last_unreachable_at);
    }
}
