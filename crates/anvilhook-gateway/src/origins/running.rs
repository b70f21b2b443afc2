//! The streams that an instance relays now, whose origins an instance that starts must learn.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::stream_origins::{Software, StreamOrigin};

/// `RunningStreams` holds the origins of the streams that are being relayed.
#[derive(Clone, Debug, Default)]
pub(super) struct RunningStreams(Arc<Mutex<Numbered>>);

#[derive(Debug, Default)]
struct Numbered {
    next: u64,
    streams: HashMap<u64, Relayed>,
}

#[derive(Clone, Copy, Debug)]
struct Relayed {
    /// The hash of the id and start of the upstream from which the stream comes.
    upstream: u32,
    fingerprint: Fingerprint,
    origin: StreamOrigin,
}

/// `RunningStream` is a stream that is being relayed until it is dropped.
#[derive(Debug)]
pub(crate) struct RunningStream {
    streams: RunningStreams,
    number: u64,
}

impl RunningStreams {
    fn lock(&self) -> MutexGuard<'_, Numbered> {
        self.0.lock().expect("no panic under this lock")
    }

    /// Adds a stream from an upstream.
    pub fn begin(
        &self,
        upstream: u32,
        fingerprint: Fingerprint,
        origin: StreamOrigin,
    ) -> RunningStream {
        let mut numbered = self.lock();
        let number = numbered.next;
        numbered.next += 1;
        numbered.streams.insert(number, Relayed { upstream, fingerprint, origin });
        RunningStream { streams: self.clone(), number }
    }

    /// Returns the origins of all streams.
    pub fn all(&self) -> Vec<(Fingerprint, StreamOrigin)> {
        self.lock().streams.values().map(|one| (one.fingerprint, one.origin)).collect()
    }

    /// Makes the origins of the streams from an upstream unusable, and returns them as they were.
    pub fn retract(&self, upstream: u32) -> Vec<(Fingerprint, StreamOrigin)> {
        let mut numbered = self.lock();
        let from_there = numbered.streams.values_mut().filter(|one| one.upstream == upstream);
        let retracted = from_there.map(|one| {
            let before = (one.fingerprint, one.origin);
            one.origin.software = Software::NONE;
            before
        });
        retracted.collect()
    }
}

impl Drop for RunningStream {
    fn drop(&mut self) {
        self.streams.lock().streams.remove(&self.number);
    }
}
