//! Notices: what instances find out for certain of engines, and tell all others.

use anvilhook_core::orders::Role;
use anvilhook_core::units::{Clock, Millis};
use serde::{Deserialize, Serialize};

use super::digests::{Digest, Scope};
use crate::fleets::Upstream;
use crate::loads::{RoleChange, RoleObservation};
use crate::relay::Gateway;
use crate::wires::Wire;

/// `Notice` is what an instance has found out of an engine, and the others should know.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {
    /// The short form of the engine's id and start.
    pub engine: u32,
    /// What was found out.
    pub kind: NoticeKind,
}

/// `NoticeKind` is what can be found out of an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum NoticeKind {
    /// It takes no work.
    Away {
        /// For how much longer, in milliseconds.
        left_ms: u32,
    },
    /// It has taken an order to change its role.
    Changing {
        /// The role that it takes.
        role: Role,
        /// How much longer that may take, in milliseconds.
        left_ms: u32,
    },
    /// Another engine answers at its address, so that it is gone.
    Gone,
    /// It has said that it leaves.
    Leaving,
    /// Its host refuses connections.
    Closed {
        /// For how much longer it is left alone, in milliseconds.
        left_ms: u32,
    },
    /// It answered a request of the sender with an error.
    Error,
    /// It has shown that it has a role.
    HasRole {
        /// The role.
        role: Role,
        /// The number of its report that was listed then.
        sequence: u64,
    },
}

impl Notice {
    /// Returns whether another notice says the same, whenever it was made.
    pub(super) fn is_same(&self, other: &Notice) -> bool {
        self.engine == other.engine && self.after(Millis::MAX) == other.after(Millis::MAX)
    }

    /// Returns the notice as it is after a time.
    pub(super) fn after(&self, time: Millis) -> Notice {
        let rest = |left_ms: u32| (Millis(u64::from(left_ms)) - time).0 as u32;
        let kind = match self.kind {
            NoticeKind::Away { left_ms } => NoticeKind::Away { left_ms: rest(left_ms) },
            NoticeKind::Changing { role, left_ms } => {
                NoticeKind::Changing { role, left_ms: rest(left_ms) }
            }
            NoticeKind::Closed { left_ms } => NoticeKind::Closed { left_ms: rest(left_ms) },
            kind @ (NoticeKind::HasRole { .. }
            | NoticeKind::Gone
            | NoticeKind::Leaving
            | NoticeKind::Error) => kind,
        };
        Notice { engine: self.engine, kind }
    }
}

/// Returns what this instance itself has found out of an upstream. What it has from others is not told
/// on: each telling adds the time on the way, and slow instances would hold an engine away for ever.
pub(super) fn own_findings(upstream: &Upstream, now: Millis) -> impl Iterator<Item = NoticeKind> {
    let state = &upstream.state;
    let left_ms = |until: Millis| (until > now).then(|| ms_until(until, now));
    let findings = [
        left_ms(state.own_away_until()).map(|left_ms| NoticeKind::Away { left_ms }),
        left_ms(state.own_closed_until()).map(|left_ms| NoticeKind::Closed { left_ms }),
        state.is_observed_gone().then_some(NoticeKind::Gone),
        state.has_recent_own_leaving(now).then_some(NoticeKind::Leaving),
        state.has_recent_own_error(now).then_some(NoticeKind::Error),
        own_observed_role(upstream),
        own_role_change(upstream, now),
    ];
    findings.into_iter().flatten()
}

/// Returns the role that an upstream has shown to this instance, if the list shows another one.
fn own_observed_role(upstream: &Upstream) -> Option<NoticeKind> {
    let observed = upstream.state.observed_role(upstream.entry.sequence)?;
    let is_news = observed.is_own && Some(observed.role) != upstream.entry.role;
    let RoleObservation { role, sequence, .. } = observed;
    is_news.then_some(NoticeKind::HasRole { role, sequence })
}

/// Returns the change of role that this instance has ordered and that is not over.
fn own_role_change(upstream: &Upstream, now: Millis) -> Option<NoticeKind> {
    let change = upstream.state.role_change(now, upstream.role())?;
    let RoleChange { role, until, is_own } = change;
    is_own.then(|| NoticeKind::Changing { role, left_ms: ms_until(until, now) })
}

fn ms_until(until: Millis, now: Millis) -> u32 {
    (until - now).0 as u32
}

/// Takes in what a peer has found out.
pub(super) fn take_in_notices<W: Wire, C: Clock>(
    digest: &Digest,
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    let view = gateway.fleet().view();
    for notice in &digest.notices {
        let Some(upstream) = view.by_digest(notice.engine) else { continue };
        let after = |left_ms: u32| now + Millis(u64::from(left_ms));
        match notice.kind {
            NoticeKind::Away { left_ms } => upstream.state.mark_away(after(left_ms)),
            NoticeKind::Closed { left_ms } => {
                upstream.state.mark_closed(after(left_ms), false);
            }
            NoticeKind::Gone => upstream.state.mark_gone(false),
            NoticeKind::Leaving => {
                upstream.state.mark_leaving(false, now);
            }
            // What another zone tells bears the number of who tells it on, and would count as one more.
            NoticeKind::Error if digest.scope == Scope::Instance => {
                gateway.record_engine_error(upstream, digest.from, false);
            }
            NoticeKind::Error => {}
            NoticeKind::Changing { role, left_ms } => {
                let change = RoleChange { role, until: after(left_ms), is_own: false };
                upstream.state.record_role_change(change);
            }
            NoticeKind::HasRole { role, sequence } => {
                let observation = RoleObservation { role, sequence, is_own: false };
                upstream.state.observe_role(observation);
            }
        }
    }
}
