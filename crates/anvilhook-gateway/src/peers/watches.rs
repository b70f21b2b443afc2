//! The watch over a table: whether this instance keeps it, and what the others tell of it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

use anvilhook_core::units::Millis;
use anvilhook_core::watches::{Continuity, UNREACHABLE_BACKOFF};
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::mirrors::Mirror;
use super::rows::RowChanges;
use super::versions::TableVersion;

/// The most spans that wait to be taken in. More come only where the follower is held up, and then
/// it asks the table.
const MAX_WAITING: usize = 32;

/// For how long the others are told that the table was away. Entries that lapsed meanwhile have a good
/// two seconds to be back.
const AWAY_NEWS: Millis = Millis(3_000);

/// `WatchState` is what an instance tells of its watch over a table.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchState {
    /// The version of the newest change that it has read, or was told of.
    pub newest: u64,
    /// Whether it did not reach the table when it tried last.
    pub is_unable: bool,
    /// How long ago the table was last known to be away, if it was of late, in milliseconds.
    pub away_ms: Option<u32>,
}

/// `TableWatch` is this instance's watch over a table.
#[derive(Debug, Default)]
pub struct TableWatch {
    version: TableVersion,
    /// Until when this instance counts as unable to reach the table.
    unable_until: AtomicU64,
    /// When the table was last known to be away; 0 if it never was.
    away_at: AtomicU64,
    heard: Mutex<VecDeque<RowChanges>>,
    to_tell: Mutex<Vec<RowChanges>>,
    mirror: Mutex<Mirror>,
    /// Who has told of the newest change, while this instance does not know it.
    newest_teller: Mutex<Option<SocketAddr>>,
    /// Whom this instance asks for what it has missed.
    to_ask: Mutex<Option<SocketAddr>>,
    news: Notify,
}

impl TableWatch {
    /// Returns how far the instances have followed the table.
    pub fn version(&self) -> &TableVersion {
        &self.version
    }

    /// Notes that this instance did not reach the table, with a call that it began at `began_at`.
    pub fn record_failure(&self, began_at: Millis, now: Millis) {
        self.unable_until.store((now + UNREACHABLE_BACKOFF).0, Ordering::Release);
        self.away_at.fetch_max(began_at.0, Ordering::AcqRel);
    }

    /// Notes that this instance has reached the table.
    pub fn record_success(&self) {
        self.unable_until.store(0, Ordering::Release);
    }

    /// Returns whether this instance did not reach the table when it tried last.
    pub fn is_unable(&self, now: Millis) -> bool {
        now.0 < self.unable_until.load(Ordering::Acquire)
    }

    /// Returns when the table was last known to be away, by this instance or another one.
    pub fn away_at(&self) -> Millis {
        Millis(self.away_at.load(Ordering::Acquire))
    }

    /// Returns what the others are told: the newest change that this instance knows of, whether it has read
    /// it or not.
    ///
    /// Where the table turns away the instances of a zone one after the other that would read it for the
    /// rest, only the one that links the zone with others hears that there is a change. Each that hears of
    /// it from that one asks the table itself.
    pub fn state(&self, now: Millis) -> WatchState {
        let away_at = self.away_at();
        let is_news = away_at > Millis::ZERO && now < away_at + AWAY_NEWS;
        WatchState {
            newest: self.version.own().max(self.version.announced()),
            is_unable: self.is_unable(now),
            away_ms: is_news.then(|| (now - away_at).0 as u32),
        }
    }

    /// Returns the table as it is known.
    pub fn mirror(&self) -> MutexGuard<'_, Mirror> {
        self.mirror.lock().expect("no panic under this lock")
    }

    /// Takes in what the instance at an address tells.
    pub fn merge(&self, from: SocketAddr, told: &WatchState, now: Millis) {
        if self.version.record_announced(told.newest) {
            *self.newest_teller.lock().expect("no panic under this lock") = Some(from);
        }
        if let Some(away_ms) = told.away_ms {
            self.away_at.fetch_max((now - Millis(u64::from(away_ms))).0, Ordering::AcqRel);
        }
    }

    /// Has the instance that told of the newest change asked for what this one has missed.
    pub fn request_resync(&self) {
        let teller = *self.newest_teller.lock().expect("no panic under this lock");
        *self.to_ask.lock().expect("no panic under this lock") = teller;
    }

    /// Takes whom to ask for what is missed, if anybody.
    pub fn take_to_ask(&self) -> Option<SocketAddr> {
        self.to_ask.lock().expect("no panic under this lock").take()
    }

    /// Has the other instances of the availability zone told of rows.
    pub fn queue_rows(&self, rows: RowChanges) {
        self.to_tell.lock().expect("no panic under this lock").push(rows);
    }

    /// Takes what the others are to be told.
    pub fn take_to_tell(&self) -> Vec<RowChanges> {
        std::mem::take(&mut *self.to_tell.lock().expect("no panic under this lock"))
    }

    /// Notes rows that another instance has read.
    pub fn receive_rows(&self, rows: RowChanges) {
        self.version.record_announced(rows.newest());
        let mut heard = self.heard.lock().expect("no panic under this lock");
        if heard.len() >= MAX_WAITING {
            heard.pop_front();
        }
        heard.push_back(rows);
        drop(heard);
        self.news.notify_one();
    }

    /// Waits for rows that continue what is known up to version `known`. They come with only those
    /// rows that are newer.
    pub async fn next_rows(&self, known: u64) -> RowChanges {
        loop {
            if let Some(rows) = self.take_next(known) {
                return rows;
            }
            self.news.notified().await;
        }
    }

    fn take_next(&self, known: u64) -> Option<RowChanges> {
        let mut heard = self.heard.lock().expect("no panic under this lock");
        let at = heard.iter().position(|rows| rows.span.fits(known) == Continuity::Next);
        // What was told before it is known, or lies behind a gap that is filled from the table.
        let next = at.and_then(|at| heard.drain(..=at).next_back());
        if next.is_none() {
            heard.clear();
        }
        next.map(|mut next| {
            next.rows.retain(|row| row.version > known);
            next
        })
    }
}
