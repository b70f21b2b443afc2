//! The streams that an instance relays now, whose origins an instance that starts must learn.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

use anvilhook_core::fingerprints::Fingerprint;
use anvilhook_core::stream_origins::StreamOrigin;

/// `RunningStreams` holds the origins of the streams that are being relayed.
#[derive(Clone, Debug, Default)]
pub(super) struct RunningStreams(Arc<Mutex<Numbered>>);

#[derive(Debug, Default)]
struct Numbered {
    next: u64,
    streams: HashMap<u64, (Fingerprint, StreamOrigin)>,
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

    /// Adds a stream.
    pub fn begin(&self, fingerprint: Fingerprint, origin: StreamOrigin) -> RunningStream {
        let mut numbered = self.lock();
        let number = numbered.next;
        numbered.next += 1;
        numbered.streams.insert(number, (fingerprint, origin));
        RunningStream { streams: self.clone(), number }
    }

    /// Returns all streams.
    pub fn all(&self) -> Vec<(Fingerprint, StreamOrigin)> {
        self.lock().streams.values().copied().collect()
    }
}

impl Drop for RunningStream {
    fn drop(&mut self) {
        self.streams.lock().streams.remove(&self.number);
    }
}
