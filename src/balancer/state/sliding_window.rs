//! Counts of recent events.
use std::collections::{BTreeMap, VecDeque};

use crate::balancer::interface::*;

/// Times of recent events of one sort.
#[derive(Default)]
pub struct Tally(VecDeque<f64>);

impl Tally {
    pub fn add(&mut self, now: f64) {
        self.0.push_back(now);
    }
    /// Add one, and drop what is more than so many seconds older.
    pub fn keep(&mut self, now: f64, seconds: f64) {
        self.add(now);
        self.count(now - seconds);
    }
    /// How many there are, as last trimmed.
    pub fn len(&self) -> f64 {
        self.0.len() as f64
    }
    pub fn count(&mut self, since: f64) -> f64 {
        while self.0.front().is_some_and(|t| *t < since) {
            self.0.pop_front();
        }
        self.0.len() as f64
    }
}

/// What came in and went out lately; `taken` counts queries and parts, `arrived` parts alone.
#[derive(Default)]
pub struct Recent {
    pub taken: Tally,
    pub arrived: Tally,
    pub copies: Tally,
    pub extras: Tally,
    pub sends: Tally,
    pub probes: Tally,
    /// Parts that warm replicas served.
    pub borne: Tally,
    /// Until when queries are suspect of bringing down replicas.
    pub suspect: f64,
    /// Share of sends that went unanswered: on connections in use, and after a pause.
    pub unanswered: [f64; 2],
    /// Queries by tenant, the same in order of time, and the usual patience of each class.
    pub tenants: BTreeMap<TenantId, Tally>,
    asked: VecDeque<(f64, TenantId)>,
    pub usual: BTreeMap<ClassId, f64>,
}

impl Recent {
    /// Drop what is older than anybody asks for.
    pub fn trim(&mut self, since: f64) {
        for tally in [
            &mut self.taken,
            &mut self.arrived,
            &mut self.copies,
            &mut self.extras,
            &mut self.sends,
            &mut self.borne,
        ] {
            tally.count(since);
        }
        // One that asks no more is forgotten.
        while let Some((_, tenant)) = self.asked.front().copied().filter(|(at, _)| *at < since) {
            self.asked.pop_front();
            if self.tenants.get_mut(&tenant).is_some_and(|tally| tally.count(since) == 0.0) {
                self.tenants.remove(&tenant);
            }
        }
    }

    /// A query of a tenant.
    pub fn ask(&mut self, tenant: TenantId, now: f64) {
        self.tenants.entry(tenant).or_default().add(now);
        self.asked.push_back((now, tenant));
    }
}
