//! A member as owner or successor: it opens works, collects promises, writes, and concludes.
use std::rc::Rc;

use bytes::Bytes;

use super::leader::{majority, next_ballot, LeaderState, Phase};
use super::message::{Accept, Accepted, Body, Decided, Prepare, Promised, Rejected, Renew};
use super::message::{Fence, SubmitStatus};
use super::slot::{self, FENCED_BALLOT};
use super::{Action, ExecutionKey, MemberId, Micros, TakeoverState, WorkId};

impl TakeoverState {
    pub(super) fn new_key(&mut self) -> ExecutionKey {
        let key = ExecutionKey(self.next_key);
        self.next_key += 1;
        key
    }

    pub(super) fn advance_lead(&mut self, work: &WorkId) {
        let Some(led) = self.led.get(work) else { return };
        let (holds, majority_seq) = (self.led_holds(led, self.now), led.majority_seq());
        let record_first = self.guards.record_first;
        let majority_has_outcome = led.outcome_at.is_some_and(|at| at <= majority_seq)
            || !self.guards.outcome_first && led.outcome_at.is_some();
        let now = self.now;
        let Some(led) = self.led.get_mut(work) else { return };
        led.held = if holds { now } else { led.held };
        let key = led.key;
        if !led.started && !led.record.over() && (majority_seq >= led.first || !record_first) {
            led.started = true;
            self.keys.insert(key, work.clone());
            let start = Action::Start { key, record: Rc::new(led.record.clone()), takeover: led.takeover };
            self.acts.push(start);
        }
        for (step, shard, granted) in led.granted(holds) {
            self.acts.push(Action::Granted { key, step, shard, granted });
        }
        // Invariant: what is told stood with a majority before, and the ballot still holds.
        if majority_has_outcome && holds {
            let (outcome, failed) = (led.record.outcome.clone().unwrap_or_default(), led.record.failed);
            let (group, opened) = (Rc::clone(&led.group), led.record.opened);
            // Told once.
            led.outcome_at = None;
            self.counts.finished += u64::from(!failed);
            for member in group.iter() {
                let decided = Decided {
                    epoch: work.0,
                    id: work.1.to_string(),
                    outcome: outcome.clone(),
                    failed,
                    opened,
                };
                self.send(member, Body::Decided(decided));
            }
        }
    }

    /// Does a majority of the group keep the lease on this work, this member among it?
    pub(super) fn led_holds(&self, led: &LeaderState, now: Micros) -> bool {
        let covered = |(rank, member): (usize, &MemberId)| {
            let vote = led.votes.get(rank);
            vote.is_some_and(|v| {
                !v.rejected
                    && v.seq >= led.first
                    && (rank == led.rank || self.leases.covers(now, member, v.sent))
            })
        };
        let count = led.group.iter().enumerate().filter(|at| covered(*at)).count();
        led.phase == Phase::Lead && (count >= majority(led.group.len()) || !self.guards.lease_hold)
    }

    /// Writes what has changed: one accept to each of the group, with the whole record.
    pub(super) fn write(&mut self, work: &WorkId) {
        let Some(led) = self.led.get_mut(work).filter(|l| l.phase == Phase::Lead) else { return };
        led.write();
        self.say_again(work);
        self.advance(work);
    }

    pub(super) fn accepted(&mut self, from: MemberId, m: Accepted) {
        let work: WorkId = (m.epoch, m.id.as_str().into());
        let now = self.now;
        let Some(led) = self.led.get_mut(&work).filter(|l| l.ballot == m.ballot && l.phase == Phase::Lead)
        else {
            return;
        };
        let rank =
            led.group.iter().position(|g| *g == from || !self.guards.incarnation && g.name == from.name);
        let sent = led.seq;
        let Some(vote) = rank.and_then(|r| led.votes.get_mut(r)).filter(|_| m.seq <= sent && m.sent <= now)
        else {
            self.counts.strangers += 1;
            return;
        };
        vote.seq = vote.seq.max(m.seq);
        vote.sent = vote.sent.max(m.sent);
        vote.rejected = false;
        self.leases.acked(now, &from, m.sent);
        self.advance(&work);
    }

    pub(super) fn promised(&mut self, from: MemberId, m: Promised) {
        let work: WorkId = (m.epoch, m.id.as_str().into());
        let Some(led) = self.led.get_mut(&work).filter(|l| l.ballot == m.ballot && l.phase == Phase::Prepare)
        else {
            return;
        };
        let rank =
            led.group.iter().position(|g| *g == from || !self.guards.incarnation && g.name == from.name);
        let Some(vote) = rank.and_then(|r| led.votes.get_mut(r)) else {
            self.counts.strangers += 1;
            return;
        };
        vote.promised = true;
        if let Some(record) = m.record.filter(|r| r.fault().is_none()) {
            let higher = led.best.as_ref().is_none_or(|b| (b.ballot, b.seq) < (m.accepted, m.seq));
            if higher {
                let record = Rc::new(record);
                led.best = Some(slot::Accepted { ballot: m.accepted, seq: m.seq, record });
            }
        }
        self.advance(&work);
    }

    pub(super) fn rejected(&mut self, from: MemberId, m: Rejected) {
        let work: WorkId = (m.epoch, m.id.as_str().into());
        let (now, pause) = (self.now, self.pause());
        let Some(led) = self.led.get_mut(&work).filter(|l| l.ballot == m.ballot) else { return };
        let rank = led.group.iter().position(|g| *g == from);
        let Some(vote) = rank.and_then(|r| led.votes.get_mut(r)) else { return };
        (vote.full, vote.rejected) = (m.full, vote.rejected || !m.full && m.wait_us == 0);
        if m.full {
            if led.hopeless(|v| v.full) && !led.started && !led.refused {
                self.refuse(&work);
            }
            return;
        }
        let next = match m.promised {
            NEVER => None,
            promised => next_ballot(Some(promised.max(led.ballot)), led.group.len(), led.rank),
        };
        match led.phase {
            Phase::Prepare if m.wait_us > 0 => {
                led.resend = now.saturating_add(m.wait_us.clamp(pause, 20 * pause))
            }
            Phase::Prepare if m.promised == FENCED_BALLOT && led.hopeless(|v| v.rejected) => {
                let newest = self.newest();
                self.give_up(&work, |works, to| works.elsewhere(to, &work, newest));
            }
            Phase::Prepare if m.promised == FENCED_BALLOT => {}
            Phase::Prepare => match next {
                // Two that ask at once wait unlike times.
                Some(ballot) => {
                    led.prepare(ballot);
                    led.resend = now.saturating_add(pause.saturating_mul(1 + led.rank as u64));
                }
                None => self.lose(&work),
            },
            Phase::Lead if led.hopeless(|v| v.rejected) => match next {
                // Nothing was begun, so it may still ask what a majority holds.
                Some(ballot) if !led.started && led.seed.is_some() => {
                    led.prepare(ballot);
                    self.say_again(&work);
                }
                _ => self.lose(&work),
            },
            _ => {}
        }
    }

    /// No majority has room. Some may hold the record all the same: they must not run it later, so it fails.
    fn refuse(&mut self, work: &WorkId) {
        let waiters = self.slots.get_mut(work).map(|s| std::mem::take(&mut s.waiters)).unwrap_or_default();
        for waiter in waiters {
            self.tell(&waiter, work, SubmitStatus::Refused, Bytes::new());
        }
        let Some(led) = self.led.get_mut(work) else { return };
        led.refused = true;
        if led.phase == Phase::Lead {
            led.record.failed = true;
            self.dirty.insert(work.clone());
        } else {
            self.lose(work);
        }
    }

    /// Ends a work without an outcome of its executor.
    pub(super) fn fail(&mut self, work: &WorkId) {
        let Some(led) = self.led.get_mut(work) else { return };
        led.record.failed = true;
        led.record.parts.iter_mut().for_each(|p| p.value = None);
        if led.started {
            self.keys.remove(&led.key);
            self.acts.push(Action::Stop { key: led.key });
        }
        self.counts.failed += 1;
        self.dirty.insert(work.clone());
    }

    pub(super) fn give_up(&mut self, work: &WorkId, tell: impl Fn(&mut TakeoverState, &MemberId)) {
        let waiters = self.slots.get_mut(work).map(|s| std::mem::take(&mut s.waiters)).unwrap_or_default();
        self.lose(work);
        for waiter in waiters {
            tell(self, &waiter);
        }
    }

    /// The ballot is lost, or there is nothing to lead any more.
    pub(super) fn lose(&mut self, work: &WorkId) {
        if let Some(led) = self.drop_led(work) {
            self.counts.lost_ballots += u64::from(led.phase == Phase::Lead);
            if led.started {
                self.acts.push(Action::Stop { key: led.key });
            }
        }
    }

    pub(super) fn drop_led(&mut self, work: &WorkId) -> Option<LeaderState> {
        let led = self.led.remove(work)?;
        self.keys.remove(&led.key);
        self.dirty.remove(work);
        Some(led)
    }

    /// Says what the phase of a work owes to whoever has not answered it.
    pub(super) fn say_again(&mut self, work: &WorkId) {
        let (now, pause) = (self.now, self.pause());
        let Some(led) = self.led.get_mut(work) else { return };
        led.resend = now.saturating_add(pause);
        let (epoch, id, left_us) = (work.0, work.1.to_string(), led.deadline.saturating_sub(now));
        let class = led.seed.as_ref().unwrap_or(&led.record).class;
        let mut owed: Vec<(MemberId, Body)> = Vec::new();
        match led.phase {
            Phase::Seal => {
                for old in &led.olds {
                    let silent = old.group.iter().zip(old.sealed.iter().zip(&old.exists));
                    for (member, _) in silent.filter(|(_, (s, e))| !**s && !**e) {
                        let seal = Fence { epoch: old.epoch, id: id.clone(), class, left_us };
                        owed.push((member.clone(), Body::Seal(seal)));
                    }
                }
            }
            Phase::Prepare => {
                for (member, _) in led.group.iter().zip(&led.votes).filter(|(_, v)| !v.promised) {
                    let prepare = Prepare { epoch, id: id.clone(), ballot: led.ballot, class, left_us };
                    owed.push((member.clone(), Body::Prepare(prepare)));
                }
            }
            Phase::Lead => {
                for (rank, (member, vote)) in led.group.iter().zip(&led.votes).enumerate() {
                    let covered = rank == led.rank || self.leases.covers(now, member, vote.sent);
                    if led.seq > 0 && (vote.seq < led.seq || !covered) {
                        let (ballot, seq, record) = (led.ballot, led.seq, Some(led.record.clone()));
                        let accept =
                            Accept { epoch, id: id.clone(), ballot, seq, sent: now, left_us, record };
                        owed.push((member.clone(), Body::Accept(accept)));
                    }
                }
            }
        }
        for (to, body) in owed {
            self.send(&to, body);
        }
    }

    pub(super) fn tick_led(&mut self) {
        let now = self.now;
        let due = |l: &LeaderState| l.resend <= now || l.write_by.is_some_and(|at| at <= now);
        let due: Vec<WorkId> = self.led.iter().filter(|(_, l)| due(l)).map(|(w, _)| w.clone()).collect();
        for work in due {
            let Some(led) = self.led.get(&work) else { continue };
            // Another ballot is about and no majority keeps this one's lease: it will not come back by itself.
            let lost = led.phase == Phase::Lead && led.count(|v| v.rejected) > 0 && !self.led_holds(led, now);
            // Nothing is acknowledged any more: who is heard and does not hear must fall silent, or its guards would
            // keep its lease and nobody take over.
            let deaf = led.phase == Phase::Lead
                && now > led.held.saturating_add(2 * self.leases.guarded())
                && !self.led_holds(led, now);
            if lost || deaf {
                self.lose(&work);
                continue;
            }
            let Some(led) = self.led.get_mut(&work) else { continue };
            let opening = led.phase != Phase::Lead && !led.takeover;
            if led.keep <= now || opening && led.deadline <= now {
                self.lose(&work);
                continue;
            }
            if led.phase == Phase::Lead && led.deadline <= now && !led.record.over() {
                self.fail(&work);
            } else if led.write_by.is_some_and(|at| at <= now) {
                self.dirty.insert(work.clone());
            } else {
                self.say_again(&work);
            }
            self.advance(&work);
        }
        self.renew_leases();
    }

    /// One renewal to each peer for all works that it guards for this member.
    fn renew_leases(&mut self) {
        let now = self.now;
        let leading = self.led.values().filter(|l| l.phase == Phase::Lead);
        if self.renew.is_some_and(|at| at > now) {
            return;
        }
        let mut peers: Vec<MemberId> = leading.flat_map(|l| l.group.iter().cloned()).collect();
        peers.sort();
        peers.dedup();
        peers.retain(|p| *p != self.me);
        for peer in &peers {
            self.send(peer, Body::Renew(Renew { sent: now }));
        }
        self.renew = (!peers.is_empty()).then(|| now.saturating_add((self.limits.lease / 3).max(1)));
    }
}
