//! Tests of the gossip node over a simulated network that drops, delays, repeats and reorders
//! messages.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use anvilhook_core::names::InstanceName;
use anvilhook_core::orders::Term;
use anvilhook_core::resources::{AccountSpec, Configuration, Resource, Spec};
use anvilhook_core::units::{Millis, Revision, Tokens};
use anvilhook_peer::gossip::{
    AccountDigest, AckSection, DemandSection, DrainAck, EngineDigest, GossipNode, GossipOptions,
    LinkId, LoadSection, Message, TermAck, Transport,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NODES: usize = 9;
const STEP: Millis = Millis(50);
const MAX_DELAY: Millis = Millis(4_000);

/// `Faults` holds the probabilities of network faults.
#[derive(Clone, Copy, Debug, Default)]
struct Faults {
    drop: f64,
    delay: f64,
    repeat: f64,
    /// The probability that a step replaces one link with a new one.
    reconnect: f64,
}

/// `Outbox` collects the messages that a node sends.
#[derive(Default)]
struct Outbox(Vec<(LinkId, Message)>);

impl Transport for Outbox {
    fn send(&mut self, link: LinkId, message: Message) {
        self.0.push((link, message));
    }
}

struct Delivery {
    due: Millis,
    to: usize,
    link: LinkId,
    message: Message,
}

/// `Written` holds the newest values that have actually been written.
#[derive(Default)]
struct Written {
    revision: u64,
    generations: [u64; NODES],
    terms: [u64; NODES],
    loads: u32,
}

/// `Seen` holds the highest revision that a node has seen, and the highest generation and term by
/// origin.
#[derive(Clone, Default)]
struct Seen {
    revision: Revision,
    acks: BTreeMap<InstanceName, (u64, u64)>,
}

struct Network {
    nodes: Vec<GossipNode>,
    links: BTreeMap<LinkId, (usize, usize)>,
    deliveries: Vec<Delivery>,
    rng: ChaCha8Rng,
    now: Millis,
    last_link: u64,
    written: Written,
    seen: Vec<Seen>,
}

fn name(at: usize) -> InstanceName {
    format!("entry-{at}").parse().unwrap()
}

fn index(name: &InstanceName) -> usize {
    name.as_str()["entry-".len()..].parse().unwrap()
}

fn engine() -> anvilhook_core::names::UpstreamName {
    "engine-1".parse().unwrap()
}

/// Creates the configuration of a revision, whose resources differ from those of the previous one.
fn configuration(revision: u64) -> Configuration {
    let resource = |number: u64| Resource {
        name: format!("account-{number}").parse().unwrap(),
        version: Revision(number),
        spec: Spec::Account(AccountSpec {
            token_sha256: Vec::new(),
            requests_per_s: number as u32,
            open_requests: 1,
        }),
        status: Vec::new(),
    };
    Configuration::new(Revision(revision), (revision.saturating_sub(3)..=revision).map(resource))
}

impl Network {
    /// Creates a network whose nodes are connected in a ring with chords.
    fn new(seed: u64) -> Self {
        let all: BTreeSet<InstanceName> = (0..NODES).map(name).collect();
        let node = |at: usize| {
            let mut node = GossipNode::new(name(at), GossipOptions::default());
            node.set_announced(all.clone());
            node
        };
        let mut network = Self {
            nodes: (0..NODES).map(node).collect(),
            links: BTreeMap::new(),
            deliveries: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Millis::ZERO,
            last_link: 0,
            written: Written::default(),
            seen: vec![Seen::default(); NODES],
        };
        for at in 0..NODES {
            network.connect(at, (at + 1) % NODES);
            network.connect(at, (at + 3) % NODES);
        }
        network
    }

    fn connect(&mut self, a: usize, b: usize) {
        self.last_link += 1;
        let link = LinkId(self.last_link);
        self.links.insert(link, (a, b));
        self.nodes[a].connect(link);
        self.nodes[b].connect(link);
    }

    fn enqueue(&mut self, from: usize, outbox: Outbox, faults: &Faults) {
        for (link, message) in outbox.0 {
            let Some(&(a, b)) = self.links.get(&link) else {
                continue;
            };
            let to = if from == a { b } else { a };
            let copies = if self.rng.random_bool(faults.repeat) { 2 } else { 1 };
            for _ in 0..copies {
                if self.rng.random_bool(faults.drop) {
                    continue;
                }
                let is_late = self.rng.random_bool(faults.delay);
                let delay = if is_late { self.rng.random_range(0..MAX_DELAY.0) } else { 1 };
                let due = self.now + Millis(delay);
                self.deliveries.push(Delivery { due, to, link, message: message.clone() });
            }
        }
    }

    fn step(&mut self, faults: &Faults) {
        self.now += STEP;
        if self.rng.random_bool(faults.reconnect) {
            let at = self.rng.random_range(0..self.links.len());
            let (&link, &(a, b)) = self.links.iter().nth(at).unwrap();
            self.links.remove(&link);
            self.nodes[a].disconnect(link);
            self.nodes[b].disconnect(link);
            self.connect(a, b);
        }
        let now = self.now;
        let due: Vec<Delivery> =
            self.deliveries.extract_if(.., |delivery| delivery.due <= now).collect();
        for Delivery { to, link, message, .. } in due {
            let mut outbox = Outbox::default();
            self.nodes[to].receive(link, message, now, &mut outbox).unwrap();
            self.enqueue(to, outbox, faults);
            self.check(to);
        }
        for at in 0..NODES {
            let mut outbox = Outbox::default();
            self.nodes[at].tick(now, &mut outbox);
            self.enqueue(at, outbox, faults);
            self.check(at);
        }
    }

    /// Writes something new on a random node.
    fn write(&mut self) {
        let at = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..5) {
            0 => {
                // A lagging follower publishes a configuration that has long been replaced.
                let old = Arc::new(configuration(self.written.revision / 2));
                self.nodes[at].offer_configuration(old);
            }
            1 => {
                self.written.revision += 1;
                let newest = Arc::new(configuration(self.written.revision));
                self.nodes[at].offer_configuration(newest);
            }
            2 => self.write_acks(at),
            _ => {
                self.written.loads += 1;
                self.nodes[at].write_load(load(self.written.loads));
            }
        }
    }

    fn write_acks(&mut self, at: usize) {
        self.written.generations[at] += self.rng.random_range(1..3);
        self.written.terms[at] += 1;
        let section = AckSection {
            drains: vec![DrainAck {
                pool: "pool-a".parse().unwrap(),
                engine: engine(),
                generation: self.written.generations[at],
            }],
            terms: vec![TermAck {
                pool: "pool-a".parse().unwrap(),
                term: Term(self.written.terms[at]),
                holder: name(at),
            }],
        };
        self.nodes[at].write_acks(section, self.now);
    }

    /// Checks that a node's state has not reverted and contains only values that were written.
    fn check(&mut self, at: usize) {
        let node = &self.nodes[at];
        let Seen { revision, acks } = &mut self.seen[at];
        let newest = node.configuration().map_or(Revision(0), |newest| newest.revision());
        assert!(newest >= *revision, "{at}: the configuration reverted to {newest}");
        assert!(newest.0 <= self.written.revision);
        if newest > *revision {
            assert_eq!(**node.configuration().unwrap(), configuration(newest.0));
        }
        *revision = newest;
        for (origin, received) in node.acks() {
            let generation = received.body.drains[0].generation;
            let term = received.body.term(&"pool-a".parse().unwrap()).unwrap().0;
            let last = acks.entry(origin.clone()).or_default();
            assert!((generation, term) >= *last, "{at}: {origin}'s acknowledgement reverted");
            assert!(generation <= self.written.generations[index(&origin)]);
            assert!(received.body.has_drained(&engine(), generation));
            assert!(!received.body.has_drained(&engine(), generation + 1));
            *last = (generation, term);
        }
        let options = GossipOptions::default();
        let loads = node.load();
        assert!(loads.values().all(|received| received.age_at(self.now) <= options.load_max_age));
    }
}

fn load(requests: u32) -> LoadSection {
    LoadSection {
        engines: vec![EngineDigest {
            engine: engine(),
            boot: 1,
            seq: 1,
            requests,
            prefill: Tokens(0),
            decode: Tokens(0),
        }],
        reports: Vec::new(),
    }
}

#[test]
fn verify_faulty_delivery_never_reverts_state() {
    // Guards against an instance that reverts to an older configuration, and an order that is given
    // because of an outdated acknowledgement. Updates, confirmations, pulls and transfers are
    // dropped, delayed by up to 4 s, repeated and reordered, and links are replaced meanwhile. The
    // failure occurs if updates are merged in order of arrival instead of by their numbers.
    let none = Faults::default();
    let all = Faults { drop: 0.3, delay: 0.3, repeat: 0.2, reconnect: 0.02 };
    let cases = [
        ("none", none),
        ("drop", Faults { drop: 0.5, ..none }),
        ("delay and reorder", Faults { delay: 0.5, ..none }),
        ("repeat", Faults { repeat: 0.5, delay: 0.5, ..none }),
        ("reconnect", Faults { reconnect: 0.2, delay: 0.3, ..none }),
        ("all", all),
    ];
    for (case, faults) in cases {
        for seed in 0..4 {
            // Arrange.
            let mut network = Network::new(seed);

            // Act: the checks run after every message.
            for round in 0..400 {
                if round % 5 == 0 {
                    network.write();
                }
                network.step(&faults);
            }
            for at in 0..NODES {
                network.write_acks(at);
            }
            for _ in 0..200 {
                network.step(&none);
            }

            // Assert: once messages are delivered again, all nodes converge.
            for node in &network.nodes {
                let newest = node.configuration().unwrap();
                assert_eq!(newest.revision().0, network.written.revision, "{case} {seed}");
                for (origin, received) in node.acks() {
                    let generation = network.written.generations[index(&origin)];
                    assert!(received.body.has_drained(&engine(), generation), "{case} {seed}");
                }
                assert_eq!(node.acks().len(), NODES - 1, "{case} {seed}");
                // All load sections written before have expired on every node.
                assert!(node.load().is_empty(), "{case} {seed}");
            }
        }
    }
}

#[test]
fn verify_late_load_section_is_ignored() {
    // Guards against work sent long ago that counts as just sent. A section is written, a later one
    // expires, then the first arrives late. The failure occurs if the number of a section is removed
    // together with the section.

    // Arrange.
    let mut network = Network::new(1);
    let none = Faults::default();
    network.nodes[0].write_load(load(1));
    let mut outbox = Outbox::default();
    network.nodes[0].tick(Millis(50), &mut outbox);
    let (link, late) = outbox
        .0
        .into_iter()
        .find(|(link, _)| network.links[link] == (0, 1))
        .expect("an update to node 1");
    network.now = Millis(2_000);
    network.nodes[0].write_load(load(2));
    network.step(&none);
    while network.nodes[1].load().is_empty() {
        network.step(&none);
    }
    while !network.nodes[1].load().is_empty() {
        network.step(&none);
    }

    // Act.
    let mut outbox = Outbox::default();
    network.nodes[1].receive(link, late, network.now, &mut outbox).unwrap();

    // Assert.
    assert!(network.nodes[1].load().is_empty());
}

#[test]
fn verify_sections_of_removed_instances_expire() {
    // Arrange.
    let options = GossipOptions::default();
    let mut node = GossipNode::new(name(0), options);
    let mut other = GossipNode::new(name(1), options);
    let link = LinkId(1);
    node.connect(link);
    other.connect(link);
    node.set_announced([name(1)].into());
    other.write_acks(AckSection::default(), Millis::ZERO);
    let mut outbox = Outbox::default();
    other.tick(Millis(1), &mut outbox);
    for (_, message) in outbox.0 {
        node.receive(link, message, Millis(1), &mut Outbox::default()).unwrap();
    }
    assert_eq!(node.acks().len(), 1);
    let later = options.retention + options.retention;

    // Act and assert: the section is retained only while the other instance is announced.
    node.tick(later, &mut Outbox::default());
    assert_eq!(node.acks().len(), 1);
    node.set_announced(BTreeSet::new());
    node.tick(later, &mut Outbox::default());
    assert!(node.acks().is_empty());
}

#[test]
fn verify_own_section_numbers_survive_retention() {
    // Guards against a long drain that waits forever for one instance's acknowledgement. The
    // instance is missing from its own list of announced instances and acknowledges again after more
    // than the retention time. The failure occurs if it removes its own section and restarts the
    // numbers, because its partners then ignore the next section as old.

    // Arrange.
    let options = GossipOptions::default();
    let mut node = GossipNode::new(name(0), options);
    let mut other = GossipNode::new(name(1), options);
    node.set_announced([name(1)].into());
    other.set_announced([name(0)].into());
    let link = LinkId(1);
    node.connect(link);
    other.connect(link);
    let mut send_ack = |node: &mut GossipNode, generation: u64, now: Millis| {
        let drain = DrainAck { pool: "pool-a".parse().unwrap(), engine: engine(), generation };
        node.write_acks(AckSection { drains: vec![drain], terms: Vec::new() }, now);
        let mut outbox = Outbox::default();
        node.tick(now, &mut outbox);
        for (_, message) in outbox.0 {
            other.receive(link, message, now, &mut Outbox::default()).unwrap();
        }
        other.acks()[&name(0)].body.has_drained(&engine(), generation)
    };
    assert!(send_ack(&mut node, 1, Millis(1)));
    let later = options.retention + options.retention;

    // Act.
    node.tick(later, &mut Outbox::default());
    let is_received = send_ack(&mut node, 2, later + options.answer_timeout + Millis(1));

    // Assert.
    assert!(is_received);
}

#[test]
fn verify_demand_is_published_only_while_it_stays_fresh() {
    // Announced instances, accounts in a section, whether the section is published.
    let cases = [(9, 16, true), (32, 16, true), (33, 16, false), (88, 4, true), (390, 4, false)];
    for (instances, accounts, is_published) in cases {
        // Arrange.
        let mut node = GossipNode::new(name(0), GossipOptions::default());
        node.set_announced((0..instances).map(name).collect());
        node.connect(LinkId(1));
        let account = |at: usize| AccountDigest {
            account: format!("account-{at}").parse().unwrap(),
            requests_per_s: 1.0,
            open_requests: 1,
        };
        let accounts = (0..accounts).map(account).collect();

        // Act.
        node.write_demand(DemandSection { hears_all: true, accounts });
        let mut outbox = Outbox::default();
        node.tick(Millis(1), &mut outbox);

        // Assert.
        let Message::Update { update, .. } = &outbox.0[0].1 else {
            panic!("the first message is not an update")
        };
        assert_eq!(!update.demand.is_empty(), is_published, "{instances} instances");
    }
}
