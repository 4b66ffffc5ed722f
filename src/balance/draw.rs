//! Who may be drawn for a part, and which of two gets it.
use super::*;

/// Share of the told multiple that we use of a cold replica: at 1.0 a hunt came to 91% of the rule's limit.
const COLD_CAUTION: f64 = 0.7;

impl Balancer {
    /// Reported queue, else parts in flight reported, else our own parts there.
    pub(super) fn reported(&self, r: &Replica) -> Option<f64> {
        r.load().filter(|_| self.now - r.heard < STALE)
    }

    /// The queue that a draw compares: the report plus what we sent since. What went out in this very round
    /// is left out while its call has room, so that parts that arrive together share it.
    fn queue(&self, id: ReplicaId) -> i64 {
        let Some(r) = self.replicas.get(&id) else { return i64::MAX };
        let counts = |sent: f64, since: f64| sent > since && (sent < self.now || !self.has_room(id));
        let (told, since) = match r.load() {
            None => (0.0, f64::NEG_INFINITY),
            Some(_) => (self.reported(r).unwrap_or(self.fleet.average), r.heard),
        };
        (told + r.out.values().filter(|f| counts(f.sent, since)).count() as f64).round() as i64
    }

    /// Every answer refreshes its replica's entry.
    pub(super) fn hear(&mut self, id: ReplicaId, report: Option<Report>) {
        if let (Some(r), Some(report)) = (self.replicas.get_mut(&id), report) {
            (r.report, r.heard) = (report, self.now);
        }
    }

    pub(super) fn idle(&self, id: ReplicaId) -> bool {
        self.replicas.get(&id).is_some_and(|r| match r.load() {
            None => self.now - r.used < STALE && r.out.values().all(|f| f.sent == self.now),
            _ => self.reported(r).is_some_and(|n| n < 0.5),
        })
    }

    fn has_room(&self, id: ReplicaId) -> bool {
        self.fleet.calls.get(&id).is_some_and(|n| n % self.s.per_call.max(1) != 0)
    }

    /// Who may be drawn: healthy holders, else the least bad one. A cold replica with no room left is never
    /// drawn, nor is one that just turned work away. Where only rest keeps a sound holder from it, the part
    /// waits. Guards a part's few attempts: they would be spent on a lost room, which does not rest.
    fn candidates(&mut self, class: ClassId, shard: ShardId, avoid: &[ReplicaId]) -> Vec<ReplicaId> {
        let (mut all, now) = (self.holders(shard), self.now);
        let sound = |r: &Replica| r.until(class) <= now && r.whole.trials == 0 && !self.room_lost(r);
        let resting = all.iter().map(|id| &self.replicas[id]).any(|r| r.rests(now) && sound(r));
        all.retain(|id| !self.replicas[id].rests(now) && self.cold_room(*id));
        let lost = |id: &ReplicaId| self.room_lost(&self.replicas[id]);
        let worse = |id: &ReplicaId| (lost(id), !self.replicas[id].usable(class, now), avoid.contains(id));
        let healthy: Vec<_> = all.iter().filter(|id| worse(id) == (false, false, false)).copied().collect();
        if !healthy.is_empty() || resting {
            return healthy;
        }
        let until = |id: &ReplicaId| self.replicas[id].until(class).max(now);
        let best = all.into_iter().min_by(|a, b| worse(a).cmp(&worse(b)).then(until(a).total_cmp(&until(b))));
        best.into_iter().collect()
    }

    /// A random ordered pair; one already drawn in this round comes first while its call has room.
    pub(super) fn draw(&mut self, class: ClassId, shard: ShardId, avoid: &[ReplicaId]) -> Vec<ReplicaId> {
        let mut pair = self.candidates(class, shard, avoid);
        for i in (1..pair.len()).rev() {
            pair.swap(i, (self.rng.next_u64() % (i as u64 + 1)) as usize);
        }
        pair.sort_by_key(|id| (!self.has_room(*id), !self.due(*id)));
        pair.truncate(2);
        pair
    }

    /// The shorter queue; a tie goes to an open call, then to the less busy one (by its response
    /// times where answers don't tell), then to our zone.
    pub(super) fn shorter(&self, pair: &[ReplicaId]) -> Option<ReplicaId> {
        let key = |id: &ReplicaId| {
            let r = &self.replicas[id];
            let busy = match self.s.reports {
                Reports::Inline => 4.0 * r.report.busy.unwrap_or(0.0),
                _ => 2.0 * self.usual_time(*id) / self.pace.typical.max(1e-6),
            } as i64;
            (self.queue(*id), !self.has_room(*id), !self.due(*id), busy, r.listed.zone != self.s.zone)
        };
        pair.iter().copied().min_by_key(key)
    }

    /// Whether a cold replica stands another part from us: our share of what it may get in any window, by
    /// what a warm one serves us; under one part, one in as many windows as make it up, from a random point
    /// on. Just after our start, what our former life sent is unknown: a window passes first.
    fn cold_room(&mut self, id: ReplicaId) -> bool {
        let (Some(rule), now) = (self.s.cold, self.now) else { return true };
        let Some(r) = self.replicas.get_mut(&id) else { return false };
        let Some(start) = r.cold_since(now, self.s.cold) else {
            r.sent.count(now - rule.after);
            return true;
        };
        let span = RECENT.min(now - self.born).max(rule.after);
        let per_window = self.recent.borne.count(now - RECENT) / self.fleet.warm * rule.after / span;
        let capacity = rule.from + (1.0 - rule.from) * ((now - start) / rule.ramp).max(0.0);
        let share = (COLD_CAUTION * rule.multiple * capacity * per_window).max(1e-3);
        let span = rule.after / share.min(1.0);
        let turn = share >= 1.0 || now >= start + r.phase * span;
        turn && now >= self.born + rule.after && r.sent.count(now - span) + 1.0 <= share.max(1.0)
    }

    /// A cold replica met at its turn. Guards its share where it is met seldom: drawn by chance, it would
    /// wait as long again for each part and leave its neighbours to jam.
    fn due(&self, id: ReplicaId) -> bool {
        self.fleet.seldom && self.replicas[&id].cold_since(self.now, self.s.cold).is_some()
    }
}
