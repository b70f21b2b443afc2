//! Sweeps: the deletion of expired claims in bounded batches.

use anvilhook_core::names::InstanceName;
use anvilhook_core::units::Clock;
use anvilhook_platform::{Commit, Condition, Result, Row, RowKey, Table, Transaction, Write};

use super::Claims;
use super::epochs::EpochWatch;
use super::keys::CLAIMS_PREFIX;
use super::rows::{Claim, ClaimState};

/// The row that every deletion of claims writes, so that no two deletions overlap.
const SWEEP_ROW: &str = "claim-sweep";

/// `Sweeper` is one instance's way through the claims. One sweeping instance is enough; several do
/// no harm and cost reads.
#[derive(Debug, Default)]
pub struct Sweeper {
    watch: EpochWatch,
    /// The last row of the last batch; none at the start of a round.
    cursor: Option<RowKey>,
}

/// `SweepReport` is what one sweep did.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SweepReport {
    /// The rows that it looked at.
    pub seen: usize,
    /// The expired rows that it deleted.
    pub deleted: usize,
    /// The rows that would have expired, but whose request may still be in flight: they have no
    /// outcome, and their instance is not known to be gone for good.
    pub kept_in_flight: usize,
    /// Whether it came to the end of the claims, so that the next begins anew.
    pub round_done: bool,
}

impl<T: Table, C: Clock> Claims<T, C> {
    /// Looks at the next batch of claims and deletes the expired ones among them.
    ///
    /// A claim without an outcome is only deleted if `is_gone` says that its instance can never run
    /// again: a paused instance may wake after any time and dispatch what it has claimed. `is_gone`
    /// must only say so on the platform's word, not on an instance's silence.
    ///
    /// # Errors
    ///
    /// The table's error. The next call looks at the same batch again.
    pub async fn sweep(
        &self,
        sweeper: &mut Sweeper,
        is_gone: impl Fn(&InstanceName) -> bool + Send,
    ) -> Result<SweepReport> {
        let length = self.options.epoch_length();
        sweeper.watch.advance(&self.epochs, &self.table, &self.clock, length).await?;

        // The sweep's row is read before the claims, so that a deletion between the two is noticed.
        let guard = self.sweep_guard().await?;
        let limit = self.options.sweep_rows;
        let rows = self.table.scan(CLAIMS_PREFIX, sweeper.cursor.as_ref(), limit).await?;
        let mut report = SweepReport {
            seen: rows.len(),
            round_done: rows.len() < limit,
            ..SweepReport::default()
        };

        let mut expired = Vec::new();
        for row in &rows {
            // A row that cannot be read is kept: it may stand for a request in flight.
            let Ok(claim) = Claim::decode(row) else { continue };
            if !self.epochs.is_expired(claim.epoch) {
                continue;
            }
            if claim.state == ClaimState::Claimed && !is_gone(&claim.instance) {
                report.kept_in_flight += 1;
                continue;
            }
            expired.push(row);
        }
        if !expired.is_empty() && self.delete(guard, &expired).await? == Commit::Done {
            report.deleted = expired.len();
        }

        sweeper.cursor = rows.last().filter(|_| !report.round_done).map(|row| row.key.clone());
        Ok(report)
    }

    /// Deletes one expired row whose key is free.
    pub(super) async fn delete_expired(&self, row: &Row) -> Result<()> {
        // The row is read again after the guard, because the guard only covers what is read later.
        let guard = self.sweep_guard().await?;
        if self.table.read(&row.key).await?.as_ref() == Some(row) {
            self.delete(guard, &[row]).await?;
        }
        Ok(())
    }

    /// Returns the condition that no claim has been deleted since now.
    async fn sweep_guard(&self) -> Result<Condition> {
        let key = RowKey::new(SWEEP_ROW);
        Ok(match self.table.read(&key).await? {
            None => Condition::Absent { key },
            Some(row) => Condition::AtVersion { key, version: row.version },
        })
    }

    /// Deletes rows as they were read, if none was deleted since `guard` was taken.
    ///
    /// Without the guard a deletion that lands late could meet a new claim whose row has come to
    /// the same version, and a repeat of that claim's request would run twice.
    async fn delete(&self, guard: Condition, rows: &[&Row]) -> Result<Commit> {
        let sweep = Write::Put { key: RowKey::new(SWEEP_ROW), value: "{}".to_owned() };
        let mut txn = Transaction { conditions: vec![guard], writes: vec![sweep] };
        for row in rows {
            let (key, version) = (row.key.clone(), row.version);
            txn.conditions.push(Condition::AtVersion { key: key.clone(), version });
            txn.writes.push(Write::Delete { key });
        }
        self.table.commit(&txn).await
    }
}
