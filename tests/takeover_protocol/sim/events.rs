//! Effects of the simulation's events on members and links.
use std::rc::Rc;

use marlgap::cluster::takeover::{ClientToken, Message, SubmitRequest};
use marlgap::cluster::Configuration;

use super::{Event, Node, Simulation, MS};

impl Event {
    /// Returns the member that the event concerns, if a paused or dead member does not handle it.
    fn node(&self) -> Option<usize> {
        match self {
            Event::Deliver(n, ..) | Event::Timer(n) | Event::Configure(n, _) => Some(*n),
            Event::Submit { node, .. } | Event::AttemptFinished { node, .. } => Some(*node),
            _ => None,
        }
    }
}

impl Simulation {
    pub(super) fn event(&mut self, event: Event) {
        if let Some(n) = event.node() {
            if self.nodes[n].paused {
                return self.nodes[n].deferred.push(event);
            }
            if !self.nodes[n].up && !matches!(event, Event::Submit { .. }) {
                return;
            }
        }
        match event {
            Event::Deliver(n, from, message) => {
                let now = self.clock(n);
                let read = Message::from_bytes(&message.to_bytes()).expect("readable");
                self.nodes[n].takeover.receive(now, self.now / MS, &from, read);
                self.carry_out(n);
            }
            Event::Timer(n) => {
                let now = self.clock(n);
                self.nodes[n].wake_at = None;
                self.nodes[n].takeover.tick(now, self.now / MS);
                self.carry_out(n);
            }
            Event::Configure(n, epoch) => self.configure(n, epoch),
            Event::Submit { node, client } => self.submit(node, client),
            Event::AttemptFinished { node, incarnation, key, shard, result } => {
                if self.nodes[node].id.incarnation == incarnation {
                    self.attempt_finished(node, key, shard, result);
                    self.carry_out(node);
                }
            }
            Event::Cut(a, b, cut) => self.cut[a][b] = cut && a != b,
            Event::Pause(n, span) => {
                self.nodes[n].paused = true;
                self.schedule(span, Event::Resume(n));
            }
            Event::Resume(n) => self.resume(n),
            Event::Kill(n, restart_after) => self.kill(n, restart_after),
            Event::Restart(n) => {
                let incarnation = self.nodes[n].id.incarnation + 1;
                self.nodes[n] = self.new_node(n, incarnation);
                let epoch = self.configs.last().map_or(0, Configuration::epoch);
                self.event(Event::Configure(n, epoch));
            }
            Event::Reconfigure => self.reconfigure(),
        }
    }

    fn configure(&mut self, n: usize, epoch: u64) {
        let now = self.clock(n);
        for config in self.configs.clone().into_iter().filter(|c| c.epoch() <= epoch) {
            self.nodes[n].takeover.configure(now, config);
        }
        self.carry_out(n);
    }

    /// A client submits to the member `node`, or to the next one that is alive.
    fn submit(&mut self, node: usize, client: usize) {
        let count = self.nodes.len();
        let Some(n) = (0..count).map(|i| (node + i) % count).find(|n| self.nodes[*n].up) else { return };
        let now = self.clock(n);
        let c = &mut self.clients[client];
        c.at = n;
        c.submitted = true;
        let request = SubmitRequest {
            id: Rc::clone(&c.id),
            class: c.class,
            payload: Rc::clone(&c.payload),
            deadline_unix_ms: c.deadline_unix_ms,
            shards: [1, 2].into(),
        };
        self.nodes[n].takeover.submit(now, self.now / MS, client as ClientToken, request);
        self.submitting = Some(client);
        self.carry_out(n);
        self.submitting = None;
    }

    fn resume(&mut self, n: usize) {
        self.nodes[n].paused = false;
        let mut deferred = std::mem::take(&mut self.nodes[n].deferred);
        // Messages that arrived meanwhile and the member's own timers are handled in either order.
        if self.chance_permille(500) {
            deferred.sort_by_key(|e| !matches!(e, Event::Timer(_)));
        }
        deferred.into_iter().for_each(|e| self.event(e));
    }

    fn reconfigure(&mut self) {
        let config = self.new_configuration(2, self.plan.members);
        self.configs.push(config);
        for n in 0..self.nodes.len() {
            let after = self.random_below(400 * MS);
            self.schedule(after, Event::Configure(n, 2));
        }
    }

    fn kill(&mut self, n: usize, restart_after: Option<u64>) {
        let dead = self.nodes.iter().filter(|n| !n.up).count();
        if !self.nodes[n].up || self.nodes[n].paused || restart_after.is_none() && dead > 0 {
            return;
        }
        let empty = self.new_node(n, 0);
        let id = self.nodes[n].id.clone();
        let old = std::mem::replace(&mut self.nodes[n], Node { id: id.clone(), up: false, ..empty });
        self.dead.push((id.clone(), old.takeover));
        // Its clients submit to another member, with the same id.
        for client in 0..self.clients.len() {
            let c = &self.clients[client];
            if c.submitted && c.at == n && c.replies.is_empty() {
                let node = self.random_below(self.nodes.len() as u64) as usize;
                let after = 1 + self.random_below(20 * MS);
                self.schedule(after, Event::Submit { node, client });
            }
        }
        // Each of the others is notified at once with a probability of one half.
        for at in 0..self.nodes.len() {
            if self.nodes[at].up && self.chance_permille(500) {
                let now = self.clock(at);
                self.nodes[at].takeover.record_gossip(now, &id, false);
            }
        }
        if let Some(after) = restart_after {
            self.schedule(after, Event::Restart(n));
        }
    }
}
