//! Updates on suspected requests, and the queue in which they wait to be sent to other instances.

use std::collections::VecDeque;

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::quarantine::EngineEnd;
use anvilhook_core::units::Millis;
use serde::{Deserialize, Serialize};

/// The delays after which an update is sent again, each from the previous sending, so that the loss of a
/// datagram does not lose the update.
const RESEND_AFTER: [Millis; 2] = [Millis(200), Millis(800)];

/// The maximum number of updates that wait to be sent. Beyond it, the oldest one is dropped.
const MAX_WAITING: usize = 512;

/// `SuspectUpdate` is an update on a request that one instance sends to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectUpdate {
    /// The request.
    pub request: Fingerprint,
    /// What happened to the request.
    pub fate: SuspectEvent,
}

/// `SuspectEvent` is what happened to a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum SuspectEvent {
    /// An engine terminated while it ran the request.
    Ended {
        /// The hash of the engine's id and start.
        engine: u32,
        /// How long ago that was, in milliseconds.
        age_ms: u32,
        /// How long the run had lasted then, in milliseconds; `None` from a build that does not report it. It is encoded
        /// after the digest.
        #[serde(skip)]
        ran_ms: Option<u32>,
    },
    /// A run of the request completed successfully.
    RanWell,
    /// An operator has lifted the quarantine.
    Lifted,
    /// A request is being run to learn whether it, or a part of its prompt, makes engines terminate. It is encoded
    /// after the digest, as earlier builds don't know it.
    Tried {
        /// The hash of the request's id.
        request: u64,
        /// How long ago the run began, in milliseconds.
        age_ms: u32,
    },
}

impl SuspectUpdate {
    pub(super) fn ended(request: Fingerprint, end: &EngineEnd, now: Millis) -> Self {
        let age_ms = millis((now - end.at).0);
        let ran_ms = Some(millis((end.at - end.began_at).0));
        Self { request, fate: SuspectEvent::Ended { engine: end.engine, age_ms, ran_ms } }
    }

    /// Returns whether another update has the same content, regardless of its age.
    pub(crate) fn is_same(&self, other: &SuspectUpdate) -> bool {
        self.request == other.request && self.fate.is_same(other.fate)
    }

    /// Returns the update as it is after a time, with its age increased.
    pub(crate) fn after(&self, time: Millis) -> Self {
        Self { request: self.request, fate: self.fate.after(time) }
    }
}

impl SuspectEvent {
    fn after(self, time: Millis) -> Self {
        match self {
            SuspectEvent::Ended { engine, age_ms, ran_ms } => {
                let age_ms = age_ms.saturating_add(millis(time.0));
                SuspectEvent::Ended { engine, age_ms, ran_ms }
            }
            SuspectEvent::Tried { request, age_ms } => {
                SuspectEvent::Tried { request, age_ms: age_ms.saturating_add(millis(time.0)) }
            }
            fate @ (SuspectEvent::RanWell | SuspectEvent::Lifted) => fate,
        }
    }

    /// Returns whether another event is the same, regardless of ages.
    fn is_same(self, other: Self) -> bool {
        match (self, other) {
            (Self::Ended { engine, .. }, Self::Ended { engine: other, .. }) => engine == other,
            _ => self.after(Millis::MAX) == other.after(Millis::MAX),
        }
    }
}

fn millis(value: u64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}

/// `Waiting` is an update that waits to be sent, for the first time or again.
#[derive(Debug)]
struct Waiting {
    update: SuspectUpdate,
    recorded_at: Millis,
    due_at: Millis,
    times_sent: usize,
}

impl Waiting {
    /// Returns whether this update has the same content as another one and has not been sent yet.
    fn is_unsent_copy(&self, update: &SuspectUpdate) -> bool {
        self.times_sent == 0 && self.update.is_same(update)
    }
}

/// `UpdateQueue` holds the updates that wait to be sent.
#[derive(Debug, Default)]
pub(super) struct UpdateQueue(VecDeque<Waiting>);

impl UpdateQueue {
    /// Queues an update that was recorded at `recorded_at` and is to be sent at `due_at`, unless it waits
    /// already.
    pub fn add(&mut self, update: SuspectUpdate, recorded_at: Millis, due_at: Millis) {
        if self.0.iter().any(|waiting| waiting.update.is_same(&update)) {
            return;
        }
        if self.0.len() >= MAX_WAITING {
            self.0.pop_front();
        }
        self.0.push_back(Waiting { update, recorded_at, due_at, times_sent: 0 });
    }

    /// Removes an update that another instance has sent, unless it was sent from here already.
    pub fn remove_unsent(&mut self, update: &SuspectUpdate) {
        self.0.retain(|waiting| !waiting.is_unsent_copy(update));
    }

    /// Takes the updates that are to be sent now, at most `max`.
    pub fn take_due(&mut self, max: usize, now: Millis) -> Vec<SuspectUpdate> {
        let mut due = Vec::new();
        for one in self.0.iter_mut().filter(|one| one.due_at <= now).take(max) {
            due.push(one.update.after(now - one.recorded_at));
            let next = RESEND_AFTER.get(one.times_sent);
            one.due_at = next.map_or(Millis::MAX, |after| now + *after);
            one.times_sent += 1;
        }
        self.0.retain(|one| one.due_at < Millis::MAX);
        due
    }
}
