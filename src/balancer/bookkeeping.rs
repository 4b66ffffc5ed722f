//! Keeps the sums and indexes of a [`Balancer`] up to date as events arrive, and determines which
//! queries a round visits. Makes no decisions itself: what a query sends and how it ends is decided
//! in the sibling modules.
use super::interface::{
    Event, Idempotency, LoadReport, Outcome, PartId, QueryId, QueryNumber, ReplicaId, ShardId, ZoneId,
};
use super::state::{InFlightAttempt, Part, Query, QueryDecision, Replica};
use super::{Balancer, HEDGE_AFTER_P90S, RECENT_SECONDS, SLOW_AVERAGE_WEIGHT};

impl Balancer {
    /// Registers a part; a part whose query is not open is dropped.
    pub(crate) fn accept_part(&mut self, event: &Event) {
        let &Event::Part { part, number, shard, weight, prior_attempts, completed } = event else { return };
        self.recent.received.record(self.now);
        self.recent.parts.record(self.now);
        let Some(query) = self.queries.get_mut(&number) else { return };
        query.parts.push(part);
        query.completed_parts += u32::from(completed);
        if completed {
            query.record_value(weight);
        }
        let accepted = Part::new((number, query.class_id), shard, weight, prior_attempts, completed);
        if let Some(old) = self.parts.insert(part, accepted) {
            self.open_queries.remove_part(part, old);
        }
        self.open_queries.mark_changed(number);
    }

    /// Records a replica's load report, if there is one. The request rates of warm replicas
    /// indicate how much one replica can serve.
    pub(crate) fn record_load_report(&mut self, id: ReplicaId, report: Option<LoadReport>) {
        let Some(report) = report else { return };
        let Some(r) = self.replicas.get_mut(&id) else { return };
        r.report = report;
        r.last_report_at = self.now;
        self.replica_index.record_load(id, r.reported_load(), self.now);
        let is_warm = r.warming_up_since(self.now, self.settings.slow_start).is_none();
        if let Some(rate) = report.rate.filter(|rate| is_warm && *rate > 0.0) {
            self.replica_stats.reported_rates.add_sample(rate, SLOW_AVERAGE_WEIGHT);
        }
    }

    /// Records an attempt's outcome on its query: a completed part, or a replica that reset its
    /// connection.
    pub(crate) fn record_query_outcome(&mut self, part: PartId, replica: ReplicaId, outcome: Outcome) {
        let number = self.parts.get(&part).map(|p| p.number);
        let Some(query) = number.and_then(|n| self.queries.get_mut(&n)) else { return };
        query.completed_parts += u32::from(outcome == Outcome::Succeeded);
        if outcome == Outcome::Reset && !query.reset_replicas.contains(&replica) {
            query.reset_replicas.push(replica);
        }
    }

    /// Returns the mean interval, in seconds, between two sends from this coordinator to the same
    /// replica.
    pub(crate) fn send_interval(&mut self) -> f64 {
        let sends = self.recent.sends.count_since(self.now - RECENT_SECONDS);
        RECENT_SECONDS * self.replica_stats.ready / sends.max(1.0)
    }

    /// Returns the number of known replicas, including removed ones that have not been forgotten
    /// yet.
    pub fn known_replicas(&self) -> usize {
        self.replicas.len()
    }

    /// Returns the ready replicas that hold a shard: cell by cell, in order within a cell.
    pub(crate) fn ready_holders(&self, shard: ShardId) -> Vec<ReplicaId> {
        let cells = self.settings.cells;
        let row = (0..self.settings.cells_per_shard.min(cells)).map(|j| (shard.0 % cells + j) % cells);
        let holders = row.flat_map(|cell| self.replica_index.replicas_in_cell(cell));
        holders.filter(|id| self.replicas[id].is_ready()).collect()
    }

    /// Updates the indexes after a change to a part.
    pub(crate) fn update_part(&mut self, id: PartId) {
        if let Some(part) = self.parts.get_mut(&id) {
            self.open_queries.update_part(id, part);
            self.open_queries.mark_changed(part.number);
        }
    }

    /// Records an attempt's outcome and schedules a visit to its query. The visit is skipped if the
    /// outcome is a value that leaves the query far from an answer: the attainable coverage has not
    /// dropped, and nothing more has to be sent for the part.
    pub(crate) fn handle_outcome(&mut self, id: PartId, event: &Event) {
        let before = self.parts.get(&id);
        let was_completed = before.is_none_or(|p| p.completed);
        let was_finished = before.is_none_or(|p| p.finished);
        self.record_attempt_outcome(event);
        let Some(part) = self.parts.get_mut(&id) else { return };
        self.open_queries.update_part(id, part);
        let Some(query) = self.queries.get_mut(&part.number) else { return };
        let delivers_value = part.completed && !was_completed;
        if delivers_value {
            query.record_value(part.weight);
        }
        // The first completed part may end the query's probing phase.
        let changes_nothing = delivers_value
            && !was_finished
            && query.completed_parts > 1
            && query.admitted
            && query.is_far_from_answer();
        if !changes_nothing {
            self.open_queries.mark_changed(part.number);
        }
    }

    /// Records that the value of a part has started to stream to the client.
    pub(crate) fn handle_response_started(&mut self, id: PartId, event: &Event) {
        self.record_response_started(event);
        self.update_part(id);
    }

    /// Records a sent attempt. An attempt sent to a suspect replica is considered late in any later
    /// round. An attempt sent to an ejected zone makes the zone suspect again, which may concern any
    /// query.
    pub(crate) fn record_send(
        &mut self,
        replica: ReplicaId,
        attempt: (PartId, u8),
        in_flight: InFlightAttempt,
    ) {
        let Some(r) = self.replicas.get_mut(&replica) else { return };
        let replaced = r.in_flight.insert(attempt, in_flight);
        self.in_flight.add(in_flight.sent_at, replica, attempt, replaced);
        let r = &self.replicas[&replica];
        let is_suspect =
            r.ejected_until(in_flight.class) > self.now || r.is_unresponsive() || self.is_zone_ejected(r);
        let health = self.replica_stats.zones.get(&r.endpoint.zone);
        if health.is_some_and(|health| health.ejected_until.is_some()) {
            self.open_queries.mark_all_changed();
        }
        let Some(part) = self.parts.get_mut(&attempt.0) else { return };
        self.open_queries.update_part(attempt.0, part);
        if is_suspect {
            self.open_queries.record_send_to_suspect(part.number, self.now);
        }
    }

    /// Removes an ended attempt from its replica's in-flight attempts and returns it, if it was
    /// there.
    pub(crate) fn remove_in_flight(
        &mut self,
        replica: ReplicaId,
        attempt: (PartId, u8),
    ) -> Option<InFlightAttempt> {
        let in_flight = self.replicas.get_mut(&replica).and_then(|r| r.in_flight.remove(&attempt))?;
        self.in_flight.remove(in_flight.sent_at, replica, attempt);
        Some(in_flight)
    }

    /// Marks the queries with parts in flight at a replica that has become suspect.
    pub(crate) fn mark_queries_at(&mut self, id: ReplicaId) {
        let Some(r) = self.replicas.get(&id) else { return };
        for (part, _) in r.in_flight.keys() {
            if let Some(part) = self.parts.get(part) {
                self.open_queries.mark_changed(part.number);
            }
            self.open_queries.entries_visited += 1;
        }
    }

    /// Handles a listed replica whose previous zone was `old_zone`: its in-flight attempts may now
    /// count against another zone.
    pub(crate) fn record_zone_change(&mut self, id: ReplicaId, old_zone: ZoneId) {
        let has_moved = |r: &Replica| r.endpoint.zone != old_zone;
        if self.replicas.get(&id).is_some_and(|r| has_moved(r) && !r.in_flight.is_empty()) {
            self.in_flight.record_zone_change(id);
            self.open_queries.mark_all_changed();
        }
    }

    /// Drops a query whose client has disconnected.
    pub(crate) fn handle_client_disconnected(&mut self, id: QueryId) {
        let Some(number) = self.open_queries.number_of(id) else { return };
        if let Some(mut query) = self.queries.remove(&number) {
            self.drop_parts(&mut query);
            self.open_queries.remove(number, id);
        }
    }

    /// Visits a query. If nothing has happened to it, only its waiting parts are visited, unless
    /// the mere passing of time can make it hopeless or the coverage of its other parts determines
    /// how many parts to send.
    fn visit_query(&mut self, number: QueryNumber, has_changed: bool) {
        let Some(mut query) = self.queries.remove(&number) else { return };
        let is_keyed = matches!(query.class.idempotency, Idempotency::Keyed { .. });
        let may_be_partial = query.is_in_first_step() && query.class.target_coverage < 1.0;
        let visits_all = has_changed || is_keyed || may_be_partial || self.is_probing(&query);
        let waiting = std::mem::take(&mut query.waiting_parts);
        let ids = if visits_all { query.parts.clone() } else { waiting };
        self.open_queries.entries_visited += 1 + ids.len();
        let decision = if visits_all { self.evaluate(&mut query) } else { QueryDecision::Continue };
        if decision != QueryDecision::Continue {
            self.drop_parts(&mut query);
        } else if query.admitted {
            query.waiting_parts = self.send_needed(&query, &ids);
        }
        self.schedule_visit(number, &query, decision);
        if decision == QueryDecision::Finish {
            self.open_queries.remove(number, query.id);
        } else {
            self.queries.insert(number, query);
        }
    }

    /// Schedules the next visit of a query that has just been visited.
    fn schedule_visit(&mut self, number: QueryNumber, query: &Query, decision: QueryDecision) {
        if decision == QueryDecision::Continue && !self.depends_only_on_own_events(query) {
            self.open_queries.mark_changed(number);
        } else if !query.waiting_parts.is_empty() {
            self.open_queries.set_waiting(number);
        }
        let has_second_step = query.is_in_first_step() && query.class.second_step_parts > 0;
        if has_second_step && self.now < query.objective_at - HEDGE_AFTER_P90S * self.latency.p90 {
            self.open_queries.set_first_step(number, query.objective_at);
        }
    }

    /// Returns whether only the query's own events can change its prospects, which holds once it is
    /// admitted and one of its parts has been sent.
    fn depends_only_on_own_events(&self, query: &Query) -> bool {
        let is_sent = |id: &PartId| self.parts.get(id).is_some_and(|p| !p.attempts.is_empty());
        query.admitted && (!query.is_in_first_step() || query.parts.iter().any(is_sent))
    }

    /// Visits the queries that changed or have a timer due, in order of their numbers.
    pub(crate) fn visit_queries(&mut self) {
        let now = self.now;
        let hedge_after = HEDGE_AFTER_P90S * self.latency.p90;
        let stalled = self.replica_stats.stalled;
        let hedge_is_due = |sent_at: f64| !stalled && now - sent_at > hedge_after;
        let step_is_due = |objective_at: f64| now >= objective_at - hedge_after;
        let queries_suspected = self.recent.queries_suspected_until > now;
        self.open_queries.mark_due(now, queries_suspected, hedge_is_due, step_is_due, &self.parts);
        let mut last = None;
        while let Some((number, has_changed)) = self.open_queries.next_to_visit(last) {
            last = Some(number);
            self.visit_query(number, has_changed);
        }
    }

    /// Cancels and drops all parts of the query's current step.
    pub(crate) fn drop_parts(&mut self, query: &mut Query) {
        query.values_received = 0;
        query.weight_received = 0.0;
        for id in std::mem::take(&mut query.parts) {
            self.cancel_attempts(id, None);
            if let Some(part) = self.parts.remove(&id) {
                self.open_queries.remove_part(id, part);
            }
        }
    }
}
