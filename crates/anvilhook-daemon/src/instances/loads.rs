//! Tracks the engines' load. Each engine's load report is read by a few instances, which publish it
//! to the others.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use anvilhook_core::membership::choose_readers;
use anvilhook_core::names::{InstanceName, UpstreamName, ZoneName};
use anvilhook_core::reports::LoadReport;
use anvilhook_core::resources::Kind;
use anvilhook_core::routing::{PollOptions, PollSchedule, SentSince, SentTotals, UpstreamState};
use anvilhook_core::units::{Clock, Millis};
use anvilhook_engine::{EngineControl, Upstreams};
use anvilhook_peer::gossip::{EngineDigest, LoadSection, ReceivedSection, ReportDigest};
use anvilhook_peer::{PeerAddress, PeerHandle};
use anvilhook_platform::Table;
use anvilhook_store::ConfigurationFollower;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::MissedTickBehavior;

use super::load_counts::LoadCounts;
use super::marks::{MarkSource, Marks};
use crate::front::Front;
use crate::proxy::Claims;

/// For how many iterations the totals of sent work are retained; they must reach back further than
/// reports lag.
const MAX_RETAINED_TOTALS: usize = 64;

/// `TimedReport` is a load report and the time at which the engine took it.
#[derive(Clone, Debug)]
struct TimedReport {
    report: LoadReport,
    taken_at: Millis,
}

impl TimedReport {
    /// Returns whether this report is newer than the known one. Sequence numbers start again when
    /// an engine restarts, so reports of different boots are compared by time.
    fn is_newer(&self, known: Option<&TimedReport>) -> bool {
        known.is_none_or(|known| {
            if known.report.boot == self.report.boot {
                self.report.seq > known.report.seq
            } else {
                self.taken_at > known.taken_at
            }
        })
    }
}

/// `Engine` is the state of one engine's load.
#[derive(Debug, Default)]
struct Engine {
    newest: Option<TimedReport>,
    /// The newest report that a peer published.
    from_peers: Option<TimedReport>,
    /// The newest report that this instance read, and when.
    read: Option<(TimedReport, Millis)>,
    /// The totals of the work that this instance had sent, one entry for each iteration.
    totals: VecDeque<(Millis, SentTotals)>,
}

/// `Peer` is the last load section received from a peer.
#[derive(Debug, Default)]
struct Peer {
    version: u64,
    sent: BTreeMap<UpstreamName, SentSince>,
}

/// `LoadTask` keeps the estimates of the engines' load up to date.
#[derive(Debug)]
pub(super) struct LoadTask<C, U, K, T> {
    pub clock: C,
    pub name: InstanceName,
    pub zone: ZoneName,
    pub front: Front<C, U, K>,
    pub follower: ConfigurationFollower<T>,
    pub link: PeerHandle,
    pub marks: Marks,
    pub counts: LoadCounts,
}

/// `LoadTracker` is the state of the task between iterations.
#[derive(Debug)]
struct LoadTracker {
    schedule: PollSchedule,
    engines: BTreeMap<UpstreamName, Engine>,
    peers: BTreeMap<InstanceName, Peer>,
    /// The members from which the readers were chosen.
    members: Vec<PeerAddress>,
}

impl<C: Clock, U: Upstreams, K: Claims, T: Table> LoadTask<C, U, K, T> {
    /// Reads load reports, applies those of peers, and publishes its own, until it is dropped.
    pub async fn run<E: EngineControl>(self, control: E, pause: Millis) {
        let mut tracker = LoadTracker {
            schedule: PollSchedule::new(PollOptions::default()),
            engines: BTreeMap::new(),
            peers: BTreeMap::new(),
            members: Vec::new(),
        };
        let mut ticks = tokio::time::interval(pause.as_duration());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut reads = FuturesUnordered::new();
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    let now = self.clock.now();
                    let states = self.engines();
                    self.choose_engines(&mut tracker, &states);
                    self.apply_peers(&mut tracker, &states, now);
                    self.publish(&mut tracker, &states, now);
                    for name in tracker.schedule.due(now) {
                        let Some(engine) = states.get(&name).cloned() else { continue };
                        let control = control.clone();
                        reads.push(async move {
                            let answer = control.report(engine.address()).await;
                            (engine, answer)
                        });
                    }
                    self.marks.apply_to(self.front.state().upstreams());
                }
                // An engine that does not answer delays only its own next read.
                Some((engine, answer)) = reads.next() => {
                    tracker.schedule.ended(engine.name());
                    match answer {
                        Ok(report) => self.apply_own_read(&mut tracker, &engine, report),
                        // A failed read has no consequence here: requests to the engine will show
                        // whether it is unavailable.
                        Err(err) => log::debug!(upstream:% = engine.name(); "no load report: {err}"),
                    }
                }
            }
        }
    }

    fn engines(&self) -> BTreeMap<UpstreamName, Arc<UpstreamState>> {
        let cfg = self.follower.current();
        let state = self.front.state();
        let names = cfg.of_kind(Kind::Engine);
        let known = names.filter_map(|engine| {
            let name = UpstreamName::try_new(engine.name.as_str()).ok()?;
            let engine = state.upstreams().get(&name).cloned()?;
            Some((name, engine))
        });
        known.collect()
    }

    /// Chooses the engines that this instance reads, if the members or the engines have changed.
    fn choose_engines(
        &self,
        tracker: &mut LoadTracker,
        states: &BTreeMap<UpstreamName, Arc<UpstreamState>>,
    ) {
        let members = self.link.announced();
        if members == tracker.members && states.keys().eq(tracker.engines.keys()) {
            return;
        }
        let others = members.iter().map(|peer| (&peer.name, &peer.zone));
        let all = || others.clone().chain([(&self.name, &self.zone)]);
        let reads = |engine: &&UpstreamName| choose_readers(engine, all()).contains(&&self.name);
        let own: BTreeSet<UpstreamName> = states.keys().filter(reads).cloned().collect();
        tracker.schedule.set_engines(states.keys(), &own);
        tracker.engines.retain(|name, _| states.contains_key(name));
        for name in states.keys() {
            tracker.engines.entry(name.clone()).or_default();
        }
        tracker.members = members;
    }

    /// Applies the load sections that peers published since the last iteration.
    fn apply_peers(
        &self,
        tracker: &mut LoadTracker,
        states: &BTreeMap<UpstreamName, Arc<UpstreamState>>,
        now: Millis,
    ) {
        let view = self.link.view();
        tracker.peers.retain(|name, _| view.load.contains_key(name));
        for (name, received) in view.load.iter() {
            let peer = tracker.peers.entry(name.clone()).or_default();
            if peer.version == received.version {
                continue;
            }
            peer.version = received.version;
            let written_at = now - received.age_at(now);
            apply_sent(peer, received, states, written_at);
            for digest in &received.body.reports {
                let Some(engine) = states.get(&digest.engine) else { continue };
                let taken_at = written_at - digest.report.age;
                let timed = TimedReport { report: digest.report.clone(), taken_at };
                let Some(entry) = tracker.engines.get_mut(&digest.engine) else { continue };
                if timed.is_newer(entry.from_peers.as_ref()) {
                    entry.from_peers = Some(timed.clone());
                    tracker.schedule.record_digest(&digest.engine, written_at);
                    self.counts.record_digest(&digest.engine);
                }
                self.apply(entry, engine, timed, now);
            }
        }
    }

    fn apply_own_read(
        &self,
        tracker: &mut LoadTracker,
        engine: &UpstreamState,
        report: LoadReport,
    ) {
        let now = self.clock.now();
        let is_own = tracker.schedule.is_own(engine.name());
        self.counts.record_read(engine.name(), is_own);
        let Some(entry) = tracker.engines.get_mut(engine.name()) else { return };
        let timed = TimedReport { taken_at: now - report.age, report };
        entry.read = Some((timed.clone(), now));
        self.apply(entry, engine, timed, now);
    }

    /// Applies a report unless a newer one is known. A delayed older report must not clear the mark
    /// that a newer one has set, or requests would go to an engine that is leaving.
    fn apply(&self, entry: &mut Engine, engine: &UpstreamState, timed: TimedReport, now: Millis) {
        let report = LoadReport { age: now - timed.taken_at, ..timed.report.clone() };
        if engine.apply_report(&report, now) {
            self.marks.set(MarkSource::Reported, engine.name(), report.leaving);
            entry.newest = Some(timed);
        }
    }

    /// Publishes the reports that this instance reads for all instances, and the work that it sent
    /// since the newest reports.
    fn publish(
        &self,
        tracker: &mut LoadTracker,
        states: &BTreeMap<UpstreamName, Arc<UpstreamState>>,
        now: Millis,
    ) {
        let mut section = LoadSection::default();
        let fresh = PollOptions::default().missed_after;
        for (name, entry) in &mut tracker.engines {
            let Some(engine) = states.get(name) else { continue };
            let total = engine.sent();
            entry.totals.push_back((now, total));
            if entry.totals.len() > MAX_RETAINED_TOTALS {
                entry.totals.pop_front();
            }
            if let Some((timed, read_at)) = &entry.read
                && tracker.schedule.is_own(name)
                && now - *read_at <= fresh
            {
                let report = LoadReport { age: now - timed.taken_at, ..timed.report.clone() };
                section.reports.push(ReportDigest { engine: name.clone(), report });
            }
            if let Some(timed) = &entry.newest {
                section.engines.extend(digest(name, timed, &entry.totals, &total));
            }
        }
        // The busiest engines come first, since the section may be truncated.
        section.engines.sort_by_key(|digest| std::cmp::Reverse(digest.prefill.0 + digest.decode.0));
        self.link.publish_load(section);
    }
}

/// Records the work that a peer sent in addition to what it had published since the same report.
fn apply_sent(
    peer: &mut Peer,
    received: &ReceivedSection<LoadSection>,
    states: &BTreeMap<UpstreamName, Arc<UpstreamState>>,
    written_at: Millis,
) {
    let before = std::mem::take(&mut peer.sent);
    for digest in &received.body.engines {
        let Some(engine) = states.get(&digest.engine) else { continue };
        let since = sent_since(digest);
        let sent = since.added_since(before.get(&digest.engine));
        if sent != SentTotals::default() {
            engine.record_peer_sent(&sent, written_at);
        }
        peer.sent.insert(digest.engine.clone(), since);
    }
}

/// Returns a digest of the work sent since a report was taken, or `None` if none was sent.
fn digest(
    name: &UpstreamName,
    timed: &TimedReport,
    totals: &VecDeque<(Millis, SentTotals)>,
    total: &SentTotals,
) -> Option<EngineDigest> {
    let before = totals.iter().rev().find(|(at, _)| *at <= timed.taken_at);
    let (_, before) = before.or(totals.front())?;
    let sent = total.since(before);
    let digest = EngineDigest {
        engine: name.clone(),
        boot: timed.report.boot,
        seq: timed.report.seq,
        requests: u32::try_from(sent.requests).unwrap_or(u32::MAX),
        prefill: sent.prompt,
        decode: sent.output,
    };
    (sent.requests > 0).then_some(digest)
}

fn sent_since(digest: &EngineDigest) -> SentSince {
    let EngineDigest { boot, seq, requests, prefill, decode, .. } = *digest;
    let sent = SentTotals { requests: u64::from(requests), prompt: prefill, output: decode };
    SentSince { boot, seq, sent }
}
