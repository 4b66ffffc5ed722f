//! Buffers the request of a call, so that retries and hedged attempts can replay it from the start. The
//! module does no I/O.
//!
//! Each attempt has its own read position. Until an attempt has committed the call, nothing is dropped. The
//! buffered bytes are bounded for each call and for all calls together. When the buffer is full, an attempt
//! that has sent all of it must commit the call before more is read from the client. After the commit, the
//! chunks that this attempt has sent are dropped, and the bounds only apply back-pressure to the client.
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;

/// The result of reading the buffer at an attempt's position.
#[derive(Debug, PartialEq, Eq)]
pub enum NextChunk {
    /// The next chunk to send.
    Chunk(Bytes),
    /// The client has half-closed.
    End,
    /// No more data has arrived from the client yet.
    Wait,
    /// The attempt has sent all buffered chunks, and the buffer is full. It must commit the call before more
    /// is read from the client.
    CommitRequired,
}

/// A limit on the bytes that all calls together may buffer. Clones share the limit.
#[derive(Clone, Debug)]
pub struct ReplayBudget {
    used: Rc<Cell<usize>>,
    max_bytes: usize,
}

impl ReplayBudget {
    /// Creates a budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> ReplayBudget {
        ReplayBudget { used: Rc::default(), max_bytes }
    }

    /// Returns the number of bytes that are buffered now.
    pub fn buffered_bytes(&self) -> usize {
        self.used.get()
    }
}

/// The buffered request of one call.
#[derive(Debug)]
pub struct ReplayBuffer {
    chunks: VecDeque<Bytes>,
    /// The number of chunks that were dropped from the front.
    dropped_chunks: usize,
    bytes: usize,
    max_bytes: usize,
    budget: ReplayBudget,
    half_closed: bool,
    committed: bool,
}

impl ReplayBuffer {
    /// Creates an empty buffer of at most `max_bytes`, which also count against `budget`.
    pub fn new(max_bytes: usize, budget: ReplayBudget) -> ReplayBuffer {
        let (chunks, dropped_chunks, bytes, half_closed, committed) = Default::default();
        ReplayBuffer { chunks, dropped_chunks, bytes, max_bytes, budget, half_closed, committed }
    }

    /// Returns whether more may be read from the client. The bounds are compared with the bytes before the
    /// next chunk, which may therefore exceed them. A committed call may always buffer one chunk, so that it
    /// never waits for other calls to free memory.
    pub fn has_room(&self) -> bool {
        let within_limits = self.bytes < self.max_bytes && self.budget.used.get() < self.budget.max_bytes;
        !self.half_closed && (within_limits || (self.committed && self.bytes == 0))
    }

    /// Appends a chunk that the client has sent. Ignores an empty chunk.
    pub fn push(&mut self, chunk: Bytes) {
        if !chunk.is_empty() {
            self.count(chunk.len() as isize);
            self.chunks.push_back(chunk);
        }
    }

    /// Records that the client has half-closed.
    pub fn end(&mut self) {
        self.half_closed = true;
    }

    /// Returns the chunk at position `at`, counted in chunks from the start of the request, or the reason why
    /// there is none.
    pub fn next(&self, at: usize) -> NextChunk {
        match at.checked_sub(self.dropped_chunks).and_then(|n| self.chunks.get(n)) {
            Some(chunk) => NextChunk::Chunk(chunk.clone()),
            None if self.half_closed => NextChunk::End,
            None if !self.committed && !self.has_room() => NextChunk::CommitRequired,
            None => NextChunk::Wait,
        }
    }

    /// Drops the chunks before position `at`, which the committed attempt has sent, and records that the
    /// gRPC call is committed.
    pub fn discard_sent(&mut self, at: usize) {
        self.committed = true;
        while self.dropped_chunks < at {
            let Some(chunk) = self.chunks.pop_front() else { break };
            self.count(-(chunk.len() as isize));
            self.dropped_chunks += 1;
        }
    }

    fn count(&mut self, change: isize) {
        self.bytes = self.bytes.saturating_add_signed(change);
        self.budget.used.set(self.budget.used.get().saturating_add_signed(change));
    }
}

impl Drop for ReplayBuffer {
    fn drop(&mut self) {
        self.count(-(self.bytes as isize));
    }
}
