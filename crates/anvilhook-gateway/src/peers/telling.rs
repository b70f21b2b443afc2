//! What an instance tells the others, when, and whom.

use std::collections::HashMap;
use std::net::SocketAddr;

use anvilhook_core::units::{Clock, Millis};
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use tokio::net::UdpSocket;

use super::changes::PublishedLoads;
use super::digests::{Digest, digest};
use super::notices::Notice;
use super::rows::{RowChanges, pieces_of};
use super::versions::FollowedTable;
use crate::relay::Gateway;
use crate::wires::Wire;

/// How many ticks pass at most until all instances of the availability zone are told something. By that
/// they know who is there to follow the tables for them.
const HEARTBEAT_TICKS: u32 = 10;

/// To how many of more peers a digest without great news goes, each time to others. To tell more of
/// them costs bytes at each tick and gains nothing: a small change may be heard some ticks late.
const FANOUT: usize = 5;

/// By how much an engine's work must have changed to be great news, in milliseconds of reading.
/// Instances that do not know of it would all send their next prompts to the same engine.
pub(crate) const SIGNIFICANT_CHANGE_MS: u32 = 25;

/// `Teller` tells the others.
pub(super) struct Teller {
    rng: ChaCha8Rng,
    /// The ticks since the instances of the availability zone were told last.
    quiet_ticks: u32,
    had_loads: bool,
    /// The prompt work at each engine as all peers were told it last, in milliseconds.
    told_to_all: HashMap<u32, u32>,
    /// The loads as the availability zone was told them last.
    told_loads: PublishedLoads,
    /// The notices that the others were given last.
    told_notices: Vec<Notice>,
    /// Whether the others were told last that this instance does not reach the tables.
    told_unable: Vec<bool>,
}

/// `Audience` is whom a digest goes to.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Audience {
    /// All instances, where there are few.
    All,
    /// Those of the own availability zone.
    Zone,
    /// A few of those.
    Few,
}

impl Teller {
    /// Makes a teller that has told nothing.
    pub fn new(rng: ChaCha8Rng) -> Self {
        Self {
            rng,
            quiet_ticks: 0,
            had_loads: false,
            told_to_all: HashMap::new(),
            told_loads: PublishedLoads::default(),
            told_notices: Vec::new(),
            told_unable: Vec::new(),
        }
    }

    /// Returns whether a digest is to go to all peers.
    ///
    /// What engines have read is told once only, so a peer that is left out would have it read again.
    fn has_great_news(&mut self, digest: &Digest, is_among_few: bool) -> bool {
        let reading: HashMap<u32, u32> =
            digest.loads.iter().map(|load| (load.engine, load.reading_ms)).collect();
        let of = |map: &HashMap<u32, u32>, engine| map.get(engine).copied().unwrap_or(0);
        let engines = reading.keys().chain(self.told_to_all.keys());
        let mut changes = engines.map(|engine| {
            let (now, before) = (of(&reading, engine), of(&self.told_to_all, engine));
            // That work ends is no news where there are many: each can tell from its size.
            if is_among_few { now.abs_diff(before) } else { now.saturating_sub(before) }
        });
        let has_changed = changes.any(|change| change >= SIGNIFICANT_CHANGE_MS);
        // A notice holds for seconds; to tell all of it with each digest would choke the links.
        let is_in = |notices: &[Notice], notice: &Notice| notices.iter().any(|n| n.is_same(notice));
        let has_notice = digest.notices.iter().any(|notice| !is_in(&self.told_notices, notice));
        let is_great = has_changed || !digest.cached.is_empty() || has_notice;
        if is_great {
            (self.told_to_all, self.told_notices) = (reading, digest.notices.clone());
        } else {
            self.told_notices.retain(|notice| is_in(&digest.notices, notice));
        }
        is_great
    }

    /// Tells what there is to tell now, if anything, and returns what was told.
    pub fn tell<W: Wire, C: Clock>(
        &mut self,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) -> Option<Digest> {
        self.tell_rows(socket, gateway, now);
        ask_for_missed(socket, gateway, now);
        introduce(socket, gateway, now);
        let mut digest = digest(gateway, now);
        let has_loads = !digest.loads.is_empty() || !digest.notices.is_empty();
        let has_suspects = !digest.suspects.is_empty();
        let has_news = has_loads || has_suspects || self.had_loads || !digest.cached.is_empty();
        let unable: Vec<_> = digest.watches.iter().map(|watch| watch.is_unable).collect();
        let is_due = self.quiet_ticks >= HEARTBEAT_TICKS || self.told_unable != unable;
        self.quiet_ticks += 1;
        if !has_news && !is_due {
            return None;
        }
        self.had_loads = has_loads;
        let is_among_few = gateway.peers().is_full_mesh();
        let is_great =
            self.has_great_news(&digest, is_among_few) | gateway.peers().take_place_news();
        // Each may be sent the next repeat of what has just ended an engine.
        let is_great = is_great | has_suspects;
        let audience = match () {
            () if is_among_few => Audience::All,
            () if is_great || is_due => Audience::Zone,
            () => Audience::Few,
        };
        if audience != Audience::Few {
            self.quiet_ticks = 0;
            self.told_unable = unable;
        }
        match audience {
            // Few cost few bytes, and need no care for a digest that is lost.
            Audience::All => {}
            Audience::Zone => {
                (digest.loads, digest.is_delta) = self.told_loads.next(&digest.loads, now);
                if digest.is_delta {
                    // The next whole digest has the sum, soon enough for the split of the engines.
                    digest.work.clear();
                }
            }
            Audience::Few => self.told_loads.note_told_to_some(&digest.loads),
        }
        let addresses = self.addresses(audience, gateway, now);
        send(&digest, &addresses, socket, gateway);
        Some(digest)
    }

    /// Tells the instances of the availability zone which rows have changed.
    fn tell_rows<W: Wire, C: Clock>(
        &self,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        let peers = gateway.peers();
        for table in FollowedTable::ALL {
            for rows in peers.watch_of(table).take_to_tell() {
                send_rows(table, &rows, &peers.zone_peers(now), socket, gateway, now);
            }
        }
    }

    fn addresses<W: Wire, C: Clock>(
        &mut self,
        audience: Audience,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) -> Vec<SocketAddr> {
        let peers = gateway.peers();
        match audience {
            Audience::All => peers.addresses(now),
            Audience::Zone => peers.zone_peers(now),
            Audience::Few => some_of(peers.zone_peers(now), FANOUT, &mut self.rng),
        }
    }
}

/// Returns `count` of the addresses, or all if there are fewer, chosen at random.
pub(super) fn some_of(
    mut addresses: Vec<SocketAddr>,
    count: usize,
    rng: &mut ChaCha8Rng,
) -> Vec<SocketAddr> {
    addresses.partial_shuffle(rng, count).0.to_vec()
}

/// Has the instances of other availability zones know of this one, which has just been listed.
fn introduce<W: Wire, C: Clock>(socket: &UdpSocket, gateway: &Gateway<W, C>, now: Millis) {
    let introduced = gateway.peers().take_introductions();
    if !introduced.is_empty() {
        send(&Digest::partial(gateway.peers(), now), &introduced, socket, gateway);
    }
}

/// Asks for the changes that this instance has missed.
fn ask_for_missed<W: Wire, C: Clock>(socket: &UdpSocket, gateway: &Gateway<W, C>, now: Millis) {
    let peers = gateway.peers();
    for table in FollowedTable::ALL {
        let watch = peers.watch_of(table);
        let Some(teller) = watch.take_to_ask() else { continue };
        let asks = Some((table, watch.mirror().known()));
        let digest = Digest { asks, ..Digest::partial(peers, now) };
        send(&digest, &[teller], socket, gateway);
    }
}

/// Tells one instance what has changed in a table since a version, if that is known here.
pub(super) fn tell_missed<W: Wire, C: Clock>(
    table: FollowedTable,
    known: u64,
    to: SocketAddr,
    socket: &UdpSocket,
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    let peers = gateway.peers();
    let Some(missed) = peers.watch_of(table).mirror().since(known) else { return };
    send_rows(table, &missed, &[to], socket, gateway, now);
}

fn send_rows<W: Wire, C: Clock>(
    table: FollowedTable,
    rows: &RowChanges,
    addresses: &[SocketAddr],
    socket: &UdpSocket,
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    for piece in pieces_of(table, rows) {
        let digest = Digest { rows: Some(piece), ..Digest::partial(gateway.peers(), now) };
        send(&digest, addresses, socket, gateway);
    }
}

pub(super) fn send<W: Wire, C: Clock>(
    digest: &Digest,
    addresses: &[SocketAddr],
    socket: &UdpSocket,
    gateway: &Gateway<W, C>,
) {
    let Ok(buf) = postcard::to_stdvec(digest) else { return };
    // A datagram that finds no room is as good as lost on the way.
    let is_sent = |address: &&SocketAddr| socket.try_send_to(&buf, **address).is_ok();
    let sent = addresses.iter().filter(is_sent).count();
    let metrics = gateway.metrics();
    metrics.digests.inc_by(sent as u64);
    metrics.digest_bytes.inc_by((buf.len() * sent) as u64);
    metrics.digest_sections.record(digest, buf.len(), sent);
}
