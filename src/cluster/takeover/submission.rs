//! A member as entry: it leads the asks of its own clients to the group and hands them the reply.
use std::hash::Hasher;
use std::rc::Rc;

use bytes::Bytes;

use super::message::{Body, ForwardedSubmit, SubmitReply, SubmitStatus};
use super::record::{MAX_ID_BYTES, MAX_PARTS};
use super::slot::AcceptorSlot;
use super::{
    Action, ClientReply, ClientToken, MemberId, Micros, SubmitRequest, TakeoverState, WhenFull, WorkId,
};

/// Clients of one process that wait for one id.
const MAX_CLIENTS_PER_ID: usize = 1024;

/// Seconds after which a client that was refused may come again: a little over what most queries take.
const RETRY_AFTER: f64 = 0.5;

fn print_of(class: u32, text: &[u8]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write_u32(class);
    hasher.write(text);
    hasher.finish()
}

/// An ask that waits for its reply.
#[derive(Debug)]
pub struct PendingSubmission {
    ask: SubmitRequest,
    text: Bytes,
    tokens: Vec<ClientToken>,
    pub deadline: Micros,
    epoch: u64,
    /// Whom it asks.
    rank: usize,
    /// When that one was first asked, or last heard.
    since: Micros,
    /// It has said that the work is in hand.
    heard: bool,
    pub next: Micros,
}

impl TakeoverState {
    /// A client asks. Its reply comes as [`Act::Answer`], by its end at the latest.
    pub fn submit(&mut self, now: Micros, unix_ms: u64, token: ClientToken, ask: SubmitRequest) {
        self.now = self.now.max(now);
        let Some(when_full) = self.rule(ask.class.into()).map(|r| r.when_full) else {
            self.counts.unprotected += 1;
            return self.answer(token, ClientReply::Unprotected);
        };
        let left = ask.ends.saturating_sub(unix_ms).saturating_mul(1000);
        if left == 0 {
            return self.answer(token, ClientReply::DeadlineExceeded);
        }
        if let Some(entry) = self.asks.get_mut(&ask.id) {
            if self.guards.same_text && (entry.ask.class != ask.class || entry.ask.text != ask.text) {
                self.counts.other_text += 1;
                return self.answer(token, ClientReply::IdConflict);
            }
            if entry.tokens.len() < MAX_CLIENTS_PER_ID {
                entry.tokens.push(token);
                self.tokens.insert(token, ask.id);
                return;
            }
            return self.full(token, when_full);
        }
        let fits = (1..=MAX_ID_BYTES).contains(&ask.id.len())
            && ask.text.len() <= self.limits.record
            && ask.parts.len() <= MAX_PARTS;
        if !fits || self.asks.len() >= self.limits.works || self.configs.is_empty() {
            return self.full(token, when_full);
        }
        let id = Rc::clone(&ask.id);
        let entry = PendingSubmission {
            text: Bytes::copy_from_slice(&ask.text),
            ask,
            tokens: vec![token],
            deadline: self.now.saturating_add(left),
            epoch: self.newest(),
            rank: 0,
            since: self.now,
            heard: false,
            next: self.now,
        };
        self.tokens.insert(token, Rc::clone(&id));
        self.asks.insert(Rc::clone(&id), entry);
        self.lead(&id);
    }

    /// That client has gone; its work goes on.
    pub fn leave(&mut self, token: ClientToken) {
        let Some(id) = self.tokens.remove(&token) else { return };
        if let Some(entry) = self.asks.get_mut(&id) {
            entry.tokens.retain(|t| *t != token);
            if entry.tokens.is_empty() {
                self.asks.remove(&id);
            }
        }
    }

    /// It cannot be held: what its class says is done.
    fn full(&mut self, token: ClientToken, when_full: WhenFull) {
        match when_full {
            WhenFull::Refuse => {
                self.counts.refused += 1;
                self.answer(token, ClientReply::Refused { retry_after: RETRY_AFTER });
            }
            WhenFull::Unprotected => {
                self.counts.unprotected += 1;
                self.answer(token, ClientReply::Unprotected);
            }
        }
    }

    fn answer(&mut self, token: ClientToken, reply: ClientReply) {
        self.acts.push(Action::Answer { token, reply });
    }

    /// Says the ask to whom it is for now; one of whom nobody says that it is dead, if there is such.
    fn lead(&mut self, id: &Rc<str>) {
        let (now, pause) = (self.now, self.pause());
        let Some((epoch, class)) = self.asks.get(id).map(|e| (e.epoch, u32::from(e.ask.class))) else {
            return;
        };
        let group = self.group(&(epoch, Rc::clone(id)), class);
        let Some(entry) = self.asks.get_mut(id) else { return };
        entry.next = now.saturating_add(if entry.heard { 3 * pause } else { pause });
        let Some(group) = group.filter(|g| !g.is_empty()) else { return };
        let size = group.len();
        let sound = |rank: &usize| group.get(*rank % size).is_some_and(|m| !self.dead.contains(m));
        let rank = (entry.rank..entry.rank + size).find(sound).unwrap_or(entry.rank) % size;
        if rank != entry.rank {
            (entry.rank, entry.since, entry.heard) = (rank, now, false);
        }
        let Some(to) = group.get(rank).cloned() else { return };
        let ask = ForwardedSubmit {
            epoch,
            id: id.to_string(),
            class,
            ends: entry.ask.ends,
            left_us: entry.deadline.saturating_sub(now),
            text: entry.text.clone(),
            parts: entry.ask.parts.to_vec(),
        };
        self.send(&to, Body::Ask(ask));
    }

    /// All asks go to the group of a new configuration: what is in hand in an older one is found from there.
    pub(super) fn ask_in(&mut self, epoch: u64) {
        for entry in self.asks.values_mut().filter(|e| !e.heard) {
            (entry.epoch, entry.rank, entry.since, entry.next) = (epoch, 0, self.now, self.now);
        }
    }

    /// Asks that went to a member that is said to be dead go to another at once.
    pub(super) fn turn_from(&mut self, _member: &MemberId) {
        let soon = self.now.saturating_add(1);
        for entry in self.asks.values_mut() {
            entry.next = entry.next.min(soon);
        }
    }

    pub(super) fn tick_asks(&mut self) {
        let now = self.now;
        let due: Vec<Rc<str>> = self
            .asks
            .iter()
            .filter(|(_, e)| e.next.min(e.deadline) <= now)
            .map(|(id, _)| Rc::clone(id))
            .collect();
        for id in due {
            let Some(entry) = self.asks.get_mut(&id) else { continue };
            if entry.deadline <= now {
                self.reply(&id, ClientReply::DeadlineExceeded);
                continue;
            }
            // Silent for most of a lease: the next rank is asked.
            if now.saturating_sub(entry.since) >= self.limits.lease {
                (entry.rank, entry.since, entry.heard) = (entry.rank + 1, now, false);
            }
            self.lead(&id);
        }
    }

    pub(super) fn told(&mut self, from: MemberId, m: SubmitReply) {
        let id: Rc<str> = m.id.as_str().into();
        let Some((epoch, class)) = self.asks.get(&id).map(|e| (e.epoch, u32::from(e.ask.class))) else {
            return;
        };
        let group = self.group(&(m.epoch, Rc::clone(&id)), class);
        let rank = group.as_ref().and_then(|g| self.rank(g, &from));
        let (Some(group), Some(rank), Ok(what)) = (group, rank, SubmitStatus::try_from(m.what)) else {
            self.counts.strangers += 1;
            return;
        };
        let (now, newest, known) = (self.now, self.newest(), self.config(m.at_epoch).is_some());
        let Some(entry) = self.asks.get_mut(&id) else { return };
        let ours = print_of(class, &entry.text) == m.of || !self.guards.same_text;
        match what {
            SubmitStatus::Outcome | SubmitStatus::Failed if !ours => {}
            SubmitStatus::Outcome => self.reply(&id, ClientReply::Outcome(m.outcome.to_vec().into())),
            SubmitStatus::Failed => self.reply(&id, ClientReply::DeadlineExceeded),
            SubmitStatus::IdConflict => self.reply(&id, ClientReply::IdConflict),
            SubmitStatus::Refused => {
                let retry_after =
                    if m.retry_after.is_finite() { m.retry_after.clamp(0.0, 60.0) } else { RETRY_AFTER };
                self.reply(&id, ClientReply::Refused { retry_after })
            }
            SubmitStatus::Unprotected => self.reply(&id, ClientReply::Unprotected),
            SubmitStatus::InProgress if m.epoch == epoch && rank == entry.rank % group.len() => {
                (entry.since, entry.heard) = (now, true);
            }
            SubmitStatus::Redirected if m.epoch == epoch && rank == entry.rank % group.len() && known => {
                (entry.since, entry.heard) = (now, false);
                if m.at_epoch < epoch {
                    (entry.epoch, entry.rank) = (m.at_epoch, 0);
                } else if rank + 1 < group.len() {
                    // It was sent here: another of this group has it.
                    entry.rank = rank + 1;
                } else {
                    (entry.epoch, entry.rank) = (newest, 0);
                }
                self.lead(&id);
            }
            SubmitStatus::InProgress | SubmitStatus::Redirected => {}
        }
    }

    /// Everybody who waits for it here gets the reply.
    fn reply(&mut self, id: &Rc<str>, reply: ClientReply) {
        let Some(entry) = self.asks.remove(id) else { return };
        for token in entry.tokens {
            self.tokens.remove(&token);
            match reply {
                ClientReply::Refused { .. } => self.counts.refused += 1,
                ClientReply::Unprotected => self.counts.unprotected += 1,
                ClientReply::IdConflict => self.counts.other_text += 1,
                ClientReply::Outcome(_) | ClientReply::DeadlineExceeded => {}
            }
            self.answer(token, reply.clone());
        }
    }

    pub(super) fn tell(&mut self, to: &MemberId, work: &WorkId, what: SubmitStatus, outcome: Bytes) {
        let (epoch, id) = (work.0, work.1.to_string());
        let record = self.slots.get(work).and_then(AcceptorSlot::record);
        let of = record.map_or(0, |r| print_of(r.class, &r.text));
        let told = SubmitReply {
            epoch,
            id,
            what: what.into(),
            outcome,
            retry_after: RETRY_AFTER,
            at_epoch: work.0,
            of,
        };
        self.send(to, Body::Told(told));
    }

    pub(super) fn elsewhere(&mut self, to: &MemberId, work: &WorkId, at_epoch: u64) {
        let (epoch, id) = (work.0, work.1.to_string());
        let (what, outcome) = (SubmitStatus::Redirected.into(), Bytes::new());
        self.send(
            to,
            Body::Told(SubmitReply { epoch, id, what, outcome, retry_after: 0.0, at_epoch, of: 0 }),
        );
    }
}
