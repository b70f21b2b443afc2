//! Determines what one instance sends to its partners and when.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use anvilhook_core::names::InstanceName;
use anvilhook_core::resources::Configuration;
use anvilhook_core::units::{Millis, Revision};

use super::budgets::{hops_within, spacing, traffic};
use super::configurations::ConfigurationCache;
use super::knowledge::{ChangedSections, Knowledge, MAX_HOPS};
use super::latest_sections::ReceivedSection;
use super::messages::{LinkId, Message, Transfer, Transport, Update};
use super::options::GossipOptions;
use super::partner_states::Partner;
use super::sections::{AckSection, DemandSection, LoadSection, Section};
use crate::errors::{Error, Result};

/// `GossipNode` is the gossip state machine of one instance.
#[derive(Debug)]
pub struct GossipNode {
    me: InstanceName,
    options: GossipOptions,
    knowledge: Knowledge,
    cache: ConfigurationCache,
    partners: BTreeMap<LinkId, Partner>,
    // The own sections that wait until the budget allows them, and when the last ones were written.
    next_load: Option<LoadSection>,
    load_written_at: Option<Millis>,
    next_demand: Option<DemandSection>,
    demand_written_at: Option<Millis>,
    // The pull in flight and when it was sent.
    pull: Option<(LinkId, Millis)>,
    last_seq: u64,
    changes: ChangedSections,
}

impl GossipNode {
    /// Creates a node without sections, configuration and links.
    pub fn new(me: InstanceName, options: GossipOptions) -> Self {
        Self {
            knowledge: Knowledge::new(&me, &options),
            me,
            options,
            cache: ConfigurationCache::default(),
            partners: BTreeMap::new(),
            next_load: None,
            load_written_at: None,
            next_demand: None,
            demand_written_at: None,
            pull: None,
            last_seq: 0,
            changes: ChangedSections::default(),
        }
    }

    /// Sets the announced instances. This instance may be missing from them.
    pub fn set_announced(&mut self, announced: BTreeSet<InstanceName>) {
        self.knowledge.announced = announced;
        // The own sections are retained as long as the instance runs. If they were removed like those
        // of instances that are no longer announced, their numbers would start again and all other
        // instances would ignore the next sections as old.
        self.knowledge.announced.insert(self.me.clone());
    }

    /// Stores a configuration from this instance if it is newer than the newest known, and returns
    /// whether it was.
    pub fn offer_configuration(&mut self, configuration: Arc<Configuration>) -> bool {
        let newer = self.cache.offer(configuration);
        if newer {
            self.mark_urgent();
        }
        newer
    }

    /// Replaces the own acknowledgements.
    pub fn write_acks(&mut self, mut section: AckSection, now: Millis) {
        section.truncate(self.options.max_acks);
        self.knowledge.acks.write(&self.me, section, now);
        self.mark_urgent();
    }

    /// Replaces the own load section as soon as the budget allows.
    pub fn write_load(&mut self, mut section: LoadSection) {
        section.truncate(self.options.max_engines);
        self.next_load = Some(section);
    }

    /// Replaces the own demand section as soon as the budget allows.
    pub fn write_demand(&mut self, mut section: DemandSection) {
        section.truncate(self.options.max_accounts);
        self.next_demand = Some(section);
    }

    /// Adds a link.
    pub fn connect(&mut self, link: LinkId) {
        self.partners.insert(link, Partner::new());
    }

    /// Removes a link.
    pub fn disconnect(&mut self, link: LinkId) {
        self.partners.remove(&link);
        if self.pull.is_some_and(|(pulled, _)| pulled == link) {
            self.pull = None;
        }
    }

    /// Returns the transfer for a partner that has revision `have`, or `None` if the partner is up to
    /// date.
    ///
    /// # Errors
    ///
    /// `Error::Codec` if the configuration cannot be encoded.
    pub fn answer_pull(&mut self, have: Revision) -> Result<Option<Transfer>> {
        self.cache.answer(have)
    }

    /// Processes a message from a partner.
    ///
    /// # Errors
    ///
    /// `Error::Codec` if a transfer is invalid; the caller should then close the link.
    pub fn receive(
        &mut self,
        link: LinkId,
        message: Message,
        now: Millis,
        transport: &mut impl Transport,
    ) -> Result<()> {
        match message {
            Message::Update { seq, update } => {
                self.merge(link, &update, now);
                transport.send(link, Message::Confirm { seq });
            }
            Message::Confirm { seq } => self.confirm(link, seq),
            Message::Pull { have } => {
                if let Some(transfer) = self.answer_pull(have)? {
                    transport.send(link, Message::Transfer(transfer));
                }
            }
            Message::Transfer(transfer) => self.apply_transfer(link, &transfer, now, transport)?,
        }
        self.tick(now, transport);
        Ok(())
    }

    /// Expires old sections, writes the own sections that are due and sends the updates and pulls
    /// that are due.
    pub fn tick(&mut self, now: Millis, transport: &mut impl Transport) {
        self.knowledge.expire(now, &mut self.changes);
        self.write_load_if_due(now);
        self.write_demand_if_due(now);
        self.pull_newest(now, transport);
        let links: Vec<LinkId> = self.partners.keys().copied().collect();
        for link in links {
            self.push_if_due(link, now, transport);
        }
    }

    /// Returns which sections have changed since the last call.
    pub fn take_changes(&mut self) -> ChangedSections {
        std::mem::take(&mut self.changes)
    }

    /// Returns the newest known configuration.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.cache.newest()
    }

    /// Returns the acknowledgements of the other instances.
    pub fn acks(&self) -> BTreeMap<InstanceName, ReceivedSection<AckSection>> {
        self.knowledge.acks.from_others(&self.me)
    }

    /// Returns the load sections of the other instances.
    pub fn load(&self) -> BTreeMap<InstanceName, ReceivedSection<LoadSection>> {
        self.knowledge.load.from_others(&self.me)
    }

    /// Returns the demand sections of the other instances.
    pub fn demand(&self) -> BTreeMap<InstanceName, ReceivedSection<DemandSection>> {
        self.knowledge.demand.from_others(&self.me)
    }

    fn mark_urgent(&mut self) {
        for partner in self.partners.values_mut() {
            partner.urgent = true;
        }
    }

    fn merge(&mut self, link: LinkId, update: &Update, now: Millis) {
        let changes = self.knowledge.merge(&self.me, update, now);
        self.changes.acks |= changes.acks;
        self.changes.load |= changes.load;
        self.changes.demand |= changes.demand;
        if changes.acks {
            self.mark_urgent();
        }
        if let Some(partner) = self.partners.get_mut(&link) {
            partner.record_update(update);
        }
    }

    fn confirm(&mut self, link: LinkId, seq: u64) {
        if let Some(partner) = self.partners.get_mut(&link) {
            partner.confirm(seq, &self.knowledge);
        }
    }

    fn apply_transfer(
        &mut self,
        link: LinkId,
        transfer: &Transfer,
        now: Millis,
        transport: &mut impl Transport,
    ) -> Result<()> {
        self.pull = None;
        match self.cache.apply(transfer) {
            Ok(true) => {
                self.changes.configuration = true;
                self.mark_urgent();
                Ok(())
            }
            Ok(false) => Ok(()),
            Err(Error::UnknownBase { .. }) => {
                self.send_pull(link, Revision(0), now, transport);
                Ok(())
            }
            Err(err) => Err(err),
        }
    }

    /// Pulls the newest configuration that any partner is known to have. Only one pull is in flight at
    /// a time.
    fn pull_newest(&mut self, now: Millis, transport: &mut impl Transport) {
        let is_late = |(_, sent_at): (LinkId, Millis)| now - sent_at > self.options.answer_timeout;
        if self.pull.is_some_and(|pull| !is_late(pull)) {
            return;
        }
        let failed = self.pull.take().map(|(link, _)| link);
        let have = self.cache.revision();
        let ahead = self.partners.iter().filter(|(_, partner)| partner.revision > have);
        // A partner that has just failed to respond is asked again only if no other partner is ahead.
        let best = ahead.max_by_key(|(link, partner)| (Some(**link) != failed, partner.revision));
        if let Some((&link, _)) = best {
            self.send_pull(link, have, now, transport);
        }
    }

    fn send_pull(
        &mut self,
        link: LinkId,
        have: Revision,
        now: Millis,
        transport: &mut impl Transport,
    ) {
        self.pull = Some((link, now));
        transport.send(link, Message::Pull { have });
    }

    fn push_if_due(&mut self, link: LinkId, now: Millis, transport: &mut impl Transport) {
        let options = self.options;
        let Some(partner) = self.partners.get_mut(&link) else {
            return;
        };
        let since_last_update = partner.since_last_update(now);
        if partner.is_awaiting_confirmation() && since_last_update <= options.answer_timeout {
            return;
        }
        let is_urgent = partner.urgent && since_last_update >= options.urgent_gap;
        if !is_urgent && since_last_update < options.round {
            return;
        }
        let revision = self.cache.revision();
        let update = self.knowledge.update_for(&partner.known, revision, now);
        let is_empty = !update.has_sections() && !partner.needs(revision);
        if is_empty && since_last_update < options.heartbeat {
            partner.urgent = false;
            return;
        }
        self.last_seq += 1;
        let update = Arc::new(update);
        partner.record_sent(self.last_seq, Arc::clone(&update), now);
        transport.send(link, Message::Update { seq: self.last_seq, update });
    }

    fn write_load_if_due(&mut self, now: Millis) {
        let Some(section) = &self.next_load else {
            return;
        };
        let options = &self.options;
        let (count, degree) = (self.knowledge.announced.len().max(1), options.partners.degree());
        let (bytes, budget) = (section.wire_bytes(), options.load_bytes_per_s);
        let hops = hops_within(count, degree, bytes, budget, options.max_relayed_load_interval);
        let gap = spacing(traffic(count, degree, hops), bytes, budget);
        if !is_due(self.load_written_at, gap.max(options.load_interval), now) {
            return;
        }
        self.knowledge.load.set_max_hops(hops);
        self.load_written_at = Some(now);
        if let Some(section) = self.next_load.take() {
            self.knowledge.load.write(&self.me, section, now);
        }
    }

    fn write_demand_if_due(&mut self, now: Millis) {
        let Some(section) = &self.next_demand else {
            return;
        };
        let options = &self.options;
        let count = self.knowledge.announced.len().max(1);
        let sections = traffic(count, options.partners.degree(), MAX_HOPS);
        let gap = spacing(sections, section.wire_bytes(), options.demand_bytes_per_s);
        if gap > options.demand_max_age {
            // Each section would expire before the next one arrives. Shares by demand need fresh
            // sections from all instances, so the traffic would be useless.
            self.next_demand = None;
            return;
        }
        if !is_due(self.demand_written_at, gap.max(options.demand_interval), now) {
            return;
        }
        self.demand_written_at = Some(now);
        if let Some(section) = self.next_demand.take() {
            self.knowledge.demand.write(&self.me, section, now);
        }
    }
}

fn is_due(written_at: Option<Millis>, gap: Millis, now: Millis) -> bool {
    written_at.is_none_or(|written_at| now - written_at >= gap)
}
