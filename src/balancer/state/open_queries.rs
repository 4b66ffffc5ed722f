//! Which open queries a round visits: those that something happened to, those that a time has come for, and
//! those that were left waiting for what may change at any time. And sums over all of them.
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use super::audit::first_difference;
use super::timer_queue::TimerQueue;
use super::{Part, Query};
use crate::balancer::interface::{PartId, QueryId, QueryNumber};

/// Times at which a query is visited.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum QueryTimer {
    /// Its client's deadline, less the margin.
    Deadline,
    /// Its latency objective, less the margin.
    BeforeObjective,
    /// Just after its latency objective.
    PastObjective,
    /// Just after one of its parts went to a suspect replica.
    SuspectReplica,
}

const ALL_TIMERS: [QueryTimer; 4] = [
    QueryTimer::Deadline,
    QueryTimer::BeforeObjective,
    QueryTimer::PastObjective,
    QueryTimer::SuspectReplica,
];

/// An index of all open queries and of their parts in flight.
#[derive(Default)]
pub struct OpenQueries {
    /// Open queries, each with how many of its parts are in flight.
    in_flight_by_query: BTreeMap<QueryNumber, usize>,
    /// The same queries by their id.
    numbers_by_id: BTreeSet<(QueryId, QueryNumber)>,
    not_admitted: BTreeSet<QueryNumber>,
    /// Parts in flight of all admitted queries.
    in_flight: usize,
    /// To be visited as a whole.
    changed: BTreeSet<QueryNumber>,
    /// To be visited for their waiting parts.
    with_waiting_parts: BTreeSet<QueryNumber>,
    timers: TimerQueue<(QueryNumber, QueryTimer)>,
    /// Queries of two steps that are in their first one, by their latency objective.
    first_steps: TimerQueue<QueryNumber>,
    /// Parts in flight, by when the last attempt that is in flight for them was sent.
    latest_sends: TimerQueue<PartId>,
    /// Those parts whose hedge was due, until it proves not to be; they are not in `latest_sends`.
    hedge_due: BTreeSet<PartId>,
    /// Whether queries were suspected in the last round.
    queries_suspected: bool,
    /// Entries gone through so far.
    pub entries_visited: usize,
}

impl OpenQueries {
    /// A query came in and waits to be admitted; `margin` is in seconds.
    pub fn insert(&mut self, number: QueryNumber, query: &Query, margin: f64) {
        self.in_flight_by_query.insert(number, 0);
        self.numbers_by_id.insert((query.id, number));
        self.not_admitted.insert(number);
        self.changed.insert(number);
        self.set_timer(number, QueryTimer::Deadline, query.deadline_at - margin);
        self.set_timer(number, QueryTimer::BeforeObjective, query.objective_at - margin);
        self.set_timer(number, QueryTimer::PastObjective, query.objective_at.next_up());
    }

    /// A query is finished; its parts were removed before.
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

    /// A query is admitted.
    pub fn admit(&mut self, number: QueryNumber) {
        if self.not_admitted.remove(&number) {
            self.in_flight += self.in_flight_by_query.get(&number).copied().unwrap_or(0);
        }
        self.changed.insert(number);
    }

    /// The queries that are not admitted, in order.
    pub fn not_admitted(&mut self) -> Vec<QueryNumber> {
        self.entries_visited += self.not_admitted.len();
        self.not_admitted.iter().copied().collect()
    }

    /// Whether no query waits to be admitted.
    pub fn all_admitted(&self) -> bool {
        self.not_admitted.is_empty()
    }

    /// The number of the first query of this id.
    pub fn number_of(&self, id: QueryId) -> Option<QueryNumber> {
        let first = self.numbers_by_id.range((id, QueryNumber(0))..).next();
        first.filter(|(other, _)| *other == id).map(|(_, number)| *number)
    }

    /// How many parts of admitted queries are in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// How many parts of one query are in flight.
    pub fn in_flight_of(&self, number: QueryNumber) -> usize {
        self.in_flight_by_query.get(&number).copied().unwrap_or(0)
    }

    /// Update the sums by a part as it now is: whether it is in flight, and when its hedge is due.
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
        let more = usize::from(counted);
        let less = usize::from(part.counted_in_flight);
        part.counted_in_flight = counted;
        if let Some(n) = self.in_flight_by_query.get_mut(&part.number) {
            *n = *n + more - less;
            if !self.not_admitted.contains(&part.number) {
                self.in_flight = self.in_flight + more - less;
            }
        }
    }

    /// A part was dropped.
    pub fn remove_part(&mut self, id: PartId, mut part: Part) {
        self.latest_sends.remove(id);
        self.hedge_due.remove(&id);
        self.set_counted(&mut part, false);
    }

    /// A part is not late, though its hedge was due.
    pub fn record_not_late(&mut self, id: PartId, part: &Part) {
        if self.hedge_due.remove(&id) {
            let sends = part.attempts.iter().filter(|a| a.is_in_flight()).map(|a| a.sent_at);
            self.latest_sends.set(id, sends.fold(f64::NEG_INFINITY, f64::max));
        }
    }

    /// Something happened to a query: visit it in this round, or the next one if its turn is over.
    pub fn mark_changed(&mut self, number: QueryNumber) {
        if self.in_flight_by_query.contains_key(&number) {
            self.changed.insert(number);
        }
    }

    /// Something happened that may concern any query.
    pub fn mark_all_changed(&mut self) {
        self.changed.extend(self.in_flight_by_query.keys());
        self.entries_visited += self.in_flight_by_query.len();
    }

    /// One of its parts went to a suspect replica: it is late as soon as time goes on.
    pub fn record_send_to_suspect(&mut self, number: QueryNumber, now: f64) {
        self.set_timer(number, QueryTimer::SuspectReplica, now.next_up());
    }

    /// The query is in the first one of two steps, which is due by its latency objective, in seconds.
    pub fn set_first_step(&mut self, number: QueryNumber, objective_at: f64) {
        if self.first_steps.time(number).is_none() && !objective_at.is_nan() {
            self.first_steps.set(number, objective_at);
        }
    }

    /// Mark the queries whose time has come. `hedge_is_due` tells it of a part by its last send, and
    /// `step_is_due` of a first step by its latency objective, both in seconds.
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

    /// A query has waiting parts: it is visited in the next round too.
    pub fn set_waiting(&mut self, number: QueryNumber) {
        self.with_waiting_parts.insert(number);
    }

    /// The next query to visit in this round, after that one; and whether something happened to it.
    pub fn next_to_visit(&mut self, after: Option<QueryNumber>) -> Option<(QueryNumber, bool)> {
        let range = (after.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded);
        let changed = self.changed.range(range).next().copied();
        let waiting = self.with_waiting_parts.range(range).next().copied();
        let next = [changed, waiting].into_iter().flatten().min()?;
        self.with_waiting_parts.remove(&next);
        Some((next, self.changed.remove(&next)))
    }

    /// Compares with a fresh count over all queries and parts.
    ///
    /// # Errors
    ///
    /// The name of the first sum or index that differs.
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
        let hedged: BTreeSet<_> = self.latest_sends.keys().chain(self.hedge_due.iter().copied()).collect();
        let unfinished = parts.iter().filter(|(_, p)| !p.completed && p.is_in_flight());
        let unfinished: BTreeSet<_> = unfinished.map(|(id, _)| *id).collect();
        let disjoint = hedged.len() == self.latest_sends.len() + self.hedge_due.len();
        let values_match = |query: &Query| {
            let completed = parts_of(query).into_iter().filter(|p| p.completed);
            let weights: Vec<f64> = completed.map(|p| p.weight).collect();
            let shares = weights.iter().all(|weight| (0.0..=1.0).contains(weight));
            let same = (query.weight_received - weights.iter().sum::<f64>()).abs() < 1e-9;
            query.values_received == weights.len() && (same || !shares)
        };
        first_difference([
            (queries.values().all(values_match), "values received"),
            (by_query == self.in_flight_by_query, "in flight by query"),
            (by_id == self.numbers_by_id, "numbers by id"),
            (self.not_admitted == not_admitted, "not admitted"),
            (sum == self.in_flight, "in flight"),
            (hedged == unfinished && disjoint, "hedges"),
        ])
    }
}
