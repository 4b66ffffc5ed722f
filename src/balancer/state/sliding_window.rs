//! Sliding windows over recent events.
use std::collections::{BTreeMap, VecDeque};

use crate::balancer::interface::{ClassId, TenantId};

/// Times of recent events of one kind, in ascending order.
#[derive(Default)]
pub struct SlidingWindow(VecDeque<f64>);

impl SlidingWindow {
    /// Records an event at `now`, in seconds, which must not be earlier than the last one.
    pub fn record(&mut self, now: f64) {
        self.0.push_back(now);
    }

    /// Records an event at `now` and drops events more than `seconds` older.
    pub fn record_and_trim(&mut self, now: f64, seconds: f64) {
        self.record(now);
        self.count_since(now - seconds);
    }

    /// Returns the number of retained events, as of the last trim.
    pub fn retained(&self) -> f64 {
        self.0.len() as f64
    }

    /// Returns the number of events since `since`. Earlier events are dropped, so later calls
    /// cannot look further back.
    pub fn count_since(&mut self, since: f64) -> f64 {
        while self.0.front().is_some_and(|t| *t < since) {
            self.0.pop_front();
        }
        self.0.len() as f64
    }
}

/// Events of the recent past.
#[derive(Default)]
pub struct RecentActivity {
    /// Received queries and parts.
    pub received: SlidingWindow,
    /// Received parts.
    pub parts: SlidingWindow,
    /// Clones sent to the second replica of an idle pair.
    pub clones: SlidingWindow,
    /// Attempts that count against the retry budget.
    pub extra_attempts: SlidingWindow,
    /// All attempts sent.
    pub sends: SlidingWindow,
    /// Health checks sent.
    pub health_checks: SlidingWindow,
    /// Parts completed by warm replicas.
    pub warm_completions: SlidingWindow,
    /// End of the time, in seconds, during which queries are suspected of crashing replicas.
    pub queries_suspected_until: f64,
    /// Moving averages of the fraction of unanswered sends: on connections in use, and on
    /// previously idle ones.
    pub unanswered_share: [f64; 2],
    /// Received queries by tenant.
    pub queries_by_tenant: BTreeMap<TenantId, SlidingWindow>,
    /// Arrival times and tenants of the queries in `queries_by_tenant`, in order of arrival.
    tenant_arrivals: VecDeque<(f64, TenantId)>,
    /// Running median of the time clients are willing to wait, by class, in seconds.
    pub usual_time_left: BTreeMap<ClassId, f64>,
}

impl RecentActivity {
    /// Drops events before `since`, which are not counted any more, and tenants without queries since
    /// then.
    pub fn trim(&mut self, since: f64) {
        let windows = [
            &mut self.received,
            &mut self.parts,
            &mut self.clones,
            &mut self.extra_attempts,
            &mut self.sends,
            &mut self.warm_completions,
        ];
        for window in windows {
            window.count_since(since);
        }
        while let Some((_, tenant)) = self.tenant_arrivals.front().copied().filter(|(at, _)| *at < since) {
            self.tenant_arrivals.pop_front();
            if self.queries_by_tenant.get_mut(&tenant).is_some_and(|window| window.count_since(since) == 0.0)
            {
                self.queries_by_tenant.remove(&tenant);
            }
        }
    }

    /// Records a query of a tenant.
    pub fn record_query(&mut self, tenant: TenantId, now: f64) {
        self.queries_by_tenant.entry(tenant).or_default().record(now);
        self.tenant_arrivals.push_back((now, tenant));
    }
}
