//! A member as guard: it accepts, promises and seals for others, keeps leases, takes over from the silent, and forgets
//! what is long over.
use std::rc::Rc;

use super::leader::{next_ballot, LeaderState};
use super::message::{
    Accept, Accepted, Body, Decided, Fence, Fenced, Prepare, Promised, Rejected, SubmitStatus,
};
use super::slot::{AcceptorSlot, FENCED_BALLOT};
use super::{TakeoverState, WorkId};
use crate::cluster::{MemberId, Micros};

impl TakeoverState {
    /// The slot of a work, new if there is room for it; None if there is not.
    fn slot(&mut self, work: &WorkId, bytes: usize) -> Option<&mut AcceptorSlot> {
        let old = self.slots.get(work).map(|s| s.bytes);
        let full = old.is_none() && self.slots.len() >= self.limits.works;
        let grown = self.bytes - old.unwrap_or(0) + bytes.max(old.unwrap_or(0));
        if full || grown > self.limits.bytes {
            return None;
        }
        let at = self.now.saturating_add(self.pause());
        self.scan = Some(self.scan.map_or(at, |s| s.min(at)));
        let now = self.now;
        Some(self.slots.entry(work.clone()).or_insert_with(|| AcceptorSlot::new(now)))
    }

    /// Does a member of this group own this ballot, and is this member of it too?
    fn of_group(
        &mut self,
        work: &WorkId,
        class: u32,
        from: &MemberId,
        ballot: u64,
    ) -> Option<Rc<[MemberId]>> {
        let group = self.group(work, class)?;
        let rank = self.rank(&group, from).filter(|_| self.rank(&group, &self.me).is_some());
        if rank.is_some_and(|r| ballot % group.len() as u64 == r as u64 && ballot != FENCED_BALLOT) {
            return Some(group);
        }
        self.counts.strangers += 1;
        None
    }

    pub(super) fn accept(&mut self, from: MemberId, m: Accept) {
        let Some(record) = m.record.filter(|r| r.fault().is_none() && r.id == m.id).map(Rc::new) else {
            self.counts.strangers += 1;
            return;
        };
        let work: WorkId = (m.epoch, m.id.as_str().into());
        if self.of_group(&work, record.class, &from, m.ballot).is_none() {
            return;
        }
        let mut no =
            Rejected { epoch: m.epoch, id: m.id, ballot: m.ballot, promised: 0, wait_us: 0, full: false };
        let (guarded, now, slack, bytes) =
            (self.guards.promise, self.now, self.slack(record.class), record.bytes());
        let own = from == self.me;
        let Some(slot) = self.slot(&work, bytes) else {
            no.full = true;
            return self.send(&from, Body::Rejected(no));
        };
        let opened = slot.record().map(|r| r.opened);
        match slot.acceptor.accept(guarded, m.ballot, m.seq, &record) {
            Ok(seq) => {
                // Who waited for another opening, perhaps of another text, asks again.
                if opened.is_some_and(|o| o != record.opened) || opened.is_none() && !own {
                    slot.waiters.clear();
                }
                slot.touched = now;
                slot.until(now, m.left_us, slack);
                let held = slot.record().map_or(0, |r| r.bytes());
                let before = std::mem::replace(&mut slot.bytes, held);
                self.bytes = self.bytes - before + held;
                self.leases.heard(now, &from);
                let yes = Accepted { epoch: m.epoch, id: no.id, ballot: m.ballot, seq, sent: m.sent };
                self.give_way(&work, m.ballot);
                self.send(&from, Body::Accepted(yes));
            }
            Err(promised) => {
                no.promised = promised;
                self.send(&from, Body::Rejected(no));
            }
        }
    }

    pub(super) fn prepare(&mut self, from: MemberId, m: Prepare) {
        let work: WorkId = (m.epoch, m.id.as_str().into());
        let Some(group) = self.of_group(&work, m.class, &from, m.ballot) else { return };
        let mut no =
            Rejected { epoch: m.epoch, id: m.id, ballot: m.ballot, promised: 0, wait_us: 0, full: false };
        if let Some(left) = self.lease_of(&work, &group, m.ballot) {
            self.counts.leases_kept += 1;
            no.wait_us = left;
            return self.send(&from, Body::Rejected(no));
        }
        let (guarded, now, slack) = (self.guards.promise, self.now, self.slack(m.class));
        let Some(slot) = self.slot(&work, 0) else {
            no.full = true;
            return self.send(&from, Body::Rejected(no));
        };
        let again = slot.acceptor.promised == Some(m.ballot);
        match slot.acceptor.prepare(guarded, m.ballot) {
            Ok(()) => {
                // A repeat is no news: who hears no promise must not keep others from their turn.
                slot.touched = if again { slot.touched } else { now };
                slot.until(now, m.left_us, slack);
                let (accepted, seq, record) = match &slot.acceptor.accepted {
                    Some(a) => (a.ballot, a.seq, Some((*a.record).clone())),
                    None => (0, 0, None),
                };
                self.give_way(&work, m.ballot);
                let yes = Promised { epoch: m.epoch, id: no.id, ballot: m.ballot, accepted, seq, record };
                self.send(&from, Body::Promised(yes));
            }
            Err(promised) => {
                no.promised = promised;
                self.send(&from, Body::Rejected(no));
            }
        }
    }

    /// How much longer a lease stands against this ballot here. Invariant: while an owner counts this guard among its
    /// majority, the guard promises no other ballot; so whoever sends under its lease has not lost its ballot.
    fn lease_of(&self, work: &WorkId, group: &[MemberId], ballot: u64) -> Option<Micros> {
        let promised = self.slots.get(work)?.acceptor.promised.filter(|p| *p < ballot)?;
        let owner = group.get((promised % group.len() as u64) as usize)?;
        if !self.guards.lease_wait || ballot % group.len() as u64 == promised % group.len() as u64 {
            None
        } else if *owner == self.me {
            self.led.get(work).filter(|l| self.led_holds(l, self.now)).map(|_| self.pause())
        } else {
            self.leases.lives(self.now, owner)
        }
    }

    /// A higher ballot was promised or written here: what this member leads under a lower one is over at once.
    fn give_way(&mut self, work: &WorkId, ballot: u64) {
        if self.led.get(work).is_some_and(|l| l.ballot < ballot) {
            self.lose(work);
        }
    }

    pub(super) fn decided(&mut self, from: MemberId, m: Decided) {
        let work: WorkId = (m.epoch, m.id.as_str().into());
        // An opening that was never chosen has not this outcome: who holds one finds out by taking it over.
        let record = self.slots.get(&work).and_then(AcceptorSlot::record).filter(|r| r.opened == m.opened);
        let class = record.map(|r| r.class);
        let Some(group) = class.and_then(|c| self.group(&work, c)) else { return };
        if self.rank(&group, &from).is_none() {
            self.counts.strangers += 1;
            return;
        }
        let Some(slot) = self.slots.get_mut(&work).filter(|s| s.decided.is_none()) else { return };
        slot.decided = Some((!m.failed).then_some(m.outcome.clone()));
        if let Some(a) = slot.acceptor.accepted.as_mut().filter(|a| !a.record.over()) {
            // What is decided is in whatever any majority shows from now on, so here too.
            let mut record = (*a.record).clone();
            record.failed = m.failed;
            record.outcome = (!m.failed).then_some(m.outcome);
            record.parts.iter_mut().for_each(|p| p.value = None);
            let held = record.bytes();
            self.bytes = self.bytes - slot.bytes + held;
            slot.bytes = held;
            a.record = Rc::new(record);
        }
        let waiters = std::mem::take(&mut slot.waiters);
        if from == self.me {
            self.drop_led(&work);
        } else {
            self.lose(&work);
        }
        for waiter in waiters {
            self.tell_outcome(&waiter, &work);
        }
    }

    /// Says what was decided of a work, if it is known here.
    pub(super) fn tell_outcome(&mut self, to: &MemberId, work: &WorkId) {
        match self.slots.get(work).and_then(|s| s.decided.clone()) {
            Some(Some(outcome)) => self.tell(to, work, SubmitStatus::Outcome, outcome),
            Some(None) => self.tell(to, work, SubmitStatus::Failed, bytes::Bytes::new()),
            None => {}
        }
    }

    pub(super) fn seal(&mut self, from: MemberId, m: Fence) {
        let work: WorkId = (m.epoch, m.id.as_str().into());
        let Some(group) = self.group(&work, m.class) else { return };
        let known = self.configs.iter().any(|c| c.counts(&from));
        if !known || self.rank(&group, &self.me).is_none() {
            self.counts.strangers += 1;
            return;
        }
        let (now, slack) = (self.now, self.slack(m.class));
        let Some(slot) = self.slot(&work, 0) else {
            let no = Fenced { epoch: m.epoch, id: m.id, exists: false, full: true };
            return self.send(&from, Body::Sealed(no));
        };
        slot.until(now, m.left_us, slack);
        let exists = !slot.acceptor.seal();
        if !exists {
            self.counts.sealed += 1;
            self.give_way(&work, FENCED_BALLOT);
        }
        self.send(&from, Body::Sealed(Fenced { epoch: m.epoch, id: m.id, exists, full: false }));
    }

    /// Looks over all works guarded here.
    pub(super) fn scan_slots(&mut self) {
        let now = self.now;
        let over: Vec<WorkId> =
            self.slots.iter().filter(|(_, s)| s.keep <= now).map(|(w, _)| w.clone()).collect();
        for work in over {
            self.forget(&work);
        }
        let mut silent: Vec<(Micros, f64, WorkId)> = Vec::new();
        let mut open = false;
        for (work, slot) in &self.slots {
            let Some(record) = slot.record().filter(|_| slot.decided.is_none()) else { continue };
            if slot.acceptor.promised == Some(FENCED_BALLOT) {
                continue;
            }
            open = true;
            if !self.led.contains_key(work) && self.silent(work, slot, record.class) {
                let worth = self.rule(record.class).map_or(0.0, |r| r.worth);
                silent.push((slot.deadline, worth, work.clone()));
            }
        }
        // By the time left, in steps of 100 ms, and by worth within a step. What is out of time comes first: it only
        // gets its end, and does not count against the limit.
        let key = |s: &(Micros, f64, WorkId)| s.0.saturating_sub(now) / 100_000;
        silent.sort_by(|a, b| key(a).cmp(&key(b)).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)));
        let mut room =
            self.limits.taken_over.saturating_sub(self.led.values().filter(|l| l.takeover).count());
        for (deadline, _, work) in silent {
            if deadline > now {
                if room == 0 {
                    continue;
                }
                room -= 1;
            }
            self.take_over(&work);
        }
        let next = match open {
            true => Some(now.saturating_add(self.pause())),
            false => self.slots.values().map(|s| s.keep).min(),
        };
        self.scan = next;
    }

    /// Has the owner of the highest ballot been silent for a lease, and for this member's turn on top? Its turn comes
    /// after those of lower ranks of whom nobody says that they are dead.
    fn silent(&self, work: &WorkId, slot: &AcceptorSlot, class: u32) -> bool {
        let Some(group) = self.group(work, class) else { return false };
        let Some(mine) = self.rank(&group, &self.me) else { return false };
        let owner = (slot.acceptor.promised.unwrap_or(0) % group.len() as u64) as usize;
        let heard = group.get(owner).and_then(|o| self.leases.last_heard(o)).unwrap_or(0).max(slot.touched);
        let before =
            group.iter().enumerate().filter(|(r, m)| *r < mine && *r != owner && !self.dead.contains(m));
        let turn = before.count() as u64 * self.pause();
        self.now > heard.saturating_add(self.leases.guarded()).saturating_add(turn)
    }

    fn take_over(&mut self, work: &WorkId) {
        let Some(slot) = self.slots.get(work) else { return };
        let Some(record) = slot.record().map(Rc::clone) else { return };
        let (deadline, keep, promised) = (slot.deadline, slot.keep, slot.acceptor.promised);
        let Some(group) = self.group(work, record.class) else { return };
        let Some(rank) = self.rank(&group, &self.me) else { return };
        let Some(ballot) = next_ballot(promised, group.len(), rank) else { return };
        let mut led = LeaderState::new(self.new_key(), group, rank, self.now);
        led.record = (*record).clone();
        (led.takeover, led.deadline, led.keep) = (true, deadline, keep);
        led.prepare(ballot);
        self.led.insert(work.clone(), led);
        self.say_again(work);
    }

    pub(super) fn forget(&mut self, work: &WorkId) {
        if let Some(slot) = self.slots.remove(work) {
            self.bytes -= slot.bytes;
        }
        self.lose(work);
    }
}
