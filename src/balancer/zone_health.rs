//! Zone outage detection: a zone in which many replicas are unresponsive at once is ejected as a
//! whole.
use super::interface::{Outcome, ReplicaId, ZoneId};
use super::outlier_detection::FIRST_EJECTION_SECONDS;
use super::state::Replica;
use super::Balancer;

/// Number of unresponsive replicas, without an answer from the zone in between, at which the zone
/// is ejected.
const MIN_UNRESPONSIVE_IN_ZONE: usize = 4;

impl Balancer {
    /// Records the outcome of an attempt in the state of its replica's zone.
    pub(super) fn record_zone_outcome(
        &mut self,
        zone: ZoneId,
        id: ReplicaId,
        outcome: Outcome,
        sent_at: f64,
    ) {
        match outcome {
            Outcome::Succeeded | Outcome::Rejected | Outcome::Error => {
                self.replica_stats.record_response(zone, self.now);
            }
            Outcome::ConnectFailed => {
                self.replica_stats.record_unresponsive(zone, id, sent_at, MIN_UNRESPONSIVE_IN_ZONE);
            }
            Outcome::TimedOut
            | Outcome::Reset
            | Outcome::ConnectionLost
            | Outcome::Cancelled
            | Outcome::NeverSent => {}
        }
    }

    /// Counts attempts in flight for longer than the 90th percentile against their zones, and
    /// ejects the zones that appear to be out.
    pub(super) fn eject_unresponsive_zones(&mut self) {
        let overdue_before = self.now - self.latency.p90;
        let interval = self.send_interval();
        for (id, sent_at) in self.in_flight.newly_unanswered(overdue_before) {
            let zone = self.replicas[&id].endpoint.zone;
            self.replica_stats.record_unresponsive(zone, id, sent_at, MIN_UNRESPONSIVE_IN_ZONE);
        }
        let until = self.now + interval.max(FIRST_EJECTION_SECONDS);
        if self.replica_stats.eject_suspected_zones(until, MIN_UNRESPONSIVE_IN_ZONE) {
            self.open_queries.mark_all_changed();
        }
    }

    /// Extends the ejection of a zone when a part is sent to it, until an answer would have
    /// arrived; no other part is sent to the zone before that. `interval` is the send interval per
    /// replica in seconds.
    pub(super) fn extend_zone_ejection(&mut self, zone: ZoneId, interval: f64) {
        let health = self.replica_stats.zones.get_mut(&zone);
        if let Some(until) = health.and_then(|health| health.ejected_until.as_mut()) {
            *until = self.now + interval.max(FIRST_EJECTION_SECONDS);
        }
    }

    /// Returns whether a replica's zone is ejected. Where traffic is sparse, ejecting replicas one
    /// by one would detect the outage of a zone only when it is over.
    pub(super) fn is_zone_ejected(&self, replica: &Replica) -> bool {
        let health = self.replica_stats.zones.get(&replica.endpoint.zone);
        health.and_then(|health| health.ejected_until).is_some_and(|until| until > self.now)
    }
}
