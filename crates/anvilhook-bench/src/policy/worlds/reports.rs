//! Simulates the reports that instances poll from engines and the digests that they exchange.

use anvilhook_core::roles::ObservedWork;
use anvilhook_core::units::Millis;

use super::World;
use super::timers::Timer;
use crate::policy::role_control::PLAN_INTERVAL;

/// The interval at which one instance polls an engine's report and cache events.
const POLL_INTERVAL: Millis = Millis(500);

/// The interval between two digests to peers.
pub(super) const DIGEST_INTERVAL: Millis = Millis(500);

/// The interval at which the work observed by all instances is summed.
pub(super) const WORK_SHARE_INTERVAL: Millis = Millis(1_000);

impl World<'_> {
    pub(super) fn poll(&mut self, instance: usize) {
        for engine in 0..self.engines.len() {
            let view = &mut self.instances[instance];
            let Some(report) = self.engines[engine].report(self.now) else {
                view.engines[engine].set_leaving(true);
                continue;
            };
            // A report that is older than a role change must not undo the change.
            let state = &view.engines[engine];
            let known = state.role();
            state.apply_report(&report, self.now);
            state.set_role(known);
            let after = view.next_after(engine);
            if let Some(page) = self.engines[engine].cache_events(self.now, after) {
                view.apply_cache_events(engine, &page);
            }
        }
        self.timers.set(self.now + POLL_INTERVAL, Timer::Poll(instance));
    }

    pub(super) fn send_digest(&mut self, instance: usize) {
        let sent = std::mem::take(&mut self.instances[instance].sent);
        for (peer, view) in self.instances.iter().enumerate() {
            if peer != instance {
                for sent in &sent {
                    view.engines[sent.engine].record_peer_work(sent.work, sent.at);
                }
            }
        }
        self.timers.set(self.now + DIGEST_INTERVAL, Timer::Digest(instance));
    }

    /// Sums the work observed by all instances, which each of them learns from the digests.
    pub(super) fn share_observed_work(&mut self) {
        let seen = self.instances.iter().fold(ObservedWork::default(), |sum, instance| {
            sum.plus(instance.meter.take(WORK_SHARE_INTERVAL))
        });
        if self.policy.lanes {
            self.instances.iter_mut().for_each(|instance| instance.move_lanes(&seen));
        }
        let part = WORK_SHARE_INTERVAL.as_secs_f64() / PLAN_INTERVAL.as_secs_f64();
        self.seen = self.seen.plus(seen.times(part));
        self.timers.set(self.now + WORK_SHARE_INTERVAL, Timer::ShareWork);
    }
}
