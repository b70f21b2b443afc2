//! The state that a node holds for each partner: the sections that the partner is known to have and
//! the update in flight to it.

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

    /// Removes origins without a known section, so that the maps do not grow without limit.
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

/// `Partner` is the state that a node holds for one link.
#[derive(Debug, Default)]
pub(super) struct Partner {
    pub(super) known: Known,
    /// The highest revision that the partner has reported.
    pub(super) revision: Revision,
    /// Whether new acknowledgements or a new revision are ready to send.
    pub(super) urgent: bool,
    // The highest revision in an update that the partner has confirmed.
    confirmed_revision: Revision,
    sent_at: Option<Millis>,
    in_flight: Option<(u64, Arc<Update>)>,
}

impl Partner {
    /// Creates the state of a new link, to which everything is still to be sent.
    pub(super) fn new() -> Self {
        Self { urgent: true, ..Self::default() }
    }

    /// Returns how long ago the last update was sent.
    pub(super) fn since_last_update(&self, now: Millis) -> Millis {
        self.sent_at.map_or(Millis::MAX, |sent_at| now - sent_at)
    }

    /// Returns whether an update is in flight.
    pub(super) fn is_awaiting_confirmation(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Returns whether a revision is newer than any that the partner has reported or confirmed.
    pub(super) fn needs(&self, revision: Revision) -> bool {
        revision > self.revision.max(self.confirmed_revision)
    }

    /// Records the sections and the revision that an update from the partner contains.
    pub(super) fn record_update(&mut self, update: &Update) {
        self.known.record(update);
        self.revision = self.revision.max(update.revision);
    }

    /// Records an update sent to the partner.
    pub(super) fn record_sent(&mut self, seq: u64, update: Arc<Update>, now: Millis) {
        self.urgent = false;
        self.sent_at = Some(now);
        self.in_flight = Some((seq, update));
    }

    /// Records a confirmation. It is ignored unless it belongs to the update in flight.
    pub(super) fn confirm(&mut self, seq: u64, knowledge: &Knowledge) {
        if let Some((_, update)) = self.in_flight.take_if(|(sent, _)| *sent == seq) {
            self.known.record(&update);
            self.confirmed_revision = self.confirmed_revision.max(update.revision);
            self.known.retain(knowledge);
        }
    }
}
