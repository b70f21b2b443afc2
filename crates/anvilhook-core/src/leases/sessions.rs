//! Sessions: the single row that an instance renews for everything that it holds.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::LeaseOptions;
use crate::names::InstanceName;
use crate::units::Millis;

/// `SessionRef` names one session of one instance.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SessionRef {
    /// The instance.
    pub instance: InstanceName,
    /// The number of the session, from 1. An instance whose session was ended opens the next.
    pub epoch: u64,
}

impl fmt::Display for SessionRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.instance, self.epoch)
    }
}

/// `SessionRow` is a session as it is stored.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct SessionRow {
    /// The session that the row stores.
    pub session: SessionRef,
    /// The number of the last renewal. It makes each renewal a change that a challenger sees.
    pub renewal: u64,
    /// How long the session holds after a renewal.
    pub length: Millis,
    /// Whether the instance or a challenger has ended the session. An ended session is never resumed.
    pub ended: bool,
}

impl SessionRow {
    /// Returns whether this row shows that `session` is active.
    pub fn is_active_for(&self, session: &SessionRef) -> bool {
        self.session == *session && !self.ended
    }

    /// Returns the row by which a challenger, or the instance itself, ends the session.
    pub fn end(&self) -> SessionRow {
        SessionRow { ended: true, ..self.clone() }
    }
}

/// `SessionStatus` is the status of its session that an instance reads back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SessionStatus {
    /// The session is active.
    Active,
    /// The session has ended, and the instance no longer holds anything.
    Ended,
}

/// A renewal or an opening whose outcome is not known yet.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Pending {
    row: SessionRow,
    sent_at: Millis,
}

/// `OwnSession` is what an instance knows of its own session.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct OwnSession {
    row: SessionRow,
    version: Option<u64>,
    valid_from: Option<Millis>,
    pending: Option<Pending>,
}

impl OwnSession {
    /// Creates the next session of an instance. `stored` is the row of an earlier session with its
    /// version, if there is one. The session is not valid until its opening is confirmed.
    pub fn new(
        instance: InstanceName,
        length: Millis,
        stored: Option<(&SessionRow, u64)>,
    ) -> OwnSession {
        let epoch = stored.map_or(1, |(row, _)| row.session.epoch + 1);
        let session = SessionRef { instance, epoch };
        let row = SessionRow { session, renewal: 0, length, ended: false };
        let version = stored.map(|(_, version)| version);
        OwnSession { row, version, valid_from: None, pending: None }
    }

    /// Returns the session's reference.
    pub fn session(&self) -> &SessionRef {
        &self.row.session
    }

    /// Returns the version that the row must have for the next renewal; `None` if it must be absent.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the last known content of the row.
    pub fn row(&self) -> &SessionRow {
        &self.row
    }

    /// Returns whether it is time to open or renew the session.
    pub fn is_due(&self, now: Millis, options: &LeaseOptions) -> bool {
        let unsettled = self.pending.is_some();
        unsettled || self.valid_from.is_none_or(|from| now >= from + options.renew_every_ms)
    }

    /// Begins the opening or a renewal and returns the row to write. It must be called before the
    /// write is sent.
    ///
    /// A renewal that is resent keeps the time when it was first sent. Both writes contain the same row,
    /// so it is unknown which one took effect, and a challenger may have counted from the first.
    pub fn begin(&mut self, now: Millis) -> SessionRow {
        if let Some(pending) = &self.pending {
            return pending.row.clone();
        }
        let row = SessionRow { renewal: self.row.renewal + 1, ..self.row.clone() };
        self.pending = Some(Pending { row: row.clone(), sent_at: now });
        row
    }

    /// Records that the write took effect.
    pub fn confirm(&mut self) {
        let Some(pending) = self.pending.take() else { return };
        self.row = pending.row;
        self.version = Some(self.version.unwrap_or(0) + 1);
        self.valid_from = Some(pending.sent_at);
    }

    /// Records the row as read after a lost answer or a conflict, and returns the session's status.
    pub fn read_back(&mut self, stored: Option<(&SessionRow, u64)>) -> SessionStatus {
        let Some((row, version)) = stored else {
            // If the opening has not taken effect, it may still be resent. A row that existed before and
            // is missing now was ended and removed.
            return if self.valid_from.is_none() {
                SessionStatus::Active
            } else {
                SessionStatus::Ended
            };
        };
        if self.pending.as_ref().is_some_and(|pending| pending.row == *row) {
            self.confirm();
            self.version = Some(version);
            return SessionStatus::Active;
        }
        if Some(version) == self.version
            && (row.is_active_for(self.session()) || self.valid_from.is_none())
        {
            return SessionStatus::Active;
        }
        SessionStatus::Ended
    }

    /// Returns until when the session holds, on this instance's clock.
    pub fn valid_until(&self) -> Option<Millis> {
        self.valid_from.map(|from| from + self.row.length)
    }

    /// Returns whether an order may be given now.
    ///
    /// Without the guard interval, an order that is checked just before the lease ends would arrive
    /// after a successor has begun: an engine would receive orders of two terms in mixed order.
    pub fn may_order(&self, now: Millis, options: &LeaseOptions) -> bool {
        self.valid_until().is_some_and(|until| now + options.guard_ms < until)
    }
}
