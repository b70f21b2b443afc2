//! Announced and listed instances.
//!
//! An instance announces itself, then reads the drains, then routes. A holder marks an engine, then reads
//! the announcements. Whichever is written to the table first, either the holder sees the instance and
//! waits for it, or the instance sees the mark and routes nothing there. An instance that is only
//! partitioned from the table is still in the platform's instance list, so the holder waits for it as
//! well.

use std::collections::{BTreeMap, BTreeSet};

use crate::names::InstanceName;

/// `Listed` is the state of an instance in the platform's instance list.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Listed {
    /// It runs, or is about to leave.
    Present,
    /// Its process can never run again.
    Gone,
}

/// `Roster` holds the known instances, announced or listed.
///
/// ```
/// use anvilhook_core::membership::{Listed, Roster};
/// use anvilhook_core::names::InstanceName;
///
/// let (one, two) = (InstanceName::try_new("entry-1")?, InstanceName::try_new("entry-2")?);
/// let mut roster = Roster::default();
/// roster.replace_announced([one.clone(), two.clone()]);
/// roster.replace_listed([(two.clone(), Listed::Gone)]);
/// assert_eq!(roster.required().collect::<Vec<_>>(), [&one]);
/// # Ok::<(), anvilhook_core::Error>(())
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Roster {
    announced: BTreeSet<InstanceName>,
    /// Instances that withdrew their announcement, as they do at the end of a planned stop.
    departed: BTreeSet<InstanceName>,
    listed: BTreeMap<InstanceName, Listed>,
}

impl Roster {
    /// Replaces the announcements by a newer read of all of them.
    pub fn replace_announced(&mut self, instances: impl IntoIterator<Item = InstanceName>) {
        let before = std::mem::take(&mut self.announced);
        self.announced = instances.into_iter().collect();
        self.departed.extend(before);
        self.departed.retain(|name| !self.announced.contains(name));
    }

    /// Replaces the entries of the instance list by a newer read. The state `Gone` is final: a list that
    /// lags behind the previous one does not bring an instance back.
    pub fn replace_listed(&mut self, entries: impl IntoIterator<Item = (InstanceName, Listed)>) {
        self.listed.retain(|_, listed| *listed == Listed::Gone);
        for (name, listed) in entries {
            let known = self.listed.entry(name).or_insert(listed);
            if listed == Listed::Gone {
                *known = Listed::Gone;
            }
        }
    }

    /// Returns whether the platform reports that an instance is gone for good. An instance that is
    /// missing from the list is not known to be gone.
    pub fn is_gone(&self, instance: &InstanceName) -> bool {
        self.listed.get(instance) == Some(&Listed::Gone)
    }

    /// Returns the instances whose acknowledgement a drain needs: all that are announced or listed,
    /// except those that are gone or withdrew their announcement.
    pub fn required(&self) -> impl Iterator<Item = &InstanceName> {
        let present = self.listed.iter().filter(|(_, listed)| **listed == Listed::Present);
        let only_listed = present
            .map(|(name, _)| name)
            .filter(|name| !self.announced.contains(*name) && !self.departed.contains(*name));
        self.announced.iter().filter(|name| !self.is_gone(name)).chain(only_listed)
    }
}
