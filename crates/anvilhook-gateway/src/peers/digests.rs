//! Digests: the datagrams that instances exchange, and how received ones are applied.

use std::net::SocketAddr;
use std::sync::Arc;

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::units::{Clock, Millis};
use serde::{Deserialize, Serialize, Serializer};

use super::account_work::{AccountWork, apply_account_work};
use super::members::Peers;
use super::notices::{Notice, apply_notices, own_findings};
use super::rows::RowsPiece;
use super::suspects::{MAX_SUSPECTS, apply_suspects};
use super::usages::apply_usage;
use super::versions::FollowedTable;
use super::watches::WatchState;
use crate::budgets::ServiceDemand;
use crate::hashes::hash_of;
use crate::loads::{PeerLoad, Work};
use crate::prompts::Part;
use crate::relay::Gateway;
use crate::speeds::EngineWork;
use crate::suspects::{SuspectEvent, SuspectUpdate};
use crate::usage::UsageUpdate;
use crate::wires::Wire;

/// `EngineLoad` is the work that an instance has in flight at an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineLoad {
    /// The hash of the engine's id and start.
    pub engine: u32,
    /// The number of requests in flight.
    pub in_flight: u32,
    /// The prompts being read (prefill), in milliseconds of work.
    pub reading_ms: u32,
    /// The KV caches being fetched, in milliseconds of the engine's link.
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

    /// Adds the load of other instances at the same engine.
    pub(super) fn add(&mut self, other: &EngineLoad) {
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.reading_ms = self.reading_ms.saturating_add(other.reading_ms);
        self.fetching_ms = self.fetching_ms.saturating_add(other.fetching_ms);
    }
}

/// `ServiceWork` is the work that a service's engines have done for an instance since it started.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceWork {
    /// The hash of the service's name.
    pub service: u32,
    /// Prompt reading, in milliseconds of engine time.
    pub reading_ms: u32,
    /// Token generation, in milliseconds of engine time.
    pub generating_ms: u32,
}

/// `CachedPrompt` is a prompt that an engine now has in its cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CachedPrompt {
    /// The hash of the engine's id and start.
    pub engine: u32,
    /// The parts that other prompts may share, with their lengths in tokens.
    pub parts: Vec<(u64, u32)>,
    /// The number of tokens in addition to these parts.
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

/// `Scope` states whose loads a digest carries.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub enum Scope {
    /// The loads of the sender alone.
    #[default]
    Instance,
    /// The loads of the sender's whole availability zone. The digest may be forwarded by another
    /// instance, so it carries the address of its original sender.
    Zone(SocketAddr),
    /// The loads of all other availability zones, sent within one zone.
    Far,
}

/// `Digest` is a datagram from one instance to another.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Digest {
    /// The number that the sender's process has chosen to identify itself.
    pub from: u64,
    /// The loads of engines at which the sender has work in flight.
    pub loads: Vec<EngineLoad>,
    /// Whether `loads` holds only the loads that have changed since the previous digest.
    pub is_delta: bool,
    /// The prompts that engines have read since the previous digest.
    pub cached: Vec<CachedPrompt>,
    /// Whether the digest carries no loads, but only caches, rows, a request for rows or the
    /// sender's identity. Handled as a whole digest, it would clear the loads that the sender
    /// published before.
    pub is_partial: bool,
    /// The instances whose loads the digest carries.
    pub scope: Scope,
    /// The sender's own findings about engines.
    pub notices: Vec<Notice>,
    /// Updates on requests that may cause engines to terminate.
    #[serde(serialize_with = "serialize_known")]
    pub suspects: Vec<SuspectUpdate>,
    /// The work that engines have done for the sender since it started, by service.
    pub work: Vec<ServiceWork>,
    /// The hash of the sender's availability zone.
    pub zone: u32,
    /// The state of the sender's watch over each of [`FollowedTable::ALL`].
    pub watches: [WatchState; FollowedTable::ALL.len()],
    /// A piece of changed rows of a followed table.
    pub rows: Option<RowsPiece>,
    /// The usage of client accounts.
    pub usage: Option<UsageUpdate>,
    /// A table, and the version after which the sender requests its changes.
    pub asks: Option<(FollowedTable, u64)>,
    /// The epoch of the store in which that version was assigned. It is encoded after the digest.
    #[serde(skip)]
    pub asks_epoch: u64,
    /// The work of client accounts. It is encoded after the epochs.
    #[serde(skip)]
    pub account_work: Option<AccountWork>,
    /// The requests that the sender has got, by service. They are encoded after the work of accounts, which is empty
    /// then. A build that does not know them ignores the bytes.
    #[serde(skip)]
    pub demand: Option<Vec<ServiceDemand>>,
}

/// `Epochs` are the epochs of the store to which the versions in a digest belong.
///
/// They are encoded after the digest. A build that does not know them ignores the bytes, and its own digests
/// have none, which counts as epoch 0.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Epochs {
    watches: [u64; FollowedTable::ALL.len()],
    rows: u64,
    asks: u64,
}

/// `SuspectDetails` is what earlier builds do not know of the updates on suspects. It is encoded after the demand, which
/// is empty if the sender has none to report.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct SuspectDetails {
    /// How long the run of each ended engine had lasted, in the order of the updates, in milliseconds.
    ran_ms: Vec<Option<u32>>,
    /// The runs on trial: the suspect, the hash of the request's id, and how long ago the run began, in milliseconds.
    tried: Vec<(Fingerprint, u64, u32)>,
}

impl SuspectDetails {
    fn of(updates: &[SuspectUpdate]) -> Self {
        let mut details = Self::default();
        for update in updates {
            match update.fate {
                SuspectEvent::Ended { ran_ms, .. } => details.ran_ms.push(ran_ms),
                SuspectEvent::Tried { request, age_ms } => {
                    details.tried.push((update.request, request, age_ms));
                }
                SuspectEvent::RanWell | SuspectEvent::Lifted => {}
            }
        }
        details
    }

    /// Adds the details to updates that were decoded without them.
    fn apply(self, updates: &mut Vec<SuspectUpdate>) {
        let ran = updates.iter_mut().filter_map(|update| match &mut update.fate {
            SuspectEvent::Ended { ran_ms, .. } => Some(ran_ms),
            _ => None,
        });
        for (ran, reported) in ran.zip(self.ran_ms) {
            *ran = reported;
        }
        let tried = self.tried.into_iter().map(|(suspect, request, age_ms)| SuspectUpdate {
            request: suspect,
            fate: SuspectEvent::Tried { request, age_ms },
        });
        updates.extend(tried);
    }
}

/// Serializes the updates that earlier builds know.
fn serialize_known<S: Serializer>(
    updates: &[SuspectUpdate],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let is_known = |one: &&SuspectUpdate| !matches!(one.fate, SuspectEvent::Tried { .. });
    serializer.collect_seq(updates.iter().filter(is_known).collect::<Vec<_>>())
}

impl Digest {
    /// Encodes a digest into a datagram.
    ///
    /// ```
    /// use anvilhook_gateway::peers::{Digest, FollowedTable};
    ///
    /// let asks = Some((FollowedTable::Config, 7));
    /// let digest = Digest { asks, asks_epoch: 2, ..Digest::default() };
    /// let bytes = digest.encode().expect("it can be encoded");
    /// assert_eq!(Digest::decode(&bytes), Ok(digest));
    /// ```
    ///
    /// # Errors
    ///
    /// An error of the encoder.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let bytes = postcard::to_stdvec(self)?;
        let epochs = Epochs {
            watches: self.watches.map(|watch| watch.epoch),
            rows: self.rows.as_ref().map_or(0, |rows| rows.epoch),
            asks: self.asks_epoch,
        };
        let details = SuspectDetails::of(&self.suspects);
        let has_details = details != SuspectDetails::default();
        if self.account_work.is_none() && self.demand.is_none() && !has_details {
            let has_epochs = epochs != Epochs::default();
            return if has_epochs { postcard::to_extend(&epochs, bytes) } else { Ok(bytes) };
        }
        let bytes = postcard::to_extend(&epochs, bytes)?;
        let bytes = match &self.account_work {
            Some(account_work) => postcard::to_extend(account_work, bytes)?,
            None => postcard::to_extend(&AccountWork::default(), bytes)?,
        };
        let bytes = match &self.demand {
            Some(demand) => postcard::to_extend(demand, bytes)?,
            None if has_details => postcard::to_extend(&Vec::<ServiceDemand>::new(), bytes)?,
            None => bytes,
        };
        if has_details { postcard::to_extend(&details, bytes) } else { Ok(bytes) }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// An error of the decoder if the datagram is not a digest.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (mut digest, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        let (epochs, rest) = if rest.is_empty() {
            (Epochs::default(), rest)
        } else {
            postcard::take_from_bytes(rest)?
        };
        if !rest.is_empty() {
            let (account_work, rest) = postcard::take_from_bytes(rest)?;
            digest.account_work = Some(account_work)
                .filter(|work| rest.is_empty() || *work != AccountWork::default());
            if !rest.is_empty() {
                let (demand, rest): (Vec<_>, _) = postcard::take_from_bytes(rest)?;
                digest.demand = Some(demand).filter(|demand| rest.is_empty() || !demand.is_empty());
                if !rest.is_empty() {
                    postcard::from_bytes::<SuspectDetails>(rest)?.apply(&mut digest.suspects);
                }
            }
        }
        for (watch, epoch) in digest.watches.iter_mut().zip(epochs.watches) {
            watch.epoch = epoch;
        }
        if let Some(rows) = &mut digest.rows {
            rows.epoch = epochs.rows;
        }
        digest.asks_epoch = epochs.asks;
        Ok(digest)
    }

    /// Creates a digest that carries only the sender's identity and watches.
    pub(super) fn from(peers: &Peers, now: Millis) -> Self {
        Self {
            from: peers.number(),
            zone: peers.zone(),
            watches: FollowedTable::ALL.map(|table| peers.watch_of(table).state(now)),
            ..Self::default()
        }
    }

    /// Creates a digest without loads.
    pub(super) fn partial(peers: &Peers, now: Millis) -> Self {
        Self { is_partial: true, ..Self::from(peers, now) }
    }
}

/// Creates the digest of this instance's work in flight and of the updates not yet published.
pub(super) fn digest<W: Wire, C: Clock>(gateway: &Gateway<W, C>, now: Millis) -> Digest {
    const MAX_CACHED: usize = 24;
    let view = gateway.fleet().view();
    let mut digest = Digest::from(gateway.peers(), now);
    for upstream in view.all() {
        let (engine, work) = (upstream.hash, upstream.state.own_work());
        // A plain upstream itself reports, in its answers, what it has in flight for all instances.
        if work.in_flight > 0 && upstream.entry.role.is_some() {
            digest.loads.push(EngineLoad::of(engine, &work));
        }
        let findings = own_findings(upstream, now);
        digest.notices.extend(findings.map(|kind| Notice { engine, kind }));
    }
    digest.suspects = gateway.suspects().take_due(MAX_SUSPECTS, now);
    let to_service_work = |(service, work): (Arc<str>, EngineWork)| ServiceWork {
        service: hash_of(&*service) as u32,
        reading_ms: work.reading_ms as u32,
        generating_ms: work.generating_ms as u32,
    };
    digest.work = gateway.speeds().own_work().into_iter().map(to_service_work).collect();
    for (engine, parts) in gateway.take_cached(MAX_CACHED) {
        let Some(upstream) = view.get(&engine) else { continue };
        digest.cached.push(CachedPrompt::of(upstream.hash, &parts));
    }
    digest
}

/// Returns the estimated loads of all instances of this availability zone. If they don't fit into a
/// digest, the engines with the most work are included.
pub(super) fn near_loads<W: Wire, C: Clock>(
    gateway: &Gateway<W, C>,
    now: Millis,
) -> Vec<EngineLoad> {
    const MAX_LOADS: usize = 100;
    let view = gateway.fleet().view();
    let engines = view.all().filter(|upstream| upstream.entry.role.is_some());
    let loads = engines.map(|one| EngineLoad::of(one.hash, &one.state.near_work(now)));
    let mut loads: Vec<_> = loads.filter(|load| load.in_flight > 0).collect();
    loads.sort_unstable_by_key(|load| std::cmp::Reverse((load.reading_ms, load.in_flight)));
    loads.truncate(MAX_LOADS);
    loads
}

/// The number under which the loads of all other availability zones are recorded.
const FAR_NUMBER: u64 = u64::MAX;

/// Applies a digest from a peer.
pub(super) fn apply<W: Wire, C: Clock>(
    digest: &Digest,
    from: SocketAddr,
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    gateway.peers().apply_watches(digest, from, now);
    if !digest.is_partial {
        apply_loads(digest, from, gateway, now);
    }
    apply_notices(digest, gateway, now);
    apply_suspects(digest, gateway, now);
    apply_work(digest, gateway, now);
    apply_usage(digest, gateway, now);
    apply_account_work(digest, gateway, now);
    if let Some(demand) = &digest.demand {
        gateway.budget().record_report(digest.from, demand.clone(), now);
    }
    apply_cached(digest, gateway);
}

fn apply_work<W: Wire, C: Clock>(digest: &Digest, gateway: &Gateway<W, C>, now: Millis) {
    let Some(config) = gateway.config() else { return };
    for work in &digest.work {
        let mut services = config.services();
        let known = services.find(|service| hash_of(&*service.name) as u32 == work.service);
        let Some(service) = known else { continue };
        let work = EngineWork {
            reading_ms: f64::from(work.reading_ms),
            generating_ms: f64::from(work.generating_ms),
        };
        gateway.speeds().merge_work(&service.name, digest.from, work, now);
    }
}

fn apply_loads<W: Wire, C: Clock>(
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
        // Only the engines in this or the previous digest change; there may be hundreds of others.
        let is_named = |engine| digest.loads.iter().any(|load| load.engine == engine);
        let ended = before.into_iter().filter(|engine| !is_named(*engine));
        for upstream in ended.filter_map(|engine| view.by_hash(engine)) {
            upstream.state.record_peer(number, PeerLoad { at: now, is_far, ..PeerLoad::default() });
        }
    }
    for load in &digest.loads {
        let Some(upstream) = view.by_hash(load.engine) else { continue };
        let work = Work {
            in_flight: load.in_flight,
            reading_ms: f64::from(load.reading_ms),
            fetching_ms: f64::from(load.fetching_ms),
        };
        upstream.state.record_peer(number, PeerLoad { work, at: now, is_far });
    }
    gateway.wake_waiting();
}

fn apply_cached<W: Wire, C: Clock>(digest: &Digest, gateway: &Gateway<W, C>) {
    let view = gateway.fleet().view();
    let config = gateway.config();
    for cached in &digest.cached {
        let Some(upstream) = view.by_hash(cached.engine) else { continue };
        let spec = config.as_ref().and_then(|config| config.service(&upstream.entry.service));
        let Some(engine) = spec.and_then(|spec| spec.engine.as_ref()) else { continue };
        let parts = cached.parts.iter().map(|(id, tokens)| Part { id: *id, tokens: *tokens });
        let parts: Vec<Part> = parts.collect();
        let capacity = engine.kv_tokens.0;
        let caches = gateway.caches();
        caches.record_reported(&upstream.entry.id, &parts, cached.own_tokens, capacity);
    }
}
