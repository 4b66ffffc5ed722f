//! The list of replicas: drains, losses and returns act at once; a broken subscription is renewed.
use super::*;

/// Seconds after which a replica that is gone is forgotten: longer than any attempt is out.
const FORGET: f64 = 30.0;
/// Seconds before a broken subscription is renewed first; it doubles up to a quarter of the told time.
pub(super) const RENEW: f64 = 0.5;

impl Balancer {
    /// A drain or a loss acts at once: only `Ready` replicas are drawn. A full list drops what it lacks.
    pub(super) fn members(&mut self, news: EndpointUpdate, entries: &[Endpoint]) {
        match news {
            EndpointUpdate::Failed => {
                self.renew_at.get_or_insert(self.now + self.renew);
                return self.out.push(Action::Timer { after: self.renew });
            }
            EndpointUpdate::Full | EndpointUpdate::Cached => {
                let listed: BTreeSet<_> = entries.iter().map(|e| e.replica).collect();
                for (id, r) in self.replicas.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                    r.leave(EndpointState::Removed, self.now);
                    self.census.list(*id, r, self.s.slow_start.is_some());
                }
            }
            EndpointUpdate::Delta => {}
        }
        self.renew = RENEW;
        entries.iter().for_each(|entry| self.list(entry));
        self.replica_stats.ready = self.census.ready().max(1) as f64;
        self.census.forget_gone(&mut self.replicas, |gone| self.now - gone >= FORGET);
    }

    /// A replica with a new start is a new process: what was held against the old one is dropped.
    fn list(&mut self, entry: &Endpoint) {
        if entry.state == EndpointState::Removed && !self.replicas.contains_key(&entry.replica) {
            return;
        }
        let replica = self.replicas.entry(entry.replica).or_default();
        let zone = replica.listed.zone;
        if entry.started > replica.listed.started {
            let (out, sent) = (std::mem::take(&mut replica.out), std::mem::take(&mut replica.sent));
            *replica = Replica { out, sent, ..Replica::default() };
            replica.phase = (self.rng.next_u32() as f64) / f64::from(u32::MAX);
        }
        self.census.place(entry.replica, replica.listed.cell, entry.cell);
        replica.leave(entry.state, self.now);
        replica.listed = *entry;
        self.census.list(entry.replica, replica, self.s.slow_start.is_some());
        self.moved(entry.replica, zone);
    }

    pub(super) fn subscribe(&mut self) {
        let Discovery::Ask { within } = self.s.discovery else { return };
        if self.renew_at.is_some_and(|at| at <= self.now) {
            self.renew_at = None;
            self.renew = (self.renew * 2.0).min((within / 4.0).max(RENEW));
            self.out.push(Action::Subscribe);
        }
    }
}
