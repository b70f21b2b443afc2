//! Counting open requests, until the last byte of their answers has been handed over.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use anvilhook_core::units::Millis;
use bytes::Bytes;
use http_body::{Frame, SizeHint};
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
            // Whoever waits is registered before the count is read, so that no end is missed.
            let notified = self.idle.notified();
            if self.open() == 0 {
                return;
            }
            notified.await;
        }
    }

    /// Counts a request in, and says whether there were fewer than `max` before it.
    pub fn enter(self: &Arc<Self>, max: u64) -> (Flight, bool) {
        let before = self.open.fetch_add(1, Ordering::SeqCst);
        (Flight { flights: Arc::clone(self), account: None }, before < max)
    }
}

/// `Flight` counts one request in until it is dropped.
#[derive(Debug)]
pub struct Flight {
    flights: Arc<Flights>,
    account: Option<Arc<Account>>,
}

impl Flight {
    /// Has the account's limiter, which has admitted the request, count it out at the end.
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

/// Answers up to this size fit into the buffers of the connection, whatever its caller does.
const SMALL_ANSWER_BYTES: u64 = 64 * 1024;

/// `BodyEnd` is dropped together with an answer's body, when that has been read or abandoned.
#[derive(Debug)]
pub struct BodyEnd {
    _end: oneshot::Sender<Infallible>,
}

impl BodyEnd {
    /// Returns the end to be put into a body, and what waits for it.
    pub fn new() -> (Self, oneshot::Receiver<Infallible>) {
        let (tx, rx) = oneshot::channel();
        (Self { _end: tx }, rx)
    }
}

impl Flight {
    /// Keeps the request counted in until its answer's body ends, at most `time_left` long.
    ///
    /// A caller that stays connected and doesn't read would otherwise hold up a graceful stop for
    /// ever. After the deadline nobody waits for its answer any more.
    pub async fn until_end(self, end: oneshot::Receiver<Infallible>, time_left: Millis) {
        let _ = tokio::time::timeout(time_left.as_duration(), end).await;
    }
}

/// `Keeper` is what keeps a request counted in while its answer's body is being read.
enum Keeper {
    /// The body itself.
    Body { _flight: Flight },
    /// A task that waits for the body's end.
    Task { _end: BodyEnd },
}

/// `FlightBody` is an answer's body that keeps its request counted in until it has been read.
pub struct FlightBody {
    body: Body,
    _keeper: Keeper,
}

impl FlightBody {
    /// Covers a body whose caller has `time_left` to read it.
    pub fn cover(body: Body, flight: Flight, time_left: Millis) -> Body {
        let size = http_body::Body::size_hint(&body).upper();
        let keeper = if size.is_some_and(|size| size <= SMALL_ANSWER_BYTES) {
            Keeper::Body { _flight: flight }
        } else {
            let (end, ended) = BodyEnd::new();
            tokio::spawn(flight.until_end(ended, time_left));
            Keeper::Task { _end: end }
        };
        Body::from_body(Self { body, _keeper: keeper })
    }
}

impl http_body::Body for FlightBody {
    type Data = Bytes;
    type Error = volo_http::error::BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
