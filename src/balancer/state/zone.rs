//! The replicas together, as a round begins, and zone by zone.
use std::collections::{BTreeMap, BTreeSet};

use super::PercentileSpread;
use crate::balancer::interface::{ReplicaId, ZoneId};

/// Figures on all replicas together.
#[derive(Default)]
pub struct ReplicaStats {
    /// How many may be chosen, at least 1.
    pub ready: f64,
    /// How many of these are warm, at least 1.
    pub warm: f64,
    /// Parts that warm ones completed for us since the last round.
    pub warm_completions: f64,
    /// Parts that one warm replica completes for us in an overload window of the slow start.
    pub warm_throughput: f64,
    /// The mean of the loads that they reported lately.
    pub mean_load: f64,
    /// Seconds between two sends of ours to one replica.
    pub send_interval: f64,
    /// The rates that warm ones report, in requests a second.
    pub reported_rates: PercentileSpread,
    /// Over half of them owe an answer, and none at all has come lately: the fault is not theirs.
    pub stalled: bool,
    /// Sends to one replica lie further apart than reports hold: what is seen must last until the next send.
    pub sparse: bool,
    /// The same, also just after our start, when we have sent little yet.
    pub sparse_since_start: bool,
    /// What is known of each zone.
    pub zones: BTreeMap<ZoneId, ZoneHealth>,
    /// When a replica of any zone last answered anything, in seconds.
    pub last_response_at: f64,
    /// Zones that may be out: enough of their replicas are unresponsive.
    pub suspected_zones: BTreeSet<ZoneId>,
    /// Parts sent to each replica in this round: they share calls.
    pub sends_this_round: BTreeMap<ReplicaId, u32>,
}

/// What is known of the replicas of one zone together.
#[derive(Default)]
pub struct ZoneHealth {
    /// When one of them last answered anything, in seconds.
    pub last_response_at: f64,
    /// Those that were sent to since then and did not answer or could not be reached.
    pub unresponsive: BTreeSet<ReplicaId>,
    /// Until when the zone is ejected, if it is; then one part may try it.
    pub ejected_until: Option<f64>,
}

impl ReplicaStats {
    /// A replica of a zone answered just now.
    pub fn record_response(&mut self, zone: ZoneId, now: f64) {
        self.zones.insert(zone, ZoneHealth::responsive_at(now));
        self.last_response_at = self.last_response_at.max(now);
    }

    /// A replica did not answer, or could not be reached, for what it was sent at a time. That counts against
    /// its zone, unless the zone answered since; with `least` such replicas the zone is suspected.
    pub fn record_unresponsive(&mut self, zone: ZoneId, id: ReplicaId, sent_at: f64, least: usize) {
        let health = self.zones.entry(zone).or_default();
        if sent_at > health.last_response_at
            && health.unresponsive.insert(id)
            && health.unresponsive.len() >= least
        {
            self.suspected_zones.insert(zone);
        }
    }

    /// Eject the suspected zones that another zone has answered after; returns whether there was one.
    pub fn eject_suspected_zones(&mut self, until: f64, least: usize) -> bool {
        let last_response_at = self.last_response_at;
        let zones = &mut self.zones;
        let mut ejected = false;
        self.suspected_zones.retain(|zone| {
            let Some(health) = zones.get_mut(zone) else { return false };
            let suspected = health.ejected_until.is_none() && health.unresponsive.len() >= least;
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
    /// A zone of which a replica answered at this time.
    pub fn responsive_at(now: f64) -> ZoneHealth {
        ZoneHealth { last_response_at: now, ..ZoneHealth::default() }
    }
}
