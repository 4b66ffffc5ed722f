//! The checker: what may never happen, looked at while it happens, by one who sees all members at once.
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use marlgap::cluster::takeover::slot::{Acceptor, FENCED_BALLOT};
use marlgap::cluster::takeover::{ClientReply, Record, TakeoverState};
use marlgap::cluster::MemberId;

use crate::sim::World;

#[derive(Default)]
pub struct History {
    /// By id and shard: attempts made, and those that ran.
    attempts: BTreeMap<(Rc<str>, u32), (u32, u32)>,
    outcomes: BTreeMap<Rc<str>, Rc<[u8]>>,
    pub wrong: BTreeSet<&'static str>,
}

impl World {
    /// What the members of its group hold of an id in an epoch, dead ones too; and whether they lead it.
    fn group_of(&self, epoch: u64, id: &str) -> Vec<Option<(Acceptor, Option<u64>)>> {
        let Some(config) = self.configs.iter().find(|c| c.epoch() == epoch) else { return Vec::new() };
        let live = self.nodes.iter().map(|n| (&n.id, &n.works));
        let all: Vec<(&MemberId, &TakeoverState)> =
            live.chain(self.graves.iter().map(|(m, w)| (m, w))).collect();
        let group = config.group(id.as_bytes(), self.plan.group);
        let works = |m: &MemberId| all.iter().rev().find(|(id, _)| *id == m).map(|(_, w)| *w);
        group.iter().map(|m| works(&m.id).and_then(|w| w.inspect(epoch, id))).collect()
    }

    fn led_by(&self, n: usize, id: &str) -> Option<(u64, u64)> {
        let led = |e: u64| self.nodes[n].works.inspect(e, id).and_then(|(_, led)| led).map(|b| (e, b));
        self.configs.iter().rev().find_map(|c| led(c.epoch()))
    }

    /// By true time: has a majority promised a higher ballot, whatever this member knows?
    fn lost(&self, n: usize, id: &str) -> bool {
        let Some((epoch, ballot)) = self.led_by(n, id) else { return false };
        let group = self.group_of(epoch, id);
        let higher =
            |(a, _): &&(Acceptor, Option<u64>)| a.promised.is_some_and(|p| p > ballot && p != FENCED_BALLOT);
        group.iter().flatten().filter(higher).count() > group.len() / 2
    }

    pub fn sent(&mut self, n: usize, record: &Record, shard: u32, ran: bool) {
        let id: Rc<str> = record.id.as_str().into();
        if self.lost(n, &id) {
            self.history.wrong.insert("sent under a lost ballot");
        }
        let (made, runs) = self.history.attempts.entry((id, shard)).or_default();
        (*made, *runs) = (*made + 1, *runs + u32::from(ran));
        let (made, runs) = (*made, *runs);
        if made > 4 {
            self.history.wrong.insert("a fifth attempt");
        }
        if record.class == 0 && runs > 1 {
            self.history.wrong.insert("ran twice");
        }
    }

    /// A member begins to run it.
    pub fn begun(&mut self, n: usize, id: &str) {
        let group = self.group_of(self.led_by(n, id).map_or(0, |l| l.0), id);
        let holds = group.iter().flatten().filter(|(a, _)| a.accepted.is_some()).count();
        if holds <= group.len() / 2 {
            self.history.wrong.insert("begun before its record stood");
        }
    }

    /// A leader says what was decided.
    pub fn told(&mut self, n: usize, _epoch: u64, id: &str) {
        if self.lost(n, id) {
            self.history.wrong.insert("answered under a lost ballot");
        }
    }

    pub fn answered(&mut self, client: usize, reply: &ClientReply) {
        let ClientReply::Outcome(outcome) = reply else { return };
        let (id, text) = (Rc::clone(&self.clients[client].id), Rc::clone(&self.clients[client].text));
        let first = self.history.outcomes.entry(Rc::clone(&id)).or_insert_with(|| Rc::clone(outcome));
        if first != outcome {
            self.history.wrong.insert("two outcomes");
        }
        if outcome.split(|b| *b == b'|').next() != Some(&text) {
            self.history.wrong.insert("the outcome of another text");
        }
        let stands = self.configs.iter().any(|c| {
            let group = self.group_of(c.epoch(), &id);
            let has = |a: &Acceptor| {
                a.accepted.as_ref().is_some_and(|a| a.record.outcome.as_deref() == Some(outcome))
            };
            group.iter().flatten().filter(|(a, _)| has(a)).count() > group.len() / 2
        });
        if !stands {
            self.history.wrong.insert("answered before it stood");
        }
    }

    /// After faults have ended with a majority alive: who asked has an outcome, and not only his end.
    pub fn check_end(&mut self, calm: bool) {
        for client in &self.clients {
            let alive = client.asked;
            if alive && client.replies.is_empty() {
                self.history.wrong.insert("an ask without a reply");
            }
            if calm
                && client
                    .replies
                    .iter()
                    .any(|r| matches!(r, ClientReply::DeadlineExceeded | ClientReply::Rejected { .. }))
            {
                self.history.wrong.insert("out of time though all was well again");
            }
        }
    }
}
