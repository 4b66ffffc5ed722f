//! The interface between a coordinator and the networking code that carries its attempts to
//! replicas.
use std::future::Future;
use std::rc::Rc;
use std::time::Instant;

use super::state::AttemptId;
use super::{CancellationToken, Coordinator, ScoredValue, Step};
use crate::balancer::interface::{LoadReport, Outcome, ReplicaId, ShardId};

/// One attempt of a part, as passed to a transport.
pub struct Call<T: Transport> {
    /// The target replica.
    pub replica: ReplicaId,
    /// The context that the front submitted with the query.
    pub context: Rc<T::RequestContext>,
    /// The shard of the part.
    pub shard: ShardId,
    /// The part's step of its query.
    pub step: Step,
    /// The attempt's timeout or the query's deadline, whichever is earlier.
    pub deadline: Instant,
    pub(super) origin: Option<CallOrigin<T>>,
}

/// The coordinator and attempt that a call belongs to.
pub(super) struct CallOrigin<T: Transport> {
    /// Receives the attempt's commit and result.
    pub coordinator: Rc<Coordinator<T>>,
    /// The attempt.
    pub attempt: AttemptId,
    /// Start of the attempt's response time.
    pub sent: Instant,
}

impl<T: Transport> Call<T> {
    /// Creates a call without a coordinator, for using a transport on its own. It counts as the
    /// only attempt of its part.
    pub fn standalone(
        replica: ReplicaId,
        context: Rc<T::RequestContext>,
        shard: ShardId,
        step: Step,
        deadline: Instant,
    ) -> Call<T> {
        Call { replica, context, shard, step, deadline, origin: None }
    }

    /// Commits the part to this attempt; must be called before the first byte of its value is sent
    /// to the client. The part's other attempts are cancelled immediately, and no further ones are
    /// made.
    ///
    /// Returns `false` if another attempt was committed first or the query is finished; nothing of
    /// this attempt's value may be sent then. The attempt's result is still reported when it ends.
    pub fn commit(&self) -> bool {
        match &self.origin {
            Some(origin) => origin.coordinator.commit(origin.attempt, self.replica, origin.sent),
            None => true,
        }
    }

    /// Returns whether this attempt has committed its part.
    pub fn is_committed(&self) -> bool {
        match &self.origin {
            Some(origin) => origin.coordinator.is_committed(origin.attempt),
            None => true,
        }
    }
}

/// The result of an attempt.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome to report to the balancer.
    pub outcome: Outcome,
    /// The part's value, if the attempt succeeded.
    pub value: Option<ScoredValue>,
    /// The replica's load report, if the response contained one.
    pub report: Option<LoadReport>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, value: None, report: None }
    }
}

/// Carries attempts to replicas.
pub trait Transport: Sized + 'static {
    /// Context that a front submits with a query, shared by all its attempts.
    type RequestContext: 'static;

    /// Makes one attempt. Resolves with its result, at the latest soon after the cancellation.
    /// Implementations must check [`CancellationToken::is_cancelled`] and
    /// [`CancellationToken::is_past_retry_window`] immediately before writing.
    fn call(
        self: Rc<Self>,
        call: Call<Self>,
        cancellation: CancellationToken,
    ) -> impl Future<Output = AttemptResult>;

    /// Sends a health check; resolves to whether the replica answered, and its load report.
    fn health_check(self: Rc<Self>, replica: ReplicaId) -> impl Future<Output = (bool, Option<LoadReport>)>;

    /// Closes the connections to a replica that carry no attempt.
    fn close_idle(&self, replica: ReplicaId);
}
