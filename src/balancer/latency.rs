//! Response time estimates, by which replicas, parts and queries are judged.
use super::interface::{Class, ReplicaId};
use super::state::{p90_step, Decay, DecayingAverage};
use super::{Balancer, RECENT_SECONDS, SLOW_AVERAGE_WEIGHT};

/// Weight of the newest sample in the current response time, which governs admission.
const CURRENT_WEIGHT: f64 = 0.1;
/// Half-life, in seconds, of the current response time while there are no samples.
const CURRENT_HALF_LIFE_SECONDS: f64 = 0.5;
/// Half-life of the recent query time, in intervals between this coordinator's queries.
const QUERY_TIME_HALF_LIFE_INTERVALS: f64 = 4.0;
/// Weight of the newest query in the recent query time.
const QUERY_TIME_WEIGHT: f64 = 0.5;
/// Ratio of a query's slowest part to the mean part's response time.
const SLOWEST_PART_FACTOR: f64 = 2.0;
/// Relative increase of the query time per e-fold of parts beyond a narrow query's.
const WIDTH_LOG_FACTOR: f64 = 0.45;
/// Maximum number of parts of a narrow query.
const NARROW_QUERY_PARTS: usize = 24;
/// Duration of a two-step query relative to a single step.
const TWO_STEP_FACTOR: f64 = 1.5;
/// Minimum and maximum weight of the newest sample in a replica's response time.
const RESPONSE_TIME_WEIGHTS: [f64; 2] = [0.3, 0.3];
/// Minimum and maximum weight of the newest sample in a replica's response time, where traffic is
/// sparse.
const SPARSE_RESPONSE_TIME_WEIGHTS: [f64; 2] = [0.3, 0.7];
/// Half-life, in seconds, of a replica's response time.
const RESPONSE_TIME_HALF_LIFE_SECONDS: f64 = 2.0;
/// Half-life of a replica's response time where traffic is sparse, in intervals between two sends to
/// one replica.
const RESPONSE_TIME_HALF_LIFE_SENDS: f64 = 1.0;
/// Upper bound on the capacity ratio derived from reported rates, to limit the effect of outliers.
const MAX_CAPACITY_RATIO: f64 = 3.0;

impl Balancer {
    /// Records the response time of a part, in seconds, in the estimates of its replica and of all
    /// replicas.
    pub(super) fn record_response_time(&mut self, id: ReplicaId, elapsed: f64) {
        let decay = self.response_time_decay();
        let weights = if self.replica_stats.sparse_since_start {
            SPARSE_RESPONSE_TIME_WEIGHTS
        } else {
            RESPONSE_TIME_WEIGHTS
        };
        if let Some(replica) = self.replicas.get_mut(&id) {
            replica.response_time.add_sample(elapsed, decay, weights);
        }
        self.latency.p90 *= 1.0 + SLOW_AVERAGE_WEIGHT * p90_step(elapsed, self.latency.p90);
        self.latency.mean += SLOW_AVERAGE_WEIGHT * (elapsed - self.latency.mean);
        let current = self.current_response_time();
        self.latency.current = current + CURRENT_WEIGHT * (elapsed - current);
        self.latency.last_success_at = self.now;
    }

    /// Records that a replica left an attempt unanswered for `waited` seconds, a lower bound on its
    /// response time. Without this, an overloaded replica would be judged only by the few answers
    /// that arrived before their attempts were given up.
    pub(super) fn record_unanswered_wait(&mut self, id: ReplicaId, waited: f64) {
        let usual = self.usual_response_time(id);
        if let Some(replica) = self.replicas.get_mut(&id).filter(|_| waited > usual) {
            replica.response_time = DecayingAverage { value: waited, updated_at: self.now };
        }
    }

    /// Estimates the ratio of a warm replica's maximum throughput to its mean throughput from the
    /// reported rates. Capacity itself is unknown; the 90th percentile of the rates is a lower
    /// bound on it. Returns 1 if no rates are reported.
    pub(super) fn capacity_ratio(&self) -> f64 {
        self.replica_stats.reported_rates.p90_over_mean().clamp(1.0, MAX_CAPACITY_RATIO)
    }

    /// Returns how a replica's response time decays to the overall mean. Where traffic is sparse,
    /// the half-life is one send interval, so that the estimate lasts until the next send.
    fn response_time_decay(&self) -> Decay {
        let half_life = if self.replica_stats.sparse_since_start {
            RESPONSE_TIME_HALF_LIFE_SENDS * self.replica_stats.send_interval
        } else {
            RESPONSE_TIME_HALF_LIFE_SECONDS
        };
        Decay { now: self.now, half_life, base: self.latency.mean }
    }

    /// Returns a replica's response time in seconds, which decays to the overall mean without
    /// samples.
    pub(super) fn usual_response_time(&self, id: ReplicaId) -> f64 {
        self.replicas[&id].response_time.value_at(self.response_time_decay())
    }

    /// Returns the current response time of parts in seconds. The estimate decays while there are no
    /// samples; otherwise a coordinator that rejects everything would never measure an improvement.
    fn current_response_time(&self) -> f64 {
        let since_success = self.now - self.latency.last_success_at;
        self.latency.current * 0.5f64.powf(since_success / CURRENT_HALF_LIFE_SECONDS)
    }

    /// Returns the expected duration, in seconds, of a query of this class from its first send,
    /// based on current part response times.
    ///
    /// Where traffic is sparse, the duration of recent queries is used if it is longer. It reveals
    /// an overload of a few replicas, which the mean response time hides, and an overload whose
    /// effect on the mean would decay before the next query arrives.
    pub(super) fn expected_query_time(&self, class: &Class) -> f64 {
        let recent_queries = if self.replica_stats.sparse { self.recent_query_time() } else { 0.0 };
        let steps = if class.second_step_parts > 0 { TWO_STEP_FACTOR } else { 1.0 };
        recent_queries.max(self.current_response_time() * SLOWEST_PART_FACTOR) * steps
    }

    /// Returns the duration of recent queries in seconds, scaled to a narrow query; decays without
    /// samples.
    fn recent_query_time(&self) -> f64 {
        let half_life = QUERY_TIME_HALF_LIFE_INTERVALS * self.query_interval();
        self.latency.query_time * 0.5f64.powf((self.now - self.latency.query_finished_at) / half_life)
    }

    /// Records the duration of a finished query, scaled to a narrow query.
    pub(super) fn record_query_time(&mut self, elapsed: f64) {
        self.latency.query_time = QUERY_TIME_WEIGHT * (elapsed + self.recent_query_time());
        self.latency.query_finished_at = self.now;
    }

    /// Returns the mean interval between this coordinator's queries in seconds.
    pub(super) fn query_interval(&self) -> f64 {
        RECENT_SECONDS / (self.recent.received.retained() - self.recent.parts.retained()).max(1.0)
    }
}

/// Returns the duration of a query with `parts` parts relative to that of a narrow query.
pub(super) fn width_factor(parts: usize) -> f64 {
    1.0 + WIDTH_LOG_FACTOR * (parts.max(NARROW_QUERY_PARTS) as f64 / NARROW_QUERY_PARTS as f64).ln()
}

/// Returns the expected duration of a query relative to the mean response time of a part.
pub fn query_time_factor(parts: usize, steps: u32) -> f64 {
    let steps_factor = if steps > 1 { TWO_STEP_FACTOR } else { 1.0 };
    width_factor(parts) * SLOWEST_PART_FACTOR * steps_factor
}
