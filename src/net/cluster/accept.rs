//! The connections that other members dial, from which this member reads.
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};

use super::driver::Driver;
use super::frames::{self, Frame, FrameError};
use crate::cluster::MemberId;
use crate::net::buffer::Buffer;
use crate::net::socket::{self, Accepted, Stream};
use crate::net::timeout_at;

/// Connections whose hello is not in: others wait in the machine's backlog. Guards the descriptors.
pub const GREETING: usize = 64;
const GREET: Duration = Duration::from_secs(1);
/// Frames of one member that are handled before others get their turn.
const TURN: usize = 64;

/// Accept for good; `executor` runs this very task, so it must not be kept alive by it.
pub async fn accept(
    driver: Rc<Driver>,
    listener: Async<TcpListener>,
    executor: Weak<LocalExecutor<'static>>,
) {
    let (give, take) = async_channel::bounded::<()>(GREETING);
    loop {
        // A place for its greeting first.
        if give.send(()).await.is_err() {
            return;
        }
        let accepted = next(&listener).await;
        let Some(executor) = executor.upgrade() else { return };
        match accepted {
            Ok((stream, from)) => {
                let (driver, take) = (driver.clone(), take.clone());
                let life = async move {
                    let greeted = timeout_at(Instant::now() + GREET, greet(&driver, &stream)).await;
                    let _ = take.try_recv();
                    let read = match greeted {
                        Some(Ok((buffer, id))) => read(&driver, &stream, buffer, id).await,
                        Some(Err(e)) => Err(e),
                        None => Ok(()),
                    };
                    if let Err(Ended::Unusable(e)) = read {
                        driver.unusable(from, &e);
                    }
                };
                executor.spawn(life).detach();
            }
            // Out of descriptors, or of what else our machine needs for it.
            Err(e) => {
                let _ = take.try_recv();
                driver.not_accepted(&e);
                Timer::at(Instant::now() + Duration::from_millis(20)).await;
            }
        }
    }
}

/// The next connection that another member dials, and from where. An error is one of our own machine.
async fn next(listener: &Async<TcpListener>) -> io::Result<(Stream, SocketAddr)> {
    let mut gone = 0;
    loop {
        match socket::accept(listener) {
            Accepted::Stream(stream, from) => return Ok((stream, from)),
            Accepted::NonePending => socket::wait_for_connection(listener).await,
            Accepted::Aborted => {
                gone += 1;
                socket::yield_after_aborted(gone).await;
            }
            Accepted::LocalFailure(e) => return Err(e),
        }
    }
}

enum Ended {
    Closed,
    Unusable(FrameError),
}

impl From<FrameError> for Ended {
    fn from(e: FrameError) -> Ended {
        Ended::Unusable(e)
    }
}

impl From<io::Error> for Ended {
    fn from(_: io::Error) -> Ended {
        Ended::Closed
    }
}

async fn greet(driver: &Driver, mut stream: &Stream) -> Result<(Buffer, MemberId), Ended> {
    let mut buffer = Buffer::default();
    loop {
        match frames::parse(buffer.unread(), frames::MOST_HELLO)? {
            Some((Frame::Hello(hello), length)) => {
                let id = driver.greeted(&hello)?;
                buffer.consume(length);
                stream.write_all(&driver.hello()).await?;
                return Ok((buffer, id));
            }
            Some(_) => return Err(FrameError::Order.into()),
            None => {}
        }
        if buffer.fill(&mut stream).await? == 0 {
            return Err(Ended::Closed);
        }
    }
}

/// Hand what the member says to the machines, until its connection ends or a newer one of it is there.
async fn read(
    driver: &Rc<Driver>,
    mut stream: &Stream,
    mut buffer: Buffer,
    id: MemberId,
) -> Result<(), Ended> {
    let replaced = driver.reads(&id);
    loop {
        let mut handled = 0;
        while let Some((frame, length)) = frames::parse(buffer.unread(), driver.most_frame())? {
            if replaced.is_cancelled() {
                return Ok(());
            }
            buffer.consume(length);
            driver.receive(&id, frame)?;
            handled += 1;
            if handled % TURN == 0 {
                futures_lite::future::yield_now().await;
            }
        }
        let more = async { Some(buffer.fill(&mut stream).await) };
        let ended = async {
            replaced.cancelled().await;
            None
        };
        match more.or(ended).await {
            Some(Ok(n)) if n > 0 => {}
            _ => return Ok(()),
        }
    }
}
