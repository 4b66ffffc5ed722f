//! The interface for executors of protected queries: a work item and a handle to the state machine that
//! controls it.
//!
//! Invariant: an [`ExecutionHandle`] that is stopped never permits an attempt and forwards no calls.
#![warn(missing_docs)]
use std::cell::Cell;
use std::rc::{Rc, Weak};

use event_listener::Event as Wake;

use crate::cluster::takeover::{ExecutionKey, Record, SendDecision};

/// Executes the work items that this process owns, either from their start or after a takeover.
pub trait WorkExecutor {
    /// Starts executing `record`. Implementations must not block and must run longer work in a task of
    /// their own. If `takeover` is set, parts of the record may already have been granted, cleared or
    /// answered.
    fn start(self: Rc<Self>, key: ExecutionKey, record: Rc<Record>, takeover: bool, handle: ExecutionHandle);
}

/// The state machine that controls work items, as called by a handle. The implementation also executes the
/// resulting actions.
pub(super) trait TakeoverStateMachine {
    /// See [`crate::cluster::takeover::TakeoverState::may_send`].
    fn may_send(self: Rc<Self>, key: ExecutionKey, step: u8, shard: u32, attempt: u8) -> SendDecision;

    /// Returns whether this process holds the ballot and the lease of the work item. Does not change any
    /// state.
    fn holds_lease(&self, key: ExecutionKey) -> bool;

    fn record_cleared(self: Rc<Self>, key: ExecutionKey, step: u8, shard: u32);

    fn record_value(self: Rc<Self>, key: ExecutionKey, step: u8, shard: u32, value: Rc<[u8]>, score: f64);

    fn finish(self: Rc<Self>, key: ExecutionKey, outcome: Rc<[u8]>);

    /// Called when the last handle to the execution is dropped.
    fn execution_dropped(&self, key: ExecutionKey);
}

/// The shared state of one execution, which lives as long as an [`ExecutionHandle`] to it.
pub(super) struct Execution {
    key: ExecutionKey,
    machine: Weak<dyn TakeoverStateMachine>,
    stopped: Cell<bool>,
    wake: Wake,
}

impl Execution {
    pub(super) fn new(key: ExecutionKey, machine: Weak<dyn TakeoverStateMachine>) -> Rc<Execution> {
        Rc::new(Execution { key, machine, stopped: Cell::new(false), wake: Wake::new() })
    }

    /// Wakes the waiting tasks after further attempts of a part were granted.
    pub(super) fn granted(&self) {
        self.wake.notify(usize::MAX);
    }

    /// Stops the execution permanently, after its ballot or lease was lost.
    pub(super) fn stop(&self) {
        self.stopped.set(true);
        self.wake.notify(usize::MAX);
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        if let Some(machine) = self.machine.upgrade() {
            machine.execution_dropped(self.key);
        }
    }
}

/// A handle to a work item that this process executes. Clones refer to the same execution. Dropping the
/// last one tells the state machine that the executor has finished with it.
#[derive(Clone)]
pub struct ExecutionHandle(Rc<Execution>);

impl ExecutionHandle {
    pub(super) fn new(execution: Rc<Execution>) -> ExecutionHandle {
        ExecutionHandle(execution)
    }

    /// Returns the key of the execution.
    pub fn key(&self) -> ExecutionKey {
        self.0.key
    }

    /// Waits until attempt `attempt` of a part may be sent, which requires that a majority holds its grant.
    /// Attempts are numbered from 0 across all owners of the work item.
    ///
    /// Returns `true` once for each attempt, which then counts as made, and `false` if this process may
    /// never send it.
    ///
    /// This method is cancel safe: a grant that was already requested remains in place, and the attempt
    /// does not count as made.
    pub async fn may_send(&self, step: u8, shard: u32, attempt: u8) -> bool {
        loop {
            let wake = self.0.wake.listen();
            if self.is_stopped() {
                return false;
            }
            let Some(machine) = self.0.machine.upgrade() else { return false };
            match machine.may_send(self.0.key, step, shard, attempt) {
                SendDecision::Now => return true,
                SendDecision::Never => return false,
                SendDecision::AwaitGrant => {}
            }
            wake.await;
        }
    }

    /// Returns whether the ballot and the lease are currently held. This is the last check before bytes are
    /// written to a socket.
    pub fn holds_lease(&self) -> bool {
        let machine = self.0.machine.upgrade();
        !self.is_stopped() && machine.is_some_and(|m| m.holds_lease(self.0.key))
    }

    /// Records that one more attempt of the part is known never to have run.
    pub fn record_cleared(&self, step: u8, shard: u32) {
        self.with_machine(|machine| machine.record_cleared(self.0.key, step, shard));
    }

    /// Records the value of a part.
    pub fn record_value(&self, step: u8, shard: u32, value: Rc<[u8]>, score: f64) {
        self.with_machine(|machine| machine.record_value(self.0.key, step, shard, value, score));
    }

    /// Sets the outcome of the work item. Clients are answered once a majority holds it.
    pub fn finish(&self, outcome: Rc<[u8]>) {
        self.with_machine(|machine| machine.finish(self.0.key, outcome));
    }

    /// Returns whether the ballot or the lease is permanently lost. If so, this process must not send or
    /// answer anything for this work item.
    pub fn is_stopped(&self) -> bool {
        self.0.stopped.get()
    }

    /// Waits until [`ExecutionHandle::is_stopped`] returns `true`. This method is cancel safe.
    pub async fn stopped(&self) {
        loop {
            let wake = self.0.wake.listen();
            if self.is_stopped() {
                return;
            }
            wake.await;
        }
    }

    fn with_machine(&self, call: impl FnOnce(Rc<dyn TakeoverStateMachine>)) {
        if let Some(machine) = self.0.machine.upgrade().filter(|_| !self.is_stopped()) {
            call(machine);
        }
    }
}
