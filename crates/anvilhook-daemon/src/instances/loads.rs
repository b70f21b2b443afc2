//! The engines' load: each is read by few instances, which tell it to the others.

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

/// How many turns the sums of sent work are remembered for; longer than reports lag.
const REMEMBERED_TURNS: usize = 64;

/// `Known` is a report and when it was taken.
#[derive(Clone, Debug)]
struct Known {
    report: LoadReport,
    taken_at: Millis,
}

impl Known {
    /// Returns whether this is newer than what was known. Reports of two starts of an engine are
    /// told apart by their times, since their numbers begin anew.
    fn is_newer(&self, known: Option<&Known>) -> bool {
        known.is_none_or(|known| {
            if known.report.boot == self.report.boot {
                self.report.seq > known.report.seq
            } else {
                self.taken_at > known.taken_at
            }
        })
    }
}

/// `Engine` is what is known of one engine's load.
#[derive(Debug, Default)]
struct Engine {
    newest: Option<Known>,
    /// The newest that a peer told.
    told: Option<Known>,
    /// The newest that this instance read, and when.
    read: Option<(Known, Millis)>,
    /// What this instance had sent in all, turn by turn.
    sums: VecDeque<(Millis, SentTotals)>,
}

/// `Peer` is what was last heard of a peer.
#[derive(Debug, Default)]
struct Peer {
    version: u64,
    sent: BTreeMap<UpstreamName, SentSince>,
}

/// `LoadTask` keeps up what is believed of the engines' load.
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

/// `Book` holds what the task knows between its turns.
#[derive(Debug)]
struct Book {
    schedule: PollSchedule,
    engines: BTreeMap<UpstreamName, Engine>,
    peers: BTreeMap<InstanceName, Peer>,
    /// The members that the readers were chosen among.
    members: Vec<PeerAddress>,
}

impl<C: Clock, U: Upstreams, K: Claims, T: Table> LoadTask<C, U, K, T> {
    /// Reads, hears and tells load again and again.
    pub async fn keep<E: EngineControl>(self, control: E, pause: Millis) {
        let mut book = Book {
            schedule: PollSchedule::new(PollOptions::default()),
            engines: BTreeMap::new(),
            peers: BTreeMap::new(),
            members: Vec::new(),
        };
        let mut turns = tokio::time::interval(pause.as_duration());
        turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut readings = FuturesUnordered::new();
        loop {
            tokio::select! {
                _ = turns.tick() => {
                    let now = self.clock.now();
                    let states = self.engines();
                    self.choose(&mut book, &states);
                    self.hear(&mut book, &states, now);
                    self.tell(&mut book, &states, now);
                    for name in book.schedule.due(now) {
                        let Some(engine) = states.get(&name).cloned() else { continue };
                        let control = control.clone();
                        readings.push(async move {
                            let answer = control.report(engine.address()).await;
                            (engine, answer)
                        });
                    }
                    self.marks.carry_over(self.front.state().upstreams());
                }
                // An engine that does not answer holds up nothing but its own next reading.
                Some((engine, answer)) = readings.next() => {
                    book.schedule.ended(engine.name());
                    match answer {
                        Ok(report) => self.take_reading(&mut book, &engine, report),
                        // An engine that does not answer is found out by the requests sent to it.
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

    /// Chooses who reads what, when the members or the engines have changed.
    fn choose(&self, book: &mut Book, states: &BTreeMap<UpstreamName, Arc<UpstreamState>>) {
        let members = self.link.announced();
        if members == book.members && states.keys().eq(book.engines.keys()) {
            return;
        }
        let others = members.iter().map(|peer| (&peer.name, &peer.zone));
        let all = || others.clone().chain([(&self.name, &self.zone)]);
        let reads = |engine: &&UpstreamName| choose_readers(engine, all()).contains(&&self.name);
        let own: BTreeSet<UpstreamName> = states.keys().filter(reads).cloned().collect();
        book.schedule.set_engines(states.keys(), &own);
        book.engines.retain(|name, _| states.contains_key(name));
        for name in states.keys() {
            book.engines.entry(name.clone()).or_default();
        }
        book.members = members;
    }

    /// Applies what peers told since the last turn.
    fn hear(
        &self,
        book: &mut Book,
        states: &BTreeMap<UpstreamName, Arc<UpstreamState>>,
        now: Millis,
    ) {
        let news = self.link.view();
        book.peers.retain(|name, _| news.load.contains_key(name));
        for (name, heard) in news.load.iter() {
            let peer = book.peers.entry(name.clone()).or_default();
            if peer.version == heard.version {
                continue;
            }
            peer.version = heard.version;
            let written_at = now - heard.age_at(now);
            apply_sent(peer, heard, states, written_at);
            for digest in &heard.body.reports {
                let Some(engine) = states.get(&digest.engine) else { continue };
                let taken_at = written_at - digest.report.age;
                let known = Known { report: digest.report.clone(), taken_at };
                let Some(entry) = book.engines.get_mut(&digest.engine) else { continue };
                if known.is_newer(entry.told.as_ref()) {
                    entry.told = Some(known.clone());
                    book.schedule.record_digest(&digest.engine, written_at);
                    self.counts.told(&digest.engine);
                }
                self.adopt(entry, engine, known, now);
            }
        }
    }

    fn take_reading(&self, book: &mut Book, engine: &UpstreamState, report: LoadReport) {
        let now = self.clock.now();
        let is_own = book.schedule.is_own(engine.name());
        self.counts.read(engine.name(), is_own);
        let Some(entry) = book.engines.get_mut(engine.name()) else { return };
        let known = Known { taken_at: now - report.age, report };
        entry.read = Some((known.clone(), now));
        self.adopt(entry, engine, known, now);
    }

    /// Applies a report unless a newer one is known. One that was under way for longer must not lift
    /// the mark that a newer one has set: requests would go to an engine that is leaving.
    fn adopt(&self, entry: &mut Engine, engine: &UpstreamState, known: Known, now: Millis) {
        let report = LoadReport { age: now - known.taken_at, ..known.report.clone() };
        if engine.apply_report(&report, now) {
            self.marks.set(MarkSource::Reported, engine.name(), report.leaving);
            entry.newest = Some(known);
        }
    }

    /// Tells what this instance read for all, and what it sent since the newest reports.
    fn tell(
        &self,
        book: &mut Book,
        states: &BTreeMap<UpstreamName, Arc<UpstreamState>>,
        now: Millis,
    ) {
        let mut section = LoadSection::default();
        let fresh = PollOptions::default().missed_after;
        for (name, entry) in &mut book.engines {
            let Some(engine) = states.get(name) else { continue };
            let total = engine.sent();
            entry.sums.push_back((now, total));
            if entry.sums.len() > REMEMBERED_TURNS {
                entry.sums.pop_front();
            }
            if let Some((known, read_at)) = &entry.read
                && book.schedule.is_own(name)
                && now - *read_at <= fresh
            {
                let report = LoadReport { age: now - known.taken_at, ..known.report.clone() };
                section.reports.push(ReportDigest { engine: name.clone(), report });
            }
            if let Some(known) = &entry.newest {
                section.engines.extend(digest(name, known, &entry.sums, &total));
            }
        }
        // Where not all fit, the busiest engines matter most.
        section.engines.sort_by_key(|digest| std::cmp::Reverse(digest.prefill.0 + digest.decode.0));
        self.link.publish_load(section);
    }
}

/// Records what a peer sent beyond what it said before of the same report.
fn apply_sent(
    peer: &mut Peer,
    heard: &ReceivedSection<LoadSection>,
    states: &BTreeMap<UpstreamName, Arc<UpstreamState>>,
    written_at: Millis,
) {
    let before = std::mem::take(&mut peer.sent);
    for digest in &heard.body.engines {
        let Some(engine) = states.get(&digest.engine) else { continue };
        let since = sent_since(digest);
        let sent = since.added_since(before.get(&digest.engine));
        if sent != SentTotals::default() {
            engine.record_peer_sent(&sent, written_at);
        }
        peer.sent.insert(digest.engine.clone(), since);
    }
}

/// Returns what was sent since a report was taken, if anything.
fn digest(
    name: &UpstreamName,
    known: &Known,
    sums: &VecDeque<(Millis, SentTotals)>,
    total: &SentTotals,
) -> Option<EngineDigest> {
    let before = sums.iter().rev().find(|(at, _)| *at <= known.taken_at);
    let (_, before) = before.or(sums.front())?;
    let sent = total.since(before);
    let digest = EngineDigest {
        engine: name.clone(),
        boot: known.report.boot,
        seq: known.report.seq,
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
