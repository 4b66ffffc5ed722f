//! The state that an acceptor keeps for one work item. Follows the acceptor rules of Paxos (Lamport, "Paxos
//! Made Simple"), extended to a record that grows under one ballot by sequence number.
//!
//! Invariants: the promise never decreases, and the accepted state never decreases in the order of (ballot,
//! sequence number).
use std::rc::Rc;

use super::record::Record;
use crate::cluster::{MemberId, Micros};

/// A promise above every ballot: the slot is fenced, and its id can never be opened in this epoch.
pub const FENCED_BALLOT: u64 = u64::MAX;

/// Maximum number of members that a slot notifies of the outcome. A client usually submits to two or three
/// members; a member that is not registered learns the outcome when it retransmits its request.
pub const MAX_WAITERS: usize = 16;

/// A value that an acceptor can accept and that identifies the opening it belongs to.
pub trait Opening: Clone {
    /// Returns the id of the opening. Records of two openings of one id are never mixed.
    fn opening_id(&self) -> u64;
}

impl Opening for Rc<Record> {
    fn opening_id(&self) -> u64 {
        self.opening_id
    }
}

/// Whether an acceptor enforces its promise. Only tests disable this, to show that they detect the resulting
/// violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromiseCheck {
    /// Ballots below the promise are rejected, as the protocol requires.
    Enforced,
    /// Ballots below the promise are accepted.
    Disabled,
}

/// The state that an acceptor accepted last.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Accepted<R = Rc<Record>> {
    /// The ballot under which the record was written.
    pub ballot: u64,
    /// The sequence number of the write. It continues across ballots.
    pub seq: u64,
    /// The complete record as of `seq`.
    pub record: R,
}

/// A Paxos acceptor.
///
/// Invariants: `promised` never decreases; `accepted` never decreases in the order of (ballot, seq), and was
/// never accepted under a ballot below the promise at that time. A state that a majority accepted under one
/// ballot is therefore reported by every later majority of promises.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Acceptor<R = Rc<Record>> {
    /// The highest promised ballot; [`FENCED_BALLOT`] if the slot is fenced.
    pub promised: Option<u64>,
    /// The accepted state with the highest (ballot, seq).
    pub accepted: Option<Accepted<R>>,
}

impl<R> Default for Acceptor<R> {
    fn default() -> Self {
        Acceptor { promised: None, accepted: None }
    }
}

impl<R: Opening> Acceptor<R> {
    /// Accepts a record. Returns the sequence number that is held afterwards, which is a later one if this
    /// write was overtaken.
    ///
    /// # Errors
    ///
    /// Returns the promised ballot if it is higher than `ballot`. Returns `ballot` itself if another opening
    /// was accepted under it, which happens if the owner restarted and forgot its first opening.
    pub fn accept(&mut self, check: PromiseCheck, ballot: u64, seq: u64, record: &R) -> Result<u64, u64> {
        self.check_promise(check, ballot)?;
        match &self.accepted {
            Some(current)
                if current.ballot == ballot && current.record.opening_id() != record.opening_id() =>
            {
                return Err(ballot)
            }
            // A duplicate, or a write that was overtaken: records only grow, so the accepted record already
            // includes it.
            Some(current) if current.ballot == ballot && current.seq >= seq => return Ok(current.seq),
            _ => {}
        }
        self.raise_promise(ballot);
        self.accepted = Some(Accepted { ballot, seq, record: record.clone() });
        Ok(seq)
    }

    /// Promises a ballot. A duplicate prepare is answered with the same promise.
    ///
    /// # Errors
    ///
    /// Returns the promised ballot if it is higher than `ballot`.
    pub fn prepare(&mut self, check: PromiseCheck, ballot: u64) -> Result<(), u64> {
        self.check_promise(check, ballot)?;
        self.raise_promise(ballot);
        Ok(())
    }

    /// Promises never to accept a first record, unless one was accepted already; returns whether the slot is
    /// fenced. An earlier promise to a proposer that has not written yet does not prevent fencing: the
    /// proposer's write will be rejected.
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

/// The final state of a work item, held by a majority.
#[derive(Clone, Debug)]
pub enum Decision {
    /// The executor's outcome.
    Outcome(bytes::Bytes),
    /// The work item ended without an outcome.
    Failed,
}

/// One acceptor's state of a work item.
#[derive(Debug)]
pub struct AcceptorSlot {
    /// The promise and the accepted record.
    pub acceptor: Acceptor,
    /// The client's deadline, on this member's clock.
    pub deadline: Micros,
    /// When the slot may be dropped.
    pub retain_until: Micros,
    /// When a new ballot was last promised or a record last written.
    pub last_ballot_at: Micros,
    /// The final state held by a majority, once it is known here.
    pub decision: Option<Decision>,
    /// The memory charged for the record, in bytes.
    pub bytes: usize,
    /// Members to notify of the outcome on behalf of their clients; at most [`MAX_WAITERS`].
    pub waiters: Vec<MemberId>,
}

impl AcceptorSlot {
    /// Creates an empty slot that expires at once; the caller sets its deadline and retention with
    /// [`AcceptorSlot::extend`].
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

    /// Returns the record that was accepted last.
    pub fn record(&self) -> Option<&Rc<Record>> {
        self.acceptor.accepted.as_ref().map(|accepted| &accepted.record)
    }

    /// Extends the deadline and the retention; never shortens either.
    pub fn extend(&mut self, now: Micros, remaining: Micros, retention: Micros) {
        self.deadline = self.deadline.max(now.saturating_add(remaining));
        self.retain_until = self.retain_until.max(self.deadline.saturating_add(retention));
    }

    /// Registers a member to be notified of the outcome, unless [`MAX_WAITERS`] is reached.
    pub fn add_waiter(&mut self, member: &MemberId) {
        if self.waiters.len() < MAX_WAITERS && !self.waiters.contains(member) {
            self.waiters.push(member.clone());
        }
    }
}
