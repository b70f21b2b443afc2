//! The origins of streams: which software began a stream that a caller continues at any instance.
//!
//! An instance that begins a stream sends its origin to a few other instances before it forwards the first event.
//! An instance at which a caller continues the stream queries these instances, unless it keeps the origin itself.
//! Nothing is stored beyond the memory of the instances, and the instance that began the stream need not run any more.

mod lookups;
mod messages;
mod recent;
mod running;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::stream_origins::{
    Finding, OriginTable, QUERIED_REPLICAS, REPLICAS, Replica, Software, StreamOrigin,
    choose_replicas, find,
};
use anvilhook_core::units::{Clock, Millis};
use tokio::net::UdpSocket;

use crate::fleets::Upstream;
use crate::hashes::hash_of;
use crate::metrics::NameLabel;
use crate::peers::Peers;
use crate::relay::Gateway;
use crate::wires::Wire;

use lookups::Lookups;
pub use messages::OriginMessage;
use recent::RecentStreams;
pub(crate) use running::RunningStream;
use running::RunningStreams;

/// How long an instance waits for answers to a query. Answers take milliseconds, but those of an instance whose CPU is
/// throttled may take a tenth of a second.
const LOOKUP_TIMEOUT: Millis = Millis(240);

/// The time after which a query is sent again, as datagrams may be lost.
const RESEND_INTERVAL: Millis = Millis(60);

/// The number of instances that must agree on the origin of a stream that its caller does not name, before all of the
/// queried ones have answered.
const MIN_KEEPERS: usize = 2;

/// `OriginKey` identifies a stream that a caller continues.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct OriginKey {
    /// The fingerprint of its requests.
    pub fingerprint: Fingerprint,
    /// The hash of the id of the request that began it, `None` if the caller does not name it.
    pub request: Option<u32>,
}

/// `OriginLookup` is the result of looking up where a stream began.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OriginLookup {
    /// This instance keeps the origin.
    Kept(Software),
    /// Another instance keeps it.
    Answered(Software),
    /// No instance keeps it, or the origins contradict each other.
    Unknown,
    /// Not all of the queried instances have answered, and the others don't keep it.
    Unanswered,
}

impl OriginLookup {
    /// Returns the software that began the stream.
    pub fn software(self) -> Option<Software> {
        match self {
            Self::Kept(software) | Self::Answered(software) => Some(software),
            Self::Unknown | Self::Unanswered => None,
        }
    }

    /// Returns the result for a stream without a name, if earlier streams of the same request may have been
    /// forgotten. Another instance, which has run for longer, may know.
    fn of_unsure_memory(self, peers: &Peers) -> Self {
        match self {
            Self::Kept(_) | Self::Answered(_) if peers.instances() > 1 => Self::Unanswered,
            Self::Kept(_) | Self::Answered(_) => Self::Unknown,
            Self::Unknown | Self::Unanswered => self,
        }
    }

    /// Returns the text used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Kept(_) => "kept",
            Self::Answered(_) => "answered",
            Self::Unknown => "unknown",
            Self::Unanswered => "unanswered",
        }
    }
}

/// `Link` is the socket over which origins are exchanged.
#[derive(Debug)]
struct Link {
    socket: Arc<UdpSocket>,
    own: SocketAddr,
}

/// `Origins` holds the origins that this instance keeps, and its queries to others.
#[derive(Debug, Default)]
pub(crate) struct Origins {
    table: Mutex<OriginTable>,
    /// The streams that this instance has begun lately.
    recent: RecentStreams,
    /// The streams that this instance relays now.
    running: RunningStreams,
    lookups: Lookups,
    link: OnceLock<Link>,
    /// When this instance started.
    started_at: Millis,
    /// How long after a break callers may still continue a stream.
    return_time: Millis,
}

/// Returns the hash of a request's id by which its origin is recorded.
pub(crate) fn request_hash(id: &str) -> u32 {
    hash_of(id) as u32
}

impl Origins {
    /// Creates a table without origins at an instance that starts at `started_at`. Callers continue broken streams
    /// within `return_time`.
    pub fn new(started_at: Millis, return_time: Millis) -> Self {
        Self { started_at, return_time, ..Self::default() }
    }

    /// Sets the socket over which origins are exchanged.
    pub fn attach(&self, socket: Arc<UdpSocket>) {
        if let Ok(own) = socket.local_addr() {
            let _ = self.link.set(Link { socket, own });
        }
    }

    /// Returns the number of origins that this instance keeps.
    pub fn len(&self) -> usize {
        self.table().len()
    }

    fn table(&self) -> MutexGuard<'_, OriginTable> {
        self.table.lock().expect("no panic under this lock")
    }

    /// Returns the other instances among the first `count` replicas of a stream, and the link to them.
    fn replicas(
        &self,
        peers: &Peers,
        fingerprint: Fingerprint,
        count: usize,
        now: Millis,
    ) -> Option<(&Link, Vec<SocketAddr>)> {
        let link = self.link.get()?;
        let replica = |address: SocketAddr, zone| Replica {
            address,
            zone,
            hash: hash_of(&(fingerprint, address)),
        };
        let others = peers.possible_replicas(now).into_iter();
        let mut replicas: Vec<_> = others.map(|(address, zone)| replica(address, zone)).collect();
        replicas.push(replica(link.own, Some(peers.zone())));
        // This instance takes its place in the order, so that all instances choose the same ones.
        let mut chosen = choose_replicas(replicas, count + 1);
        chosen.retain(|address| *address != link.own);
        chosen.truncate(count);
        Some((link, chosen))
    }
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Records the origin of a stream that begins at an upstream, here and at its replicas. The stream counts as running
    /// until the result is dropped.
    pub(crate) fn record_began(
        &self,
        fingerprint: Fingerprint,
        origin: StreamOrigin,
        upstream: &Upstream,
    ) -> RunningStream {
        self.origins().recent.add(upstream.hash, fingerprint, origin, self.now());
        self.publish_origin(fingerprint, origin);
        self.origins().running.begin(upstream.hash, fingerprint, origin)
    }

    /// Sends an instance that has started the origins of the running streams of which it is a replica. Long streams would
    /// otherwise lose all copies while their replicas restart one after the other.
    pub(crate) fn send_running_origins(&self, started: SocketAddr) {
        let now = self.now();
        for (fingerprint, origin) in self.origins().running.all() {
            let replicas = self.origins().replicas(self.peers(), fingerprint, REPLICAS, now);
            let Some((link, replicas)) = replicas else { return };
            if replicas.contains(&started) {
                let message = OriginMessage::Began { fingerprint, origin };
                self.send_origin_message(link, &message, &[started]);
            }
        }
    }

    /// Makes the origins of the streams that run at an upstream, or have lately begun there, unusable: its software has
    /// been replaced under its id, and either could have begun them.
    pub(crate) fn retract_origins(&self, upstream: &Upstream) {
        let mut retracted = self.origins().running.retract(upstream.hash);
        retracted.extend(self.origins().recent.take(upstream.hash, self.now()));
        for (fingerprint, origin) in retracted {
            self.publish_origin(fingerprint, StreamOrigin { software: Software::NONE, ..origin });
        }
    }

    fn publish_origin(&self, fingerprint: Fingerprint, origin: StreamOrigin) {
        let now = self.now();
        self.origins().table().record(fingerprint, origin, now);
        let replicas = self.origins().replicas(self.peers(), fingerprint, REPLICAS, now);
        let Some((link, replicas)) = replicas else { return };
        self.send_origin_message(link, &OriginMessage::Began { fingerprint, origin }, &replicas);
    }

    /// Looks up which software began a stream.
    pub(crate) async fn look_up_origin(&self, key: OriginKey) -> OriginLookup {
        let found = self.try_look_up(key).await;
        let is_sure = key.request.is_some() || self.has_kept_origins(key.fingerprint);
        let result = if is_sure { found } else { found.of_unsure_memory(self.peers()) };
        let label = NameLabel { name: result.as_str().to_owned() };
        self.metrics().origin_lookups.get_or_create(&label).inc();
        result
    }

    /// Returns whether an instance that would have received the origin of any stream with a fingerprint which its
    /// caller may still continue has run since then.
    ///
    /// Once all instances have been killed, the only known origins are those of requests that began afterwards. One
    /// with the same body may have begun at another software version than the stream which a caller continues without
    /// its name.
    fn has_kept_origins(&self, fingerprint: Fingerprint) -> bool {
        let (origins, now) = (self.origins(), self.now());
        let Some(since) = now.0.checked_sub(origins.return_time.0).map(Millis) else {
            return false;
        };
        let own_start = origins.started_at;
        match origins.replicas(self.peers(), fingerprint, REPLICAS, now) {
            Some((_, replicas)) if !replicas.is_empty() => {
                replicas.iter().any(|one| self.peers().has_run_since(*one, since, own_start))
            }
            _ => own_start <= since,
        }
    }

    async fn try_look_up(&self, key: OriginKey) -> OriginLookup {
        let OriginKey { fingerprint, request } = key;
        let (origins, began_at) = (self.origins(), self.now());
        let kept = origins.table().origins(fingerprint, began_at);
        // Only an origin of the named stream is sure to be the right one before others have answered.
        if request.is_some()
            && let Finding::Known(software) = find(request, &kept)
        {
            return OriginLookup::Kept(software);
        }
        let replicas = origins.replicas(self.peers(), fingerprint, QUERIED_REPLICAS, began_at);
        let Some((link, replicas)) = replicas.filter(|(_, replicas)| !replicas.is_empty()) else {
            return concluded(find(request, &kept), self.peers().is_listed());
        };
        let Some(lookup) = origins.lookups.begin(replicas) else { return OriginLookup::Unanswered };
        let query = OriginMessage::Query { number: lookup.number, fingerprint };
        let mut resend_at = began_at;
        loop {
            let mut progress = lookup.progress();
            progress.add(&kept);
            let (finding, now) = (find(request, &progress.origins), self.now());
            let is_complete = progress.waiting_for.is_empty();
            // A stream that is not named may be any of those that began, and each of them is known to all keepers
            // unless a datagram was lost.
            let is_certain = request.is_some() || progress.keepers >= MIN_KEEPERS;
            let is_known = is_certain && matches!(finding, Finding::Known(_));
            if is_complete || is_known || now >= began_at + LOOKUP_TIMEOUT {
                return concluded(finding, is_complete);
            }
            if now >= resend_at {
                self.send_origin_message(link, &query, &progress.waiting_for);
                resend_at = now + RESEND_INTERVAL;
            }
            let wait = (resend_at - now).as_duration();
            let _ = tokio::time::timeout(wait, lookup.answered()).await;
        }
    }

    /// Handles a datagram about origins.
    pub(crate) fn receive_origin_message(&self, message: OriginMessage, from: SocketAddr) {
        let (origins, now) = (self.origins(), self.now());
        match message {
            OriginMessage::Began { fingerprint, origin } => {
                origins.table().record(fingerprint, origin, now);
            }
            OriginMessage::Query { number, fingerprint } => {
                let Some(link) = origins.link.get() else { return };
                let kept = origins.table().origins(fingerprint, now);
                let answer = OriginMessage::Answer { number, origins: kept };
                self.send_origin_message(link, &answer, &[from]);
            }
            OriginMessage::Answer { number, origins: answered } => {
                origins.lookups.add_answer(number, from, &answered);
            }
        }
    }

    fn send_origin_message(&self, link: &Link, message: &OriginMessage, to: &[SocketAddr]) {
        let Ok(buf) = message.encode() else { return };
        for address in to {
            // A datagram that the socket can't accept counts as lost on the way.
            if link.socket.try_send_to(&buf, *address).is_ok() {
                self.metrics().origin_datagrams.inc();
                self.metrics().origin_bytes.inc_by(buf.len() as u64);
            }
        }
    }
}

fn concluded(finding: Finding, is_complete: bool) -> OriginLookup {
    match finding {
        Finding::Known(software) => OriginLookup::Answered(software),
        Finding::Missing if !is_complete => OriginLookup::Unanswered,
        Finding::Missing | Finding::Ambiguous => OriginLookup::Unknown,
    }
}
