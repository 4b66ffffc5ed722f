//! TCP sockets: the one place that knows which failure of a system call ends something, and which one does not.
//!
//! - A call that a signal interrupted (EINTR) is made again. It never ends a connection.
//! - A connect that fails for want of something of our own machine (descriptors, buffers, ports, a route) says nothing
//!   of the other side. It is tried again until its time is over, and is then told apart from a refusal.
//! - An accept that fails with an error of the connection that it would have given says nothing of the next one.
use std::io::{self, ErrorKind, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_io::{AsyncRead, AsyncWrite};
use rustix::io::Errno;

use super::timeout_at;

/// Connections that the machine may take for us before we accept them. Guards a client's against being dropped,
/// and tried again by its machine a second later, when hundreds come at once.
const BACKLOG: i32 = 1024;
/// Interrupted calls in a row before others have their turn.
const MOST_INTERRUPTED: usize = 64;
/// Between two tries of what our own machine refused.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// For how long what the start needs is tried for: clients come 30 s after it at the latest, and nine in ten processes
/// are to be ready within 10 s.
pub const STARTUP_RETRY_TIME: Duration = Duration::from_secs(8);

/// A TCP connection.
#[derive(Debug)]
pub struct Stream(Async<TcpStream>);

/// Why no connection came up.
#[derive(Debug)]
pub enum ConnectError {
    /// Our own machine had no means for it, up to the end of its time. It says nothing of the other side.
    LocalFailure(io::Error),
    /// The other side refused it, or broke it off.
    Refused(io::Error),
    /// It did not come up in time.
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

impl std::fmt::Display for ConnectError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ConnectError::LocalFailure(e) => write!(f, "our own machine: {e}"),
            ConnectError::Refused(e) => write!(f, "{e}"),
            ConnectError::TimedOut => f.write_str("no connection in time"),
        }
    }
}

impl std::error::Error for ConnectError {}

/// Whether a call failed for want of something of our own machine, which may have it a moment later.
pub fn is_local_failure(e: &io::Error) -> bool {
    let local = [
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
    Errno::from_io_error(e).is_some_and(|e| local.contains(&e))
}

/// Connect by `latest`. Failures of our own machine are tried again until then.
pub async fn connect(address: SocketAddr, latest: Instant) -> Result<Stream, ConnectError> {
    connect_observed(address, latest, || {}).await
}

/// The same; `local_failure` hears of each failure of our own machine as it happens.
pub async fn connect_observed(
    address: SocketAddr,
    latest: Instant,
    local_failure: impl Fn(),
) -> Result<Stream, ConnectError> {
    let mut last = None;
    let connected = async {
        loop {
            match Async::<TcpStream>::connect(address).await {
                Ok(stream) => return Ok(Stream(stream)),
                Err(e) if is_local_failure(&e) => last = Some(e),
                Err(e) => return Err(ConnectError::Refused(e)),
            }
            local_failure();
            Timer::at(Instant::now() + RETRY_INTERVAL).await;
        }
    };
    let connected = timeout_at(latest, connected).await;
    connected.unwrap_or_else(|| Err(last.map_or(ConnectError::TimedOut, persistent_failure)))
}

/// What a failure comes to that has lasted for all of a connect's time. A way there that is missing for so long is one
/// of the other side's: guards against taking a zone that is cut off for ever new moments of our own machine.
pub fn persistent_failure(e: io::Error) -> ConnectError {
    match Errno::from_io_error(&e) {
        Some(Errno::NETUNREACH) => ConnectError::Refused(e),
        _ => ConnectError::LocalFailure(e),
    }
}

/// A listener at `address`.
pub fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(address)?;
    rustix::net::listen(&listener, BACKLOG)?;
    Ok(listener)
}

/// A listener at `address`. What our own machine refuses for a moment is tried again; an address that another one uses
/// or that we may not use is an error at once.
pub async fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    retry_local_failures(Instant::now() + STARTUP_RETRY_TIME, || bind(address)).await
}

/// What `make` gives; failures of our own machine are tried again until `latest`.
pub async fn retry_local_failures<T>(
    latest: Instant,
    mut make: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    loop {
        match make() {
            Err(e) if is_local_failure(&e) && Instant::now() < latest => {
                Timer::at(Instant::now() + RETRY_INTERVAL).await
            }
            made => return made,
        };
    }
}

/// What a look at a listener gave.
pub enum Accepted {
    Stream(Stream, SocketAddr),
    /// Nobody waits.
    NonePending,
    /// This connection was gone before we took it, or the call was interrupted: the next one may be there.
    Aborted,
    /// Our own machine has no means for it: it stays in the backlog.
    LocalFailure(io::Error),
}

/// Take the next connection that waits, if one does.
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

/// Lets others have their turn behind a connection that was gone, the `gone`th in a row. Guards the processor against an
/// error that lasts.
pub async fn yield_after_aborted(gone: usize) {
    if gone.is_multiple_of(MOST_INTERRUPTED) {
        Timer::at(Instant::now() + RETRY_INTERVAL).await;
    } else {
        futures_lite::future::yield_now().await;
    }
}

/// Whether the process itself has no descriptor left, not its machine.
pub fn is_process_out_of_descriptors(e: &io::Error) -> bool {
    Errno::from_io_error(e) == Some(Errno::MFILE)
}

impl Stream {
    /// Send small writes at once. Where that fails they are merely held back.
    pub fn set_nodelay(&self) -> bool {
        self.0.get_ref().set_nodelay(true).is_ok()
    }

    /// Nothing more is written to it.
    pub fn shut_down_writing(&self) {
        drop(self.0.get_ref().shutdown(Shutdown::Write));
    }

    /// Whether it is open with nothing to read.
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

/// Wait until somebody waits at the listener.
pub async fn wait_for_connection(listener: &Async<TcpListener>) {
    // An error is one that the next accept tells too.
    let _ = listener.readable().await;
}
