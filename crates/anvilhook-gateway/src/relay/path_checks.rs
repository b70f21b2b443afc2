//! Checks by which path this instance reaches an upstream.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anvilhook_core::paths::{Conclusion, Contact, Path, check_interval, is_restored, is_sound};
use anvilhook_core::units::{Clock, Millis};
use tokio::net::TcpStream;

use super::Gateway;
use super::closings::CLOSED_PAUSE;
use crate::events::{UpstreamEvent, emit};
use crate::fleets::Upstream;
use crate::wires::Wire;

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The maximum number of connections that are opened for checks at the same time.
pub(super) const MAX_CONCURRENT_CHECKS: usize = 32;

/// How recently an upstream must have answered to count as reached.
const REACHED_TIME: Millis = Millis(1_000);

/// How recently an upstream must have answered not to be checked together with all others.
const RECENT_TIME: Millis = Millis(50);

/// The minimum time between two checks of all paths.
const CHECK_ALL_INTERVAL: Millis = Millis(5_000);

/// `LastCheck` is when all paths were last checked.
#[derive(Debug, Default)]
pub(super) struct LastCheck(AtomicU64);

impl LastCheck {
    /// Begins a check of all paths. Returns false if the last one was less than `interval` ago.
    fn begin(&self, interval: Millis, now: Millis) -> bool {
        let last = self.0.load(Ordering::Acquire);
        let is_due = last == 0 || now >= Millis(last) + interval;
        let (ordering, failed) = (Ordering::AcqRel, Ordering::Acquire);
        is_due && self.0.compare_exchange(last, now.0.max(1), ordering, failed).is_ok()
    }
}

impl<W: Wire, C: Clock> Gateway<W, C> {
    /// Checks the path to an upstream in the background, and repeatedly until it is direct, unless that is in
    /// progress.
    pub(super) fn check_path_later(&self, upstream: &Upstream) {
        // A closed upstream is known to have failed, whatever the path to it.
        let is_closed = upstream.state.slow_start().closed_until(self.now()).is_some();
        if is_closed || !upstream.state.path().begin_check(self.now()) {
            return;
        }
        let (gateway, upstream) = (self.clone(), upstream.clone());
        tokio::spawn(async move {
            gateway.check_path(&upstream).await;
            upstream.state.path().end_check(gateway.now());
        });
    }

    async fn check_path(&self, upstream: &Upstream) {
        let path = upstream.state.path();
        let mut connects = 0;
        while self.fleet().view().by_hash(upstream.hash).is_some() {
            let own = self.open_connection(upstream).await;
            if own == Contact::Connected {
                connects += 1;
                path.record_contact(self.now());
                if !path.current().is_indirect() || is_restored(connects, path.relapses()) {
                    break;
                }
            } else {
                connects = 0;
                if self.judge_path(upstream, own).await == Conclusion::Closed {
                    break;
                }
            }
            let interval = check_interval(self.broken_paths());
            tokio::time::sleep(interval.as_duration()).await;
        }
        self.record_path(upstream, Path::Direct);
    }

    /// Judges a path over which no connection could be opened.
    async fn judge_path(&self, upstream: &Upstream, own: Contact) -> Conclusion {
        let known = upstream.state.path().current();
        // Calls through others show by themselves whether those still reach the upstream.
        if known.is_indirect() {
            self.check_all_paths();
            return Conclusion::Path(known);
        }
        let others = self.contacts_of_others(upstream).await;
        let conclusion = self.conclude_contacts(own, &others);
        match conclusion {
            Conclusion::Closed => self.close_if_open(upstream),
            Conclusion::Path(path) => {
                self.record_path(upstream, path);
                if path.is_indirect() {
                    self.check_all_paths();
                }
            }
        }
        conclusion
    }

    /// Opens a connection to an upstream over this instance's own path.
    pub(super) async fn open_connection(&self, upstream: &Upstream) -> Contact {
        let _slot = self.inner.check_slots.acquire().await;
        let connecting = TcpStream::connect(upstream.entry.address);
        match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(_connection)) => Contact::Connected,
            Ok(Err(_)) => Contact::Refused,
            Err(_elapsed) => Contact::NoResponse,
        }
    }

    /// Records how this instance reaches an upstream.
    pub(super) fn record_path(&self, upstream: &Upstream, path: Path) {
        let state = &upstream.state;
        let Some(before) = state.path().replace(path, self.now()) else { return };
        let contact_age_ms = state.path().contact_age(self.now()).map(|age| age.0);
        emit(&UpstreamEvent::PathChanged {
            upstream: &upstream.entry.id,
            path: path.as_str(),
            before: before.as_str(),
            contact_age_ms,
            broken_paths: self.broken_paths(),
        });
        self.wake_waiting();
        if path.is_indirect() && !before.is_indirect() {
            // The failures before were those of the path.
            state.ejection().clear();
        }
    }

    /// Checks the paths to all upstreams that have not answered lately, in the background, as a path was found broken
    /// twice in a row. After a single failure this would cost too many connections where packets are lost.
    fn check_all_paths(&self) {
        let now = self.now();
        if !self.inner.last_check.begin(CHECK_ALL_INTERVAL, now) {
            return;
        }
        for upstream in self.fleet().view().all() {
            if !upstream.state.path().has_contact_within(RECENT_TIME, now) {
                self.check_path_later(upstream);
            }
        }
    }

    /// Returns how many upstreams this instance does not reach over its own paths.
    pub(crate) fn broken_paths(&self) -> usize {
        let view = self.fleet().view();
        view.all().filter(|one| one.state.path().current() != Path::Direct).count()
    }

    /// Returns whether this instance's failed contacts count as evidence about upstreams.
    pub(super) fn is_sound(&self) -> bool {
        let (view, now) = (self.fleet().view(), self.now());
        let reached =
            view.all().filter(|one| one.state.path().has_contact_within(REACHED_TIME, now));
        is_sound(reached.count(), self.broken_paths())
    }

    /// Closes an upstream for all instances, unless it is closed already. A check must not extend the closed time: an
    /// upstream that restarts meanwhile would get no work.
    fn close_if_open(&self, upstream: &Upstream) {
        if upstream.state.slow_start().closed_until(self.now()).is_none() {
            self.close_upstream(upstream, None, "");
        }
    }

    /// Stops using an upstream for a while because another instance was refused. That instance publishes it.
    pub(super) fn pass_over(&self, upstream: &Upstream) {
        upstream.state.mark_closed(self.now() + CLOSED_PAUSE, false);
    }
}
