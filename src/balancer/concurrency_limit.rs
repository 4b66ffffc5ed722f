//! The limit on concurrently open parts: additive increase while response times stay well within
//! the latency objectives, multiplicative decrease when they do not (AIMD).
use super::interface::{Outcome, PartId, QueryNumber};
use super::state::Query;
use super::Balancer;

/// Initial limit, in parts per ready replica.
const INITIAL_LIMIT_PER_REPLICA: f64 = 6.0;
/// Lower bound of the limit, in parts.
const MIN_LIMIT: f64 = 4.0;
/// Increase of the limit per successful attempt, in parts.
const LIMIT_INCREASE: f64 = 0.3;
/// Factor applied to the limit on a decrease.
const LIMIT_DECREASE_FACTOR: f64 = 0.85;
/// Seconds after a decrease over which the increase ramps back up to its full step.
const LIMIT_RECOVERY_SECONDS: f64 = 2.0;
/// The limit grows while the expected query time is below this fraction of the latency objective.
const INCREASE_BELOW: f64 = 0.4;
/// The limit is reduced while the expected query time is above this fraction of the latency objective.
const DECREASE_ABOVE: f64 = 0.5;
/// Fraction of the limit that must be in use for the limit to grow.
const INCREASE_ABOVE_USE: f64 = 0.5;

impl Balancer {
    /// Initializes the limit in the first round from the number of ready replicas and this
    /// coordinator's share of them.
    pub(super) fn initialize_concurrency_limit(&mut self) {
        if self.concurrency.limit == 0.0 {
            let coordinators = f64::from(self.settings.coordinators.max(1));
            let limit = self.replica_stats.ready * INITIAL_LIMIT_PER_REPLICA / coordinators;
            self.concurrency.limit = limit.max(MIN_LIMIT);
        }
    }

    /// Returns the number of parts that count against the limit: those in flight. An admitted query
    /// that is probing counts with all the parts that it needs for a complete answer, because the
    /// unsent ones are sent as soon as the probe succeeds. Parts that wait for a retry use no capacity.
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

    /// Adjusts the limit after an attempt. The limit is reduced at most once per mean response time.
    pub(super) fn adjust_concurrency_limit(&mut self, part: PartId, outcome: Outcome) {
        let number = self.parts.get(&part).map(|p| p.number);
        let Some(class) = number.and_then(|n| self.queries.get(&n)).map(|q| q.class) else { return };
        let objective_ratio = self.expected_query_time(&class) / class.latency_objective;
        let is_overloaded = outcome == Outcome::Rejected || objective_ratio > DECREASE_ABOVE;
        let since_decrease = self.now - self.concurrency.decreased_at;
        if is_overloaded && since_decrease > self.latency.mean {
            self.concurrency.decreased_at = self.now;
            self.concurrency.limit = (self.concurrency.limit * LIMIT_DECREASE_FACTOR).max(MIN_LIMIT);
        } else if outcome == Outcome::Succeeded
            && objective_ratio < INCREASE_BELOW
            && self.open_parts() > INCREASE_ABOVE_USE * self.concurrency.limit
        {
            self.concurrency.limit += LIMIT_INCREASE * (since_decrease / LIMIT_RECOVERY_SECONDS).min(1.0);
        }
    }
}
