//! A crowd of clients at one coordinator: many more connections than it has descriptors, most of them idle.
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::common::read_http;
use crate::coordinator::Coordinator;
use crate::record::{Effect, Record, What};

/// Connections of a crowd.
const CONNECTIONS: usize = 300;
/// One in so many of them sends a request.
const BUSY: usize = 4;
const DEADLINE_MS: u64 = 2000;
/// How long an answer is waited for.
const PATIENCE: Duration = Duration::from_secs(5);

/// A connection of the crowd, and the request that it waits for, if it sent one.
struct Member {
    stream: TcpStream,
    waits_for: Option<String>,
}

/// Come, stay for a while and go; how many connections came up. A connection may be closed unread.
pub fn visit(coordinator: &Coordinator, number: usize, lasts: Duration, record: &Record) -> u64 {
    let latest = Instant::now() + PATIENCE;
    while !coordinator.open.load(Ordering::SeqCst) && Instant::now() < latest {
        std::thread::sleep(Duration::from_millis(10));
    }
    let started = Instant::now();
    let members: Vec<Member> =
        (0..CONNECTIONS).filter_map(|n| Member::come(coordinator, number, n, record)).collect();
    let came = members.len() as u64;
    std::thread::sleep(lasts.saturating_sub(started.elapsed()));
    for member in members {
        member.wait(record);
    }
    came
}

impl Member {
    fn come(coordinator: &Coordinator, number: usize, n: usize, record: &Record) -> Option<Member> {
        let mut stream = TcpStream::connect_timeout(&coordinator.address, PATIENCE).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        if !n.is_multiple_of(BUSY) {
            return Some(Member { stream, waits_for: None });
        }
        let id = format!("c{number}-crowd-{n}");
        let body = r#"{"tablets":[{"tablet":1,"fraction":1}],"statement":"s"}"#;
        let request = format!(
            "POST /api HTTP/1.1\r\nHost: t\r\nReq-Id: {id}\r\nReq-Kind: field-lookup\r\n\
             Req-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let effect = Effect::Repeatable;
        record.note(What::Asked { id: id.clone(), deadline_ms: DEADLINE_MS, effect });
        let _ = stream.write_all(request.as_bytes());
        Some(Member { stream, waits_for: Some(id) })
    }

    /// Note the answer, which has come by now, or that the end of the connection crossed the request.
    fn wait(mut self, record: &Record) {
        let Some(id) = self.waits_for else { return };
        match read_http(&mut self.stream) {
            Some(answer) => {
                let status = answer[9..12].parse().expect("a status");
                record.note(What::Answered { id, status, body: answer });
            }
            None => record.note(What::Crossed { id }),
        }
    }
}
