//! Query arrival and admission: which waiting queries are admitted first when capacity is limited.
use super::interface::{Action, Class, ClassId, Event, QueryNumber};
use super::state::Query;
use super::{Balancer, RECENT_SECONDS};

/// Step by which the running median of a class's remaining client time moves per query, as a
/// fraction of the median.
const USUAL_TIME_LEFT_STEP: f64 = 0.01;
/// A query whose remaining time is below the median by more than this fraction is treated as a late
/// retry: part of its client's deadline has already been spent.
const USUAL_TIME_LEFT_SLACK: f64 = 0.07;
/// Lower bound on the number of recent queries that count as within a tenant's quota.
const MIN_RECENT_QUOTA: f64 = 2.0;

impl Balancer {
    /// Registers a new query, which then waits for admission. Queries of an unknown class fail.
    pub(super) fn accept_query(&mut self, event: &Event) {
        let &Event::Query { query, number, class: class_id, tenant, time_left, is_retry, .. } = event else {
            return;
        };
        self.recent.received.record(self.now);
        let Some(class) = self.settings.classes.get(usize::from(class_id.0)).copied() else {
            return self.actions.push(Action::Fail { query });
        };
        self.recent.record_query(tenant, self.now);
        // Where clients mark retries, a first try has not waited at all; a short remaining time
        // only means that its client asked for a short timeout.
        let is_first_try = self.settings.clients_mark_retries && !is_retry;
        let waited = self.time_already_waited(class_id, &class, time_left) * f64::from(!is_first_try);
        let objective_at = self.now + class.latency_objective - waited;
        let accepted = Query::new(query, (class_id, class), tenant, self.now + time_left, objective_at);
        self.actions.push(Action::Timer { after: (time_left - self.answer_margin).max(0.0) });
        // If the number is reused while its query is still open, the earlier query is rejected or
        // failed first.
        if let Some(mut old) = self.queries.remove(&number) {
            self.reject_or_fail(&old);
            self.drop_parts(&mut old);
            self.open_queries.remove(number, old.id);
        }
        self.open_queries.insert(number, &accepted, self.answer_margin);
        self.queries.insert(number, accepted);
    }

    /// Estimates how many seconds the client has already waited in earlier tries. A query with
    /// clearly less time left than is usual for its class is assumed to have spent the rest of the
    /// class's deadline.
    fn time_already_waited(&mut self, class_id: ClassId, class: &Class, time_left: f64) -> f64 {
        let usual = self.recent.usual_time_left.entry(class_id).or_insert(time_left);
        *usual *= if time_left < *usual { 1.0 - USUAL_TIME_LEFT_STEP } else { 1.0 + USUAL_TIME_LEFT_STEP };
        let is_cut_short = time_left < *usual * (1.0 - USUAL_TIME_LEFT_SLACK);
        (class.deadline - time_left).max(0.0) * f64::from(is_cut_short)
    }

    /// Admits waiting queries while the concurrency limit has room: highest priority per part
    /// first, then newest first. No part of a query is sent before it is admitted.
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

    /// Returns the query's priority weight divided by its number of parts, including those of its
    /// second step. A query beyond this coordinator's share of its tenant's quota is weighted down.
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
