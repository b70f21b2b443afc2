//! The fleet of upstreams: their listed entries, and what this instance has observed of each.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use anvilhook_core::orders::Role;
use anvilhook_core::start_history::StartReport;
use anvilhook_core::stream_origins::Software;
use anvilhook_core::units::Millis;
use arc_swap::ArcSwap;

use crate::hashes::hash_of;
use crate::loads::UpstreamState;

/// `Entry` is an upstream as listed in the upstream table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The upstream's id. A restarted upstream may have the same id.
    pub id: Arc<str>,
    /// When the upstream was started, in Unix milliseconds of its own clock, if it reports that. A
    /// later start with the same id retains nothing of the earlier one's state.
    pub born: Option<u64>,
    /// Its service.
    pub service: Arc<str>,
    /// The address at which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The version of its software, if it reports one.
    pub version: Option<Arc<str>>,
    /// The role that it has, if it is a model engine.
    pub role: Option<Role>,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it may be reclaimed at any time.
    pub reclaimable: bool,
    /// Whether it is leaving.
    pub draining: bool,
    /// The number of the upstream's report, which grows with each report of one start.
    pub sequence: u64,
}

impl Entry {
    /// Returns what the order of the reports of its id depends on.
    pub fn report(&self) -> StartReport {
        StartReport { born: self.born, sequence: self.sequence, draining: self.draining }
    }

    /// Returns whether two entries of one id belong to the same start.
    pub fn is_same_start(&self, other: &Entry) -> bool {
        self.born == other.born
    }

    /// Returns whether `born`, as reported by the upstream itself, differs from the listed start.
    ///
    /// Only two known starts can differ. Where a deployment's reports contain the start and its
    /// entries don't, each answer of a healthy engine would otherwise be attributed to another
    /// start: no order would be given, and each stream that pauses would be taken for lost.
    pub fn has_other_start(&self, born: Option<u64>) -> bool {
        self.born.zip(born).is_some_and(|(listed, reported)| listed != reported)
    }

    /// Returns the software that writes the upstream's events. Upstreams of one service with the same version have the
    /// same one. That of an upstream which reports no version is known to fit no other start.
    pub fn software(&self) -> Software {
        let hash = match &self.version {
            Some(version) => hash_of(&(&*self.service, &**version)),
            None => hash_of(&(&*self.service, &*self.id, self.born)),
        };
        Software((hash as u32).max(1))
    }

    /// Returns the hash of the id and the start, by which instances identify the upstream among
    /// themselves. Updates about an earlier start are not applied to a later one.
    pub fn hash(&self) -> u32 {
        hash_of(&(&*self.id, self.born)) as u32
    }
}

/// `Upstream` is a listed upstream with its observed state.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its listed entry.
    pub entry: Entry,
    /// The hash of its id and start, by which instances identify it among themselves.
    pub hash: u32,
    /// The software that writes its events.
    pub software: Software,
    /// What this instance has observed.
    pub state: Arc<UpstreamState>,
}

impl Upstream {
    /// Returns the role of a model engine: the listed one, unless the engine has shown another one
    /// since.
    pub fn role(&self) -> Option<Role> {
        let listed = self.entry.role?;
        let observed = self.state.observed_role(self.entry.sequence);
        Some(observed.map_or(listed, |observed| observed.role))
    }

    /// Returns whether a listed upstream is the same start of the same software.
    pub fn is_same(&self, other: &Upstream) -> bool {
        self.hash == other.hash && self.software == other.software
    }

    /// Returns whether it is leaving or gone, according to any source.
    pub fn is_leaving(&self) -> bool {
        self.has_announced_leaving() || self.state.is_gone()
    }

    /// Returns whether it has announced that it leaves, in its entry or in an answer.
    pub fn has_announced_leaving(&self) -> bool {
        self.entry.draining || self.state.says_leaving()
    }

    /// Returns whether it accepts new work from this instance.
    pub fn takes_work(&self, now: Millis) -> bool {
        self.is_open(now) && self.state.request_limit().has_share(now)
    }

    /// Returns whether it accepts new work, unless its request limit is exhausted.
    pub fn is_open(&self, now: Millis) -> bool {
        let state = &self.state;
        let is_absent = state.is_away(now) || state.role_change(now, self.role()).is_some();
        !self.is_leaving() && !is_absent && state.paused_until(now).is_none()
    }
}

/// `FleetView` is a snapshot of all listed upstreams.
#[derive(Debug, Default)]
pub struct FleetView {
    by_id: HashMap<Arc<str>, Arc<Upstream>>,
    by_service: HashMap<Arc<str>, Vec<Arc<Upstream>>>,
    by_hash: HashMap<u32, Arc<Upstream>>,
    /// The services that upstreams of several software versions serve.
    with_versions: HashSet<Arc<str>>,
    /// Upstreams that are no longer listed, but whose state outlives a lapse of their entries; the
    /// latest is last.
    former: Vec<Arc<Upstream>>,
}

/// The maximum number of upstreams that are remembered after their entries have been removed.
const MAX_FORMER: usize = 1_024;

impl FleetView {
    /// Returns an upstream by the hash of its id and start.
    pub fn by_hash(&self, hash: u32) -> Option<&Arc<Upstream>> {
        self.by_hash.get(&hash)
    }

    /// Returns the upstreams of a service.
    pub fn of_service(&self, service: &str) -> &[Arc<Upstream>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns whether upstreams of several software versions serve a service.
    pub fn has_versions(&self, service: &str) -> bool {
        self.with_versions.contains(service)
    }

    /// Returns an upstream by its id.
    pub fn get(&self, id: &str) -> Option<&Arc<Upstream>> {
        self.by_id.get(id)
    }

    /// Returns the state of an entry's start, if it was listed before.
    fn state_of(&self, entry: &Entry) -> Option<Arc<UpstreamState>> {
        let is_same =
            |one: &&Arc<Upstream>| one.entry.id == entry.id && one.entry.is_same_start(entry);
        let listed = self.by_id.get(&entry.id).filter(is_same);
        let known = listed.or_else(|| self.former.iter().rfind(is_same));
        known.map(|one| Arc::clone(&one.state))
    }

    /// Returns the upstreams to remember once `next` replaces this view.
    fn former_after(&self, next: &FleetView) -> Vec<Arc<Upstream>> {
        let gone = self.by_id.values().filter(|one| one.state.is_lasting());
        let all = self.former.iter().chain(gone);
        let unlisted = all.filter(|one| !next.by_hash.contains_key(&one.hash));
        let former: Vec<_> = unlisted.cloned().collect();
        let dropped = former.len().saturating_sub(MAX_FORMER);
        former.into_iter().skip(dropped).collect()
    }

    /// Returns all upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.by_id.values()
    }
}

/// `Fleet` holds the newest view, which requests read without a lock.
#[derive(Debug, Default)]
pub struct Fleet {
    view: ArcSwap<FleetView>,
    /// Whether the reading work that peers report at one engine is reduced separately for each peer.
    has_separate_backlogs: Arc<AtomicBool>,
}

impl Fleet {
    /// Creates a fleet without upstreams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the newest view. It must not be retained across a wait: an upstream that begins to
    /// leave meanwhile would get new work.
    pub fn view(&self) -> Arc<FleetView> {
        self.view.load_full()
    }

    /// Returns whether the upstream with an id accepts new work, by the current view.
    pub fn takes_work(&self, id: &str, now: Millis) -> bool {
        self.view.load().get(id).is_some_and(|upstream| upstream.takes_work(now))
    }

    /// Returns whether an upstream that was looked up earlier accepts new work, by the current view. Another start or
    /// software under the same id is not this upstream.
    pub(crate) fn still_takes_work(&self, upstream: &Upstream, now: Millis) -> bool {
        let view = self.view.load();
        let current = view.get(&upstream.entry.id).filter(|current| current.is_same(upstream));
        current.is_some_and(|current| current.takes_work(now))
    }

    /// Returns whether the current view lists another start or software under an upstream's id.
    pub(crate) fn has_replaced(&self, upstream: &Upstream) -> bool {
        let view = self.view.load();
        view.get(&upstream.entry.id).is_some_and(|current| !current.is_same(upstream))
    }

    /// Returns whether the current view lists other software under an upstream's id, so that a stream from there may
    /// have come from either.
    pub(crate) fn has_other_software(&self, upstream: &Upstream) -> bool {
        let view = self.view.load();
        view.get(&upstream.entry.id).is_some_and(|current| current.software != upstream.software)
    }

    /// Returns whether the upstream with a hash accepts new work by the current view, unless its request limit is
    /// exhausted.
    pub(crate) fn is_open(&self, hash: u32, now: Millis) -> bool {
        self.view.load().by_hash(hash).is_some_and(|upstream| upstream.is_open(now))
    }

    /// Sets whether the reading work that peers report at one engine counts as one queue, or is reduced
    /// separately for each peer.
    pub(crate) fn set_joint_backlogs(&self, is_joint: bool) {
        self.has_separate_backlogs.store(!is_joint, Ordering::Relaxed);
    }

    /// Replaces the listed entries, and returns the earlier view. Upstreams that stay retain their
    /// state; one that has restarted begins with none. What an upstream has reported of itself is
    /// retained beyond its entry, which may lapse and return while the upstream continues to run.
    pub fn replace(&self, entries: impl IntoIterator<Item = Entry>) -> Arc<FleetView> {
        self.replace_at(None, entries)
    }

    /// Replaces the listed entries as [`replace`](Self::replace) does, where upstreams without state are new
    /// since `now`. With `None` they are not new: they were listed before this instance started.
    pub fn replace_at(
        &self,
        now: Option<Millis>,
        entries: impl IntoIterator<Item = Entry>,
    ) -> Arc<FleetView> {
        let earlier = self.view.load_full();
        let mut view = FleetView::default();
        for entry in entries {
            let id = Arc::clone(&entry.id);
            let new_state = || {
                let has_separate_backlogs = Arc::clone(&self.has_separate_backlogs);
                Arc::new(match now {
                    Some(now) => UpstreamState::listed(has_separate_backlogs, now),
                    None => UpstreamState::new(has_separate_backlogs),
                })
            };
            let state = earlier.state_of(&entry).unwrap_or_else(new_state);
            let (hash, software) = (entry.hash(), entry.software());
            let upstream = Arc::new(Upstream { hash, software, entry, state });
            let service = Arc::clone(&upstream.entry.service);
            view.by_service.entry(service).or_default().push(Arc::clone(&upstream));
            view.by_hash.insert(upstream.hash, Arc::clone(&upstream));
            view.by_id.insert(id, upstream);
        }
        view.former = earlier.former_after(&view);
        for upstreams in view.by_service.values_mut() {
            upstreams.sort_by(|a, b| a.entry.id.cmp(&b.entry.id));
        }
        let with_versions = view.by_service.iter().filter(|(_, all)| have_versions(all));
        view.with_versions = with_versions.map(|(service, _)| Arc::clone(service)).collect();
        self.view.store(Arc::new(view));
        earlier
    }
}

/// Returns whether upstreams that stay have several software versions.
fn have_versions(upstreams: &[Arc<Upstream>]) -> bool {
    let staying = upstreams.iter().filter(|one| !one.entry.draining);
    let mut software = staying.map(|upstream| upstream.software);
    let first = software.next();
    software.any(|other| Some(other) != first)
}
