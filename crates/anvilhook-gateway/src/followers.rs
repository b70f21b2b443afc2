//! Following the platform's tables: the configuration and the upstreams' entries.

use std::collections::HashMap;
use std::sync::Arc;

use anvilhook_core::units::{Clock, Millis};

use crate::events::{Event, emit};
use crate::fleets::Entry;
use crate::relay::Gateway;
use crate::tables::{Row, Rows, Table, TableError};
use crate::wires::{DecodeError, Wire};

/// How long one call waits for changes. It bounds how long a connection that has gone silent
/// hides them.
const WAIT: Millis = Millis(1_800);

/// How long a call waits while the table is away. A call that was sent into the outage hears nothing
/// even after its end, and what changed meanwhile would be in force late by the whole of its wait.
const WAIT_WHILE_LOST: Millis = Millis::ZERO;

/// The pause after a failed call; it grows to the second figure.
const FIRST_PAUSE: Millis = Millis(50);
const LONGEST_PAUSE: Millis = Millis(400);

/// How long after the table's return an entry that lapsed may take to be back.
const LAPSE_GRACE: Millis = Millis(2_200);

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

    /// Notes that the table can't be reached.
    fn lost(&mut self) {}

    /// Notes that the table is reached again.
    fn regained(&mut self) {}

    /// Does what time has made due.
    fn tick(&mut self) {}
}

/// Follows a table for as long as the process runs.
pub async fn follow<T: Table, F: Follow, C: Clock>(table: T, clock: C, mut follower: F) {
    let name = follower.table();
    let mut version = None;
    let mut pause = FIRST_PAUSE;
    let mut is_lost = false;
    let mut lost_at = Millis::ZERO;
    loop {
        let read = match version {
            None => table.scan(name).await,
            Some(version) if is_lost => table.changes(name, version, WAIT_WHILE_LOST).await,
            Some(version) => table.changes(name, version, WAIT).await,
        };
        match read {
            Ok(rows) => {
                if std::mem::take(&mut is_lost) {
                    let away_ms = (clock.now() - lost_at).0;
                    emit(&Event::DependencyRegained { dependency: name, away_ms });
                    follower.regained();
                }
                pause = FIRST_PAUSE;
                follower.heard();
                take_in(&mut follower, &rows, version.is_none());
                version = Some(rows.version);
            }
            Err(TableError::HistoryGone) => {
                let version_before = version.unwrap_or_default();
                emit(&Event::HistoryGone { dependency: name, version: version_before });
                version = None;
            }
            Err(err) => {
                if !std::mem::replace(&mut is_lost, true) {
                    lost_at = clock.now();
                    emit(&Event::DependencyLost { dependency: name, cause: err.to_string() });
                    follower.lost();
                }
                tokio::time::sleep(pause.as_duration()).await;
                pause = Millis(pause.0 * 2).min(LONGEST_PAUSE);
            }
        }
        follower.tick();
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

/// `Tombstone` is what is remembered of an entry that was removed.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    sequence: u64,
    removed_at: Millis,
}

/// How long a removed entry's number is remembered.
const TOMBSTONE_AGE: Millis = Millis::from_secs(120);

/// `EntryBook` keeps the upstreams' entries through lapses and old reports.
#[derive(Debug, Default)]
pub struct EntryBook {
    entries: HashMap<Arc<str>, Entry>,
    lapsed: HashMap<Arc<str>, Millis>,
    removed: HashMap<Arc<str>, Tombstone>,
    is_away: bool,
    grace_until: Millis,
}

impl EntryBook {
    /// Makes an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the entries that count now.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Notes that the table can't be reached.
    pub fn lost(&mut self) {
        self.is_away = true;
    }

    /// Notes that the table is reached again. Entries may have lapsed because their upstreams
    /// could not report meanwhile; they are given time to be back.
    pub fn regained(&mut self, now: Millis) {
        self.is_away = false;
        self.grace_until = now + LAPSE_GRACE;
    }

    /// Takes an entry in. Returns whether it changes what counts.
    ///
    /// A report that was held up on its way may arrive after a newer one, or after the entry's
    /// end. It would bring back an upstream that is leaving or gone, and requests would be sent
    /// there. So an older report changes nothing, and leaving is never taken back.
    pub fn put(&mut self, mut entry: Entry) -> bool {
        let id = Arc::clone(&entry.id);
        if self.removed.get(&id).is_some_and(|removed| entry.sequence <= removed.sequence) {
            return false;
        }
        if let Some(known) = self.entries.get(&id) {
            if entry.sequence < known.sequence {
                return false;
            }
            entry.draining |= known.draining;
        }
        self.removed.remove(&id);
        self.lapsed.remove(&id);
        self.entries.insert(id, entry.clone()) != Some(entry)
    }

    /// Takes the removal of an entry in. Returns whether it changes what counts.
    pub fn remove(&mut self, id: &str, now: Millis) -> bool {
        let Some((id, entry)) = self.entries.get_key_value(id) else { return false };
        let id = Arc::clone(id);
        if now < self.grace_until && !entry.draining {
            self.lapsed.entry(id).or_insert(self.grace_until);
            return false;
        }
        self.drop_entry(&id, now);
        true
    }

    /// Takes in all rows as of one moment: what is missing was removed.
    pub fn reset(&mut self, entries: Vec<Entry>, now: Millis) -> bool {
        let missing: Vec<_> = self.entries.keys().cloned().collect();
        let listed: Vec<_> = entries.iter().map(|entry| Arc::clone(&entry.id)).collect();
        let mut has_changed = false;
        for entry in entries {
            has_changed |= self.put(entry);
        }
        for id in missing.iter().filter(|id| !listed.contains(id)) {
            has_changed |= self.remove(id, now);
        }
        has_changed
    }

    /// Drops what has not come back in time. Returns whether it changes what counts.
    pub fn expire(&mut self, now: Millis) -> bool {
        self.removed.retain(|_, removed| removed.removed_at + TOMBSTONE_AGE > now);
        let due: Vec<_> = self.lapsed.iter().filter(|(_, until)| **until <= now).collect();
        let due: Vec<_> = due.into_iter().map(|(id, _)| Arc::clone(id)).collect();
        for id in &due {
            self.lapsed.remove(id);
            self.drop_entry(id, now);
        }
        !due.is_empty()
    }

    /// Returns when `expire` has something to do, if ever.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.lapsed.values().min().copied()
    }

    fn drop_entry(&mut self, id: &Arc<str>, now: Millis) {
        if let Some(entry) = self.entries.remove(id) {
            let tombstone = Tombstone { sequence: entry.sequence, removed_at: now };
            self.removed.insert(Arc::clone(id), tombstone);
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
                (Some(_), None) => false,
            };
        }
        if has_changed {
            self.publish(&book);
        }
        drop(book);
        self.expire_later();
    }

    fn heard(&mut self) {
        self.gateway.record_contact(LIST_BELIEF);
    }

    fn lost(&mut self) {
        self.book.lock().expect("no panic under this lock").lost();
    }

    fn regained(&mut self) {
        let now = self.clock.now();
        self.book.lock().expect("no panic under this lock").regained(now);
    }
}
