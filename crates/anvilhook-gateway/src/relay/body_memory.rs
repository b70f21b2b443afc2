//! The memory that the bodies of answers take.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use anvilhook_core::body_memory::{SMALL_BODY_BYTES, may_grow};
use anvilhook_http::collecting::Room;

/// `BodyMemory` is the memory of all bodies of one kind. Clones share it.
#[derive(Clone, Debug)]
pub(super) struct BodyMemory(Arc<Use>);

#[derive(Debug)]
struct Use {
    bound: usize,
    bytes: AtomicUsize,
    large: AtomicUsize,
}

impl BodyMemory {
    /// Creates memory of which bodies may take `bound` bytes together.
    pub fn new(bound: usize) -> Self {
        Self(Arc::new(Use { bound, bytes: AtomicUsize::new(0), large: AtomicUsize::new(0) }))
    }

    /// Begins to collect a body.
    pub fn begin(&self) -> BodyRoom {
        BodyRoom { memory: self.clone(), bytes: 0, is_large: false }
    }

    /// Returns the bytes of all bodies.
    pub fn bytes(&self) -> usize {
        self.0.bytes.load(Ordering::Acquire)
    }
}

/// `BodyRoom` is the part of the memory that one body takes, until it is dropped.
#[derive(Debug)]
pub(super) struct BodyRoom {
    memory: BodyMemory,
    bytes: usize,
    is_large: bool,
}

impl Room for BodyRoom {
    fn try_take(&mut self, bytes: usize) -> bool {
        let memory = &self.memory.0;
        self.bytes += bytes;
        let all = memory.bytes.fetch_add(bytes, Ordering::AcqRel) + bytes;
        if self.bytes > SMALL_BODY_BYTES && !std::mem::replace(&mut self.is_large, true) {
            memory.large.fetch_add(1, Ordering::AcqRel);
        }
        may_grow(self.bytes, all, memory.large.load(Ordering::Acquire), memory.bound)
    }

    fn give_back(&mut self, bytes: usize) {
        self.bytes -= bytes;
        self.memory.0.bytes.fetch_sub(bytes, Ordering::AcqRel);
    }
}

impl Drop for BodyRoom {
    fn drop(&mut self) {
        let memory = &self.memory.0;
        memory.bytes.fetch_sub(self.bytes, Ordering::AcqRel);
        memory.large.fetch_sub(usize::from(self.is_large), Ordering::AcqRel);
    }
}
