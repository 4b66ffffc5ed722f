//! Protected queries: the gate that each attempt passes before it touches its transport, and what an earlier owner of
//! the query left. Whoever stands behind the gate is no matter of the core's.
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use super::PartValue;
use crate::balancer::interface::ShardId;

/// Resolves once a gate has decided.
pub type PendingGrant = Pin<Box<dyn Future<Output = bool>>>;

/// What may be sent of one query. Its methods are called while the core is in the midst of its work: they take note,
/// and do not call the core.
pub trait AttemptGate {
    /// Whether this attempt of a part may be made, numbered from 0 over all owners of the query. `false`: never.
    fn may_send(&self, step: u8, shard: ShardId, attempt: u8) -> PendingGrant;
    /// Whether the query is ours at this moment: for the last look before a byte.
    fn holds(&self) -> bool;
    /// One more attempt that was granted is proved never to have run.
    fn cleared(&self, step: u8, shard: ShardId);
    /// The value of a part has come in, with its score.
    fn value(&self, step: u8, shard: ShardId, value: &PartValue, score: f64);
    /// The first step was answered from these shards.
    fn stepped(&self, from: &Rc<[ShardId]>);
}

/// What an earlier owner left of a part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PriorProgress {
    /// Attempts that it was granted: each may have been made...
    pub granted_attempts: u8,
    /// ...but for so many of them, which are proved never to have run.
    pub never_ran_attempts: u8,
    /// Its value and score, if that was in.
    pub value: Option<(PartValue, f64)>,
}

/// Makes a query a protected one.
pub struct TakeoverProtection {
    pub gate: Rc<dyn AttemptGate>,
    /// By step (0 or 1) and shard; empty for a query that begins here.
    pub prior_progress: BTreeMap<(u8, ShardId), PriorProgress>,
}

impl PriorProgress {
    /// What counts as made: it may have run, and nobody proved that it did not.
    pub(super) fn spent(&self) -> u8 {
        self.granted_attempts.saturating_sub(self.never_ran_attempts)
    }
}
