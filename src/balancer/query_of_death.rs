//! Queries that bring down the replicas that run them ("query of death", Site Reliability Engineering).
//! After a replica died, queries of many parts are suspected: each tries one part first, so that a deadly one
//! brings down one replica only.
use super::interface::Outcome;
use super::state::Query;
use super::Balancer;

/// Seconds for which queries are suspected after a replica died.
const QUERIES_SUSPECTED_SECONDS: f64 = 20.0;
/// The share of the mean response time within which a failed connect tells that a replica died.
const FAST_CONNECT_FAILURE_SHARE: f64 = 0.25;
/// Most parts of a query that is sent at once though queries are suspected.
const MAX_PARTS_UNPROBED: usize = 12;
/// Resets by which a query is given up while it probes.
const MIN_RESETS_WHEN_PROBING: usize = 1;
/// The same for any other query.
const MIN_RESETS: usize = 2;

impl Balancer {
    /// A connection was reset, or a connect failed after so many seconds: suspects queries if its replica
    /// died.
    pub(super) fn suspect_queries(&mut self, outcome: Outcome, elapsed: f64) {
        let failed_fast = elapsed < FAST_CONNECT_FAILURE_SHARE * self.latency.mean;
        if outcome == Outcome::Reset || failed_fast {
            self.recent.queries_suspected_until = self.now + QUERIES_SUSPECTED_SECONDS;
        }
    }

    /// Whether a query sends one part alone until that is completed.
    pub(super) fn is_probing(&self, query: &Query) -> bool {
        query.completed_parts == 0
            && query.parts.len() > MAX_PARTS_UNPROBED
            && self.recent.queries_suspected_until > self.now
    }

    /// Whether a query is to be given up for the replicas that it brought down.
    pub(super) fn is_query_of_death(&self, query: &Query) -> bool {
        let least = if self.is_probing(query) { MIN_RESETS_WHEN_PROBING } else { MIN_RESETS };
        query.is_query_of_death(least)
    }
}
