//! The upstreams: what their entries say, and what this instance has learnt of each.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use anvilhook_core::ejections::{Ejection, EjectionOptions};
use anvilhook_core::orders::Role;
use anvilhook_core::units::Millis;
use arc_swap::ArcSwap;

use crate::wires::Load;

/// The handles refused in a row after which an engine reads nothing for a while, and that while.
const REFUSED_HANDLES: u32 = 2;
const NO_HANDLES_TIME: Millis = Millis(800);

/// How long an upstream's or a peer's word about load is worth anything.
const LOAD_AGE: Millis = Millis(400);

/// `Entry` is an upstream as it is listed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The upstream's id, which no other start of it shares.
    pub id: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The stage that it takes, if it is a model engine.
    pub role: Option<Role>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// The number of the upstream's report; it only grows.
    pub sequence: u64,
}

/// `PeerLoad` is what another instance has in flight at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerLoad {
    /// Requests in flight.
    pub in_flight: u32,
    /// Prompts being read, in milliseconds of work.
    pub reading_ms: f64,
    /// KV caches being fetched, in milliseconds of the engine's link.
    pub fetching_ms: f64,
    /// When it was heard.
    pub at: Millis,
}

/// `Work` is what requests in flight ask of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Requests in flight.
    pub in_flight: u32,
    /// Prompts being read, in milliseconds of work.
    pub reading_ms: f64,
    /// KV caches being fetched, in milliseconds of the engine's link.
    pub fetching_ms: f64,
}

/// `UpstreamState` is what this instance has learnt of an upstream. It outlives changes of the
/// upstream's entry.
#[derive(Debug)]
pub struct UpstreamState {
    in_flight: AtomicU32,
    reading_us: AtomicU64,
    fetching_us: AtomicU64,
    ejection: Ejection,
    is_gone: AtomicBool,
    refused_handles: AtomicU32,
    no_handles_until: AtomicU64,
    away_until: AtomicU64,
    slowness: AtomicU64,
    told: Mutex<Option<(Load, Millis)>>,
    peers: Mutex<HashMap<u64, PeerLoad>>,
}

impl UpstreamState {
    fn new() -> Self {
        let options =
            EjectionOptions { failures: 3, ejection: Millis(1_000), slow_return: Millis(2_000) };
        Self {
            in_flight: AtomicU32::new(0),
            reading_us: AtomicU64::new(0),
            fetching_us: AtomicU64::new(0),
            ejection: Ejection::new(&options),
            is_gone: AtomicBool::new(false),
            refused_handles: AtomicU32::new(0),
            no_handles_until: AtomicU64::new(0),
            away_until: AtomicU64::new(0),
            slowness: AtomicU64::new(1f64.to_bits()),
            told: Mutex::default(),
            peers: Mutex::default(),
        }
    }

    /// Returns the record of failures.
    pub fn ejection(&self) -> &Ejection {
        &self.ejection
    }

    /// Notes that another upstream answers at the address, so that this one is gone.
    pub fn mark_gone(&self) {
        self.is_gone.store(true, Ordering::Release);
    }

    /// Returns whether the upstream is known to be gone though it is still listed.
    pub fn is_gone(&self) -> bool {
        self.is_gone.load(Ordering::Acquire)
    }

    /// Notes that the upstream takes no work until a time, because it changes its role.
    pub fn mark_away(&self, until: Millis) {
        self.away_until.fetch_max(until.0, Ordering::AcqRel);
    }

    /// Returns until when the upstream is away for a change of its role.
    pub fn away_until(&self) -> Millis {
        Millis(self.away_until.load(Ordering::Acquire))
    }

    /// Returns whether the upstream is away for a change of its role.
    pub fn is_away(&self, now: Millis) -> bool {
        now.0 < self.away_until.load(Ordering::Acquire)
    }

    /// Notes what became of a KV handle of this engine at another one.
    ///
    /// An engine whose handles lapse at once answers each reading well, and every request read
    /// there would be refused and spend the retry budget.
    pub fn record_handle(&self, is_taken: bool, now: Millis) {
        if is_taken {
            self.refused_handles.store(0, Ordering::Release);
        } else if self.refused_handles.fetch_add(1, Ordering::AcqRel) + 1 >= REFUSED_HANDLES {
            let until = now + NO_HANDLES_TIME;
            self.no_handles_until.fetch_max(until.0, Ordering::AcqRel);
        }
    }

    /// Returns whether the engine's handles were refused of late.
    pub fn has_bad_handles(&self, now: Millis) -> bool {
        now.0 < self.no_handles_until.load(Ordering::Acquire)
    }

    /// Returns how many times slower than predicted the upstream reads prompts.
    pub fn slowness(&self) -> f64 {
        f64::from_bits(self.slowness.load(Ordering::Acquire))
    }

    /// Learns from a prompt that took `took_ms` where `expected_ms` were predicted.
    ///
    /// An engine that has turned slow would keep its share of the work and make all of it late. A
    /// prompt may also take long because of others that this instance has not heard of, so the
    /// belief grows slowly and falls fast.
    pub fn record_reading(&self, expected_ms: f64, took_ms: f64) {
        const GROWTH: f64 = 0.1;
        const FALL: f64 = 0.5;
        let seen = (took_ms / expected_ms.max(1.0)).clamp(1.0, 6.0);
        let before = self.slowness();
        let weight = if seen > before { GROWTH } else { FALL };
        let next = before * (1.0 - weight) + seen * weight;
        self.slowness.store(next.to_bits(), Ordering::Release);
    }

    /// Notes what the upstream said of its load.
    pub fn record_load(&self, load: Load, now: Millis) {
        *self.told.lock().expect("no panic under this lock") = Some((load, now));
    }

    /// Notes what a peer has in flight here.
    pub fn record_peer(&self, peer: u64, load: PeerLoad) {
        self.peers.lock().expect("no panic under this lock").insert(peer, load);
    }

    /// Returns what this instance's own requests ask of the upstream.
    pub fn own_work(&self) -> Work {
        Work {
            in_flight: self.in_flight.load(Ordering::Acquire),
            reading_ms: self.reading_us.load(Ordering::Acquire) as f64 / 1e3,
            fetching_ms: self.fetching_us.load(Ordering::Acquire) as f64 / 1e3,
        }
    }

    /// Returns the estimate of what all instances' requests ask of the upstream.
    pub fn work(&self, now: Millis) -> Work {
        let mut work = self.own_work();
        let since = now - LOAD_AGE;
        for peer in self.peers.lock().expect("no panic under this lock").values() {
            if peer.at >= since {
                work.in_flight += peer.in_flight;
                work.reading_ms += peer.reading_ms;
                work.fetching_ms += peer.fetching_ms;
            }
        }
        let told = *self.told.lock().expect("no panic under this lock");
        if let Some((load, at)) = told
            && at >= since
        {
            work.in_flight = work.in_flight.max(load.running + load.waiting);
        }
        work
    }
}

/// `Upstream` is a listed upstream with what is known of it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What its entry says.
    pub entry: Entry,
    /// What this instance has learnt.
    pub state: Arc<UpstreamState>,
}

impl Upstream {
    /// Returns whether new work may be sent there.
    pub fn takes_work(&self, now: Millis) -> bool {
        !self.entry.draining && !self.state.is_gone() && !self.state.is_away(now)
    }
}

/// `FleetView` is all listed upstreams at one moment.
#[derive(Debug, Default)]
pub struct FleetView {
    by_id: HashMap<Arc<str>, Arc<Upstream>>,
    by_service: HashMap<Arc<str>, Vec<Arc<Upstream>>>,
    by_digest: HashMap<u32, Arc<Upstream>>,
}

/// Returns the short form of an upstream's id that instances use among themselves.
pub fn digest_of(id: &str) -> u32 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish() as u32
}

impl FleetView {
    /// Returns an upstream by the short form of its id.
    pub fn by_digest(&self, digest: u32) -> Option<&Arc<Upstream>> {
        self.by_digest.get(&digest)
    }

    /// Returns the upstreams of a service.
    pub fn of_service(&self, service: &str) -> &[Arc<Upstream>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns an upstream.
    pub fn get(&self, id: &str) -> Option<&Arc<Upstream>> {
        self.by_id.get(id)
    }

    /// Returns all upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.by_id.values()
    }
}

/// `Fleet` holds the newest view; a request reads it without a lock.
#[derive(Debug, Default)]
pub struct Fleet {
    view: ArcSwap<FleetView>,
}

impl Fleet {
    /// Makes a fleet without upstreams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the newest view. It must not be carried over a wait: an upstream that begins to
    /// leave meanwhile would get new work.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.load_full()
    }

    /// Returns whether new work may be sent to an upstream by what is believed now.
    pub fn takes_work(&self, id: &str, now: Millis) -> bool {
        self.view.load().get(id).is_some_and(|upstream| upstream.takes_work(now))
    }

    /// Puts the listed entries in place of the earlier ones, and returns those. Upstreams that stay
    /// keep their state.
    pub fn replace(&self, entries: impl IntoIterator<Item = Entry>) -> Arc<FleetView> {
        let earlier = self.view.load_full();
        let mut view = FleetView::default();
        for entry in entries {
            let id = Arc::clone(&entry.id);
            let state = match earlier.get(&id) {
                Some(upstream) => Arc::clone(&upstream.state),
                None => Arc::new(UpstreamState::new()),
            };
            let upstream = Arc::new(Upstream { entry, state });
            let service = Arc::clone(&upstream.entry.service);
            view.by_service.entry(service).or_default().push(Arc::clone(&upstream));
            view.by_digest.insert(digest_of(&id), Arc::clone(&upstream));
            view.by_id.insert(id, upstream);
        }
        for upstreams in view.by_service.values_mut() {
            upstreams.sort_by(|a, b| a.entry.id.cmp(&b.entry.id));
        }
        self.view.store(Arc::new(view));
        earlier
    }
}

/// `Held` counts a request in at an upstream, until it is dropped.
#[derive(Debug)]
pub struct Held {
    upstream: Arc<Upstream>,
    reading_us: u64,
    fetching_us: u64,
}

impl Held {
    /// Counts a request in that asks for nothing beyond its place.
    pub fn new(upstream: Arc<Upstream>) -> Self {
        Self::with_work(upstream, 0.0, 0.0)
    }

    /// Counts a request in, with what is to be read and fetched for it, in milliseconds.
    pub fn with_work(upstream: Arc<Upstream>, reading_ms: f64, fetching_ms: f64) -> Self {
        let (reading_us, fetching_us) = ((reading_ms * 1e3) as u64, (fetching_ms * 1e3) as u64);
        upstream.state.in_flight.fetch_add(1, Ordering::AcqRel);
        upstream.state.reading_us.fetch_add(reading_us, Ordering::AcqRel);
        upstream.state.fetching_us.fetch_add(fetching_us, Ordering::AcqRel);
        Self { upstream, reading_us, fetching_us }
    }

    /// Returns the upstream.
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }

    /// Notes that the prompt has been read and fetched.
    pub fn reading_done(&mut self) {
        let reading_us = std::mem::take(&mut self.reading_us);
        let fetching_us = std::mem::take(&mut self.fetching_us);
        self.upstream.state.reading_us.fetch_sub(reading_us, Ordering::AcqRel);
        self.upstream.state.fetching_us.fetch_sub(fetching_us, Ordering::AcqRel);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.reading_done();
        self.upstream.state.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
