//! Response times, by which replicas, parts and queries are judged.
use super::interface::{Class, ReplicaId};
use super::state::{p90_step, Decay, DecayingAverage};
use super::{Balancer, RECENT_SECONDS, SLOW_AVERAGE_WEIGHT};

/// Weight of the newest sample in the current response time, by which queries are admitted.
const CURRENT_WEIGHT: f64 = 0.1;
/// Seconds in which that halves without a sample.
const CURRENT_HALF_LIFE_SECONDS: f64 = 0.5;
/// Intervals between our queries in which the time that the last ones took halves.
const QUERY_TIME_HALF_LIFE_INTERVALS: f64 = 4.0;
/// Weight of the newest query in the time that the last ones took.
const QUERY_TIME_WEIGHT: f64 = 0.5;
/// A query's slowest part takes so many times the mean one.
const SLOWEST_PART_FACTOR: f64 = 2.0;
/// What is added to that for each e-fold of parts over a narrow query's, as a share.
const WIDTH_LOG_FACTOR: f64 = 0.45;
/// Most parts of a narrow query.
const NARROW_QUERY_PARTS: usize = 24;
/// Two steps take this many times one.
const TWO_STEP_FACTOR: f64 = 1.5;
/// Least and most weight of the newest response time of a replica, where traffic is not sparse.
const RESPONSE_TIME_WEIGHTS: [f64; 2] = [0.3, 0.3];
/// The same where traffic is sparse.
const SPARSE_RESPONSE_TIME_WEIGHTS: [f64; 2] = [0.3, 0.7];
/// Seconds in which half of a replica's response time is forgotten, where traffic is not sparse.
const RESPONSE_TIME_HALF_LIFE_SECONDS: f64 = 2.0;
/// The same where traffic is sparse, in intervals between two sends to one replica.
const RESPONSE_TIME_HALF_LIFE_SENDS: f64 = 1.0;
/// The largest capacity ratio that is taken from reported rates. Prevents odd reports from counting.
const MAX_CAPACITY_RATIO: f64 = 3.0;

impl Balancer {
    /// A part was answered after so many seconds: updates the times of its replica and of all.
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

    /// A replica answered nothing for so many seconds, so it takes that at least. Prevents jammed replicas
    /// from being known by the few answers that were still waited for.
    pub(super) fn record_unanswered_wait(&mut self, id: ReplicaId, waited: f64) {
        let usual = self.usual_response_time(id);
        if let Some(replica) = self.replicas.get_mut(&id).filter(|_| waited > usual) {
            replica.response_time = DecayingAverage { value: waited, updated_at: self.now };
        }
    }

    /// What a warm replica serves at its most over what the mean one serves, by the rates that they report:
    /// capacity itself is not known, and the 90th percentile of the rates bounds it from below. 1 where no
    /// rates are reported.
    pub(super) fn capacity_ratio(&self) -> f64 {
        self.replica_stats.reported_rates.p90_over_mean().clamp(1.0, MAX_CAPACITY_RATIO)
    }

    /// How a replica's response time decays to the mean one. Where traffic is sparse, it lasts until the next
    /// send.
    fn response_time_decay(&self) -> Decay {
        let half_life = if self.replica_stats.sparse_since_start {
            RESPONSE_TIME_HALF_LIFE_SENDS * self.replica_stats.send_interval
        } else {
            RESPONSE_TIME_HALF_LIFE_SECONDS
        };
        Decay { now: self.now, half_life, base: self.latency.mean }
    }

    /// Response time of a replica in seconds, as last seen; without a sample it decays to the mean one.
    pub(super) fn usual_response_time(&self, id: ReplicaId) -> f64 {
        self.replicas[&id].response_time.value_at(self.response_time_decay())
    }

    /// The present response time of parts in seconds. Without a sample it decays, as rejections keep it from
    /// being measured.
    fn current_response_time(&self) -> f64 {
        let since_success = self.now - self.latency.last_success_at;
        self.latency.current * 0.5f64.powf(since_success / CURRENT_HALF_LIFE_SECONDS)
    }

    /// Seconds that a query of this class takes from its first send, as parts go now; where traffic is
    /// sparse, as our last queries went, if that is longer. Prevents admission into a jam of a few replicas,
    /// which the mean part hides, and into an overload that is forgotten before our next query comes.
    pub(super) fn expected_query_time(&self, class: &Class) -> f64 {
        let last_queries = if self.replica_stats.sparse { self.recent_query_time() } else { 0.0 };
        let steps = if class.second_step_parts > 0 { TWO_STEP_FACTOR } else { 1.0 };
        last_queries.max(self.current_response_time() * SLOWEST_PART_FACTOR) * steps
    }

    /// Seconds that our last queries took, as narrow ones; without a sample it decays.
    fn recent_query_time(&self) -> f64 {
        let half_life = QUERY_TIME_HALF_LIFE_INTERVALS * self.query_interval();
        self.latency.query_time * 0.5f64.powf((self.now - self.latency.query_finished_at) / half_life)
    }

    /// A query finished after so many seconds, reckoned as a narrow one.
    pub(super) fn record_query_time(&mut self, elapsed: f64) {
        self.latency.query_time = QUERY_TIME_WEIGHT * (elapsed + self.recent_query_time());
        self.latency.query_finished_at = self.now;
    }

    /// Seconds between two queries of ours.
    pub(super) fn query_interval(&self) -> f64 {
        RECENT_SECONDS / (self.recent.received.retained() - self.recent.parts.retained()).max(1.0)
    }
}

/// How many times a narrow query's time one of so many parts takes.
pub(super) fn width_factor(parts: usize) -> f64 {
    1.0 + WIDTH_LOG_FACTOR * (parts.max(NARROW_QUERY_PARTS) as f64 / NARROW_QUERY_PARTS as f64).ln()
}

/// How many times the mean part's time a query of so many parts and steps takes.
pub fn query_time_factor(parts: usize, steps: u32) -> f64 {
    let steps_factor = if steps > 1 { TWO_STEP_FACTOR } else { 1.0 };
    width_factor(parts) * SLOWEST_PART_FACTOR * steps_factor
}
