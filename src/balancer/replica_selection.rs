//! Selection of replicas for a part: which are eligible, and which of two is chosen ("The power of
//! two choices").
use rand_core::RngCore;

use super::interface::{ClassId, LoadReporting, ReplicaId, ShardId};
use super::state::Replica;
use super::{Balancer, STALE_AFTER_SECONDS};

/// Number of candidates where traffic is sparse; the fastest two of them form the pair.
const CHOICES_WHEN_SPARSE: usize = 4;
/// A replica that reports a load below this, in parts, is idle.
const IDLE_BELOW: f64 = 0.5;
/// Number of steps into which utilization is quantized for comparisons.
const UTILIZATION_STEPS: f64 = 4.0;
/// Number of steps per mean response time into which response times are quantized for comparisons.
const RESPONSE_TIME_STEPS: f64 = 2.0;
/// Lower bound, in seconds, of the mean response time in comparisons.
const MIN_MEAN_SECONDS: f64 = 1e-6;

impl Balancer {
    /// Returns the reported load of a replica unless the report is stale.
    fn fresh_load(&self, r: &Replica) -> Option<f64> {
        r.reported_load().filter(|_| self.now - r.last_report_at < STALE_AFTER_SECONDS)
    }

    /// Returns the queue depth used in comparisons, in parts: the reported load plus what was sent
    /// since the report. Sends of the current round are excluded while their call has room for more
    /// parts, so that parts that arrive together share a call.
    fn queue_depth(&self, id: ReplicaId) -> i64 {
        let Some(r) = self.replicas.get(&id) else { return i64::MAX };
        let (reported, reported_at) = match r.reported_load() {
            None => (0.0, f64::NEG_INFINITY),
            Some(_) => (self.fresh_load(r).unwrap_or(self.replica_stats.mean_load), r.last_report_at),
        };
        let is_counted =
            |sent_at: f64| sent_at > reported_at && (sent_at < self.now || !self.has_open_call(id));
        let sent_since = r.in_flight.values().filter(|f| is_counted(f.sent_at)).count();
        (reported + sent_since as f64).round() as i64
    }

    /// Returns whether a replica is idle. Without load reports, a replica is idle if it was used
    /// recently and holds nothing of this coordinator but sends of the current round.
    pub(super) fn is_idle(&self, id: ReplicaId) -> bool {
        let Some(r) = self.replicas.get(&id) else { return false };
        if r.reported_load().is_some() {
            return self.fresh_load(r).is_some_and(|load| load < IDLE_BELOW);
        }
        self.now - r.last_used_at < STALE_AFTER_SECONDS && r.in_flight.values().all(|f| f.sent_at == self.now)
    }

    /// Returns whether a call of the current round to a replica has room for another part.
    fn has_open_call(&self, id: ReplicaId) -> bool {
        let parts_per_call = self.settings.max_parts_per_call.max(1);
        self.replica_stats.sends_this_round.get(&id).is_some_and(|sent| sent % parts_per_call != 0)
    }

    /// Returns the replicas that may be chosen: the healthy holders of the shard that are not in
    /// `avoid` or, if there are none, the least bad holder. A replica without slow-start capacity or
    /// one in backoff is never eligible.
    ///
    /// If a healthy holder is only excluded by its backoff, no least bad holder is returned and the
    /// part waits. Otherwise it would spend its few attempts on replicas of an ejected zone, which
    /// are not in backoff.
    fn eligible_replicas(&mut self, class: ClassId, shard: ShardId, avoid: &[ReplicaId]) -> Vec<ReplicaId> {
        let now = self.now;
        let mut eligible = self.ready_holders(shard);
        self.replica_index.entries_visited += eligible.len();
        let is_healthy = |r: &Replica| {
            r.ejected_until(class) <= now && r.overall.probation_remaining == 0 && !self.is_zone_ejected(r)
        };
        let mut holders = eligible.iter().map(|id| &self.replicas[id]);
        let healthy_one_backs_off = holders.any(|r| r.is_backing_off(now) && is_healthy(r));
        let uncertain = self.uncertain_replicas_to_serve(&eligible);
        eligible.retain(|id| {
            !self.replicas[id].is_backing_off(now)
                && (uncertain.contains(id) || self.has_slow_start_capacity(*id))
        });
        let badness = |id: &ReplicaId| {
            let r = &self.replicas[id];
            (self.is_zone_ejected(r), !r.is_usable(class, now), avoid.contains(id))
        };
        let healthy: Vec<_> =
            eligible.iter().filter(|id| badness(id) == (false, false, false)).copied().collect();
        if !healthy.is_empty() || healthy_one_backs_off {
            return healthy;
        }
        let ejected_until = |id: &ReplicaId| self.replicas[id].ejected_until(class).max(now);
        let least_bad = eligible
            .into_iter()
            .min_by(|a, b| badness(a).cmp(&badness(b)).then(ejected_until(a).total_cmp(&ejected_until(b))));
        least_bad.into_iter().collect()
    }

    /// Returns up to two eligible replicas in random order. A replica already chosen in this round
    /// comes first while its call has room.
    pub(super) fn choose_two(
        &mut self,
        class: ClassId,
        shard: ShardId,
        avoid: &[ReplicaId],
    ) -> Vec<ReplicaId> {
        let mut pair = self.eligible_replicas(class, shard, avoid);
        for i in (1..pair.len()).rev() {
            pair.swap(i, (self.rng.next_u64() % (i as u64 + 1)) as usize);
        }
        pair.sort_by_key(|id| (!self.has_open_call(*id), !self.is_slow_start_turn(*id)));
        if self.replica_stats.sparse_since_start && pair.len() > 2 {
            let comes_first = |id: ReplicaId| self.has_open_call(id) || self.is_slow_start_turn(id);
            let response_time =
                |id: &ReplicaId| if comes_first(*id) { 0.0 } else { self.usual_response_time(*id) };
            pair.truncate(CHOICES_WHEN_SPARSE);
            pair.sort_by(|a, b| response_time(a).total_cmp(&response_time(b)));
        }
        pair.truncate(2);
        pair
    }

    /// Returns the replica with the shorter queue. Ties are broken by an open call, then slow
    /// start, then lower utilization, then this coordinator's zone.
    pub(super) fn less_loaded(&self, pair: &[ReplicaId]) -> Option<ReplicaId> {
        let key = |id: &ReplicaId| {
            let is_in_other_zone = self.replicas[id].endpoint.zone != self.settings.zone;
            (
                self.queue_depth(*id),
                !self.has_open_call(*id),
                !self.is_slow_start_turn(*id),
                self.load_level(*id),
                is_in_other_zone,
            )
        };
        pair.iter().copied().min_by_key(key)
    }

    /// Returns how busy a replica is, in coarse steps: by reported utilization, or by response time
    /// if answers do not report utilization.
    fn load_level(&self, id: ReplicaId) -> i64 {
        let utilization = self.replicas[&id].report.utilization;
        let is_reported = self.settings.load_reporting == LoadReporting::Inline
            && (!self.replica_stats.sparse_since_start || utilization.is_some());
        let steps = if is_reported {
            UTILIZATION_STEPS * utilization.unwrap_or(0.0)
        } else {
            RESPONSE_TIME_STEPS * self.usual_response_time(id) / self.latency.mean.max(MIN_MEAN_SECONDS)
        };
        steps as i64
    }
}
