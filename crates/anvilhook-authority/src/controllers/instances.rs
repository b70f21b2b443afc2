//! The other instances, as far as a keeper needs them.

use anvilhook_core::names::InstanceName;
use anvilhook_core::units::Clock;
use anvilhook_engine::EngineControl;
use anvilhook_platform::{InstanceList, Table, Transaction, Write};

use super::{Controller, Services};
use crate::pools::HeldPool;
use crate::rows;

impl<T: Table, E: EngineControl, L: InstanceList, C: Clock> Controller<T, E, L, C> {
    /// Reads the instances where a drain or a former holder is awaited, and now and then otherwise.
    pub(super) async fn read_fleet(&mut self) {
        let awaits =
            |pool: &HeldPool| !pool.row.drains.engines.is_empty() || !pool.row.uncleared.is_empty();
        let awaited = self.held.values().any(awaits);
        if !awaited && self.fleet.is_noted() {
            // Every instance would else read every other's record.
            return;
        }
        let interval =
            if awaited { self.options.awaited_read_ms } else { self.options.fleet_read_ms };
        let Services { table, instances, clock, .. } = &self.services;
        let now = clock.now();
        // Without the table the reading fails, and would be due again at every step.
        if table.is_open() || !self.fleet.is_due(now, interval) {
            return;
        }
        if let Err(err) = self.fleet.refresh(table, instances, &self.upstreams, now).await {
            log::warn!("the instances cannot be read: {err}");
        } else if !self.held.is_empty() {
            self.sweep_gone().await;
        }
    }

    /// Removes the rows of instances that are gone, once for each: their names never come again.
    /// Without this every replaced instance would make the scans of acknowledgements longer.
    async fn sweep_gone(&mut self) {
        let mut gone = self.fleet.gone_with_acks();
        let uncleared = self.held.values().flat_map(|pool| &pool.row.uncleared);
        gone.extend(uncleared.filter(|name| self.fleet.is_gone(name)).cloned());
        gone.retain(|name| !self.swept.contains(name));
        if gone.is_empty() {
            return;
        }
        let delete = |name: &InstanceName| {
            let keys = [rows::drain_ack_key(name), rows::session_key(name)];
            keys.map(|key| Write::Delete { key })
        };
        let writes = gone.iter().flat_map(delete).collect();
        match self.services.table.commit(&Transaction { conditions: Vec::new(), writes }).await {
            Ok(_) => self.swept.extend(gone),
            Err(err) => log::warn!("the rows of gone instances cannot be removed: {err}"),
        }
    }
}
