//! Progress of open queries: whether a query is answered or given up, and which attempts it still
//! needs.
use super::interface::{Action, Class, Idempotency, PartId};
use super::latency::width_factor;
use super::state::{Attempt, AttemptReason, Part, Query, QueryDecision};
use super::{Balancer, HEDGE_AFTER_P90S};

/// Tolerance in comparisons of summed weights.
const WEIGHT_TOLERANCE: f64 = 5e-5;
/// Factor applied to the expected query time where traffic is sparse: the estimate then derives from
/// few samples, and half of the queries take longer.
const SPARSE_TIME_FACTOR: f64 = 2.0;
/// Upper bound on a recorded query time, as a multiple of the latency objective. At this value no
/// query is expected to meet its objective, so a larger value would carry no further information.
const MAX_RECORDED_OBJECTIVES: f64 = 2.0;

/// Coverage of a query's current step, as fractions of its weight.
struct Coverage {
    /// Weight of the completed parts.
    received: f64,
    /// Weight of the parts that are completed or can still be.
    attainable: f64,
    /// Whether there are parts and all of them are completed.
    all_completed: bool,
}

/// What the attempts made so far imply for a query's current step.
struct StepProspects {
    /// Whether enough parts are completed for a complete answer.
    is_complete: bool,
    /// Whether the step is to be answered now, completely or partially.
    is_answerable: bool,
    /// Whether no answer of any value can be reached any more.
    is_lost: bool,
    /// Whether nothing has been sent and the step is not expected to meet the latency objective.
    cannot_meet_objective: bool,
    /// When this coordinator sent the step's first attempt, in seconds; infinite if there is none.
    first_sent_at: f64,
    /// Expected duration relative to a narrow query.
    width_factor: f64,
}

impl Balancer {
    /// Decides whether the query's current step is answered, given up or continued. A complete step
    /// is answered immediately. A partial answer is given if waiting would miss the latency objective
    /// or nothing more can arrive. The query is given up if its time is up, it cannot succeed, or its
    /// answer would have no value.
    pub(crate) fn evaluate(&mut self, query: &mut Query) -> QueryDecision {
        let is_first_step = query.is_in_first_step();
        let is_over = self.now >= query.deadline_at - self.answer_margin;
        if !is_first_step && query.parts.is_empty() && !is_over {
            return QueryDecision::Continue;
        }
        let prospects = self.prospects(query, is_over);
        let is_finished = prospects.is_answerable || prospects.is_lost;
        if is_first_step && prospects.first_sent_at < self.now && is_finished {
            self.record_step_time(&query.class, &prospects);
        }
        if prospects.is_answerable {
            let has_second_step = is_first_step && query.class.second_step_parts > 0;
            let complete = prospects.is_complete && query.first_step_complete.unwrap_or(true);
            self.actions.push(Action::Answer { query: query.id, complete });
            query.first_step_complete = Some(complete);
            return if has_second_step { QueryDecision::StartSecondStep } else { QueryDecision::Finish };
        }
        if prospects.is_lost || self.is_query_of_death(query) || prospects.cannot_meet_objective {
            self.reject_or_fail(query);
            return QueryDecision::Finish;
        }
        QueryDecision::Continue
    }

    fn prospects(&self, query: &Query, is_over: bool) -> StepProspects {
        let class = query.class;
        let is_first_step = query.is_in_first_step();
        let parts: Vec<&Part> = query.parts.iter().filter_map(|id| self.parts.get(id)).collect();
        let coverage = self.coverage(&class, &parts);
        let target = query.target_coverage();
        let min_coverage =
            if class.min_coverage < class.target_coverage { class.min_coverage } else { target };
        let reaches_target = is_first_step && coverage.received >= target - WEIGHT_TOLERANCE;
        let is_complete = coverage.all_completed || reaches_target;
        let has_second_step = is_first_step && class.second_step_parts > 0;
        let reserve = if has_second_step { HEDGE_AFTER_P90S * self.latency.p90 } else { self.answer_margin };
        let nothing_to_wait_for = is_over
            || self.now >= query.objective_at - reserve
            || coverage.attainable <= coverage.received + WEIGHT_TOLERANCE;
        let partial_is_enough = min_coverage < target
            && coverage.received >= min_coverage - WEIGHT_TOLERANCE
            && coverage.received > 0.0
            && nothing_to_wait_for;
        let has_no_value = self.has_no_value(query, &parts);
        let sent = parts.iter().flat_map(|p| &p.attempts).map(Attempt::own_sent_at);
        StepProspects {
            is_complete,
            is_answerable: is_complete || partial_is_enough,
            is_lost: is_over || has_no_value || coverage.attainable < min_coverage - WEIGHT_TOLERANCE,
            cannot_meet_objective: self.cannot_meet_objective(query, &parts),
            first_sent_at: sent.fold(f64::INFINITY, f64::min),
            width_factor: width_factor(parts.len()),
        }
    }

    fn coverage(&self, class: &Class, parts: &[&Part]) -> Coverage {
        let received = parts.iter().filter(|p| p.completed).map(|p| p.weight).sum();
        let is_unattainable = |p: &Part| {
            !p.completed && !p.is_in_flight() && p.is_started() && !self.may_attempt_again(class, p)
        };
        let attainable = parts.iter().filter(|p| !is_unattainable(p)).map(|p| p.weight).sum();
        let all_completed = !parts.is_empty() && parts.iter().all(|p| p.completed);
        Coverage { received, attainable, all_completed }
    }

    /// Returns whether nothing of the query has been sent and it is not expected to meet its
    /// latency objective.
    fn cannot_meet_objective(&self, query: &Query, parts: &[&Part]) -> bool {
        let is_started = !query.is_in_first_step() || parts.iter().any(|p| !p.attempts.is_empty());
        let expected =
            self.time_factor() * width_factor(parts.len()) * self.expected_query_time(&query.class);
        !is_started && query.objective_at > self.now && self.now + expected > query.objective_at
    }

    /// Returns whether the query has passed its latency objective, a late answer has no value, and
    /// no value has started to stream.
    fn has_no_value(&self, query: &Query, parts: &[&Part]) -> bool {
        let is_streaming = parts.iter().any(|p| p.finished && p.is_in_flight());
        query.is_in_first_step()
            && self.now > query.objective_at
            && query.class.late_weight <= 0.0
            && !is_streaming
    }

    fn time_factor(&self) -> f64 {
        if self.replica_stats.sparse {
            SPARSE_TIME_FACTOR
        } else {
            1.0
        }
    }

    /// Records the duration of a query. A query that is given up counts with at least its latency
    /// objective.
    fn record_step_time(&mut self, class: &Class, prospects: &StepProspects) {
        let shortest = if prospects.is_answerable { 0.0 } else { class.latency_objective };
        let longest = MAX_RECORDED_OBJECTIVES / self.time_factor() * class.latency_objective;
        let elapsed = (self.now - prospects.first_sent_at).clamp(shortest, longest);
        self.record_query_time(elapsed / prospects.width_factor);
    }

    /// Ends a query without an answer: rejects it if a retry is harmless, fails it otherwise.
    pub(super) fn reject_or_fail(&mut self, query: &Query) {
        let parts = query.parts.iter().filter_map(|id| self.parts.get(id));
        let may_have_run =
            !query.is_in_first_step() || parts.flat_map(|p| &p.attempts).any(|a| !a.never_ran());
        let is_repeatable = query.class.idempotency == Idempotency::Idempotent || !may_have_run;
        let query = query.id;
        self.actions.push(if is_repeatable {
            Action::Reject { query, retry_after: self.settings.retry_after }
        } else {
            Action::Fail { query }
        });
    }

    /// Sends what the query still needs: first attempts of unstarted parts up to the target
    /// coverage, then further attempts of late parts. `ids` contains either all parts of the query
    /// or only the waiting ones; the latter is allowed if none of them depends on the coverage of
    /// the others. Returns the parts that wait for something that may change at any time: an
    /// eligible replica, or permission for another attempt.
    pub(crate) fn send_needed(&mut self, query: &Query, ids: &[PartId]) -> Vec<PartId> {
        let sorted = self.sort_parts(ids);
        // A part without attempts left does not count as tried. Otherwise a probing query would wait
        // for it, start no other part, and use capacity until its deadline.
        let may_complete = |p: &Part| p.is_in_flight() || self.may_attempt_again(&query.class, p);
        let late_ids = sorted.late.iter().map(|(id, _)| *id);
        let mut waiting: Vec<_> =
            late_ids.filter(|id| self.parts.get(id).is_some_and(may_complete)).collect();
        let mut covered = sorted.covered;
        let mut has_tried = covered > 0.0 || !waiting.is_empty();
        let is_probing = self.is_probing(query);
        let target = query.target_coverage();
        for id in sorted.unstarted {
            let is_covered = covered >= target - WEIGHT_TOLERANCE && target < 1.0;
            if is_covered || (is_probing && has_tried) {
                break;
            }
            self.send_first_attempt(query, id);
            if let Some(part) = self.parts.get(&id).filter(|p| !p.attempts.is_empty()) {
                covered += part.weight;
                has_tried = true;
            } else {
                waiting.push(id);
            }
        }
        for (id, reason) in sorted.late {
            if covered < target - WEIGHT_TOLERANCE || target >= 1.0 {
                self.retry_or_hedge(&query.class, id, reason);
            }
        }
        waiting
    }

    /// Groups parts by what they need. Unstarted parts are sorted by cell, so that neighbouring
    /// parts share calls.
    fn sort_parts(&mut self, ids: &[PartId]) -> SortedParts {
        let mut unstarted = Vec::new();
        let mut covered = 0.0;
        let mut late = Vec::new();
        for id in ids {
            let Some(part) = self.parts.get(id) else { continue };
            if !part.is_started() {
                unstarted.push((part.shard.0 % self.settings.cells, *id));
            } else if let Some(reason) = self.late_reason(part) {
                late.push((*id, reason));
            } else {
                covered += part.weight;
                self.open_queries.record_not_late(*id, part);
            }
        }
        unstarted.sort();
        SortedParts { unstarted: unstarted.into_iter().map(|(_, id)| id).collect(), late, covered }
    }
}

/// Parts of a query, grouped by what they need.
struct SortedParts {
    /// Parts that need a first attempt, in sending order.
    unstarted: Vec<PartId>,
    /// Parts that need another attempt, with the reason.
    late: Vec<(PartId, AttemptReason)>,
    /// Total weight of all other parts.
    covered: f64,
}
