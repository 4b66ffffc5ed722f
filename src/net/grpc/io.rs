//! Adapts a client's socket to the I/O traits that h2 reads and writes, and passes all input through the
//! flood guard.
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use event_listener::Event as Wake;
use futures_io::{AsyncRead, AsyncWrite};

use super::guard::{Flood, FloodGuard};
use crate::net::socket::Stream;

/// What is known of a connection's input: the first flood that was detected, of which the tasks that wait for
/// one are notified, and whether all of it has been read.
#[derive(Default)]
pub struct FloodAlarm {
    pub flood: Cell<Option<Flood>>,
    /// Whether the last read found nothing more to read, so that a close of the connection would be known.
    pub input_drained: Cell<bool>,
    pub changed: Wake,
}

impl FloodAlarm {
    /// Waits until a flood has been detected.
    pub async fn wait_for_flood(&self) -> Flood {
        loop {
            let listener = self.changed.listen();
            if let Some(flood) = self.flood.get() {
                return flood;
            }
            listener.await;
        }
    }
}

/// A stream whose input is inspected by the flood guard. After a flood was detected, reads stay pending and
/// do not fail, so that h2 can still write its GOAWAY.
pub struct GuardedStream<'s> {
    pub stream: &'s Stream,
    pub guard: FloodGuard,
    pub alarm: Rc<FloodAlarm>,
}

impl AsyncRead for GuardedStream<'_> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        if self.alarm.flood.get().is_some() {
            return Poll::Pending;
        }
        let mut stream = self.stream;
        // A read that waits for its turn does not show whether there is more to read.
        std::task::ready!(stream.poll_read_allowed(cx));
        let polled = Pin::new(&mut stream).poll_read(cx, buf);
        self.alarm.input_drained.set(polled.is_pending());
        let n = std::task::ready!(polled)?;
        if let Err(flood) = self.guard.inspect(Instant::now(), &buf[..n]) {
            self.alarm.flood.set(Some(flood));
            self.alarm.changed.notify(usize::MAX);
            return Poll::Pending;
        }
        Poll::Ready(Ok(n))
    }
}

impl AsyncWrite for GuardedStream<'_> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let mut stream = self.stream;
        let n = std::task::ready!(Pin::new(&mut stream).poll_write(cx, buf))?;
        self.guard.record_write(n);
        Poll::Ready(Ok(n))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut stream = self.stream;
        Pin::new(&mut stream).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut stream = self.stream;
        Pin::new(&mut stream).poll_close(cx)
    }
}
