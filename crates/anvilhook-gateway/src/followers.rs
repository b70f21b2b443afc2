//! Following the platform's tables: the configuration and the upstreams' entries.

use std::sync::Arc;

use anvilhook_core::units::{Clock, Millis};

use crate::entries::EntryBook;
use crate::events::{Event, emit};
use crate::fleets::Entry;
use crate::peers::{FollowedTable, Peers};
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

/// How many instances share the calls that wait for changes: with twice as many, each call waits
/// twice as long, since whoever hears of a change tells it. Of 68 instances each call would else be
/// one of 48 a second.
const SHARING_INSTANCES: usize = 8;

/// How many times longer changes gather at most where there are many instances.
const MOST_GATHERING: u64 = 3;

/// How long after a peer has told of a change an instance waits to hear of it by its own call.
const TOLD_PATIENCE: Millis = Millis(400);

/// How often a call that waits for long is looked after.
const LOOK_EVERY: Millis = Millis(500);

/// Returns how many times as long calls may wait among so many instances.
///
/// ```
/// use anvilhook_gateway::followers::sharing;
///
/// assert_eq!((sharing(1), sharing(9), sharing(68)), (1, 1, 8));
/// ```
pub fn sharing(instances: usize) -> u64 {
    (instances / SHARING_INSTANCES).max(1) as u64
}

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

    /// Returns the instances that follow the table too, and which it is for them.
    fn sharers(&self) -> Option<(Arc<Peers>, FollowedTable)> {
        None
    }

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
            Some(version) => wait_for_changes(&table, &clock, &follower, version, wait).await,
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
                note_followed(&follower, &rows);
                if !rows.rows.is_empty() {
                    let longer = instances_of(&follower, &clock).map_or(1, sharing);
                    let gather = Millis(follower.gather_time().0 * longer.min(MOST_GATHERING));
                    tokio::time::sleep(gather.as_duration()).await;
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

/// Returns how many instances are heard to follow the same table, this one among them.
fn instances_of<F: Follow, C: Clock>(follower: &F, clock: &C) -> Option<usize> {
    let (peers, _) = follower.sharers()?;
    Some(peers.heard(clock.now()) + 1)
}

/// Notes for the others how far the table has been followed.
fn note_followed<F: Follow>(follower: &F, rows: &Rows) {
    let Some((peers, table)) = follower.sharers() else { return };
    if let Some(newest) = rows.rows.iter().map(|row| row.version).max() {
        peers.version_of(table).record_own(newest);
    }
}

/// Waits for changes, for longer the more instances share the watch. The wait is broken off if a
/// peer knows of a change of which this call brings no word, or if nobody is heard any more.
///
/// Either shows that the connection may have gone silent; the table is then asked over another one.
async fn wait_for_changes<T: Table, F: Follow, C: Clock>(
    table: &T,
    clock: &C,
    follower: &F,
    version: u64,
    wait: Millis,
) -> Result<Rows, TableError> {
    let name = follower.table();
    let Some((peers, which)) = follower.sharers() else {
        return table.changes(name, version, wait).await;
    };
    let longer = sharing(peers.heard(clock.now()) + 1);
    let shared_wait = Millis(wait.0 * longer).min(LONGEST_WAIT);
    let alone_at = clock.now() + wait + BESIDE_WAIT;
    let known = peers.version_of(which);
    let told = async {
        known.told_newer_than(version).await;
        tokio::time::sleep(TOLD_PATIENCE.as_duration()).await;
    };
    let alone = async {
        while clock.now() < alone_at || sharing(peers.heard(clock.now()) + 1) * 2 >= longer {
            tokio::time::sleep(LOOK_EVERY.as_duration()).await;
        }
    };
    tokio::select! {
        rows = table.changes(name, version, shared_wait) => rows,
        () = told => {
            known.ask(version);
            Err(TableError::NoAnswer("peers know of a change".to_owned()))
        }
        () = alone => Err(TableError::NoAnswer("fewer peers are heard".to_owned())),
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

    fn sharers(&self) -> Option<(Arc<Peers>, FollowedTable)> {
        Some((Arc::clone(self.gateway.peers()), FollowedTable::Config))
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

    fn sharers(&self) -> Option<(Arc<Peers>, FollowedTable)> {
        Some((Arc::clone(self.gateway.peers()), FollowedTable::Entries))
    }

    fn regained(&mut self, last_away: Millis) {
        let now = self.clock.now();
        let mut book = self.book.lock().expect("no panic under this lock");
        book.regained(now);
        book.bound_grace(last_away);
    }
}
