//! What is known of an engine's role beyond its entry.

use anvilhook_core::orders::Role;
use anvilhook_core::units::Millis;

/// `RoleChange` is a change of role that an engine has been ordered to make.
///
/// The engine first completes its running requests, however long that takes, and refuses all others until
/// the change is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoleChange {
    /// The role that the engine switches to.
    pub role: Role,
    /// When the change is assumed to be over if the upstream table never shows it.
    pub until: Millis,
    /// Whether this instance has given the order.
    pub is_own: bool,
}

/// `RoleObservation` is the role that an engine's own answers have shown.
///
/// While the table is unreachable, its rows still show the role before a change. Requests placed by that role
/// go to engines that refuse them, and use up the retry budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoleObservation {
    /// The role.
    pub role: Role,
    /// The number of the engine's report that was listed at that time. A later report is more recent than
    /// this observation.
    pub sequence: u64,
    /// Whether this instance has observed it.
    pub is_own: bool,
}
