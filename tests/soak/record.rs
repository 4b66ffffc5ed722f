//! What happened in a run, as the clients, the data nodes and discovery saw it, on one clock.
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// One thing that happened. A query's id names its coordinator: see [`coordinator_of`].
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// The last byte of a query was written to a connection.
    Asked {
        id: String,
        deadline_ms: u64,
        effect: Effect,
    },
    /// Its client closed the connection before the answer.
    Left {
        id: String,
    },
    Answered {
        id: String,
        status: u16,
        body: String,
    },
    /// Its connection ended with no answer: the end has crossed it.
    Crossed {
        id: String,
    },
    /// It crossed the end of its connection, and no later one gave an answer.
    Lost {
        id: String,
    },
    /// A client that stopped within a request was given an answer or a close, or was not.
    Stopped {
        ended: bool,
        after_ms: u64,
    },
    /// The last byte of a part came to a data node, the first one at `first`.
    Began {
        part: String,
        node: usize,
        told_ms: u64,
        first: Instant,
    },
    /// A data node ended a part: it may have run, unless it was turned away.
    Served {
        part: String,
        value: String,
    },
    /// Discovery has written to a coordinator that a data node drains, or that it does no more.
    Told {
        coordinator: usize,
        node: usize,
        drains: bool,
    },
    /// Discovery has written to a coordinator that a data node has started.
    ToldStart {
        coordinator: usize,
        node: usize,
    },
    /// A data node was started anew.
    NodeStarted {
        node: usize,
    },
    /// A process of a coordinator was started: it has been told nothing yet.
    Started {
        coordinator: usize,
    },
    /// A coordinator was told to end.
    Terminated {
        coordinator: usize,
    },
    /// It was told to end, and did, or was killed.
    Ended {
        coordinator: usize,
        after_ms: u64,
        well: bool,
    },
    /// It was told to end as it started, and did, or was killed.
    EndedDuringStart {
        coordinator: usize,
        after_ms: u64,
        ended: bool,
    },
    /// A coordinator was started, and ready or not.
    Ready {
        coordinator: usize,
        after_ms: u64,
        ready: bool,
    },
    /// A coordinator ended though nobody told it to.
    Crashed {
        coordinator: usize,
    },
    /// A trouble starts, or ends.
    Trouble {
        text: String,
    },
    /// A line of a coordinator's log.
    Line {
        coordinator: usize,
        line: String,
    },
    /// A line of a coordinator's log that tells of a broken invariant or a panic.
    Logged {
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

pub type Happened = (Instant, What);

#[derive(Clone, Default)]
pub struct Record(Arc<Mutex<Vec<Happened>>>);

impl Record {
    pub fn note(&self, what: What) {
        self.0.lock().expect("no panic").push((Instant::now(), what));
    }

    /// Writes all that happened to a file, in order of time, in seconds since the first of it.
    pub fn write_history(happened: &[Happened], path: &Path) -> io::Result<()> {
        let mut ordered: Vec<&Happened> = happened.iter().collect();
        ordered.sort_by_key(|(at, _)| *at);
        let Some((start, _)) = ordered.first() else { return Ok(()) };
        let mut file = BufWriter::new(File::create(path)?);
        for (at, what) in &ordered {
            writeln!(file, "{:9.4} {what:?}", at.duration_since(*start).as_secs_f64())?;
        }
        file.flush()
    }

    pub fn all(&self) -> Vec<Happened> {
        self.0.lock().expect("no panic").clone()
    }
}

/// The coordinator that a query's id names: `cN-...`.
pub fn coordinator_of(id: &str) -> usize {
    let number = id.strip_prefix('c').and_then(|id| id.split('-').next());
    number.and_then(|n| n.parse().ok()).expect("an id of ours")
}

/// The query that a part belongs to.
pub fn query_of(part: &str) -> &str {
    part.split('.').next().unwrap_or(part)
}
