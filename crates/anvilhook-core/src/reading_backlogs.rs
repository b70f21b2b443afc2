//! Estimates how long an engine is busy with the prompts that several instances have sent to it.
//!
//! Designed for: dozens of instances that send prompts to the same engine and report the work that they
//! have there at different times. An engine reads one prompt at a time. If each report were reduced by
//! its own age, an engine with prompts from five instances would seem to work five times as fast, and
//! further prompts would be sent behind a queue that is assumed to be empty.

use crate::units::Millis;

/// `ReadingBacklog` treats the work that instances report at one engine as one queue, which loses one
/// millisecond of work per millisecond.
///
/// Work is stated in milliseconds of the engine itself, so its speed is part of the reports. The result
/// is never more than the sum of the reports.
///
/// ```
/// use anvilhook_core::reading_backlogs::ReadingBacklog;
/// use anvilhook_core::units::Millis;
///
/// let mut backlog = ReadingBacklog::default();
/// backlog.add_report(100.0, Millis(1_000));
/// backlog.add_report(100.0, Millis(1_020));
/// assert_eq!(backlog.left_ms(Millis(1_050)), 150.0);
/// assert_eq!(backlog.left_ms(Millis(1_300)), 0.0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReadingBacklog {
    left_ms: f64,
    at: Millis,
}

impl ReadingBacklog {
    /// Adds the work that an instance reported at a time, in milliseconds.
    ///
    /// Reports are added in the order of their times. One that is older than the one before counts as
    /// if it had been made at the same time.
    pub fn add_report(&mut self, work_ms: f64, at: Millis) {
        self.left_ms = self.left_ms(at) + work_ms;
        self.at = self.at.max(at);
    }

    /// Returns the work that is left at a time, in milliseconds.
    pub fn left_ms(&self, now: Millis) -> f64 {
        (self.left_ms - (now - self.at).0 as f64).max(0.0)
    }
}
