//! Introspection of a [`Balancer`] for tests and benchmarks: how many entries its rounds visit, and
//! whether its running sums and indexes match a full recount.
use crate::balancer::STALE_AFTER_SECONDS;
use crate::Balancer;

impl Balancer {
    /// Returns the number of entries visited in all rounds so far: replicas, reports, attempts,
    /// parts and queries.
    pub fn entries_visited(&self) -> usize {
        self.replica_index.entries_visited
            + self.in_flight.entries_visited
            + self.open_queries.entries_visited
    }

    /// Compares every running sum and index with a full recount.
    ///
    /// # Errors
    ///
    /// Returns the name of the first sum or index that differs.
    pub fn audit(&self) -> Result<(), &'static str> {
        let now = self.now;
        let rule = self.settings.slow_start;
        self.replica_index.check(
            &self.replicas,
            |r| r.warming_up_since(now, rule).is_some(),
            |r| now - r.last_report_at < STALE_AFTER_SECONDS,
        )?;
        self.in_flight.check(&self.replicas)?;
        self.open_queries.check(&self.queries, &self.parts)
    }

    /// Visits every open query in the next round, as if each had changed.
    pub fn revisit_all_queries(&mut self) {
        self.open_queries.mark_all_changed();
    }
}

/// Returns the name of the first case that does not hold as an error.
pub(super) fn first_difference<const N: usize>(cases: [(bool, &'static str); N]) -> Result<(), &'static str> {
    cases.into_iter().find(|(is_equal, _)| !is_equal).map_or(Ok(()), |(_, name)| Err(name))
}
