//! Exchanges updates between availability zones, through one leader of each zone.
//!
//! Load profile: hundreds of instances in several availability zones, where traffic between zones
//! is expensive. If each instance sent to each, gossip would be a large part of that traffic. So
//! the leader of each zone collects the updates of its zone and sends them to the leaders of the
//! other zones, which send them to their own zones.

use std::collections::HashMap;
use std::net::SocketAddr;

use anvilhook_core::units::{Clock, Millis};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;

use super::Peers;
use super::account_work::{send_excesses, zone_account_work};
use super::cache_updates::CacheUpdates;
use super::digests::{Digest, EngineLoad, Scope, apply, near_loads};
use super::notices::Notice;
use super::publishing::{send, some_of};
use super::suspects::MAX_SUSPECTS;
use super::usages::zone_usage;
use crate::relay::Gateway;
use crate::suspects::SuspectUpdate;
use crate::wires::Wire;

/// The number of ticks between updates to other zones. Less frequent updates are too old to place
/// requests by, and more frequent ones use bandwidth at each tick.
const ZONE_TICKS: u32 = 2;

/// The maximum number of rounds that are skipped while there are no updates. Other zones must know
/// that the leader runs.
const MAX_SKIPPED_ROUNDS: u32 = 4;

/// The number of rounds between publications of usage.
const USAGE_ROUNDS: u32 = 5;

/// The number of rounds between publications of the work of client accounts.
const ACCOUNT_WORK_ROUNDS: u32 = 2;

/// How long a notice is repeated, so that it survives the loss of a datagram.
const NOTICE_AGE: Millis = Millis(300);

/// How long the last known leader of a zone is assumed to lead it.
const LEADER_MAX_AGE: Millis = Millis(1_500);

/// The number of instances of a zone that receive updates if its leader is unknown.
const GUESSED_LEADERS: usize = 2;

/// The maximum number of digests with cached prompts in one round.
const MAX_CACHED_DIGESTS: usize = 4;

/// `ZoneLink` exchanges updates with other availability zones while this instance is the leader of
/// its own.
pub(super) struct ZoneLink {
    rng: ChaCha8Rng,
    own: SocketAddr,
    far: HashMap<u32, FarZone>,
    /// The updates from this zone to others, and from other zones to this one.
    outgoing: PendingUpdates,
    incoming: PendingUpdates,
    ticks: u32,
    skipped_rounds: u32,
    had_far_loads: bool,
}

/// `FarZone` is another availability zone.
struct FarZone {
    /// The leader of the zone.
    leader: SocketAddr,
    received_at: Millis,
    loads: Vec<EngineLoad>,
}

impl FarZone {
    fn led_by(leader: SocketAddr) -> Self {
        Self { leader, received_at: Millis::ZERO, loads: Vec::new() }
    }
}

/// `PendingUpdates` collects updates that are to be forwarded.
#[derive(Default)]
struct PendingUpdates {
    cached: CacheUpdates,
    notices: Vec<(Millis, Notice)>,
    suspects: Vec<(Millis, SuspectUpdate)>,
}

impl PendingUpdates {
    fn collect(&mut self, digest: &Digest, now: Millis) {
        digest.cached.iter().for_each(|cached| self.cached.add(cached));
        for notice in &digest.notices {
            if !self.notices.iter().any(|(_, known)| known.is_same(notice)) {
                self.notices.push((now, notice.clone()));
            }
        }
        for update in &digest.suspects {
            if self.suspects.iter().any(|(_, known)| known.is_same(update)) {
                continue;
            }
            // The oldest one has been forwarded most often.
            if self.suspects.len() >= MAX_SUSPECTS {
                self.suspects.remove(0);
            }
            self.suspects.push((now, update.clone()));
        }
    }

    /// Returns the suspect updates that are still repeated.
    fn suspects(&mut self, now: Millis) -> Vec<SuspectUpdate> {
        self.suspects.retain(|(received_at, _)| *received_at + NOTICE_AGE > now);
        self.suspects.iter().map(|(received_at, update)| update.after(now - *received_at)).collect()
    }

    /// Returns the notices that are still repeated.
    fn notices(&mut self, now: Millis) -> Vec<Notice> {
        self.notices.retain(|(received_at, _)| *received_at + NOTICE_AGE > now);
        self.notices.iter().map(|(received_at, notice)| notice.after(now - *received_at)).collect()
    }

    /// Takes the cached prompts. Returns the digests that carry them, and one digest with
    /// everything else, including `loads`.
    fn digests(
        &mut self,
        scope: Scope,
        loads: Vec<EngineLoad>,
        peers: &Peers,
        now: Millis,
    ) -> (Vec<Digest>, Digest) {
        let pieces = self.cached.take(MAX_CACHED_DIGESTS, now).into_iter();
        let of_piece = |cached| Digest { scope, cached, ..Digest::partial(peers, now) };
        let (notices, suspects) = (self.notices(now), self.suspects(now));
        (
            pieces.map(of_piece).collect(),
            Digest { scope, loads, notices, suspects, ..Digest::from(peers, now) },
        )
    }
}

impl ZoneLink {
    /// Creates a link that knows no other zone. `own` is this instance's address.
    pub fn new(rng: ChaCha8Rng, own: SocketAddr) -> Self {
        Self {
            rng,
            own,
            far: HashMap::new(),
            outgoing: PendingUpdates::default(),
            incoming: PendingUpdates::default(),
            ticks: 0,
            skipped_rounds: 0,
            had_far_loads: false,
        }
    }

    /// Collects the updates in a digest of this instance or of another one in its zone.
    pub fn collect(&mut self, digest: &Digest, now: Millis) {
        self.outgoing.collect(digest, now);
    }

    /// Records a digest of another zone. If this instance is not the leader, it forwards the digest
    /// to the leader.
    pub fn receive<W: Wire, C: Clock>(
        &mut self,
        digest: &Digest,
        leader: SocketAddr,
        from: SocketAddr,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        let peers = gateway.peers();
        peers.record_zone_leader(digest.zone, now);
        let far = self.far.entry(digest.zone).or_insert_with(|| FarZone::led_by(leader));
        (far.leader, far.received_at) = (leader, now);
        if !digest.is_partial {
            far.loads.clone_from(&digest.loads);
        }
        match peers.zone_leader(now) {
            None => self.incoming.collect(digest, now),
            // Forwarded only once: a digest that did not come directly from its sender has been
            // forwarded.
            Some(own_leader) if from == leader => send(digest, &[own_leader], socket, gateway),
            Some(_) => {}
        }
    }

    /// Publishes pending updates if the interval has passed and this instance is the zone leader.
    pub fn tick<W: Wire, C: Clock>(
        &mut self,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        let peers = gateway.peers();
        if peers.is_full_mesh() || peers.zone_leader(now).is_some() {
            (self.outgoing, self.incoming) = (PendingUpdates::default(), PendingUpdates::default());
            return;
        }
        self.ticks += 1;
        if self.ticks.is_multiple_of(ZONE_TICKS) {
            self.publish_to_zones(socket, gateway, now);
            if self.ticks.is_multiple_of(ZONE_TICKS * USAGE_ROUNDS) {
                self.publish_usage(socket, gateway, now);
            }
            if self.ticks.is_multiple_of(ZONE_TICKS * ACCOUNT_WORK_ROUNDS) {
                self.publish_account_work(socket, gateway, now);
            }
            self.publish_to_own_zone(socket, gateway, now);
        }
    }

    fn publish_to_zones<W: Wire, C: Clock>(
        &mut self,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        let peers = gateway.peers();
        let (scope, loads) = (Scope::Zone(self.own), near_loads(gateway, now));
        let (cached, digest) = self.outgoing.digests(scope, loads, peers, now);
        let has_findings = !digest.notices.is_empty() || !digest.suspects.is_empty();
        let has_updates = !digest.loads.is_empty() || !cached.is_empty() || has_findings;
        if !has_updates && self.skipped_rounds < MAX_SKIPPED_ROUNDS {
            self.skipped_rounds += 1;
            return;
        }
        self.skipped_rounds = 0;
        for zone in peers.far_zones() {
            let addresses = self.leaders_of(zone, peers, now);
            for digest in cached.iter().chain([&digest]) {
                send(digest, &addresses, socket, gateway);
            }
        }
    }

    /// Sends the request counts of this zone's client accounts to other zones.
    fn publish_usage<W: Wire, C: Clock>(
        &mut self,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        let peers = gateway.peers();
        let digests = zone_usage(gateway, Scope::Zone(self.own), now);
        for zone in peers.far_zones() {
            let addresses = self.leaders_of(zone, peers, now);
            for digest in &digests {
                send(digest, &addresses, socket, gateway);
            }
        }
    }

    /// Sends the work of this zone's client accounts to other zones, and the accounts above their shares to the
    /// instances of this one.
    fn publish_account_work<W: Wire, C: Clock>(
        &mut self,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        let peers = gateway.peers();
        let digests = zone_account_work(gateway, Scope::Zone(self.own), now);
        for zone in peers.far_zones() {
            let addresses = self.leaders_of(zone, peers, now);
            for digest in &digests {
                send(digest, &addresses, socket, gateway);
            }
        }
        send_excesses(&peers.zone_peers(now), socket, gateway, now);
    }

    /// Returns the address of a zone's leader, or of a few instances of the zone if it is unknown.
    fn leaders_of(&mut self, zone: u32, peers: &Peers, now: Millis) -> Vec<SocketAddr> {
        match self.far.get(&zone).filter(|far| far.received_at + LEADER_MAX_AGE > now) {
            Some(far) => vec![far.leader],
            None => some_of(peers.instances_of(zone), GUESSED_LEADERS, &mut self.rng),
        }
    }

    fn publish_to_own_zone<W: Wire, C: Clock>(
        &mut self,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        let peers = gateway.peers();
        let loads = self.far_loads(now);
        let (cached, digest) = self.incoming.digests(Scope::Far, loads, peers, now);
        let zone_peers = peers.zone_peers(now);
        for digest in cached {
            send(&digest, &zone_peers, socket, gateway);
            apply(&digest, self.own, gateway, now);
        }
        let has_loads = !digest.loads.is_empty();
        let has_updates = has_loads || !digest.notices.is_empty() || !digest.suspects.is_empty();
        if !has_updates && !self.had_far_loads {
            return;
        }
        self.had_far_loads = has_loads;
        send(&digest, &zone_peers, socket, gateway);
        apply(&digest, self.own, gateway, now);
    }

    /// Returns the total loads of all other zones.
    fn far_loads(&self, now: Millis) -> Vec<EngineLoad> {
        let mut loads: HashMap<u32, EngineLoad> = HashMap::new();
        let current = self.far.values().filter(|far| far.received_at + LEADER_MAX_AGE > now);
        for load in current.flat_map(|far| &far.loads) {
            let sum = loads.entry(load.engine).or_insert_with(|| EngineLoad::none_at(load.engine));
            sum.add(load);
        }
        loads.into_values().collect()
    }
}
