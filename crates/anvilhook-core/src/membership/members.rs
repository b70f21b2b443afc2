//! Announced instances.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::names::{InstanceName, ZoneName};

/// `Member` is the row by which an instance announces itself before it routes its first request.
///
/// The order matters: an instance announces itself, then reads the drains, then routes. A holder
/// marks an engine, then reads the announcements. Whichever comes first in the table, either the
/// holder sees the instance and waits for it, or the instance sees the mark and routes nothing
/// there.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Member {
    /// The instance.
    pub instance: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
}

/// `Listed` is what the platform's list says of an instance.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Listed {
    /// It runs, or is about to leave.
    Present,
    /// Its process can never run again.
    Gone,
}

/// `Roster` is what is known of all instances.
///
/// ```
/// use anvilhook_core::membership::{Listed, Roster};
/// use anvilhook_core::names::InstanceName;
///
/// let (one, two) = (InstanceName::try_new("entry-1")?, InstanceName::try_new("entry-2")?);
/// let mut roster = Roster::default();
/// roster.announce(one.clone());
/// roster.announce(two.clone());
/// roster.list(two.clone(), Listed::Gone);
/// assert_eq!(roster.required().collect::<Vec<_>>(), [&one]);
/// # Ok::<(), anvilhook_core::Error>(())
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Roster {
    announced: BTreeSet<InstanceName>,
    listed: BTreeMap<InstanceName, Listed>,
}

impl Roster {
    /// Notes an announcement.
    pub fn announce(&mut self, instance: InstanceName) {
        self.announced.insert(instance);
    }

    /// Notes what the platform says of an instance. That one is gone is final, and a list that lags
    /// more than the one before does not bring it back.
    pub fn list(&mut self, instance: InstanceName, listed: Listed) {
        let known = self.listed.entry(instance).or_insert(listed);
        if *known != Listed::Gone {
            *known = listed;
        }
    }

    /// Replaces the announcements by a newer reading of all of them.
    pub fn replace_announced(&mut self, instances: impl IntoIterator<Item = InstanceName>) {
        self.announced = instances.into_iter().collect();
    }

    /// Returns whether the platform says that an instance is gone for good. One that is missing
    /// from the list is not known to be gone.
    pub fn is_gone(&self, instance: &InstanceName) -> bool {
        self.listed.get(instance) == Some(&Listed::Gone)
    }

    /// Returns the instances whose acknowledgement a drain needs.
    pub fn required(&self) -> impl Iterator<Item = &InstanceName> {
        self.announced.iter().filter(|name| !self.is_gone(name))
    }

    /// Returns the announced instances that are gone, whose rows can be cleared away.
    pub fn gone(&self) -> impl Iterator<Item = &InstanceName> {
        self.announced.iter().filter(|name| self.is_gone(name))
    }
}
