//! TCP sockets and the classification of their system call errors. This is the only module that decides
//! which errors end a connection or listener.
//!
//! - A call that is interrupted by a signal (EINTR) is repeated. It never ends a connection.
//! - A connect that fails for lack of a local resource (descriptors, buffers, ports, a route) says nothing
//!   about the peer. It is retried until its deadline and then reported separately from a refusal.
//! - An accept that fails with an error of the pending connection says nothing about later connections.
//!
//! The errors are those documented for accept(2), connect(2), listen(2) and socket(2) on Linux.
#![warn(missing_docs)]
use std::cell::RefCell;
use std::future::poll_fn;
use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_io::{AsyncRead, AsyncWrite};
use rustix::event::{PollFd, PollFlags, Timespec};
use rustix::io::Errno;

use super::io_budget::{self, Reading};
use super::timeout_at;

/// Length of the kernel's accept queue. If the queue is short, the kernel drops connections when hundreds
/// arrive at once, and clients only retry them after a second.
const BACKLOG: i32 = 1024;
/// Number of consecutive interrupted calls after which a task yields, and number of consecutive aborted
/// connections after which accepting pauses.
const MAX_INTERRUPTED_CALLS: usize = 64;
/// Pause between two attempts at a call that failed for lack of a local resource.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which local failures are retried during startup. It is bounded because nine in ten processes must
/// be ready within 10 s, and because clients connect 30 s after the start at the latest.
pub const STARTUP_RETRY_TIME: Duration = Duration::from_secs(8);

/// A TCP connection that repeats interrupted system calls. Its reads and writes use up the budget of the task
/// that performs them ([`io_budget`]); a read waits if the budget is used up, a write never does.
#[derive(Debug)]
pub struct Stream {
    socket: Async<TcpStream>,
    reading: Reading,
}

/// Errors of [`connect`].
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// A local resource was missing until the deadline. This says nothing about the peer.
    #[error("local failure: {0}")]
    LocalFailure(io::Error),
    /// The peer refused or reset the connection.
    #[error("{0}")]
    Refused(io::Error),
    /// The connection was not established by the deadline.
    #[error("connect timed out")]
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

/// Returns whether a call failed for lack of a local resource, which may become available a moment later.
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

/// Connects to `address` by `deadline`. Local failures are retried until then.
///
/// This function is cancel safe: no connection remains if the future is dropped.
///
/// # Errors
///
/// See [`ConnectError`].
pub async fn connect(address: SocketAddr, deadline: Instant) -> Result<Stream, ConnectError> {
    connect_observed(address, deadline, || {}).await
}

/// Connects like [`connect`], and calls `on_local_failure` at each local failure as it occurs.
///
/// # Errors
///
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
                Ok(socket) => return Ok(Stream::new(socket)),
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

/// Classifies a local failure that persisted until the deadline of a connect.
///
/// A route that is still missing at the deadline counts as a failure of the peer. Otherwise an unreachable
/// zone would be taken for a series of short local failures.
pub fn persistent_failure(e: io::Error) -> ConnectError {
    match Errno::from_io_error(&e) {
        Some(Errno::NETUNREACH) => ConnectError::Refused(e),
        _ => ConnectError::LocalFailure(e),
    }
}

/// Opens a listener at `address`.
///
/// # Errors
///
/// Returns the error of the failed system call, without retrying it.
pub fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(address)?;
    rustix::net::listen(&listener, BACKLOG)?;
    Ok(listener)
}

/// Opens a listener at `address`. Local failures are retried for [`STARTUP_RETRY_TIME`].
///
/// # Errors
///
/// Returns the last error. An address that is in use or not permitted is reported immediately.
pub async fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    retry_local_failures(Instant::now() + STARTUP_RETRY_TIME, || bind(address)).await
}

/// Calls `operation` until it succeeds. Local failures are retried until `deadline`.
///
/// # Errors
///
/// Returns the first error that is not a local failure, or the last local failure at the deadline.
pub async fn retry_local_failures<T>(
    deadline: Instant,
    mut operation: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    loop {
        match operation() {
            Err(e) if is_local_failure(&e) && Instant::now() < deadline => {
                Timer::at(Instant::now() + RETRY_INTERVAL).await
            }
            result => return result,
        };
    }
}

/// Result of [`accept`].
pub enum Accepted {
    /// A connection and the address of its peer.
    Stream(Stream, SocketAddr),
    /// No connection is pending.
    NonePending,
    /// The connection was aborted before it was accepted, or the call was interrupted. Another connection
    /// may be pending.
    Aborted,
    /// A local resource is missing. The connection stays in the backlog.
    LocalFailure(io::Error),
}

/// Accepts the next pending connection, if there is one. Never blocks.
pub fn accept(listener: &Async<TcpListener>) -> Accepted {
    match listener.get_ref().accept() {
        Ok((socket, from)) => match Async::new(socket) {
            Ok(socket) => Accepted::Stream(Stream::new(socket), from),
            Err(e) => Accepted::LocalFailure(e),
        },
        Err(e) if e.kind() == ErrorKind::WouldBlock => Accepted::NonePending,
        Err(e) => {
            let local_failures = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
            match Errno::from_io_error(&e) {
                Some(errno) if local_failures.contains(&errno) => Accepted::LocalFailure(e),
                _ => Accepted::Aborted,
            }
        }
    }
}

/// Yields to other tasks after an aborted connection. `aborted` is the number of consecutive aborted
/// connections. If it is a multiple of `MAX_INTERRUPTED_CALLS`, the task pauses instead, so that a persistent
/// error does not occupy the processor.
pub async fn yield_after_aborted(aborted: usize) {
    if aborted.is_multiple_of(MAX_INTERRUPTED_CALLS) {
        Timer::at(Instant::now() + RETRY_INTERVAL).await;
    } else {
        futures_lite::future::yield_now().await;
    }
}

/// Returns whether the process has no descriptor left (EMFILE), as opposed to the whole system (ENFILE).
pub fn is_process_out_of_descriptors(e: &io::Error) -> bool {
    Errno::from_io_error(e) == Some(Errno::MFILE)
}

impl Stream {
    fn new(socket: Async<TcpStream>) -> Stream {
        Stream { socket, reading: Reading::Yielding }
    }

    /// Makes reads wait for a turn when the budget is used up, so that all connections of this kind together
    /// delay other tasks no more than one of them does.
    pub fn read_in_turn(&mut self) {
        self.reading = Reading::InTurn(RefCell::default());
    }

    /// Completes when the budget allows a read. If the task reads next, that read does not wait for the
    /// budget: it is pending only if nothing has arrived. Cancel safe.
    pub async fn read_allowed(&self) {
        poll_fn(|cx| self.poll_read_allowed(cx)).await;
    }

    /// Polls for what [`Stream::read_allowed`] waits for.
    pub fn poll_read_allowed(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.reading.poll_allowed(cx)
    }

    /// Disables Nagle's algorithm (TCP_NODELAY) and returns whether that succeeded. A failure is not
    /// critical, since its only effect is that small writes are delayed.
    pub fn set_nodelay(&self) -> bool {
        self.socket.get_ref().set_nodelay(true).is_ok()
    }

    /// Waits until a write is not pending, or fails. Cancel safe.
    pub async fn wait_writable(&self) {
        let mut polled = [PollFd::new(&self.socket, PollFlags::OUT)];
        let ready =
            rustix::io::retry_on_intr(|| rustix::event::poll(&mut polled, Some(&Timespec::default())));
        if ready.is_ok() && polled[0].revents().is_empty() {
            // An error is ignored, because the next write reports it as well.
            let _ = self.socket.writable().await;
        }
    }

    /// Shuts down the writing side. Errors are ignored, as they mean that the connection has already ended.
    pub fn shut_down_writing(&self) {
        let _ = self.socket.get_ref().shutdown(Shutdown::Write);
    }

    /// Returns whether the peer has closed its side or the connection has failed, even if bytes that it sent
    /// before are still unread. Returns `false` if the operating system cannot tell.
    pub fn is_closed_by_peer(&self) -> bool {
        let mut polled = [PollFd::new(&self.socket, PollFlags::RDHUP)];
        let ready =
            rustix::io::retry_on_intr(|| rustix::event::poll(&mut polled, Some(&Timespec::default())));
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        ready.is_ok() && polled[0].revents().intersects(closed)
    }

    /// Returns whether bytes or the end of the stream can be read without waiting.
    pub fn has_unread_input(&self) -> bool {
        let peeked = rustix::io::retry_on_intr(|| {
            let peeked = self.socket.get_ref().peek(&mut [0]);
            peeked.map_err(|e| Errno::from_io_error(&e).unwrap_or(Errno::IO))
        });
        peeked != Err(Errno::AGAIN)
    }

    /// Returns whether the connection is open and has nothing to read. If bytes are available, the first one
    /// is read and discarded, so the connection must not be used any more.
    pub fn is_idle(&self) -> bool {
        loop {
            match self.socket.get_ref().read(&mut [0]) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                read => return matches!(read, Err(e) if e.kind() == ErrorKind::WouldBlock),
            }
        }
    }
}

/// Repeats a call while signals interrupt it. After [`MAX_INTERRUPTED_CALLS`] interruptions the task is
/// rescheduled.
fn uninterrupted<T>(
    cx: &mut Context<'_>,
    mut call: impl FnMut(&mut Context<'_>) -> Poll<io::Result<T>>,
) -> Poll<io::Result<T>> {
    for _ in 0..MAX_INTERRUPTED_CALLS {
        match call(cx) {
            Poll::Ready(Err(e)) if e.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
    cx.waker().wake_by_ref();
    Poll::Pending
}

impl AsyncRead for &Stream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &mut [u8]) -> Poll<io::Result<usize>> {
        ready!(self.reading.poll_allowed(cx));
        let limit = self.reading.limit(bytes.len());
        let bytes = &mut bytes[..limit];
        let read = uninterrupted(cx, |cx| Pin::new(&mut &self.socket).poll_read(cx, bytes));
        if let Poll::Ready(result) = &read {
            self.reading.charge_read(*result.as_ref().unwrap_or(&0));
        }
        read
    }
}

impl AsyncWrite for &Stream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        charged(uninterrupted(cx, |cx| Pin::new(&mut &self.socket).poll_write(cx, bytes)))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        uninterrupted(cx, |cx| Pin::new(&mut &self.socket).poll_flush(cx))
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        uninterrupted(cx, |cx| Pin::new(&mut &self.socket).poll_close(cx))
    }
}

/// Charges a completed read or write to the task that performed it.
fn charged(transferred: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
    if let Poll::Ready(result) = &transferred {
        io_budget::charge(*result.as_ref().unwrap_or(&0));
    }
    transferred
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

/// Waits until a connection may be pending at the listener. Cancel safe.
pub async fn wait_for_connection(listener: &Async<TcpListener>) {
    // An error is ignored, because the next accept reports it as well.
    let _ = listener.readable().await;
}
