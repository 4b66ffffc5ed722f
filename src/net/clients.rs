//! What both fronts share: accepting clients, reading their requests and writing their answers.
use std::cell::Cell;
use std::future::Future;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Async;
use event_listener::Event as Wake;
use futures_lite::{AsyncWriteExt, FutureExt};
use slog::{warn, Logger};

use super::buffer::Buffer;
use super::by;
use super::http::{self, Answer, HttpError, Kind, Message};

/// How long a connection may stay without a request, a request may take to come in, and an answer to leave.
const IDLE: Duration = Duration::from_secs(60);
const ARRIVE: Duration = Duration::from_secs(10);
const LEAVE: Duration = Duration::from_secs(5);
/// The end of service: told once, and seen by every connection.
#[derive(Default)]
pub struct Closing {
    /// No new work is wanted: answers say that the connection closes.
    pub begun: Cell<bool>,
    /// Connections between requests are closed.
    pub idle: Cell<bool>,
    pub wake: Wake,
}

impl Closing {
    async fn idle(&self) {
        while !self.idle.get() {
            let listener = self.wake.listen();
            if !self.idle.get() {
                listener.await;
            }
        }
    }
}

/// Accept connections up to a number, each served by a task of its own.
pub struct Acceptor {
    pub executor: Rc<LocalExecutor<'static>>,
    pub closing: Rc<Closing>,
    pub room: Cell<usize>,
    pub freed: Wake,
    pub most: usize,
    pub log: Logger,
}

impl Acceptor {
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        closing: Rc<Closing>,
        most: usize,
        log: Logger,
    ) -> Rc<Self> {
        Rc::new(Acceptor { executor, closing, room: Cell::new(most), freed: Wake::new(), most, log })
    }

    /// Connections that are being served.
    pub fn held(&self) -> usize {
        self.most - self.room.get()
    }

    /// Accept until idle connections are closed; what the machine took for us by then is served too.
    pub async fn accept<F>(
        self: Rc<Self>,
        listener: Async<TcpListener>,
        serve: impl Fn(Async<TcpStream>) -> F,
    ) where
        F: Future<Output = ()> + 'static,
    {
        loop {
            while self.room.get() == 0 && !self.closing.idle.get() {
                let freed = self.freed.listen();
                if self.room.get() == 0 {
                    freed.or(async { self.closing.idle().await }).await;
                }
            }
            let next = async { Some(listener.accept().await) };
            let closed = async {
                self.closing.idle().await;
                None
            };
            match next.or(closed).await {
                Some(Ok((stream, _))) => {
                    drop(stream.get_ref().set_nodelay(true));
                    self.room.set(self.room.get().saturating_sub(1));
                    let (served, acceptor) = (serve(stream), self.clone());
                    let life = async move {
                        served.await;
                        acceptor.room.set(acceptor.room.get() + 1);
                        acceptor.freed.notify(1);
                    };
                    self.executor.spawn(life).detach();
                }
                // Out of descriptors, or the peer was gone already: the next one may do better.
                Some(Err(e)) => {
                    warn!(self.log, "could not accept a connection"; "error" => %e);
                    async_io::Timer::at(Instant::now() + Duration::from_millis(20)).await;
                }
                None => return,
            }
        }
    }
}

/// Read the next request, unless the connection ends, says nothing for long, or is closed between requests.
pub async fn next(
    stream: &mut &Async<TcpStream>,
    buffer: &mut Buffer,
    closing: &Closing,
) -> Result<Message, HttpError> {
    if buffer.unread().is_empty() {
        let first = async { Some(buffer.fill(stream).await) };
        let closed = async {
            closing.idle().await;
            None
        };
        match by(Instant::now() + IDLE, first.or(closed)).await {
            Some(Some(Ok(n))) if n > 0 => {}
            _ => return Err(HttpError::Ended),
        }
    }
    let latest = Instant::now() + ARRIVE;
    if http::parse(buffer.unread(), Kind::Request, http::MOST_BODY)?.is_none() && waits(buffer.unread()) {
        by(latest, stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")).await.ok_or(HttpError::Ended)??;
    }
    let whole = http::read(stream, buffer, Kind::Request, http::MOST_BODY);
    by(latest, whole).await.unwrap_or(Err(HttpError::Ended))
}

/// Whether a client holds its body back until it is told to go on. Guards old clients against the second or
/// so that they would wait for that in vain, out of their query's time.
fn waits(head: &[u8]) -> bool {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut request = httparse::Request::new(&mut headers);
    let whole = request.parse(head).is_ok_and(|s| s.is_complete());
    let expects = |h: &httparse::Header| {
        h.name.eq_ignore_ascii_case("expect") && h.value.eq_ignore_ascii_case(b"100-continue")
    };
    whole && request.headers.iter().any(expects)
}

/// Resolves when the client goes away. What it sends meanwhile stays in the buffer, up to a message's worth.
pub async fn gone(stream: &mut &Async<TcpStream>, buffer: &mut Buffer, length: usize) {
    loop {
        if buffer.unread().len() > length + http::MOST_BODY {
            std::future::pending::<()>().await;
        }
        match buffer.fill(stream).await {
            Ok(n) if n > 0 => {}
            _ => return,
        }
    }
}

/// Write an answer; whether the connection can go on.
pub async fn write(stream: &mut &Async<TcpStream>, answer: &Answer, keep_alive: bool) -> bool {
    let bytes = answer.bytes(keep_alive);
    let written = by(Instant::now() + LEAVE, stream.write_all(&bytes)).await;
    matches!(written, Some(Ok(()))) && keep_alive
}
