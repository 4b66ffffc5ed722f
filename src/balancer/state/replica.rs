//! State of a replica: what discovery lists, what it reports, and what was sent to it.
use std::collections::BTreeMap;

use super::{DecayingAverage, InFlightAttempt, SlidingWindow};
use crate::balancer::interface::{ClassId, Endpoint, EndpointState, LoadReport, PartId, SlowStart};

/// Outlier detection state of a replica, overall or for one class (as in Envoy).
#[derive(Default)]
pub struct OutlierState {
    /// Moving average of the failure rate, from 0 to 1.
    pub error_rate: f64,
    /// End of the current ejection in seconds; in the past if it is not ejected.
    pub ejected_until: f64,
    /// Number of ejections, less the probations passed.
    pub ejections: i32,
    /// Successes left until the probation ends; 0 if not on probation.
    pub probation_remaining: u32,
    /// Time of the last success in seconds.
    pub last_success_at: f64,
}

/// A known replica.
#[derive(Default)]
pub struct Replica {
    /// The replica's entry in the endpoint list.
    pub endpoint: Endpoint,
    /// When the replica was removed from the list, in seconds; only meaningful for removed replicas.
    pub removed_at: f64,
    /// The last load report.
    pub report: LoadReport,
    /// When the last load report arrived, in seconds.
    pub last_report_at: f64,
    /// When the last health check was sent, in seconds.
    pub last_health_check_at: f64,
    /// When an attempt was last sent or answered, in seconds; 0 if the connections broke since.
    pub last_used_at: f64,
    /// Estimated response time in seconds.
    pub response_time: DecayingAverage,
    /// Slow start credit in parts: the parts it has accrued less the parts sent to it.
    pub slow_start_credit: f64,
    /// Random fraction of a part by which this coordinator rounds its quotas, so that the quotas of
    /// all coordinators together are not exceeded.
    pub rounding_phase: f64,
    /// In-flight attempts, by part and attempt number.
    pub in_flight: BTreeMap<(PartId, u8), InFlightAttempt>,
    /// Send times within the last overload window.
    pub recent_sends: SlidingWindow,
    /// End of the backoff, in seconds, after the replica rejected work or could not be reached.
    pub backoff_until: f64,
    /// Number of attempts in flight when the replica last rejected one.
    pub in_flight_at_rejection: usize,
    /// Failures over all classes.
    pub overall: OutlierState,
    /// Failures of one class while other classes succeed.
    pub by_class: BTreeMap<ClassId, OutlierState>,
}

impl Replica {
    /// Returns whether the replica is listed as ready.
    pub fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// Returns the last reported load: the queue depth or, if it is not reported, the number of
    /// requests in flight.
    pub fn reported_load(&self) -> Option<f64> {
        self.report.queue_depth.or(self.report.in_flight)
    }

    /// Returns whether an attempt has been in flight at the replica for too long.
    pub fn is_unresponsive(&self) -> bool {
        self.in_flight.values().any(|attempt| attempt.unresponsive)
    }

    /// Sets the listed state. If the replica was already removed, its removal time is kept.
    pub fn set_state(&mut self, state: EndpointState, now: f64) {
        if self.endpoint.state != EndpointState::Removed {
            self.removed_at = now;
        }
        self.endpoint.state = state;
    }

    /// Returns when the replica started, in seconds, if that is within the slow start ramp.
    pub fn warming_up_since(&self, now: f64, slow_start: Option<SlowStart>) -> Option<f64> {
        self.endpoint.started.filter(|start| slow_start.is_some_and(|rule| now - start < rule.ramp))
    }

    /// Returns whether the replica may be past its slow start ramp, given the uncertainty of its
    /// start time. Such a replica may still be treated as warming up.
    pub fn may_be_warm(&self, now: f64, slow_start: SlowStart) -> bool {
        let endpoint = &self.endpoint;
        let age = endpoint.started.map_or(f64::INFINITY, |start| now - start + endpoint.start_uncertainty);
        age >= slow_start.ramp
    }

    /// Returns the replica's maximum throughput at the time `at`, as a multiple of a warm replica's
    /// throughput: the overload factor times the capacity, which grows linearly over the ramp.
    pub fn ramp_factor(&self, at: f64, rule: SlowStart) -> f64 {
        let age = self.endpoint.started.map_or(rule.ramp, |start| (at - start).clamp(0.0, rule.ramp));
        rule.overload_factor * (rule.initial_capacity + (1.0 - rule.initial_capacity) * age / rule.ramp)
    }

    /// Returns whether the replica is in backoff. After a rejection, the backoff ends early once more than
    /// half of the attempts in flight at the rejection are answered.
    pub fn is_backing_off(&self, now: f64) -> bool {
        self.backoff_until > now && 2 * self.in_flight.len() >= self.in_flight_at_rejection
    }

    /// Returns whether the replica may be chosen for a class: it is not ejected and, if it is on
    /// probation, has no attempt in flight.
    pub fn is_usable(&self, class: ClassId, now: f64) -> bool {
        let on_probation = self.overall.probation_remaining > 0
            || self.by_class.get(&class).is_some_and(|state| state.probation_remaining > 0);
        self.ejected_until(class) <= now && (!on_probation || self.in_flight.is_empty())
    }

    /// Returns when the replica's ejection for a class ends, in seconds.
    pub fn ejected_until(&self, class: ClassId) -> f64 {
        self.overall.ejected_until.max(self.by_class.get(&class).map_or(0.0, |state| state.ejected_until))
    }
}
