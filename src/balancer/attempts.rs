//! Attempts of a part: first attempts, clones, hedges and retries, and the limits on each.
use super::idle_connections::IDLE_CONNECTION_SECONDS;
use super::interface::{Action, Class, Idempotency, Outcome, PartId, ReplicaId};
use super::state::{Attempt, AttemptReason, InFlightAttempt, Part, Query, Replica};
use super::{Balancer, DEADLINE_MARGIN_SECONDS, HEDGE_AFTER_P90S, RECENT_SECONDS, STALE_AFTER_SECONDS};

/// Upper bound on clones as a fraction of recent parts; the design allows one tenth.
const CLONE_SHARE: f64 = 0.1;
/// Maximum number of attempts of one part in flight at once.
const MAX_IN_FLIGHT: usize = 2;
/// Attempt timeout as a multiple of the hedge delay, where attempts have a timeout of their own.
const TIMEOUT_HEDGE_DELAYS: f64 = 2.0;

impl Balancer {
    /// Sends a part's first attempt, or a clone to each replica of an idle pair if cloning is
    /// allowed.
    pub(super) fn send_first_attempt(&mut self, query: &Query, part: PartId) {
        let Some((class, shard)) = self.parts.get(&part).map(|p| (p.class, p.shard)) else { return };
        let pair = self.choose_two(class, shard, &[]);
        if self.may_clone(&query.class, &pair) && !self.is_probing(query) {
            self.send_attempt(part, pair[0], None);
            self.send_attempt(part, pair[1], Some(AttemptReason::IdlePairClone));
        } else if let Some(replica) = self.less_loaded(&pair) {
            self.send_attempt(part, replica, None);
        }
    }

    fn may_clone(&mut self, class: &Class, pair: &[ReplicaId]) -> bool {
        let &[a, b] = pair else { return false };
        let is_trusted = |id: &ReplicaId| self.replicas[id].overall.probation_remaining == 0;
        let both_idle = [a, b].iter().all(|id| self.is_idle(*id) && is_trusted(id));
        let is_allowed =
            class.idempotency == Idempotency::Idempotent && class.hedging && self.settings.hedging;
        let since = self.now - RECENT_SECONDS;
        let share = CLONE_SHARE * self.recent.parts.count_since(since);
        let is_within_share = self.recent.clones.count_since(since) + 1.0 < share;
        is_allowed
            && self.settings.max_attempts > 1
            && both_idle
            && is_within_share
            && self.is_within_retry_budget(AttemptReason::IdlePairClone)
    }

    /// Sends an attempt of a part; `reason` is `None` for the first one.
    fn send_attempt(&mut self, part: PartId, replica: ReplicaId, reason: Option<AttemptReason>) {
        let closes_idle = self.idle_connections_are_dropped();
        let interval = self.send_interval();
        let Some(p) = self.parts.get_mut(&part) else { return };
        let Some(r) = self.replicas.get_mut(&replica) else { return };
        let class = p.class;
        let number = p.attempts.len() as u8;
        let is_clone = reason == Some(AttemptReason::IdlePairClone);
        p.attempts.push(Attempt::new(replica, self.now, is_clone));
        let was_idle = r.in_flight.is_empty()
            && r.last_used_at > 0.0
            && self.now - r.last_used_at > IDLE_CONNECTION_SECONDS;
        if was_idle && closes_idle {
            self.actions.push(Action::CloseIdle { replica });
        }
        r.last_used_at = self.now;
        let window = self.settings.slow_start.map_or(0.0, |rule| rule.overload_window);
        r.recent_sends.record_and_trim(self.now, window);
        r.slow_start_credit -= 1.0;
        let zone = r.endpoint.zone;
        self.extend_zone_ejection(zone, interval);
        let after_idle = was_idle && !closes_idle;
        let in_flight =
            InFlightAttempt { sent_at: self.now, class, after_idle, ..InFlightAttempt::default() };
        self.record_send(replica, (part, number), in_flight);
        self.count_send(replica, reason);
        let timeout = self.attempt_timeout();
        self.actions.push(Action::Send { part, replica, timeout });
    }

    fn count_send(&mut self, replica: ReplicaId, reason: Option<AttemptReason>) {
        *self.replica_stats.sends_this_round.entry(replica).or_insert(0) += 1;
        self.recent.sends.record(self.now);
        if reason.is_some_and(|reason| reason != AttemptReason::RetryAfterFailure) {
            self.recent.extra_attempts.record(self.now);
        }
        if reason == Some(AttemptReason::IdlePairClone) {
            self.recent.clones.record(self.now);
        }
    }

    /// Returns the attempt timeout in seconds, or `None` if the attempt may run until the client's
    /// deadline. A timeout is needed where hedging is off, because a late attempt must end before
    /// another can start. Where attempts cannot be cancelled, a timeout gains nothing: the replica
    /// keeps working on the attempt however long the coordinator waits.
    fn attempt_timeout(&self) -> Option<f64> {
        let must_end = !self.settings.hedging && self.settings.cancellation;
        must_end.then_some(TIMEOUT_HEDGE_DELAYS * HEDGE_AFTER_P90S * self.latency.p90)
    }

    /// Returns whether the part may have another attempt, given what its earlier attempts may have
    /// executed.
    pub(super) fn may_attempt_again(&self, class: &Class, part: &Part) -> bool {
        let may_have_run = part.attempts.iter().filter(|a| !a.never_ran());
        let first_run = may_have_run.map(|a| a.sent_at).fold(f64::INFINITY, f64::min);
        let is_unfinished = part.attempts.iter().any(|a| a.outcome.is_none());
        let is_repeatable = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { window } => self.now < first_run + window - DEADLINE_MARGIN_SECONDS,
            Idempotency::NonIdempotent => first_run == f64::INFINITY,
        };
        let has_attempts_left = part.attempts.len() < self.settings.max_attempts as usize;
        let may_hedge = self.settings.hedging && class.hedging;
        is_repeatable && !part.finished && (!is_unfinished || may_hedge) && has_attempts_left
    }

    /// Returns why a started part needs another attempt, if it does: nothing is in flight, or
    /// everything in flight is overdue or at a suspect replica.
    pub(super) fn late_reason(&self, part: &Part) -> Option<AttemptReason> {
        if part.completed {
            return None;
        }
        if !part.is_in_flight() {
            return Some(self.retry_reason(part));
        }
        let mut in_flight = part.attempts.iter().filter(|a| a.is_in_flight());
        let hedge_after = HEDGE_AFTER_P90S * self.latency.p90;
        let is_bad = |r: &Replica| {
            r.ejected_until(part.class) > self.now || r.is_unresponsive() || self.is_zone_ejected(r)
        };
        let is_at_suspect = |a: &Attempt| self.replicas.get(&a.replica).is_none_or(is_bad);
        if in_flight.clone().all(|a| is_at_suspect(a) && self.now > a.sent_at) {
            return Some(AttemptReason::Retry);
        }
        // If no replica answers at all, the fault is probably local: do not hedge everything in
        // flight.
        let is_hedge_due =
            !self.replica_stats.stalled && in_flight.all(|a| self.now - a.sent_at > hedge_after);
        is_hedge_due.then_some(AttemptReason::Hedge)
    }

    /// A part that failed is retried outside the retry budget unless the settings state one. The
    /// default budget is too small for the retries needed while a zone is out, and parts would wait
    /// for it.
    fn retry_reason(&self, part: &Part) -> AttemptReason {
        let last = part.attempts.last().and_then(|a| a.outcome);
        if self.settings.retry_budget.is_none() && last.is_some_and(Outcome::is_failure) {
            AttemptReason::RetryAfterFailure
        } else {
            AttemptReason::Retry
        }
    }

    /// Sends another attempt, next to at most one in flight, preferably to a replica that has not
    /// been tried. Where traffic is sparse, a hedge goes only to a replica that answered recently
    /// and within the 90th percentile. Otherwise hedges would double the load of a group of replicas
    /// that is overloaded and answers everything late.
    pub(super) fn retry_or_hedge(&mut self, class: &Class, id: PartId, reason: AttemptReason) {
        let must_be_proved = reason == AttemptReason::Hedge && self.replica_stats.sparse;
        let Some(part) = self.parts.get(&id) else { return };
        let in_flight = part.attempts.iter().filter(|a| a.is_in_flight());
        let busy: Vec<_> = in_flight.map(|a| a.replica).collect();
        let is_crowded = busy.len() >= MAX_IN_FLIGHT;
        let class_id = part.class;
        let shard = part.shard;
        let tried: Vec<_> = part.attempts.iter().map(|a| a.replica).collect();
        let is_blocked = is_crowded && (reason != AttemptReason::Retry || !self.settings.cancellation);
        if is_blocked || !self.may_attempt_again(class, part) || !self.is_within_retry_budget(reason) {
            return;
        }
        let pair = self.choose_two(class_id, shard, &tried);
        let is_proved = |r: &Replica| {
            self.now - r.response_time.updated_at < STALE_AFTER_SECONDS
                && r.response_time.value <= self.latency.p90
        };
        let is_suitable =
            |id: &ReplicaId| !busy.contains(id) && (!must_be_proved || is_proved(&self.replicas[id]));
        if let Some(replica) = self.less_loaded(&pair).filter(is_suitable) {
            if is_crowded {
                self.cancel_attempts(id, None);
            }
            self.send_attempt(id, replica, Some(reason));
        }
    }
}
