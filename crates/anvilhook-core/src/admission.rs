//! Admission: decides whether a request is started or refused at once, without having run.
//!
//! A request that cannot be answered in time is refused when it arrives, before it takes engine time from
//! requests that could be. Nothing waits here: engines order waiting work by priority.

use crate::units::Millis;

/// `AdmissionOptions` sets the safety margins of admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionOptions {
    /// The time that an answer takes to travel back.
    pub margin: Millis,
    /// The error of the estimate, as a share of it. Work that ends late takes engine time from work
    /// that would be on time, so in doubt a request is refused.
    pub estimate_error: f64,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self { margin: Millis(20), estimate_error: 0.2 }
    }
}

/// `Admission` is the decision on one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It can be answered in time by the chosen upstream.
    Run,
    /// It cannot be answered in time and has not run.
    Refuse {
        /// When a similar request could be answered in time if the load stays the same.
        retry_after: Millis,
    },
}

/// Decides whether a request can be answered by its deadline at an upstream that is estimated to
/// take `estimate` for it.
///
/// ```
/// use anvilhook_core::admission::{Admission, AdmissionOptions, decide};
/// use anvilhook_core::units::Millis;
///
/// let options = AdmissionOptions { margin: Millis(20), estimate_error: 0.0 };
/// let deadline = Millis(1_000);
/// assert_eq!(decide(&options, Millis(980), deadline, Millis(0)), Admission::Run);
/// let late = decide(&options, Millis(1_500), deadline, Millis(0));
/// assert_eq!(late, Admission::Refuse { retry_after: Millis(520) });
/// ```
pub fn decide(
    options: &AdmissionOptions,
    estimate: Millis,
    deadline: Millis,
    now: Millis,
) -> Admission {
    let error_margin = Millis((estimate.0 as f64 * options.estimate_error) as u64);
    let ready_at = now + estimate + error_margin + options.margin;
    if ready_at <= deadline {
        return Admission::Run;
    }
    Admission::Refuse { retry_after: ready_at - deadline }
}
