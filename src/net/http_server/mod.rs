//! What both fronts share: accepting clients, reading their requests and writing their answers.
mod acceptor;
mod closing;
mod input;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::{AsyncWriteExt, FutureExt};

use self::acceptor::{Doing, Seat};
use self::input::Input;
use super::buffer::Buffer;
use super::http::{self, Answer, HttpError, Kind, Message, Reader};
use super::invariants;
use super::socket::Stream;
use super::timeout_at;
use crate::send_policy::{self, Answered};
pub use acceptor::Acceptor;
pub use closing::{GracefulShutdown, STILL_COMING};

/// How long a connection may rest between requests, and an answer may take to leave.
const IDLE: Duration = Duration::from_secs(60);
const LEAVE: Duration = Duration::from_secs(5);
/// How long a request may take to come in: the first one from the connection's start on, a later one from its
/// first byte. Who sends nothing or trickles is owed an error or a close within `OWED`, and may have
/// waited to be accepted; the error may take `LEAVE_ERROR`, where its client does not read.
const ARRIVE: Duration = Duration::from_secs(2);
const LEAVE_ERROR: Duration = Duration::from_millis(500);
const OWED: Duration = Duration::from_secs(3);
const _: () = assert!(ARRIVE.as_millis() + LEAVE_ERROR.as_millis() < OWED.as_millis());
/// How long, and for how much, the input is drained behind our end of a connection.
const LINGER: Duration = Duration::from_secs(1);
const MOST_LINGER: usize = 256 * 1024;
/// What a client may send behind a request before it has the answer: one more request. More is a flood, and would
/// hide from us that its client has gone.
const AHEAD: usize = http::MOST_HEAD + http::MOST_BODY;

/// A client's connection.
pub struct Client {
    stream: Stream,
    input: Input,
    seat: Rc<Seat>,
    closing: Rc<GracefulShutdown>,
    crowded: Rc<Cell<bool>>,
    accepted: Instant,
    /// Whether a request of its has come in.
    asked: bool,
}

impl Client {
    fn new(
        stream: Stream,
        seat: Rc<Seat>,
        closing: Rc<GracefulShutdown>,
        crowded: Rc<Cell<bool>>,
        accepted: Instant,
        unseen: Instant,
    ) -> Client {
        Client { stream, input: Input::new(unseen), seat, closing, crowded, accepted, asked: false }
    }

    /// The bytes themselves, for a front that frames them by itself.
    pub fn stream(&self) -> &Stream {
        &self.stream
    }

    /// Since when it is there.
    pub fn accepted(&self) -> Instant {
        self.accepted
    }

    /// When the request that was read came in: its client's time counts from there, also where it waited for us.
    pub fn arrived(&self) -> Instant {
        self.input.arrived
    }

    /// What was read and not consumed.
    pub fn buffer(&self) -> &Buffer {
        &self.input.buffer
    }

    /// A request is done with.
    pub fn consume(&mut self, length: usize) {
        self.input.buffer.consume(length);
    }

    /// Whether it is being served, told by a front that reads by itself: one that is not may have to make way.
    pub fn busy(&self, busy: bool) {
        let doing = if busy { Doing::Working } else { Doing::Resting };
        if self.seat.doing() != doing {
            self.seat.set(doing);
        }
    }

    /// Resolves when it has to make way for others.
    pub async fn unwanted(&self) {
        self.seat.unwanted().await;
    }

    /// Read the next request, unless the connection ends, says nothing for long, or is closed between requests.
    pub async fn next(&mut self) -> Result<Message, HttpError> {
        // A line end behind a request's body is no request that begins.
        if !self.input.begins_another() {
            self.input.buffer.consume(usize::MAX);
        }
        if self.input.buffer.unread().is_empty() {
            self.some().await?;
        }
        self.whole().await
    }

    /// Wait for the first bytes of a request. What came in before the end of a rest was decided is read, and so
    /// served; from then on nothing is: its client hears of the end, and asks again elsewhere.
    async fn some(&mut self) -> Result<(), HttpError> {
        let first = !self.asked;
        self.seat.set(if first { Doing::Mute } else { Doing::Resting });
        let latest = if first { self.accepted + ARRIVE } else { Instant::now() + IDLE };
        let Client { stream, input, seat, closing, .. } = self;
        let some = async { Some(input.fill(stream).await) };
        let closed = async {
            closing.idle().or(seat.unwanted()).await;
            None
        };
        match timeout_at(latest, some.or(closed)).await.flatten() {
            Some(Ok(n)) if n > 0 => Ok(()),
            Some(_) => Err(HttpError::Ended),
            None => {
                self.leave(true).await;
                Err(HttpError::Ended)
            }
        }
    }

    /// The request whose first bytes are in. From here on its client gets an answer, whatever comes.
    async fn whole(&mut self) -> Result<Message, HttpError> {
        let first = !self.asked;
        // The time is set by the connection's start or the first byte: guards against trickled requests.
        let latest = if first { self.accepted } else { Instant::now() } + ARRIVE;
        if !first {
            self.seat.set(Doing::Working);
        }
        let Client { stream, input, seat, closing, .. } = self;
        let mut stream = &*stream;
        let whole = async {
            let (mut reader, mut waits) = (Reader::new(Kind::Request, http::MOST_BODY), true);
            loop {
                if let Some(message) = reader.read(input.buffer.unread())? {
                    return Ok(message);
                }
                // Guards old clients, which hold a body back until they are told to go on, against the second
                // or so that they would wait for that in vain, out of their query's time.
                if let Some(head) = reader.head().filter(|_| waits) {
                    waits = false;
                    let expects = head.header(&input.buffer, "Expect");
                    if expects.is_some_and(|v| v.eq_ignore_ascii_case("100-continue")) {
                        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                    }
                }
                if input.fill(stream).await? == 0 {
                    return Err(HttpError::Ended);
                }
            }
        };
        let closed = async {
            closing.late().or(seat.unwanted()).await;
            Err(HttpError::Unwanted)
        };
        let message = timeout_at(latest, whole.or(closed)).await.unwrap_or(Err(HttpError::Late));
        if message.is_ok() {
            self.asked = true;
            self.seat.set(Doing::Working);
        }
        message
    }

    /// Resolves when the client goes away, or floods us. What it sends meanwhile stays in the buffer.
    pub async fn gone(&mut self, length: usize) -> HttpError {
        while self.input.buffer.unread().len() <= length + AHEAD {
            match self.input.fill_ahead(&self.stream, length).await {
                Ok(n) if n > 0 => {}
                _ => return HttpError::Ended,
            }
        }
        HttpError::TooLarge
    }

    /// Write an answer; whether the connection can go on. Where it cannot, the answer is its last. Guards the room
    /// for connections: in a crowd of clients that keep theirs, each answer says that the connection closes, which
    /// the client hears of in time; one that rests could only be closed after a while, and might cross a request.
    ///
    /// Invariant: a request of which we have read a byte is answered before we end its connection. Where another one
    /// has begun to come in behind this one, the connection goes on.
    pub async fn write(&mut self, answer: &Answer, keep_alive: bool) -> bool {
        let wanted = !self.closing.begun.get() && !self.crowded.get() && self.seat.wanted();
        let another_begun = self.input.begins_another();
        let ends = Answered { keep_alive, wanted, another_begun }.may_end();
        self.send(answer, !ends, LEAVE, keep_alive).await
    }

    /// Write what is wrong with the client's bytes, and end the connection.
    pub async fn write_error(&mut self, answer: &Answer) {
        self.send(answer, false, LEAVE_ERROR, false).await;
    }

    /// Write an answer, and end the connection unless it is kept alive. `owed`: what was read behind it is to be
    /// answered too.
    async fn send(&mut self, answer: &Answer, keep_alive: bool, leave: Duration, owed: bool) -> bool {
        let bytes = answer.bytes(keep_alive);
        let written = timeout_at(Instant::now() + leave, (&self.stream).write_all(&bytes)).await;
        if matches!(written, Some(Ok(()))) && !keep_alive {
            self.leave(owed).await;
        }
        matches!(written, Some(Ok(()))) && keep_alive
    }

    /// End the connection: the one way for all that we end by ourselves, a lingering close. Guards the last answer: a
    /// close with input unread would reset the connection, and the client might lose what it has not read yet. What
    /// still comes is dropped, in bounds, and never served: its client has been told by then.
    async fn leave(&mut self, owed: bool) {
        if owed && self.input.begins_another() {
            invariants::check_invariant(send_policy::end_of_connection(self.input.buffer.unread().len()));
        }
        let Client { stream, input: Input { buffer, .. }, seat, .. } = self;
        seat.set(Doing::Leaving);
        stream.shut_down_writing();
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
        timeout_at(Instant::now() + LINGER, drained.or(seat.closed())).await;
    }
}
