//! Follows the drain marks of all pools and acknowledges them; every instance does this.

use anvilhook_core::authority::PoolRow;
use anvilhook_core::drains::{DrainAck, DrainFollower};
use anvilhook_core::names::{InstanceName, PoolName, UpstreamName};
use anvilhook_core::units::Millis;
use anvilhook_platform::{Result, Table, Transaction};

use crate::rows::{self, POOL_PREFIX};

/// The maximum number of pools that one scan requests.
const PAGE_ROWS: usize = 500;

/// `AckSchedule` sets when an acknowledgement is written to the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AckSchedule {
    /// How long an acknowledgement is sent only over the peer link before it is also written to the
    /// table. If the link works, most drains end before that, and no instance needs to write.
    pub write_after: Millis,
}

impl Default for AckSchedule {
    fn default() -> Self {
        Self { write_after: Millis(1_500) }
    }
}

/// `Follower` reads the drain marks of all pools and acknowledges them for one instance.
///
/// Before the instance routes its first request, it must have announced itself, and after that `poll`
/// must have succeeded once.
#[derive(Clone, Debug)]
pub struct Follower<T> {
    me: InstanceName,
    table: T,
    schedule: AckSchedule,
    drains: DrainFollower,
    /// Since when there is an acknowledgement that is not yet in the table.
    unwritten_since: Option<Millis>,
    written: Option<DrainAck>,
}

impl<T: Table> Follower<T> {
    /// Creates the follower of an instance.
    pub fn new(me: InstanceName, table: T, schedule: AckSchedule) -> Self {
        let drains = DrainFollower::default();
        Self { me, table, schedule, drains, unwritten_since: None, written: None }
    }

    /// Reads the marks of all pools, and returns whether any are newer than the known ones.
    ///
    /// # Errors
    ///
    /// The platform's error if the table cannot be read. The known marks then stay active.
    pub async fn poll(&mut self) -> Result<bool> {
        let mut changed = false;
        let mut after = None;
        loop {
            let rows = self.table.scan(POOL_PREFIX, after.as_ref(), PAGE_ROWS).await?;
            for row in &rows {
                let name = row.key.as_str().strip_prefix(POOL_PREFIX).unwrap_or_default();
                let Ok(pool) = PoolName::try_new(name) else { continue };
                let stored = rows::decode::<PoolRow>(row)?;
                changed |= self.drains.adopt(&pool, &stored.value.drains);
            }
            match rows.last() {
                Some(last) if rows.len() == PAGE_ROWS => after = Some(last.key.clone()),
                _ => return Ok(changed),
            }
        }
    }

    /// Returns the draining engines, which get no new work.
    pub fn draining(&self) -> impl Iterator<Item = &UpstreamName> {
        self.drains.draining()
    }

    /// Writes the acknowledgements that this instance may give now to the table, if the peer link
    /// alone has not ended the drain in time.
    ///
    /// The caller must already route by `draining`, see `DrainFollower::ack`.
    ///
    /// # Errors
    ///
    /// The platform's error if a write fails; the next call tries again. The result of `current` may
    /// be sent over the peer link even then.
    pub async fn acknowledge(
        &mut self,
        now: Millis,
        open_requests: impl Fn(&UpstreamName) -> u64,
    ) -> Result<()> {
        let ack = self.drains.ack(&self.me, open_requests);
        // There is nothing new to write, and an old acknowledgement need not be withdrawn: it stays
        // true, because its generation is never used again.
        if ack.pools.values().all(|pool| pool.is_empty()) || self.written.as_ref() == Some(&ack) {
            self.unwritten_since = None;
            return Ok(());
        }
        // The time counts from the first unwritten acknowledgement, so that drains in close succession
        // do not postpone the write for ever.
        let since = *self.unwritten_since.get_or_insert(now);
        if now < since + self.schedule.write_after {
            return Ok(());
        }

        let writes = vec![rows::put(rows::drain_ack_key(&self.me), &ack)?];
        self.table.commit(&Transaction { conditions: Vec::new(), writes }).await?;
        self.written = Some(ack);
        self.unwritten_since = None;
        Ok(())
    }

    /// Returns the acknowledgements that this instance may send over the peer link. The caller must
    /// already route by `draining`.
    pub fn current(&self, open_requests: impl Fn(&UpstreamName) -> u64) -> DrainAck {
        self.drains.ack(&self.me, open_requests)
    }

    /// Removes this instance's acknowledgements from the table when the instance stops.
    ///
    /// # Errors
    ///
    /// The platform's error if the write fails.
    pub async fn stop(&self) -> Result<()> {
        let key = rows::drain_ack_key(&self.me);
        let writes = vec![anvilhook_platform::Write::Delete { key }];
        self.table.commit(&Transaction { conditions: Vec::new(), writes }).await?;
        Ok(())
    }
}
