//! What every instance does about drains: it goes by the marks, and acknowledges them.

use anvilhook_core::authority::PoolRow;
use anvilhook_core::drains::{DrainAck, DrainFollower};
use anvilhook_core::names::{InstanceName, PoolName, UpstreamName};
use anvilhook_core::units::Millis;
use anvilhook_platform::{Result, Table, Transaction};

use crate::rows::{self, POOL_PREFIX};

/// The most pools that one scan asks for.
const PAGE_ROWS: usize = 500;

/// `AckSchedule` sets when an acknowledgement goes into the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AckSchedule {
    /// How long an acknowledgement is left to the peer link before it is written. Where the link
    /// works, most drains end before, and cost no write for each instance.
    pub write_after: Millis,
}

impl Default for AckSchedule {
    fn default() -> Self {
        Self { write_after: Millis(1_500) }
    }
}

/// `Follower` reads the drains of all pools and acknowledges them for one instance.
///
/// The instance must have announced itself, then `poll` must have succeeded once, before it routes
/// its first request.
#[derive(Clone, Debug)]
pub struct Follower<T> {
    me: InstanceName,
    table: T,
    schedule: AckSchedule,
    drains: DrainFollower,
    /// Since when there is something to acknowledge that is not in the table.
    unwritten_since: Option<Millis>,
    written: Option<DrainAck>,
}

impl<T: Table> Follower<T> {
    /// Makes the follower of an instance.
    pub fn new(me: InstanceName, table: T, schedule: AckSchedule) -> Self {
        let drains = DrainFollower::default();
        Self { me, table, schedule, drains, unwritten_since: None, written: None }
    }

    /// Reads the marks of all pools, and returns whether any are newer than those known.
    ///
    /// # Errors
    ///
    /// The platform's error if the table cannot be read. The marks known so far go on to hold.
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

    /// Returns the engines that drain, which get no new work.
    pub fn draining(&self) -> impl Iterator<Item = &UpstreamName> {
        self.drains.draining()
    }

    /// Returns what this instance may acknowledge now, for the peer link, and writes it into the
    /// table if the link alone has not ended the drain in time.
    ///
    /// The caller must have made its routing go by `draining` before, see `DrainFollower::ack`.
    ///
    /// # Errors
    ///
    /// The platform's error if a write fails; the next call tries again. What is returned by
    /// `current` may go over the peer link all the same.
    pub async fn acknowledge(
        &mut self,
        now: Millis,
        open_requests: impl Fn(&UpstreamName) -> u64,
    ) -> Result<()> {
        let ack = self.drains.ack(&self.me, open_requests);
        // Nothing to say, and nothing said before that would have to be taken back: an old
        // acknowledgement stays true, because its generation never comes again.
        if ack.pools.values().all(|pool| pool.is_empty()) || self.written.as_ref() == Some(&ack) {
            self.unwritten_since = None;
            return Ok(());
        }
        // Counted from the first that is not written: drains that follow each other closely must
        // not put the write off for ever.
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

    /// Returns what this instance may acknowledge over the peer link. The caller must have made its
    /// routing go by `draining` before.
    pub fn current(&self, open_requests: impl Fn(&UpstreamName) -> u64) -> DrainAck {
        self.drains.ack(&self.me, open_requests)
    }

    /// Removes the acknowledgement of an instance that stops.
    ///
    /// # Errors
    ///
    /// The platform's error if the table cannot be asked.
    pub async fn stop(&self) -> Result<()> {
        let key = rows::drain_ack_key(&self.me);
        let writes = vec![anvilhook_platform::Write::Delete { key }];
        self.table.commit(&Transaction { conditions: Vec::new(), writes }).await?;
        Ok(())
    }
}
