//! The state that an acceptor keeps of one work item: the rules of Paxos's acceptor (Lamport, "Paxos Made
//! Simple"), over a record that grows under one ballot by sequence number.
//!
//! Invariants: the promise never falls, and what is accepted never falls in the order of (ballot, sequence
//! number).
use std::rc::Rc;

use super::record::Record;
use crate::cluster::{MemberId, Micros};

/// A promise that no ballot fulfils: the slot is fenced, and its id is never opened in this epoch.
pub const FENCED_BALLOT: u64 = u64::MAX;

/// The most members whose clients one slot notifies of the outcome. A client usually asks two or three
/// members; those that find no place learn the outcome when they ask again.
pub const MAX_WAITERS: usize = 16;

/// What can be accepted: it tells which opening of its id it belongs to.
pub trait Opening: Clone {
    /// Identifies the opening. Records of two openings of one id are never mixed.
    fn opening_id(&self) -> u64;
}

impl Opening for Rc<Record> {
    fn opening_id(&self) -> u64 {
        self.opening_id
    }
}

/// Whether an acceptor enforces its promise. Tests alone disable it, to show that they notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromiseCheck {
    /// Ballots under the promise are rejected: the protocol.
    Enforced,
    /// Ballots under the promise are taken.
    Disabled,
}

/// What an acceptor has accepted last.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Accepted<R = Rc<Record>> {
    /// The ballot under which it was written.
    pub ballot: u64,
    /// Its place among the writes of this ballot, and of those before.
    pub seq: u64,
    /// The whole record as of `seq`.
    pub record: R,
}

/// Paxos's acceptor.
///
/// Invariants: `promised` never falls; `accepted` never falls in the order of (ballot, seq), and was never
/// taken under a ballot below the promise of its time. So a state that a majority accepted under one ballot
/// is among what any later majority of promises shows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor<R = Rc<Record>> {
    /// The highest ballot that was promised; [`FENCED_BALLOT`] if the slot is fenced.
    pub promised: Option<u64>,
    /// The state with the highest (ballot, seq) that was accepted.
    pub accepted: Option<Accepted<R>>,
}

impl<R> Default for Acceptor<R> {
    fn default() -> Self {
        Acceptor { promised: None, accepted: None }
    }
}

impl<R: Opening> Acceptor<R> {
    /// Accepts a record. Returns the sequence number that is held now: a later one if this write was
    /// overtaken.
    ///
    /// # Errors
    ///
    /// The promised ballot, if that is higher. `ballot` itself, if another opening was accepted under it: an
    /// owner that restarted has forgotten its first one.
    pub fn accept(&mut self, check: PromiseCheck, ballot: u64, seq: u64, record: &R) -> Result<u64, u64> {
        self.check_promise(check, ballot)?;
        match &self.accepted {
            Some(held) if held.ballot == ballot && held.record.opening_id() != record.opening_id() => {
                return Err(ballot)
            }
            // A repeat, or a write that was overtaken: records only grow, so what it brought is held already.
            Some(held) if held.ballot == ballot && held.seq >= seq => return Ok(held.seq),
            _ => {}
        }
        self.raise_promise(ballot);
        self.accepted = Some(Accepted { ballot, seq, record: record.clone() });
        Ok(seq)
    }

    /// Promises a ballot. A repeated prepare gets its promise again.
    ///
    /// # Errors
    ///
    /// The promised ballot, if that is higher.
    pub fn prepare(&mut self, check: PromiseCheck, ballot: u64) -> Result<(), u64> {
        self.check_promise(check, ballot)?;
        self.raise_promise(ballot);
        Ok(())
    }

    /// Promises never to accept a first record; returns whether it did. An earlier promise to a proposer that
    /// has not written yet does not stand against it: that proposer's write will be rejected.
    pub fn fence(&mut self) -> bool {
        if self.accepted.is_none() {
            self.promised = Some(FENCED_BALLOT);
        }
        self.accepted.is_none()
    }

    fn check_promise(&self, check: PromiseCheck, ballot: u64) -> Result<(), u64> {
        match self.promised {
            Some(promised) if check == PromiseCheck::Enforced && promised > ballot => Err(promised),
            _ => Ok(()),
        }
    }

    fn raise_promise(&mut self, ballot: u64) {
        self.promised = Some(self.promised.map_or(ballot, |promised| promised.max(ballot)));
    }
}

/// The final state of a work item that a majority holds.
#[derive(Clone, Debug)]
pub enum Decision {
    /// The outcome of its executor.
    Outcome(bytes::Bytes),
    /// It ended without an outcome.
    Failed,
}

/// One work item at one acceptor.
#[derive(Debug)]
pub struct AcceptorSlot {
    /// Promise and accepted record.
    pub acceptor: Acceptor,
    /// The client's deadline, on this member's clock.
    pub deadline: Micros,
    /// When the slot may be forgotten.
    pub retain_until: Micros,
    /// When a new ballot was last promised, or a record last written.
    pub last_ballot_at: Micros,
    /// What a majority holds as final, once it is known here.
    pub decision: Option<Decision>,
    /// The memory that the record is charged with, in bytes.
    pub bytes: usize,
    /// Members to notify of the outcome, for their clients; at most [`MAX_WAITERS`].
    pub waiters: Vec<MemberId>,
}

impl AcceptorSlot {
    /// An empty slot, which [`AcceptorSlot::extend`] must give its times.
    pub fn new(now: Micros) -> AcceptorSlot {
        AcceptorSlot {
            acceptor: Acceptor::default(),
            deadline: now,
            retain_until: now,
            last_ballot_at: now,
            decision: None,
            bytes: 0,
            waiters: Vec::new(),
        }
    }

    /// The record that was accepted last.
    pub fn record(&self) -> Option<&Rc<Record>> {
        self.acceptor.accepted.as_ref().map(|accepted| &accepted.record)
    }

    /// Moves the deadline and the end of retention further away, never closer.
    pub fn extend(&mut self, now: Micros, remaining: Micros, retention: Micros) {
        self.deadline = self.deadline.max(now.saturating_add(remaining));
        self.retain_until = self.retain_until.max(self.deadline.saturating_add(retention));
    }

    /// Notifies this member of the outcome, if there is a place for it.
    pub fn add_waiter(&mut self, member: &MemberId) {
        if self.waiters.len() < MAX_WAITERS && !self.waiters.contains(member) {
            self.waiters.push(member.clone());
        }
    }
}
