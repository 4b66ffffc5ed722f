//! Budget of the memory that the peers of the process can make it hold: partially received messages, data
//! sent ahead of a response, and responses that are not read.
//!
//! Each connection has a [`MemoryLease`] and resizes it with its buffers. When the budget is exhausted, the
//! lease that has been reclaimable for longest is reclaimed: its owner drops what it holds and refuses the
//! request. A peer that stalls with a large request therefore holds its memory only until others need it. If
//! no lease may be reclaimed yet, the request that needs the memory is refused.
//!
//! This module performs no I/O and reads no clock; the time is passed in.
//!
//! Invariants: [`MemoryLease::resize`] never raises the use above the limit. A reclaimed lease counts as
//! released at once, and its owner drops the memory when it is next polled; between the two, the process
//! holds more than the budget counts. Only [`MemoryLease::force`], for responses to requests that have been
//! served, may exceed the limit.
#![warn(missing_docs)]

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;
use thiserror::Error;

/// Time for which a reclaimable lease is kept at least, so that a request that is being received at full
/// speed is not refused in favor of another one.
const MIN_HOLD: Duration = Duration::from_millis(50);
/// Fraction of the process's memory for what clients send and do not read. The rest is for connections, open
/// queries, the list of data nodes and the program itself.
const CLIENT_DIVISOR: usize = 4;
/// Fraction of the process's memory for partially received answers.
const BACKEND_DIVISOR: usize = 8;

/// The budget has no room for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the memory for requests is exhausted")]
pub struct MemoryExhausted;

/// Counts of a budget, for log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryCounts {
    /// Limit in bytes.
    pub limit: usize,
    /// Bytes in use now.
    pub used: usize,
    /// Largest number of bytes in use so far.
    pub peak: usize,
    /// Number of leases that were reclaimed.
    pub reclaimed: u64,
    /// Number of times that a lease was refused room.
    pub refused: u64,
}

/// A limit on the bytes of all its leases together.
pub struct MemoryBudget {
    limit: usize,
    used: Cell<usize>,
    peak: Cell<usize>,
    reclaimed: Cell<u64>,
    refused: Cell<u64>,
    /// Leases that may be reclaimed, in the order in which they became reclaimable.
    reclaimable: RefCell<BTreeMap<u64, Rc<LeaseState>>>,
    next_number: Cell<u64>,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget {
            limit,
            used: Cell::default(),
            peak: Cell::default(),
            reclaimed: Cell::default(),
            refused: Cell::default(),
            reclaimable: RefCell::default(),
            next_number: Cell::default(),
        })
    }

    /// Creates the budget for clients of a process with `memory` bytes.
    pub fn for_clients(memory: usize) -> Rc<MemoryBudget> {
        MemoryBudget::new(memory / CLIENT_DIVISOR)
    }

    /// Creates the budget for backends of a process with `memory` bytes.
    pub fn for_backends(memory: usize) -> Rc<MemoryBudget> {
        MemoryBudget::new(memory / BACKEND_DIVISOR)
    }

    /// Creates an empty lease.
    pub fn lease(self: &Rc<Self>) -> MemoryLease {
        MemoryLease { budget: self.clone(), state: Rc::default() }
    }

    /// Returns the current counts.
    pub fn counts(&self) -> MemoryCounts {
        MemoryCounts {
            limit: self.limit,
            used: self.used.get(),
            peak: self.peak.get(),
            reclaimed: self.reclaimed.get(),
            refused: self.refused.get(),
        }
    }

    fn add(&self, bytes: usize) {
        self.used.set(self.used.get() + bytes);
        self.peak.set(self.peak.get().max(self.used.get()));
    }

    fn release(&self, bytes: usize) {
        self.used.set(self.used.get().saturating_sub(bytes));
    }

    /// Reclaims the oldest leases until `bytes` more fit, and returns whether they do. Reclaims nothing if
    /// that is not enough.
    fn make_room(&self, bytes: usize, now: Instant) -> bool {
        let Some(excess) = (self.used.get() + bytes).checked_sub(self.limit) else { return true };
        let mut victims = Vec::new();
        let mut freed = 0;
        for (number, state) in &*self.reclaimable.borrow() {
            if freed >= excess || !state.may_reclaim(now) {
                break;
            }
            freed += state.bytes.get();
            victims.push(*number);
        }
        if freed < excess {
            return false;
        }
        victims.into_iter().for_each(|number| self.reclaim(number));
        true
    }

    fn reclaim(&self, number: u64) {
        let Some(state) = self.reclaimable.borrow_mut().remove(&number) else { return };
        self.release(state.bytes.take());
        self.reclaimed.set(self.reclaimed.get() + 1);
        state.reclaimable.set(None);
        state.is_reclaimed.set(true);
        state.changed.notify(usize::MAX);
    }
}

/// When a lease became reclaimable.
#[derive(Clone, Copy)]
struct Reclaimable {
    number: u64,
    since: Instant,
}

#[derive(Default)]
struct LeaseState {
    bytes: Cell<usize>,
    reclaimable: Cell<Option<Reclaimable>>,
    is_reclaimed: Cell<bool>,
    changed: Event,
}

impl LeaseState {
    fn may_reclaim(&self, now: Instant) -> bool {
        self.reclaimable.get().is_some_and(|reclaimable| reclaimable.since + MIN_HOLD <= now)
    }
}

/// Memory that a connection holds, released when this is dropped.
pub struct MemoryLease {
    budget: Rc<MemoryBudget>,
    state: Rc<LeaseState>,
}

impl MemoryLease {
    /// Changes the size of the lease to `bytes`, and reclaims others if necessary.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryExhausted`] if there is no room, or if this lease has been reclaimed. The lease keeps
    /// its size.
    pub fn resize(&self, bytes: usize, now: Instant) -> Result<(), MemoryExhausted> {
        let current = self.state.bytes.get();
        if let Some(more) = bytes.checked_sub(current).filter(|more| *more > 0) {
            let fits = !self.state.is_reclaimed.get() && self.budget.make_room(more, now);
            if !fits || self.state.is_reclaimed.get() {
                self.budget.refused.set(self.budget.refused.get() + 1);
                return Err(MemoryExhausted);
            }
        }
        self.set(bytes);
        Ok(())
    }

    /// Changes the size of the lease to `bytes` if at most half of the budget is in use afterwards. For data
    /// that need not be received now.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryExhausted`] otherwise.
    pub fn resize_if_spare(&self, bytes: usize) -> Result<(), MemoryExhausted> {
        let used = self.budget.used.get() + bytes.saturating_sub(self.state.bytes.get());
        if 2 * used > self.budget.limit {
            return Err(MemoryExhausted);
        }
        self.set(bytes);
        Ok(())
    }

    /// Changes the size of the lease to `bytes` even if the limit is exceeded. Others are reclaimed if that
    /// is enough to keep the limit.
    pub fn force(&self, bytes: usize, now: Instant) {
        self.budget.make_room(bytes.saturating_sub(self.state.bytes.get()), now);
        self.set(bytes);
    }

    fn set(&self, bytes: usize) {
        self.budget.release(self.state.bytes.replace(bytes));
        self.budget.add(bytes);
    }

    /// Allows the lease to be reclaimed from `MIN_HOLD` after `now` on.
    pub fn set_reclaimable(&self, now: Instant) {
        self.retain();
        let number = self.budget.next_number.get();
        self.budget.next_number.set(number + 1);
        self.state.reclaimable.set(Some(Reclaimable { number, since: now }));
        self.budget.reclaimable.borrow_mut().insert(number, self.state.clone());
    }

    /// Prevents the lease from being reclaimed.
    pub fn retain(&self) {
        if let Some(reclaimable) = self.state.reclaimable.take() {
            self.budget.reclaimable.borrow_mut().remove(&reclaimable.number);
        }
    }

    /// Returns a handle that waits until the lease is reclaimed.
    pub fn notice(&self) -> ReclaimNotice {
        ReclaimNotice(self.state.clone())
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        self.retain();
        self.budget.release(self.state.bytes.take());
    }
}

/// Tells the owner of a lease that it was reclaimed.
pub struct ReclaimNotice(Rc<LeaseState>);

impl ReclaimNotice {
    /// Completes when the lease has been reclaimed. Cancel safe.
    pub async fn reclaimed(&self) {
        while !self.0.is_reclaimed.get() {
            let listener = self.0.changed.listen();
            if !self.0.is_reclaimed.get() {
                listener.await;
            }
        }
    }
}
