//! Epochs measure the time after which claims expire without comparing the clocks of two machines.
//!
//! The current epoch is the version of one row. An instance begins a new epoch only after it has
//! observed the current one for a whole epoch length, on its own monotonic clock. So a claim written in
//! epoch `e` has been retained for the whole retention time when epoch `e + 1 + EPOCHS_PER_RETENTION`
//! begins, regardless of any wall clock.

use std::sync::atomic::{AtomicU64, Ordering};

use anvilhook_core::units::{Clock, Millis};
use anvilhook_platform::{Commit, Condition, Result, RowKey, Table, Transaction, Write};

use super::options::EPOCHS_PER_RETENTION;

/// The row whose version is the current epoch.
const EPOCH_ROW: &str = "claim-epoch";

/// The value of the epoch's row, of which only the version matters.
const EMPTY_VALUE: &str = "{}";

/// `Epochs` caches the current epoch for an instance.
#[derive(Debug, Default)]
pub struct Epochs {
    /// Zero until the row has been read.
    known: AtomicU64,
}

impl Epochs {
    /// Returns the key of the epoch's row.
    pub(super) fn row_key() -> RowKey {
        RowKey::new(EPOCH_ROW)
    }

    /// Returns the condition that `epoch` is still the current one.
    pub(super) fn condition(epoch: u64) -> Condition {
        Condition::AtVersion { key: Self::row_key(), version: epoch }
    }

    /// Returns the latest known epoch. Reads the table only if none is known yet.
    pub(super) async fn present(&self, table: &impl Table) -> Result<u64> {
        match self.known.load(Ordering::Relaxed) {
            0 => self.refresh(table).await,
            known => Ok(known),
        }
    }

    /// Reads the current epoch, and begins the first one if there is none.
    pub(super) async fn refresh(&self, table: &impl Table) -> Result<u64> {
        let key = Self::row_key();
        if let Some(row) = table.read(&key).await? {
            self.learn(row.version);
            return Ok(row.version);
        }
        // The row begins at version 1, whichever instance writes it first.
        begin(table, Condition::Absent { key }).await?;
        self.learn(1);
        Ok(1)
    }

    /// Records an epoch. One that is earlier than the known one changes nothing.
    pub(super) fn learn(&self, epoch: u64) {
        self.known.fetch_max(epoch, Ordering::Relaxed);
    }

    /// Returns whether a claim last written in `written` may be deleted now.
    pub(super) fn is_expired(&self, written: u64) -> bool {
        Self::is_expired_in(self.known.load(Ordering::Relaxed), written)
    }

    /// Returns whether a claim last written in `written` may be deleted in epoch `present`.
    pub(super) fn is_expired_in(present: u64, written: u64) -> bool {
        written + EPOCHS_PER_RETENTION < present
    }
}

/// `EpochWatch` measures for how long this instance has observed the current epoch.
#[derive(Debug, Default)]
pub(super) struct EpochWatch {
    seen: u64,
    since: Millis,
}

impl EpochWatch {
    /// Begins the next epoch if the current one has been observed for `length`.
    pub(super) async fn advance(
        &mut self,
        epochs: &Epochs,
        table: &impl Table,
        clock: &impl Clock,
        length: Millis,
    ) -> Result<()> {
        let sent_at = clock.now();
        let present = epochs.refresh(table).await?;
        if present != self.seen {
            // The time is taken after the answer, because the epoch may have begun during the call.
            *self = EpochWatch { seen: present, since: clock.now() };
            return Ok(());
        }
        if sent_at - self.since < length {
            return Ok(());
        }
        // If this conflicts, another instance has begun the next epoch.
        begin(table, Epochs::condition(present)).await?;
        epochs.refresh(table).await?;
        Ok(())
    }
}

async fn begin(table: &impl Table, condition: Condition) -> Result<Commit> {
    let write = Write::Put { key: Epochs::row_key(), value: EMPTY_VALUE.to_owned() };
    table.commit(&Transaction { conditions: vec![condition], writes: vec![write] }).await
}
