//! What an executor of protected queries is given: the work item, and a handle to the state machine that
//! decides on it.
//!
//! Invariant: a [`ExecutionHandle`] that is stopped never permits an attempt and passes nothing on.
#![warn(missing_docs)]
use std::cell::Cell;
use std::rc::{Rc, Weak};

use event_listener::Event as Wake;

use crate::cluster::takeover::{ExecutionKey, Record, SendDecision};

/// Executes the work items that this process owns, from their start or by takeover.
pub trait WorkExecutor {
    /// Starts to execute `record`. Must not block: what takes time goes into a task of its own. With
    /// `takeover`, parts of the record may have been granted, cleared and answered before.
    fn start(self: Rc<Self>, key: ExecutionKey, record: Rc<Record>, takeover: bool, handle: ExecutionHandle);
}

/// The state machine that decides on work items, as a handle calls it. The implementor carries out the
/// actions that follow.
pub(super) trait TakeoverStateMachine {
    /// See [`crate::cluster::takeover::TakeoverState::may_send`].
    fn may_send(self: Rc<Self>, key: ExecutionKey, step: u8, shard: u32, attempt: u8) -> SendDecision;

    /// Changes nothing.
    fn holds_lease(&self, key: ExecutionKey) -> bool;

    fn record_cleared(self: Rc<Self>, key: ExecutionKey, step: u8, shard: u32);

    fn record_value(self: Rc<Self>, key: ExecutionKey, step: u8, shard: u32, value: Rc<[u8]>, score: f64);

    fn finish(self: Rc<Self>, key: ExecutionKey, outcome: Rc<[u8]>);

    /// The last handle to the execution was dropped.
    fn execution_dropped(&self, key: ExecutionKey);
}

/// The state of one execution, for as long as an [`ExecutionHandle`] to it exists.
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

    /// More attempts of one of its parts were granted.
    pub(super) fn granted(&self) {
        self.wake.notify(usize::MAX);
    }

    /// Its ballot or lease is lost and does not come back.
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

/// A work item that this process executes. Clones refer to the same one; dropping the last one tells the
/// state machine that the executor will do no more of it.
#[derive(Clone)]
pub struct ExecutionHandle(Rc<Execution>);

impl ExecutionHandle {
    pub(super) fn new(execution: Rc<Execution>) -> ExecutionHandle {
        ExecutionHandle(execution)
    }

    /// The execution's key.
    pub fn key(&self) -> ExecutionKey {
        self.0.key
    }

    /// Whether attempt `attempt` (from 0, counted over all owners) of a part may be sent; waits until a
    /// majority holds its grant. `false`: never, by this process. `true` is returned once for each attempt,
    /// and counts it as made.
    ///
    /// Cancel safe while it waits: a grant that was asked for stands, and the attempt is not made.
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

    /// Whether ballot and lease are held at this moment: the last check before bytes are written to a socket.
    pub fn holds_lease(&self) -> bool {
        let machine = self.0.machine.upgrade();
        !self.is_stopped() && machine.is_some_and(|m| m.holds_lease(self.0.key))
    }

    /// One more attempt of the part is proved never to have run.
    pub fn record_cleared(&self, step: u8, shard: u32) {
        self.with_machine(|machine| machine.record_cleared(self.0.key, step, shard));
    }

    /// The value of a part has arrived.
    pub fn record_value(&self, step: u8, shard: u32, value: Rc<[u8]>, score: f64) {
        self.with_machine(|machine| machine.record_value(self.0.key, step, shard, value, score));
    }

    /// The outcome. Clients are answered once a majority holds it.
    pub fn finish(&self, outcome: Rc<[u8]>) {
        self.with_machine(|machine| machine.finish(self.0.key, outcome));
    }

    /// Whether ballot or lease are lost for good: this process may send or answer nothing of this work item.
    pub fn is_stopped(&self) -> bool {
        self.0.stopped.get()
    }

    /// Resolves once [`ExecutionHandle::is_stopped`]. Cancel safe.
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
