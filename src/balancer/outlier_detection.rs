//! Outlier detection: replicas that fail or do not answer are ejected for a while, as in Envoy, and
//! are on probation afterwards.
use super::interface::{ClassId, Outcome, ReplicaId};
use super::state::{InFlightAttempt, OutlierState};
use super::{Balancer, HEDGE_AFTER_P90S, RECENT_SECONDS, SLOW_AVERAGE_WEIGHT};

/// Time without an answer after which a replica is unresponsive, as a multiple of the 90th
/// percentile of response times.
const UNRESPONSIVE_AFTER_P90S: f64 = 3.0;
/// Minimum time without an answer, in rounds, after which a replica is unresponsive. The longer
/// of this and [`UNRESPONSIVE_AFTER_P90S`] applies.
const UNRESPONSIVE_AFTER_ROUNDS: f64 = 8.0;
/// Weight of the newest sample in an error rate.
const ERROR_WEIGHT: f64 = 0.3;
/// Error rate above which a replica is ejected. Two consecutive failures exceed it, as do failures
/// of every second attempt. An attempt cancelled because its hedge answered first counts as a
/// failure too.
const ERROR_LIMIT: f64 = 0.5;
/// Weight of a part lost with its connection: about fourteen in a row without a success cause an
/// ejection.
const CONNECTION_LOST_WEIGHT: f64 = 0.05;
/// Weight of a failure that causes an ejection by itself.
const EJECTING_WEIGHT: f64 = 1.0;
/// Duration of the first ejection in seconds; it doubles with each further ejection. An ejection
/// for not answering lasts at least one send interval.
pub(super) const FIRST_EJECTION_SECONDS: f64 = 1.0;
/// Maximum duration of an ejection in seconds, unless the first one is longer.
const MAX_EJECTION_SECONDS: f64 = 8.0;
/// Maximum number of ejections that count towards the doubling of their duration.
const MAX_EJECTIONS: i32 = 8;
/// Consecutive successes, one part at a time, that end the probation of a replica.
const PROBATION_SUCCESSES: u32 = 3;
/// Duration, in seconds, of the backoff from a replica that rejected work or could not be reached.
const BACKOFF_SECONDS: f64 = 0.2;

/// What a failure counts against.
#[derive(Clone, Copy, PartialEq)]
enum FailureScope {
    /// The replica.
    Replica,
    /// The class only, if the replica recently served another class; otherwise the replica.
    ClassIfOthersSucceed,
}

impl Balancer {
    /// Records an attempt's outcome, `elapsed` seconds after its send, in the state of its replica.
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
            // Healthy replicas close connections too; the low weight ejects a replica that does
            // nothing else.
            Outcome::ConnectionLost => {
                self.record_failure(id, attempt, CONNECTION_LOST_WEIGHT, FailureScope::ClassIfOthersSucceed);
            }
            Outcome::Cancelled if elapsed <= HEDGE_AFTER_P90S * self.latency.p90 => {}
            Outcome::TimedOut | Outcome::Cancelled if attempt.unresponsive => {}
            Outcome::TimedOut | Outcome::Cancelled => self.record_no_answer(id, attempt, ERROR_WEIGHT),
            Outcome::NeverSent => {}
        }
    }

    /// Starts a backoff: nothing is sent to the replica for a while. After a rejection, the backoff
    /// ends early once more than half of the attempts in flight at the replica are answered.
    ///
    /// Without a backoff, a part could spend its few attempts on this replica while the other
    /// holders of its shard are in backoff.
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
        self.record_failure(id, attempt, EJECTING_WEIGHT, FailureScope::Replica);
    }

    fn raise_unanswered_share(&mut self, after_idle: bool) {
        let share = &mut self.recent.unanswered_share[usize::from(after_idle)];
        *share += SLOW_AVERAGE_WEIGHT * (1.0 - *share);
    }

    /// Records an unanswered attempt. It does not count against the replica if it was sent on an
    /// idle connection and idle connections appear to be dropped silently.
    fn record_no_answer(&mut self, id: ReplicaId, attempt: InFlightAttempt, weight: f64) {
        self.raise_unanswered_share(attempt.after_idle);
        if !(attempt.after_idle && self.idle_connections_are_dropped()) {
            self.record_failure(id, attempt, weight, FailureScope::ClassIfOthersSucceed);
        }
    }

    /// Adds a failure to the replica's error rate, or to its error rate for one class, and ejects
    /// the replica if the rate exceeds its limit or the replica is on probation. Every failure is
    /// counted here.
    fn record_failure(&mut self, id: ReplicaId, attempt: InFlightAttempt, weight: f64, scope: FailureScope) {
        let now = self.now;
        let interval = self.send_interval();
        let is_unanswered = scope == FailureScope::ClassIfOthersSucceed && weight >= EJECTING_WEIGHT;
        let min_seconds = if is_unanswered { interval } else { 0.0 };
        let Some(r) = self.replicas.get_mut(&id) else { return };
        let succeeded_recently = |(class, state): (&ClassId, &OutlierState)| {
            *class != attempt.class && state.last_success_at > attempt.sent_at - RECENT_SECONDS
        };
        let is_class_only =
            scope == FailureScope::ClassIfOthersSucceed && r.by_class.iter().any(succeeded_recently);
        let state = if is_class_only { r.by_class.entry(attempt.class).or_default() } else { &mut r.overall };
        state.error_rate += weight * (1.0 - state.error_rate);
        let failed_probation = state.probation_remaining > 0 && attempt.sent_at >= state.ejected_until;
        if state.error_rate > ERROR_LIMIT || failed_probation {
            state.eject(now, FIRST_EJECTION_SECONDS.max(min_seconds));
            self.mark_queries_at(id);
        }
    }

    /// Detects zones and replicas that accept work but do not answer.
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
                self.mark_queries_at(id);
                self.record_no_answer(id, before, EJECTING_WEIGHT);
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

    /// Ejects the replica for a duration that doubles each time. In the probation that follows, the
    /// replica receives one part at a time.
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
