//! News between availability zones, which one instance of each tells.
//!
//! The load that this answers: hundreds of instances in several availability zones, where bytes between
//! zones are dear. If each told each, such news would be a large part of what crosses. So one instance
//! of each zone gathers what the zone has to tell, and tells one instance of each other zone, which
//! tells its own.

use std::collections::HashMap;
use std::net::SocketAddr;

use anvilhook_core::units::{Clock, Millis};
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;

use super::Peers;
use super::digests::{Digest, EngineLoad, Scope, near_loads, take_in};
use super::gathering::CacheUpdates;
use super::notices::Notice;
use super::suspects::MAX_SUSPECTS;
use super::telling::{send, some_of};
use super::usages::zone_usage;
use crate::relay::Gateway;
use crate::suspects::SuspectUpdate;
use crate::wires::Wire;

/// After how many ticks zones are told: what is told less often is too old to place requests by, and
/// what is told more often costs bytes for each tick.
const ZONE_TICKS: u32 = 2;

/// How many tellings are left out at most while there is nothing to tell. An instance that tells for its
/// zone must be known to run.
const MAX_SILENT_TELLINGS: u32 = 4;

/// After how many tellings zones are told of usage.
const USAGE_TELLINGS: u32 = 5;

/// How long a notice is told on, so that one lost datagram does not lose it.
const NOTICE_AGE: Millis = Millis(300);

/// How long an instance that has told for its zone is taken to do so.
const TELLER_AGE: Millis = Millis(1_500);

/// How many instances of a zone are told if none is known to tell for it.
const GUESSED_TELLERS: usize = 2;

/// The most digests at a time that tell what engines have read.
const MAX_CACHED_DIGESTS: usize = 4;

/// `ZoneLink` is what this instance tells other availability zones, and its own of them, if it is the one
/// to do so.
pub(super) struct ZoneLink {
    rng: ChaCha8Rng,
    own: SocketAddr,
    far: HashMap<u32, FarZone>,
    /// What its own zone has to tell, and what other zones have told.
    outgoing: News,
    incoming: News,
    ticks: u32,
    silent: u32,
    had_far_loads: bool,
}

/// `FarZone` is another availability zone.
struct FarZone {
    /// The instance that tells for it.
    teller: SocketAddr,
    heard_at: Millis,
    loads: Vec<EngineLoad>,
}

impl FarZone {
    fn told_by(teller: SocketAddr) -> Self {
        Self { teller, heard_at: Millis::ZERO, loads: Vec::new() }
    }
}

/// `News` is what is to be told on.
#[derive(Default)]
struct News {
    cached: CacheUpdates,
    notices: Vec<(Millis, Notice)>,
    suspects: Vec<(Millis, SuspectUpdate)>,
}

impl News {
    fn collect(&mut self, digest: &Digest, now: Millis) {
        digest.cached.iter().for_each(|cached| self.cached.add(cached));
        for notice in &digest.notices {
            if !self.notices.iter().any(|(_, known)| known.is_same(notice)) {
                self.notices.push((now, notice.clone()));
            }
        }
        for news in &digest.suspects {
            let is_new = !self.suspects.iter().any(|(_, known)| known.is_same(news));
            if is_new && self.suspects.len() < MAX_SUSPECTS {
                self.suspects.push((now, news.clone()));
            }
        }
    }

    /// Returns the suspects that are still told of.
    fn suspects(&mut self, now: Millis) -> Vec<SuspectUpdate> {
        self.suspects.retain(|(heard_at, _)| *heard_at + NOTICE_AGE > now);
        self.suspects.iter().map(|(heard_at, news)| news.after(now - *heard_at)).collect()
    }

    /// Returns the notices that are still told.
    fn notices(&mut self, now: Millis) -> Vec<Notice> {
        self.notices.retain(|(heard_at, _)| *heard_at + NOTICE_AGE > now);
        self.notices.iter().map(|(heard_at, notice)| notice.after(now - *heard_at)).collect()
    }

    /// Takes the prompts to be told of, as many digests as they need, and returns those and the digest
    /// of all else, in which `loads` goes.
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
    /// Makes a link that knows of no other zone. `own` is this instance's address.
    pub fn new(rng: ChaCha8Rng, own: SocketAddr) -> Self {
        Self {
            rng,
            own,
            far: HashMap::new(),
            outgoing: News::default(),
            incoming: News::default(),
            ticks: 0,
            silent: 0,
            had_far_loads: false,
        }
    }

    /// Notes what an instance of the own zone tells, or this one.
    pub fn collect(&mut self, digest: &Digest, now: Millis) {
        self.outgoing.collect(digest, now);
    }

    /// Takes in what another zone tells, or passes it to the instance that should have been told.
    pub fn hear<W: Wire, C: Clock>(
        &mut self,
        digest: &Digest,
        teller: SocketAddr,
        from: SocketAddr,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        let peers = gateway.peers();
        peers.hear_zone(digest.zone, now);
        let far = self.far.entry(digest.zone).or_insert_with(|| FarZone::told_by(teller));
        (far.teller, far.heard_at) = (teller, now);
        if !digest.is_partial {
            far.loads.clone_from(&digest.loads);
        }
        match peers.zone_teller(now) {
            None => self.incoming.collect(digest, now),
            // Passed on once: what came from an instance of the own zone has been.
            Some(own) if from == teller => send(digest, &[own], socket, gateway),
            Some(_) => {}
        }
    }

    /// Tells what there is to tell, if it is time and this instance's part.
    pub fn tick<W: Wire, C: Clock>(
        &mut self,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        let peers = gateway.peers();
        if peers.is_full_mesh() || peers.zone_teller(now).is_some() {
            (self.outgoing, self.incoming) = (News::default(), News::default());
            return;
        }
        self.ticks += 1;
        if self.ticks.is_multiple_of(ZONE_TICKS) {
            self.tell_zones(socket, gateway, now);
            if self.ticks.is_multiple_of(ZONE_TICKS * USAGE_TELLINGS) {
                self.tell_usage(socket, gateway, now);
            }
            self.tell_own_zone(socket, gateway, now);
        }
    }

    fn tell_zones<W: Wire, C: Clock>(
        &mut self,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        let peers = gateway.peers();
        let (scope, loads) = (Scope::Zone(self.own), near_loads(gateway, now));
        let (cached, digest) = self.outgoing.digests(scope, loads, peers, now);
        let has_findings = !digest.notices.is_empty() || !digest.suspects.is_empty();
        let has_news = !digest.loads.is_empty() || !cached.is_empty() || has_findings;
        if !has_news && self.silent < MAX_SILENT_TELLINGS {
            self.silent += 1;
            return;
        }
        self.silent = 0;
        for zone in peers.far_zones() {
            let addresses = self.tellers_of(zone, peers, now);
            for digest in cached.iter().chain([&digest]) {
                send(digest, &addresses, socket, gateway);
            }
        }
    }

    /// Tells other zones how many requests of client accounts this one has counted.
    fn tell_usage<W: Wire, C: Clock>(
        &mut self,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        let peers = gateway.peers();
        let digests = zone_usage(gateway, Scope::Zone(self.own), now);
        for zone in peers.far_zones() {
            let addresses = self.tellers_of(zone, peers, now);
            for digest in &digests {
                send(digest, &addresses, socket, gateway);
            }
        }
    }

    /// Returns the address of the instance that tells for a zone, or of some that may.
    fn tellers_of(&mut self, zone: u32, peers: &Peers, now: Millis) -> Vec<SocketAddr> {
        match self.far.get(&zone).filter(|far| far.heard_at + TELLER_AGE > now) {
            Some(far) => vec![far.teller],
            None => some_of(peers.instances_of(zone), GUESSED_TELLERS, &mut self.rng),
        }
    }

    fn tell_own_zone<W: Wire, C: Clock>(
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
            take_in(&digest, self.own, gateway, now);
        }
        let has_loads = !digest.loads.is_empty();
        let has_news = has_loads || !digest.notices.is_empty() || !digest.suspects.is_empty();
        if !has_news && !self.had_far_loads {
            return;
        }
        self.had_far_loads = has_loads;
        send(&digest, &zone_peers, socket, gateway);
        take_in(&digest, self.own, gateway, now);
    }

    /// Returns what all other zones together have in flight.
    fn far_loads(&self, now: Millis) -> Vec<EngineLoad> {
        let mut loads: HashMap<u32, EngineLoad> = HashMap::new();
        let current = self.far.values().filter(|far| far.heard_at + TELLER_AGE > now);
        for load in current.flat_map(|far| &far.loads) {
            let sum = loads.entry(load.engine).or_insert_with(|| EngineLoad::none_at(load.engine));
            sum.add(load);
        }
        loads.into_values().collect()
    }
}
