//! The byte stream of a client, bounded by what the client may make the process hold.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use anvilhook_core::client_bounds::{HEAD_FACTOR, Stage};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::client_holds::ClientHold;
use crate::servers::ConnectionCheck;

/// The maximum size of one read, in bytes. The library doubles its buffer after a read that fills it, so it keeps at most
/// 16 KiB.
const READ_BYTES: usize = (16 << 10) - 1;

/// The size of the library's first buffer, which counts as a part of the connection, in bytes.
const FIRST_BUFFER: usize = 8 << 10;

/// What a head may have in addition to its fields and path, in bytes: the rest of the request line, and empty lines.
const LINE_BYTES: usize = 8 << 10;

/// How many reads of empty lines are made before other tasks run.
const MAX_EMPTY_READS: usize = 16;

/// `StreamEnd` is why a stream returns no more bytes although its client could send more.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StreamEnd {
    /// The head of a request is too large.
    HeadTooLarge,
    /// There is no room for the head.
    NoRoom,
}

/// `ClientStream` is a client's connection, which takes room for a head before it reads it.
#[derive(Debug)]
pub(crate) struct ClientStream<A> {
    stream: TcpStream,
    hold: ClientHold,
    check: Arc<A>,
    /// The bytes of the head so far, with the empty lines before it, and those without them.
    received: usize,
    head: usize,
    end: Option<StreamEnd>,
    is_at_eof: bool,
    is_write_blocked: bool,
}

impl<A: ConnectionCheck> ClientStream<A> {
    pub fn new(stream: TcpStream, hold: ClientHold, check: Arc<A>) -> Self {
        Self {
            stream,
            hold,
            check,
            received: 0,
            head: 0,
            end: None,
            is_at_eof: false,
            is_write_blocked: false,
        }
    }

    /// Returns why the stream returns no more bytes, if the client is the reason.
    pub fn end(&self) -> Option<StreamEnd> {
        self.end
    }

    /// Returns whether the client has closed its side.
    pub fn is_at_eof(&self) -> bool {
        self.is_at_eof
    }

    /// Returns whether bytes of an earlier answer may not have been written yet.
    pub fn is_write_blocked(&self) -> bool {
        self.is_write_blocked
    }

    /// Returns the connection itself.
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn stop(&mut self, end: StreamEnd) -> io::Error {
        self.end = Some(end);
        io::Error::other("the client is not read any more")
    }

    /// Reads at most `most` bytes, and returns how many.
    fn poll_read_some(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        most: usize,
    ) -> Poll<io::Result<usize>> {
        // The buffer is written only once there is something to read: an idle connection would otherwise occupy it.
        ready!(self.stream.poll_read_ready(cx))?;
        let most = most.min(READ_BYTES).min(buf.remaining());
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(most));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        self.is_at_eof = read == 0 && most > 0;
        Poll::Ready(Ok(read))
    }

    fn poll_read_head(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        for _ in 0..MAX_EMPTY_READS {
            let limit = self.check.limits().max_head_bytes.saturating_add(LINE_BYTES);
            let left = limit.saturating_sub(self.received);
            if left == 0 {
                return Poll::Ready(Err(self.stop(StreamEnd::HeadTooLarge)));
            }
            let read = ready!(self.poll_read_some(cx, buf, left))?;
            if read == 0 {
                return Poll::Ready(Ok(()));
            }
            if self.hold.stage() == Stage::Idle && !self.hold.begin_head() {
                return Poll::Ready(Err(self.stop(StreamEnd::NoRoom)));
            }
            self.received += read;
            self.hold.record_progress(read);
            let kept = if self.head == 0 { skip_empty_lines(buf, read) } else { read };
            if !self.take_for_head(kept) {
                return Poll::Ready(Err(self.stop(StreamEnd::NoRoom)));
            }
            buf.advance(kept);
            if kept > 0 {
                return Poll::Ready(Ok(()));
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Takes the room for more bytes of a head.
    fn take_for_head(&mut self, bytes: usize) -> bool {
        let beyond = |bytes: usize| bytes.saturating_sub(FIRST_BUFFER) * HEAD_FACTOR;
        let before = beyond(self.head);
        self.head += bytes;
        let more = beyond(self.head) - before;
        more == 0 || self.hold.try_take(more)
    }
}

/// Removes the empty lines at the start of `read` bytes that follow the filled part of a buffer, and returns how many
/// bytes are left.
///
/// The library would keep them and parse them again with each read.
fn skip_empty_lines(buf: &mut ReadBuf<'_>, read: usize) -> usize {
    let bytes = buf.initialize_unfilled_to(read);
    let mut skipped = 0;
    loop {
        skipped += match &bytes[skipped..] {
            [b'\r', b'\n', ..] => 2,
            [b'\n', ..] => 1,
            _ => break,
        };
    }
    bytes.copy_within(skipped.., 0);
    read - skipped
}

impl<A: ConnectionCheck> AsyncRead for ClientStream<A> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        match this.hold.stage() {
            Stage::Idle | Stage::Head => {
                if this.hold.stage() == Stage::Idle {
                    (this.received, this.head) = (0, 0);
                }
                this.poll_read_head(cx, buf)
            }
            Stage::Body | Stage::Serving | Stage::Closing => {
                let read = ready!(this.poll_read_some(cx, buf, READ_BYTES))?;
                this.hold.record_progress(read);
                buf.advance(read);
                Poll::Ready(Ok(()))
            }
        }
    }
}

impl<A: ConnectionCheck> ClientStream<A> {
    fn record_written(&mut self, written: &Poll<io::Result<usize>>) {
        if self.is_write_blocked != written.is_pending() {
            self.is_write_blocked = written.is_pending();
            self.hold.set_writing(self.is_write_blocked);
        }
        if let Poll::Ready(Ok(bytes)) = written {
            self.hold.record_progress(*bytes);
        }
    }
}

impl<A: ConnectionCheck> AsyncWrite for ClientStream<A> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.record_written(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.record_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        // The library sees an idle connection fail and closes it, but its client is still to be answered.
        if this.end.is_some() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut this.stream).poll_shutdown(cx)
    }
}
