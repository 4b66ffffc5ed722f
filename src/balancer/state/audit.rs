//! Views of a [`Balancer`] for tests and measurements: what its rounds go through, and whether its running
//! sums and indexes are what a count of everything gives.
use crate::balancer::STALE;
use crate::Balancer;

impl Balancer {
    /// How many entries of what is kept all rounds together have gone through: replicas, reports, attempts,
    /// parts and queries.
    pub fn gone_through(&self) -> usize {
        self.census.through + self.flights.through + self.agenda.through
    }

    /// Compare every running sum and index with a fresh count; the name of the first that differs.
    pub fn audit(&self) -> Result<(), &'static str> {
        let (now, rule) = (self.now, self.s.slow_start);
        self.census.check(
            &self.replicas,
            |r| r.cold_since(now, rule).is_some(),
            |r| now - r.heard < STALE,
        )?;
        self.flights.check(&self.replicas)?;
        self.agenda.check(&self.queries, &self.parts)
    }

    /// Look at every open query in the next round, as though something had happened to each.
    pub fn look_at_all(&mut self) {
        self.agenda.touch_all();
    }
}
