//! What a node keeps of each partner: what it is known to have, and what is under way to it.

use std::collections::BTreeMap;
use std::sync::Arc;

use anvilhook_core::names::InstanceName;
use anvilhook_core::units::{Millis, Revision};

use super::knowledge::Knowledge;
use super::messages::{Item, Update};

/// `Known` holds the section numbers that a partner is known to have.
#[derive(Debug, Default)]
pub(super) struct Known {
    pub(super) acks: BTreeMap<InstanceName, u64>,
    pub(super) load: BTreeMap<InstanceName, u64>,
    pub(super) demand: BTreeMap<InstanceName, u64>,
}

impl Known {
    fn record(&mut self, update: &Update) {
        record(&mut self.acks, &update.acks);
        record(&mut self.load, &update.load);
        record(&mut self.demand, &update.demand);
    }

    /// Forgets origins of whom no section is known any more, so that this does not grow for ever.
    fn retain(&mut self, knowledge: &Knowledge) {
        self.acks.retain(|origin, _| knowledge.acks.version(origin) > 0);
        self.load.retain(|origin, _| knowledge.load.version(origin) > 0);
        self.demand.retain(|origin, _| knowledge.demand.version(origin) > 0);
    }
}

fn record<T>(known: &mut BTreeMap<InstanceName, u64>, items: &[Item<T>]) {
    for item in items {
        let version = known.entry(item.origin.clone()).or_default();
        *version = item.version.max(*version);
    }
}

/// `Partner` is what a node keeps of one link.
#[derive(Debug, Default)]
pub(super) struct Partner {
    pub(super) known: Known,
    /// The highest revision that the partner is known to hold.
    pub(super) revision: Revision,
    /// Whether acknowledgements or a revision wait to be told.
    pub(super) urgent: bool,
    confirmed_revision: Revision,
    sent_at: Option<Millis>,
    in_flight: Option<(u64, Arc<Update>)>,
}

impl Partner {
    /// Makes the state of a new link, which has everything to be told.
    pub(super) fn new() -> Self {
        Self { urgent: true, ..Self::default() }
    }

    /// Returns how long ago the last update was sent.
    pub(super) fn since_last_update(&self, now: Millis) -> Millis {
        self.sent_at.map_or(Millis::MAX, |sent_at| now - sent_at)
    }

    /// Returns whether an update is under way.
    pub(super) fn is_awaiting_confirmation(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Returns whether the partner is not known to have heard of a revision.
    pub(super) fn needs(&self, revision: Revision) -> bool {
        revision > self.revision.max(self.confirmed_revision)
    }

    /// Takes what the partner has said.
    pub(super) fn record_update(&mut self, update: &Update) {
        self.known.record(update);
        self.revision = self.revision.max(update.revision);
    }

    /// Takes note of an update sent.
    pub(super) fn record_sent(&mut self, seq: u64, update: Arc<Update>, now: Millis) {
        self.urgent = false;
        self.sent_at = Some(now);
        self.in_flight = Some((seq, update));
    }

    /// Takes a confirmation. One that is not of the update under way says nothing.
    pub(super) fn confirm(&mut self, seq: u64, knowledge: &Knowledge) {
        if let Some((_, update)) = self.in_flight.take_if(|(sent, _)| *sent == seq) {
            self.known.record(&update);
            self.confirmed_revision = self.confirmed_revision.max(update.revision);
            self.known.retain(knowledge);
        }
    }
}
