//! The connection that this member dials to another one and writes frames to.
//!
//! Reconnects with backoff until the task is cancelled. Apart from the peer's hello, this side of a
//! connection reads nothing.
#![warn(missing_docs)]
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::{AsyncWriteExt, FutureExt};

use super::driver::Driver;
use super::frames::{self, Frame, FrameError, Hello};
use super::outbox::Outbox;
use crate::cluster::MemberId;
use crate::net::buffer::Buffer;
use crate::net::socket::{self, Stream};
use crate::net::timeout_at;

/// The initial delay between two connection attempts. It is short because a restarted member is reachable
/// again quickly.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// The time limit for connecting and exchanging both hellos. A slower peer is no more useful than an
/// unreachable one.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// The time limit for one write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maintains a connection to the member `name` until the task is cancelled.
pub async fn maintain(driver: Rc<Driver>, name: Rc<str>, address: SocketAddr, outbox: Rc<Outbox>) {
    let mut backoff = MIN_BACKOFF;
    loop {
        let handshake = perform_handshake(&driver, &name, address);
        let connected = timeout_at(Instant::now() + HANDSHAKE_TIMEOUT, handshake).await;
        match connected.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into())) {
            Ok(Connected { stream, buffer, id, zone }) => {
                backoff = MIN_BACKOFF;
                outbox.set_connected(Some(id.clone()));
                driver.member_connected(&id, &zone);
                let error = write_frames(&stream, buffer, &outbox).await;
                outbox.set_connected(None);
                driver.member_disconnected(&name, &error);
            }
            Err(e) => driver.member_disconnected(&name, &e),
        }
        Timer::at(Instant::now() + backoff).await;
        backoff = (2 * backoff).min(MAX_BACKOFF);
    }
}

/// A connection that has completed its handshake.
struct Connected {
    stream: Stream,
    buffer: Buffer,
    /// The identity of the peer, with its incarnation.
    id: MemberId,
    zone: String,
}

async fn perform_handshake(driver: &Driver, name: &str, address: SocketAddr) -> io::Result<Connected> {
    let mut stream = socket::connect(address, Instant::now() + HANDSHAKE_TIMEOUT).await?;
    stream.set_nodelay();
    stream.write_all(&driver.hello()).await?;
    let mut buffer = Buffer::default();
    let invalid = |e: FrameError| {
        driver.connection_invalid(address, &e);
        io::Error::new(io::ErrorKind::InvalidData, e)
    };
    let hello = loop {
        if let Some(hello) = take_hello(&mut buffer).map_err(invalid)? {
            break hello;
        }
        if buffer.fill(&mut stream).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    if hello.name != name {
        return Err(invalid(FrameError::NameMismatch(hello.name)));
    }
    let id = driver.check_hello(&hello).map_err(invalid)?;
    Ok(Connected { stream, buffer, id, zone: hello.zone })
}

/// Takes the hello from the buffer, or returns `None` if it is incomplete.
fn take_hello(buffer: &mut Buffer) -> Result<Option<Hello>, FrameError> {
    match frames::parse(buffer.unread(), frames::MAX_HELLO_BYTES)? {
        Some((Frame::Hello(hello), length)) => {
            buffer.consume(length);
            Ok(Some(hello))
        }
        Some(_) => Err(FrameError::UnexpectedFrame),
        None => Ok(None),
    }
}

/// Writes queued frames until the connection ends and returns the reason. The peer must not send anything
/// after its hello.
async fn write_frames(stream: &Stream, mut buffer: Buffer, outbox: &Outbox) -> io::Error {
    let write_error = async {
        let mut batch = Vec::new();
        loop {
            batch.clear();
            outbox.take(&mut batch).await;
            let mut stream = stream;
            match timeout_at(Instant::now() + WRITE_TIMEOUT, stream.write_all(&batch)).await {
                Some(Ok(())) => {}
                Some(Err(e)) => return e,
                None => return io::ErrorKind::TimedOut.into(),
            }
        }
    };
    let read_error = async {
        let mut stream = stream;
        match buffer.fill(&mut stream).await {
            Ok(0) => io::ErrorKind::UnexpectedEof.into(),
            Ok(_) => io::ErrorKind::InvalidData.into(),
            Err(e) => e,
        }
    };
    read_error.or(write_error).await
}
