//! The memory that answers take while they are collected.

use std::sync::atomic::{AtomicUsize, Ordering};

use anvilhook_core::answer_memory::{SMALL_ANSWER_BYTES, may_grow};
use anvilhook_http::collecting::Room;

/// `AnswerMemory` is the memory of all answers that are being collected.
#[derive(Debug, Default)]
pub(super) struct AnswerMemory {
    bytes: AtomicUsize,
    large: AtomicUsize,
}

impl AnswerMemory {
    /// Begins to collect an answer.
    pub fn begin(&self) -> AnswerRoom<'_> {
        AnswerRoom { memory: self, bytes: 0, is_large: false }
    }

    /// Returns the bytes of all answers that are being collected.
    pub fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Acquire)
    }
}

/// `AnswerRoom` is the part of the memory that one answer takes, until it is dropped.
pub(super) struct AnswerRoom<'a> {
    memory: &'a AnswerMemory,
    bytes: usize,
    is_large: bool,
}

impl Room for AnswerRoom<'_> {
    fn try_take(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let all = self.memory.bytes.fetch_add(bytes, Ordering::AcqRel) + bytes;
        if self.bytes > SMALL_ANSWER_BYTES && !std::mem::replace(&mut self.is_large, true) {
            self.memory.large.fetch_add(1, Ordering::AcqRel);
        }
        may_grow(self.bytes, all, self.memory.large.load(Ordering::Acquire))
    }
}

impl Drop for AnswerRoom<'_> {
    fn drop(&mut self) {
        self.memory.bytes.fetch_sub(self.bytes, Ordering::AcqRel);
        self.memory.large.fetch_sub(usize::from(self.is_large), Ordering::AcqRel);
    }
}
