//! Parts of queries, their attempts, and why an attempt is made.
use crate::balancer::interface::{ClassId, Outcome, QueryNumber, ReplicaId, ShardId};

/// One attempt of a part, in flight or finished.
pub struct Attempt {
    /// Where it was sent; a replica that is not known, where an earlier owner sent it.
    pub replica: ReplicaId,
    /// When we sent it, in seconds; negative infinity where an earlier owner did.
    pub sent_at: f64,
    /// Sent together with the first attempt, to the other one of an idle pair.
    pub is_clone: bool,
    /// Whether its cancellation was sent; its outcome may still come.
    pub cancelled: bool,
    /// How it ended; `None` while its outcome is not known.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// An attempt that starts now.
    pub fn new(replica: ReplicaId, sent_at: f64, is_clone: bool) -> Attempt {
        Attempt { replica, sent_at, is_clone, cancelled: false, outcome: None }
    }

    /// One of an earlier owner: at a replica that is not known, at a time before any of ours. It counts as
    /// failed, and as one that may have run.
    fn by_earlier_owner() -> Attempt {
        let outcome = Some(Outcome::Error);
        Attempt { outcome, ..Attempt::new(ReplicaId(u64::MAX), f64::NEG_INFINITY, false) }
    }

    /// Whether it may still bring its part's answer: not finished, and not cancelled.
    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none() && !self.cancelled
    }

    /// When we sent it, in seconds; infinity where an earlier owner did, as that says nothing of how long
    /// ours take.
    pub fn own_sent_at(&self) -> f64 {
        if self.sent_at.is_finite() {
            self.sent_at
        } else {
            f64::INFINITY
        }
    }

    /// Whether its outcome proves that it never ran.
    pub fn never_ran(&self) -> bool {
        self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// A part of an open query.
pub struct Part {
    /// The number of its query.
    pub number: QueryNumber,
    /// The class of its query.
    pub class: ClassId,
    /// The shard that it reads.
    pub shard: ShardId,
    /// Its share of its step, from 0 to 1.
    pub weight: f64,
    /// All attempts, by their number.
    pub attempts: Vec<Attempt>,
    /// Whether its value is here.
    pub completed: bool,
    /// Whether [`OpenQueries`](super::OpenQueries) counts it as in flight.
    pub counted_in_flight: bool,
    /// Whether nothing more may be sent for it: the coordinator reported its end, or its value is on its way.
    pub finished: bool,
}

impl Part {
    /// A part as it comes in. Attempts of an earlier owner stand in it as failed ones that may have run; a
    /// part that an earlier owner completed is finished.
    pub fn new(
        (number, class): (QueryNumber, ClassId),
        shard: ShardId,
        weight: f64,
        prior_attempts: u8,
        completed: bool,
    ) -> Part {
        let attempts = (0..prior_attempts).map(|_| Attempt::by_earlier_owner()).collect();
        Part {
            number,
            class,
            shard,
            weight,
            attempts,
            completed,
            counted_in_flight: false,
            finished: completed,
        }
    }

    /// Whether no first attempt is left to be sent: one was, or the part is finished.
    pub fn is_started(&self) -> bool {
        self.finished || !self.attempts.is_empty()
    }

    /// Whether an attempt may still bring its answer.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Whether it is to be counted against the concurrency limit: in flight, with its value still to come.
    pub fn uses_capacity(&self) -> bool {
        !self.completed && !self.finished && self.is_in_flight()
    }
}

/// An attempt that a replica has not answered yet.
#[derive(Clone, Copy, Default)]
pub struct InFlightAttempt {
    /// When it was sent, in seconds.
    pub sent_at: f64,
    /// The class of its query.
    pub class: ClassId,
    /// Sent on a connection that had not been used for a while.
    pub after_idle: bool,
    /// It has waited so long that its replica was found unresponsive.
    pub unresponsive: bool,
    /// Its value has begun to come: how long the rest takes says nothing of its replica.
    pub is_streaming: bool,
}

/// Why an attempt beyond a part's first is made, in the order of growing claim on the retry budget.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub enum AttemptReason {
    /// Both replicas of the pair were idle, so both get the part (NetClone).
    IdlePairClone,
    /// The attempt in flight takes long ("The Tail at Scale").
    Hedge,
    /// Nothing is in flight any more, or only at suspect replicas.
    Retry,
    /// A retry of a part whose last attempt failed.
    RetryAfterFailure,
}
