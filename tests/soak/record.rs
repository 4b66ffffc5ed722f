//! The events of a run as observed by the clients, the data nodes and discovery, on one clock.
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// An event. The id of a query identifies its coordinator: see [`coordinator_of`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The last byte of a query was written to a connection.
    Sent {
        id: String,
        deadline_ms: u64,
        effect: Effect,
    },
    /// The client closed the connection before the answer.
    ClientLeft {
        id: String,
    },
    Answered {
        id: String,
        status: u16,
        body: String,
    },
    /// The connection was closed without an answer: its close crossed the query.
    Closed {
        id: String,
    },
    /// The connection was closed without an answer, and no retry was answered.
    GaveUp {
        id: String,
    },
    /// A client that stalled within a request received an answer or a close (`ended`), or did not.
    Stalled {
        ended: bool,
        after_ms: u64,
    },
    /// A data node received the last byte of a part, and its first byte at `first`.
    Began {
        part: String,
        node: usize,
        timeout_ms: u64,
        first: Instant,
    },
    /// A data node completed a part.
    Served {
        part: String,
        value: String,
    },
    /// Discovery announced to a coordinator that a data node drains or no longer drains.
    DrainListed {
        coordinator: usize,
        node: usize,
        drains: bool,
    },
    /// Discovery has a new state of a data node, whether it is announced or not.
    DrainMade {
        node: usize,
        drains: bool,
    },
    /// Discovery stops answering calls, or answers them again.
    DiscoveryHangs {
        hangs: bool,
    },
    /// Discovery goes down or returns.
    DiscoveryDown {
        down: bool,
    },
    /// Discovery announced to a coordinator that a data node has started.
    StartListed {
        coordinator: usize,
        node: usize,
    },
    /// A data node was restarted.
    NodeStarted {
        node: usize,
    },
    /// A process of a coordinator was started. Nothing has been announced to it yet.
    Started {
        coordinator: usize,
    },
    /// The largest memory that a process of a coordinator has had, as the kernel counts it.
    PeakMemory {
        coordinator: usize,
        kb: u64,
    },
    /// A coordinator was told to terminate.
    Terminated {
        coordinator: usize,
    },
    /// A coordinator ended after it was told to, or was killed.
    Ended {
        coordinator: usize,
        after_ms: u64,
        clean: bool,
    },
    /// A coordinator that was told to terminate during startup ended, or was killed.
    EndedDuringStart {
        coordinator: usize,
        after_ms: u64,
        ended: bool,
    },
    /// A coordinator was started and became ready or not.
    Ready {
        coordinator: usize,
        after_ms: u64,
        ready: bool,
    },
    /// A coordinator ended without being told to.
    Crashed {
        coordinator: usize,
    },
    /// A disruption starts or ends.
    Disruption {
        text: String,
    },
    /// A line of a coordinator's log.
    LogLine {
        coordinator: usize,
        line: String,
    },
    /// A line of a coordinator's log that reports a broken invariant or a panic.
    DefectLogged {
        coordinator: usize,
        line: String,
    },
}

/// Whether a part of a query may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Repeatable,
    Once,
}

pub type TimedEvent = (Instant, Event);

#[derive(Clone, Default)]
pub struct EventLog(Arc<Mutex<Vec<TimedEvent>>>);

impl EventLog {
    pub fn record(&self, event: Event) {
        self.0.lock().expect("not poisoned").push((Instant::now(), event));
    }

    /// Writes all events to a file in order of time, in seconds since the first event.
    pub fn write_history(events: &[TimedEvent], path: &Path) -> io::Result<()> {
        let mut ordered: Vec<&TimedEvent> = events.iter().collect();
        ordered.sort_by_key(|(at, _)| *at);
        let Some((start, _)) = ordered.first() else { return Ok(()) };
        let mut file = BufWriter::new(File::create(path)?);
        for (at, event) in &ordered {
            writeln!(file, "{:9.4} {event:?}", at.duration_since(*start).as_secs_f64())?;
        }
        file.flush()
    }

    pub fn all(&self) -> Vec<TimedEvent> {
        self.0.lock().expect("not poisoned").clone()
    }
}

/// Returns the coordinator that a query's id identifies: `cN-...`.
pub fn coordinator_of(id: &str) -> usize {
    let number = id.strip_prefix('c').and_then(|id| id.split('-').next());
    number.and_then(|n| n.parse().ok()).expect("an id that starts with a coordinator's number")
}

/// Returns the query that a part belongs to.
pub fn query_of(part: &str) -> &str {
    part.split('.').next().unwrap_or(part)
}
