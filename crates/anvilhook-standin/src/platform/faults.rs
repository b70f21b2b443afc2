//! Faults of the platform, set while it runs.

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

/// `Reach` is whether calls come through.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Reach {
    /// Calls come through.
    #[default]
    Up,
    /// Calls are refused at once and have no effect, as when nothing listens.
    Refusing,
    /// Calls wait until the reach changes, then go on, as when a service stalls.
    Hanging,
    /// Calls have no effect and their callers hear nothing, as in a network partition. With stepped
    /// pacing callers hear at once that the answer is lost, so that a test needs no timeout.
    Cut,
}

/// `Loss` is where a lost answer leaves the effect of its call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// The call had no effect.
    BeforeEffect,
    /// The call took effect.
    AfterEffect,
    /// The call takes effect later, at `LocalPlatform::land_late_writes`, perhaps after the caller
    /// has read back that it did not.
    LateEffect,
}

/// `PlatformFaults` is a handle on the faults of the whole platform, or of one caller's view of it.
/// Clones share the faults.
#[derive(Clone, Debug, Default)]
pub struct PlatformFaults {
    state: Arc<Mutex<FaultState>>,
    /// Wakes calls that wait, after every change.
    changes: watch::Sender<()>,
}

#[derive(Debug, Default)]
struct FaultState {
    reach: [Reach; SERVICES],
    delay: Millis,
    /// What becomes of the answers of the next writes; none lets one pass.
    write_losses: VecDeque<Option<Loss>>,
    read_losses: usize,
    limits: Option<RateLimits>,
    writes: RateWindow,
    reads: RateWindow,
}

/// `Access` is what a call wants.
#[derive(Clone, Copy, Debug)]
pub(super) struct Access {
    pub(super) service: Service,
    /// The rows or objects that it writes; zero for a read.
    pub(super) writes: u32,
}

/// `Decision` is what becomes of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Decision {
    /// It is carried out, and its answer perhaps lost.
    Serve(Option<Loss>),
    /// It is refused without effect.
    Refuse(&'static str),
    /// It has no effect and its answer never comes.
    Cut,
    /// It waits until the faults change.
    Wait,
    /// It waits until a time.
    WaitUntil(Millis),
}

impl PlatformFaults {
    /// Sets whether calls of all services come through.
    pub fn set_reach(&self, reach: Reach) {
        self.change(|state| state.reach = [reach; SERVICES]);
    }

    /// Sets whether calls of one service come through.
    pub fn set_reach_of(&self, service: Service, reach: Reach) {
        self.change(|state| state.reach[service as usize] = reach);
    }

    /// Sets how long each call waits before it is carried out. Calls that wait already keep their
    /// time.
    pub fn set_delay(&self, delay: Millis) {
        self.change(|state| state.delay = delay);
    }

    /// Loses the answers of the next `count` writes that come through, after those lost already.
    pub fn lose_next_writes(&self, count: usize, loss: Loss) {
        self.change(|state| state.write_losses.extend(repeat_n(Some(loss), count)));
    }

    /// Lets the answers of the next `count` writes pass, after those set already and before those
    /// set next.
    pub fn pass_next_writes(&self, count: usize) {
        self.change(|state| state.write_losses.extend(repeat_n(None, count)));
    }

    /// Loses the answers of the next `count` reads that come through.
    pub fn lose_next_reads(&self, count: usize) {
        self.change(|state| state.read_losses += count);
    }

    /// Sets the rates past which calls of the table are refused; without them all pass.
    pub fn set_rate_limits(&self, limits: Option<RateLimits>) {
        self.change(|state| state.limits = limits);
    }

    /// Removes all faults and limits.
    pub fn heal(&self) {
        self.change(|state| *state = FaultState::default());
    }

    /// Lets calls that wait for a time look at the clock again, after a test has advanced it.
    pub fn step(&self) {
        self.change(|_| ());
    }

    /// Returns how many calls are held back by these faults, so that a test knows that a call has
    /// arrived before it goes on.
    pub fn waiting_calls(&self) -> usize {
        self.changes.receiver_count()
    }

    /// Watches for changes from now on.
    pub(super) fn subscribe(&self) -> watch::Receiver<()> {
        self.changes.subscribe()
    }

    /// Decides what becomes of a call. `due` keeps the time that the call waits for.
    pub(super) fn decide(&self, now: Millis, access: Access, due: &mut Option<Millis>) -> Decision {
        let mut state = self.lock();
        match state.reach[access.service as usize] {
            Reach::Up => (),
            Reach::Refusing => return Decision::Refuse("the platform is down"),
            Reach::Hanging => return Decision::Wait,
            Reach::Cut => return Decision::Cut,
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
        // The state is whole after every statement, so a panicking test leaves it usable.
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
