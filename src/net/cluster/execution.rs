//! What a front that executes protected work is given: the work, and a hold on it.
use std::cell::Cell;
use std::rc::{Rc, Weak};

use event_listener::Event as Wake;

use crate::cluster::takeover::{ExecutionKey, Record, SendDecision};

/// A front that executes the work of which this process is the owner, from its start or by takeover.
pub trait WorkExecutor {
    /// Begin to execute `record`. Must not block: what takes time goes into a task of its own. To `takeover` belongs
    /// a record in which parts may have been granted, cleared and answered before.
    fn start(self: Rc<Self>, key: ExecutionKey, record: Rc<Record>, takeover: bool, hold: ExecutionHandle);
}

/// The machine that decides over a piece of work, as a hold asks it. Whoever owns the machine carries out what it says.
pub(super) trait TakeoverStateMachine {
    fn may_send(self: Rc<Self>, key: ExecutionKey, step: u8, shard: u32, attempt: u8) -> SendDecision;

    /// Changes nothing.
    fn holds(&self, key: ExecutionKey) -> bool;

    fn cleared(self: Rc<Self>, key: ExecutionKey, step: u8, shard: u32);

    fn value(self: Rc<Self>, key: ExecutionKey, step: u8, shard: u32, value: Rc<[u8]>, score: f64);

    fn finish(self: Rc<Self>, key: ExecutionKey, outcome: Rc<[u8]>);

    /// The last hold on it is gone.
    fn over(&self, key: ExecutionKey);
}

/// What is kept of a piece of work that this process executes, for as long as a [`Hold`] on it lives.
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
            machine.over(self.key);
        }
    }
}

/// A piece of work that this process executes. Copies refer to the same work; dropping the last one says that the front
/// will do no more of it.
#[derive(Clone)]
pub struct ExecutionHandle(Rc<Execution>);

impl ExecutionHandle {
    pub(super) fn new(run: Rc<Execution>) -> ExecutionHandle {
        ExecutionHandle(run)
    }

    pub fn key(&self) -> ExecutionKey {
        self.0.key
    }

    /// Whether attempt `attempt` (from 0, counted over all owners) of a part may be sent; waits until a majority
    /// holds that. `false`: never, by this process.
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
                SendDecision::Later => {}
            }
            wake.await;
        }
    }

    /// Whether ballot and lease are held at this moment: for the last look before a byte leaves.
    pub fn holds(&self) -> bool {
        let machine = self.0.machine.upgrade();
        !self.is_stopped() && machine.is_some_and(|m| m.holds(self.0.key))
    }

    /// One more attempt of the part is proved never to have run.
    pub fn cleared(&self, step: u8, shard: u32) {
        self.tell(|machine| machine.cleared(self.0.key, step, shard));
    }

    /// The value of a part came in.
    pub fn value(&self, step: u8, shard: u32, value: Rc<[u8]>, score: f64) {
        self.tell(|machine| machine.value(self.0.key, step, shard, value, score));
    }

    /// This is the outcome. It is answered once a majority holds it.
    pub fn finish(&self, outcome: Rc<[u8]>) {
        self.tell(|machine| machine.finish(self.0.key, outcome));
    }

    /// Whether ballot or lease are lost for good: nothing of this work may be sent or answered by this process.
    pub fn is_stopped(&self) -> bool {
        self.0.stopped.get()
    }

    /// Resolves once they are.
    pub async fn stopped(&self) {
        loop {
            let wake = self.0.wake.listen();
            if self.is_stopped() {
                return;
            }
            wake.await;
        }
    }

    fn tell(&self, what: impl FnOnce(Rc<dyn TakeoverStateMachine>)) {
        if let Some(machine) = self.0.machine.upgrade().filter(|_| !self.is_stopped()) {
            what(machine);
        }
    }
}
