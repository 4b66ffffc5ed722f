//! Which replicas may be chosen for a part, and which of two gets it ("The power of two choices").
use rand_core::RngCore;

use super::interface::{ClassId, LoadReporting, ReplicaId, ShardId};
use super::state::Replica;
use super::{Balancer, STALE_AFTER_SECONDS};

/// Replicas that are chosen where traffic is sparse: the two fastest of them are the pair.
const CHOICES_WHEN_SPARSE: usize = 4;
/// A reported load under this, in parts, is idle.
const IDLE_BELOW: f64 = 0.5;
/// Steps into which a reported utilization is divided in a comparison.
const UTILIZATION_STEPS: f64 = 4.0;
/// Steps into which the mean response time is divided in a comparison.
const RESPONSE_TIME_STEPS: f64 = 2.0;
/// Seconds that a mean response time counts as at least.
const MIN_MEAN_SECONDS: f64 = 1e-6;

impl Balancer {
    /// The load that a replica reported, unless that is stale.
    fn fresh_load(&self, r: &Replica) -> Option<f64> {
        r.reported_load().filter(|_| self.now - r.last_report_at < STALE_AFTER_SECONDS)
    }

    /// The queue that a choice compares, in parts: the report plus what we sent since. What was sent in this
    /// very round is left out while its call has room, so that parts that arrive together share it.
    fn queue_depth(&self, id: ReplicaId) -> i64 {
        let Some(r) = self.replicas.get(&id) else { return i64::MAX };
        let (reported, since) = match r.reported_load() {
            None => (0.0, f64::NEG_INFINITY),
            Some(_) => (self.fresh_load(r).unwrap_or(self.replica_stats.mean_load), r.last_report_at),
        };
        let counts = |sent_at: f64| sent_at > since && (sent_at < self.now || !self.has_open_call(id));
        let sent_since = r.in_flight.values().filter(|f| counts(f.sent_at)).count();
        (reported + sent_since as f64).round() as i64
    }

    /// Whether a replica reports no load; where it reports none at all, whether it has nothing of ours but
    /// what is sent in this round, and had something lately.
    pub(super) fn is_idle(&self, id: ReplicaId) -> bool {
        let Some(r) = self.replicas.get(&id) else { return false };
        if r.reported_load().is_some() {
            return self.fresh_load(r).is_some_and(|load| load < IDLE_BELOW);
        }
        self.now - r.last_used_at < STALE_AFTER_SECONDS && r.in_flight.values().all(|f| f.sent_at == self.now)
    }

    /// Whether a call of this round to a replica has room for another part.
    fn has_open_call(&self, id: ReplicaId) -> bool {
        let parts_per_call = self.settings.max_parts_per_call.max(1);
        self.replica_stats.sends_this_round.get(&id).is_some_and(|sent| sent % parts_per_call != 0)
    }

    /// Who may be chosen: healthy holders of the shard, else the least bad one. A replica without slow-start
    /// capacity is never chosen, nor is one that backs off. Where only backoff keeps a sound holder from it,
    /// the part waits. Prevents its few attempts from being spent on an ejected zone, which does not back
    /// off.
    fn eligible_replicas(&mut self, class: ClassId, shard: ShardId, avoid: &[ReplicaId]) -> Vec<ReplicaId> {
        let now = self.now;
        let mut eligible = self.ready_holders(shard);
        self.replica_index.entries_visited += eligible.len();
        let is_sound = |r: &Replica| {
            r.ejected_until(class) <= now && r.overall.probation_remaining == 0 && !self.is_zone_ejected(r)
        };
        let mut holders = eligible.iter().map(|id| &self.replicas[id]);
        let sound_one_backs_off = holders.any(|r| r.is_backing_off(now) && is_sound(r));
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
        if !healthy.is_empty() || sound_one_backs_off {
            return healthy;
        }
        let ejected_until = |id: &ReplicaId| self.replicas[id].ejected_until(class).max(now);
        let least_bad = eligible
            .into_iter()
            .min_by(|a, b| badness(a).cmp(&badness(b)).then(ejected_until(a).total_cmp(&ejected_until(b))));
        least_bad.into_iter().collect()
    }

    /// A random ordered pair, or fewer; one that was chosen in this round before comes first while its call
    /// has room.
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

    /// The replica with the shorter queue; a tie goes to an open call, then to one in slow start, then to the
    /// less busy one, then to our zone.
    pub(super) fn less_loaded(&self, pair: &[ReplicaId]) -> Option<ReplicaId> {
        let key = |id: &ReplicaId| {
            let is_in_other_zone = self.replicas[id].endpoint.zone != self.settings.zone;
            (
                self.queue_depth(*id),
                !self.has_open_call(*id),
                !self.is_slow_start_turn(*id),
                self.busyness(*id),
                is_in_other_zone,
            )
        };
        pair.iter().copied().min_by_key(key)
    }

    /// How busy a replica is, in coarse steps: by its reported utilization, or by its response times where
    /// answers don't report it.
    fn busyness(&self, id: ReplicaId) -> i64 {
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
