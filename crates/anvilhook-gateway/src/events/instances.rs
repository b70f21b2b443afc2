//! Events about the instance itself: its process, its settings, and the tables that it follows.

use std::collections::BTreeMap;

use log::Level;
use serde::Serialize;

use super::Event;

/// `InstanceEvent` is a line about the instance, its settings or the tables that it follows.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum InstanceEvent<'a> {
    /// The instance has started.
    Started {
        /// Its availability zone.
        zone: &'a str,
        /// The program's version.
        version: &'a str,
    },
    /// The process received a signal.
    Signalled {
        /// The signal's name.
        signal: &'a str,
        /// The number of requests in flight at that time.
        in_flight: u64,
        /// The time in which the signal may have been sent, in milliseconds.
        unchecked_ms: u64,
    },
    /// The decision on the connections of callers has changed.
    ConnectionsAdmitted {
        /// `accepted`, or why connections are closed unread: `lagging` if events are handled late, `link_full` if the
        /// link is nearly full.
        decision: &'a str,
        /// The number of connections closed since one was last accepted.
        closed: u64,
        /// The number of requests in flight.
        in_flight: u64,
    },
    /// The settings were reread.
    SettingsReread {
        /// Whether any change was applied.
        has_changed: bool,
        /// The changes that are applied only at the next start.
        at_restart: Vec<&'static str>,
    },
    /// The settings were reread and are invalid; the earlier ones remain in use.
    SettingsRefused {
        /// The invalid field and what is wrong with it.
        cause: String,
    },
    /// The instance exits.
    Stopped {
        /// The number of requests that are interrupted by the exit.
        in_flight: u64,
        /// The number of datagrams sent to peers since the start.
        digests: u64,
        /// The size of these datagrams in bytes, without network overhead.
        digest_bytes: u64,
        /// The bytes of datagrams by scope and by section.
        digest_sections: BTreeMap<&'static str, BTreeMap<&'static str, u64>>,
    },
    /// A table can't be reached; the rows that were read before stay in use.
    DependencyLost {
        /// The table.
        dependency: &'a str,
        /// The error of the call.
        cause: String,
    },
    /// A table is reached again.
    DependencyRegained {
        /// The table.
        dependency: &'a str,
        /// How long it was unreachable, in milliseconds.
        away_ms: u64,
    },
    /// A table no longer retains the changes needed to follow it; it is reread.
    HistoryGone {
        /// The table.
        dependency: &'a str,
        /// The version up to which it was followed.
        version: u64,
    },
    /// The store was restored from a copy; a table was read whole in its new epoch.
    TableRestored {
        /// The table.
        dependency: &'a str,
        /// The new epoch.
        epoch: u64,
        /// The epoch in which the table was followed before.
        epoch_before: u64,
        /// The version of the restored table.
        version: u64,
        /// The version up to which the table was followed before.
        known: u64,
    },
    /// A call to a table has completed.
    TableCalled {
        /// The table.
        dependency: &'a str,
        /// `scan`, `changes` or `write`.
        call: &'static str,
        /// `answered`, `refused`, `history_gone` or `no_answer`.
        outcome: &'static str,
        /// The epoch of the store, if it returned rows or a revision.
        epoch: Option<u64>,
    },
    /// Changed rows of a followed table were applied.
    RowsTaken {
        /// The table.
        dependency: &'a str,
        /// The source of the rows: `call` if this instance called the table for changes, `whole` if it read
        /// the whole table, or `told` if another instance sent them.
        source: &'static str,
        /// The version before these changes.
        after: u64,
        /// The version after these changes.
        to: u64,
        /// The epoch of the store from which the rows come.
        epoch: u64,
        /// The epoch of the store from which the previous rows came.
        epoch_before: u64,
        /// The number of rows.
        rows: usize,
    },
    /// A row can't be decoded; its earlier value stays in use.
    UnreadableRow {
        /// The table.
        table: &'a str,
        /// The row's key.
        key: &'a str,
        /// The field and what is wrong with it.
        cause: String,
    },
    /// A configuration has become active.
    ConfigAdopted {
        /// Its version.
        version: u64,
        /// The previously active version, if there was one.
        before: Option<u64>,
    },
    /// The listed upstreams have changed.
    FleetChanged {
        /// The number of listed upstreams.
        listed: usize,
        /// The upstreams that are leaving.
        draining: Vec<&'a str>,
        /// The upstreams that were not listed before.
        added: Vec<&'a str>,
        /// The upstreams that are no longer listed.
        removed: Vec<&'a str>,
        /// The upstreams that have restarted under their id.
        restarted: Vec<&'a str>,
        /// The number of upstreams by service and software version.
        versions: BTreeMap<String, usize>,
    },
}

impl Event for InstanceEvent<'_> {
    fn level(&self) -> Level {
        match self {
            InstanceEvent::DependencyLost { .. } | InstanceEvent::TableRestored { .. } => {
                Level::Warn
            }
            InstanceEvent::UnreadableRow { .. } | InstanceEvent::SettingsRefused { .. } => {
                Level::Error
            }
            _ => Level::Info,
        }
    }
}
