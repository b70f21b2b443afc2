//! Counts the bytes of a connection and limits how much the remote side may send.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use futures_util::{AsyncRead, AsyncWrite};

use crate::errors::Error;
use crate::handles::Received;
use crate::options::PeerOptions;

/// `Meter` tracks the traffic of one connection and enforces the receive limit.
#[derive(Debug)]
pub(crate) struct Meter {
    received: Arc<Received>,
    bytes_per_s: f64,
    burst: f64,
    // The number of bytes that the remote side may still send now.
    allowance: Cell<f64>,
    refilled_at: Cell<Instant>,
    is_authenticated: Cell<bool>,
}

impl Meter {
    /// Creates the meter of an unauthenticated connection.
    pub(crate) fn new(options: &PeerOptions, received: Arc<Received>) -> Rc<Self> {
        Rc::new(Self {
            received,
            bytes_per_s: options.max_bytes_per_s as f64,
            burst: options.burst_bytes as f64,
            allowance: Cell::new(options.max_unauthenticated_bytes as f64),
            refilled_at: Cell::new(Instant::now()),
            is_authenticated: Cell::new(false),
        })
    }

    /// Grants the remote side the allowance of an authenticated partner.
    pub(crate) fn set_authenticated(&self) {
        self.is_authenticated.set(true);
        self.allowance.set(self.burst);
        self.refilled_at.set(Instant::now());
    }

    fn consume(&self, bytes: usize) -> io::Result<()> {
        let counters = &self.received.counters;
        counters.bytes_in.fetch_add(bytes as u64, Ordering::Relaxed);
        let mut allowance = self.allowance.get();
        if self.is_authenticated.get() {
            let now = Instant::now();
            let since = now.duration_since(self.refilled_at.replace(now));
            allowance = (allowance + since.as_secs_f64() * self.bytes_per_s).min(self.burst);
        }
        allowance -= bytes as f64;
        self.allowance.set(allowance);
        if allowance < 0.0 { Err(io::Error::other(Error::LimitExceeded)) } else { Ok(()) }
    }
}

/// `Metered` wraps one half of a connection with its meter.
#[derive(Debug)]
pub(crate) struct Metered<S> {
    stream: S,
    meter: Rc<Meter>,
}

impl<S> Metered<S> {
    /// Wraps one half of a connection.
    pub(crate) fn new(stream: S, meter: Rc<Meter>) -> Self {
        Self { stream, meter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.meter.consume(read)?;
        Poll::Ready(Ok(read))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.meter.received.counters.bytes_out.fetch_add(written as u64, Ordering::Relaxed);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
