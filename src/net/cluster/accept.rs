//! Accepts connections from other members of the cluster and reads frames from them.
//!
//! Both the number of connections that have not completed their handshake and the number of frames handled
//! per turn are bounded. Apart from its own hello, this side of a connection writes nothing.
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

/// The maximum number of connections that have not completed their handshake. Further connections wait in
/// the listen backlog, which bounds the file descriptors in use.
pub const MAX_HANDSHAKES: usize = 64;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of frames of one member that are handled before the task yields to others.
const FRAMES_PER_TURN: usize = 64;
/// The delay after a local failure to accept, for example a lack of file descriptors.
const LOCAL_ERROR_BACKOFF: Duration = Duration::from_millis(20);

/// Accepts connections until the task is cancelled. `executor` also runs this task, so it is held only
/// weakly.
pub async fn accept(
    driver: Rc<Driver>,
    listener: Async<TcpListener>,
    executor: Weak<LocalExecutor<'static>>,
) {
    let (slot_sender, slots) = async_channel::bounded::<()>(MAX_HANDSHAKES);
    loop {
        // Acquire a handshake slot before accepting.
        if slot_sender.send(()).await.is_err() {
            return;
        }
        let accepted = accept_next(&listener).await;
        let Some(executor) = executor.upgrade() else { return };
        match accepted {
            Ok((stream, peer)) => {
                executor.spawn(serve(driver.clone(), stream, peer, slots.clone())).detach();
            }
            Err(e) => {
                let _ = slots.try_recv();
                driver.accept_failed(&e);
                Timer::at(Instant::now() + LOCAL_ERROR_BACKOFF).await;
            }
        }
    }
}

/// Serves one connection from its handshake until it ends.
async fn serve(driver: Rc<Driver>, stream: Stream, peer: SocketAddr, slots: Receiver<()>) {
    let handshake = timeout_at(Instant::now() + HANDSHAKE_TIMEOUT, perform_handshake(&driver, &stream)).await;
    let _ = slots.try_recv();
    let end = match handshake {
        Some(Ok((buffer, id))) => read_frames(&driver, &stream, buffer, id).await,
        Some(Err(e)) => Err(e),
        None => Ok(()),
    };
    if let Err(ConnectionEnd::Invalid(e)) = end {
        driver.connection_invalid(peer, &e);
    }
}

/// Accepts the next connection and returns it with the address of the peer. Errors are local failures.
async fn accept_next(listener: &Async<TcpListener>) -> io::Result<(Stream, SocketAddr)> {
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

/// Why a connection ended early.
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

/// Reads the peer's hello and answers with this member's own.
async fn perform_handshake(
    driver: &Driver,
    mut stream: &Stream,
) -> Result<(Buffer, MemberId), ConnectionEnd> {
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

/// Passes the member's frames to the state machines until the connection ends or a newer connection of the
/// same member replaces it.
async fn read_frames(
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
