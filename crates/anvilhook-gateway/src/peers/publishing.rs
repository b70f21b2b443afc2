//! Decides what an instance publishes, when, and to which peers.

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
use crate::tables::TableRevision;
use crate::wires::Wire;

/// The maximum number of ticks between digests to the whole availability zone. From them the
/// instances know which peers can follow the tables for them.
const HEARTBEAT_TICKS: u32 = 10;

/// The minimum interval between two digests with the requests of this instance. The next one follows within half of the
/// time in which one is used.
const DEMAND_INTERVAL: Millis = Millis(500);

/// The number of random peers that receive a digest without a significant change beyond the
/// full-mesh limit. Sending it to more uses bandwidth at each tick and gains nothing: a small
/// change may arrive some ticks late.
const FANOUT: usize = 5;

/// The change of an engine's prompt work that is significant, in milliseconds of reading (prefill).
/// Instances that don't know of it would all send their next prompts to the same engine.
pub(crate) const SIGNIFICANT_CHANGE_MS: u32 = 25;

/// `Publisher` sends this instance's digests to its peers.
pub(super) struct Publisher {
    rng: ChaCha8Rng,
    /// The ticks since the last digest to the whole availability zone.
    ticks_since_publication: u32,
    had_loads: bool,
    /// When the requests of this instance were last published.
    demand_published_at: Millis,
    /// The prompt work at each engine as last published to all peers, in milliseconds.
    published_reading_ms: HashMap<u32, u32>,
    /// The loads as last published to the availability zone.
    published_loads: PublishedLoads,
    /// The notices as last published.
    published_notices: Vec<Notice>,
    /// For each table, whether it was last published as unreachable from here, and in which epoch of the
    /// store it was followed.
    published_watches: Vec<(bool, u64)>,
}

/// `Recipients` are the peers that receive a digest.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Recipients {
    /// All instances, in a full mesh.
    All,
    /// All instances of this availability zone.
    Zone,
    /// A random sample of the instances of this availability zone.
    Sample,
}

impl Publisher {
    /// Creates a publisher that has published nothing.
    pub fn new(rng: ChaCha8Rng) -> Self {
        Self {
            rng,
            ticks_since_publication: 0,
            had_loads: false,
            demand_published_at: Millis::ZERO,
            published_reading_ms: HashMap::new(),
            published_loads: PublishedLoads::default(),
            published_notices: Vec::new(),
            published_watches: Vec::new(),
        }
    }

    /// Returns whether a digest must go to more peers than a random sample, and records it as
    /// published if so.
    ///
    /// Each cached prompt is published only once, so a peer that is left out would have it read
    /// again.
    fn has_significant_change(&mut self, digest: &Digest, is_full_mesh: bool) -> bool {
        let reading: HashMap<u32, u32> =
            digest.loads.iter().map(|load| (load.engine, load.reading_ms)).collect();
        let of = |map: &HashMap<u32, u32>, engine| map.get(engine).copied().unwrap_or(0);
        let engines = reading.keys().chain(self.published_reading_ms.keys());
        let mut changes = engines.map(|engine| {
            let (now, before) = (of(&reading, engine), of(&self.published_reading_ms, engine));
            // In zoned mode the end of work is not published: each peer can estimate it from the
            // work's size.
            if is_full_mesh { now.abs_diff(before) } else { now.saturating_sub(before) }
        });
        let has_changed = changes.any(|change| change >= SIGNIFICANT_CHANGE_MS);
        // A notice is valid for seconds; publishing all of them with each digest would overload the
        // links.
        let is_in = |notices: &[Notice], notice: &Notice| notices.iter().any(|n| n.is_same(notice));
        let has_notice =
            digest.notices.iter().any(|notice| !is_in(&self.published_notices, notice));
        let is_significant = has_changed || !digest.cached.is_empty() || has_notice;
        if is_significant {
            (self.published_reading_ms, self.published_notices) = (reading, digest.notices.clone());
        } else {
            self.published_notices.retain(|notice| is_in(&digest.notices, notice));
        }
        is_significant
    }

    /// Publishes the updates that are ready, if any, and returns the digest that was sent.
    pub fn publish<W: Wire, C: Clock>(
        &mut self,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) -> Option<Digest> {
        self.send_changed_rows(socket, gateway, now);
        request_missed_rows(socket, gateway, now);
        introduce(socket, gateway, now);
        let mut digest = digest(gateway, now);
        let has_loads = !digest.loads.is_empty() || !digest.notices.is_empty();
        let has_suspects = !digest.suspects.is_empty();
        let has_updates = has_loads || has_suspects || self.had_loads || !digest.cached.is_empty();
        let watches = digest.watches.iter().map(|watch| (watch.is_unable, watch.epoch));
        let watches: Vec<_> = watches.collect();
        let is_due =
            self.ticks_since_publication >= HEARTBEAT_TICKS || self.published_watches != watches;
        self.ticks_since_publication += 1;
        if !has_updates && !is_due {
            return None;
        }
        self.had_loads = has_loads;
        let is_full_mesh = gateway.peers().is_full_mesh();
        let is_significant =
            self.has_significant_change(&digest, is_full_mesh) | gateway.peers().take_slot_change();
        // Any peer may receive the next repeat of a request that has just terminated an engine.
        let is_significant = is_significant | has_suspects;
        let recipients = match () {
            () if is_full_mesh => Recipients::All,
            () if is_significant || is_due => Recipients::Zone,
            () => Recipients::Sample,
        };
        if recipients != Recipients::Sample {
            self.ticks_since_publication = 0;
            self.published_watches = watches;
        }
        match recipients {
            // A full mesh uses little bandwidth, so whole digests are sent and a lost one does no
            // harm.
            Recipients::All => {}
            Recipients::Zone => {
                (digest.loads, digest.is_delta) = self.published_loads.next(&digest.loads, now);
                if digest.is_delta {
                    // The next whole digest carries the totals, early enough for the split of the
                    // engines.
                    digest.work.clear();
                }
            }
            Recipients::Sample => self.published_loads.record_partial_publication(&digest.loads),
        }
        if recipients != Recipients::Sample && now >= self.demand_published_at + DEMAND_INTERVAL {
            self.demand_published_at = now;
            digest.demand = Some(gateway.budget().own_demand(now));
        }
        let addresses = self.addresses(recipients, gateway, now);
        send(&digest, &addresses, socket, gateway);
        Some(digest)
    }

    /// Sends changed rows to the instances of the availability zone.
    fn send_changed_rows<W: Wire, C: Clock>(
        &self,
        socket: &UdpSocket,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) {
        let peers = gateway.peers();
        for table in FollowedTable::ALL {
            for rows in peers.watch_of(table).take_queued_rows() {
                send_rows(table, &rows, &peers.zone_peers(now), socket, gateway, now);
            }
        }
    }

    fn addresses<W: Wire, C: Clock>(
        &mut self,
        recipients: Recipients,
        gateway: &Gateway<W, C>,
        now: Millis,
    ) -> Vec<SocketAddr> {
        let peers = gateway.peers();
        match recipients {
            Recipients::All => peers.addresses(now),
            Recipients::Zone => peers.zone_peers(now),
            Recipients::Sample => some_of(peers.zone_peers(now), FANOUT, &mut self.rng),
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

/// Announces this instance, which has just been listed, to other availability zones.
fn introduce<W: Wire, C: Clock>(socket: &UdpSocket, gateway: &Gateway<W, C>, now: Millis) {
    let introduced = gateway.peers().take_introductions();
    if !introduced.is_empty() {
        send(&Digest::partial(gateway.peers(), now), &introduced, socket, gateway);
    }
}

/// Requests from a peer the changes that this instance has missed.
fn request_missed_rows<W: Wire, C: Clock>(
    socket: &UdpSocket,
    gateway: &Gateway<W, C>,
    now: Millis,
) {
    let peers = gateway.peers();
    for table in FollowedTable::ALL {
        let watch = peers.watch_of(table);
        let Some(sender) = watch.take_resync_target() else { continue };
        let known = watch.mirror().known();
        let (asks, asks_epoch) = (Some((table, known.version)), known.epoch);
        let digest = Digest { asks, asks_epoch, ..Digest::partial(peers, now) };
        send(&digest, &[sender], socket, gateway);
    }
}

/// Sends an instance the changes of a table since a version, if they are known here.
pub(super) fn send_missed_rows<W: Wire, C: Clock>(
    table: FollowedTable,
    known: TableRevision,
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
    let Ok(buf) = digest.encode() else { return };
    // A datagram that the socket can't accept counts as lost on the way.
    let is_sent = |address: &&SocketAddr| socket.try_send_to(&buf, **address).is_ok();
    let sent = addresses.iter().filter(is_sent).count();
    let metrics = gateway.metrics();
    metrics.digests.inc_by(sent as u64);
    metrics.digest_bytes.inc_by((buf.len() * sent) as u64);
    metrics.digest_sections.record(digest, buf.len(), sent);
}
