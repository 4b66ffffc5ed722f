//! Keeps the sums and indexes of a [`Balancer`] up to date as things happen, and orders the work of a round.
//! Decides nothing: what a query sends and how it ends is decided in the files beside this one.
use super::state::{Flight, Part, Query, Verdict};
use super::{GAIN, HEDGE_TAIL, RECENT};
use crate::balancer::interface::*;
use crate::Balancer;

impl Balancer {
    pub(crate) fn take_part(&mut self, event: &Event) {
        let &Event::Part { part, number, shard, weight, prior_attempts, completed } = event else { return };
        self.recent.taken.add(self.now);
        self.recent.arrived.add(self.now);
        let Some(query) = self.queries.get_mut(&number) else { return };
        query.parts.push(part);
        query.served += u32::from(completed);
        if completed {
            query.brings(weight);
        }
        let new = Part::new((number, query.in_class), shard, weight, prior_attempts, completed);
        if let Some(old) = self.parts.insert(part, new) {
            self.agenda.drop_part(part, old);
        }
        self.agenda.touch(number);
    }

    /// Every answer refreshes its replica's entry; the rates of warm ones tell what one of these can serve.
    pub(crate) fn hear(&mut self, id: ReplicaId, report: Option<LoadReport>) {
        let (Some(r), Some(report)) = (self.replicas.get_mut(&id), report) else { return };
        (r.report, r.heard) = (report, self.now);
        self.census.hear(id, r.load(), self.now);
        let warm = r.cold_since(self.now, self.s.slow_start).is_none();
        if let Some(rate) = report.rate.filter(|rate| warm && *rate > 0.0) {
            self.replica_stats.rates.take(rate, GAIN);
        }
    }

    /// Parts of a query that were served, and the replicas that broke over them.
    pub(crate) fn note_outcome(&mut self, part: PartId, replica: ReplicaId, outcome: Outcome) {
        let number = self.parts.get(&part).map(|p| p.number);
        let Some(q) = number.and_then(|n| self.queries.get_mut(&n)) else { return };
        q.served += u32::from(outcome == Outcome::Succeeded);
        if outcome == Outcome::Reset && !q.broke.contains(&replica) {
            q.broke.push(replica);
        }
    }

    /// Seconds between two sends of ours to one replica.
    pub(crate) fn between(&mut self) -> f64 {
        RECENT * self.replica_stats.ready / self.recent.sends.count(self.now - RECENT).max(1.0)
    }

    /// Replicas that are remembered.
    pub fn known(&self) -> usize {
        self.replicas.len()
    }

    /// Those that hold a shard and may be drawn.
    pub(crate) fn holders(&self, shard: ShardId) -> Vec<ReplicaId> {
        let cells = self.s.cells;
        let row = (0..self.s.reach.min(cells)).map(|j| (shard.0 % cells + j) % cells);
        let held = row.flat_map(|cell| self.census.cell(cell));
        held.filter(|id| self.replicas[id].ready()).collect()
    }

    /// Something happened to a part.
    pub(crate) fn note(&mut self, id: PartId) {
        if let Some(part) = self.parts.get_mut(&id) {
            self.agenda.part(id, part);
            self.agenda.touch(part.number);
        }
    }

    /// An attempt has its outcome. A value that leaves its query far from an answer moves nothing: the part
    /// was on its way, or was given up, and now counts no less; nothing more is sent for it. Any other
    /// outcome does.
    pub(crate) fn ended(&mut self, id: PartId, event: &Event) {
        let (had, over) = self.parts.get(&id).map_or((true, true), |p| (p.served, p.over));
        self.outcome(event);
        let Some(part) = self.parts.get_mut(&id) else { return };
        self.agenda.part(id, part);
        let Some(query) = self.queries.get_mut(&part.number) else { return };
        let brings = part.served && !had;
        if brings {
            query.brings(part.weight);
        }
        // The first one served may end a probation.
        let passes = brings && !over && query.served > 1 && query.admitted && query.far_from_answer();
        if !passes {
            self.agenda.touch(part.number);
        }
    }

    /// The value of a part has begun to go to the client.
    pub(crate) fn streams(&mut self, id: PartId, event: &Event) {
        self.committed(event);
        self.note(id);
    }

    /// An attempt was sent. At a suspect replica it is late as soon as time goes on; one that tries a lost
    /// room makes that suspect again.
    pub(crate) fn sent(&mut self, replica: ReplicaId, attempt: (PartId, u8), flight: Flight) {
        let Some(r) = self.replicas.get_mut(&replica) else { return };
        self.flights.add(flight.sent, replica, attempt, r.out.insert(attempt, flight));
        let r = &self.replicas[&replica];
        let suspect = r.until(flight.class) > self.now || r.silent() || self.room_lost(r);
        if self.replica_stats.zones.get(&r.listed.zone).is_some_and(|room| room.until.is_some()) {
            self.agenda.touch_all();
        }
        let Some(part) = self.parts.get_mut(&attempt.0) else { return };
        self.agenda.part(attempt.0, part);
        if suspect {
            self.agenda.suspect(part.number, self.now);
        }
    }

    /// An attempt is over; what its replica owed.
    pub(crate) fn landed(&mut self, replica: ReplicaId, attempt: (PartId, u8)) -> Option<Flight> {
        let flight = self.replicas.get_mut(&replica).and_then(|r| r.out.remove(&attempt))?;
        self.flights.remove(flight.sent, replica, attempt);
        Some(flight)
    }

    /// A replica became suspect: look at the queries whose parts it holds.
    pub(crate) fn suspects(&mut self, id: ReplicaId) {
        for (part, _) in self.replicas.get(&id).into_iter().flat_map(|r| r.out.keys()) {
            self.parts.get(part).into_iter().for_each(|p| self.agenda.touch(p.number));
            self.agenda.through += 1;
        }
    }

    /// A replica was listed, before in that zone: what it owes may be held against another.
    pub(crate) fn moved(&mut self, id: ReplicaId, before: ZoneId) {
        if self.replicas.get(&id).is_some_and(|r| r.listed.zone != before && !r.out.is_empty()) {
            self.flights.moved(id);
            self.agenda.touch_all();
        }
    }

    pub(crate) fn withdrawn(&mut self, id: QueryId) {
        let Some(number) = self.agenda.number(id) else { return };
        if let Some(mut query) = self.queries.remove(&number) {
            self.drop_parts(&mut query);
            self.agenda.leave(number, id);
        }
    }

    /// Look at a query. One that nothing happened to, and that waits, is looked at for its waiting parts
    /// alone; whole, where time itself may end their chances, or what the other parts cover says how many are
    /// sent.
    fn work(&mut self, number: QueryNumber, touched: bool) {
        let Some(mut query) = self.queries.remove(&number) else { return };
        let keyed = matches!(query.class.idempotency, Idempotency::Keyed { .. });
        let partial = query.first.is_none() && query.class.target_coverage < 1.0;
        let whole = touched || keyed || partial || self.on_probation(&query);
        let waits = std::mem::take(&mut query.waits);
        let ids = if whole { query.parts.clone() } else { waits };
        self.agenda.through += 1 + ids.len();
        let verdict = if whole { self.settle(&mut query) } else { Verdict::Wait };
        if verdict != Verdict::Wait {
            self.drop_parts(&mut query);
        } else if query.admitted {
            query.waits = self.advance(&query, &ids);
        }
        if verdict == Verdict::Wait && !self.settled(&query) {
            self.agenda.touch(number);
        } else if !query.waits.is_empty() {
            self.agenda.wait(number);
        }
        if query.first.is_none()
            && query.class.second_step_parts > 0
            && self.now < query.aim - HEDGE_TAIL * self.pace.tail
        {
            self.agenda.step(number, query.aim);
        }
        match verdict {
            Verdict::Over => self.agenda.leave(number, query.id),
            _ => drop(self.queries.insert(number, query)),
        }
    }

    /// Whether its chances go by what happens to it alone: it is admitted, and an attempt of it was made.
    fn settled(&self, query: &Query) -> bool {
        let begun = |id: &PartId| self.parts.get(id).is_some_and(|p| !p.attempts.is_empty());
        query.admitted && (query.first.is_some() || query.parts.iter().any(begun))
    }

    /// Work at the queries that something happened to, or whose time has come, in order.
    pub(crate) fn work_all(&mut self) {
        let (now, tail, stalled) = (self.now, self.pace.tail, self.replica_stats.stalled);
        let hedge = |sent: f64| !stalled && now - sent > HEDGE_TAIL * tail;
        let step = |aim: f64| now >= aim - HEDGE_TAIL * tail;
        self.agenda.wake(now, self.recent.suspect > now, hedge, step, &self.parts);
        let mut last = None;
        while let Some((number, touched)) = self.agenda.next(last) {
            last = Some(number);
            self.work(number, touched);
        }
    }

    pub(crate) fn drop_parts(&mut self, query: &mut Query) {
        (query.brought, query.weighs) = (0, 0.0);
        for part in std::mem::take(&mut query.parts) {
            self.call_off(part, None);
            self.parts.remove(&part).into_iter().for_each(|p| self.agenda.drop_part(part, p));
        }
    }
}
