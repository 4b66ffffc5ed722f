//! An open query: answered, given up, or what it still needs sent.
use super::interface::{Action, Class, Idempotency, PartId};
use super::latency::width_factor;
use super::state::{Attempt, AttemptReason, Part, Query, QueryDecision};
use super::{Balancer, HEDGE_AFTER_P90S};

/// Slack of sums of weights.
const WEIGHT_TOLERANCE: f64 = 5e-5;
/// How many times its expected time a query has to have left, where that is known of few: half take longer.
const SPARSE_TIME_FACTOR: f64 = 2.0;
/// The longest time that is recorded of a query, as a multiple of its latency objective: where that leaves no
/// hope, more says no more.
const MAX_RECORDED_OBJECTIVES: f64 = 2.0;

/// What the parts of a query's step bring, as shares of its weight.
struct Coverage {
    /// Weight of the parts that are completed.
    received: f64,
    /// Weight of the parts that are completed or may still be.
    attainable: f64,
    /// Whether there are parts and all are completed.
    all_completed: bool,
}

/// How a query's step stands.
struct StepProspects {
    /// Enough parts are in for a complete answer.
    is_complete: bool,
    /// It is to be answered now, completely or in part.
    is_answerable: bool,
    /// No answer can come of it any more, or none that is worth anything.
    is_lost: bool,
    /// Nothing of it was sent, and as parts go now it can't be done within its latency objective.
    cannot_meet_objective: bool,
    /// When its first attempt of ours was sent, in seconds; infinite if none was.
    first_sent_at: f64,
    /// How many times a narrow query's time it takes.
    width_factor: f64,
}

impl Balancer {
    /// Answer the query, or its step, at once when it is complete; in part when waiting would miss the
    /// latency objective, or nothing more can come. End it when its time is up, or it can't succeed, or has
    /// no value.
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
        let least = if class.min_coverage < class.target_coverage { class.min_coverage } else { target };
        let reaches_target = is_first_step && coverage.received >= target - WEIGHT_TOLERANCE;
        let is_complete = coverage.all_completed || reaches_target;
        let has_second_step = is_first_step && class.second_step_parts > 0;
        let reserve = if has_second_step { HEDGE_AFTER_P90S * self.latency.p90 } else { self.answer_margin };
        let nothing_to_wait_for = is_over
            || self.now >= query.objective_at - reserve
            || coverage.attainable <= coverage.received + WEIGHT_TOLERANCE;
        let partial_is_enough = least < target
            && coverage.received >= least - WEIGHT_TOLERANCE
            && coverage.received > 0.0
            && nothing_to_wait_for;
        let has_no_value = self.has_no_value(query, &parts);
        let sent = parts.iter().flat_map(|p| &p.attempts).map(Attempt::own_sent_at);
        StepProspects {
            is_complete,
            is_answerable: is_complete || partial_is_enough,
            is_lost: is_over || has_no_value || coverage.attainable < least - WEIGHT_TOLERANCE,
            cannot_meet_objective: self.cannot_meet_objective(query, &parts),
            first_sent_at: sent.fold(f64::INFINITY, f64::min),
            width_factor: width_factor(parts.len()),
        }
    }

    fn coverage(&self, class: &Class, parts: &[&Part]) -> Coverage {
        let received = parts.iter().filter(|p| p.completed).map(|p| p.weight).sum();
        let is_dead = |p: &Part| {
            !p.completed && !p.is_in_flight() && p.is_started() && !self.may_attempt_again(class, p)
        };
        let attainable = parts.iter().filter(|p| !is_dead(p)).map(|p| p.weight).sum();
        let all_completed = !parts.is_empty() && parts.iter().all(|p| p.completed);
        Coverage { received, attainable, all_completed }
    }

    /// Whether nothing of a query was sent, and as parts go now it takes longer than to its objective.
    fn cannot_meet_objective(&self, query: &Query, parts: &[&Part]) -> bool {
        let is_started = !query.is_in_first_step() || parts.iter().any(|p| !p.attempts.is_empty());
        let takes = self.time_factor() * width_factor(parts.len()) * self.expected_query_time(&query.class);
        !is_started && query.objective_at > self.now && self.now + takes > query.objective_at
    }

    /// Whether a query is past its objective, an answer after that is worth nothing, and none has started to
    /// go out.
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

    /// Record how long a query took. One that is given up counts with its latency objective at least.
    fn record_step_time(&mut self, class: &Class, prospects: &StepProspects) {
        let least = if prospects.is_answerable { 0.0 } else { class.latency_objective };
        let most = MAX_RECORDED_OBJECTIVES / self.time_factor() * class.latency_objective;
        let elapsed = (self.now - prospects.first_sent_at).clamp(least, most);
        self.record_query_time(elapsed / prospects.width_factor);
    }

    /// The final answer of a query that brings nothing: rejected where trying again is harmless.
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

    /// Send what a query still needs: parts not started, as far as needed, then another attempt for late
    /// ones. `ids` names all its parts; or those that waited, where none of these waits for what the others
    /// cover. Returns the parts that wait for what may change at any time: a replica, or another attempt.
    pub(crate) fn send_needed(&mut self, query: &Query, ids: &[PartId]) -> Vec<PartId> {
        let sorted = self.sort_parts(ids);
        // Prevents waiting for a part whose attempts are spent: a probing query would start no other one, and
        // use capacity to its end.
        let is_alive = |p: &Part| p.is_in_flight() || self.may_attempt_again(&query.class, p);
        let late_ids = sorted.late.iter().map(|(id, _)| *id);
        let mut waiting: Vec<_> = late_ids.filter(|id| self.parts.get(id).is_some_and(is_alive)).collect();
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

    /// Sort parts by what they need: those not started by their cells, so that neighbours share calls.
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

/// Parts of a query by what they need.
struct SortedParts {
    /// Those that need a first attempt, in the order in which to send them.
    unstarted: Vec<PartId>,
    /// Those that need another attempt, and why.
    late: Vec<(PartId, AttemptReason)>,
    /// Weight of all others.
    covered: f64,
}
