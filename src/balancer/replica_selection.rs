//! Who may be drawn for a part, and which of two gets it.
use super::*;

/// Share of the stated overload factor that we use of a warming replica; the rest is left for chance
/// (`docs/history/`).
const COLD_CAUTION: f64 = 0.8;
/// Replicas that are drawn where each is met seldom: the fastest two of them are the pair.
const DRAWN_SELDOM: usize = 4;

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
            Some(_) => (self.reported(r).unwrap_or(self.replica_stats.average), r.heard),
        };
        (told + r.out.values().filter(|f| counts(f.sent, since)).count() as f64).round() as i64
    }

    pub(super) fn idle(&self, id: ReplicaId) -> bool {
        self.replicas.get(&id).is_some_and(|r| match r.load() {
            None => self.now - r.used < STALE && r.out.values().all(|f| f.sent == self.now),
            _ => self.reported(r).is_some_and(|n| n < 0.5),
        })
    }

    fn has_room(&self, id: ReplicaId) -> bool {
        self.replica_stats.calls.get(&id).is_some_and(|n| n % self.s.max_parts_per_call.max(1) != 0)
    }

    /// Who may be drawn: healthy holders, else the least bad one. A cold replica with no room left is never
    /// drawn, nor is one that just turned work away. Where only rest keeps a sound holder from it, the part
    /// waits. Guards a part's few attempts: they would be spent on a lost room, which does not rest.
    fn candidates(&mut self, class: ClassId, shard: ShardId, avoid: &[ReplicaId]) -> Vec<ReplicaId> {
        let (mut all, now) = (self.holders(shard), self.now);
        self.census.through += all.len();
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
        if self.replica_stats.thin && pair.len() > 2 {
            let first = |id| self.has_room(id) || self.due(id);
            let took = |id: &ReplicaId| if first(*id) { 0.0 } else { self.usual_time(*id) };
            pair.truncate(DRAWN_SELDOM);
            pair.sort_by(|a, b| took(a).total_cmp(&took(b)));
        }
        pair.truncate(2);
        pair
    }

    /// The shorter queue; a tie goes to an open call, then to the less busy one (by its response
    /// times where answers don't tell), then to our zone.
    pub(super) fn shorter(&self, pair: &[ReplicaId]) -> Option<ReplicaId> {
        let key = |id: &ReplicaId| {
            let r = &self.replicas[id];
            let busy = match (self.s.load_reporting, r.report.utilization) {
                (LoadReporting::Inline, busy) if !self.replica_stats.thin || busy.is_some() => {
                    4.0 * busy.unwrap_or(0.0)
                }
                _ => 2.0 * self.usual_time(*id) / self.pace.typical.max(1e-6),
            } as i64;
            (self.queue(*id), !self.has_room(*id), !self.due(*id), busy, r.listed.zone != self.s.zone)
        };
        pair.iter().copied().min_by_key(key)
    }

    /// Each part that a warm replica serves us earns each cold one its share; none just after our start, when
    /// what our former life sent is unknown. Guards against a rush where all are told late and at once.
    pub(super) fn earn(&mut self) {
        let (Some(rule), now, warm) = (self.s.slow_start, self.now, self.replica_stats.warm) else { return };
        let served = std::mem::take(&mut self.replica_stats.borne) / warm;
        let span = RECENT.min(now - self.born).max(rule.overload_window);
        self.replica_stats.window =
            self.recent.borne.count(now - RECENT) / warm * rule.overload_window / span;
        let headroom = self.headroom();
        let earns = served > 0.0 && now >= self.born + rule.overload_window;
        for id in self.census.cold(earns) {
            let Some(r) = self.replicas.get_mut(&id) else { continue };
            let share = COLD_CAUTION * r.stands(now, rule) * headroom;
            r.earned =
                (r.earned + share * served).min((share * self.replica_stats.window).max(1.0 - r.phase));
        }
    }

    /// Whether a cold replica stands another part from us: it is earned, and in our share of any window.
    /// Both are rounded at random, so that the sum of all keeps to the rule.
    fn cold_room(&mut self, id: ReplicaId) -> bool {
        let (Some(rule), now) = (self.s.slow_start, self.now) else { return true };
        let pause = if now < self.born + rule.overload_window { 0.0 } else { self.pause() };
        let most = COLD_CAUTION * self.headroom() * self.replica_stats.window;
        let Some(r) = self.replicas.get_mut(&id) else { return false };
        let share = most * r.stands(now - rule.overload_window / 2.0, rule);
        // What it earns until our next query counts: it would be sent a pause late each time.
        let earned = r.earned + share / rule.overload_window * pause >= 1.0 - r.phase;
        let room =
            earned && r.sent.count(now - rule.overload_window) + 1.0 <= (share + r.phase).floor().max(1.0);
        room || r.cold_since(now, self.s.slow_start).is_none()
    }

    /// A cold replica met at its turn. Guards its share where it is met seldom, from our start on: drawn by
    /// chance, it would wait as long again; later, all that restarted would spend at once what it earned.
    fn due(&self, id: ReplicaId) -> bool {
        self.replica_stats.thin && self.replicas[&id].cold_since(self.now, self.s.slow_start).is_some()
    }
}
