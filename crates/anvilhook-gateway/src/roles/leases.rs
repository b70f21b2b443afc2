//! The right to give orders to engines, as one row of a table.

use anvilhook_core::units::{Clock, Millis};
use bytes::Bytes;

use crate::events::{Event, emit};
use crate::tables::{Table, TableError, Write, Written};

/// The table and row of the lease.
const LEASE_TABLE: &str = "anvilhook_leases";
const LEASE_ROW: &str = "roles";

/// What is taken off a lease's length by its holder, and added to it by everybody else.
const GUARD: Millis = Millis(600);

/// `Lease` is this instance's right to give orders.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lease {
    /// The fencing token.
    pub token: u64,
    /// The end, counted from before the write was sent.
    pub until: Millis,
}

/// `LeaseKeeper` takes the lease and renews it.
///
/// Orders of two instances must never mix. One row of the table is the lease; each taking of it
/// has a higher version, which is the fencing token. The holder counts from before it sent the
/// write, everybody else from when it first saw the row, and both keep a guard.
pub(super) struct LeaseKeeper<T, C> {
    table: T,
    clock: C,
    holder: String,
    /// How long a lease is good for.
    length: Millis,
    /// The version of the row that was seen last, and since when.
    seen: Option<(u64, Millis)>,
    lease: Option<Lease>,
    not_before: Millis,
}

impl<T: Table, C: Clock> LeaseKeeper<T, C> {
    /// Makes a keeper that holds no lease.
    pub fn new(table: T, clock: C, holder: String, length: Millis) -> Self {
        Self { table, clock, holder, length, seen: None, lease: None, not_before: Millis::ZERO }
    }

    /// Returns the name under which the lease is held.
    pub fn holder(&self) -> &str {
        &self.holder
    }

    /// Gives the lease up because an engine has seen a newer one, and leaves the newer holder its time.
    pub fn yield_to_newer(&mut self) {
        self.lease = None;
        self.not_before = self.clock.now() + self.length * 2;
    }

    /// Returns the lease if it is held, or can be taken now.
    pub async fn hold(&mut self) -> Option<Lease> {
        let now = self.clock.now();
        if now < self.not_before {
            return None;
        }
        if let Some(lease) = self.lease
            && now + GUARD < lease.until
        {
            return Some(lease);
        }
        match self.take().await {
            Ok(lease) => self.lease = lease,
            Err(err) => {
                emit(&Event::Lease { outcome: &err.to_string(), token: 0 });
                self.lease = None;
            }
        }
        self.lease
    }

    async fn take(&mut self) -> Result<Option<Lease>, TableError> {
        let rows = self.table.scan(LEASE_TABLE).await?;
        let row = rows.rows.iter().find(|row| row.key == LEASE_ROW);
        let version = row.map_or(0, |row| row.version);
        let now = self.clock.now();
        let seen_at = match self.seen {
            Some((seen, at)) if seen == version => at,
            _ => {
                self.seen = Some((version, now));
                now
            }
        };
        let is_own = self.lease.is_some_and(|lease| lease.token == version);
        let is_lapsed = version == 0 || now >= seen_at + self.length + GUARD;
        if !is_own && !is_lapsed {
            return Ok(None);
        }
        let sent_at = self.clock.now();
        let value = Bytes::from(self.holder.clone());
        let write = Write { key: LEASE_ROW.to_owned(), expected: version, value };
        match self.table.write(LEASE_TABLE, write).await? {
            Written::At(token) => {
                emit(&Event::Lease { outcome: "taken", token });
                let until = sent_at + (self.length - GUARD);
                self.seen = Some((token, sent_at));
                Ok(Some(Lease { token, until }))
            }
            Written::Conflict => Ok(None),
        }
    }
}
