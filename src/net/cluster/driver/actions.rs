//! Executes the actions of the state machines and forwards the executor's calls to them.
use std::rc::{Rc, Weak};

use slog::{debug, info, warn};

use super::Driver;
use crate::cluster::bootstrap::first_configuration;
use crate::cluster::takeover::{Action, ExecutionKey, Record, SendDecision};
use crate::cluster::{Configuration, MemberId};
use crate::net::cluster::execution::{Execution, ExecutionHandle, TakeoverStateMachine};
use crate::net::cluster::frames::Frame;

impl Driver {
    /// Executes the actions of the state machines until none are left. A nested call, made because an
    /// action produced a further event, returns at once and leaves the new actions to the outer loop, which
    /// keeps them in order.
    pub(super) fn execute_actions(self: &Rc<Self>) {
        if self.executing_actions.replace(true) {
            return;
        }
        loop {
            let takeover = self.takeover.borrow_mut().take_actions();
            let bootstrap = self.bootstrap.borrow_mut().ready();
            if takeover.is_empty() && bootstrap.is_empty() {
                break;
            }
            bootstrap.into_iter().for_each(|action| self.apply_bootstrap_action(action));
            takeover.into_iter().for_each(|action| self.apply_takeover_action(action));
        }
        self.executing_actions.set(false);
        let due = self.takeover.borrow().next_due();
        if due.is_some_and(|due| self.timer_due.get().is_none_or(|set| due < set)) {
            self.timer_changed.notify(1);
        }
    }

    fn apply_takeover_action(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { to, message } => self.send(&to, &Frame::Takeover(message)),
            Action::Start { key, record, takeover } => self.start_execution(key, record, takeover),
            Action::Granted { key, .. } => {
                if let Some(execution) = self.execution(key) {
                    execution.granted();
                }
            }
            Action::Stop { key } => {
                if let Some(execution) = self.execution(key) {
                    execution.stop();
                }
            }
            Action::Answer { token, reply } => {
                let client = self.clients.borrow_mut().remove(&token);
                // Sending fails only if the client no longer waits.
                let _ = client.map(|client| client.try_send(reply));
            }
        }
    }

    fn start_execution(self: &Rc<Self>, key: ExecutionKey, record: Rc<Record>, takeover: bool) {
        let machine: Rc<dyn TakeoverStateMachine> = self.clone();
        let execution = Execution::new(key, Rc::downgrade(&machine));
        self.executions.borrow_mut().insert(key, Rc::downgrade(&execution));
        debug!(self.log, "protected query started"; "id" => &record.id, "takeover" => takeover);
        let executor = self.executor.borrow().clone();
        match executor {
            Some(executor) => executor.start(key, record, takeover, ExecutionHandle::new(execution)),
            None => self.warn("no executor is set for a protected query", &"", &record.id),
        }
    }

    fn execution(&self, key: ExecutionKey) -> Option<Rc<Execution>> {
        self.executions.borrow().get(&key).and_then(Weak::upgrade)
    }

    fn apply_bootstrap_action(&self, action: first_configuration::Action) {
        match action {
            first_configuration::Action::Send { to, message } => self.send(&to, &Frame::Bootstrap(message)),
            first_configuration::Action::Decided(configuration) => self.configure(configuration),
            first_configuration::Action::ConfigurationMismatch(id) => {
                self.warn("member lists differ", &id, &"the peer has other members or zones configured")
            }
        }
    }

    fn configure(&self, configuration: Configuration) {
        let epoch = configuration.epoch();
        let members = configuration.members().len();
        if !configuration.contains(&self.me) {
            warn!(self.log, "this member is not in the fleet configuration: it started later"; "epoch" => epoch);
        }
        *self.configuration.borrow_mut() = Some(configuration.clone());
        self.takeover.borrow_mut().configure(self.clock.now(), configuration);
        info!(self.log, "fleet configuration"; "members" => members, "epoch" => epoch);
    }

    fn send(&self, to: &MemberId, frame: &Frame) {
        if let Some(outbox) = self.outboxes.get(&to.name) {
            outbox.send(to, frame);
        }
    }
}

impl TakeoverStateMachine for Driver {
    fn may_send(self: Rc<Self>, key: ExecutionKey, step: u8, shard: u32, attempt: u8) -> SendDecision {
        self.with_takeover(|takeover, now| takeover.may_send(now, key, step, shard, attempt))
    }

    fn holds_lease(&self, key: ExecutionKey) -> bool {
        self.takeover.borrow().holds_lease(self.clock.now(), key)
    }

    fn record_cleared(self: Rc<Self>, key: ExecutionKey, step: u8, shard: u32) {
        self.with_takeover(|takeover, now| takeover.record_cleared(now, key, step, shard));
    }

    fn record_value(self: Rc<Self>, key: ExecutionKey, step: u8, shard: u32, value: Rc<[u8]>, score: f64) {
        self.with_takeover(|takeover, now| takeover.record_value(now, key, step, shard, value, score));
    }

    fn finish(self: Rc<Self>, key: ExecutionKey, outcome: Rc<[u8]>) {
        self.with_takeover(|takeover, now| takeover.finish(now, key, outcome));
    }

    fn execution_dropped(&self, key: ExecutionKey) {
        self.executions.borrow_mut().remove(&key);
        self.execution_ended.notify(usize::MAX);
    }
}
