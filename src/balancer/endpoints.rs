//! The endpoint list. Drains, removals and returns take effect immediately; a broken subscription
//! is renewed with backoff.
use std::collections::BTreeSet;

use rand_core::RngCore;

use super::interface::{Action, Discovery, Endpoint, EndpointState, EndpointUpdate};
use super::state::Replica;
use super::Balancer;

/// Seconds after which a removed replica is forgotten; longer than any attempt stays in flight.
const FORGET_REMOVED_SECONDS: f64 = 30.0;
/// Initial backoff, in seconds, before a broken subscription is renewed; doubles with each renewal.
pub(super) const INITIAL_BACKOFF_SECONDS: f64 = 0.5;
/// Maximum backoff, as a fraction of the interval within which the list must be polled.
const MAX_BACKOFF_SHARE: f64 = 0.25;

impl Balancer {
    /// Applies an endpoint list. Only `Ready` replicas are eligible from then on; a full list
    /// removes every replica that it does not contain.
    pub(super) fn update_endpoints(&mut self, update: EndpointUpdate, endpoints: &[Endpoint]) {
        match update {
            EndpointUpdate::Failed => {
                self.resubscribe_at.get_or_insert(self.now + self.resubscribe_backoff);
                return self.actions.push(Action::Timer { after: self.resubscribe_backoff });
            }
            EndpointUpdate::Full | EndpointUpdate::Cached => self.remove_unlisted(endpoints),
            EndpointUpdate::Delta => {}
        }
        self.resubscribe_backoff = INITIAL_BACKOFF_SECONDS;
        for endpoint in endpoints {
            self.update_endpoint(&self.with_bounded_start_error(endpoint));
        }
        self.replica_stats.ready = self.replica_index.ready_count().max(1) as f64;
        let is_long_ago = |removed_at: f64| self.now - removed_at >= FORGET_REMOVED_SECONDS;
        self.replica_index.forget_removed(&mut self.replicas, is_long_ago);
    }

    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<_> = endpoints.iter().map(|e| e.replica).collect();
        let has_slow_start = self.settings.slow_start.is_some();
        for (id, r) in self.replicas.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            r.set_state(EndpointState::Removed, self.now);
            self.replica_index.update(*id, r, has_slow_start);
        }
    }

    /// Applies one entry. A replica with a later start time is a new process, so all state of the
    /// old one is dropped except its in-flight attempts and recent sends.
    fn update_endpoint(&mut self, endpoint: &Endpoint) {
        let id = endpoint.replica;
        if endpoint.state == EndpointState::Removed && !self.replicas.contains_key(&id) {
            return;
        }
        let replica = self.replicas.entry(id).or_default();
        let Endpoint { cell: old_cell, zone: old_zone, .. } = replica.endpoint;
        if endpoint.started > replica.endpoint.started {
            let in_flight = std::mem::take(&mut replica.in_flight);
            let recent_sends = std::mem::take(&mut replica.recent_sends);
            *replica = Replica { in_flight, recent_sends, ..Replica::default() };
            replica.rounding_phase = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        }
        self.replica_index.move_to_cell(id, old_cell, endpoint.cell);
        replica.set_state(endpoint.state, self.now);
        replica.endpoint = *endpoint;
        self.replica_index.update(id, replica, self.settings.slow_start.is_some());
        self.record_zone_change(id, old_zone);
    }

    /// Renews a broken subscription once its backoff has elapsed, if discovery requires polling.
    pub(super) fn renew_subscription(&mut self) {
        let Discovery::Poll { poll_within } = self.settings.discovery else { return };
        if self.resubscribe_at.is_some_and(|at| at <= self.now) {
            self.resubscribe_at = None;
            let longest = (poll_within * MAX_BACKOFF_SHARE).max(INITIAL_BACKOFF_SECONDS);
            self.resubscribe_backoff = (self.resubscribe_backoff * 2.0).min(longest);
            self.actions.push(Action::Subscribe);
        }
    }
}
