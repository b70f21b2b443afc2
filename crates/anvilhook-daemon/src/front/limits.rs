//! Counting open requests, until the last byte of their answers has been handed over.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use tokio::sync::Notify;
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

/// `FlightBody` is an answer's body that keeps its request counted in until it has been read.
pub struct FlightBody {
    body: Body,
    _flight: Arc<Flight>,
}

impl FlightBody {
    /// Covers a body.
    pub fn cover(body: Body, flight: Arc<Flight>) -> Body {
        Body::from_body(Self { body, _flight: flight })
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
