//! Simulates role changes, drains, crashes and restarts of engines.

use anvilhook_core::units::Millis;

use super::World;
use super::timers::Timer;
use crate::policy::role_control::{ACKNOWLEDGED_AFTER, Change, PLAN_INTERVAL};
use crate::policy::scenarios::Fault;

/// The time for which a crashed engine stays down.
const DOWNTIME: Millis = Millis::from_secs(30);

/// The engine that crashes if no engine has started a change by the middle of the run.
const FALLBACK_CRASH_ENGINE: usize = 5;

impl World<'_> {
    pub(super) fn plan(&mut self) {
        let seen = std::mem::take(&mut self.seen);
        let serving: Vec<bool> =
            (0..self.engines.len()).map(|e| self.up[e] && !self.drained[e]).collect();
        for (engine, role) in self.roles.plan(&seen, &serving, self.now) {
            let change = Change { role, drained_at: self.now, ordered: false };
            self.roles.changes[engine] = Some(change);
            self.publish_serving(engine);
        }
        self.timers.set(self.now + PLAN_INTERVAL, Timer::Plan);
    }

    /// Gives the order for each drained engine that has no request left.
    pub(super) fn advance_changes(&mut self) {
        for engine in 0..self.engines.len() {
            let Some(change) = self.roles.changes[engine] else { continue };
            let acknowledged = change.drained_at + ACKNOWLEDGED_AFTER <= self.now;
            if change.ordered || !acknowledged || !self.engines[engine].open_attempts().is_empty() {
                continue;
            }
            self.give_order(engine, change);
            if self.crash_pending && self.now.0 > self.workload.horizon.0 / 8 {
                self.crash(engine);
            }
        }
        if self.crash_pending && self.now.0 > self.workload.horizon.0 / 2 {
            self.crash(FALLBACK_CRASH_ENGINE);
        }
    }

    fn give_order(&mut self, engine: usize, change: Change) {
        let order = self.roles.order(engine, change.role, self.now);
        self.engines[engine].order(self.now, &order);
        self.roles.changes[engine] = Some(Change { ordered: true, ..change });
        self.totals.changes_at.push(self.now);
    }

    pub(super) fn finish_change(&mut self, engine: usize) {
        let Some(change) = self.roles.changes[engine].take() else { return };
        for instance in &self.instances {
            instance.engines[engine].set_role(change.role);
        }
        self.publish_serving(engine);
    }

    fn crash(&mut self, engine: usize) {
        self.crash_pending = false;
        self.engines[engine].crash(self.now);
        self.up[engine] = false;
        // The interrupted order leaves the engine in its previous role, and the change is
        // abandoned.
        if self.roles.changes[engine].take().is_some() {
            let role = self.instances[0].engines[engine].role();
            let _ = self.roles.order(engine, role, self.now);
        }
        self.timers.set(self.now + DOWNTIME, Timer::Restart(engine));
    }

    pub(super) fn restart(&mut self, engine: usize) {
        self.engines[engine].restart(self.now);
        self.up[engine] = true;
        self.publish_serving(engine);
    }

    pub(super) fn fault(&mut self, engine: usize, index: usize) {
        let faults = self.workload.scenario.faults(self.workload.horizon);
        match faults[index].2 {
            Fault::Drain => self.drained[engine] = true,
            Fault::Return => self.drained[engine] = false,
        }
        self.publish_serving(engine);
    }

    /// Updates the view of all instances on whether an engine accepts work.
    fn publish_serving(&mut self, engine: usize) {
        let changing = self.roles.changes[engine].is_some();
        let leaving = changing || self.drained[engine] || !self.up[engine];
        for instance in &self.instances {
            instance.engines[engine].set_leaving(leaving);
        }
    }
}
