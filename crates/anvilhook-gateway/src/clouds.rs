//! The platform's API, as far as one instance at a time has duties there.

use std::sync::Arc;

use anvilhook_core::fleet_size::SizeOrder;

/// `Authority` is by what right a call is made.
#[derive(Clone, Copy, Debug)]
pub struct Authority<'a> {
    /// Who holds the duty.
    pub holder: &'a str,
    /// The fencing token of its lease.
    pub token: u64,
}

/// `UsageReport` is how many requests of each client account began to run in a window.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageReport {
    /// The window.
    pub window: u64,
    /// The accounts, by name, with their requests.
    pub counts: Vec<(Arc<str>, u32)>,
}

/// `FleetOrder` is a number of a service's upstreams to run in an availability zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetOrder {
    /// The service.
    pub service: Arc<str>,
    /// The availability zone, the kind and the number.
    pub size: SizeOrder,
}

/// `CloudAnswer` is what came of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloudAnswer {
    /// It was accepted.
    Accepted,
    /// It conflicts: a newer holder has called, or what is asked for is not to be had.
    Conflict,
    /// The platform was too busy, or away; nothing was done.
    Busy,
    /// It is wrong and will not be accepted.
    Wrong,
    /// No answer came; it may have been carried out, or be carried out later.
    NoAnswer,
}

impl CloudAnswer {
    /// Returns the text used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            CloudAnswer::Accepted => "accepted",
            CloudAnswer::Conflict => "conflict",
            CloudAnswer::Busy => "busy",
            CloudAnswer::Wrong => "wrong",
            CloudAnswer::NoAnswer => "no_answer",
        }
    }
}

/// `Cloud` makes calls to the platform's API. Every call is bounded in time, and decides nothing.
pub trait Cloud: Clone + Send + Sync + 'static {
    /// Reports the usage of a window.
    fn report_usage(
        &self,
        authority: Authority<'_>,
        report: &UsageReport,
    ) -> impl Future<Output = CloudAnswer> + Send;

    /// Orders a number of upstreams.
    fn size_fleet(
        &self,
        authority: Authority<'_>,
        order: &FleetOrder,
    ) -> impl Future<Output = CloudAnswer> + Send;
}
