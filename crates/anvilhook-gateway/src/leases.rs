//! Leases: the right to act for all instances in one matter, stored as one row of a table.

use anvilhook_core::units::{Clock, Millis};
use bytes::Bytes;

use crate::events::{Event, emit};
use crate::tables::{Table, TableError, TableRevision, Write, Written};

/// The table of the leases.
const LEASE_TABLE: &str = "anvilhook_leases";

/// The margin by which the holder shortens a lease, and every other instance extends it.
const GUARD: Millis = Millis(600);

/// `Lease` is this instance's right to act.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    /// The fencing token: the version at which the lease was taken from another holder.
    pub token: u64,
    /// The version of the row at its last renewal.
    version: u64,
    /// The end of the lease, counted from before the write was sent.
    pub until: Millis,
}

/// `LeaseManager` acquires the lease and renews it.
///
/// Orders of two instances must never mix. One row of the table is the lease. Each acquisition
/// writes a higher version, which is the fencing token until another instance acquires the lease.
/// The holder counts from before it sent the write, every other instance from when it first saw the
/// row, and both add a guard time.
pub(crate) struct LeaseManager<T, C> {
    table: T,
    clock: C,
    row: &'static str,
    holder: String,
    /// The length of the lease.
    length: Millis,
    /// The additional time before a lapsed lease is acquired.
    late_calls: Millis,
    /// The last seen version of the row, and when it was first seen.
    seen: Option<(u64, Millis)>,
    lease: Option<Lease>,
    not_before: Millis,
}

impl<T: Table, C: Clock> LeaseManager<T, C> {
    /// Creates a manager of the lease in a row; it does not hold the lease yet.
    pub fn new(table: T, clock: C, row: &'static str, holder: String, length: Millis) -> Self {
        Self {
            table,
            clock,
            row,
            holder,
            length,
            late_calls: Millis::ZERO,
            seen: None,
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
                emit(&Event::Lease { lease: self.row, outcome: &err.to_string(), token: 0 });
                self.lease = None;
            }
        }
        self.lease
    }

    async fn acquire(&mut self) -> Result<Option<Lease>, TableError> {
        let rows = self.table.scan(LEASE_TABLE).await?;
        let row = rows.rows.iter().find(|row| row.key == self.row);
        let version = row.map_or(0, |row| row.version);
        let now = self.clock.now();
        let seen_at = match self.seen {
            Some((seen, at)) if seen == version => at,
            _ => {
                self.seen = Some((version, now));
                now
            }
        };
        let own = self.lease.filter(|lease| lease.version == version);
        let lapses_at = seen_at + self.length + GUARD + self.late_calls;
        let is_lapsed = version == 0 || now >= lapses_at;
        if own.is_none() && !is_lapsed {
            return Ok(None);
        }
        let sent_at = self.clock.now();
        let value = Bytes::from(self.holder.clone());
        let write = Write { key: self.row.to_owned(), expected: version, value };
        match self.table.write(LEASE_TABLE, write).await? {
            Written::At(TableRevision { version, .. }) => {
                let token = own.map_or(version, |lease| lease.token);
                let outcome = if own.is_some() { "renewed" } else { "taken" };
                emit(&Event::Lease { lease: self.row, outcome, token });
                let until = sent_at + (self.length - GUARD);
                self.seen = Some((version, sent_at));
                Ok(Some(Lease { token, version, until }))
            }
            Written::Conflict => Ok(None),
        }
    }
}
