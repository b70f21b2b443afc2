//! Leases: the right to act for all instances in one matter, stored as one row of a table.

use std::sync::Arc;

use anvilhook_core::units::{Clock, Millis};
use bytes::Bytes;

use crate::events::{DutyEvent, emit};
use crate::peers::Peers;
use crate::tables::{Table, TableError, TableRevision, Write, Written};

/// The table of the leases.
const LEASE_TABLE: &str = "anvilhook_leases";

/// The margin by which the holder shortens a lease, and every other instance extends it.
const GUARD: Millis = Millis(600);

/// The lowest epoch that shows that the store has been restored, whatever its first epoch is.
const RESTORED_EPOCH: u64 = 2;

/// `Lease` is this instance's right to act.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    /// The fencing token, from the revision at which the lease was taken from another holder.
    pub token: u64,
    /// The revision of the row at its last renewal.
    revision: TableRevision,
    /// The end of the lease, counted from before the write was sent.
    pub until: Millis,
}

/// `LeaseManager` acquires the lease and renews it.
///
/// Orders of two instances must never mix. One row of the table is the lease. Each acquisition
/// writes a higher revision, from which the fencing token is derived until another instance acquires
/// the lease. The holder counts from before it sent the write, every other instance from when it
/// first saw the row, and both add a guard time.
///
/// A store that is restored from a copy loses the newest leases, while their holders still act. So
/// after a restore, the row counts as seen for the first time even if it is missing.
pub(crate) struct LeaseManager<T, C> {
    table: T,
    clock: C,
    row: &'static str,
    holder: String,
    /// The length of the lease.
    length: Millis,
    /// The additional time before a lapsed lease is acquired.
    late_calls: Millis,
    /// The last seen revision of the row, and when it was first seen; version 0 if it is missing.
    seen: Option<(TableRevision, Millis)>,
    peers: Arc<Peers>,
    lease: Option<Lease>,
    not_before: Millis,
}

impl<T: Table, C: Clock> LeaseManager<T, C> {
    /// Creates a manager of the lease in a row; it does not hold the lease yet.
    pub fn new(
        table: T,
        clock: C,
        row: &'static str,
        holder: String,
        length: Millis,
        peers: Arc<Peers>,
    ) -> Self {
        Self {
            table,
            clock,
            row,
            holder,
            length,
            late_calls: Millis::ZERO,
            seen: None,
            peers,
            lease: None,
            not_before: Millis::ZERO,
        }
    }

    /// Delays the acquisition of a lapsed lease by as long as a call of the earlier holder may
    /// still be executed, for systems that don't check its fencing token.
    pub fn with_late_calls(self, late_calls: Millis) -> Self {
        Self { late_calls, ..self }
    }

    /// Returns the name under which the lease is held.
    pub fn holder(&self) -> &str {
        &self.holder
    }

    /// Returns the newest epoch of the store in which the row was looked for, 0 if it never was.
    pub fn epoch(&self) -> u64 {
        self.seen.map_or(0, |(revision, _)| revision.epoch)
    }

    /// Returns whether the lease is held now.
    pub fn is_held(&self) -> bool {
        self.lease.is_some_and(|lease| self.clock.now() < lease.until)
    }

    /// Forces the row to be read before the lease is used again.
    pub fn reload(&mut self) {
        if let Some(lease) = &mut self.lease {
            lease.until = Millis::ZERO;
        }
    }

    /// Releases the lease because an engine or the platform has seen a newer one. This instance
    /// does not acquire the lease again for twice its length, so that the newer holder can act.
    pub fn yield_to_newer(&mut self) {
        self.lease = None;
        self.not_before = self.clock.now() + self.length * 2;
    }

    /// Returns the lease if it is held or can be acquired now.
    pub async fn hold(&mut self) -> Option<Lease> {
        self.hold_for(GUARD).await
    }

    /// Returns the lease if it is held for `time` from now or can be acquired.
    pub async fn hold_for(&mut self, time: Millis) -> Option<Lease> {
        let now = self.clock.now();
        if now < self.not_before {
            return None;
        }
        if let Some(lease) = self.lease
            && now + time < lease.until
        {
            return Some(lease);
        }
        match self.acquire().await {
            Ok(lease) => self.lease = lease,
            Err(err) => {
                emit(&DutyEvent::Lease { lease: self.row, outcome: &err.to_string(), token: 0 });
                self.lease = None;
            }
        }
        self.lease
    }

    async fn acquire(&mut self) -> Result<Option<Lease>, TableError> {
        let rows = self.table.scan(LEASE_TABLE).await?;
        let row = rows.rows.iter().find(|row| row.key == self.row);
        let revision = TableRevision::new(rows.epoch, row.map_or(0, |row| row.version));
        let now = self.clock.now();
        let seen_at = match self.seen {
            Some((seen, at)) if seen == revision => at,
            _ => {
                self.seen = Some((revision, now));
                now
            }
        };
        let own = self.lease.filter(|lease| lease.revision == revision);
        let lapses_at = seen_at + self.length + GUARD + self.late_calls;
        self.peers.record_epoch(rows.epoch);
        let first_epoch = self.peers.first_epoch().unwrap_or(rows.epoch);
        let was_restored = rows.epoch > first_epoch || rows.epoch >= RESTORED_EPOCH;
        let was_never_held = revision.version == 0 && !was_restored;
        let is_lapsed = was_never_held || now >= lapses_at;
        if own.is_none() && !is_lapsed {
            return Ok(None);
        }
        let sent_at = self.clock.now();
        let value = Bytes::from(self.holder.clone());
        let write = Write { key: self.row.to_owned(), expected: revision.version, value };
        match self.table.write(LEASE_TABLE, write).await? {
            // The store was restored since the row was read, and another instance may hold the lease.
            Written::At(written) if written.epoch != revision.epoch => {
                self.seen = Some((written, sent_at));
                Ok(None)
            }
            Written::At(written) => {
                let token = own.map_or(written.fencing_token(), |lease| lease.token);
                let outcome = if own.is_some() { "renewed" } else { "taken" };
                emit(&DutyEvent::Lease { lease: self.row, outcome, token });
                let until = sent_at + (self.length - GUARD);
                self.seen = Some((written, sent_at));
                Ok(Some(Lease { token, revision: written, until }))
            }
            Written::Conflict => Ok(None),
        }
    }
}
