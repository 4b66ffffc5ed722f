//! Queries and parts as they come in, how many parts may be open, and which waiting queries go first.
use super::*;

/// Step of the running median of a class's patience, and how far under it a try counts as cut short.
const USUAL_STEP: f64 = 0.01;
const USUAL_SLACK: f64 = 0.07;
/// Parts open at the start for each replica, the least limit, its step and cut, and seconds after a cut in
/// which its step comes back.
const LIMIT_START: f64 = 6.0;
const LIMIT_LEAST: f64 = 4.0;
const LIMIT_STEP: f64 = 0.3;
const LIMIT_CUT: f64 = 0.85;
const EASED: f64 = 2.0;
/// Expected time of a query over its aim, under which the limit grows and over which it shrinks.
const STRAIN_LOW: f64 = 0.4;
const STRAIN_HIGH: f64 = 0.5;

impl Balancer {
    pub(super) fn take_query(&mut self, event: &Event) {
        let &Event::Query { query, number, class: id, tenant, time_left, is_retry, .. } = event else {
            return;
        };
        self.recent.taken.add(self.now);
        let Some(class) = self.s.classes.get(usize::from(id.0)).copied() else {
            return self.out.push(Action::Fail { query });
        };
        self.recent.ask(tenant, self.now);
        // A first try, where repeats are marked, has waited for nothing: a client may simply want it soon.
        let first_try = self.s.clients_mark_retries && !is_retry;
        let waited = self.waited(id, &class, time_left) * f64::from(u8::from(!first_try));
        let aim = self.now + class.latency_objective - waited;
        let q = Query::new(query, id, class, tenant, self.now + time_left, aim);
        self.out.push(Action::Timer { after: (time_left - self.margin).max(0.0) });
        // A number used again while its query is open: the old one still gets its answer.
        if let Some(mut old) = self.queries.remove(&number) {
            self.give_up(&old);
            self.drop_parts(&mut old);
            self.agenda.leave(number, old.id);
        }
        self.agenda.enter(number, &q, self.margin);
        self.queries.insert(number, q);
    }

    /// How long the client has waited before this try: one that may last clearly less than usual is bounded
    /// by the class's deadline instead.
    fn waited(&mut self, id: ClassId, class: &Class, patience: f64) -> f64 {
        let usual = self.recent.usual.entry(id).or_insert(patience);
        *usual *= if patience < *usual { 1.0 - USUAL_STEP } else { 1.0 + USUAL_STEP };
        let cut = patience < *usual * (1.0 - USUAL_SLACK);
        (class.deadline - patience).max(0.0) * f64::from(u8::from(cut))
    }

    /// Parts that are out, and all of an admitted query on probation: what it holds back comes in one go.
    /// Parts that wait for a retry hold no room.
    pub(super) fn open(&mut self) -> f64 {
        if self.recent.suspect <= self.now {
            return self.agenda.out() as f64;
        }
        self.agenda.through += self.queries.len();
        let room = |(number, q): (&QueryNumber, &Query)| match self.on_probation(q) {
            true => q.parts.len() as f64 * q.class.target_coverage,
            false => self.agenda.out_of(*number) as f64,
        };
        self.queries.iter().filter(|(_, q)| q.admitted).map(room).sum()
    }

    /// The number of parts that may be open grows while they come back well within their class's aim, and
    /// shrinks when they don't or are turned away, once a response time at most.
    pub(super) fn steer(&mut self, part: PartId, outcome: Outcome) {
        let number = self.parts.get(&part).map(|p| p.number);
        let Some(class) = number.and_then(|n| self.queries.get(&n)).map(|q| q.class) else { return };
        let strain = self.expected(&class) / class.latency_objective;
        let worse = outcome == Outcome::Rejected || strain > STRAIN_HIGH;
        if worse && self.now - self.pace.eased > self.pace.typical {
            self.pace.eased = self.now;
            self.pace.limit = (self.pace.limit * LIMIT_CUT).max(LIMIT_LEAST);
        } else if outcome == Outcome::Succeeded && strain < STRAIN_LOW && self.open() > 0.5 * self.pace.limit
        {
            self.pace.limit += LIMIT_STEP * ((self.now - self.pace.eased) / EASED).min(1.0);
        }
    }

    /// Let waiting queries in while there is room, the worthiest for their parts first, then the newest.
    /// Nothing of a query that must wait is sent.
    pub(super) fn admit(&mut self) {
        if self.pace.limit == 0.0 {
            let all = f64::from(self.s.coordinators.max(1));
            self.pace.limit = (self.replica_stats.ready * LIMIT_START / all).max(LIMIT_LEAST);
        }
        let waiting = self.agenda.waiting();
        if waiting.is_empty() {
            return;
        }
        let mut order: Vec<(f64, QueryNumber)> = waiting.iter().map(|n| (self.density(*n), *n)).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
        let mut open = self.open();
        for (_, number) in order {
            if let Some(q) = self.queries.get_mut(&number).filter(|_| open < self.pace.limit) {
                q.admitted = true;
                open += q.parts.len() as f64;
                self.agenda.admit(number);
            }
        }
    }

    /// Worth of a query for each of its parts; what is over our part of a tenant's share counts for less.
    fn density(&mut self, number: QueryNumber) -> f64 {
        let (since, Some(q)) = (self.now - RECENT, self.queries.get(&number)) else { return 0.0 };
        let quota = self.s.tenants.get(usize::from(q.tenant.0)).map_or(f64::MAX, |t| t.quota);
        let share = (quota * RECENT / f64::from(self.s.coordinators.max(1))).max(2.0);
        let over = self.recent.tenants.get_mut(&q.tenant).is_some_and(|t| t.count(since) > share);
        let parts = q.parts.len() as f64 + f64::from(q.class.second_step_parts);
        q.class.priority_weight / parts.max(1.0) * if over { self.s.over_quota_weight } else { 1.0 }
    }
}
