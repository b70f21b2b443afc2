//! Faults of the platform, which can be changed while it runs.

use std::collections::VecDeque;
use std::iter::repeat_n;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use anvilhook_core::units::Millis;
use tokio::sync::watch;

use super::rate_limits::{RateLimits, RateWindow};

/// `Service` is one of the platform's services.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Service {
    /// The transactional table.
    Table,
    /// The object store.
    Objects,
    /// The instance list.
    Instances,
}

/// The number of services.
const SERVICES: usize = 3;

/// `Reach` indicates whether calls reach a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Reach {
    /// Calls reach the service.
    #[default]
    Up,
    /// Calls are refused at once and have no effect, as when nothing listens.
    Refusing,
    /// Calls wait until the reach changes and then continue, as when a service stalls.
    Hanging,
    /// Calls have no effect and their callers receive no answer, as in a network partition. With
    /// stepped pacing, calls fail at once with a lost answer, so that a test needs no timeout.
    Cut,
}

/// `Loss` indicates whether and when a call whose answer is lost takes effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// The call had no effect.
    BeforeEffect,
    /// The call took effect.
    AfterEffect,
    /// The call takes effect later, at `LocalPlatform::land_late_writes`. By then the caller may
    /// have read back that it had no effect.
    LateEffect,
}

/// `PlatformFaults` is a handle on the faults of the whole platform or of one caller's view of it.
/// Clones share the faults.
#[derive(Clone, Debug, Default)]
pub struct PlatformFaults {
    state: Arc<Mutex<FaultState>>,
    /// Wakes waiting calls after every change.
    changes: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct FaultState {
    reach: [Reach; SERVICES],
    delay: Millis,
    /// The losses planned for the answers of the next writes; `None` delivers the answer.
    write_losses: VecDeque<Option<Loss>>,
    read_losses: usize,
    limits: Option<RateLimits>,
    writes: RateWindow,
    reads: RateWindow,
}

/// `Access` describes the access that a call makes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Access {
    pub(super) service: Service,
    /// The number of rows or objects that the call writes; zero for a read.
    pub(super) writes: u32,
}

/// `Decision` is the way in which a call is handled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Decision {
    /// The call is carried out; its answer is lost if a loss is given.
    Serve(Option<Loss>),
    /// The call is refused without effect.
    Refuse(&'static str),
    /// The call has no effect and is never answered.
    Partition,
    /// The call waits until the faults change.
    Wait,
    /// The call waits until this time.
    WaitUntil(Millis),
}

impl PlatformFaults {
    /// Sets whether calls reach the services.
    pub fn set_reach(&self, reach: Reach) {
        self.change(|state| state.reach = [reach; SERVICES]);
    }

    /// Sets whether calls reach one service.
    pub fn set_reach_of(&self, service: Service, reach: Reach) {
        self.change(|state| state.reach[service as usize] = reach);
    }

    /// Sets how long each call waits before it is carried out. Calls that already wait for a delay
    /// are not affected.
    pub fn set_delay(&self, delay: Millis) {
        self.change(|state| state.delay = delay);
    }

    /// Plans to lose the answers of `count` writes that reach the service, after those already
    /// planned.
    pub fn lose_next_writes(&self, count: usize, loss: Loss) {
        self.change(|state| state.write_losses.extend(repeat_n(Some(loss), count)));
    }

    /// Plans to deliver the answers of `count` writes, after those already planned. Losses planned
    /// later apply to the writes that follow.
    pub fn pass_next_writes(&self, count: usize) {
        self.change(|state| state.write_losses.extend(repeat_n(None, count)));
    }

    /// Plans to lose the answers of `count` more reads that reach the service.
    pub fn lose_next_reads(&self, count: usize) {
        self.change(|state| state.read_losses += count);
    }

    /// Sets the rates beyond which calls of the table are refused; `None` removes the limits.
    pub fn set_rate_limits(&self, limits: Option<RateLimits>) {
        self.change(|state| state.limits = limits);
    }

    /// Removes all faults and limits.
    pub fn heal(&self) {
        self.change(|state| *state = FaultState::default());
    }

    /// Makes calls that wait for a delay check the clock again, after a test has advanced it.
    pub fn step(&self) {
        self.change(|_| ());
    }

    /// Returns how many calls these faults currently delay. Tests use this to wait until a call has
    /// arrived.
    pub fn waiting_calls(&self) -> usize {
        self.changes.receiver_count()
    }

    /// Returns a receiver that is notified of changes from now on.
    pub(super) fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Decides how to handle a call. `due` stores the end of the call's delay between decisions.
    pub(super) fn decide(&self, now: Millis, access: Access, due: &mut Option<Millis>) -> Decision {
        let mut state = self.lock();
        match state.reach[access.service as usize] {
            Reach::Up => (),
            Reach::Refusing => return Decision::Refuse("the platform is down"),
            Reach::Hanging => return Decision::Wait,
            Reach::Cut => return Decision::Partition,
        }
        let due = *due.get_or_insert(now + state.delay);
        if now < due {
            return Decision::WaitUntil(due);
        }
        if !state.take_rate(now, access) {
            return Decision::Refuse("the rate limit is reached");
        }
        Decision::Serve(state.take_loss(access))
    }

    fn change(&self, apply: impl FnOnce(&mut FaultState)) {
        apply(&mut self.lock());
        self.changes.send_replace(());
    }

    fn lock(&self) -> MutexGuard<'_, FaultState> {
        // The state is consistent after every statement, so it is usable after a panic in a test.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FaultState {
    fn take_rate(&mut self, now: Millis, access: Access) -> bool {
        match self.limits {
            Some(limits) if access.service == Service::Table => {
                if access.writes > 0 {
                    self.writes.take(now, access.writes, limits.writes_per_s)
                } else {
                    self.reads.take(now, 1, limits.reads_per_s)
                }
            }
            _ => true,
        }
    }

    fn take_loss(&mut self, access: Access) -> Option<Loss> {
        if access.writes > 0 {
            return self.write_losses.pop_front().flatten();
        }
        let lost = self.read_losses > 0;
        self.read_losses -= usize::from(lost);
        lost.then_some(Loss::AfterEffect)
    }
}
