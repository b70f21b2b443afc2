//! Following the platform's tables: the configuration and the upstreams' entries.

use std::sync::Arc;

use anvilhook_core::units::{Clock, Millis};

use crate::entries::EntryBook;
use crate::events::{Event, emit};
use crate::fleets::Entry;
use crate::relay::Gateway;
use crate::tables::{Row, Rows, Table, TableError};
use crate::wires::{DecodeError, Wire};

/// What passes beside a call's wait until a change is seen that a connection hid which has gone
/// silent: the store's time for an answer, the gathering of changes, the next call, and a margin.
const BESIDE_WAIT: Millis = Millis(1_200);

/// The shortest and the longest wait of a call. A store need not hold a call for longer.
const SHORTEST_WAIT: Millis = Millis(500);
const LONGEST_WAIT: Millis = Millis(25_000);

/// Returns how long a call may wait for changes, if one may stay unseen for `unseen` behind a
/// connection that has gone silent. Each call has its price, so they wait as long as they may.
///
/// ```
/// use anvilhook_core::units::Millis;
/// use anvilhook_gateway::followers::wait_within;
///
/// assert_eq!(wait_within(Millis(3_000)), Millis(1_800));
/// assert!(wait_within(Millis(100)) > Millis::ZERO);
/// ```
pub fn wait_within(unseen: Millis) -> Millis {
    Millis(unseen.0.saturating_sub(BESIDE_WAIT.0)).clamp(SHORTEST_WAIT, LONGEST_WAIT)
}

/// How long a call waits while the table is away. A call that was sent into the outage hears nothing
/// even after its end, and what changed meanwhile would be in force late by the whole of its wait.
const WAIT_WHILE_LOST: Millis = Millis::ZERO;

/// The pause after changed entries, in which further changes gather. Upstreams that start together
/// would otherwise cost each instance a call each, and every call has its price.
const GATHER_TIME: Millis = Millis(250);

/// The pause after a failed call; it grows to the second figure.
const FIRST_PAUSE: Millis = Millis(50);
const LONGEST_PAUSE: Millis = Millis(400);

/// The beliefs that are read from tables, as metrics name them.
const CONFIG_BELIEF: &str = "config";
pub(crate) const LIST_BELIEF: &str = "list";

/// `Follow` takes in what stands in a table and what changes there.
pub trait Follow: Send {
    /// Returns the table's name.
    fn table(&self) -> &'static str;

    /// Takes in all rows as of one moment.
    fn reset(&mut self, rows: &[Row]);

    /// Takes in changed rows, in order.
    fn change(&mut self, rows: &[Row]);

    /// Notes that the table has answered.
    fn heard(&mut self) {}

    /// Returns how long further changes may gather before they are asked for.
    fn gather_time(&self) -> Millis {
        Millis::ZERO
    }

    /// Notes that the table is reached again, and that it was not at `last_away`.
    fn regained(&mut self, _last_away: Millis) {}
}

/// Follows a table for as long as the process runs, by calls that wait for changes up to `wait`.
pub async fn follow<T: Table, F: Follow, C: Clock>(
    table: T,
    clock: C,
    wait: Millis,
    mut follower: F,
) {
    let name = follower.table();
    let mut version = None;
    let mut pause = FIRST_PAUSE;
    let mut is_lost = false;
    let (mut lost_at, mut last_away) = (Millis::ZERO, Millis::ZERO);
    loop {
        let began_at = clock.now();
        let read = match version {
            None => table.scan(name).await,
            Some(version) if is_lost => table.changes(name, version, WAIT_WHILE_LOST).await,
            Some(version) => table.changes(name, version, wait).await,
        };
        match read {
            Ok(rows) => {
                if std::mem::take(&mut is_lost) {
                    let away_ms = (clock.now() - lost_at).0;
                    emit(&Event::DependencyRegained { dependency: name, away_ms });
                    follower.regained(last_away);
                }
                pause = FIRST_PAUSE;
                follower.heard();
                take_in(&mut follower, &rows, version.is_none());
                version = Some(rows.version);
                if !rows.rows.is_empty() {
                    tokio::time::sleep(follower.gather_time().as_duration()).await;
                }
            }
            Err(TableError::HistoryGone) => {
                let version_before = version.unwrap_or_default();
                emit(&Event::HistoryGone { dependency: name, version: version_before });
                version = None;
            }
            Err(err) => {
                // A call that got no answer says nothing of the time after it was sent.
                last_away = began_at;
                if !std::mem::replace(&mut is_lost, true) {
                    lost_at = clock.now();
                    emit(&Event::DependencyLost { dependency: name, cause: err.to_string() });
                }
                // The changes of an outage may be many times as large as what stands there now.
                if err == TableError::Unfinished {
                    version = None;
                }
                tokio::time::sleep(pause.as_duration()).await;
                pause = Millis(pause.0 * 2).min(LONGEST_PAUSE);
            }
        }
    }
}

fn unreadable(table: &str, key: &str, err: &DecodeError) {
    emit(&Event::UnreadableRow { table, key, cause: err.to_string() });
}

fn take_in<F: Follow>(follower: &mut F, rows: &Rows, is_whole: bool) {
    if is_whole {
        follower.reset(&rows.rows);
    } else if !rows.rows.is_empty() {
        follower.change(&rows.rows);
    }
}

/// `ConfigFollower` puts each newer configuration in force.
pub struct ConfigFollower<W: Wire, C: Clock> {
    gateway: Gateway<W, C>,
}

impl<W: Wire, C: Clock> ConfigFollower<W, C> {
    /// Makes a follower that knows no configuration.
    pub fn new(gateway: Gateway<W, C>) -> Self {
        Self { gateway }
    }
}

impl<W: Wire, C: Clock> Follow for ConfigFollower<W, C> {
    fn table(&self) -> &'static str {
        self.gateway.wire().config_row().0
    }

    fn reset(&mut self, rows: &[Row]) {
        self.change(rows);
    }

    fn heard(&mut self) {
        self.gateway.record_contact(CONFIG_BELIEF);
    }

    fn change(&mut self, rows: &[Row]) {
        let (_, key) = self.gateway.wire().config_row();
        for row in rows.iter().filter(|row| row.key == key) {
            let Some(value) = &row.value else { continue };
            match self.gateway.wire().config(value) {
                Ok(config) => self.gateway.adopt_config(config),
                Err(err) => unreadable(self.table(), &row.key, &err),
            }
        }
    }
}

/// `EntryFollower` keeps the gateway's fleet by the listed entries.
pub struct EntryFollower<W: Wire, C: Clock> {
    gateway: Gateway<W, C>,
    clock: C,
    book: Arc<std::sync::Mutex<EntryBook>>,
}

impl<W: Wire, C: Clock> EntryFollower<W, C> {
    /// Makes a follower that knows no entries.
    pub fn new(gateway: Gateway<W, C>, clock: C) -> Self {
        Self { gateway, clock, book: Arc::default() }
    }

    fn publish(&self, book: &EntryBook) {
        self.gateway.adopt_entries(book.entries().cloned());
    }

    fn decode(&self, row: &Row) -> Option<Entry> {
        let value = row.value.as_ref()?;
        match self.gateway.wire().entry(&row.key, value) {
            Ok(entry) => Some(entry),
            Err(err) => {
                unreadable(self.table(), &row.key, &err);
                None
            }
        }
    }

    /// Has the lapsed entries expire on time, also while no change comes in.
    fn expire_later(&self) {
        let (clock, gateway) = (self.clock.clone(), self.gateway.clone());
        let book = Arc::clone(&self.book);
        let due = self.book.lock().expect("no panic under this lock").next_expiry();
        let Some(due) = due else { return };
        tokio::spawn(async move {
            tokio::time::sleep((due - clock.now() + Millis(1)).as_duration()).await;
            let mut book = book.lock().expect("no panic under this lock");
            if book.expire(clock.now()) {
                gateway.adopt_entries(book.entries().cloned());
            }
        });
    }
}

impl<W: Wire, C: Clock> Follow for EntryFollower<W, C> {
    fn table(&self) -> &'static str {
        self.gateway.wire().upstream_table()
    }

    fn reset(&mut self, rows: &[Row]) {
        let entries = rows.iter().filter_map(|row| self.decode(row)).collect();
        let mut book = self.book.lock().expect("no panic under this lock");
        book.reset(entries, self.clock.now());
        self.publish(&book);
        drop(book);
        self.expire_later();
    }

    fn change(&mut self, rows: &[Row]) {
        let now = self.clock.now();
        let mut book = self.book.lock().expect("no panic under this lock");
        let mut has_changed = false;
        for row in rows {
            has_changed |= match (&row.value, self.decode(row)) {
                (None, _) => book.remove(&row.key, now),
                (Some(_), Some(entry)) => book.put(entry),
                (Some(_), None) => book.discard(&row.key, now),
            };
        }
        if has_changed {
            self.publish(&book);
        }
        drop(book);
        self.expire_later();
    }

    fn gather_time(&self) -> Millis {
        GATHER_TIME
    }

    fn heard(&mut self) {
        self.gateway.record_contact(LIST_BELIEF);
    }

    fn regained(&mut self, last_away: Millis) {
        let now = self.clock.now();
        let mut book = self.book.lock().expect("no panic under this lock");
        book.regained(now);
        book.bound_grace(last_away);
    }
}
