//! Protected queries: the gate that each attempt passes before it reaches its transport, and what an earlier owner of
//! the query left behind. What is behind the gate is no concern of the coordinator.
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use super::ScoredValue;
use crate::balancer::interface::ShardId;

/// Resolves once a gate has decided: whether the attempt may be made. Dropping it gives the request up, but the grant
/// may still be made.
pub type PendingGrant = Pin<Box<dyn Future<Output = bool>>>;

/// Grants the attempts of one query. Its methods are called while the coordinator's state is borrowed: they take note
/// and must not call the coordinator.
pub trait AttemptGate {
    /// Ask for an attempt of a part, numbered from 0 over all owners of the query. `false`: it may never be made.
    fn request_grant(&self, step: u8, shard: ShardId, attempt: u8) -> PendingGrant;
    /// Whether the query is owned by this process at this moment; asked immediately before a write.
    fn is_owned(&self) -> bool;
    /// One more attempt that was granted is proved never to have run.
    fn record_never_ran(&self, step: u8, shard: ShardId);
    /// The value of a part has come in.
    fn record_value(&self, step: u8, shard: ShardId, value: &ScoredValue);
    /// The first step was answered from these shards.
    fn record_first_step(&self, from: &Rc<[ShardId]>);
}

/// What an earlier owner left of a part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PriorProgress {
    /// Attempts that it was granted: each may have been made,
    pub granted_attempts: u8,
    /// but for so many of them, which are proved never to have run.
    pub never_ran_attempts: u8,
    /// The part's value, if that was in.
    pub value: Option<ScoredValue>,
}

/// Makes a query a protected one.
pub struct TakeoverProtection {
    /// Grants the query's attempts.
    pub gate: Rc<dyn AttemptGate>,
    /// By step (0 or 1) and shard; empty for a query that starts here.
    pub prior_progress: BTreeMap<(u8, ShardId), PriorProgress>,
}

impl PriorProgress {
    /// What counts as made: it may have run, and nothing proves that it did not.
    pub(super) fn attempts_that_may_have_run(&self) -> u8 {
        self.granted_attempts.saturating_sub(self.never_ran_attempts)
    }
}
