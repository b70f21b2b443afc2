//! Clearances: what has recently been in a successful run, and therefore does not make engines terminate.

use std::collections::{HashMap, VecDeque};

use crate::fingerprints::Fingerprint;
use crate::units::Millis;

/// A clearance is renewed only once this share of its time has passed, so that what succeeds all the time takes up
/// little room.
const RENEWAL_SHARE: u64 = 4;

/// `Clearances` remembers for a while what has been in a successful run. If there are too many, the oldest are
/// forgotten first.
///
/// ```
/// use anvilhook_core::clearances::Clearances;
/// use anvilhook_core::fingerprints::Fingerprint;
/// use anvilhook_core::units::Millis;
///
/// let mut clearances = Clearances::new(Millis::from_secs(60), 100);
/// clearances.record(Fingerprint(7), Millis(0));
/// assert!(clearances.is_clear(Fingerprint(7), Millis(59_000)));
/// assert!(!clearances.is_clear(Fingerprint(7), Millis(60_000)));
/// ```
#[derive(Debug)]
pub struct Clearances {
    span: Millis,
    max: usize,
    recorded: HashMap<Fingerprint, Millis>,
    /// The clearances by age, renewed ones included.
    order: VecDeque<(Fingerprint, Millis)>,
}

impl Clearances {
    /// Creates an empty record whose clearances last for `span`, and which holds at most `max` of them.
    pub fn new(span: Millis, max: usize) -> Self {
        Self { span, max, recorded: HashMap::new(), order: VecDeque::new() }
    }

    /// Records that something was in a successful run.
    pub fn record(&mut self, subject: Fingerprint, now: Millis) {
        let renewed_at = |at: Millis| at + Millis(self.span.0 / RENEWAL_SHARE);
        if self.recorded.get(&subject).is_some_and(|at| renewed_at(*at) > now) {
            return;
        }
        while let Some((oldest, at)) = self.order.front().copied()
            && (at + self.span <= now || self.order.len() >= self.max)
        {
            self.order.pop_front();
            if self.recorded.get(&oldest) == Some(&at) {
                self.recorded.remove(&oldest);
            }
        }
        self.recorded.insert(subject, now);
        self.order.push_back((subject, now));
    }

    /// Returns whether something was in a successful run so recently that it does not make engines terminate.
    pub fn is_clear(&self, subject: Fingerprint, now: Millis) -> bool {
        self.recorded.get(&subject).is_some_and(|at| *at + self.span > now)
    }
}
