//! The streams that an instance has begun lately, by upstream.

use std::collections::VecDeque;
use std::sync::Mutex;

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::stream_origins::StreamOrigin;
use anvilhook_core::units::Millis;

/// How long after the start of an upstream's replacement instances may still list the one before: its first entry and
/// the change of the table take a second, longer while the table is out of reach.
const UNLISTED_TIME: Millis = Millis::from_secs(10);

/// The maximum number of streams.
const MAX_STREAMS: usize = 4_096;

#[derive(Clone, Copy, Debug)]
struct RecentStream {
    began_at: Millis,
    /// The hash of the upstream's id and start, as listed when the stream began.
    upstream: u32,
    fingerprint: Fingerprint,
    origin: StreamOrigin,
}

/// `RecentStreams` holds the streams of the last [`UNLISTED_TIME`].
#[derive(Debug, Default)]
pub(super) struct RecentStreams(Mutex<VecDeque<RecentStream>>);

impl RecentStreams {
    /// Adds a stream that begins.
    pub fn add(&self, upstream: u32, fingerprint: Fingerprint, origin: StreamOrigin, now: Millis) {
        let mut streams = self.0.lock().expect("no panic under this lock");
        let is_old = |one: &RecentStream| one.began_at + UNLISTED_TIME <= now;
        while streams.len() >= MAX_STREAMS || streams.front().is_some_and(is_old) {
            streams.pop_front();
        }
        streams.push_back(RecentStream { began_at: now, upstream, fingerprint, origin });
    }

    /// Removes and returns the streams that have lately begun at an upstream.
    pub fn take(&self, upstream: u32, now: Millis) -> Vec<(Fingerprint, StreamOrigin)> {
        let mut streams = self.0.lock().expect("no panic under this lock");
        let is_meant =
            |one: &RecentStream| one.upstream == upstream && one.began_at + UNLISTED_TIME > now;
        let taken = streams.iter().filter(|one| is_meant(one));
        let taken = taken.map(|one| (one.fingerprint, one.origin)).collect();
        streams.retain(|one| !is_meant(one));
        taken
    }
}
