//! Counts of recent events.
use std::collections::{BTreeMap, VecDeque};

use crate::balancer::interface::{ClassId, TenantId};

/// Times of recent events of one sort, in order.
#[derive(Default)]
pub struct SlidingWindow(VecDeque<f64>);

impl SlidingWindow {
    /// An event happened at `now`, in seconds, which is not before any earlier one.
    pub fn record(&mut self, now: f64) {
        self.0.push_back(now);
    }

    /// An event happened at `now`; drops what is more than so many seconds older.
    pub fn record_and_trim(&mut self, now: f64, seconds: f64) {
        self.record(now);
        self.count_since(now - seconds);
    }

    /// How many events are retained, as last trimmed.
    pub fn retained(&self) -> f64 {
        self.0.len() as f64
    }

    /// How many events happened since a time. Drops the earlier ones: a later call can't look further back.
    pub fn count_since(&mut self, since: f64) -> f64 {
        while self.0.front().is_some_and(|t| *t < since) {
            self.0.pop_front();
        }
        self.0.len() as f64
    }
}

/// What came in and went out lately.
#[derive(Default)]
pub struct RecentActivity {
    /// Queries and parts that came in.
    pub received: SlidingWindow,
    /// Parts that came in.
    pub parts: SlidingWindow,
    /// Clones that were sent to the second one of an idle pair.
    pub clones: SlidingWindow,
    /// Attempts that count against the retry budget.
    pub extra_attempts: SlidingWindow,
    /// All attempts.
    pub sends: SlidingWindow,
    /// Health checks that were sent.
    pub health_checks: SlidingWindow,
    /// Parts that warm replicas completed.
    pub warm_completions: SlidingWindow,
    /// Until when queries are suspected of bringing down replicas, in seconds.
    pub queries_suspected_until: f64,
    /// Moving shares of sends that went unanswered: on connections in use, and on ones idle before.
    pub unanswered_share: [f64; 2],
    /// Queries by tenant.
    pub queries_by_tenant: BTreeMap<TenantId, SlidingWindow>,
    /// The same in the order of time.
    tenant_arrivals: VecDeque<(f64, TenantId)>,
    /// The running median of how long clients wait, by class, in seconds.
    pub usual_time_left: BTreeMap<ClassId, f64>,
}

impl RecentActivity {
    /// Drop what is older than any reader counts, and tenants that sent nothing since.
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

    /// A query of a tenant came in.
    pub fn record_query(&mut self, tenant: TenantId, now: f64) {
        self.queries_by_tenant.entry(tenant).or_default().record(now);
        self.tenant_arrivals.push_back((now, tenant));
    }
}
