//! Epochs: the time by which claims expire, without comparing the clocks of two machines.
//!
//! The present epoch is the version of one row. An instance begins a new one only after it has
//! itself, by its own monotonic clock, seen the present one stand for its whole length. So a claim
//! written in epoch `e` has been kept for the whole of the retention when epoch
//! `e + 1 + EPOCHS_PER_RETENTION` begins, whatever any clock of day says.

use std::sync::atomic::{AtomicU64, Ordering};

use anvilhook_core::units::{Clock, Millis};
use anvilhook_platform::{Commit, Condition, Result, RowKey, Table, Transaction, Write};

use super::options::EPOCHS_PER_RETENTION;

/// The row whose version is the present epoch.
const EPOCH_ROW: &str = "claim-epoch";

/// The value of the epoch's row, whose version alone matters.
const EMPTY_VALUE: &str = "{}";

/// `Epochs` is what an instance knows of the present epoch.
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

    /// Returns the condition that `epoch` is still the present one.
    pub(super) fn condition(epoch: u64) -> Condition {
        Condition::AtVersion { key: Self::row_key(), version: epoch }
    }

    /// Returns the present epoch as far as it is known, and asks the table only at first.
    pub(super) async fn present(&self, table: &impl Table) -> Result<u64> {
        match self.known.load(Ordering::Relaxed) {
            0 => self.refresh(table).await,
            known => Ok(known),
        }
    }

    /// Reads the present epoch, and begins the first one if there is none.
    pub(super) async fn refresh(&self, table: &impl Table) -> Result<u64> {
        let key = Self::row_key();
        if let Some(row) = table.read(&key).await? {
            self.learn(row.version);
            return Ok(row.version);
        }
        // Whoever writes the row first, it begins at version 1.
        begin(table, Condition::Absent { key }).await?;
        self.learn(1);
        Ok(1)
    }

    /// Takes note of an epoch; an earlier one than known changes nothing.
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

/// `EpochWatch` measures how long this instance has seen the present epoch stand.
#[derive(Debug, Default)]
pub(super) struct EpochWatch {
    seen: u64,
    since: Millis,
}

impl EpochWatch {
    /// Begins the next epoch if this one has been seen to stand for `length`.
    pub(super) async fn advance(
        &mut self,
        epochs: &Epochs,
        table: &impl Table,
        clock: &impl Clock,
        length: Millis,
    ) -> Result<()> {
        let asked_at = clock.now();
        let present = epochs.refresh(table).await?;
        if present != self.seen {
            // The time is read after the answer: the epoch may have begun while it was on its way.
            *self = EpochWatch { seen: present, since: clock.now() };
            return Ok(());
        }
        if asked_at - self.since < length {
            return Ok(());
        }
        // If another instance was first, the next epoch has begun as well.
        begin(table, Epochs::condition(present)).await?;
        epochs.refresh(table).await?;
        Ok(())
    }
}

async fn begin(table: &impl Table, condition: Condition) -> Result<Commit> {
    let write = Write::Put { key: Epochs::row_key(), value: EMPTY_VALUE.to_owned() };
    table.commit(&Transaction { conditions: vec![condition], writes: vec![write] }).await
}
