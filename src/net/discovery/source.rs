//! An address of discovery, and the order of the addresses that a process is configured with.
//!
//! Invariant: once an address has answered, nothing from an earlier address is applied.
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// An address from which the list is requested.
pub(super) struct Source {
    pub address: SocketAddr,
    /// Position in the order in which the addresses were configured.
    pub generation: u64,
    /// Version of the list from this address; `None` if the complete list must be requested next.
    pub seq: Cell<Option<u64>>,
    /// Start time of the last call, including its connect.
    pub last_call_started: Cell<Instant>,
    /// Additional time for an agent's answer, after an earlier answer timed out while it was being received.
    pub slow_answer_slack: Cell<Duration>,
    /// Whether a failed call was repeated at once since the last answer.
    pub was_repeated: Cell<bool>,
}

impl Source {
    /// Creates a source that was not called yet. `seq` is the version of a list that it can be asked for
    /// changes to.
    pub fn new(address: SocketAddr, generation: u64, seq: Option<u64>) -> Source {
        Source {
            address,
            generation,
            seq: Cell::new(seq),
            last_call_started: Cell::new(Instant::now()),
            slow_answer_slack: Cell::default(),
            was_repeated: Cell::default(),
        }
    }
}

/// The generations of the sources of a process.
#[derive(Default)]
pub(super) struct Generations {
    current: Cell<u64>,
    answered: Cell<u64>,
    /// Notified when a source answers for the first time.
    pub first_answer: event_listener::Event,
}

impl Generations {
    /// Begins the next generation and returns it.
    pub fn advance(&self) -> u64 {
        self.current.set(self.current.get() + 1);
        self.current.get()
    }

    /// Returns the generation of the source that is configured now.
    pub fn current(&self) -> u64 {
        self.current.get()
    }

    /// Returns whether the source is the one that is configured now.
    pub fn is_current(&self, source: &Source) -> bool {
        source.generation == self.current.get()
    }

    /// Returns whether a later source has answered.
    pub fn is_superseded(&self, source: &Source) -> bool {
        source.generation < self.answered.get()
    }

    /// Returns whether the current source has answered.
    pub fn current_has_answered(&self) -> bool {
        self.answered.get() == self.current.get()
    }

    /// Records an answer of a source.
    pub fn record_answer(&self, source: &Source) {
        if source.generation > self.answered.get() {
            self.answered.set(source.generation);
            self.first_answer.notify(usize::MAX);
        }
    }
}
