//! Limits the interim answers (1xx) to a call.
//!
//! The library parses interim answers one after the other, for as long as bytes arrive. A server that sends nothing else
//! would keep the runtime's thread busy and everything else waiting.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::task::{Context, Poll, Waker};

use http::Request;
use motore::layer::Layer;
use tokio::sync::Notify;
use tokio::task::coop;
use volo::client::OneShotService;

/// The maximum number of interim answers to one call. None carries information that is used here.
const MAX_INTERIM: u32 = 16;

/// More than the budget of a task. A task without a budget can't use it up.
const MAX_BUDGET: u32 = 256;

/// `InterimLimit` counts the interim answers to one call. Clones share the count.
#[derive(Clone, Debug, Default)]
pub(crate) struct InterimLimit(Arc<Count>);

#[derive(Debug, Default)]
struct Count {
    received: AtomicU32,
    exceeded: Notify,
}

impl InterimLimit {
    /// Waits until there are too many interim answers.
    pub async fn exceeded(&self) {
        self.0.exceeded.notified().await;
    }

    /// Counts the interim answers to a request.
    pub fn count<B>(self, req: &mut Request<B>) {
        hyper::ext::on_informational(req, move |_| self.record());
    }

    fn record(&self) {
        if self.0.received.fetch_add(1, Ordering::AcqRel) >= MAX_INTERIM {
            self.0.exceeded.notify_one();
            yield_soon();
        }
    }
}

/// Uses up the budget of the task that is running, so that its next read from a socket returns to the runtime.
fn yield_soon() {
    let mut cx = Context::from_waker(Waker::noop());
    for _ in 0..MAX_BUDGET {
        match coop::poll_proceed(&mut cx) {
            Poll::Ready(step) => step.made_progress(),
            Poll::Pending => return,
        }
    }
}

impl<S> Layer<S> for InterimLimit {
    type Service = Counted<S>;

    fn layer(self, inner: S) -> Counted<S> {
        Counted { inner, limit: self }
    }
}

/// `Counted` is a service that counts the interim answers to its calls.
pub(crate) struct Counted<S> {
    inner: S,
    limit: InterimLimit,
}

impl<Cx, B, S> OneShotService<Cx, Request<B>> for Counted<S>
where
    Cx: Send,
    B: Send,
    S: OneShotService<Cx, Request<B>> + Send,
{
    type Response = S::Response;
    type Error = S::Error;

    async fn call(self, cx: &mut Cx, mut req: Request<B>) -> Result<S::Response, S::Error> {
        self.limit.count(&mut req);
        self.inner.call(cx, req).await
    }
}
