//! The sections of all instances that a node has, including its own.

use std::collections::BTreeSet;

use anvilhook_core::names::InstanceName;
use anvilhook_core::units::{Millis, Revision};

use super::latest_sections::{LatestSections, SectionBounds};
use super::messages::{Item, Update};
use super::options::GossipOptions;
use super::partner_states::Known;
use super::sections::{AckSection, DemandSection, LoadSection, Section};

/// The maximum number of links that acknowledgements and demand cross. It exceeds the diameter of
/// any fleet that the rings connect, and stops sections that would circulate forever.
pub(super) const MAX_HOPS: u8 = 32;

/// `ChangedSections` records which parts of a node's knowledge have changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ChangedSections {
    /// Whether a newer configuration was received.
    pub configuration: bool,
    /// Whether acknowledgements have changed.
    pub acks: bool,
    /// Whether load sections have changed.
    pub load: bool,
    /// Whether demand sections have changed.
    pub demand: bool,
}

/// `Knowledge` holds the newest section of each kind from each instance.
#[derive(Debug)]
pub(super) struct Knowledge {
    pub(super) announced: BTreeSet<InstanceName>,
    pub(super) acks: LatestSections<AckSection>,
    pub(super) load: LatestSections<LoadSection>,
    pub(super) demand: LatestSections<DemandSection>,
    max_update_bytes: usize,
}

impl Knowledge {
    /// Creates the knowledge of an instance, without any section.
    pub(super) fn new(me: &InstanceName, options: &GossipOptions) -> Self {
        let bounds = |max_age| SectionBounds {
            max_age,
            max_hops: MAX_HOPS,
            max_origins: options.max_origins,
            retention: options.retention,
        };
        Self {
            announced: BTreeSet::from([me.clone()]),
            // Acknowledgements never expire by age. They are valid until they are replaced, or until
            // they exceed the retention time and their writer is not announced.
            acks: LatestSections::new(bounds(Millis::MAX)),
            load: LatestSections::new(bounds(options.load_max_age)),
            demand: LatestSections::new(bounds(options.demand_max_age)),
            max_update_bytes: options.max_update_bytes,
        }
    }

    /// Merges an update and returns which sections changed. Sections that `me` wrote are skipped.
    pub(super) fn merge(
        &mut self,
        me: &InstanceName,
        update: &Update,
        now: Millis,
    ) -> ChangedSections {
        let mut changes = ChangedSections::default();
        for item in update.acks.iter().filter(|item| item.origin != *me) {
            changes.acks |= self.acks.merge(item, &self.announced, now);
        }
        for item in update.load.iter().filter(|item| item.origin != *me) {
            changes.load |= self.load.merge(item, &self.announced, now);
        }
        for item in update.demand.iter().filter(|item| item.origin != *me) {
            changes.demand |= self.demand.merge(item, &self.announced, now);
        }
        changes
    }

    /// Expires old sections and records the changes.
    pub(super) fn expire(&mut self, now: Millis, changes: &mut ChangedSections) {
        changes.acks |= self.acks.expire(&self.announced, now);
        changes.load |= self.load.expire(&self.announced, now);
        changes.demand |= self.demand.expire(&self.announced, now);
    }

    /// Collects the sections that a partner does not have yet, up to the size limit. Acknowledgements
    /// come first because they are urgent.
    pub(super) fn update_for(&self, known: &Known, revision: Revision, now: Millis) -> Update {
        let mut remaining_bytes = self.max_update_bytes;
        Update {
            revision,
            acks: fit(self.acks.updates_for(&known.acks, now), &mut remaining_bytes),
            load: fit(self.load.updates_for(&known.load, now), &mut remaining_bytes),
            demand: fit(self.demand.updates_for(&known.demand, now), &mut remaining_bytes),
        }
    }
}

fn fit<T: Section>(
    items: impl Iterator<Item = Item<T>>,
    remaining_bytes: &mut usize,
) -> Vec<Item<T>> {
    let mut selected = Vec::new();
    for item in items {
        if *remaining_bytes == 0 {
            break;
        }
        *remaining_bytes = remaining_bytes.saturating_sub(item.body.wire_bytes());
        selected.push(item);
    }
    selected
}
