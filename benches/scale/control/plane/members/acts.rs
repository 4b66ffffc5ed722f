//! What a log says is to be done, in its order.
use std::hash::Hasher;

use fnv::FnvHasher;
use marlgap::cluster::consensus_log::{encode_command, Command, CompactError, LogAction};

use super::*;

/// A sum over all that was applied: two members that applied the same in the same order have the same.
fn sum(before: u64, index: u64, bytes: &[u8]) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write_u64(before);
    hasher.write_u64(index);
    hasher.write(bytes);
    hasher.finish()
}

impl Members {
    /// Carries out all that a log wants; its processor time since `begun` counts as this member's.
    pub(super) fn act(&mut self, i: usize, begun: Instant) {
        let Some(log) = &mut self.nodes[i].log else { return };
        let acts = log.ready();
        self.nodes[i].traffic.took(begun.elapsed());
        for act in acts {
            self.one(i, act);
        }
    }

    fn one(&mut self, i: usize, act: LogAction) {
        match act {
            LogAction::Persist(batch) => self.nodes[i].disk.apply(&batch),
            LogAction::Send { to, bytes } => self.send(i, &to, bytes),
            LogAction::Restored { index, application_state, .. } => {
                let sum = application_state.try_into().map_or(0, u64::from_be_bytes);
                let before = self.nodes[i].state.0;
                self.nodes[i].state = (index, sum);
                let differs = self.ledger.range(..=index).next_back().is_some_and(|(_, s)| *s != sum);
                self.break_if(differs, || format!("member {i} restored another state at {index}"));
                self.in_force(i, before, index);
            }
            LogAction::Applied { index, proposal, command, .. } => {
                let (last, before) = self.nodes[i].state;
                self.break_if(index <= last, || format!("member {i} applied {index} after {last}"));
                let sum = sum(before, index, &encode_command(proposal, &command));
                self.nodes[i].state = (index, sum);
                let known = *self.ledger.entry(index).or_insert(sum);
                self.break_if(known != sum, || format!("two commands, or orders, at {index}"));
                self.note(index, &command);
                self.in_force(i, index - 1, index);
            }
            LogAction::Compact => self.compact(i),
            LogAction::LeadershipChanged { is_leader } => self.leaders += u64::from(is_leader),
            LogAction::Stopped(why) => self.break_if(true, || format!("member {i} stopped: {why}")),
        }
    }

    fn break_if(&mut self, broken: bool, what: impl FnOnce() -> String) {
        if broken && self.broken.is_none() {
            self.broken = Some(what());
        }
    }

    fn send(&mut self, from: usize, to: &Rc<str>, bytes: Vec<u8>) {
        let Some(to) = self.names.get(to).copied() else { return };
        self.nodes[from].traffic.sent.add(bytes.len());
        let (here, there) = (self.nodes[from].place, self.nodes[to].place);
        let life = self.nodes[to].life;
        if let Some(delay) = self.links.carry(here, there) {
            self.queue.later(delay, Event::Deliver { from, to, life, bytes });
        }
    }

    /// The first member that applies a change shows where it stands.
    fn note(&mut self, index: u64, command: &Command) {
        let Command::Plan(bytes) = command else { return };
        let number = bytes.get(..8).and_then(|b| b.try_into().ok()).map(u64::from_be_bytes);
        let Some(change) = number.and_then(|n| self.changes.get_mut(n as usize)) else { return };
        if change.index.is_none() {
            change.index = Some(index);
            if let Some(number) = number {
                self.agreed.insert(index, number as usize);
            }
        }
    }

    /// All changes after `before` and up to `index` are in force at a member from now on.
    fn in_force(&mut self, i: usize, before: u64, index: u64) {
        if before >= index {
            return;
        }
        let now = self.queue.now;
        for number in self.agreed.range(before + 1..=index).map(|(_, n)| *n) {
            let at = &mut self.changes[number].at[i];
            *at = at.or(Some(now));
        }
    }

    fn compact(&mut self, i: usize) {
        let begun = Instant::now();
        let state = self.nodes[i].state.1;
        let Some(log) = &mut self.nodes[i].log else { return };
        match log.compact(&state.to_be_bytes()) {
            Ok(()) => {
                self.act(i, begun);
                let bytes = self.nodes[i].disk.snapshot.as_ref().map_or(0, Vec::len);
                self.snapshots = (self.snapshots.0 + 1, self.snapshots.1.max(bytes));
            }
            Err(CompactError::TooLarge { bytes, .. }) => {
                self.refused_snapshots = (self.refused_snapshots.0 + 1, bytes);
            }
            Err(CompactError::ActionsPending) => {}
            Err(e) => self.break_if(true, || format!("member {i}: {e}")),
        }
    }
}
