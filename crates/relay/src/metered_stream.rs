//! A connection to an endpoint, as the HTTP client uses it.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::endpoint_connector::EndpointStream;
use crate::read_turns::{BodyTurns, ReadTurns};

/// Largest size of the heads of one answer, those of interim answers included, in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1_024;

/// Bytes that are read from a connection before other tasks run.
const READ_SLICE_BYTES: usize = 16 * 1_024;

/// What is known of the exchange on a connection.
#[derive(Debug)]
pub(crate) struct StreamMeter {
    turns: BodyTurns,
    /// Bytes that may be read until the head of the answer is complete; `None` if none is awaited.
    head_bytes_left: Cell<Option<usize>>,
    /// Whether the head of an answer was longer than [`MAX_HEAD_BYTES`].
    is_head_too_long: Cell<bool>,
    /// Whether a part of the request is still to be written, or writing it has failed.
    is_request_unwritten: Cell<bool>,
}

impl StreamMeter {
    pub(crate) fn new(turns: &ReadTurns) -> Self {
        Self {
            turns: BodyTurns::new(turns),
            head_bytes_left: Cell::default(),
            is_head_too_long: Cell::default(),
            is_request_unwritten: Cell::default(),
        }
    }

    /// Turns in which the bodies of answers are read.
    pub(crate) fn turns(&self) -> &BodyTurns {
        &self.turns
    }

    /// Limits what is read from now on to the heads of one answer.
    pub(crate) fn await_head(&self) {
        self.head_bytes_left.set(Some(MAX_HEAD_BYTES));
    }

    /// Ends the limit of [`Self::await_head`].
    pub(crate) fn head_arrived(&self) {
        self.head_bytes_left.set(None);
    }

    /// Whether the connection failed because the head of an answer did not end.
    pub(crate) fn is_head_too_long(&self) -> bool {
        self.is_head_too_long.get()
    }

    fn check_head(&self) -> io::Result<()> {
        if self.head_bytes_left.get() != Some(0) {
            return Ok(());
        }
        self.is_head_too_long.set(true);
        let message = format!("the head of the answer is longer than {MAX_HEAD_BYTES} bytes");
        Err(io::Error::new(io::ErrorKind::InvalidData, message))
    }

    fn bytes_read(&self, count: usize) {
        let left = self.head_bytes_left.get();
        self.head_bytes_left
            .set(left.map(|left| left.saturating_sub(count)));
    }
}

/// A connection to an endpoint that reads no more than its [`StreamMeter`] allows, and lets other tasks
/// run however much there is to read.
///
/// Invariant: the connection only ends in an orderly way if the whole request has been written. An
/// endpoint that closes its connection before has broken off, and whether the kernel reports that as a
/// reset depends on the order in which the ends of the two directions arrive.
pub(crate) struct MeteredStream {
    stream: EndpointStream,
    meter: Rc<StreamMeter>,
    /// Bytes that may still be read before other tasks run.
    slice_left: usize,
}

impl MeteredStream {
    pub(crate) fn new(stream: EndpointStream, meter: &Rc<StreamMeter>) -> Self {
        Self {
            stream,
            meter: Rc::clone(meter),
            slice_left: READ_SLICE_BYTES,
        }
    }

    /// Checks that a connection that has ended did so in an orderly way.
    fn check_end(&self) -> io::Result<()> {
        if self.meter.is_request_unwritten.get() {
            let message = "the endpoint closed the connection before it had the whole request";
            return Err(io::Error::new(io::ErrorKind::ConnectionReset, message));
        }
        match &self.stream {
            EndpointStream::Left(stream) => stream.take_error()?.map_or(Ok(()), Err),
            EndpointStream::Right(_) => Ok(()),
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.meter.check_head()?;
        if self.slice_left == 0 {
            self.slice_left = READ_SLICE_BYTES;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let length = buffer.remaining().min(self.slice_left);
        let mut slice = ReadBuf::new(buffer.initialize_unfilled_to(length));
        let read = Pin::new(&mut self.stream).poll_read(context, &mut slice);
        let count = slice.filled().len();
        if read.is_pending() {
            self.slice_left = READ_SLICE_BYTES;
            self.meter.turns.drained();
        }
        ready!(read)?;
        if count == 0 {
            self.check_end()?;
        }
        buffer.advance(count);
        self.slice_left -= count;
        self.meter.bytes_read(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.meter.is_request_unwritten.set(true);
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.meter.is_request_unwritten.set(true);
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP client flushes once it has written all of a request.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.meter.is_request_unwritten.set(false);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
