//! TCP sockets: the one place that knows which failure of a system call ends something, and which does not.
//!
//! A call that a signal interrupted (EINTR) is made again. It never ends a connection.
//!
//! A connect that fails for want of something on this machine (descriptors, buffers, ports, a route) says
//! nothing about the other side. It is retried until its deadline, and then distinguished from a refusal.
//!
//! An accept that fails with an error of the connection that it would have given says nothing about the next.
//!
//! Errors are those of accept(2), connect(2), listen(2) and socket(2) on Linux.
#![warn(missing_docs)]
use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_io::{AsyncRead, AsyncWrite};
use rustix::io::Errno;

use super::timeout_at;

/// Connections that the kernel may complete before we accept them. Prevents that, when hundreds come at once,
/// clients' are dropped, which their machines retry a second later.
const BACKLOG: i32 = 1024;
/// Interrupted calls in a row before other tasks have their turn.
const MOST_INTERRUPTED: usize = 64;
/// Time between two attempts at what this machine refused.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// For how long what the start needs is retried: clients come 30 s after it at the latest, and nine in ten
/// processes have to be ready within 10 s.
pub const STARTUP_RETRY_TIME: Duration = Duration::from_secs(8);

/// A TCP connection that interrupted calls do not end.
#[derive(Debug)]
pub struct Stream(Async<TcpStream>);

/// Why no connection came up.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// This machine lacked something for it, up to the deadline. That says nothing about the other side.
    #[error("our own machine: {0}")]
    LocalFailure(io::Error),
    /// The other side refused it, or broke it off.
    #[error("{0}")]
    Refused(io::Error),
    /// It did not come up by the deadline.
    #[error("no connection in time")]
    TimedOut,
}

impl From<ConnectError> for io::Error {
    fn from(e: ConnectError) -> io::Error {
        match e {
            ConnectError::LocalFailure(e) | ConnectError::Refused(e) => e,
            ConnectError::TimedOut => ErrorKind::TimedOut.into(),
        }
    }
}

/// Whether a call failed for want of something on this machine, which may have it a moment later.
pub fn is_local_failure(e: &io::Error) -> bool {
    let local_failures = [
        Errno::INTR,
        Errno::AGAIN,
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::NOSPC,
        Errno::ADDRNOTAVAIL,
        Errno::NETUNREACH,
        Errno::NETDOWN,
    ];
    Errno::from_io_error(e).is_some_and(|errno| local_failures.contains(&errno))
}

/// Connect by `deadline`. Failures of this machine are retried until then. Cancel safe: dropped, it leaves no
/// connection.
///
/// # Errors
/// See [`ConnectError`].
pub async fn connect(address: SocketAddr, deadline: Instant) -> Result<Stream, ConnectError> {
    connect_observed(address, deadline, || {}).await
}

/// The same; `on_local_failure` is called at each failure of this machine, as it happens.
///
/// # Errors
/// See [`ConnectError`].
pub async fn connect_observed(
    address: SocketAddr,
    deadline: Instant,
    on_local_failure: impl Fn(),
) -> Result<Stream, ConnectError> {
    let mut last_failure = None;
    let connected = async {
        loop {
            match Async::<TcpStream>::connect(address).await {
                Ok(stream) => return Ok(Stream(stream)),
                Err(e) if is_local_failure(&e) => last_failure = Some(e),
                Err(e) => return Err(ConnectError::Refused(e)),
            }
            on_local_failure();
            Timer::at(Instant::now() + RETRY_INTERVAL).await;
        }
    };
    let connected = timeout_at(deadline, connected).await;
    connected.unwrap_or_else(|| Err(last_failure.map_or(ConnectError::TimedOut, persistent_failure)))
}

/// What a local failure counts as that has lasted for all of a connect's time. A route that is missing for so
/// long is the other side's failure: prevents taking a zone that is cut off for a series of short failures of
/// this machine.
pub fn persistent_failure(e: io::Error) -> ConnectError {
    match Errno::from_io_error(&e) {
        Some(Errno::NETUNREACH) => ConnectError::Refused(e),
        _ => ConnectError::LocalFailure(e),
    }
}

/// A listener at `address`.
///
/// # Errors
/// That of the system call that failed; it is not retried.
pub fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(address)?;
    rustix::net::listen(&listener, BACKLOG)?;
    Ok(listener)
}

/// A listener at `address`. What this machine refuses for a moment is retried for [`STARTUP_RETRY_TIME`].
///
/// # Errors
/// The last failure; at once for an address that is in use or not permitted.
pub async fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    retry_local_failures(Instant::now() + STARTUP_RETRY_TIME, || bind(address)).await
}

/// What `operation` gives; failures of this machine are retried until `deadline`.
///
/// # Errors
/// The first failure of another kind, or the last one at the deadline.
pub async fn retry_local_failures<T>(
    deadline: Instant,
    mut operation: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    loop {
        match operation() {
            Err(e) if is_local_failure(&e) && Instant::now() < deadline => {
                Timer::at(Instant::now() + RETRY_INTERVAL).await
            }
            done => return done,
        };
    }
}

/// What accept(2) on a listener gave.
pub enum Accepted {
    /// A connection, and the address of its other side.
    Stream(Stream, SocketAddr),
    /// No connection waits.
    NonePending,
    /// This connection was aborted before we accepted it, or the call was interrupted: another one may be
    /// waiting.
    Aborted,
    /// This machine lacks something for it: it stays in the backlog.
    LocalFailure(io::Error),
}

/// Accept the next connection that waits, if one does; never blocks.
pub fn accept(listener: &Async<TcpListener>) -> Accepted {
    match listener.get_ref().accept() {
        Ok((stream, from)) => match Async::new(stream) {
            Ok(stream) => Accepted::Stream(Stream(stream), from),
            Err(e) => Accepted::LocalFailure(e),
        },
        Err(e) if e.kind() == ErrorKind::WouldBlock => Accepted::NonePending,
        Err(e) => {
            let ours = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
            match Errno::from_io_error(&e) {
                Some(errno) if ours.contains(&errno) => Accepted::LocalFailure(e),
                _ => Accepted::Aborted,
            }
        }
    }
}

/// Let other tasks have their turn after an aborted connection, the `aborted`th in a row. Saves the processor
/// from an error that persists.
pub async fn yield_after_aborted(aborted: usize) {
    if aborted.is_multiple_of(MOST_INTERRUPTED) {
        Timer::at(Instant::now() + RETRY_INTERVAL).await;
    } else {
        futures_lite::future::yield_now().await;
    }
}

/// Whether the process itself has no descriptor left (EMFILE), not its machine (ENFILE).
pub fn is_process_out_of_descriptors(e: &io::Error) -> bool {
    Errno::from_io_error(e) == Some(Errno::MFILE)
}

impl Stream {
    /// Send small writes at once (TCP_NODELAY); whether that succeeded. Otherwise they are merely delayed.
    pub fn set_nodelay(&self) -> bool {
        self.0.get_ref().set_nodelay(true).is_ok()
    }

    /// Close the writing side. An error says that the connection has ended already.
    pub fn shut_down_writing(&self) {
        let _ = self.0.get_ref().shutdown(Shutdown::Write);
    }

    /// Whether it is open with nothing to read; a byte that is there is lost.
    pub fn is_idle(&self) -> bool {
        loop {
            match self.0.get_ref().read(&mut [0]) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                read => return matches!(read, Err(e) if e.kind() == ErrorKind::WouldBlock),
            }
        }
    }
}

/// Make a call again for as long as signals interrupt it.
fn uninterrupted<T>(
    cx: &mut Context<'_>,
    mut call: impl FnMut(&mut Context<'_>) -> Poll<io::Result<T>>,
) -> Poll<io::Result<T>> {
    for _ in 0..MOST_INTERRUPTED {
        match call(cx) {
            Poll::Ready(Err(e)) if e.kind() == ErrorKind::Interrupted => {}
            done => return done,
        }
    }
    cx.waker().wake_by_ref();
    Poll::Pending
}

impl AsyncRead for &Stream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &mut [u8]) -> Poll<io::Result<usize>> {
        uninterrupted(cx, |cx| Pin::new(&mut &self.0).poll_read(cx, bytes))
    }
}

impl AsyncWrite for &Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        uninterrupted(cx, |cx| Pin::new(&mut &self.0).poll_write(cx, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        uninterrupted(cx, |cx| Pin::new(&mut &self.0).poll_flush(cx))
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        uninterrupted(cx, |cx| Pin::new(&mut &self.0).poll_close(cx))
    }
}

impl AsyncRead for Stream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &mut [u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self).poll_read(cx, bytes)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self).poll_close(cx)
    }
}

/// Wait until a connection may be waiting at the listener. Cancel safe.
pub async fn wait_for_connection(listener: &Async<TcpListener>) {
    // The next accept meets the same error.
    let _ = listener.readable().await;
}
