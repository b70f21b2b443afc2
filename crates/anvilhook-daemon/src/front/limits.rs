//! Counts open requests, until the last byte of their answers has been handed to the server.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use anvilhook_core::units::Millis;
use anvilhook_http::GuardedBody;
use tokio::sync::{Notify, oneshot};
use volo_http::body::Body;

use super::states::Account;

/// `Flights` counts the requests in flight at this instance.
#[derive(Debug, Default)]
pub struct Flights {
    open: AtomicU64,
    idle: Notify,
}

impl Flights {
    /// Returns how many requests are in flight.
    pub fn open(&self) -> u64 {
        self.open.load(Ordering::SeqCst)
    }

    /// Waits until no request is in flight.
    pub async fn idle(&self) {
        loop {
            // The waiter is registered before the count is read, so that no notification is missed.
            let notified = self.idle.notified();
            if self.open() == 0 {
                return;
            }
            notified.await;
        }
    }

    /// Counts a request as in flight, and returns whether there were fewer than `max` before it.
    pub fn enter(self: &Arc<Self>, max: u64) -> (Flight, bool) {
        let before = self.open.fetch_add(1, Ordering::SeqCst);
        (Flight { flights: Arc::clone(self), account: None }, before < max)
    }
}

/// `Flight` counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct Flight {
    flights: Arc<Flights>,
    account: Option<Arc<Account>>,
}

impl Flight {
    /// Records the account whose limiter admitted the request, so that it is released at the end.
    pub fn admitted_by(&mut self, account: Arc<Account>) {
        self.account = Some(account);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if let Some(account) = &self.account {
            account.limiter.release();
        }
        if self.flights.open.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.flights.idle.notify_waiters();
        }
    }
}

/// Answers up to this size fit into the connection's buffers, even if the caller does not read.
const SMALL_ANSWER_BYTES: u64 = 64 * 1024;

/// `BodyEnd` signals the end of an answer's body: it is dropped together with the body, when that
/// has been read or abandoned.
#[derive(Debug)]
pub struct BodyEnd {
    _end: oneshot::Sender<Infallible>,
}

impl BodyEnd {
    /// Returns a `BodyEnd` to be stored in a body, and a receiver that completes when it is
    /// dropped.
    pub fn new() -> (Self, oneshot::Receiver<Infallible>) {
        let (tx, rx) = oneshot::channel();
        (Self { _end: tx }, rx)
    }
}

impl Flight {
    /// Counts the request as in flight until its answer's body ends, at most for `time_left`.
    ///
    /// Without this limit, a caller that stays connected without reading would delay a graceful
    /// stop indefinitely. After the deadline the answer is no longer of use.
    pub async fn until_end(self, end: oneshot::Receiver<Infallible>, time_left: Millis) {
        let _ = tokio::time::timeout(time_left.as_duration(), end).await;
    }
}

/// `Retained` keeps a request counted as in flight while its answer's body is being read.
enum Retained {
    /// The body itself holds the flight.
    Body { _flight: Flight },
    /// A task that waits for the body's end holds the flight.
    Task { _end: BodyEnd },
}

/// Returns an answer's body whose request counts as in flight until the body has been read. Its caller has
/// `time_left` to read it.
pub fn counted_body(body: Body, flight: Flight, time_left: Millis) -> Body {
    let size = http_body::Body::size_hint(&body).upper();
    let retained = if size.is_some_and(|size| size <= SMALL_ANSWER_BYTES) {
        Retained::Body { _flight: flight }
    } else {
        let (end, ended) = BodyEnd::new();
        tokio::spawn(flight.until_end(ended, time_left));
        Retained::Task { _end: end }
    };
    GuardedBody::wrap(body, retained)
}
