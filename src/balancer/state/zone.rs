//! Statistics over all replicas as of the start of a round, and the health of each zone.
use std::collections::{BTreeMap, BTreeSet};

use super::PercentileSpread;
use crate::balancer::interface::{ReplicaId, ZoneId};

/// Statistics over all replicas.
#[derive(Default)]
pub struct ReplicaStats {
    /// Number of ready replicas, at least 1.
    pub ready: f64,
    /// Number of ready replicas that are warm, at least 1.
    pub warm: f64,
    /// Parts completed by warm replicas since the previous round.
    pub warm_completions: f64,
    /// Parts that one warm replica completes for this coordinator within a slow start overload
    /// window.
    pub warm_throughput: f64,
    /// Mean of the fresh reported loads.
    pub mean_load: f64,
    /// Mean interval between this coordinator's sends to one replica, in seconds.
    pub send_interval: f64,
    /// Request rates reported by warm replicas, in requests per second.
    pub reported_rates: PercentileSpread,
    /// Whether more than half of the replicas have unanswered attempts and no replica has answered
    /// recently, which indicates a fault outside the replicas.
    pub stalled: bool,
    /// Whether traffic is sparse: load reports become stale between two sends to one replica, so that
    /// other observations must remain valid until the next send.
    pub sparse: bool,
    /// Like `sparse`, but also set right after this coordinator's start, when it has sent little.
    pub sparse_since_start: bool,
    /// Health of each zone.
    pub zones: BTreeMap<ZoneId, ZoneHealth>,
    /// When a replica in any zone last answered, in seconds.
    pub last_response_at: f64,
    /// Zones that may be out, because enough of their replicas are unresponsive.
    pub suspected_zones: BTreeSet<ZoneId>,
    /// Parts sent to each replica in the current round, which share calls.
    pub sends_this_round: BTreeMap<ReplicaId, u32>,
}

/// Health of a zone.
#[derive(Default)]
pub struct ZoneHealth {
    /// When a replica of the zone last answered, in seconds.
    pub last_response_at: f64,
    /// Replicas that left an attempt sent since `last_response_at` unanswered, or could not be reached
    /// for it.
    pub unresponsive: BTreeSet<ReplicaId>,
    /// End of the zone's ejection in seconds, if it is ejected; after that, one part is sent to the
    /// zone to test it.
    pub ejected_until: Option<f64>,
}

impl ReplicaStats {
    /// Records that a replica of the zone has answered.
    pub fn record_response(&mut self, zone: ZoneId, now: f64) {
        self.zones.insert(zone, ZoneHealth::responsive_at(now));
        self.last_response_at = self.last_response_at.max(now);
    }

    /// Records that a replica did not answer, or could not be reached, for an attempt sent at
    /// `sent_at`. Counts against the zone unless it has answered since; a zone with
    /// `min_replicas` such replicas is suspected.
    pub fn record_unresponsive(&mut self, zone: ZoneId, id: ReplicaId, sent_at: f64, min_replicas: usize) {
        let health = self.zones.entry(zone).or_default();
        if sent_at > health.last_response_at
            && health.unresponsive.insert(id)
            && health.unresponsive.len() >= min_replicas
        {
            self.suspected_zones.insert(zone);
        }
    }

    /// Ejects, until `until`, the suspected zones with at least `min_replicas` unresponsive replicas,
    /// if another zone has answered since their last answer. Returns whether a zone was ejected.
    pub fn eject_suspected_zones(&mut self, until: f64, min_replicas: usize) -> bool {
        let last_response_at = self.last_response_at;
        let zones = &mut self.zones;
        let mut ejected = false;
        self.suspected_zones.retain(|zone| {
            let Some(health) = zones.get_mut(zone) else { return false };
            let suspected = health.ejected_until.is_none() && health.unresponsive.len() >= min_replicas;
            if suspected && health.last_response_at < last_response_at {
                health.ejected_until = Some(until);
                ejected = true;
            }
            suspected && health.ejected_until.is_none()
        });
        ejected
    }
}

impl ZoneHealth {
    /// Creates the state of a zone that has just answered.
    pub fn responsive_at(now: f64) -> ZoneHealth {
        ZoneHealth { last_response_at: now, ..ZoneHealth::default() }
    }
}
