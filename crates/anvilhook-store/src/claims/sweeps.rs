//! Sweeps delete expired claims in bounded batches.
//!
//! All instances share one cursor over the claims, a row of the table that every batch advances. So any
//! instance can sweep at any time, and the cost for the fleet is determined by the instances' pauses,
//! not by a full scan for each instance.

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

/// `Sweeper` is the state that one instance retains between its sweeps.
#[derive(Debug, Default)]
pub struct Sweeper {
    watch: EpochWatch,
}

/// `SweepState` is the sweep's row.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
struct SweepState {
    /// The last row of the last batch, or `None` at the start of a round.
    cursor: Option<RowKey>,
}

/// `SweepGuard` is the sweep's row as it was read.
struct SweepGuard {
    /// The condition that no claim has been deleted since the row was read.
    condition: Condition,
    state: SweepState,
}

/// `SweepReport` contains the results of one sweep.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SweepReport {
    /// The number of rows that it read.
    pub seen: usize,
    /// The number of expired rows that it deleted.
    pub deleted: usize,
    /// The number of old rows that were retained because their request may still be in flight: they
    /// have no outcome, and their instance is not known to have terminated for good.
    pub kept_in_flight: usize,
    /// Whether it reached the end of the claims, so that the next sweep starts a new round.
    pub round_done: bool,
}

impl<T: Table, C: Clock> Claims<T, C> {
    /// Reads the next batch of claims and deletes the expired ones among them.
    ///
    /// A claim without an outcome is deleted only if `is_gone` returns that its instance can never run
    /// again, because a paused instance may resume at any time and dispatch the request that it has
    /// claimed. `is_gone` must rely only on the platform's report, not on an instance that does not
    /// respond.
    ///
    /// # Errors
    ///
    /// The table's error. If the batch was not deleted, the next sweep reads it again.
    pub async fn sweep(
        &self,
        sweeper: &mut Sweeper,
        is_gone: impl Fn(&InstanceName) -> bool + Send,
    ) -> Result<SweepReport> {
        let length = self.options.epoch_length();
        sweeper.watch.advance(&self.epochs, &self.table, &self.clock, length).await?;

        // The sweep's row is read before the claims, so that a deletion in between is detected.
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
            // All claims fit into one batch and none has expired, so there is nothing to write.
            return Ok(report);
        }
        match self.delete(guard.condition, SweepState { cursor: next }, &expired).await? {
            Commit::Done => report.deleted = expired.len(),
            // Another instance has swept meanwhile, or a row has changed; the next sweep reads it.
            Commit::Conflict { .. } => (),
        }
        Ok(report)
    }

    /// Sweeps, and reads from the instance list which instances have terminated for good.
    ///
    /// If the list cannot be read, no instance counts as terminated, and claims without an outcome are
    /// retained.
    ///
    /// # Errors
    ///
    /// The same as for `sweep`.
    pub async fn sweep_listed<L: InstanceList>(
        &self,
        sweeper: &mut Sweeper,
        list: &L,
    ) -> Result<SweepReport> {
        let lines = list.list().await.unwrap_or_default();
        let gone = lines.into_iter().filter(|line| line.state == ListedState::Gone);
        // Instances and upstreams share one namespace in the list.
        let gone: HashSet<String> = gone.map(|line| line.name.to_string()).collect();
        self.sweep(sweeper, |name| gone.contains(name.as_str())).await
    }

    /// Selects the rows that may be deleted, and counts those whose request may still be in flight.
    fn choose_expired<'a>(
        &self,
        rows: &'a [Row],
        is_gone: impl Fn(&InstanceName) -> bool,
        report: &mut SweepReport,
    ) -> Vec<&'a Row> {
        let mut expired = Vec::new();
        for row in rows {
            // A row that cannot be decoded is retained, because its request may be in flight.
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

    /// Deletes one expired row of a released claim.
    pub(super) async fn delete_expired(&self, row: &Row) -> Result<()> {
        // The row is read again after the guard, because the guard covers only later reads.
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

    /// Deletes rows if they are unchanged and no claim was deleted since the guard was read.
    ///
    /// Without the guard, a late deletion could delete a new claim whose row has reached the same
    /// version, and a repeat of that claim's request would run a second time.
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
