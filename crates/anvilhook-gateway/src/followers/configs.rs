//! Follows the configuration.

use std::sync::Arc;

use anvilhook_core::units::{Clock, Millis};

use super::{Follow, UnreadableRows};
use crate::peers::{FollowedTable, Peers};
use crate::relay::Gateway;
use crate::tables::Row;
use crate::wires::Wire;

/// The label of the configuration as a source of cached state in metrics.
const CONFIG_SOURCE: &str = "config";

/// `ConfigFollower` applies each newer configuration to the gateway.
pub struct ConfigFollower<W: Wire, C: Clock> {
    gateway: Gateway<W, C>,
    unreadable: UnreadableRows,
}

impl<W: Wire, C: Clock> ConfigFollower<W, C> {
    /// Creates a follower that has no configuration yet.
    pub fn new(gateway: Gateway<W, C>) -> Self {
        Self { gateway, unreadable: UnreadableRows::default() }
    }
}

impl<W: Wire, C: Clock> Follow for ConfigFollower<W, C> {
    fn table(&self) -> &'static str {
        self.gateway.wire().config_row().0
    }

    fn reset(&mut self, rows: &[Row]) {
        self.change(rows);
    }

    fn contacted(&mut self) {
        self.gateway.record_contact(CONFIG_SOURCE);
    }

    fn sharers(&self) -> (Arc<Peers>, FollowedTable) {
        (Arc::clone(self.gateway.peers()), FollowedTable::Config)
    }

    fn restored(&mut self, _unreachable_at: Millis) {
        self.unreadable.clear();
    }

    fn change(&mut self, rows: &[Row]) {
        let (table, key) = self.gateway.wire().config_row();
        for row in rows.iter().filter(|row| row.key == key) {
            let Some(value) = &row.value else { continue };
            match self.gateway.wire().config(value) {
                Ok(config) => {
                    self.unreadable.forget(key);
                    self.gateway.adopt_config(config);
                }
                Err(err) => self.unreadable.report(self.gateway.metrics(), table, row, &err),
            }
        }
    }
}
