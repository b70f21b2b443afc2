//! Following the upstreams' entries.

use std::sync::Arc;

use anvilhook_core::units::{Clock, Millis};

use super::{Follow, UnreadableRows};
use crate::entries::EntryRegistry;
use crate::fleets::Entry;
use crate::peers::{FollowedTable, Peers};
use crate::relay::Gateway;
use crate::tables::Row;
use crate::wires::Wire;

/// The pause after changed entries, in which further changes gather. Upstreams that start together
/// would otherwise cost a call each, and every call has its price.
const GATHER_TIME: Millis = Millis(250);

/// The list of upstreams as a belief, as metrics name it.
pub(crate) const LIST_SOURCE: &str = "list";

/// `EntryFollower` keeps the gateway's fleet by the listed entries.
pub struct EntryFollower<W: Wire, C: Clock> {
    gateway: Gateway<W, C>,
    clock: C,
    book: Arc<std::sync::Mutex<EntryRegistry>>,
    unreadable: UnreadableRows,
}

impl<W: Wire, C: Clock> EntryFollower<W, C> {
    /// Makes a follower that knows no entries.
    pub fn new(gateway: Gateway<W, C>, clock: C) -> Self {
        Self { gateway, clock, book: Arc::default(), unreadable: UnreadableRows::default() }
    }

    fn publish(&self, book: &EntryRegistry) {
        self.gateway.adopt_entries(book.entries().cloned());
    }

    fn decode(&mut self, row: &Row) -> Option<Entry> {
        let decoded = row.value.as_ref().map(|value| self.gateway.wire().entry(&row.key, value));
        match decoded {
            Some(Err(err)) => {
                self.unreadable.tell(self.gateway.metrics(), self.table(), row, &err);
                None
            }
            readable => {
                self.unreadable.forget(&row.key);
                readable?.ok()
            }
        }
    }

    /// Has the lapsed entries expire on time, also while no change comes in. Each has a time of its own:
    /// after the first, the next one is waited for.
    fn expire_later(&self) {
        let (clock, gateway) = (self.clock.clone(), self.gateway.clone());
        let book = Arc::clone(&self.book);
        let mut due = self.book.lock().expect("no panic under this lock").next_expiry();
        if due.is_none() {
            return;
        }
        tokio::spawn(async move {
            while let Some(next) = due {
                tokio::time::sleep((next - clock.now() + Millis(1)).as_duration()).await;
                let mut book = book.lock().expect("no panic under this lock");
                if book.expire(clock.now()) {
                    gateway.adopt_entries(book.entries().cloned());
                }
                due = book.next_expiry();
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
        let mut book = self.book.lock().expect("no panic under this lock");
        // Such a row is not gone: the upstream's own report of the same number brings it back, and no
        // time passes until the row names nobody.
        for key in unreadable {
            book.discard(key, now);
        }
        book.reset(entries, now);
        self.publish(&book);
        drop(book);
        self.expire_later();
    }

    fn change(&mut self, rows: &[Row]) {
        let now = self.clock.now();
        let book = Arc::clone(&self.book);
        let mut book = book.lock().expect("no panic under this lock");
        let mut has_changed = false;
        for row in rows {
            has_changed |= match (&row.value, self.decode(row)) {
                (None, _) => book.remove(&row.key, now),
                (Some(_), Some(entry)) => book.put(entry),
                (Some(_), None) => book.discard(&row.key, now),
            };
        }
        if has_changed {
            self.publish(&book);
        }
        drop(book);
        self.expire_later();
    }

    fn gather_time(&self) -> Millis {
        GATHER_TIME
    }

    fn heard(&mut self) {
        self.gateway.record_contact(LIST_SOURCE);
    }

    fn sharers(&self) -> (Arc<Peers>, FollowedTable) {
        (Arc::clone(self.gateway.peers()), FollowedTable::Entries)
    }

    fn regained(&mut self, last_away: Millis) {
        let now = self.clock.now();
        let mut book = self.book.lock().expect("no panic under this lock");
        book.regained(now);
        book.bound_grace(last_away);
    }
}
