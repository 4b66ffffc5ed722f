//! The connection that this member dials to another one, on which it writes.
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::{AsyncWriteExt, FutureExt};

use super::driver::Driver;
use super::frames::{self, Frame, FrameError};
use super::outbox::Outbox;
use crate::cluster::MemberId;
use crate::net::buffer::Buffer;
use crate::net::socket::{self, Stream};
use crate::net::timeout_at;

/// Rests between two dials: short at first, since a member that restarts is back at once.
const REST: Duration = Duration::from_millis(20);
const LONGEST_REST: Duration = Duration::from_millis(500);
/// A connect and both hellos together, and one write: who takes longer is no better reached than one that is gone.
const GREET: Duration = Duration::from_secs(1);
const WRITE: Duration = Duration::from_secs(5);

/// Keep a connection to the member `name` for good.
pub async fn keep(driver: Rc<Driver>, name: Rc<str>, address: SocketAddr, outbox: Rc<Outbox>) {
    let mut rest = REST;
    loop {
        let greeted = timeout_at(Instant::now() + GREET, greet(&driver, &name, address)).await;
        match greeted.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into())) {
            Ok((stream, buffer, id, zone)) => {
                rest = REST;
                outbox.set(Some(id.clone()));
                driver.reached(&id, &zone);
                let why = used(&stream, buffer, &outbox).await;
                outbox.set(None);
                driver.lost(&name, &why);
            }
            Err(e) => driver.lost(&name, &e),
        }
        Timer::at(Instant::now() + rest).await;
        rest = (2 * rest).min(LONGEST_REST);
    }
}

/// The connection, the life at its other end and that one's zone.
type Greeted = (Stream, Buffer, MemberId, String);

async fn greet(driver: &Driver, name: &str, address: SocketAddr) -> io::Result<Greeted> {
    let mut stream = socket::connect(address, Instant::now() + GREET).await?;
    stream.set_nodelay();
    stream.write_all(&driver.hello()).await?;
    let mut buffer = Buffer::default();
    let refused = |e: FrameError| {
        driver.unusable(address, &e);
        io::Error::new(io::ErrorKind::InvalidData, e)
    };
    let hello = loop {
        match frames::parse(buffer.unread(), frames::MOST_HELLO).map_err(refused)? {
            Some((Frame::Hello(hello), length)) => {
                buffer.consume(length);
                break hello;
            }
            Some(_) => return Err(refused(FrameError::Order)),
            None => {}
        }
        if buffer.fill(&mut stream).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    if hello.name != name {
        return Err(refused(FrameError::Name(hello.name)));
    }
    let id = driver.greeted(&hello).map_err(refused)?;
    Ok((stream, buffer, id, hello.zone))
}

/// Write what comes until the connection ends; why it did. The other side says nothing on it after its hello.
async fn used(stream: &Stream, mut buffer: Buffer, outbox: &Outbox) -> io::Error {
    let written = async {
        let mut together = Vec::new();
        loop {
            together.clear();
            outbox.take(&mut together).await;
            let mut stream = stream;
            match timeout_at(Instant::now() + WRITE, stream.write_all(&together)).await {
                Some(Ok(())) => {}
                Some(Err(e)) => return e,
                None => return io::ErrorKind::TimedOut.into(),
            }
        }
    };
    let ended = async {
        let mut stream = stream;
        match buffer.fill(&mut stream).await {
            Ok(0) => io::ErrorKind::UnexpectedEof.into(),
            Ok(_) => io::ErrorKind::InvalidData.into(),
            Err(e) => e,
        }
    };
    ended.or(written).await
}
