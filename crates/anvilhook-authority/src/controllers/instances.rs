//! Reads the other instances for the controller, and removes the rows of terminated ones.

use anvilhook_core::names::InstanceName;
use anvilhook_core::units::Clock;
use anvilhook_engine::EngineControl;
use anvilhook_platform::{InstanceList, Table, Transaction, Write};

use super::{Controller, Services};
use crate::pools::HeldPool;
use crate::rows;

impl<T: Table, E: EngineControl, L: InstanceList, C: Clock> Controller<T, E, L, C> {
    /// Reads the instances: often while a drain or a former holder is awaited, and otherwise only
    /// periodically and only if no instances are hinted.
    pub(super) async fn read_fleet(&mut self) {
        let awaits =
            |pool: &HeldPool| !pool.row.drains.engines.is_empty() || !pool.row.uncleared.is_empty();
        let awaited = self.held.values().any(awaits);
        if !awaited && self.fleet.has_hinted() {
            // The hints suffice. Otherwise every instance would read the record of every other one.
            return;
        }
        let interval =
            if awaited { self.options.awaited_read_ms } else { self.options.fleet_read_ms };
        let Services { table, instances, clock, .. } = &self.services;
        let now = clock.now();
        // While the table does not answer, the read would fail and be due again in every step.
        if table.is_open() || !self.fleet.is_due(now, interval) {
            return;
        }
        if let Err(err) = self.fleet.refresh(table, instances, &self.upstreams, now).await {
            log::warn!("the instances cannot be read: {err}");
        } else if !self.held.is_empty() {
            self.sweep_gone().await;
        }
    }

    /// Removes the rows of instances that have terminated, once for each, as their names are never
    /// used again. Otherwise every replaced instance would make the scans of acknowledgements longer.
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
            Err(err) => log::warn!("the rows of terminated instances cannot be removed: {err}"),
        }
    }
}
