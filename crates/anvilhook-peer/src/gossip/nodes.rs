//! What one instance tells its partners, and when.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use anvilhook_core::names::InstanceName;
use anvilhook_core::resources::Configuration;
use anvilhook_core::units::{Millis, Revision};

use super::boards::{Board, BoardRules, Heard};
use super::budgets::{hops_within, reach, spacing};
use super::configurations::ConfigurationShelf;
use super::messages::{Item, LinkId, Message, Transfer, Transport, Update};
use super::partners::PartnerOptions;
use super::sections::{AckSection, DemandSection, LoadSection, Section};
use crate::errors::{Error, Result};

/// The most links that acknowledgements and demand cross. It exceeds the diameter of any fleet that
/// the rings connect, and stops what might travel in circles.
const MAX_HOPS: u8 = 32;

/// `GossipOptions` bounds what a node says and keeps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GossipOptions {
    /// The least time between two updates on a link that carry only load and demand.
    pub round: Millis,
    /// The least time between two updates on a link that carry more urgent news.
    pub urgent_gap: Millis,
    /// The longest time between two updates on a link.
    pub heartbeat: Millis,
    /// How long an update or a pull may go unanswered before it counts as lost.
    pub answer_timeout: Millis,
    /// The least time between two own load sections.
    pub load_interval: Millis,
    /// The age from which a load section no longer counts.
    pub load_max_age: Millis,
    /// The traffic that load sections may cause at one instance, in bytes a second.
    pub load_bytes_per_s: u32,
    /// The least time between two own demand sections.
    pub demand_interval: Millis,
    /// The age from which a demand section no longer counts.
    pub demand_max_age: Millis,
    /// The traffic that demand sections may cause at one instance, in bytes a second.
    pub demand_bytes_per_s: u32,
    /// The most acknowledgements in one section.
    pub max_acks: usize,
    /// The most engines in one load section.
    pub max_engines: usize,
    /// The most accounts in one demand section.
    pub max_accounts: usize,
    /// The size from which an update takes no further section, in bytes.
    pub max_update_bytes: usize,
    /// The most instances whose sections are kept.
    pub max_origins: usize,
    /// How long anything is kept of an instance that is not announced.
    pub retention: Millis,
    /// How partners are chosen.
    pub partners: PartnerOptions,
}

impl Default for GossipOptions {
    fn default() -> Self {
        Self {
            round: Millis(500),
            urgent_gap: Millis(20),
            heartbeat: Millis(1_000),
            answer_timeout: Millis(3_000),
            load_interval: Millis(1_000),
            load_max_age: Millis(5_000),
            load_bytes_per_s: 6_000,
            demand_interval: Millis(1_000),
            demand_max_age: Millis(10_000),
            demand_bytes_per_s: 6_000,
            max_acks: 1_024,
            max_engines: 64,
            max_accounts: 32,
            max_update_bytes: 64 * 1_024,
            max_origins: 4_096,
            retention: Millis::from_secs(600),
            partners: PartnerOptions::default(),
        }
    }
}

/// `News` says which parts of a node's knowledge have changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct News {
    /// A newer configuration has come.
    pub configuration: bool,
    /// Acknowledgements have changed.
    pub acks: bool,
    /// Load digests have changed.
    pub load: bool,
    /// Account demand has changed.
    pub demand: bool,
}

impl News {
    /// Returns whether anything has changed.
    pub fn any(&self) -> bool {
        *self != News::default()
    }
}

/// `Known` holds the section numbers that a partner is known to have.
#[derive(Debug, Default)]
struct Known {
    acks: BTreeMap<InstanceName, u64>,
    load: BTreeMap<InstanceName, u64>,
    demand: BTreeMap<InstanceName, u64>,
}

impl Known {
    fn learn(&mut self, update: &Update) {
        learn(&mut self.acks, &update.acks);
        learn(&mut self.load, &update.load);
        learn(&mut self.demand, &update.demand);
    }

    /// Forgets origins that no board knows any more, so that this does not grow for ever.
    fn retain(
        &mut self,
        acks: &Board<AckSection>,
        load: &Board<LoadSection>,
        demand: &Board<DemandSection>,
    ) {
        self.acks.retain(|origin, _| acks.version(origin) > 0);
        self.load.retain(|origin, _| load.version(origin) > 0);
        self.demand.retain(|origin, _| demand.version(origin) > 0);
    }
}

fn learn<T>(known: &mut BTreeMap<InstanceName, u64>, items: &[Item<T>]) {
    for item in items {
        let version = known.entry(item.origin.clone()).or_default();
        *version = item.version.max(*version);
    }
}

/// `Partner` is what a node keeps of one link.
#[derive(Debug, Default)]
struct Partner {
    known: Known,
    revision: Revision,
    told_revision: Revision,
    // Whether acknowledgements or a revision wait to be told.
    urgent: bool,
    sent_at: Option<Millis>,
    in_flight: Option<(u64, Arc<Update>)>,
}

impl Partner {
    /// Returns how long ago the last update was sent.
    fn silent_for(&self, now: Millis) -> Millis {
        self.sent_at.map_or(Millis::MAX, |sent_at| now - sent_at)
    }
}

/// `GossipNode` is one instance's part in the gossip.
#[derive(Debug)]
pub struct GossipNode {
    me: InstanceName,
    options: GossipOptions,
    announced: BTreeSet<InstanceName>,
    acks: Board<AckSection>,
    load: Board<LoadSection>,
    demand: Board<DemandSection>,
    shelf: ConfigurationShelf,
    partners: BTreeMap<LinkId, Partner>,
    // Own sections that wait for their time, and when the last ones were written.
    next_load: Option<LoadSection>,
    load_written_at: Option<Millis>,
    next_demand: Option<DemandSection>,
    demand_written_at: Option<Millis>,
    // The pull under way.
    pull: Option<(LinkId, Millis)>,
    last_seq: u64,
    news: News,
}

impl GossipNode {
    /// Makes a node that knows nothing.
    pub fn new(me: InstanceName, options: GossipOptions) -> Self {
        let rules = |max_age| BoardRules {
            max_age,
            max_hops: MAX_HOPS,
            max_origins: options.max_origins,
            retention: options.retention,
        };
        Self {
            me,
            options,
            announced: BTreeSet::new(),
            // Acknowledgements stand until they are replaced or their writer is long gone.
            acks: Board::new(rules(Millis::MAX)),
            load: Board::new(rules(options.load_max_age)),
            demand: Board::new(rules(options.demand_max_age)),
            shelf: ConfigurationShelf::default(),
            partners: BTreeMap::new(),
            next_load: None,
            load_written_at: None,
            next_demand: None,
            demand_written_at: None,
            pull: None,
            last_seq: 0,
            news: News::default(),
        }
    }

    /// Sets the announced instances.
    pub fn set_announced(&mut self, announced: BTreeSet<InstanceName>) {
        self.announced = announced;
    }

    /// Takes a configuration of the instance's own, if it is newer.
    pub fn offer_configuration(&mut self, configuration: Arc<Configuration>) -> bool {
        let newer = self.shelf.offer(configuration);
        if newer {
            self.mark_urgent();
        }
        newer
    }

    /// Replaces the own acknowledgements.
    pub fn write_acks(&mut self, mut section: AckSection, now: Millis) {
        section.truncate(self.options.max_acks);
        self.acks.write(&self.me, section, now);
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

    /// Takes up a link.
    pub fn connect(&mut self, link: LinkId) {
        self.partners.insert(link, Partner { urgent: true, ..Partner::default() });
    }

    /// Gives up a link.
    pub fn disconnect(&mut self, link: LinkId) {
        self.partners.remove(&link);
        if self.pull.is_some_and(|(pulled, _)| pulled == link) {
            self.pull = None;
        }
    }

    /// Answers a partner who holds revision `have`; nothing if it holds as much.
    ///
    /// # Errors
    ///
    /// `Error::Codec` if the configuration cannot be encoded.
    pub fn answer_pull(&mut self, have: Revision) -> Result<Option<Transfer>> {
        self.shelf.answer(have)
    }

    /// Takes a message from a partner.
    ///
    /// # Errors
    ///
    /// `Error::Codec` if a transfer makes no sense: the link should be closed.
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
            Message::Transfer(transfer) => self.take_transfer(link, &transfer, now, transport)?,
        }
        self.tick(now, transport);
        Ok(())
    }

    /// Sends what is due.
    pub fn tick(&mut self, now: Millis, transport: &mut impl Transport) {
        self.news.acks |= self.acks.expire(&self.announced, now);
        self.news.load |= self.load.expire(&self.announced, now);
        self.news.demand |= self.demand.expire(&self.announced, now);
        self.write_due_load(now);
        self.write_due_demand(now);
        self.pull_newest(now, transport);
        let links: Vec<LinkId> = self.partners.keys().copied().collect();
        for link in links {
            self.push_due(link, now, transport);
        }
    }

    /// Returns what has changed since the last call.
    pub fn take_news(&mut self) -> News {
        std::mem::take(&mut self.news)
    }

    /// Returns the newest configuration known.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.shelf.newest()
    }

    /// Returns the others' acknowledgements.
    pub fn acks(&self) -> BTreeMap<InstanceName, Heard<AckSection>> {
        self.acks.heard_from_others(&self.me)
    }

    /// Returns the others' load sections.
    pub fn load(&self) -> BTreeMap<InstanceName, Heard<LoadSection>> {
        self.load.heard_from_others(&self.me)
    }

    /// Returns the others' demand sections.
    pub fn demand(&self) -> BTreeMap<InstanceName, Heard<DemandSection>> {
        self.demand.heard_from_others(&self.me)
    }

    fn mark_urgent(&mut self) {
        for partner in self.partners.values_mut() {
            partner.urgent = true;
        }
    }

    fn merge(&mut self, link: LinkId, update: &Update, now: Millis) {
        // What this instance writes is not learnt from others.
        let mut acks_came = false;
        for item in update.acks.iter().filter(|item| item.origin != self.me) {
            acks_came |= self.acks.merge(item, &self.announced, now);
        }
        for item in update.load.iter().filter(|item| item.origin != self.me) {
            self.news.load |= self.load.merge(item, &self.announced, now);
        }
        for item in update.demand.iter().filter(|item| item.origin != self.me) {
            self.news.demand |= self.demand.merge(item, &self.announced, now);
        }
        self.news.acks |= acks_came;
        if acks_came {
            self.mark_urgent();
        }
        if let Some(partner) = self.partners.get_mut(&link) {
            partner.known.learn(update);
            partner.revision = partner.revision.max(update.revision);
        }
    }

    fn confirm(&mut self, link: LinkId, seq: u64) {
        let Some(partner) = self.partners.get_mut(&link) else {
            return;
        };
        if let Some((_, update)) = partner.in_flight.take_if(|(sent, _)| *sent == seq) {
            partner.known.learn(&update);
            partner.told_revision = partner.told_revision.max(update.revision);
            partner.known.retain(&self.acks, &self.load, &self.demand);
        }
    }

    fn take_transfer(
        &mut self,
        link: LinkId,
        transfer: &Transfer,
        now: Millis,
        transport: &mut impl Transport,
    ) -> Result<()> {
        self.pull = None;
        match self.shelf.take(transfer) {
            Ok(true) => {
                self.news.configuration = true;
                self.mark_urgent();
                Ok(())
            }
            Ok(false) => Ok(()),
            Err(Error::WrongBase { .. }) => {
                self.send_pull(link, Revision(0), now, transport);
                Ok(())
            }
            Err(err) => Err(err),
        }
    }

    /// Pulls the newest configuration that a partner is known to hold, one pull at a time.
    fn pull_newest(&mut self, now: Millis, transport: &mut impl Transport) {
        let is_late = |(_, sent_at): (LinkId, Millis)| now - sent_at > self.options.answer_timeout;
        if self.pull.is_some_and(|pull| !is_late(pull)) {
            return;
        }
        let failed = self.pull.take().map(|(link, _)| link);
        let have = self.shelf.revision();
        let ahead = self.partners.iter().filter(|(_, partner)| partner.revision > have);
        // A partner that has just failed to answer is asked again only if no other is ahead.
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

    fn push_due(&mut self, link: LinkId, now: Millis, transport: &mut impl Transport) {
        let options = self.options;
        let Some(partner) = self.partners.get_mut(&link) else {
            return;
        };
        let silent_for = partner.silent_for(now);
        if partner.in_flight.is_some() && silent_for <= options.answer_timeout {
            return;
        }
        let revision = self.shelf.revision();
        let is_urgent = partner.urgent && silent_for >= options.urgent_gap;
        if !is_urgent && silent_for < options.round {
            return;
        }
        let update =
            collect(&self.acks, &self.load, &self.demand, partner, revision, now, &options);
        let tells_revision = revision > partner.revision.max(partner.told_revision);
        let has_sections =
            !(update.acks.is_empty() && update.load.is_empty() && update.demand.is_empty());
        if !has_sections && !tells_revision && silent_for < options.heartbeat {
            partner.urgent = false;
            return;
        }
        self.last_seq += 1;
        let update = Arc::new(update);
        partner.urgent = false;
        partner.sent_at = Some(now);
        partner.in_flight = Some((self.last_seq, Arc::clone(&update)));
        transport.send(link, Message::Update { seq: self.last_seq, update });
    }

    fn write_due_load(&mut self, now: Millis) {
        let Some(section) = &self.next_load else {
            return;
        };
        let options = &self.options;
        let (count, degree) = (self.announced.len().max(1), options.partners.degree());
        let (bytes, budget) = (section.wire_bytes(), options.load_bytes_per_s);
        let hops = hops_within(count, degree, bytes, budget, options.load_interval);
        let gap = spacing(reach(count, degree, hops), degree, bytes, budget);
        if !is_due(self.load_written_at, gap.max(options.load_interval), now) {
            return;
        }
        self.load.set_max_hops(hops);
        self.load_written_at = Some(now);
        if let Some(section) = self.next_load.take() {
            self.load.write(&self.me, section, now);
        }
    }

    fn write_due_demand(&mut self, now: Millis) {
        let Some(section) = &self.next_demand else {
            return;
        };
        let options = &self.options;
        let count = self.announced.len().max(1);
        let bytes = section.wire_bytes();
        let gap = spacing(count, options.partners.degree(), bytes, options.demand_bytes_per_s);
        if !is_due(self.demand_written_at, gap.max(options.demand_interval), now) {
            return;
        }
        self.demand_written_at = Some(now);
        if let Some(section) = self.next_demand.take() {
            self.demand.write(&self.me, section, now);
        }
    }
}

fn is_due(written_at: Option<Millis>, gap: Millis, now: Millis) -> bool {
    written_at.is_none_or(|written_at| now - written_at >= gap)
}

/// Collects what a partner does not know yet, the urgent first, up to the size limit.
fn collect(
    acks: &Board<AckSection>,
    load: &Board<LoadSection>,
    demand: &Board<DemandSection>,
    partner: &Partner,
    revision: Revision,
    now: Millis,
    options: &GossipOptions,
) -> Update {
    let mut room = options.max_update_bytes;
    Update {
        revision,
        acks: fit(acks.news_for(&partner.known.acks, now), &mut room),
        load: fit(load.news_for(&partner.known.load, now), &mut room),
        demand: fit(demand.news_for(&partner.known.demand, now), &mut room),
    }
}

fn fit<T: Section>(items: impl Iterator<Item = Item<T>>, room: &mut usize) -> Vec<Item<T>> {
    let mut fitting = Vec::new();
    for item in items {
        if *room == 0 {
            break;
        }
        *room = room.saturating_sub(item.body.wire_bytes());
        fitting.push(item);
    }
    fitting
}
