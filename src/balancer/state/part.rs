//! Parts of queries, their attempts, and the reasons for further attempts.
use crate::balancer::interface::{ClassId, Outcome, QueryNumber, ReplicaId, ShardId};

/// An attempt of a part, in flight or finished.
pub struct Attempt {
    /// The replica that the attempt was sent to; an unknown id if an earlier owner of the query sent
    /// it.
    pub replica: ReplicaId,
    /// Send time in seconds; negative infinity if an earlier owner sent it.
    pub sent_at: f64,
    /// Whether the attempt was sent along with the first one, to the other replica of an idle pair.
    pub is_clone: bool,
    /// Whether the attempt was cancelled; its outcome may still arrive.
    pub cancelled: bool,
    /// The outcome, once it is known.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    /// Creates an attempt that is sent at `sent_at`.
    pub fn new(replica: ReplicaId, sent_at: f64, is_clone: bool) -> Attempt {
        Attempt { replica, sent_at, is_clone, cancelled: false, outcome: None }
    }

    /// Creates a stand-in for an attempt of an earlier owner, at an unknown replica and before any
    /// attempt of this coordinator. It counts as failed and as one that may have run.
    fn by_earlier_owner() -> Attempt {
        let outcome = Some(Outcome::Error);
        Attempt { outcome, ..Attempt::new(ReplicaId(u64::MAX), f64::NEG_INFINITY, false) }
    }

    /// Returns whether the attempt may still deliver the part's value: it is neither finished nor
    /// cancelled.
    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none() && !self.cancelled
    }

    /// Returns the send time in seconds. Returns infinity for attempts of an earlier owner, which
    /// say nothing about the response times of this coordinator's attempts.
    pub fn own_sent_at(&self) -> f64 {
        if self.sent_at.is_finite() {
            self.sent_at
        } else {
            f64::INFINITY
        }
    }

    /// Returns whether the outcome proves that the attempt never ran.
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
    /// The shard that the part reads.
    pub shard: ShardId,
    /// Weight within its step, from 0 to 1.
    pub weight: f64,
    /// All attempts, indexed by their number.
    pub attempts: Vec<Attempt>,
    /// Whether the part's value has been received.
    pub completed: bool,
    /// Whether [`OpenQueries`](super::OpenQueries) counts the part as in flight.
    pub counted_in_flight: bool,
    /// Whether nothing more may be sent for the part, because the coordinator reported its end or
    /// its value is streaming.
    pub finished: bool,
}

impl Part {
    /// Creates a part. Attempts of an earlier owner count as failed ones that may have run; a part
    /// that an earlier owner completed is finished.
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

    /// Returns whether no first attempt remains to be sent: one was sent, or the part is finished.
    pub fn is_started(&self) -> bool {
        self.finished || !self.attempts.is_empty()
    }

    /// Returns whether an attempt may still deliver the value.
    pub fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Returns whether the part counts against the concurrency limit: it is in flight and its value
    /// has not begun to arrive.
    pub fn uses_capacity(&self) -> bool {
        !self.completed && !self.finished && self.is_in_flight()
    }
}

/// An attempt that its replica has not answered yet.
#[derive(Clone, Copy, Default)]
pub struct InFlightAttempt {
    /// Send time in seconds.
    pub sent_at: f64,
    /// The class of its query.
    pub class: ClassId,
    /// Whether the attempt was sent on a connection that had been idle for a while.
    pub after_idle: bool,
    /// Whether the attempt has waited so long that its replica was found unresponsive.
    pub unresponsive: bool,
    /// Whether the value is streaming; the time to the end of the stream says nothing about the
    /// replica.
    pub is_streaming: bool,
}

/// Why an attempt beyond a part's first is made, in ascending order of priority for the retry
/// budget.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
pub enum AttemptReason {
    /// Both replicas of the pair were idle, so both receive the part (NetClone).
    IdlePairClone,
    /// The attempt in flight takes long ("The Tail at Scale").
    Hedge,
    /// Nothing is in flight, or only at suspect replicas.
    Retry,
    /// The part's last attempt failed and no retry budget is configured.
    RetryAfterFailure,
}
