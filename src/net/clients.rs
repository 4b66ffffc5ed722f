//! What both fronts share: accepting clients, reading their requests and writing their answers.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event as Wake;
use futures_lite::{AsyncWriteExt, FutureExt};
use slog::{warn, Logger};

use super::buffer::Buffer;
use super::descriptors::Descriptors;
use super::http::{self, Answer, HttpError, Kind, Message};
use super::{by, Ration};

/// How long a connection may rest between requests, and an answer may take to leave.
const IDLE: Duration = Duration::from_secs(60);
const LEAVE: Duration = Duration::from_secs(5);
/// How long a request may take to come in: the first one from the connection's start on, a later one from its
/// first byte. Who sends nothing or trickles is owed an error or a close within three seconds, and may have
/// waited to be accepted.
const ARRIVE: Duration = Duration::from_secs(2);
/// Connections that the machine may take for us before we accept them. Guards a client's against being dropped,
/// and tried again by its machine a second later, when hundreds come at once.
const BACKLOG: i32 = 1024;
/// How long, and for how much, the input is drained behind a last answer.
const LINGER: Duration = Duration::from_secs(1);
const MOST_LINGER: usize = 256 * 1024;
/// For how long a connection is left alone though others wait for room: one that rests between requests, and
/// one whose first request is not in. Clients that have something to ask send it at once.
const RESTED: Duration = Duration::from_secs(2);
const MUTE: Duration = Duration::from_millis(250);
/// Time between looks for room where all connections are at work.
const LOOK: Duration = Duration::from_millis(50);

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
    /// Resolves once no new work is wanted.
    pub async fn told(&self) {
        while !self.begun.get() {
            let listener = self.wake.listen();
            if !self.begun.get() {
                listener.await;
            }
        }
    }

    async fn idle(&self) {
        while !self.idle.get() {
            let listener = self.wake.listen();
            if !self.idle.get() {
                listener.await;
            }
        }
    }
}

/// What a connection is doing, the first to be closed for room first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Doing {
    /// Its last answer is written.
    Leaving,
    /// Its first request is not in.
    Mute,
    /// Between requests.
    Resting,
    /// A request is being served, or a later one comes in.
    Working,
}

/// A connection in the acceptor's book.
struct Seat {
    doing: Cell<Doing>,
    since: Cell<Instant>,
    closed: Cell<bool>,
    wake: Wake,
}

impl Seat {
    fn set(&self, doing: Doing) {
        self.doing.set(doing);
        self.since.set(Instant::now());
    }

    /// From when on it may be closed for others.
    fn spare(&self) -> Option<Instant> {
        let since = self.since.get();
        match self.doing.get() {
            _ if self.closed.get() => None,
            Doing::Leaving => Some(since),
            Doing::Mute => Some(since + MUTE),
            Doing::Resting => Some(since + RESTED),
            Doing::Working => None,
        }
    }

    async fn closed(&self) {
        while !self.closed.get() {
            let listener = self.wake.listen();
            if !self.closed.get() {
                listener.await;
            }
        }
    }
}

/// Accept connections up to a number, each served by a task of its own.
pub struct Acceptor {
    executor: Rc<LocalExecutor<'static>>,
    closing: Rc<Closing>,
    seats: RefCell<BTreeMap<u64, Rc<Seat>>>,
    pub freed: Wake,
    descriptors: Rc<Descriptors>,
    /// Three quarters of the room are taken.
    crowded: Rc<Cell<bool>>,
    log: Logger,
    said: Ration,
}

impl Acceptor {
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        closing: Rc<Closing>,
        descriptors: Rc<Descriptors>,
        log: Logger,
    ) -> Rc<Self> {
        let (seats, freed, crowded, said) = Default::default();
        Rc::new(Acceptor { executor, closing, seats, freed, descriptors, crowded, log, said })
    }

    /// Connections that are being served.
    pub fn held(&self) -> usize {
        self.seats.borrow().len()
    }

    fn count(&self) {
        self.descriptors.hold(self.held());
        self.crowded.set(4 * self.held() >= 3 * self.descriptors.most_clients());
    }

    /// Wait for room, and make it. Guards against clients that keep their connections and ask no more, or
    /// connect and say nothing: were they left to hold all there is, nobody else would be served.
    async fn room(&self) {
        while self.held() >= self.descriptors.most_clients() && !self.closing.idle.get() {
            let (freed, now) = (self.freed.listen(), Instant::now());
            let longest = {
                let seats = self.seats.borrow();
                let spare = seats.values().filter(|s| s.spare().is_some_and(|at| at <= now));
                spare.min_by_key(|s| (s.doing.get(), s.since.get())).cloned()
            };
            if let Some(seat) = longest {
                seat.closed.set(true);
                seat.wake.notify(usize::MAX);
            }
            by(now + LOOK, freed.or(self.closing.idle())).await;
        }
    }

    /// Accept until idle connections are closed; what the machine took for us by then is served too.
    pub async fn accept<F>(self: Rc<Self>, listener: Async<TcpListener>, serve: impl Fn(Client) -> F)
    where
        F: Future<Output = ()> + 'static,
    {
        for number in 0.. {
            self.room().await;
            let next = async { Some(listener.accept().await) };
            let closed = async {
                self.closing.idle().await;
                None
            };
            match next.or(closed).await {
                Some(Ok((stream, _))) => {
                    drop(stream.get_ref().set_nodelay(true));
                    let now = Instant::now();
                    let (doing, since) = (Cell::new(Doing::Mute), Cell::new(now));
                    let seat = Rc::new(Seat { doing, since, closed: Cell::new(false), wake: Wake::new() });
                    self.seats.borrow_mut().insert(number, seat.clone());
                    self.count();
                    let (closing, acceptor) = (self.closing.clone(), self.clone());
                    let buffer = Buffer::default();
                    let (crowded, accepted, asked) = (self.crowded.clone(), now, false);
                    let served = serve(Client { stream, buffer, seat, closing, crowded, accepted, asked });
                    let life = async move {
                        served.await;
                        acceptor.seats.borrow_mut().remove(&number);
                        acceptor.count();
                        acceptor.freed.notify(1);
                    };
                    self.executor.spawn(life).detach();
                }
                // Out of descriptors, or the peer was gone already: the next one may do better.
                Some(Err(e)) => {
                    if let Some(spared) = self.said.line() {
                        warn!(self.log, "could not accept a connection"; "error" => %e, "spared" => spared);
                    }
                    Timer::at(Instant::now() + Duration::from_millis(20)).await;
                }
                None => return,
            }
        }
    }
}

/// A listener for clients at `address`.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(address)?;
    rustix::net::listen(&listener, BACKLOG)?;
    Ok(listener)
}

/// A client's connection.
pub struct Client {
    stream: Async<TcpStream>,
    pub buffer: Buffer,
    seat: Rc<Seat>,
    closing: Rc<Closing>,
    crowded: Rc<Cell<bool>>,
    accepted: Instant,
    /// Whether a request of its has come in.
    asked: bool,
}

impl Client {
    /// The bytes themselves, for a front that frames them by itself.
    pub fn stream(&self) -> &Async<TcpStream> {
        &self.stream
    }

    /// Since when it is there.
    pub fn accepted(&self) -> Instant {
        self.accepted
    }

    /// Whether it is being served, told by a front that reads by itself: one that is not may have to make way.
    pub fn busy(&self, busy: bool) {
        let doing = if busy { Doing::Working } else { Doing::Resting };
        if self.seat.doing.get() != doing {
            self.seat.set(doing);
        }
    }

    /// Resolves when it has to make way for others.
    pub async fn unwanted(&self) {
        self.seat.closed().await;
    }

    /// Read the next request, unless the connection ends, says nothing for long, or is closed between requests.
    pub async fn next(&mut self) -> Result<Message, HttpError> {
        let Client { stream, buffer, seat, closing, accepted, asked, .. } = self;
        let (mut stream, first) = (&*stream, !*asked);
        if buffer.unread().is_empty() {
            seat.set(if first { Doing::Mute } else { Doing::Resting });
            let latest = if first { *accepted + ARRIVE } else { Instant::now() + IDLE };
            let some = async { Some(buffer.fill(&mut stream).await) };
            let closed = async {
                closing.idle().or(seat.closed()).await;
                None
            };
            match by(latest, some.or(closed)).await {
                Some(Some(Ok(n))) if n > 0 => {}
                _ => return Err(HttpError::Ended),
            }
        }
        let latest = if first { *accepted } else { Instant::now() } + ARRIVE;
        if !first {
            seat.set(Doing::Working);
        }
        let whole = async {
            let some = http::parse(buffer.unread(), Kind::Request, http::MOST_BODY)?;
            if some.is_none() && waits(buffer.unread()) {
                stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
            }
            http::read(&mut stream, buffer, Kind::Request, http::MOST_BODY).await
        };
        let closed = async {
            seat.closed().await;
            Err(HttpError::Ended)
        };
        // The time is set by the connection's start or the first byte: guards against trickled requests.
        let message = by(latest, whole.or(closed)).await.unwrap_or(Err(HttpError::Late));
        if message.is_ok() {
            *asked = true;
            seat.set(Doing::Working);
        }
        message
    }

    /// Resolves when the client goes away. What it sends meanwhile stays in the buffer, up to a message's worth.
    pub async fn gone(&mut self, length: usize) {
        loop {
            if self.buffer.unread().len() > length + http::MOST_BODY {
                std::future::pending::<()>().await;
            }
            match self.buffer.fill(&mut &self.stream).await {
                Ok(n) if n > 0 => {}
                _ => return,
            }
        }
    }

    /// Write an answer; whether the connection can go on. Where it cannot, the answer is its last. Guards the room
    /// for connections: in a crowd of clients that keep theirs, each answer says that the connection closes, which
    /// the client hears of in time; one that rests could only be closed after a while, and might cross a request.
    pub async fn write(&mut self, answer: &Answer, keep_alive: bool) -> bool {
        let keep_alive = keep_alive && !self.closing.begun.get() && !self.crowded.get();
        let bytes = answer.bytes(keep_alive);
        let written = by(Instant::now() + LEAVE, (&self.stream).write_all(&bytes)).await;
        if matches!(written, Some(Ok(()))) && !keep_alive {
            self.leave().await;
        }
        matches!(written, Some(Ok(()))) && keep_alive
    }

    /// End the connection behind its last answer. Guards that answer: a close with input unread would reset the
    /// connection, and the client might lose what it has not read yet. What still comes is dropped, in bounds.
    async fn leave(&mut self) {
        let Client { stream, buffer, seat, .. } = self;
        seat.set(Doing::Leaving);
        drop(stream.get_ref().shutdown(Shutdown::Write));
        let mut stream = &*stream;
        let drained = async {
            let mut drained = 0;
            while drained < MOST_LINGER {
                buffer.consume(usize::MAX);
                match buffer.fill(&mut stream).await {
                    Ok(n) if n > 0 => drained += n,
                    _ => return,
                }
            }
        };
        by(Instant::now() + LINGER, drained.or(seat.closed())).await;
    }
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
