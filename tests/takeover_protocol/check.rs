//! The checker: rules that no run may violate, checked at each step with sight of all members at once.
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use marlgap::cluster::takeover::slot::{Acceptor, FENCED_BALLOT};
use marlgap::cluster::takeover::{ClientReply, Record, TakeoverState};
use marlgap::cluster::MemberId;

use crate::sim::Simulation;

#[derive(Default)]
pub struct History {
    /// By id and shard: attempts made, and how many of them ran.
    attempts: BTreeMap<(Rc<str>, u32), (u32, u32)>,
    outcomes: BTreeMap<Rc<str>, Rc<[u8]>>,
    pub violations: BTreeSet<&'static str>,
}

impl Simulation {
    /// What the members of its group hold of an id in an epoch, dead ones too; and whether they lead it.
    fn group_of(&self, epoch: u64, id: &str) -> Vec<Option<(Acceptor, Option<u64>)>> {
        let Some(config) = self.configs.iter().find(|c| c.epoch() == epoch) else { return Vec::new() };
        let live = self.nodes.iter().map(|n| (&n.id, &n.takeover));
        let all: Vec<(&MemberId, &TakeoverState)> =
            live.chain(self.dead.iter().map(|(m, w)| (m, w))).collect();
        let group = config.group(id.as_bytes(), self.plan.group);
        let works = |m: &MemberId| all.iter().rev().find(|(id, _)| *id == m).map(|(_, w)| *w);
        group.iter().map(|m| works(&m.id).and_then(|w| w.inspect(epoch, id))).collect()
    }

    fn led_by(&self, n: usize, id: &str) -> Option<(u64, u64)> {
        let led = |e: u64| self.nodes[n].takeover.inspect(e, id).and_then(|(_, led)| led).map(|b| (e, b));
        self.configs.iter().rev().find_map(|c| led(c.epoch()))
    }

    /// By true time: has a majority promised a higher ballot, whatever this member knows?
    fn has_lost_ballot(&self, n: usize, id: &str) -> bool {
        let Some((epoch, ballot)) = self.led_by(n, id) else { return false };
        let group = self.group_of(epoch, id);
        let higher =
            |(a, _): &&(Acceptor, Option<u64>)| a.promised.is_some_and(|p| p > ballot && p != FENCED_BALLOT);
        group.iter().flatten().filter(higher).count() > group.len() / 2
    }

    pub fn check_sent(&mut self, n: usize, record: &Record, shard: u32, ran: bool) {
        let id: Rc<str> = record.id.as_str().into();
        if self.has_lost_ballot(n, &id) {
            self.history.violations.insert("sent under a lost ballot");
        }
        let (made, runs) = self.history.attempts.entry((id, shard)).or_default();
        (*made, *runs) = (*made + 1, *runs + u32::from(ran));
        let (made, runs) = (*made, *runs);
        if made > 4 {
            self.history.violations.insert("a fifth attempt");
        }
        if record.class == 0 && runs > 1 {
            self.history.violations.insert("ran twice");
        }
    }

    /// A member starts to execute it.
    pub fn check_started(&mut self, n: usize, id: &str) {
        let group = self.group_of(self.led_by(n, id).map_or(0, |l| l.0), id);
        let holds = group.iter().flatten().filter(|(a, _)| a.accepted.is_some()).count();
        if holds <= group.len() / 2 {
            self.history.violations.insert("begun before its record stood");
        }
    }

    /// A leader announces the outcome.
    pub fn check_decided(&mut self, n: usize, _epoch: u64, id: &str) {
        if self.has_lost_ballot(n, id) {
            self.history.violations.insert("answered under a lost ballot");
        }
    }

    pub fn check_answer(&mut self, client: usize, reply: &ClientReply) {
        let ClientReply::Outcome(outcome) = reply else { return };
        let (id, text) = (Rc::clone(&self.clients[client].id), Rc::clone(&self.clients[client].payload));
        let first = self.history.outcomes.entry(Rc::clone(&id)).or_insert_with(|| Rc::clone(outcome));
        if first != outcome {
            self.history.violations.insert("two outcomes");
        }
        if outcome.split(|b| *b == b'|').next() != Some(&text) {
            self.history.violations.insert("the outcome of another text");
        }
        let stands = self.configs.iter().any(|c| {
            let group = self.group_of(c.epoch(), &id);
            let has = |a: &Acceptor| {
                a.accepted.as_ref().is_some_and(|a| a.record.outcome.as_deref() == Some(outcome))
            };
            group.iter().flatten().filter(|(a, _)| has(a)).count() > group.len() / 2
        });
        if !stands {
            self.history.violations.insert("answered before it stood");
        }
    }

    /// After the run: each submitted request was answered; with `expect_outcomes`, because a majority of each
    /// group was alive, not by its deadline or a rejection.
    pub fn check_end(&mut self, expect_outcomes: bool) {
        for client in &self.clients {
            if client.submitted && client.replies.is_empty() {
                self.history.violations.insert("an ask without a reply");
            }
            if expect_outcomes
                && client
                    .replies
                    .iter()
                    .any(|r| matches!(r, ClientReply::DeadlineExceeded | ClientReply::Rejected { .. }))
            {
                self.history.violations.insert("out of time though all was well again");
            }
        }
    }
}
