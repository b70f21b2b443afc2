//! Events about what one instance at a time does: leases, reports and orders.

use log::Level;
use serde::Serialize;

use super::Event;

/// `DutyEvent` is a line about a lease, or about what its holder does.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum DutyEvent<'a> {
    /// An attempt to acquire or renew a lease has completed.
    Lease {
        /// The purpose of the lease.
        lease: &'a str,
        /// The outcome.
        outcome: &'a str,
        /// The fencing token, 0 if there is none.
        token: u64,
    },
    /// A call to report the usage of a window has completed.
    UsageReported {
        /// The window.
        window: u64,
        /// The number of client accounts in the report.
        accounts: usize,
        /// The total number of their requests.
        requests: u64,
        /// The fencing token.
        token: u64,
        /// The outcome.
        outcome: &'a str,
    },
    /// The number of a service's upstreams and their use.
    FleetSeen {
        /// The service.
        service: &'a str,
        /// The number of regular upstreams that are not leaving.
        regular: u32,
        /// The number of reclaimable upstreams that are not leaving.
        reclaimable: u32,
        /// The work, in hundredths of one engine's capacity.
        used: u32,
        /// The number of upstreams before any were ordered, if it is known.
        usual: Option<u32>,
    },
    /// A call to order a number of upstreams has completed.
    FleetOrdered {
        /// The service.
        service: &'a str,
        /// The availability zone.
        zone: &'a str,
        /// Whether the upstreams are reclaimable.
        reclaimable: bool,
        /// The current number.
        has: u32,
        /// The ordered number.
        desired: u32,
        /// The reason.
        reason: &'a str,
        /// The age of the upstream table, in milliseconds.
        list_age_ms: Option<u64>,
        /// The fencing token.
        token: u64,
        /// The outcome.
        outcome: &'a str,
    },
    /// The usage of a window is not reported, because the time to report it has passed.
    UsageMissed {
        /// The window.
        window: u64,
    },
    /// A duty is postponed.
    DutyDelayed {
        /// The duty.
        duty: &'a str,
        /// The cause.
        cause: String,
    },
    /// An order was given to an engine.
    OrderGiven {
        /// The engine.
        upstream: &'a str,
        /// The role that it is ordered to switch to.
        role: &'a str,
        /// The fencing token.
        token: u64,
        /// The engine's answer.
        outcome: &'a str,
    },
}

impl Event for DutyEvent<'_> {
    fn level(&self) -> Level {
        Level::Info
    }
}
