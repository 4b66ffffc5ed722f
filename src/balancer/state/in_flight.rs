//! The attempts that replicas owe an answer for, by the time they were sent: which of them are late is found
//! without going through the others, nor through the replicas. What streams is not in: it is answered.
use std::collections::{BTreeMap, BTreeSet};

use super::timer_queue::At;
use super::{Flight, Replica};
use crate::balancer::interface::*;

type Owed = (At, ReplicaId, (PartId, u8));

#[derive(Default)]
pub struct Flights {
    all: BTreeSet<Owed>,
    /// Of these, what was sent before that time is noticed as silent; and is held against its zone.
    silent: Option<At>,
    unheard: Option<At>,
    /// What was sent before that time is counted by replica.
    late: Option<At>,
    owed: BTreeMap<ReplicaId, usize>,
    /// Replicas that changed their zone: what they owe may be held against the new one.
    moved: BTreeSet<ReplicaId>,
    /// Entries gone through so far.
    pub through: usize,
}

/// All that was sent from the one time on and before the other.
fn between(all: &BTreeSet<Owed>, from: Option<At>, to: At) -> impl Iterator<Item = &Owed> {
    let first = |at: At| (at, ReplicaId(0), (PartId(0), 0));
    let from = from.unwrap_or(At(f64::NEG_INFINITY)).min(to);
    all.range(first(from)..first(to))
}

impl Flights {
    /// Sent; what was out of the same name, if anything, is so no more.
    pub fn add(&mut self, sent: f64, replica: ReplicaId, attempt: (PartId, u8), old: Option<Flight>) {
        if let Some(old) = old {
            self.remove(old.sent, replica, attempt);
        }
        self.all.insert((At(sent), replica, attempt));
        if self.late.is_some_and(|late| At(sent) < late) {
            *self.owed.entry(replica).or_insert(0) += 1;
        }
    }

    /// Answered, or it streams.
    pub fn remove(&mut self, sent: f64, replica: ReplicaId, attempt: (PartId, u8)) {
        let was = self.all.remove(&(At(sent), replica, attempt));
        if was && self.late.is_some_and(|late| At(sent) < late) {
            self.less(replica);
        }
    }

    fn less(&mut self, replica: ReplicaId) {
        if let Some(n) = self.owed.get_mut(&replica) {
            *n -= 1;
            if *n == 0 {
                self.owed.remove(&replica);
            }
        }
    }

    pub fn moved(&mut self, replica: ReplicaId) {
        self.moved.insert(replica);
    }

    /// Those sent before a time that were not so at any earlier call, by replica, part and attempt.
    pub fn silent(&mut self, before: f64) -> Vec<(ReplicaId, (PartId, u8))> {
        let mut found: Vec<_> = between(&self.all, self.silent, At(before)).map(|o| (o.1, o.2)).collect();
        found.sort_unstable();
        self.through += found.len();
        self.silent = self.silent.max(Some(At(before)));
        found
    }

    /// Those sent before a time that were not so at any earlier call, and those of replicas that changed
    /// their zone since they were sent: their replica, and when they were sent.
    pub fn unheard(&mut self, before: f64) -> Vec<(ReplicaId, f64)> {
        let mut found: Vec<_> = between(&self.all, self.unheard, At(before)).map(|o| (o.1, o.0 .0)).collect();
        self.through += found.len();
        self.unheard = self.unheard.max(Some(At(before)));
        if !self.moved.is_empty() {
            // Guards against one that was late once, and is late again only after its replica moved.
            let (moved, seen) = (std::mem::take(&mut self.moved), self.unheard.unwrap_or(At(before)));
            for owed in between(&self.all, None, seen) {
                self.through += 1;
                if !moved.contains(&owed.1) {
                    continue;
                }
                match owed.0 < At(before) {
                    true => found.push((owed.1, owed.0 .0)),
                    false => drop(self.moved.insert(owed.1)),
                }
            }
        }
        found
    }

    /// How many replicas owe an answer for what was sent before a time.
    pub fn owing(&mut self, before: f64) -> usize {
        let (old, new) = (self.late.unwrap_or(At(f64::NEG_INFINITY)), At(before));
        for owed in between(&self.all, Some(old), new) {
            *self.owed.entry(owed.1).or_insert(0) += 1;
            self.through += 1;
        }
        let back: Vec<_> = between(&self.all, Some(new), old).map(|o| o.1).collect();
        self.through += back.len();
        back.into_iter().for_each(|replica| self.less(replica));
        self.late = Some(new);
        self.owed.len()
    }

    /// What differs from a count of all that the replicas hold.
    pub fn check(&self, replicas: &BTreeMap<ReplicaId, Replica>) -> Result<(), &'static str> {
        let held = replicas.iter().flat_map(|(id, r)| r.out.iter().map(move |(key, f)| (*id, *key, *f)));
        let all: BTreeSet<Owed> =
            held.clone().filter(|h| !h.2.streams).map(|h| (At(h.2.sent), h.0, h.1)).collect();
        let noticed = |sent: f64| self.silent.is_some_and(|at| At(sent) < at);
        let mut owed = BTreeMap::new();
        for o in all.iter().filter(|o| self.late.is_some_and(|late| o.0 < late)) {
            *owed.entry(o.1).or_insert(0) += 1;
        }
        let cases = [
            (all == self.all, "flights"),
            (held.filter(|h| !h.2.streams).all(|h| h.2.silent == noticed(h.2.sent)), "silent"),
            (owed == self.owed, "owed"),
        ];
        cases.into_iter().find(|(same, _)| !same).map_or(Ok(()), |(_, what)| Err(what))
    }
}
