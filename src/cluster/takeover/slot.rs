//! What a guard keeps of one piece of work: its promise and what it accepted. The rules of Paxos's acceptor, over a
//! record that grows under one ballot by `seq`.
use std::rc::Rc;

use super::record::Record;
use crate::cluster::{MemberId, Micros};

/// A promise that nothing fulfils: the slot is sealed.
pub const FENCED_BALLOT: u64 = u64::MAX;

/// What is accepted: which opening it belongs to.
pub trait Opening: Clone {
    fn opened(&self) -> u64;
}

impl Opening for Rc<Record> {
    fn opened(&self) -> u64 {
        self.opened
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Accepted<R = Rc<Record>> {
    pub ballot: u64,
    pub seq: u64,
    pub record: R,
}

/// Invariants: `promised` never falls; `accepted` never falls in the order of (ballot, seq), and was never taken under a
/// ballot below the promise of its time. So whatever stands with a majority under one ballot is among what any later
/// majority of promises shows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor<R = Rc<Record>> {
    pub promised: Option<u64>,
    pub accepted: Option<Accepted<R>>,
}

impl<R> Default for Acceptor<R> {
    fn default() -> Self {
        Acceptor { promised: None, accepted: None }
    }
}

impl<R: Opening> Acceptor<R> {
    /// Takes a record, unless a higher ballot is promised; then that one comes back. Also says no to a second opening
    /// under ballot 0, by an owner that has forgotten the first. `guarded` is false in tests alone.
    pub fn accept(&mut self, guarded: bool, ballot: u64, seq: u64, record: &R) -> Result<u64, u64> {
        match self.promised {
            Some(promised) if guarded && promised > ballot => return Err(promised),
            _ => {}
        }
        match &self.accepted {
            Some(a) if a.ballot == ballot && a.record.opened() != record.opened() => return Err(ballot),
            // A repeat, or one that was overtaken: the record only grows, so what it brought stands here.
            Some(a) if a.ballot == ballot && a.seq >= seq => return Ok(a.seq),
            _ => {}
        }
        self.promised = Some(self.promised.map_or(ballot, |p| p.max(ballot)));
        self.accepted = Some(Accepted { ballot, seq, record: record.clone() });
        Ok(seq)
    }

    /// Promises a ballot, unless a higher one is promised; then that one comes back. A repeat gets its promise again.
    pub fn prepare(&mut self, guarded: bool, ballot: u64) -> Result<(), u64> {
        match self.promised {
            Some(promised) if guarded && promised > ballot => Err(promised),
            _ => {
                self.promised = Some(self.promised.map_or(ballot, |p| p.max(ballot)));
                Ok(())
            }
        }
    }

    /// Promises never to take a first record. False if there is one. A promise given to somebody who has written
    /// nothing yet does not stand against it: that one will be refused.
    pub fn seal(&mut self) -> bool {
        if self.accepted.is_none() {
            self.promised = Some(FENCED_BALLOT);
        }
        self.accepted.is_none()
    }
}

/// One piece of work at one guard.
#[derive(Debug)]
pub struct AcceptorSlot {
    pub acceptor: Acceptor,
    /// The client's end, on the own clock.
    pub deadline: Micros,
    /// Kept until then.
    pub keep: Micros,
    /// When a ballot was last promised or written here.
    pub touched: Micros,
    /// What stands with a majority: the outcome, or None for failed.
    pub decided: Option<Option<bytes::Bytes>>,
    /// Bytes that it was charged with.
    pub bytes: usize,
    /// Members whose clients wait for it; at most [`MOST_WAITERS`], the others ask again.
    pub waiters: Vec<MemberId>,
}

/// A client asks two or three members, not more; who is not in this list learns the outcome when it asks again.
pub const MAX_WAITERS: usize = 16;

impl AcceptorSlot {
    pub fn new(now: Micros) -> AcceptorSlot {
        AcceptorSlot {
            acceptor: Acceptor::default(),
            deadline: now,
            keep: now,
            touched: now,
            decided: None,
            bytes: 0,
            waiters: Vec::new(),
        }
    }

    pub fn record(&self) -> Option<&Rc<Record>> {
        self.acceptor.accepted.as_ref().map(|a| &a.record)
    }

    /// Ends and times of keeping only move away.
    pub fn until(&mut self, now: Micros, left: Micros, slack: Micros) {
        self.deadline = self.deadline.max(now.saturating_add(left));
        self.keep = self.keep.max(self.deadline.saturating_add(slack));
    }

    pub fn wait(&mut self, member: &MemberId) {
        if self.waiters.len() < MAX_WAITERS && !self.waiters.contains(member) {
            self.waiters.push(member.clone());
        }
    }
}
