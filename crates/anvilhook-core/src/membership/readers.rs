//! Chooses the readers of an engine: the instances that poll its load report for all others.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use crate::names::{InstanceName, UpstreamName, ZoneName};

/// The number of readers of one engine.
pub const READERS: usize = 2;

/// Chooses the readers of an engine, at most two, among the announced instances with their availability
/// zones.
///
/// Each engine ranks all instances in its own order. The readers are the first instance and the first of
/// another zone, so that one reader is left when a zone is lost; if all are in one zone, the second
/// instance. If an instance leaves, the next one in the order replaces it at each engine that it polled,
/// so that no other reader changes.
///
/// Instances with different views of the members choose different readers for a while. An engine is then
/// polled by more instances, or by none until others miss its digests and poll it themselves.
///
/// ```
/// use anvilhook_core::membership::choose_readers;
/// use anvilhook_core::names::{InstanceName, UpstreamName, ZoneName};
///
/// let engine = UpstreamName::try_new("engine-1")?;
/// let (za, zb) = (ZoneName::try_new("za")?, ZoneName::try_new("zb")?);
/// let names: Vec<_> = ["a", "b", "c"].into_iter().flat_map(InstanceName::try_new).collect();
/// let members = [(&names[0], &za), (&names[1], &za), (&names[2], &zb)];
/// let readers = choose_readers(&engine, members);
/// assert_eq!(readers.len(), 2);
/// assert!(readers.contains(&&names[2]), "the only one of its zone");
/// # Ok::<(), anvilhook_core::Error>(())
/// ```
pub fn choose_readers<'a>(
    engine: &UpstreamName,
    members: impl IntoIterator<Item = (&'a InstanceName, &'a ZoneName)>,
) -> Vec<&'a InstanceName> {
    let weighted = members.into_iter().map(|(name, zone)| ((weight(engine, name), name), zone));
    let mut order: Vec<_> = weighted.collect();
    order.sort_unstable_by_key(|(rank, _)| *rank);
    order.dedup_by_key(|((_, name), _)| *name);

    let Some(&((_, first), first_zone)) = order.first() else { return Vec::new() };
    let elsewhere = order.iter().find(|(_, zone)| *zone != first_zone);
    let second = elsewhere.or_else(|| order.get(1)).map(|((_, name), _)| *name);
    [Some(first), second].into_iter().flatten().collect()
}

fn weight(engine: &UpstreamName, instance: &InstanceName) -> u64 {
    // The hasher's keys are fixed, so all instances of one version agree. If they don't agree, an engine
    // is polled more often or its digests are missed.
    let mut hasher = DefaultHasher::new();
    (engine, instance).hash(&mut hasher);
    hasher.finish()
}
