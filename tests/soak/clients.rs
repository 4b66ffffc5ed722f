//! The clients of a coordinator. Most send a query and wait for the answer; some disconnect, stall, write
//! slowly, send two requests at once or stream requests without waiting. All keep using a connection for as
//! long as it is open, including during shutdown.
use std::collections::VecDeque;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

use crate::common::read_http;
use crate::coordinator::Coordinator;
use crate::record::{Effect, Event, EventLog};

/// The upper bounds of the ranges, out of 100, from which the next action of a client is drawn.
const DISCONNECT: u32 = 10;
const SLOW_WRITE: u32 = 16;
const SEND_TWO: u32 = 22;
const SHORT_DEADLINE: u32 = 28;
const STALL: u32 = 29;
const RECONNECT: u32 = 45;
const PIPELINE: u32 = 55;

/// The number of requests that a streaming client sends. While its coordinator shuts down, it sends more.
const PIPELINED_REQUESTS: u32 = 12;
/// The time for which a query is retried after its connection was closed.
const RETRY_TIME: Duration = Duration::from_secs(15);

pub struct Client<'a> {
    pub coordinator: &'a Coordinator,
    pub number: usize,
    /// A name that is unique among the clients of the coordinator.
    pub name: String,
    pub random: Pcg64Mcg,
    pub event_log: EventLog,
    pub finished: &'a AtomicBool,
}

struct Request {
    id: String,
    bytes: Vec<u8>,
    deadline_ms: u64,
    effect: Effect,
}

impl Request {
    /// Returns the same request under another id, since a retried query is a new query.
    fn with_id(&self, id: String) -> Request {
        let text = String::from_utf8(self.bytes.clone()).expect("text");
        let bytes = text.replacen(&self.id, &id, 1).into_bytes();
        Request { id, bytes, ..*self }
    }
}

/// Requests that are written but not answered, oldest first, and whether the stream has ended or is fully
/// written.
#[derive(Default)]
struct Pipeline {
    pending: Mutex<VecDeque<Request>>,
    ended: AtomicBool,
    all_written: AtomicBool,
}

impl Client<'_> {
    /// Sends queries until the run is over.
    pub fn run(mut self) {
        let mut stream = None;
        let mut index = 0;
        while !self.finished.load(Ordering::SeqCst) {
            let draw = self.random.next_u32() % 100;
            if stream.is_none() || (SHORT_DEADLINE..RECONNECT).contains(&draw) {
                stream = self.connect();
            }
            let Some(mut open) = stream.take() else {
                std::thread::sleep(Duration::from_millis(10));
                continue;
            };
            index += 1;
            stream = match draw {
                0..DISCONNECT => self.disconnect(open, index),
                DISCONNECT..SLOW_WRITE => {
                    self.send_and_wait(open, index, self.coordinator.query_deadline_ms(), true)
                }
                SLOW_WRITE..SEND_TWO => self.send_two(open, index),
                SEND_TWO..SHORT_DEADLINE => self.send_and_wait(open, index, 20 + u64::from(draw), false),
                SHORT_DEADLINE..=STALL => {
                    self.stall(&mut open);
                    None
                }
                RECONNECT..PIPELINE => self.stream(open, index),
                _ => self.send_and_wait(open, index, self.coordinator.query_deadline_ms(), false),
            };
            std::thread::sleep(Duration::from_millis(u64::from(self.random.next_u32() % 20)));
        }
    }

    fn connect(&self) -> Option<TcpStream> {
        if !self.coordinator.accepts_connections.load(Ordering::SeqCst) {
            return None;
        }
        let stream = TcpStream::connect(self.coordinator.address).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
        Some(stream)
    }

    fn request(&mut self, index: u32, deadline_ms: u64) -> Request {
        let id = format!("c{}-{}-{index}", self.number, self.name);
        // The second class, and the third class, whose parts may run only once.
        let (kind, effect) = match self.random.next_u32() % 4 {
            0 => ("district-summary", Effect::Once),
            _ => ("field-lookup", Effect::Repeatable),
        };
        let tablet = self.random.next_u32() % 24;
        let body = format!(r#"{{"tablets":[{{"tablet":{tablet},"fraction":1}}],"statement":"s"}}"#);
        let bytes = format!(
            "POST /api HTTP/1.1\r\nHost: t\r\nReq-Id: {id}\r\nReq-Kind: {kind}\r\nReq-Deadline-Ms: {deadline_ms}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        Request { id, bytes: bytes.into_bytes(), deadline_ms, effect }
    }

    fn record_sent(&self, request: &Request) {
        let Request { id, deadline_ms, effect, .. } = request;
        self.event_log.record(Event::Sent { id: id.clone(), deadline_ms: *deadline_ms, effect: *effect });
    }

    /// Sends a query and waits for the answer. Returns the connection if it remains open. With `slowly`,
    /// the request is written in small pieces.
    fn send_and_wait(
        &mut self,
        mut stream: TcpStream,
        index: u32,
        deadline_ms: u64,
        slowly: bool,
    ) -> Option<TcpStream> {
        let request = self.request(index, deadline_ms);
        let pieces = if slowly { 40 } else { request.bytes.len() };
        for piece in request.bytes.chunks(pieces) {
            if stream.write_all(piece).is_err() {
                break;
            }
            if slowly {
                std::thread::sleep(Duration::from_millis(2));
            }
        }
        self.record_sent(&request);
        self.answer(stream, &request)
    }

    /// Reads and records an answer. Returns `None` if no complete answer arrives.
    fn read_answer(&self, stream: &mut TcpStream, id: &str) -> Option<String> {
        let answer = read_http(stream)?;
        let status = answer[9..12].parse().expect("a status");
        self.event_log.record(Event::Answered { id: id.to_owned(), status, body: answer.clone() });
        Some(answer)
    }

    /// Waits for an answer. If the connection ends without one, its close crossed the request, which is
    /// then retried.
    fn answer(&self, mut stream: TcpStream, request: &Request) -> Option<TcpStream> {
        match self.read_answer(&mut stream, &request.id) {
            Some(answer) => (!answer.contains("Connection: close")).then_some(stream),
            None => {
                self.event_log.record(Event::Closed { id: request.id.clone() });
                self.retry(request)
            }
        }
    }

    /// Retries on new connections and under new ids until there is an answer.
    fn retry(&self, request: &Request) -> Option<TcpStream> {
        let latest = Instant::now() + RETRY_TIME;
        let mut tries = 0;
        while Instant::now() < latest {
            let Some(mut stream) = self.connect() else {
                std::thread::sleep(Duration::from_millis(10));
                continue;
            };
            tries += 1;
            let again = request.with_id(format!("{}r{tries}", request.id));
            let _ = stream.write_all(&again.bytes);
            self.record_sent(&again);
            if let Some(answer) = self.read_answer(&mut stream, &again.id) {
                return (!answer.contains("Connection: close")).then_some(stream);
            }
            self.event_log.record(Event::Closed { id: again.id });
        }
        self.event_log.record(Event::GaveUp { id: request.id.clone() });
        None
    }

    /// Sends a query and closes the connection before the answer is read.
    fn disconnect(&mut self, mut stream: TcpStream, index: u32) -> Option<TcpStream> {
        let request = self.request(index, self.coordinator.query_deadline_ms());
        self.record_sent(&request);
        let _ = stream.write_all(&request.bytes);
        std::thread::sleep(Duration::from_millis(u64::from(self.random.next_u32() % 8)));
        drop(stream);
        self.event_log.record(Event::ClientLeft { id: request.id });
        None
    }

    /// Sends two requests at once. The close of the connection may cross both, in which case they are
    /// retried one after the other.
    fn send_two(&mut self, mut stream: TcpStream, index: u32) -> Option<TcpStream> {
        let first = self.request(index, self.coordinator.query_deadline_ms());
        let second = self.request(index, self.coordinator.query_deadline_ms());
        let second = second.with_id(format!("{}b", second.id));
        let both = [&first.bytes[..], &second.bytes].concat();
        let _ = stream.write_all(&both);
        self.record_sent(&first);
        self.record_sent(&second);
        match self.read_answer(&mut stream, &first.id) {
            Some(_) => self.answer(stream, &second),
            None => {
                self.event_log.record(Event::Closed { id: second.id.clone() });
                self.event_log.record(Event::Closed { id: first.id.clone() });
                self.retry(&first);
                self.retry(&second)
            }
        }
    }

    /// Sends requests without waiting for answers; on a connection that is shutting down, until it ends.
    /// The requests without an answer were crossed by the close of the connection.
    fn stream(&mut self, mut stream: TcpStream, index: u32) -> Option<TcpStream> {
        let requests = Pipeline::default();
        let reading = stream.try_clone().expect("cloned");
        let (event_log, pending) = (self.event_log.clone(), &requests);
        let goes_on = std::thread::scope(|scope| {
            let reader = scope.spawn(move || read_answers(reading, pending, &event_log));
            self.write_stream(&mut stream, index, pending);
            reader.join().expect("a reader")
        });
        for request in requests.pending.into_inner().expect("not poisoned") {
            self.event_log.record(Event::Closed { id: request.id });
        }
        goes_on.then_some(stream)
    }

    fn write_stream(&mut self, stream: &mut TcpStream, index: u32, requests: &Pipeline) {
        let mut written = 0;
        while !requests.ended.load(Ordering::SeqCst) {
            if written >= PIPELINED_REQUESTS && !self.coordinator.terminating.load(Ordering::SeqCst) {
                break;
            }
            written += 1;
            let request = self.request(index, self.coordinator.query_deadline_ms());
            let request = request.with_id(format!("{}s{written}", request.id));
            let bytes = request.bytes.clone();
            self.record_sent(&request);
            requests.pending.lock().expect("not poisoned").push_back(request);
            if stream.write_all(&bytes).is_err() {
                break;
            }
            std::thread::sleep(Duration::from_millis(1 + u64::from(self.random.next_u32() % 6)));
        }
        requests.all_written.store(true, Ordering::SeqCst);
    }

    /// Stops in the middle of a request and stays connected. The coordinator must answer with an error or
    /// close the connection.
    fn stall(&mut self, stream: &mut TcpStream) {
        let _ = stream.write_all(b"POST /api HTTP/1.1\r\nHost: t\r\nContent-Le");
        let begun = Instant::now();
        let mut rest = Vec::new();
        let ended = match stream.read_to_end(&mut rest) {
            Ok(_) => true,
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        };
        let after_ms = begun.elapsed().as_millis() as u64;
        self.event_log.record(Event::Stalled { ended, after_ms });
    }
}

/// Reads the answers to streamed requests in order, until all are received or the connection ends. Returns
/// whether the connection remains open.
fn read_answers(mut stream: TcpStream, requests: &Pipeline, event_log: &EventLog) -> bool {
    loop {
        let is_pending = !requests.pending.lock().expect("not poisoned").is_empty();
        if !is_pending && requests.all_written.load(Ordering::SeqCst) {
            return true;
        }
        if !is_pending {
            std::thread::sleep(Duration::from_millis(1));
            continue;
        }
        let Some(answer) = read_http(&mut stream) else {
            requests.ended.store(true, Ordering::SeqCst);
            return false;
        };
        let request = requests.pending.lock().expect("not poisoned").pop_front().expect("a request");
        let status = answer[9..12].parse().expect("a status");
        event_log.record(Event::Answered { id: request.id, status, body: answer });
    }
}
