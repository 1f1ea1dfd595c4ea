//! Notices that nothing arrives on a connection any more.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures::AsyncRead;
use tokio::time::{Instant, sleep_until};

/// Time since the last byte of one connection.
pub(crate) struct SilenceTimer {
    heard_at: Cell<Instant>,
    longest: Duration,
}

impl SilenceTimer {
    /// Starts the timer of a connection on which a silence may last `longest`.
    pub(crate) fn new(longest: Duration) -> Self {
        Self {
            heard_at: Cell::new(Instant::now()),
            longest,
        }
    }

    /// Returns once the connection has been silent for too long.
    pub(crate) async fn wait(&self) {
        loop {
            let end = self.heard_at.get() + self.longest;
            if Instant::now() >= end {
                return;
            }
            sleep_until(end).await;
        }
    }
}

/// The receiving half of a connection, which resets the timer with each byte.
pub(crate) struct HeardReader<R> {
    inner: R,
    timer: Rc<SilenceTimer>,
}

impl<R> HeardReader<R> {
    pub(crate) fn new(inner: R, timer: Rc<SilenceTimer>) -> Self {
        Self { inner, timer }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for HeardReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        if let Poll::Ready(Ok(1..)) = polled {
            self.timer.heard_at.set(Instant::now());
        }
        polled
    }
}
