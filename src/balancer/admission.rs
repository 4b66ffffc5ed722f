//! Queries as they come in, and which waiting ones are admitted first.
use super::interface::{Action, Class, ClassId, Event, QueryNumber};
use super::state::Query;
use super::{Balancer, RECENT_SECONDS};

/// Step of the running median of how long a class's clients wait, as a share of itself.
const USUAL_TIME_LEFT_STEP: f64 = 0.01;
/// How far under the median, as a share of it, an attempt counts as one that was cut short.
const USUAL_TIME_LEFT_SLACK: f64 = 0.07;
/// Least number of recent queries that a tenant may have within its quota.
const MIN_RECENT_QUOTA: f64 = 2.0;

impl Balancer {
    /// A query comes in, and waits to be admitted. One of a class that is not known fails.
    pub(super) fn accept_query(&mut self, event: &Event) {
        let &Event::Query { query, number, class: class_id, tenant, time_left, is_retry, .. } = event else {
            return;
        };
        self.recent.received.record(self.now);
        let Some(class) = self.settings.classes.get(usize::from(class_id.0)).copied() else {
            return self.actions.push(Action::Fail { query });
        };
        self.recent.record_query(tenant, self.now);
        // A first try, where clients mark retries, has waited for nothing: its client may simply want it
        // soon.
        let is_first_try = self.settings.clients_mark_retries && !is_retry;
        let waited = self.time_already_waited(class_id, &class, time_left) * f64::from(!is_first_try);
        let objective_at = self.now + class.latency_objective - waited;
        let accepted = Query::new(query, (class_id, class), tenant, self.now + time_left, objective_at);
        self.actions.push(Action::Timer { after: (time_left - self.answer_margin).max(0.0) });
        // A number used again while its query is open: the old one still gets its answer.
        if let Some(mut old) = self.queries.remove(&number) {
            self.reject_or_fail(&old);
            self.drop_parts(&mut old);
            self.open_queries.remove(number, old.id);
        }
        self.open_queries.insert(number, &accepted, self.answer_margin);
        self.queries.insert(number, accepted);
    }

    /// Seconds that the client has waited before this try: one that will wait clearly less than usual is
    /// assumed to have waited for the rest of its class's deadline.
    fn time_already_waited(&mut self, class_id: ClassId, class: &Class, time_left: f64) -> f64 {
        let usual = self.recent.usual_time_left.entry(class_id).or_insert(time_left);
        *usual *= if time_left < *usual { 1.0 - USUAL_TIME_LEFT_STEP } else { 1.0 + USUAL_TIME_LEFT_STEP };
        let is_cut_short = time_left < *usual * (1.0 - USUAL_TIME_LEFT_SLACK);
        (class.deadline - time_left).max(0.0) * f64::from(is_cut_short)
    }

    /// Admit waiting queries while the concurrency limit has room, the one with the highest priority for each
    /// of its parts first, then the newest. Nothing of a query that must wait is sent.
    pub(super) fn admit_queries(&mut self) {
        self.initialize_concurrency_limit();
        let waiting = self.open_queries.not_admitted();
        if waiting.is_empty() {
            return;
        }
        let mut order: Vec<(f64, QueryNumber)> =
            waiting.iter().map(|number| (self.priority_per_part(*number), *number)).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
        let mut open = self.open_parts();
        for (_, number) in order {
            let has_capacity = open < self.concurrency.limit;
            if let Some(query) = self.queries.get_mut(&number).filter(|_| has_capacity) {
                query.admitted = true;
                open += query.parts.len() as f64;
                self.open_queries.admit(number);
            }
        }
    }

    /// Priority weight of a query for each of its parts, those of its second step included; a query over our
    /// share of its tenant's quota counts for less.
    fn priority_per_part(&mut self, number: QueryNumber) -> f64 {
        let since = self.now - RECENT_SECONDS;
        let Some(query) = self.queries.get(&number) else { return 0.0 };
        let tenant = self.settings.tenants.get(usize::from(query.tenant.0));
        let quota = tenant.map_or(f64::MAX, |t| t.quota);
        let coordinators = f64::from(self.settings.coordinators.max(1));
        let own_quota = (quota * RECENT_SECONDS / coordinators).max(MIN_RECENT_QUOTA);
        let sent = self.recent.queries_by_tenant.get_mut(&query.tenant);
        let is_over_quota = sent.is_some_and(|window| window.count_since(since) > own_quota);
        let parts = query.parts.len() as f64 + f64::from(query.class.second_step_parts);
        let factor = if is_over_quota { self.settings.over_quota_weight } else { 1.0 };
        query.class.priority_weight / parts.max(1.0) * factor
    }
}
