//! Digests: what one instance tells another, and what is taken in of it.

use std::net::SocketAddr;
use std::sync::Arc;

use anvilhook_core::units::{Clock, Millis};
use serde::{Deserialize, Serialize};

use super::members::Peers;
use super::notices::{Notice, own_findings, take_in_notices};
use super::rows::RowsPiece;
use super::suspects::{MAX_SUSPECTS, take_in_suspects};
use super::usages::take_in_usage;
use super::versions::FollowedTable;
use super::watches::WatchState;
use crate::hashes::hash_of;
use crate::loads::{PeerLoad, Work};
use crate::prompts::Part;
use crate::relay::Gateway;
use crate::speeds::EngineWork;
use crate::suspects::SuspectUpdate;
use crate::usage::UsageUpdate;
use crate::wires::Wire;

/// `EngineLoad` is what an instance has in flight at an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineLoad {
    /// The short form of the engine's id.
    pub engine: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Prompts being read, in milliseconds of work.
    pub reading_ms: u32,
    /// KV caches being fetched, in milliseconds of the engine's link.
    pub fetching_ms: u32,
}

impl EngineLoad {
    /// Returns the load of an engine at which nothing is in flight.
    pub(super) fn none_at(engine: u32) -> Self {
        Self { engine, in_flight: 0, reading_ms: 0, fetching_ms: 0 }
    }

    fn of(engine: u32, work: &Work) -> Self {
        let (reading_ms, fetching_ms) = (work.reading_ms as u32, work.fetching_ms as u32);
        Self { engine, in_flight: work.in_flight, reading_ms, fetching_ms }
    }

    /// Adds what others have in flight there.
    pub(super) fn add(&mut self, other: &EngineLoad) {
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.reading_ms = self.reading_ms.saturating_add(other.reading_ms);
        self.fetching_ms = self.fetching_ms.saturating_add(other.fetching_ms);
    }
}

/// `ServiceWork` is the work that a service's engines did for an instance since it started.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceWork {
    /// The short form of the service's name.
    pub service: u32,
    /// Reading, in milliseconds of an engine.
    pub reading_ms: u32,
    /// Generating, in milliseconds of an engine.
    pub generating_ms: u32,
}

/// `CachedPrompt` is a prompt that an engine now keeps.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachedPrompt {
    /// The short form of the engine's id.
    pub engine: u32,
    /// The prompt's parts that others may share, with their lengths in tokens.
    pub parts: Vec<(u64, u32)>,
    /// How many tokens it has beside.
    pub own_tokens: u32,
}

impl CachedPrompt {
    fn of(engine: u32, parts: &[Part]) -> Self {
        let (own, shared) = match parts {
            [shared @ .., own] if !shared.is_empty() => (own.tokens, shared),
            _ => (0, parts),
        };
        let parts = shared.iter().map(|part| (part.id, part.tokens)).collect();
        Self { engine, parts, own_tokens: own }
    }
}

/// `Scope` is whose loads a digest tells.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Scope {
    /// The sender's.
    #[default]
    Instance,
    /// Those of the sender's whole availability zone. The sender may not be who passes it on, and names
    /// its address.
    Zone(SocketAddr),
    /// Those of all other availability zones, told within one.
    Far,
}

/// `Digest` is what one instance tells another.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// The sender's process, a number of its own choice.
    pub from: u64,
    /// The engines at which it has something in flight.
    pub loads: Vec<EngineLoad>,
    /// Whether these are only those of which the load has changed since the digest before.
    pub is_delta: bool,
    /// What engines have read since the last digest.
    pub cached: Vec<CachedPrompt>,
    /// Whether it tells nothing of loads, but only of caches, rows, what is asked for, or who the sender
    /// is. Taken for a whole one, it would clear the loads that the sender told before.
    pub is_partial: bool,
    /// Whose loads it tells.
    pub scope: Scope,
    /// What the sender itself has found out of engines.
    pub notices: Vec<Notice>,
    /// What has become of requests under which engines may end.
    pub suspects: Vec<SuspectUpdate>,
    /// The work that engines did for the sender since it started, by service.
    pub work: Vec<ServiceWork>,
    /// The short form of the sender's availability zone.
    pub zone: u32,
    /// The sender's watch over each of [`FollowedTable::ALL`].
    pub watches: [WatchState; FollowedTable::ALL.len()],
    /// A part of changed rows of such a table.
    pub rows: Option<RowsPiece>,
    /// The usage of client accounts.
    pub usage: Option<UsageUpdate>,
    /// A table of which the sender asks for what has changed since a version.
    pub asks: Option<(FollowedTable, u64)>,
}

impl Digest {
    /// Makes a digest that tells only who sends it.
    pub(super) fn from(peers: &Peers, now: Millis) -> Self {
        Self {
            from: peers.number(),
            zone: peers.zone(),
            watches: FollowedTable::ALL.map(|table| peers.watch_of(table).state(now)),
            ..Self::default()
        }
    }

    /// Makes one that tells nothing of loads.
    pub(super) fn partial(peers: &Peers, now: Millis) -> Self {
        Self { is_partial: true, ..Self::from(peers, now) }
    }
}

/// Makes the digest of what this instance has in flight, and of what the peers don't know yet.
pub(super) fn digest<W: Wire, C: Clock>(gateway: &Gateway<W, C>, now: Millis) -> Digest {
    const MAX_CACHED: usize = 24;
    let view = gateway.fleet().view();
    let mut digest = Digest::from(gateway.peers(), now);
    for upstream in view.all() {
        let (engine, work) = (upstream.digest, upstream.state.own_work());
        // What a plain upstream has in flight elsewhere, its own answers tell.
        if work.in_flight > 0 && upstream.entry.role.is_some() {
            digest.loads.push(EngineLoad::of(engine, &work));
        }
        let findings = own_findings(upstream, now);
        digest.notices.extend(findings.map(|kind| Notice { engine, kind }));
    }
    digest.suspects = gateway.suspects().take_due(MAX_SUSPECTS, now);
    let told = |(service, work): (Arc<str>, EngineWork)| ServiceWork {
        service: hash_of(&*service) as u32,
        reading_ms: work.reading_ms as u32,
        generating_ms: work.generating_ms as u32,
    };
    digest.work = gateway.speeds().own_work().into_iter().map(told).collect();
    for (engine, parts) in gateway.take_cached(MAX_CACHED) {
        let Some(upstream) = view.get(&engine) else { continue };
        digest.cached.push(CachedPrompt::of(upstream.digest, &parts));
    }
    digest
}

/// Returns what all instances of the own availability zone have in flight, by what is believed. Of more
/// engines than fit into a digest those with the most work are told of.
pub(super) fn near_loads<W: Wire, C: Clock>(
    gateway: &Gateway<W, C>,
    now: Millis,
) -> Vec<EngineLoad> {
    const MAX_LOADS: usize = 100;
    let view = gateway.fleet().view();
    let engines = view.all().filter(|upstream| upstream.entry.role.is_some());
    let loads = engines.map(|one| EngineLoad::of(one.digest, &one.state.near_work(now)));
    let mut loads: Vec<_> = loads.filter(|load| load.in_flight > 0).collect();
    loads.sort_unstable_by_key(|load| std::cmp::Reverse((load.reading_ms, load.in_flight)));
    loads.truncate(MAX_LOADS);
    loads
}

/// The number under which the loads of all other availability zones are noted.
const FAR_NUMBER: u64 = u64::MAX;

/// Takes in what a peer tells.
pub(super) fn take_in<W: Wire, C: Clock>(
    digest: &Digest,
    from: SocketAddr,
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    gateway.peers().take_in_watches(digest, from, now);
    if !digest.is_partial {
        take_in_loads(digest, from, gateway, now);
    }
    take_in_notices(digest, gateway, now);
    take_in_suspects(digest, gateway, now);
    take_in_work(digest, gateway, now);
    take_in_usage(digest, gateway, now);
    take_in_cached(digest, gateway);
}

fn take_in_work<W: Wire, C: Clock>(digest: &Digest, gateway: &Gateway<W, C>, now: Millis) {
    let Some(config) = gateway.config() else { return };
    for told in &digest.work {
        let mut services = config.services();
        let known = services.find(|service| hash_of(&*service.name) as u32 == told.service);
        let Some(service) = known else { continue };
        let work = EngineWork {
            reading_ms: f64::from(told.reading_ms),
            generating_ms: f64::from(told.generating_ms),
        };
        gateway.speeds().merge_work(&service.name, digest.from, work, now);
    }
}

fn take_in_loads<W: Wire, C: Clock>(
    digest: &Digest,
    from: SocketAddr,
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    let view = gateway.fleet().view();
    let is_far = digest.scope == Scope::Far;
    let number = if is_far { FAR_NUMBER } else { digest.from };
    let busy = digest.loads.iter().map(|load| load.engine).collect();
    if digest.is_delta {
        gateway.peers().add_busy(from, busy);
    } else {
        let before = gateway.peers().replace_busy(from, is_far, busy);
        // Only the engines that are named, or were, change; there may be hundreds of others.
        let is_named = |engine| digest.loads.iter().any(|load| load.engine == engine);
        let ended = before.into_iter().filter(|engine| !is_named(*engine));
        for upstream in ended.filter_map(|engine| view.by_digest(engine)) {
            upstream.state.record_peer(number, PeerLoad { at: now, is_far, ..PeerLoad::default() });
        }
    }
    for load in &digest.loads {
        let Some(upstream) = view.by_digest(load.engine) else { continue };
        let work = Work {
            in_flight: load.in_flight,
            reading_ms: f64::from(load.reading_ms),
            fetching_ms: f64::from(load.fetching_ms),
        };
        upstream.state.record_peer(number, PeerLoad { work, at: now, is_far });
    }
}

fn take_in_cached<W: Wire, C: Clock>(digest: &Digest, gateway: &Gateway<W, C>) {
    let view = gateway.fleet().view();
    let config = gateway.config();
    for cached in &digest.cached {
        let Some(upstream) = view.by_digest(cached.engine) else { continue };
        let spec = config.as_ref().and_then(|config| config.service(&upstream.entry.service));
        let Some(engine) = spec.and_then(|spec| spec.engine.as_ref()) else { continue };
        let parts = cached.parts.iter().map(|(id, tokens)| Part { id: *id, tokens: *tokens });
        let parts: Vec<Part> = parts.collect();
        let capacity = engine.kv_tokens.0;
        let caches = gateway.caches();
        caches.record_reported(&upstream.entry.id, &parts, cached.own_tokens, capacity);
    }
}
