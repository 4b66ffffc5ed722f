//! Invariant checks over a simulated run. They run at each step and observe the state of all members at once.
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use marlgap::cluster::takeover::slot::{Acceptor, FENCED_BALLOT};
use marlgap::cluster::takeover::{ClientReply, Record, TakeoverState};
use marlgap::cluster::MemberId;

use crate::sim::Simulation;

/// A client was told that its query was refused, but an attempt of it had been made.
pub const REFUSED_AFTER_ATTEMPT: &str = "refused after an attempt was made";

#[derive(Default)]
pub struct History {
    /// Attempts made and attempts that ran, by id and shard.
    attempts: BTreeMap<(Rc<str>, u32), (u32, u32)>,
    outcomes: BTreeMap<Rc<str>, Rc<[u8]>>,
    pub violations: BTreeSet<&'static str>,
}

impl Simulation {
    /// Returns the acceptor state and led ballot of an id in an epoch at each member of its group, including
    /// dead ones.
    fn group_states(&self, epoch: u64, id: &str) -> Vec<Option<(Acceptor, Option<u64>)>> {
        let Some(config) = self.configs.iter().find(|c| c.epoch() == epoch) else { return Vec::new() };
        let live = self.nodes.iter().map(|n| (&n.id, &n.takeover));
        let all: Vec<(&MemberId, &TakeoverState)> =
            live.chain(self.dead.iter().map(|(id, state)| (id, state))).collect();
        let group = config.group(id.as_bytes(), self.plan.group);
        let state_of = |m: &MemberId| all.iter().rev().find(|(id, _)| *id == m).map(|(_, state)| *state);
        group.iter().map(|m| state_of(&m.id).and_then(|state| state.inspect(epoch, id))).collect()
    }

    fn led_ballot(&self, n: usize, id: &str) -> Option<(u64, u64)> {
        let led = |e: u64| self.nodes[n].takeover.inspect(e, id).and_then(|(_, led)| led).map(|b| (e, b));
        self.configs.iter().rev().find_map(|c| led(c.epoch()))
    }

    /// Returns whether a majority has promised a higher ballot than the one this member leads, whether or not
    /// the member knows it yet.
    fn has_lost_ballot(&self, n: usize, id: &str) -> bool {
        let Some((epoch, ballot)) = self.led_ballot(n, id) else { return false };
        let group = self.group_states(epoch, id);
        let higher =
            |(a, _): &&(Acceptor, Option<u64>)| a.promised.is_some_and(|p| p > ballot && p != FENCED_BALLOT);
        group.iter().flatten().filter(higher).count() > group.len() / 2
    }

    pub fn check_sent(&mut self, n: usize, record: &Record, shard: u32, ran: bool) {
        let id: Rc<str> = record.id.as_str().into();
        if self.has_lost_ballot(n, &id) {
            self.history.violations.insert("attempt sent under a lost ballot");
        }
        let (attempts_made, runs) = self.history.attempts.entry((id, shard)).or_default();
        (*attempts_made, *runs) = (*attempts_made + 1, *runs + u32::from(ran));
        let (attempts_made, runs) = (*attempts_made, *runs);
        if attempts_made > 4 {
            self.history.violations.insert("more than four attempts");
        }
        if record.class == 0 && runs > 1 {
            self.history.violations.insert("part ran more than once");
        }
    }

    /// Checks that a majority holds the record of a work item whose execution starts.
    pub fn check_started(&mut self, n: usize, id: &str) {
        let group = self.group_states(self.led_ballot(n, id).map_or(0, |l| l.0), id);
        let holders = group.iter().flatten().filter(|(a, _)| a.accepted.is_some()).count();
        if holders <= group.len() / 2 {
            self.history.violations.insert("started before a majority held the record");
        }
    }

    /// Checks that the leader that announces an outcome has not lost its ballot.
    pub fn check_decided(&mut self, n: usize, _epoch: u64, id: &str) {
        if self.has_lost_ballot(n, id) {
            self.history.violations.insert("outcome announced under a lost ballot");
        }
    }

    /// Checks that a client is not told that its query was refused, after an attempt of it has been made: it
    /// would try again under another id, or run the query without protection. A request that is refused
    /// before it was forwarded says nothing about other requests with its id.
    fn check_refused(&mut self, client: usize) {
        if self.submitting == Some(client) {
            return;
        }
        let id = &self.clients[client].id;
        if self.history.attempts.keys().any(|(started, _)| started == id) {
            self.history.violations.insert(REFUSED_AFTER_ATTEMPT);
        }
    }

    pub fn check_answer(&mut self, client: usize, reply: &ClientReply) {
        if matches!(reply, ClientReply::Rejected { .. } | ClientReply::Unprotected) {
            self.check_refused(client);
        }
        let ClientReply::Outcome(outcome) = reply else { return };
        let (id, payload) = (Rc::clone(&self.clients[client].id), Rc::clone(&self.clients[client].payload));
        let first = self.history.outcomes.entry(Rc::clone(&id)).or_insert_with(|| Rc::clone(outcome));
        if first != outcome {
            self.history.violations.insert("two outcomes for one id");
        }
        if outcome.split(|b| *b == b'|').next() != Some(&payload) {
            self.history.violations.insert("outcome of another payload");
        }
        let majority_holds_it = self.configs.iter().any(|c| {
            let group = self.group_states(c.epoch(), &id);
            let holds_outcome = |a: &Acceptor| {
                a.accepted.as_ref().is_some_and(|a| a.record.outcome.as_deref() == Some(outcome))
            };
            group.iter().flatten().filter(|(a, _)| holds_outcome(a)).count() > group.len() / 2
        });
        if !majority_holds_it {
            self.history.violations.insert("answered before a majority held the outcome");
        }
    }

    /// Checks after the run that each submitted request was answered. With `expect_outcomes`, which requires
    /// that a majority of each group stayed alive, no request may have ended by its deadline or by a
    /// rejection.
    pub fn check_end(&mut self, expect_outcomes: bool) {
        for client in &self.clients {
            if client.submitted && client.replies.is_empty() {
                self.history.violations.insert("request without a reply");
            }
            if expect_outcomes
                && client
                    .replies
                    .iter()
                    .any(|r| matches!(r, ClientReply::DeadlineExceeded | ClientReply::Rejected { .. }))
            {
                self.history.violations.insert("no outcome after the faults ended");
            }
        }
    }
}
