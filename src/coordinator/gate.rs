//! Protected queries: the gate that every attempt passes before it reaches the transport, and the
//! progress that an earlier owner of the query made. The coordinator does not depend on how the
//! gate is implemented.
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use super::ScoredValue;
use crate::balancer::interface::ShardId;

/// Resolves to whether the attempt may be made, once the gate has decided. Dropping the future
/// abandons the request, but the attempt may still be granted.
pub type PendingGrant = Pin<Box<dyn Future<Output = bool>>>;

/// Grants the attempts of one query. The methods are called while the coordinator's state is
/// borrowed: they may record something, but must not call the coordinator.
pub trait AttemptGate {
    /// Requests the grant for an attempt of a part, numbered from 0 over all owners of the query.
    /// Resolves to `false` if the attempt must never be made.
    fn request_grant(&self, step: u8, shard: ShardId, attempt: u8) -> PendingGrant;
    /// Returns whether this process currently owns the query; called immediately before a write.
    fn is_owned(&self) -> bool;
    /// Records that one more granted attempt is proved never to have run.
    fn record_never_ran(&self, step: u8, shard: ShardId);
    /// Records that the value of a part has been received.
    fn record_value(&self, step: u8, shard: ShardId, value: &ScoredValue);
    /// Records that the first step was answered from these shards.
    fn record_first_step(&self, from: &Rc<[ShardId]>);
}

/// The progress that an earlier owner made on a part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PriorProgress {
    /// Number of attempts granted to earlier owners. Each of them may have been made, except those
    /// counted in `never_ran_attempts`.
    pub granted_attempts: u8,
    /// Number of granted attempts that are proved never to have run.
    pub never_ran_attempts: u8,
    /// The part's value, if it was received.
    pub value: Option<ScoredValue>,
}

/// Marks a query as protected: other processes may take it over.
pub struct TakeoverProtection {
    /// Grants the query's attempts.
    pub gate: Rc<dyn AttemptGate>,
    /// Progress of earlier owners by step (0 or 1) and shard; empty for a query that starts in this
    /// process.
    pub prior_progress: BTreeMap<(u8, ShardId), PriorProgress>,
}

impl PriorProgress {
    /// Returns the number of attempts that may have run.
    pub(super) fn attempts_that_may_have_run(&self) -> u8 {
        self.granted_attempts.saturating_sub(self.never_ran_attempts)
    }
}
