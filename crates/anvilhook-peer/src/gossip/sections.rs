//! The sections that an instance writes about itself for all other instances.

use anvilhook_core::names::{AccountName, InstanceName, PoolName, UpstreamName};
use anvilhook_core::orders::Term;
use anvilhook_core::reports::LoadReport;
use anvilhook_core::units::Tokens;

/// The approximate size of a section's header and list on the wire, in bytes.
const SECTION_BYTES: usize = 96;

/// The approximate sizes of an acknowledgement, an engine's digest, its report and an account's
/// digest on the wire, in bytes.
const ACK_BYTES: usize = 64;
const ENGINE_BYTES: usize = 56;
const REPORT_BYTES: usize = 88;
const ACCOUNT_BYTES: usize = 32;

/// `Section` is one kind of data that an instance publishes about itself.
pub trait Section: Clone + PartialEq {
    /// Removes all but the first `max` entries.
    fn truncate(&mut self, max: usize);

    /// Returns the approximate size of the section on the wire, in bytes.
    fn wire_bytes(&self) -> usize;
}

/// `DrainAck` confirms that the writer knows of the drain with this generation, sends the engine no
/// new work, and has no request in flight there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DrainAck {
    /// The engine's pool.
    pub pool: PoolName,
    /// The engine.
    pub engine: UpstreamName,
    /// The drain's generation. The acknowledgement is valid for this generation only.
    pub generation: u64,
}

/// `TermAck` confirms that the writer gives no more orders for the pool under a lower term.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TermAck {
    /// The pool that the lease covers.
    pub pool: PoolName,
    /// The term.
    pub term: Term,
    /// The holder of the term, as known to the writer.
    pub holder: InstanceName,
}

/// `AckSection` holds all current acknowledgements of one instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AckSection {
    /// The acknowledgements of drains.
    pub drains: Vec<DrainAck>,
    /// The acknowledgements of terms.
    pub terms: Vec<TermAck>,
}

impl AckSection {
    /// Returns whether the engine's drain with exactly this generation is acknowledged.
    pub fn has_drained(&self, engine: &UpstreamName, generation: u64) -> bool {
        self.drains.iter().any(|ack| ack.engine == *engine && ack.generation == generation)
    }

    /// Returns the highest term acknowledged for a pool.
    pub fn term(&self, pool: &PoolName) -> Option<Term> {
        self.terms.iter().filter(|ack| ack.pool == *pool).map(|ack| ack.term).max()
    }
}

impl Section for AckSection {
    fn wire_bytes(&self) -> usize {
        SECTION_BYTES + (self.drains.len() + self.terms.len()) * ACK_BYTES
    }

    fn truncate(&mut self, max: usize) {
        // Terms come first, because a successor delays its work on a whole pool until it has them.
        self.terms.truncate(max);
        self.drains.truncate(max - self.terms.len());
    }
}

/// `EngineDigest` sums up the work that one instance has sent to an engine since a load report of
/// that engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineDigest {
    /// The engine.
    pub engine: UpstreamName,
    /// The boot of the engine that the report belongs to.
    pub boot: u64,
    /// The report's sequence number.
    pub seq: u64,
    /// The requests sent since the report.
    pub requests: u32,
    /// The uncached prompt tokens of these requests.
    pub prefill: Tokens,
    /// The expected output tokens of these requests.
    pub decode: Tokens,
}

/// `ReportDigest` is an engine's load report as read by the writer of the section. The report's age
/// is its age when the section was published. The report's model is not sent.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportDigest {
    /// The engine.
    pub engine: UpstreamName,
    /// The report.
    pub report: LoadReport,
}

/// `LoadSection` holds the work that one instance has sent to the engines it uses, and the load
/// reports that it has read on behalf of all instances.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSection {
    /// One entry for each engine in use, the busiest first.
    pub engines: Vec<EngineDigest>,
    /// One entry for each engine whose reports the instance reads.
    pub reports: Vec<ReportDigest>,
}

impl Section for LoadSection {
    fn wire_bytes(&self) -> usize {
        let reports = self.reports.len() * REPORT_BYTES;
        SECTION_BYTES + self.engines.len() * ENGINE_BYTES + reports
    }

    fn truncate(&mut self, max: usize) {
        self.engines.truncate(max);
        self.reports.truncate(max);
    }
}

/// `AccountDigest` is the recent demand of a client account at one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountDigest {
    /// The account.
    pub account: AccountName,
    /// The rate of requests that asked for admission, per second. The wire format has a resolution
    /// of one thousandth.
    pub requests_per_s: f64,
    /// The number of requests currently open.
    pub open_requests: u32,
}

/// `DemandSection` holds the account demand at one instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandSection {
    /// Whether the writer receives the demand of all listed instances.
    pub hears_all: bool,
    /// One entry for each account in use, the busiest first.
    pub accounts: Vec<AccountDigest>,
}

impl Section for DemandSection {
    fn wire_bytes(&self) -> usize {
        SECTION_BYTES + self.accounts.len() * ACCOUNT_BYTES
    }

    fn truncate(&mut self, max: usize) {
        self.accounts.truncate(max);
    }
}
