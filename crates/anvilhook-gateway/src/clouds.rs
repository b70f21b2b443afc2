//! The calls to the platform's API that belong to duties, which one instance at a time performs.

use std::sync::Arc;

use anvilhook_core::fleet_size::SizeOrder;

/// `Authority` identifies the duty holder on whose behalf a call is made.
#[derive(Clone, Copy, Debug)]
pub struct Authority<'a> {
    /// The instance that holds the duty.
    pub holder: &'a str,
    /// The fencing token of its lease.
    pub token: u64,
}

/// `UsageReport` holds the number of requests of each client account that began to run in a window.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UsageReport {
    /// The window.
    pub window: u64,
    /// The accounts' names with their numbers of requests.
    pub counts: Vec<(Arc<str>, u32)>,
}

/// `FleetOrder` orders a number of a service's upstreams for an availability zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FleetOrder {
    /// The service.
    pub service: Arc<str>,
    /// The availability zone, the kind and the number.
    pub size: SizeOrder,
}

/// `CloudAnswer` is the outcome of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloudAnswer {
    /// The call was accepted.
    Accepted,
    /// The call conflicts: a newer holder has called, or the ordered upstreams are not available.
    Conflict,
    /// The platform was too busy or unavailable; nothing was done.
    Busy,
    /// The call is invalid and will never be accepted.
    Wrong,
    /// No answer arrived; the call may have been carried out, or may be carried out later.
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

/// `Cloud` makes calls to the platform's API. Every call has a timeout. Implementations make no
/// decisions.
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
