//! Index of open queries, which selects the queries to visit in a round: those that changed, those
//! with a timer due, and those with waiting parts. Also keeps sums over all open queries.
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use super::audit::first_difference;
use super::timer_queue::TimerQueue;
use super::{Part, Query};
use crate::balancer::interface::{PartId, QueryId, QueryNumber};

/// Reasons to visit a query at a certain time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum QueryTimer {
    /// The client's deadline, less the answer margin.
    Deadline,
    /// The latency objective, less the answer margin.
    BeforeObjective,
    /// Just after the latency objective.
    PastObjective,
    /// Just after one of the query's parts was sent to a suspect replica.
    SuspectReplica,
}

const ALL_TIMERS: [QueryTimer; 4] = [
    QueryTimer::Deadline,
    QueryTimer::BeforeObjective,
    QueryTimer::PastObjective,
    QueryTimer::SuspectReplica,
];

/// An index of all open queries and their parts in flight.
#[derive(Default)]
pub struct OpenQueries {
    /// Open queries with the number of their parts in flight.
    in_flight_by_query: BTreeMap<QueryNumber, usize>,
    /// Ids and numbers of the open queries, ordered by id.
    numbers_by_id: BTreeSet<(QueryId, QueryNumber)>,
    not_admitted: BTreeSet<QueryNumber>,
    /// Number of parts in flight over all admitted queries.
    in_flight: usize,
    /// Queries to visit with all their parts.
    changed: BTreeSet<QueryNumber>,
    /// Queries to visit for their waiting parts only.
    with_waiting_parts: BTreeSet<QueryNumber>,
    timers: TimerQueue<(QueryNumber, QueryTimer)>,
    /// Two-step queries in their first step, by latency objective.
    first_steps: TimerQueue<QueryNumber>,
    /// Parts in flight, by the send time of their latest attempt in flight.
    latest_sends: TimerQueue<PartId>,
    /// Parts whose hedge is due, until a visit finds them not late; not contained in
    /// `latest_sends`.
    hedge_due: BTreeSet<PartId>,
    /// Whether queries were suspected in the previous round.
    queries_suspected: bool,
    /// Number of entries visited so far.
    pub entries_visited: usize,
}

impl OpenQueries {
    /// Adds a query that waits for admission; `margin` is the answer margin in seconds.
    pub fn insert(&mut self, number: QueryNumber, query: &Query, margin: f64) {
        self.in_flight_by_query.insert(number, 0);
        self.numbers_by_id.insert((query.id, number));
        self.not_admitted.insert(number);
        self.changed.insert(number);
        self.set_timer(number, QueryTimer::Deadline, query.deadline_at - margin);
        self.set_timer(number, QueryTimer::BeforeObjective, query.objective_at - margin);
        self.set_timer(number, QueryTimer::PastObjective, query.objective_at.next_up());
    }

    /// Removes a finished query, whose parts have been removed before.
    pub fn remove(&mut self, number: QueryNumber, id: QueryId) {
        let counted =
            self.in_flight_by_query.remove(&number).filter(|_| !self.not_admitted.contains(&number));
        self.in_flight -= counted.unwrap_or(0);
        self.numbers_by_id.remove(&(id, number));
        self.not_admitted.remove(&number);
        self.changed.remove(&number);
        self.with_waiting_parts.remove(&number);
        for timer in ALL_TIMERS {
            self.timers.remove((number, timer));
        }
        self.first_steps.remove(number);
    }

    fn set_timer(&mut self, number: QueryNumber, timer: QueryTimer, at: f64) {
        if !at.is_nan() {
            self.timers.set((number, timer), at);
        }
    }

    /// Marks a query as admitted.
    pub fn admit(&mut self, number: QueryNumber) {
        if self.not_admitted.remove(&number) {
            self.in_flight += self.in_flight_by_query.get(&number).copied().unwrap_or(0);
        }
        self.changed.insert(number);
    }

    /// Returns the queries that wait for admission, in order.
    pub fn not_admitted(&mut self) -> Vec<QueryNumber> {
        self.entries_visited += self.not_admitted.len();
        self.not_admitted.iter().copied().collect()
    }

    /// Returns whether no query waits for admission.
    pub fn all_admitted(&self) -> bool {
        self.not_admitted.is_empty()
    }

    /// Returns the number of the first query with this id.
    pub fn number_of(&self, id: QueryId) -> Option<QueryNumber> {
        let first = self.numbers_by_id.range((id, QueryNumber(0))..).next();
        first.filter(|(other, _)| *other == id).map(|(_, number)| *number)
    }

    /// Returns the number of parts in flight over all admitted queries.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the number of parts of a query in flight.
    pub fn in_flight_of(&self, number: QueryNumber) -> usize {
        self.in_flight_by_query.get(&number).copied().unwrap_or(0)
    }

    /// Updates the sums after a change to a part: whether it is in flight, and when its hedge is
    /// due.
    pub fn update_part(&mut self, id: PartId, part: &mut Part) {
        let in_flight = part.attempts.iter().filter(|a| a.is_in_flight() && !part.completed);
        let latest = in_flight.map(|a| a.sent_at).reduce(f64::max);
        self.hedge_due.remove(&id);
        if let Some(latest) = latest {
            self.latest_sends.set(id, latest);
        } else {
            self.latest_sends.remove(id);
        }
        self.set_counted(part, part.uses_capacity());
    }

    fn set_counted(&mut self, part: &mut Part, counted: bool) {
        let added = usize::from(counted);
        let removed = usize::from(part.counted_in_flight);
        part.counted_in_flight = counted;
        if let Some(n) = self.in_flight_by_query.get_mut(&part.number) {
            *n = *n + added - removed;
            if !self.not_admitted.contains(&part.number) {
                self.in_flight = self.in_flight + added - removed;
            }
        }
    }

    /// Removes a dropped part.
    pub fn remove_part(&mut self, id: PartId, mut part: Part) {
        self.latest_sends.remove(id);
        self.hedge_due.remove(&id);
        self.set_counted(&mut part, false);
    }

    /// Records that a visit found a part not late although its hedge was due.
    pub fn record_not_late(&mut self, id: PartId, part: &Part) {
        if self.hedge_due.remove(&id) {
            let sends = part.attempts.iter().filter(|a| a.is_in_flight()).map(|a| a.sent_at);
            self.latest_sends.set(id, sends.fold(f64::NEG_INFINITY, f64::max));
        }
    }

    /// Schedules a visit to a changed query, in this round or, if the round has passed it, in the
    /// next one.
    pub fn mark_changed(&mut self, number: QueryNumber) {
        if self.in_flight_by_query.contains_key(&number) {
            self.changed.insert(number);
        }
    }

    /// Schedules a visit to every open query.
    pub fn mark_all_changed(&mut self) {
        self.changed.extend(self.in_flight_by_query.keys());
        self.entries_visited += self.in_flight_by_query.len();
    }

    /// Schedules a visit to a query after one of its parts was sent to a suspect replica. The part
    /// counts as late there in any later round.
    pub fn record_send_to_suspect(&mut self, number: QueryNumber, now: f64) {
        self.set_timer(number, QueryTimer::SuspectReplica, now.next_up());
    }

    /// Records that a two-step query is in its first step, and its latency objective in seconds.
    pub fn set_first_step(&mut self, number: QueryNumber, objective_at: f64) {
        if self.first_steps.time(number).is_none() && !objective_at.is_nan() {
            self.first_steps.set(number, objective_at);
        }
    }

    /// Marks the queries whose timers are due. `hedge_is_due` takes the send time of a part's
    /// latest attempt and `step_is_due` the latency objective of a first step, both in seconds.
    pub fn mark_due(
        &mut self,
        now: f64,
        queries_suspected: bool,
        hedge_is_due: impl Fn(f64) -> bool,
        step_is_due: impl Fn(f64) -> bool,
        parts: &BTreeMap<PartId, Part>,
    ) {
        if std::mem::replace(&mut self.queries_suspected, queries_suspected) != queries_suspected {
            self.mark_all_changed();
        }
        while let Some((number, _)) = self.timers.pop_due(|at| now >= at) {
            self.mark_changed(number);
            self.entries_visited += 1;
        }
        while let Some(number) = self.first_steps.pop_due(&step_is_due) {
            self.mark_changed(number);
            self.entries_visited += 1;
        }
        while let Some(id) = self.latest_sends.pop_due(&hedge_is_due) {
            self.hedge_due.insert(id);
            if let Some(part) = parts.get(&id) {
                self.mark_changed(part.number);
            }
            self.entries_visited += 1;
        }
    }

    /// Records that a query has waiting parts, so that the next round visits it.
    pub fn set_waiting(&mut self, number: QueryNumber) {
        self.with_waiting_parts.insert(number);
    }

    /// Returns the next query to visit after `after` in this round, and whether it has changed.
    pub fn next_to_visit(&mut self, after: Option<QueryNumber>) -> Option<(QueryNumber, bool)> {
        let range = (after.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded);
        let changed = self.changed.range(range).next().copied();
        let waiting = self.with_waiting_parts.range(range).next().copied();
        let next = [changed, waiting].into_iter().flatten().min()?;
        self.with_waiting_parts.remove(&next);
        Some((next, self.changed.remove(&next)))
    }

    /// Compares the index with a full recount over all queries and parts.
    ///
    /// # Errors
    ///
    /// Returns the name of the first sum or index that differs.
    pub fn check(
        &self,
        queries: &BTreeMap<QueryNumber, Query>,
        parts: &BTreeMap<PartId, Part>,
    ) -> Result<(), &'static str> {
        let parts_of = |query: &Query| query.parts.iter().filter_map(|id| parts.get(id)).collect::<Vec<_>>();
        let in_flight = |query: &Query| parts_of(query).iter().filter(|p| p.uses_capacity()).count();
        let by_query: BTreeMap<_, _> = queries.iter().map(|(number, q)| (*number, in_flight(q))).collect();
        let by_id: BTreeSet<_> = queries.iter().map(|(number, q)| (q.id, *number)).collect();
        let not_admitted = queries.iter().filter(|(_, q)| !q.admitted).map(|(number, _)| *number).collect();
        let sum: usize = queries.values().filter(|q| q.admitted).map(in_flight).sum();
        let indexed: BTreeSet<_> = self.latest_sends.keys().chain(self.hedge_due.iter().copied()).collect();
        let unfinished = parts.iter().filter(|(_, p)| !p.completed && p.is_in_flight());
        let unfinished: BTreeSet<_> = unfinished.map(|(id, _)| *id).collect();
        let disjoint = indexed.len() == self.latest_sends.len() + self.hedge_due.len();
        let values_match = |query: &Query| {
            let completed = parts_of(query).into_iter().filter(|p| p.completed);
            let weights: Vec<f64> = completed.map(|p| p.weight).collect();
            let all_in_range = weights.iter().all(|weight| (0.0..=1.0).contains(weight));
            let sums_match = (query.weight_received - weights.iter().sum::<f64>()).abs() < 1e-9;
            query.values_received == weights.len() && (sums_match || !all_in_range)
        };
        first_difference([
            (queries.values().all(values_match), "values received"),
            (by_query == self.in_flight_by_query, "in flight by query"),
            (by_id == self.numbers_by_id, "numbers by id"),
            (self.not_admitted == not_admitted, "not admitted"),
            (sum == self.in_flight, "in flight"),
            (indexed == unfinished && disjoint, "hedges"),
        ])
    }
}
