//! How a work comes to be led: older epochs are sealed, a majority promises, and what stands is gone on from.
use std::rc::Rc;

use bytes::Bytes;

use super::leader::{majority, next_ballot, LeaderState, Phase, PreviousGroup};
use super::message::{Fenced, ForwardedSubmit, SubmitStatus};
use super::slot::{self, AcceptorSlot, FENCED_BALLOT};
use super::{Configuration, MemberId, Part, Record, TakeoverState, WhenFull, WorkId};

impl TakeoverState {
    /// A client's ask has come to this member as one of the group.
    pub(super) fn asked(&mut self, from: MemberId, m: ForwardedSubmit) {
        let work: WorkId = (m.epoch, m.id.as_str().into());
        let Some(group) = self.group(&work, m.class) else {
            if m.epoch < self.newest() {
                self.elsewhere(&from, &work, self.newest());
            }
            return;
        };
        let Some(rank) = self.rank(&group, &self.me) else {
            self.counts.strangers += 1;
            return;
        };
        let same = |r: &Record| r.class == m.class && r.text == m.text || !self.guards.same_text;
        if let Some(record) = self.slots.get(&work).and_then(AcceptorSlot::record) {
            // Invariant: an id stands for one text and class.
            if !same(record) {
                self.counts.other_text += 1;
                return self.tell(&from, &work, SubmitStatus::IdConflict, Bytes::new());
            }
            // No majority had room: whoever asks later is not left waiting for what will not come.
            if self.led.get(&work).is_some_and(|l| l.refused) {
                return self.tell(&from, &work, SubmitStatus::Refused, Bytes::new());
            }
            return self.join(&from, &work);
        }
        if let Some(led) = self.led.get(&work) {
            // Of another text it is not known yet which of the two stands: it is asked again.
            return match led.seed.as_ref().is_some_and(same) {
                true => self.join(&from, &work),
                false => self.tell(&from, &work, SubmitStatus::InProgress, Bytes::new()),
            };
        }
        let sealed = self.slots.get(&work).is_some_and(|s| s.acceptor.promised == Some(FENCED_BALLOT));
        if sealed || m.epoch < self.newest() {
            return self.elsewhere(&from, &work, self.newest());
        }
        if m.left_us > 0 {
            self.open(from, work, group, rank, m);
        }
    }

    /// Whoever asks is told the outcome, now or when it is there.
    fn join(&mut self, from: &MemberId, work: &WorkId) {
        match self.slots.get_mut(work) {
            Some(slot) if slot.decided.is_none() => {
                slot.wait(from);
                self.tell(from, work, SubmitStatus::InProgress, Bytes::new());
            }
            Some(_) => self.tell_outcome(from, work),
            None => self.tell(from, work, SubmitStatus::InProgress, Bytes::new()),
        }
    }

    fn open(&mut self, from: MemberId, work: WorkId, group: Rc<[MemberId]>, rank: usize, m: ForwardedSubmit) {
        let (repeats, when_full) =
            self.rule(m.class).map_or((false, WhenFull::Refuse), |r| (r.repeats, r.when_full));
        let granted = if repeats { self.most_tries().min(2) } else { 1 };
        let mut shards = m.parts;
        shards.sort_unstable();
        shards.dedup();
        let part = |shard| Part { shard, granted: granted.into(), ..Part::default() };
        let key = self.new_key();
        let record = Record {
            id: m.id,
            class: m.class,
            ends: m.ends,
            text: m.text,
            parts: shards.into_iter().map(part).collect(),
            outcome: None,
            failed: false,
            opened: key.0.wrapping_mul(slot::MAX_WAITERS as u64).wrapping_add(rank as u64),
        };
        let bytes = record.bytes();
        let room = self.slots.contains_key(&work) || self.slots.len() < self.limits.works;
        if !room || self.bytes + bytes > self.limits.bytes || bytes > self.limits.record {
            let what = match when_full {
                WhenFull::Refuse => SubmitStatus::Refused,
                WhenFull::Unprotected => SubmitStatus::Unprotected,
            };
            return self.tell(&from, &work, what, Bytes::new());
        }
        let mut led = LeaderState::new(key, group, rank, self.now);
        led.deadline = self.now.saturating_add(m.left_us);
        led.keep = led.deadline.saturating_add(self.slack(m.class));
        led.olds = if self.guards.seal { self.olds(&work, m.class) } else { Vec::new() };
        led.seed = Some(record);
        // The slot is made now, so that there is somewhere to wait.
        let (left, slack, now) = (m.left_us, self.slack(m.class), self.now);
        let slot = self.slots.entry(work.clone()).or_insert_with(|| AcceptorSlot::new(now));
        slot.until(now, left, slack);
        slot.waiters.clear();
        slot.wait(&from);
        led.phase = Phase::Seal;
        self.led.insert(work.clone(), led);
        self.scan = Some(self.scan.unwrap_or(now).min(now.saturating_add(self.pause())));
        self.say_again(&work);
        self.advance(&work);
    }

    /// Groups of older epochs that are still open. Invariant: an id is opened in an epoch only once a majority of its
    /// group in each older one has promised never to open it there.
    fn olds(&self, work: &WorkId, class: u32) -> Vec<PreviousGroup> {
        let older = self.configs.iter().map(Configuration::epoch).filter(|e| *e < work.0);
        let group = |epoch| self.group(&(epoch, work.1.clone()), class).map(|g| (epoch, g.to_vec()));
        let old = |(epoch, group): (u64, Vec<MemberId>)| {
            let none = vec![false; group.len()];
            PreviousGroup { epoch, group, sealed: none.clone(), exists: none.clone(), full: none }
        };
        older.filter_map(group).map(old).collect()
    }

    pub(super) fn sealed(&mut self, from: MemberId, m: Fenced) {
        let id: Rc<str> = m.id.as_str().into();
        let works = self.led.iter_mut().filter(|(w, l)| w.1 == id && l.phase == Phase::Seal);
        let mut changed = Vec::new();
        for (work, led) in works {
            for old in led.olds.iter_mut().filter(|o| o.epoch == m.epoch) {
                let Some(at) = old.group.iter().position(|g| *g == from) else { continue };
                let list = match (m.exists, m.full) {
                    (true, _) => &mut old.exists,
                    (false, true) => &mut old.full,
                    (false, false) => &mut old.sealed,
                };
                if let Some(said) = list.get_mut(at) {
                    *said = true;
                }
                changed.push(work.clone());
            }
        }
        for work in changed {
            self.advance(&work);
        }
    }

    /// Goes on with a work as far as what is known allows.
    pub(super) fn advance(&mut self, work: &WorkId) {
        let Some(led) = self.led.get_mut(work) else { return };
        match led.phase {
            Phase::Seal => {
                let yes = |l: &[bool]| l.iter().filter(|x| **x).count();
                if led.olds.iter().all(|o| yes(&o.sealed) >= majority(o.group.len())) {
                    return self.begin(work);
                }
                let found = led.olds.iter().find(|o| {
                    yes(&o.exists) > o.group.len() - majority(o.group.len())
                        || yes(&o.exists) > 0 && yes(&o.sealed) < majority(o.group.len())
                });
                if let Some(epoch) = found.map(|o| o.epoch) {
                    return self.give_up(work, |works, to| works.elsewhere(to, work, epoch));
                }
                // Nothing was written yet, so nobody holds what is refused here.
                if led.olds.iter().any(|o| yes(&o.full) > o.group.len() - majority(o.group.len())) {
                    self.give_up(work, |works, to| works.tell(to, work, SubmitStatus::Refused, Bytes::new()));
                }
            }
            Phase::Prepare => {
                if led.count(|v| v.promised) >= majority(led.votes.len()) {
                    self.go_on(work);
                }
            }
            Phase::Lead => self.advance_lead(work),
        }
    }

    /// Nothing stands in the way of opening it: rank 0 writes under ballot 0, which is its own; others ask first.
    fn begin(&mut self, work: &WorkId) {
        let promised = self.slots.get(work).and_then(|s| s.acceptor.promised);
        let Some(led) = self.led.get_mut(work) else { return };
        if led.rank == 0 && promised.is_none() {
            let record = led.seed.clone().unwrap_or_default();
            led.lead(record, 0, false);
            led.held = self.now;
            self.counts.opened += 1;
            self.dirty.insert(work.clone());
            return;
        }
        match next_ballot(promised.filter(|p| *p != FENCED_BALLOT), led.group.len(), led.rank) {
            Some(ballot) => led.prepare(ballot),
            None => return self.lose(work),
        }
        self.say_again(work);
    }

    /// A majority has promised. Invariant: the highest state that any of it accepted is written first, under the own
    /// ballot, and everything follows from that; only where there is none is a new work opened.
    fn go_on(&mut self, work: &WorkId) {
        let now = self.now;
        let Some(led) = self.led.get_mut(work) else { return };
        led.held = now;
        match (led.best.take(), led.seed.clone()) {
            (Some(best), seed) => {
                // Who waited for the seed, perhaps of another text, asks again.
                if let Some(slot) = self.slots.get_mut(work).filter(|_| seed.is_some()) {
                    slot.waiters.clear();
                }
                led.lead((*best.record).clone(), best.seq, true);
                led.takeover = true;
                self.counts.taken_over += 1;
                if !led.record.over() && led.deadline <= now {
                    led.record.failed = true;
                    self.counts.failed += 1;
                }
            }
            (None, Some(seed)) => {
                led.lead(seed, 0, false);
                self.counts.opened += 1;
            }
            (None, None) => return self.lose(work),
        }
        self.dirty.insert(work.clone());
    }
}
