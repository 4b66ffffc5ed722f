//! A crowd of clients at one coordinator: many connections that are idle, that stop half way through what they
//! send, that leave with much unread, or that send requests at full speed, among some usual ones.
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::common::read_http;
use crate::coordinator::Coordinator;
use crate::record::{Effect, Event, EventLog};

/// The number of connections of a crowd.
const CONNECTIONS: usize = 600;
/// The number of kinds of connections, which take turns.
const KINDS: usize = 8;
/// The time limit for connecting and for an answer.
const IO_TIMEOUT: Duration = Duration::from_secs(5);
/// The number of requests that a client sends before it leaves.
const REQUESTS_BEFORE_LEAVING: usize = 300;
/// The number of requests that are written at once at full speed.
const FLOOD_REQUESTS: usize = 64;

/// A connection of the crowd and the id of the request that it sent, if any.
struct CrowdConnection {
    stream: TcpStream,
    pending_id: Option<String>,
}

/// Opens all connections, keeps them for a while and closes them. Returns the number of connections that
/// were established. The coordinator may close a connection without reading from it.
pub fn run(coordinator: &Coordinator, number: usize, duration: Duration, event_log: &EventLog) -> u64 {
    let latest = Instant::now() + IO_TIMEOUT;
    while !coordinator.accepts_connections.load(Ordering::SeqCst) && Instant::now() < latest {
        std::thread::sleep(Duration::from_millis(10));
    }
    let started = Instant::now();
    let crowd = Crowd { coordinator, number, event_log };
    std::thread::scope(|scope| {
        scope.spawn(|| crowd.flood(started + duration));
        let connections: Vec<_> = (0..CONNECTIONS).filter_map(|n| crowd.open(n)).collect();
        let established = connections.len() as u64;
        let (queries, silent): (Vec<_>, Vec<_>) =
            connections.into_iter().partition(|connection| connection.pending_id.is_some());
        for query in queries {
            scope.spawn(|| query.record_answer(event_log));
        }
        std::thread::sleep(duration.saturating_sub(started.elapsed()));
        drop(silent);
        established
    })
}

#[derive(Clone, Copy)]
struct Crowd<'a> {
    coordinator: &'a Coordinator,
    number: usize,
    event_log: &'a EventLog,
}

impl Crowd<'_> {
    /// Opens a connection, and sends on it what its kind sends.
    fn open(&self, n: usize) -> Option<CrowdConnection> {
        let stream = self.connect()?;
        let head = "POST /api HTTP/1.1\r\nHost: t\r\nReq-Id: x\r\nReq-Kind: field-lookup\r\n";
        match n % KINDS {
            0 | 4 => return Some(self.query(stream, n)),
            1 | 7 => send(&stream, &format!("{head}Content-Length: 65000\r\n\r\n{}", "x".repeat(60_000))),
            2 => {
                let chunks = "1\r\nx\r\n".repeat(10_000);
                send(&stream, &format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunks}"));
            }
            3 => {
                let fields: String = (0..60).map(|field| format!("f{field}:\r\n")).collect();
                send(&stream, &(head.to_owned() + &fields));
            }
            5 => {
                self.leave(stream, n);
                return None;
            }
            6 => send(&stream, "POST /api HTTP/1.1\r\nHos"),
            _ => {}
        }
        Some(CrowdConnection { stream, pending_id: None })
    }

    fn connect(&self) -> Option<TcpStream> {
        let stream = TcpStream::connect_timeout(&self.coordinator.address, IO_TIMEOUT).ok()?;
        stream.set_read_timeout(Some(IO_TIMEOUT)).ok()?;
        stream.set_write_timeout(Some(IO_TIMEOUT)).ok()?;
        Some(stream)
    }

    /// Returns a query and records it as sent.
    fn query_text(&self, id: &str) -> String {
        let deadline_ms = self.coordinator.query_deadline_ms();
        let body = r#"{"tablets":[{"tablet":1,"fraction":1}],"statement":"s"}"#;
        let effect = Effect::Repeatable;
        self.event_log.record(Event::Sent { id: id.to_owned(), deadline_ms, effect });
        format!(
            "POST /api HTTP/1.1\r\nHost: t\r\nReq-Id: {id}\r\nReq-Kind: field-lookup\r\n\
             Req-Deadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    fn query(&self, stream: TcpStream, n: usize) -> CrowdConnection {
        let id = format!("c{}-crowd-{n}", self.number);
        send(&stream, &self.query_text(&id));
        CrowdConnection { stream, pending_id: Some(id) }
    }

    /// Sends many queries and closes the connection at once.
    fn leave(&self, stream: TcpStream, n: usize) {
        let ids: Vec<_> =
            (0..REQUESTS_BEFORE_LEAVING).map(|k| format!("c{}-left-{n}-{k}", self.number)).collect();
        let queries: String = ids.iter().map(|id| self.query_text(id)).collect();
        send(&stream, &queries);
        drop(stream);
        for id in ids {
            self.event_log.record(Event::ClientLeft { id });
        }
    }

    /// Sends requests under ever new names on one connection at full speed, and reads the answers, until `end`.
    fn flood(&self, end: Instant) {
        let mut sent = 0;
        while Instant::now() < end {
            let Some(stream) = self.connect() else { return };
            let Ok(mut answers) = stream.try_clone() else { return };
            std::thread::scope(|scope| {
                scope.spawn(move || while answers.read(&mut [0; 64 * 1024]).is_ok_and(|read| read > 0) {});
                let mut is_open = true;
                while is_open && Instant::now() < end {
                    let names = sent..sent + FLOOD_REQUESTS;
                    let requests: String =
                        names.map(|name| format!("GET /name-{name} HTTP/1.1\r\nHost: t\r\n\r\n")).collect();
                    is_open = (&stream).write_all(requests.as_bytes()).is_ok();
                    sent += FLOOD_REQUESTS;
                }
                let _ = stream.shutdown(std::net::Shutdown::Both);
            });
        }
    }
}

/// Sends text, of which the coordinator may refuse a part.
fn send(mut stream: &TcpStream, text: &str) {
    let _ = stream.write_all(text.as_bytes());
}

impl CrowdConnection {
    /// Waits for the answer and records it, or that the connection was closed without one.
    fn record_answer(mut self, event_log: &EventLog) {
        let Some(id) = self.pending_id else { return };
        match read_http(&mut self.stream) {
            Some(answer) => {
                let status = answer[9..12].parse().expect("a status");
                event_log.record(Event::Answered { id, status, body: answer });
            }
            None => event_log.record(Event::Closed { id }),
        }
    }
}
