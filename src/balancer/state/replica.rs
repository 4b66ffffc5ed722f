//! One replica: what discovery lists, what it reports, and what we sent it.
use std::collections::BTreeMap;

use super::{DecayingAverage, InFlightAttempt, SlidingWindow};
use crate::balancer::interface::{ClassId, Endpoint, EndpointState, LoadReport, PartId, SlowStart};

/// The failures of a replica, overall or for one class (Envoy's outlier detection).
#[derive(Default)]
pub struct OutlierState {
    /// Moving share of failures, from 0 to 1.
    pub error_rate: f64,
    /// Until when it is ejected, in seconds; past times mean that it is not.
    pub ejected_until: f64,
    /// How often it was ejected, less the probations that it passed.
    pub ejections: i32,
    /// Successes that are missing until it is trusted again; 0 if it is.
    pub probation_remaining: u32,
    /// When it last succeeded, in seconds.
    pub last_success_at: f64,
}

/// A replica.
#[derive(Default)]
pub struct Replica {
    /// As discovery lists it.
    pub endpoint: Endpoint,
    /// When it was removed from the list, in seconds, if it is.
    pub removed_at: f64,
    /// Its last load report.
    pub report: LoadReport,
    /// When that came, in seconds.
    pub last_report_at: f64,
    /// When we last sent it a health check, in seconds.
    pub last_health_check_at: f64,
    /// When we last sent it a part or had an answer, in seconds; 0 if its connections broke since.
    pub last_used_at: f64,
    /// Its response time in seconds.
    pub response_time: DecayingAverage,
    /// Parts that it accrued in slow start less those that we sent.
    pub slow_start_credit: f64,
    /// A random share of one part by which its quotas are rounded, so that all coordinators together keep to
    /// the sum.
    pub rounding_phase: f64,
    /// The attempts that it has not answered, by part and number.
    pub in_flight: BTreeMap<(PartId, u8), InFlightAttempt>,
    /// When we sent to it, over the last overload window.
    pub recent_sends: SlidingWindow,
    /// Until when nothing is sent to it, in seconds, if it rejected work or could not be reached.
    pub backoff_until: f64,
    /// How many attempts of ours it held when it rejected one.
    pub in_flight_at_rejection: usize,
    /// Its failures of any class.
    pub overall: OutlierState,
    /// Its failures of one class while it serves others.
    pub by_class: BTreeMap<ClassId, OutlierState>,
}

impl Replica {
    /// Whether it is listed as ready.
    pub fn is_ready(&self) -> bool {
        self.endpoint.state == EndpointState::Ready
    }

    /// The load that it last reported: its queue, else its requests in flight.
    pub fn reported_load(&self) -> Option<f64> {
        self.report.queue_depth.or(self.report.in_flight)
    }

    /// Whether it has an attempt in flight that has waited for too long.
    pub fn is_unresponsive(&self) -> bool {
        self.in_flight.values().any(|attempt| attempt.unresponsive)
    }

    /// Set its listed state, and the time of its removal unless it was removed before.
    pub fn set_state(&mut self, state: EndpointState, now: f64) {
        if self.endpoint.state != EndpointState::Removed {
            self.removed_at = now;
        }
        self.endpoint.state = state;
    }

    /// When it started, if that is within the ramp of the slow start.
    pub fn warming_up_since(&self, now: f64, slow_start: Option<SlowStart>) -> Option<f64> {
        self.endpoint.started.filter(|start| slow_start.is_some_and(|rule| now - start < rule.ramp))
    }

    /// Whether it may be past its ramp although it is taken to be warming up: how long it has been running is
    /// not known.
    pub fn may_be_warm(&self, now: f64, slow_start: SlowStart) -> bool {
        let endpoint = &self.endpoint;
        let age = endpoint.started.map_or(f64::INFINITY, |start| now - start + endpoint.start_uncertainty);
        age >= slow_start.ramp
    }

    /// How many times the throughput of a warm replica it stands at a time: the overload factor times its
    /// capacity, which grows evenly over the ramp.
    pub fn ramp_factor(&self, at: f64, rule: SlowStart) -> f64 {
        let age = self.endpoint.started.map_or(rule.ramp, |start| (at - start).clamp(0.0, rule.ramp));
        rule.overload_factor * (rule.initial_capacity + (1.0 - rule.initial_capacity) * age / rule.ramp)
    }

    /// Whether nothing is sent to it: it rejected work, until half of what it held of ours is answered, or it
    /// could not be reached.
    pub fn is_backing_off(&self, now: f64) -> bool {
        self.backoff_until > now && 2 * self.in_flight.len() >= self.in_flight_at_rejection
    }

    /// Whether it may be chosen for a class: not ejected, and on probation with one attempt at a time.
    pub fn is_usable(&self, class: ClassId, now: f64) -> bool {
        let on_probation = self.overall.probation_remaining > 0
            || self.by_class.get(&class).is_some_and(|state| state.probation_remaining > 0);
        self.ejected_until(class) <= now && (!on_probation || self.in_flight.is_empty())
    }

    /// Until when it is ejected for a class, in seconds.
    pub fn ejected_until(&self, class: ClassId) -> f64 {
        self.overall.ejected_until.max(self.by_class.get(&class).map_or(0.0, |state| state.ejected_until))
    }
}
