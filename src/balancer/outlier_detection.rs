//! Replicas that fail or don't answer are ejected for a while, as in Envoy's outlier detection, and are on
//! probation after that.
use super::interface::{ClassId, Outcome, ReplicaId};
use super::state::{InFlightAttempt, OutlierState};
use super::{Balancer, HEDGE_AFTER_P90S, RECENT_SECONDS, SLOW_AVERAGE_WEIGHT};

/// A replica that has not answered for this many times the 90th percentile of response times is unresponsive.
const UNRESPONSIVE_AFTER_P90S: f64 = 3.0;
/// The same in rounds, if that is longer.
const UNRESPONSIVE_AFTER_ROUNDS: f64 = 8.0;
/// Weight of the newest sample in an error rate.
const ERROR_WEIGHT: f64 = 0.3;
/// The error rate over which a replica is ejected: two failures in a row, or every second one. A race lost
/// with a hedge's head start counts too.
const ERROR_LIMIT: f64 = 0.5;
/// Weight of a part that went down with its connection: about fourteen in a row with none served eject.
const CONNECTION_LOST_WEIGHT: f64 = 0.05;
/// Weight of a failure that ejects by itself.
const FATAL_WEIGHT: f64 = 1.0;
/// Seconds of the first ejection; for silence at least the time between two sends to one replica. It doubles
/// with each further one.
pub(super) const FIRST_EJECTION_SECONDS: f64 = 1.0;
/// Seconds of the longest ejection, unless its first one is longer.
const MAX_EJECTION_SECONDS: f64 = 8.0;
/// Ejections that are counted at most.
const MAX_EJECTIONS: i32 = 8;
/// Answers in a row, one part at a time, by which an ejected replica is trusted again.
const PROBATION_SUCCESSES: u32 = 3;
/// Seconds in which nothing is sent to a replica that rejected work or could not be reached.
const BACKOFF_SECONDS: f64 = 0.2;

/// What a failure counts against.
#[derive(Clone, Copy, PartialEq)]
enum FailureScope {
    /// The replica.
    Replica,
    /// The class alone while the replica lately served another one, else the replica.
    ClassIfOthersSucceed,
}

impl Balancer {
    /// What the outcome of an attempt, after so many seconds, says of its replica.
    pub(super) fn record_outcome(
        &mut self,
        id: ReplicaId,
        outcome: Outcome,
        elapsed: f64,
        attempt: InFlightAttempt,
    ) {
        let now = self.now;
        let Some(r) = self.replicas.get_mut(&id) else { return };
        r.last_used_at = now;
        let zone = r.endpoint.zone;
        self.record_zone_outcome(zone, id, outcome, attempt.sent_at);
        match outcome {
            Outcome::Rejected => self.back_off(id, outcome),
            Outcome::Succeeded => self.record_success(id, attempt),
            Outcome::Reset | Outcome::ConnectFailed => {
                self.record_connection_failure(id, outcome, elapsed, attempt);
            }
            Outcome::Error => {
                self.record_failure(id, attempt, ERROR_WEIGHT, FailureScope::ClassIfOthersSucceed);
            }
            // Sound replicas close connections too; one that does nothing else is found out.
            Outcome::ConnectionLost => {
                self.record_failure(id, attempt, CONNECTION_LOST_WEIGHT, FailureScope::ClassIfOthersSucceed);
            }
            Outcome::Cancelled if elapsed <= HEDGE_AFTER_P90S * self.latency.p90 => {}
            Outcome::TimedOut | Outcome::Cancelled if attempt.unresponsive => {}
            Outcome::TimedOut | Outcome::Cancelled => self.record_no_answer(id, attempt, ERROR_WEIGHT),
            Outcome::NeverSent => {}
        }
    }

    /// Send nothing to a replica for a while: to one that rejected work, until half of what it held of ours
    /// is answered; to one that could not be reached, in any case. Prevents a part's few attempts from being
    /// spent on it while the others back off.
    fn back_off(&mut self, id: ReplicaId, outcome: Outcome) {
        let Some(r) = self.replicas.get_mut(&id) else { return };
        r.backoff_until = self.now + BACKOFF_SECONDS;
        r.in_flight_at_rejection = if outcome == Outcome::Rejected { r.in_flight.len() } else { 0 };
    }

    fn record_success(&mut self, id: ReplicaId, attempt: InFlightAttempt) {
        let now = self.now;
        self.recent.unanswered_share[usize::from(attempt.after_idle)] *= 1.0 - SLOW_AVERAGE_WEIGHT;
        let Some(r) = self.replicas.get_mut(&id) else { return };
        if r.is_ready() && r.warming_up_since(now, self.settings.slow_start).is_none() {
            self.recent.warm_completions.record(now);
            self.replica_stats.warm_completions += 1.0;
        }
        r.overall.record_success(now, attempt.sent_at);
        r.by_class.entry(attempt.class).or_default().record_success(now, attempt.sent_at);
    }

    fn record_connection_failure(
        &mut self,
        id: ReplicaId,
        outcome: Outcome,
        elapsed: f64,
        attempt: InFlightAttempt,
    ) {
        self.suspect_queries(outcome, elapsed);
        if let Some(r) = self.replicas.get_mut(&id) {
            r.last_used_at = 0.0;
        }
        if outcome == Outcome::ConnectFailed {
            self.back_off(id, outcome);
        }
        self.raise_unanswered_share(false);
        self.record_failure(id, attempt, FATAL_WEIGHT, FailureScope::Replica);
    }

    fn raise_unanswered_share(&mut self, after_idle: bool) {
        let share = &mut self.recent.unanswered_share[usize::from(after_idle)];
        *share += SLOW_AVERAGE_WEIGHT * (1.0 - *share);
    }

    /// No answer came. Where mainly idle connections go unanswered, one was dropped unseen: the replica is
    /// sound.
    fn record_no_answer(&mut self, id: ReplicaId, attempt: InFlightAttempt, weight: f64) {
        self.raise_unanswered_share(attempt.after_idle);
        if !(attempt.after_idle && self.idle_connections_are_dropped()) {
            self.record_failure(id, attempt, weight, FailureScope::ClassIfOthersSucceed);
        }
    }

    /// Count a failure, which may eject the replica. All failures come through here.
    fn record_failure(&mut self, id: ReplicaId, attempt: InFlightAttempt, weight: f64, scope: FailureScope) {
        let now = self.now;
        let interval = self.send_interval();
        let is_silence = scope == FailureScope::ClassIfOthersSucceed && weight >= FATAL_WEIGHT;
        let least = if is_silence { interval } else { 0.0 };
        let Some(r) = self.replicas.get_mut(&id) else { return };
        let succeeded_lately = |(class, state): (&ClassId, &OutlierState)| {
            *class != attempt.class && state.last_success_at > attempt.sent_at - RECENT_SECONDS
        };
        let is_class_only =
            scope == FailureScope::ClassIfOthersSucceed && r.by_class.iter().any(succeeded_lately);
        let state = if is_class_only { r.by_class.entry(attempt.class).or_default() } else { &mut r.overall };
        state.error_rate += weight * (1.0 - state.error_rate);
        let failed_probation = state.probation_remaining > 0 && attempt.sent_at >= state.ejected_until;
        if state.error_rate > ERROR_LIMIT || failed_probation {
            state.eject(now, FIRST_EJECTION_SECONDS.max(least));
            self.mark_queries_of(id);
        }
    }

    /// Find zones and replicas that take work and answer nothing, whatever keeps them from it.
    pub(super) fn detect_unresponsive(&mut self) {
        let after = (UNRESPONSIVE_AFTER_P90S * self.latency.p90)
            .max(UNRESPONSIVE_AFTER_ROUNDS * self.settings.round_interval);
        let sent_before = self.now - after;
        self.eject_unresponsive_zones();
        for (id, attempt) in self.in_flight.newly_unresponsive(sent_before) {
            let in_flight = self.replicas.get_mut(&id).and_then(|r| r.in_flight.get_mut(&attempt));
            if let Some(in_flight) = in_flight {
                let before = *in_flight;
                in_flight.unresponsive = true;
                self.mark_queries_of(id);
                self.record_no_answer(id, before, FATAL_WEIGHT);
            }
        }
    }
}

impl OutlierState {
    fn record_success(&mut self, now: f64, sent_at: f64) {
        self.last_success_at = now;
        self.error_rate *= 1.0 - ERROR_WEIGHT;
        if self.probation_remaining > 0 && sent_at >= self.ejected_until {
            self.probation_remaining -= 1;
            if self.probation_remaining == 0 && self.ejections > 0 {
                self.ejections -= 1;
            }
        }
    }

    /// Eject for a while, twice as long each time; then a few single parts bring trust again.
    fn eject(&mut self, now: f64, first_seconds: f64) {
        if self.ejected_until <= now {
            let longest = MAX_EJECTION_SECONDS.max(first_seconds);
            self.ejected_until = now + (first_seconds * 2f64.powi(self.ejections)).min(longest);
            self.ejections = (self.ejections + 1).min(MAX_EJECTIONS);
            self.probation_remaining = PROBATION_SUCCESSES;
            self.error_rate = 0.0;
        }
    }
}
