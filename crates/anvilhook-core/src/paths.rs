//! Decides how an instance reaches an upstream: over its own network path, or through another instance.
//!
//! Designed for: some, most or all instances of an availability zone that are cut from all or some upstreams for
//! seconds, while callers and the other instances still reach them. Connections hang, are reset, or continue to
//! work while new ones are refused. An instance that takes this for the state of the upstreams fails requests that
//! the others could serve, and makes the others avoid upstreams that they reach.

use crate::units::Millis;

/// The interval between two checks of a path that is not direct.
pub const CHECK_INTERVAL: Millis = Millis(500);

/// The minimum time between two checks of an instance, over all its paths: each check opens a connection.
const CHECK_SPACING: Millis = Millis(10);

/// How many consecutive checks must connect until a path counts as direct again. A single one would send all
/// requests to a path that fails again and again for parts of a second. The number doubles with each relapse.
const CONNECTS_TO_RETURN: u32 = 2;
const MAX_DOUBLINGS: u32 = 3;

/// A path that breaks again within this time after it was restored has relapsed.
const RELAPSE_TIME: Millis = Millis(5_000);

/// The number of forwarders in the own availability zone that must have failed lately for those of other zones to
/// be tried first, as the whole zone may be cut.
const FAILED_ZONE: usize = 3;

/// The number of forwarders of the own availability zone that are tried before one of another zone.
const NEAR_FIRST: usize = 2;

/// `Contact` is the result of opening a connection to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Contact {
    /// The connection was established.
    Connected,
    /// The connection was refused or reset.
    Refused,
    /// No response arrived in time.
    NoResponse,
}

/// `Path` is how an instance reaches an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Path {
    /// Over its own network path.
    #[default]
    Direct,
    /// Only through another instance. Open connections of its own continue to work.
    Indirect,
    /// Only through another instance. Open connections of its own transfer nothing either.
    IndirectOnly,
    /// Not at all, as far as it knows.
    Unreachable,
}

impl Path {
    /// Returns the text used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Path::Direct => "direct",
            Path::Indirect => "indirect",
            Path::IndirectOnly => "indirect_only",
            Path::Unreachable => "unreachable",
        }
    }

    /// Returns whether another instance reaches the upstream and this one does not.
    pub fn is_indirect(self) -> bool {
        matches!(self, Path::Indirect | Path::IndirectOnly)
    }
}

/// `Conclusion` is what the checks of several instances show.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Conclusion {
    /// The upstream is reached by this path, or not at all.
    Path(Path),
    /// The upstream's host refuses connections, as this and another instance have found.
    Closed,
}

/// Returns what a check shows. `own` is this instance's own contact, and `others` are those of other instances
/// whose paths are sound.
///
/// A failed contact alone does not show whether the path or the upstream has failed, so the upstream counts as
/// closed only if another instance is refused as well.
///
/// ```
/// use anvilhook_core::paths::{Conclusion, Contact, Path, conclude};
///
/// let cut = conclude(Contact::Refused, &[Contact::Connected]);
/// assert_eq!(cut, Conclusion::Path(Path::Indirect));
/// let ended = conclude(Contact::Refused, &[Contact::Refused]);
/// assert_eq!(ended, Conclusion::Closed);
/// ```
pub fn conclude(own: Contact, others: &[Contact]) -> Conclusion {
    let is_reached = others.contains(&Contact::Connected);
    match own {
        Contact::Connected => Conclusion::Path(Path::Direct),
        Contact::Refused if is_reached => Conclusion::Path(Path::Indirect),
        Contact::NoResponse if is_reached => Conclusion::Path(Path::IndirectOnly),
        Contact::Refused if others.contains(&Contact::Refused) => Conclusion::Closed,
        Contact::Refused | Contact::NoResponse => Conclusion::Path(Path::Unreachable),
    }
}

/// Returns whether an instance's failed contacts count as evidence about upstreams: it has no broken path, or has
/// lately reached more upstreams than it has broken paths.
///
/// ```
/// use anvilhook_core::paths::is_sound;
///
/// assert!(is_sound(0, 0), "an idle instance");
/// assert!(is_sound(11, 1), "one upstream has failed");
/// assert!(!is_sound(3, 12), "the instance is cut from most upstreams");
/// ```
pub fn is_sound(reached: usize, broken: usize) -> bool {
    broken == 0 || reached > broken
}

/// Returns the time until the next check of a path, with `broken` paths to check in all.
pub fn check_interval(broken: usize) -> Millis {
    CHECK_INTERVAL.max(CHECK_SPACING * broken as u64)
}

/// Returns whether a path that was not direct counts as direct again after consecutive checks that connected.
/// `relapses` is how many times in a row it has broken again soon after it was restored.
///
/// ```
/// use anvilhook_core::paths::is_restored;
///
/// assert!(!is_restored(1, 0) && is_restored(2, 0));
/// assert!(!is_restored(3, 1) && is_restored(4, 1));
/// ```
pub fn is_restored(connects: u32, relapses: u32) -> bool {
    connects >= CONNECTS_TO_RETURN << relapses.min(MAX_DOUBLINGS)
}

/// Returns how many relapses in a row a path has had that breaks now and was last restored at `restored_at`, if it
/// ever was. `before` is the number until then.
pub fn relapses_after(before: u32, restored_at: Option<Millis>, now: Millis) -> u32 {
    match restored_at {
        Some(at) if now < at + RELAPSE_TIME => before.saturating_add(1),
        _ => 0,
    }
}

/// `Forwarder` is another instance through which upstreams may be reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Forwarder<A> {
    /// Its address.
    pub address: A,
    /// Whether it is in this instance's availability zone.
    pub is_near: bool,
    /// A hash of the request and the forwarder, which spreads requests over forwarders.
    pub hash: u64,
}

/// Returns the forwarders in the order in which a request tries them, at most `most`. `failed_near` is the number
/// of further ones in the own availability zone that have lately not reached upstreams.
///
/// Those of the own zone come first, as bytes between zones are expensive, but not all of them: if the zone as a
/// whole is cut, only another zone's instances help.
///
/// ```
/// use anvilhook_core::paths::{Forwarder, forwarders_in_order};
///
/// let near = |address| Forwarder { address, is_near: true, hash: address };
/// let far = |address| Forwarder { address, is_near: false, hash: address };
/// let all = vec![far(9), near(1), near(2), near(3), far(8)];
/// assert_eq!(forwarders_in_order(all.clone(), 0, 3), [1, 2, 8]);
/// assert_eq!(forwarders_in_order(all, 3, 3), [8, 9, 1]);
/// ```
pub fn forwarders_in_order<A: Copy>(
    mut all: Vec<Forwarder<A>>,
    failed_near: usize,
    most: usize,
) -> Vec<A> {
    all.sort_unstable_by_key(|one| one.hash);
    let (near, far): (Vec<_>, Vec<_>) = all.into_iter().partition(|one| one.is_near);
    let first_near = if failed_near >= FAILED_ZONE { 0 } else { NEAR_FIRST.min(near.len()) };
    let (first, rest) = near.split_at(first_near);
    let ordered = first.iter().chain(&far).chain(rest);
    ordered.take(most).map(|one| one.address).collect()
}
