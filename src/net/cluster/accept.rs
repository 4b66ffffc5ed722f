//! The connections that other members dial, from which this member reads.
//!
//! Bounds the connections whose hello has not come, and the frames handled in one turn; never writes more
//! than its hello.
#![warn(missing_docs)]
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};

use super::driver::Driver;
use super::frames::{self, Frame, FrameError};
use crate::cluster::MemberId;
use crate::net::buffer::Buffer;
use crate::net::socket::{self, Accepted, Stream};
use crate::net::timeout_at;

/// Connections whose hello has not come: others wait in the system's backlog. Bounds the descriptors.
pub const MAX_HANDSHAKES: usize = 64;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// Frames of one member that are handled before other tasks get their turn.
const FRAMES_PER_TURN: usize = 64;
/// The wait after an error of the own system, such as a lack of descriptors.
const LOCAL_ERROR_BACKOFF: Duration = Duration::from_millis(20);

/// Accepts connections for good. `executor` runs this very task, so the task must not keep it alive.
pub async fn accept(
    driver: Rc<Driver>,
    listener: Async<TcpListener>,
    executor: Weak<LocalExecutor<'static>>,
) {
    let (handshakes, finished) = async_channel::bounded::<()>(MAX_HANDSHAKES);
    loop {
        // A place for the handshake first.
        if handshakes.send(()).await.is_err() {
            return;
        }
        let accepted = next(&listener).await;
        let Some(executor) = executor.upgrade() else { return };
        match accepted {
            Ok((stream, peer)) => {
                executor.spawn(serve(driver.clone(), stream, peer, finished.clone())).detach();
            }
            Err(e) => {
                let _ = finished.try_recv();
                driver.accept_failed(&e);
                Timer::at(Instant::now() + LOCAL_ERROR_BACKOFF).await;
            }
        }
    }
}

/// One connection from its handshake to its end.
async fn serve(driver: Rc<Driver>, stream: Stream, peer: SocketAddr, finished: Receiver<()>) {
    let handshake = timeout_at(Instant::now() + HANDSHAKE_TIMEOUT, shake_hands(&driver, &stream)).await;
    let _ = finished.try_recv();
    let end = match handshake {
        Some(Ok((buffer, id))) => read(&driver, &stream, buffer, id).await,
        Some(Err(e)) => Err(e),
        None => Ok(()),
    };
    if let Err(ConnectionEnd::Invalid(e)) = end {
        driver.connection_invalid(peer, &e);
    }
}

/// The next connection that another member dials, and from where. An error is one of the own system.
async fn next(listener: &Async<TcpListener>) -> io::Result<(Stream, SocketAddr)> {
    let mut aborted = 0;
    loop {
        match socket::accept(listener) {
            Accepted::Stream(stream, from) => return Ok((stream, from)),
            Accepted::NonePending => socket::wait_for_connection(listener).await,
            Accepted::Aborted => {
                aborted += 1;
                socket::yield_after_aborted(aborted).await;
            }
            Accepted::LocalFailure(e) => return Err(e),
        }
    }
}

/// Why a connection ended before its time.
enum ConnectionEnd {
    Closed,
    Invalid(FrameError),
}

impl From<FrameError> for ConnectionEnd {
    fn from(e: FrameError) -> ConnectionEnd {
        ConnectionEnd::Invalid(e)
    }
}

impl From<io::Error> for ConnectionEnd {
    fn from(_: io::Error) -> ConnectionEnd {
        ConnectionEnd::Closed
    }
}

/// Reads the peer's hello and answers it.
async fn shake_hands(driver: &Driver, mut stream: &Stream) -> Result<(Buffer, MemberId), ConnectionEnd> {
    let mut buffer = Buffer::default();
    loop {
        match frames::parse(buffer.unread(), frames::MAX_HELLO_BYTES)? {
            Some((Frame::Hello(hello), length)) => {
                let id = driver.check_hello(&hello)?;
                buffer.consume(length);
                stream.write_all(&driver.hello()).await?;
                return Ok((buffer, id));
            }
            Some(_) => return Err(FrameError::UnexpectedFrame.into()),
            None => {}
        }
        if buffer.fill(&mut stream).await? == 0 {
            return Err(ConnectionEnd::Closed);
        }
    }
}

/// Passes the member's frames to the state machines, until its connection ends or a newer one of it is there.
async fn read(
    driver: &Rc<Driver>,
    mut stream: &Stream,
    mut buffer: Buffer,
    id: MemberId,
) -> Result<(), ConnectionEnd> {
    let replaced = driver.register_reader(&id);
    loop {
        let mut handled = 0;
        while let Some((frame, length)) = frames::parse(buffer.unread(), driver.max_frame_bytes())? {
            if replaced.is_cancelled() {
                return Ok(());
            }
            buffer.consume(length);
            driver.receive(&id, frame)?;
            handled += 1;
            if handled % FRAMES_PER_TURN == 0 {
                futures_lite::future::yield_now().await;
            }
        }
        let filled = async { Some(buffer.fill(&mut stream).await) };
        let cancelled = async {
            replaced.cancelled().await;
            None
        };
        match filled.or(cancelled).await {
            Some(Ok(n)) if n > 0 => {}
            _ => return Ok(()),
        }
    }
}
