//! Slow start: a replica that started lately gets parts by what it stands, which grows over its ramp.
//!
//! A warming-up replica accrues credit for each part that warm ones complete, and a part that is sent to it
//! spends one. Beside that, its sends in any overload window stay within its quota. Both are rounded at
//! random by [`Replica::rounding_phase`], so that all coordinators together keep to the sum.
use super::interface::{Endpoint, ReplicaId};
#[cfg(doc)]
use super::state::Replica;
use super::{Balancer, RECENT_SECONDS};

/// Share of the overload factor that is used; the rest is left for chance: `docs/history/acceptance.md`.
const SLOW_START_SHARE: f64 = 0.8;

impl Balancer {
    /// Give each warming-up replica its credit for the parts that warm ones completed; none just after our
    /// start, when it is not known what an earlier process sent. Prevents a rush where lists and reports come
    /// late and at once.
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
            let most = (share * warm_throughput).max(1.0 - r.rounding_phase);
            r.slow_start_credit = (r.slow_start_credit + share * completed).min(most);
        }
    }

    /// An entry of a list whose start, if that is uncertain, is the latest that it may have been less an
    /// error that does no harm: with an age that much too high, a replica still gets no more than the
    /// overload factor, of which only [`SLOW_START_SHARE`] is used.
    pub(super) fn with_tolerated_start(&self, endpoint: &Endpoint) -> Endpoint {
        let Some(rule) = self.settings.slow_start else { return *endpoint };
        if !endpoint.start_uncertainty.is_finite() {
            return *endpoint;
        }
        let reserve = 1.0 / SLOW_START_SHARE - 1.0;
        let capacity_per_second = (1.0 - rule.initial_capacity) / rule.ramp;
        let harmless = reserve * rule.initial_capacity / capacity_per_second;
        let error = endpoint.start_uncertainty.min(harmless);
        Endpoint {
            started: endpoint.started.map(|latest| latest - error),
            start_uncertainty: endpoint.start_uncertainty - error,
            ..*endpoint
        }
    }

    /// Whether a replica may get another part from us: it is warm, or it has the credit and its quota in the
    /// overload window is not used up.
    pub(super) fn has_slow_start_capacity(&mut self, id: ReplicaId) -> bool {
        let Some(rule) = self.settings.slow_start else { return true };
        let now = self.now;
        let interval = if now < self.started_at + rule.overload_window { 0.0 } else { self.query_interval() };
        let most = SLOW_START_SHARE * self.capacity_ratio() * self.replica_stats.warm_throughput;
        let Some(r) = self.replicas.get_mut(&id) else { return false };
        let share = most * r.ramp_factor(now - rule.overload_window / 2.0, rule);
        // What it accrues until our next query counts: it would be sent a query's interval late each time.
        let accrued = share / rule.overload_window * interval;
        let has_credit = r.slow_start_credit + accrued >= 1.0 - r.rounding_phase;
        let quota = (share + r.rounding_phase).floor().max(1.0);
        let is_within_quota =
            has_credit && r.recent_sends.count_since(now - rule.overload_window) + 1.0 <= quota;
        is_within_quota || r.warming_up_since(now, self.settings.slow_start).is_none()
    }

    /// Those of a shard's holders that serve as if they were warm, although they may be warming up: none
    /// where a holder is known to be warm. Where none is, each that may be warm serves.
    ///
    /// The ramp gives way here, since a shard whose holders all wait for their ramps would not be served. The
    /// overload factor does not: none of them is sent more than so many times the mean of them all in an
    /// overload window.
    pub(super) fn uncertain_replicas_to_serve(&mut self, holders: &[ReplicaId]) -> Vec<ReplicaId> {
        let Some(rule) = self.settings.slow_start else { return Vec::new() };
        let now = self.now;
        let slow_start = self.settings.slow_start;
        if holders.iter().any(|id| self.replicas[id].warming_up_since(now, slow_start).is_none()) {
            return Vec::new();
        }
        let mut sent = Vec::new();
        for id in holders {
            let Some(r) = self.replicas.get_mut(id).filter(|r| r.may_be_warm(now, rule)) else { continue };
            sent.push((*id, r.recent_sends.count_since(now - rule.overload_window)));
        }
        let mean = sent.iter().map(|(_, count)| count).sum::<f64>() / sent.len().max(1) as f64;
        let most = rule.overload_factor.max(1.0) * mean;
        sent.into_iter().filter(|(_, count)| *count <= most).map(|(id, _)| id).collect()
    }

    /// Whether a replica that is warming up comes first in a choice. Where traffic is sparse, it would miss
    /// its share if it were chosen by chance, and all that restarted would later spend their credit at once.
    pub(super) fn is_slow_start_turn(&self, id: ReplicaId) -> bool {
        let is_warming_up = self.replicas[&id].warming_up_since(self.now, self.settings.slow_start).is_some();
        self.replica_stats.sparse_since_start && is_warming_up
    }
}
