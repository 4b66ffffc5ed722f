//! Detection of queries that crash the replicas that run them ("query of death" in the book "Site
//! Reliability Engineering"). After a replica crashes, every query with many parts sends a single
//! part first, so that a query of death takes down only one replica.
use super::interface::Outcome;
use super::state::Query;
use super::Balancer;

/// How long queries are suspected after a replica crashed, in seconds.
const QUERIES_SUSPECTED_SECONDS: f64 = 20.0;
/// A connect that fails within this fraction of the mean response time indicates that the replica
/// crashed.
const FAST_CONNECT_FAILURE_SHARE: f64 = 0.25;
/// Maximum number of parts that a query may send at once while queries are suspected.
const MAX_PARTS_UNPROBED: usize = 12;
/// Connection resets after which a probing query is given up.
const MIN_RESETS_WHEN_PROBING: usize = 1;
/// Connection resets after which any other query is given up.
const MIN_RESETS: usize = 2;

impl Balancer {
    /// Suspects all queries for a while if a connection reset, or a connect that failed after
    /// `elapsed` seconds, indicates that a replica crashed.
    pub(super) fn suspect_queries(&mut self, outcome: Outcome, elapsed: f64) {
        let failed_fast = elapsed < FAST_CONNECT_FAILURE_SHARE * self.latency.mean;
        if outcome == Outcome::Reset || failed_fast {
            self.recent.queries_suspected_until = self.now + QUERIES_SUSPECTED_SECONDS;
        }
    }

    /// Returns whether the query sends a single part until that part is completed.
    pub(super) fn is_probing(&self, query: &Query) -> bool {
        query.completed_parts == 0
            && query.parts.len() > MAX_PARTS_UNPROBED
            && self.recent.queries_suspected_until > self.now
    }

    /// Returns whether the query is to be given up because of the connections that it reset.
    pub(super) fn is_query_of_death(&self, query: &Query) -> bool {
        let min_resets = if self.is_probing(query) { MIN_RESETS_WHEN_PROBING } else { MIN_RESETS };
        query.is_query_of_death(min_resets)
    }
}
