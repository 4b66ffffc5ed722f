//! What members and operators want of the leader: changes, admissions, the end of older epochs. Whoever asks goes on
//! until it sees what it asked for applied, as [`Log::propose`] wants it.
use std::collections::HashSet;

use marlgap::cluster::consensus_log::{Command, CommandOutcome, ProposeError};
use marlgap::cluster::{Configuration, MemberId};

use super::*;

/// Admissions that one round of asking tries at most.
const A_ROUND: usize = 8;

impl Members {
    /// An operator's change of so many bytes; its number. It is asked for at once, and again until it is applied.
    pub fn change(&mut self, payload: usize) -> usize {
        let number = self.changes.len();
        let at = vec![None; self.nodes.len()];
        self.changes.push(Change { asked: self.now(), index: None, at, payload });
        self.propose_change(number);
        number
    }

    fn propose_change(&mut self, number: usize) {
        let payload = self.changes[number].payload.max(8);
        let mut bytes = (number as u64).to_be_bytes().to_vec();
        bytes.resize(payload, b'p');
        if let Some(at) = self.leader() {
            let _ = self.propose(at, &Command::Plan(bytes.into()));
        }
    }

    /// What a member answers whom asks it to agree on something.
    pub fn propose(&mut self, at: usize, command: &Command) -> Result<(), ProposeError> {
        let begun = Instant::now();
        let Some(log) = &mut self.nodes[at].log else {
            return Err(ProposeError::Stopped("it is down".into()));
        };
        let proposed = log.propose(command).map(drop);
        self.act(at, begun);
        if let Err(e) = &proposed {
            *self.refused.entry(e.to_string()).or_default() += 1;
        }
        proposed
    }

    /// One round: what is not applied yet is asked for again.
    pub(super) fn ask(&mut self) {
        let open: Vec<usize> = (0..self.changes.len()).rev().take(64).filter(|n| self.again(*n)).collect();
        for number in open.into_iter().rev() {
            self.propose_change(number);
        }
        if self.admits && !self.waiting.is_empty() {
            self.admit();
        }
        self.close();
    }

    fn again(&self, number: usize) -> bool {
        let change = &self.changes[number];
        change.index.is_none() && self.now() > change.asked + ASK
    }

    fn admit(&mut self) {
        let Some(at) = self.leader() else { return };
        let Some(log) = &self.nodes[at].log else { return };
        let counting: HashSet<MemberId> = log.membership().members().map(|s| s.member.id.clone()).collect();
        let base = log.membership().latest().map_or(0, Configuration::epoch);
        let nodes = &self.nodes;
        self.waiting.retain(|i| !counting.contains(&nodes[*i].seat.member.id));
        let asks: Vec<_> = self.waiting.iter().take(A_ROUND).map(|i| self.nodes[*i].seat.clone()).collect();
        for seat in asks {
            match self.propose(at, &Command::Admit { voter: seat, known_epoch: base }) {
                Ok(()) | Err(ProposeError::NoEffect(CommandOutcome::Unchanged)) => {}
                Err(_) => break,
            }
        }
    }

    /// Nothing is pinned here: whatever is older than the newest epoch may be closed.
    fn close(&mut self) {
        let Some(at) = self.leader() else { return };
        let Some(log) = &self.nodes[at].log else { return };
        let roster = log.membership();
        let newest = roster.latest().map_or(0, Configuration::epoch);
        if roster.open_epochs().count() > OPEN {
            let _ = self.propose(at, &Command::CloseEpoch(newest - 1));
        }
    }
}
