//! Notices: facts that an instance has observed about an engine and publishes to all others.

use anvilhook_core::orders::Role;
use anvilhook_core::units::{Clock, Millis};
use serde::{Deserialize, Serialize};

use super::digests::{Digest, Scope};
use crate::fleets::Upstream;
use crate::loads::{RoleChange, RoleObservation};
use crate::relay::Gateway;
use crate::wires::Wire;

/// How recently an upstream must have answered this instance for a peer's refused connection to be ignored.
const ANSWER_TIME: Millis = Millis(100);

/// `Notice` is a fact that an instance has observed about an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Notice {
    /// The hash of the engine's id and start.
    pub engine: u32,
    /// The observed fact.
    pub kind: NoticeKind,
}

/// `NoticeKind` is the kind of an observed fact.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum NoticeKind {
    /// The engine is not accepting work.
    Away {
        /// The remaining time, in milliseconds.
        left_ms: u32,
    },
    /// The engine has accepted an order to change its role.
    Changing {
        /// The new role.
        role: Role,
        /// The maximum remaining time of the change, in milliseconds.
        left_ms: u32,
    },
    /// Another engine answers at its address, so this one has terminated.
    Gone,
    /// The engine has announced that it is leaving.
    Leaving,
    /// The engine's host refuses connections.
    Closed {
        /// The remaining backoff, in milliseconds.
        left_ms: u32,
    },
    /// The engine has answered a request of the sender with an error.
    Error,
    /// The engine has shown that it has a role.
    HasRole {
        /// The role.
        role: Role,
        /// The number of its newest listed report at that time.
        sequence: u64,
    },
}

impl Notice {
    /// Returns whether another notice states the same fact, whenever it was made.
    pub(super) fn is_same(&self, other: &Notice) -> bool {
        self.engine == other.engine && self.after(Millis::MAX) == other.after(Millis::MAX)
    }

    /// Returns the notice with its remaining time reduced by `time`.
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

/// Returns this instance's own findings about an upstream. Those received from peers are not
/// forwarded: each hop adds its delay to the remaining time, and slow instances would mark an
/// engine unavailable forever.
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

/// Returns the role that an upstream has shown to this instance, if its entry lists another one.
fn own_observed_role(upstream: &Upstream) -> Option<NoticeKind> {
    let observed = upstream.state.observed_role(upstream.entry.sequence)?;
    let is_new = observed.is_own && Some(observed.role) != upstream.entry.role;
    let RoleObservation { role, sequence, .. } = observed;
    is_new.then_some(NoticeKind::HasRole { role, sequence })
}

/// Returns the role change that this instance has ordered and that is not complete.
fn own_role_change(upstream: &Upstream, now: Millis) -> Option<NoticeKind> {
    let change = upstream.state.role_change(now, upstream.role())?;
    let RoleChange { role, until, is_own } = change;
    is_own.then(|| NoticeKind::Changing { role, left_ms: ms_until(until, now) })
}

fn ms_until(until: Millis, now: Millis) -> u32 {
    (until - now).0 as u32
}

/// Returns whether an upstream has answered this instance so recently that a peer's refused connection says nothing
/// about it.
fn has_just_answered(upstream: &Upstream, now: Millis) -> bool {
    upstream.state.path().has_contact_within(ANSWER_TIME, now)
}

/// Applies the findings of a peer.
pub(super) fn apply_notices<W: Wire, C: Clock>(
    digest: &Digest,
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    let view = gateway.fleet().view();
    for notice in &digest.notices {
        let Some(upstream) = view.by_hash(notice.engine) else { continue };
        let after = |left_ms: u32| now + Millis(u64::from(left_ms));
        match notice.kind {
            NoticeKind::Away { left_ms } => upstream.state.mark_away(after(left_ms)),
            // The sender may be cut from an upstream that this instance still reaches.
            NoticeKind::Closed { .. } if has_just_answered(upstream, now) => {}
            NoticeKind::Closed { left_ms } => {
                if gateway.policy().slow_start {
                    upstream.state.slow_start().close_by_peer(after(left_ms), now);
                } else {
                    upstream.state.mark_closed(after(left_ms), false);
                }
            }
            NoticeKind::Gone => upstream.state.mark_gone(false),
            NoticeKind::Leaving => {
                upstream.state.mark_leaving(false, now);
            }
            // A digest of another zone carries the number of its forwarder, and would count as one
            // more observer.
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
