//! Slow start: a recently started replica receives parts according to its current capacity, which
//! grows over a ramp.
//!
//! A warming-up replica accrues credit with each part that warm replicas complete, and each part
//! sent to it costs one credit. In addition, its sends within any overload window stay within a
//! quota. Both limits are rounded randomly by [`Replica::rounding_phase`], so that the limits of
//! all coordinators together are not exceeded.
use super::interface::{Endpoint, ReplicaId};
#[cfg(doc)]
use super::state::Replica;
use super::{Balancer, RECENT_SECONDS};

/// Fraction of the overload factor that is used; the rest is a margin for random variation, see
/// `docs/history/acceptance.md`.
const SLOW_START_SHARE: f64 = 0.8;

impl Balancer {
    /// Credits each warming-up replica for the parts that warm replicas completed. No credit is
    /// given right after this coordinator's start, when it is unknown what an earlier process sent.
    /// This prevents a burst if lists and reports arrive late and all at once.
    pub(super) fn accrue_credit(&mut self) {
        let Some(rule) = self.settings.slow_start else { return };
        let now = self.now;
        let warm = self.replica_stats.warm;
        let completed = std::mem::take(&mut self.replica_stats.warm_completions) / warm;
        let span = RECENT_SECONDS.min(now - self.started_at).max(rule.overload_window);
        let recent = self.recent.warm_completions.count_since(now - RECENT_SECONDS);
        let warm_throughput = recent / warm * rule.overload_window / span;
        self.replica_stats.warm_throughput = warm_throughput;
        let capacity_ratio = self.capacity_ratio();
        if completed <= 0.0 || now < self.started_at + rule.overload_window {
            return;
        }
        for id in self.replica_index.warming_up() {
            let Some(r) = self.replicas.get_mut(&id) else { continue };
            let share = SLOW_START_SHARE * r.ramp_factor(now, rule) * capacity_ratio;
            let max_credit = (share * warm_throughput).max(1.0 - r.rounding_phase);
            r.slow_start_credit = (r.slow_start_credit + share * completed).min(max_credit);
        }
    }

    /// Returns the entry with an uncertain start moved back from its latest possible time by as
    /// much as is safe. Even if the replica's age is overestimated by that much, it receives no
    /// more than the overload factor allows, because only [`SLOW_START_SHARE`] of it is used.
    pub(super) fn with_bounded_start_error(&self, endpoint: &Endpoint) -> Endpoint {
        let Some(rule) = self.settings.slow_start else { return *endpoint };
        if !endpoint.start_uncertainty.is_finite() {
            return *endpoint;
        }
        let share_reserve = 1.0 / SLOW_START_SHARE - 1.0;
        let capacity_per_second = (1.0 - rule.initial_capacity) / rule.ramp;
        let max_safe_error = share_reserve * rule.initial_capacity / capacity_per_second;
        let error = endpoint.start_uncertainty.min(max_safe_error);
        Endpoint {
            started: endpoint.started.map(|latest| latest - error),
            start_uncertainty: endpoint.start_uncertainty - error,
            ..*endpoint
        }
    }

    /// Returns whether a replica may be sent another part: it is warm, or it has enough credit and
    /// its quota in the overload window is not used up.
    pub(super) fn has_slow_start_capacity(&mut self, id: ReplicaId) -> bool {
        let Some(rule) = self.settings.slow_start else { return true };
        let now = self.now;
        let interval = if now < self.started_at + rule.overload_window { 0.0 } else { self.query_interval() };
        let warm_quota = SLOW_START_SHARE * self.capacity_ratio() * self.replica_stats.warm_throughput;
        let Some(r) = self.replicas.get_mut(&id) else { return false };
        let share = warm_quota * r.ramp_factor(now - rule.overload_window / 2.0, rule);
        // Includes the credit accrued until the next query; otherwise every send would come one
        // query interval late.
        let accrued = share / rule.overload_window * interval;
        let has_credit = r.slow_start_credit + accrued >= 1.0 - r.rounding_phase;
        let quota = (share + r.rounding_phase).floor().max(1.0);
        let is_within_quota =
            has_credit && r.recent_sends.count_since(now - rule.overload_window) + 1.0 <= quota;
        is_within_quota || r.warming_up_since(now, self.settings.slow_start).is_none()
    }

    /// Returns the holders of a shard that are treated as warm although they may still be warming
    /// up: every holder that may be warm, unless one of the holders is known to be warm.
    ///
    /// This suspends the ramp of these holders, because a shard whose holders are all waiting for
    /// their ramps would not be served. The overload factor still applies: within an overload
    /// window, none of these holders is sent more than the overload factor times their mean.
    pub(super) fn uncertain_replicas_to_serve(&mut self, holders: &[ReplicaId]) -> Vec<ReplicaId> {
        let Some(rule) = self.settings.slow_start else { return Vec::new() };
        let now = self.now;
        let slow_start = self.settings.slow_start;
        if holders.iter().any(|id| self.replicas[id].warming_up_since(now, slow_start).is_none()) {
            return Vec::new();
        }
        let mut send_counts = Vec::new();
        for id in holders {
            let Some(r) = self.replicas.get_mut(id).filter(|r| r.may_be_warm(now, rule)) else { continue };
            send_counts.push((*id, r.recent_sends.count_since(now - rule.overload_window)));
        }
        let mean = send_counts.iter().map(|(_, count)| count).sum::<f64>() / send_counts.len().max(1) as f64;
        let max_sends = rule.overload_factor.max(1.0) * mean;
        send_counts.into_iter().filter(|(_, count)| *count <= max_sends).map(|(id, _)| id).collect()
    }

    /// Returns whether a warming-up replica is preferred in a selection. Where traffic is sparse,
    /// random selection would rarely choose it as often as its credit allows, and replicas that
    /// restarted together would later spend their accumulated credit at once.
    pub(super) fn is_slow_start_turn(&self, id: ReplicaId) -> bool {
        let is_warming_up = self.replicas[&id].warming_up_since(self.now, self.settings.slow_start).is_some();
        self.replica_stats.sparse_since_start && is_warming_up
    }
}
