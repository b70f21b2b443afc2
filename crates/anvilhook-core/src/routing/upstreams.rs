//! What one instance knows of one upstream.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use crate::names::{UpstreamName, ZoneName};
use crate::units::Tokens;

/// `Work` is what a request asks of an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of output that are expected.
    pub output: Tokens,
}

/// `UpstreamState` is what this instance knows of an upstream. It is shared by all route tables that
/// name the upstream, so that replacing a table loses no count.
#[derive(Debug)]
pub struct UpstreamState {
    name: UpstreamName,
    address: SocketAddr,
    zone: ZoneName,
    leaving: AtomicBool,
    open_requests: AtomicU64,
    open_prompt_tokens: AtomicU64,
}

impl UpstreamState {
    /// Makes the state of an upstream of which nothing is known yet.
    pub fn new(name: UpstreamName, address: SocketAddr, zone: ZoneName) -> Self {
        Self {
            name,
            address,
            zone,
            leaving: AtomicBool::new(false),
            open_requests: AtomicU64::new(0),
            open_prompt_tokens: AtomicU64::new(0),
        }
    }

    /// Returns the upstream's name.
    pub fn name(&self) -> &UpstreamName {
        &self.name
    }

    /// Returns where the upstream listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the upstream's availability zone.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Says whether the upstream is leaving. A leaving upstream is given no new work.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    /// Returns whether the upstream may be given new work.
    pub fn takes_work(&self) -> bool {
        !self.leaving.load(Ordering::Acquire)
    }

    /// Counts a request of this instance in, before it is sent.
    pub fn begin(&self, work: Work) {
        self.open_requests.fetch_add(1, Ordering::AcqRel);
        self.open_prompt_tokens.fetch_add(work.prompt.0, Ordering::AcqRel);
    }

    /// Counts a request of this instance out, when it has ended one way or the other.
    pub fn end(&self, work: Work) {
        self.open_requests.fetch_sub(1, Ordering::AcqRel);
        self.open_prompt_tokens.fetch_sub(work.prompt.0, Ordering::AcqRel);
    }

    /// Returns how many requests of this instance are in flight at the upstream.
    pub fn open_requests(&self) -> u64 {
        self.open_requests.load(Ordering::Acquire)
    }
}
