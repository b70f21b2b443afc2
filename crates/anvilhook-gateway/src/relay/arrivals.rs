//! Counts attempts against the budget for extra arrivals.

use std::sync::Arc;

use anvilhook_core::units::Clock;

use super::Gateway;
use super::failures::Failed;
use crate::wires::Wire;

/// `Arrival` is the way in which an attempt counts against the budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Arrival {
    /// It is the request's first attempt and does not count.
    First,
    /// It counts as an extra arrival.
    Extra,
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Admits an attempt. Returns how it counts against the budget, or `None` if the budget is used up.
    /// `has_sent` is whether the request has made a call of this kind before (one that reads its prompt, or
    /// one that answers it), and is set.
    ///
    /// Every arrival after the first counts against the budget, even if the upstream refuses it; otherwise
    /// retries would multiply an overload.
    pub(super) fn admit_attempt(&self, service: &Arc<str>, has_sent: &mut bool) -> Option<Arrival> {
        if !std::mem::replace(has_sent, true) {
            return Some(Arrival::First);
        }
        self.try_take_extra(service).then_some(Arrival::Extra)
    }

    /// Refunds an attempt that reached no upstream.
    ///
    /// Such an attempt adds no load. If it counted, the refused connections of engines that crash together
    /// would use up the budget, and requests that other engines could serve would be refused.
    pub(super) fn refund_attempt(
        &self,
        service: &Arc<str>,
        has_sent: &mut bool,
        arrival: Arrival,
        failed: &Failed,
    ) {
        match arrival {
            _ if failed.was_sent => {}
            Arrival::First => *has_sent = false,
            Arrival::Extra => self.refund_extra(service),
        }
    }
}
