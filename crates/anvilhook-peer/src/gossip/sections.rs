//! What an instance writes about itself for all others.

use anvilhook_core::names::{AccountName, InstanceName, PoolName, UpstreamName};
use anvilhook_core::orders::Term;
use anvilhook_core::reports::LoadReport;
use anvilhook_core::units::Tokens;

/// The bytes of a section's header and list on the wire, about.
const SECTION_BYTES: usize = 96;

/// The bytes of an acknowledgement, an engine's digest, its report and an account's digest on the
/// wire, about.
const ACK_BYTES: usize = 64;
const ENGINE_BYTES: usize = 56;
const REPORT_BYTES: usize = 88;
const ACCOUNT_BYTES: usize = 32;

/// `Section` is one kind of news that an instance writes about itself.
pub trait Section: Clone + PartialEq {
    /// Leaves out all but the first `max` entries.
    fn truncate(&mut self, max: usize);

    /// Returns about how many bytes the section takes on the wire.
    fn wire_bytes(&self) -> usize;
}

/// `DrainAck` says: of the drain of this generation I know, I send the engine no new work, and no
/// request of mine is in flight there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DrainAck {
    /// The engine's pool.
    pub pool: PoolName,
    /// The engine.
    pub engine: UpstreamName,
    /// The drain's generation. The acknowledgement holds for this one only.
    pub generation: u64,
}

/// `TermAck` says: I give no order for the pool below this term any more.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TermAck {
    /// The pool under the lease.
    pub pool: PoolName,
    /// The term.
    pub term: Term,
    /// Its holder, as far as the writer knows.
    pub holder: InstanceName,
}

/// `AckSection` holds all acknowledgements of one instance that stand.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AckSection {
    /// Of drains.
    pub drains: Vec<DrainAck>,
    /// Of terms.
    pub terms: Vec<TermAck>,
}

impl AckSection {
    /// Returns whether the drain of exactly this generation is acknowledged.
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
        // Terms come first: a successor waits for them with a whole pool.
        self.terms.truncate(max);
        self.drains.truncate(max - self.terms.len());
    }
}

/// `EngineDigest` is what one instance has sent to an engine since a report of the engine's load.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineDigest {
    /// The engine.
    pub engine: UpstreamName,
    /// The engine's start that the report belongs to.
    pub boot: u64,
    /// The report's number.
    pub seq: u64,
    /// Requests sent since.
    pub requests: u32,
    /// Their uncached prompt tokens.
    pub prefill: Tokens,
    /// Their expected output tokens.
    pub decode: Tokens,
}

/// `ReportDigest` is an engine's load report as the writer of the section read it. The report's age
/// is that when the section was published. Its model is not told.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportDigest {
    /// The engine.
    pub engine: UpstreamName,
    /// The report.
    pub report: LoadReport,
}

/// `LoadSection` holds what one instance has sent to the engines it uses, and the load reports that
/// it read for all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadSection {
    /// One entry for each engine, the busiest first.
    pub engines: Vec<EngineDigest>,
    /// One entry for each engine that the instance reads.
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

/// `AccountDigest` is what an account has lately asked of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountDigest {
    /// The account.
    pub account: AccountName,
    /// Requests that asked to be admitted, in a second. Thousandths are kept on the wire.
    pub requests_per_s: f64,
    /// Requests now open.
    pub open_requests: u32,
}

/// `DemandSection` holds the account demand that one instance meets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandSection {
    /// Whether the writer hears the demand of all listed instances.
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
