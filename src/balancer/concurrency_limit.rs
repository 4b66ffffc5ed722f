//! How many parts may be open at once: a limit that grows by steps while response times stay well within the
//! latency objectives, and is cut by a factor when they don't (additive increase, multiplicative decrease).
use super::interface::{Outcome, PartId, QueryNumber};
use super::state::Query;
use super::Balancer;

/// Parts open at the start for each replica.
const INITIAL_LIMIT_PER_REPLICA: f64 = 6.0;
/// The least limit, in parts.
const MIN_LIMIT: f64 = 4.0;
/// Parts that the limit grows by for a success.
const LIMIT_INCREASE: f64 = 0.3;
/// What is left of the limit after a decrease, as a share.
const LIMIT_DECREASE_FACTOR: f64 = 0.85;
/// Seconds after a decrease in which the increase comes back.
const LIMIT_RECOVERY_SECONDS: f64 = 2.0;
/// Expected time of a query over its latency objective, under which the limit grows.
const INCREASE_BELOW: f64 = 0.4;
/// The same, over which the limit is cut.
const DECREASE_ABOVE: f64 = 0.5;
/// Share of the limit that must be in use for it to grow.
const INCREASE_ABOVE_USE: f64 = 0.5;

impl Balancer {
    /// Set the limit in the first round, by the replicas that are known then and our share of them.
    pub(super) fn initialize_concurrency_limit(&mut self) {
        if self.concurrency.limit == 0.0 {
            let coordinators = f64::from(self.settings.coordinators.max(1));
            let limit = self.replica_stats.ready * INITIAL_LIMIT_PER_REPLICA / coordinators;
            self.concurrency.limit = limit.max(MIN_LIMIT);
        }
    }

    /// Parts that are in flight, and all of an admitted query that is probing: what it holds back comes at
    /// once. Parts that wait for a retry use no capacity.
    pub(super) fn open_parts(&mut self) -> f64 {
        if self.recent.queries_suspected_until <= self.now {
            return self.open_queries.in_flight() as f64;
        }
        self.open_queries.entries_visited += self.queries.len();
        let parts_of = |(number, query): (&QueryNumber, &Query)| {
            if self.is_probing(query) {
                query.parts.len() as f64 * query.class.target_coverage
            } else {
                self.open_queries.in_flight_of(*number) as f64
            }
        };
        self.queries.iter().filter(|(_, query)| query.admitted).map(parts_of).sum()
    }

    /// Adjust the limit by the outcome of a part's attempt; it is cut once a response time at most.
    pub(super) fn adjust_concurrency_limit(&mut self, part: PartId, outcome: Outcome) {
        let number = self.parts.get(&part).map(|p| p.number);
        let Some(class) = number.and_then(|n| self.queries.get(&n)).map(|q| q.class) else { return };
        let strain = self.expected_query_time(&class) / class.latency_objective;
        let is_overloaded = outcome == Outcome::Rejected || strain > DECREASE_ABOVE;
        let since_decrease = self.now - self.concurrency.decreased_at;
        if is_overloaded && since_decrease > self.latency.mean {
            self.concurrency.decreased_at = self.now;
            self.concurrency.limit = (self.concurrency.limit * LIMIT_DECREASE_FACTOR).max(MIN_LIMIT);
        } else if outcome == Outcome::Succeeded
            && strain < INCREASE_BELOW
            && self.open_parts() > INCREASE_ABOVE_USE * self.concurrency.limit
        {
            self.concurrency.limit += LIMIT_INCREASE * (since_decrease / LIMIT_RECOVERY_SECONDS).min(1.0);
        }
    }
}
