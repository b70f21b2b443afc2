//! Sweeps: the deletion of expired claims in bounded batches.
//!
//! All instances share one way through the claims: how far it has come is a row of the table, which
//! every batch moves on. So any instance can sweep at any time, and what the fleet spends on it is
//! what its instances' pauses add up to, not a round of the table for each of them.

use std::collections::HashSet;

use anvilhook_core::names::InstanceName;
use anvilhook_core::units::Clock;
use anvilhook_platform::{
    Commit, Condition, Error, InstanceList, ListedState, Result, Row, RowKey, Table, Transaction,
    Write,
};
use serde::{Deserialize, Serialize};

use super::Claims;
use super::epochs::EpochWatch;
use super::keys::CLAIMS_PREFIX;
use super::rows::{Claim, ClaimState};

/// The row that every deletion of claims writes, so that no two deletions overlap.
const SWEEP_ROW: &str = "claim-sweep";

/// `Sweeper` is what one instance remembers between its sweeps.
#[derive(Debug, Default)]
pub struct Sweeper {
    watch: EpochWatch,
}

/// `SweepState` is the sweep's row.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
struct SweepState {
    /// The last row of the last batch; none at the start of a round.
    cursor: Option<RowKey>,
}

/// `SweepGuard` is the sweep's row as it was read.
struct SweepGuard {
    /// That no claim has been deleted since the row was read.
    condition: Condition,
    state: SweepState,
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
    /// Whether it came to the end of the claims, so that the next sweep begins anew.
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
    /// The table's error. If the batch was not deleted, the next sweep looks at it again.
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
        let cursor = guard.state.cursor.clone();
        let rows = self.table.scan(CLAIMS_PREFIX, cursor.as_ref(), limit).await?;
        let mut report = SweepReport {
            seen: rows.len(),
            round_done: rows.len() < limit,
            ..SweepReport::default()
        };
        let expired = self.choose_expired(&rows, is_gone, &mut report);

        let next = rows.last().filter(|_| !report.round_done).map(|row| row.key.clone());
        if expired.is_empty() && next == cursor {
            // All claims fit into one batch and none has expired: there is nothing to write.
            return Ok(report);
        }
        match self.delete(guard.condition, SweepState { cursor: next }, &expired).await? {
            Commit::Done => report.deleted = expired.len(),
            // Another instance swept meanwhile, or a row has changed; the next sweep sees it.
            Commit::Conflict { .. } => (),
        }
        Ok(report)
    }

    /// Sweeps, and takes the platform's list for its word on who is gone for good.
    ///
    /// Without the list nobody is known to be gone, and claims without an outcome are kept.
    ///
    /// # Errors
    ///
    /// Those of `sweep`.
    pub async fn sweep_listed<L: InstanceList>(
        &self,
        sweeper: &mut Sweeper,
        list: &L,
    ) -> Result<SweepReport> {
        let lines = list.list().await.unwrap_or_default();
        let gone = lines.into_iter().filter(|line| line.state == ListedState::Gone);
        // Instances and upstreams share one space of names in the list.
        let gone: HashSet<String> = gone.map(|line| line.name.to_string()).collect();
        self.sweep(sweeper, |name| gone.contains(name.as_str())).await
    }

    /// Chooses the rows that may be deleted, and counts those that may still be in flight.
    fn choose_expired<'a>(
        &self,
        rows: &'a [Row],
        is_gone: impl Fn(&InstanceName) -> bool,
        report: &mut SweepReport,
    ) -> Vec<&'a Row> {
        let mut expired = Vec::new();
        for row in rows {
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
        expired
    }

    /// Deletes one expired row whose key is free.
    pub(super) async fn delete_expired(&self, row: &Row) -> Result<()> {
        // The row is read again after the guard, because the guard only covers what is read later.
        let guard = self.sweep_guard().await?;
        if self.table.read(&row.key).await?.as_ref() == Some(row) {
            self.delete(guard.condition, guard.state, &[row]).await?;
        }
        Ok(())
    }

    async fn sweep_guard(&self) -> Result<SweepGuard> {
        let key = RowKey::new(SWEEP_ROW);
        let Some(row) = self.table.read(&key).await? else {
            let state = SweepState::default();
            return Ok(SweepGuard { condition: Condition::Absent { key }, state });
        };
        let state = serde_json::from_str(&row.value)
            .map_err(|err| Error::BadAnswer { message: format!("row {key}: {err}") })?;
        Ok(SweepGuard { condition: Condition::AtVersion { key, version: row.version }, state })
    }

    /// Deletes rows as they were read, if none was deleted since the guard was taken.
    ///
    /// Without the guard a deletion that lands late could meet a new claim whose row has come to
    /// the same version, and a repeat of that claim's request would run twice.
    async fn delete(&self, guard: Condition, state: SweepState, rows: &[&Row]) -> Result<Commit> {
        let value = serde_json::to_string(&state)
            .map_err(|err| Error::Unavailable { message: format!("cannot encode: {err}") })?;
        let sweep = Write::Put { key: RowKey::new(SWEEP_ROW), value };
        let mut txn = Transaction { conditions: vec![guard], writes: vec![sweep] };
        for row in rows {
            let (key, version) = (row.key.clone(), row.version);
            txn.conditions.push(Condition::AtVersion { key: key.clone(), version });
            txn.writes.push(Write::Delete { key });
        }
        self.table.commit(&txn).await
    }
}
