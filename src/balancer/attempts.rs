//! Attempts of a part: the first, copies, hedges and retries, within their caps, and how each ends.
use super::*;

/// Copies stay under this share of recent parts (the design's tenth).
const COPY_SHARE: f64 = 0.1;
/// Share of the budget open to copies, hedges and retries: some is kept for parts with nothing out.
const PURSES: [f64; 4] = [0.4, 0.8, 1.0, f64::INFINITY];
/// Seconds unused after which a connection may be dropped unseen, and the share of losses that shows it.
const PAUSE: f64 = 0.3;
const PAUSE_LOSS: f64 = 0.25;

impl Balancer {
    pub(super) fn first_send(&mut self, query: &Query, part: PartId) {
        let Some((class, shard)) = self.parts.get(&part).map(|p| (p.class, p.shard)) else { return };
        let pair = self.draw(class, shard, &[]);
        if self.may_copy(&query.class, &pair) && !self.on_probation(query) {
            self.send(part, pair[0], None);
            self.send(part, pair[1], Some(Why::Copy));
        } else if let Some(replica) = self.shorter(&pair) {
            self.send(part, replica, None);
        }
    }

    fn may_copy(&mut self, class: &Class, pair: &[ReplicaId]) -> bool {
        let &[a, b] = pair else { return false };
        let idle = [a, b].iter().all(|id| self.idle(*id) && self.replicas[id].whole.trials == 0);
        let safe = class.idempotency == Idempotency::Idempotent && class.hedging && self.s.hedging;
        let tenth = COPY_SHARE * self.recent.arrived.count(self.now - RECENT);
        let room = self.recent.copies.count(self.now - RECENT) + 1.0 < tenth;
        safe && self.s.max_attempts > 1 && idle && room && self.may_add(Why::Copy)
    }

    fn send(&mut self, part: PartId, replica: ReplicaId, why: Option<Why>) {
        let (reaped, between) = (self.reaped(), self.between());
        let (Some(p), Some(r)) = (self.parts.get_mut(&part), self.replicas.get_mut(&replica)) else { return };
        let (class, n) = (p.class, p.attempts.len() as u8);
        let copy = why == Some(Why::Copy);
        p.attempts.push(Attempt { replica, sent: self.now, copy, cancelled: false, ended: None });
        let paused = r.out.is_empty() && r.used > 0.0 && self.now - r.used > PAUSE;
        if paused && reaped {
            self.out.push(Action::CloseIdle { replica });
        }
        let (sent, paused) = (self.now, paused && !reaped);
        r.used = self.now;
        r.sent.keep(self.now, self.s.slow_start.map_or(0.0, |rule| rule.overload_window));
        r.earned -= 1.0;
        if let Some(until) =
            self.replica_stats.zones.get_mut(&r.listed.zone).and_then(|room| room.until.as_mut())
        {
            *until = self.now + between.max(EJECT);
        }
        self.sent(replica, (part, n), Flight { sent, class, paused, ..Flight::default() });
        *self.replica_stats.calls.entry(replica).or_insert(0) += 1;
        self.recent.sends.add(self.now);
        if why.is_some_and(|why| why != Why::Failed) {
            self.recent.extras.add(self.now);
        }
        if copy {
            self.recent.copies.add(self.now);
        }
        // Where no second copy may run beside it, a late attempt must end before another can start; where it
        // cannot be called off either, its replica goes on with it whatever we wait.
        let ends = !self.s.hedging && self.s.cancellation;
        let timeout = ends.then_some(2.0 * HEDGE_TAIL * self.pace.tail);
        self.out.push(Action::Send { part, replica, timeout });
    }

    /// Whether connections are dropped unseen when they are not used, so that idle ones are renewed.
    pub(super) fn reaped(&self) -> bool {
        let [used, paused] = self.recent.unanswered;
        paused > PAUSE_LOSS && paused > 2.0 * used
    }

    /// Whether what this part's attempts may have done allows another one.
    pub(super) fn may_repeat(&self, class: &Class, part: &Part) -> bool {
        let ran = part.attempts.iter().filter(|a| !a.never_ran()).map(|a| a.sent);
        let first = ran.fold(f64::INFINITY, f64::min);
        let out = part.attempts.iter().any(|a| a.ended.is_none());
        let allowed = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed { window } => self.now < first + window - END_MARGIN,
            Idempotency::NonIdempotent => first == f64::INFINITY,
        };
        let tries = part.attempts.len() < self.s.max_attempts as usize;
        allowed && !part.over && (!out || (self.s.hedging && class.hedging)) && tries
    }

    /// Late: nothing out any more, or all that is out has been for long or sits on a suspect replica.
    pub(super) fn late(&self, part: &Part) -> Option<Why> {
        let mut out = part.attempts.iter().filter(|a| a.out());
        if part.served || !part.out() {
            // Guards against waiting for our own budget, which holds too little when a room is lost.
            let failed = self.s.retry_budget.is_none()
                && part.attempts.last().is_some_and(|a| a.ended.is_some_and(Outcome::failed));
            return (!part.served).then_some(if failed { Why::Failed } else { Why::Retry });
        }
        let (now, hedge_after) = (self.now, HEDGE_TAIL * self.pace.tail);
        let bad = |r: &Replica| r.until(part.class) > now || r.silent() || self.room_lost(r);
        let suspect = |a: &Attempt| self.replicas.get(&a.replica).is_none_or(bad);
        match out.clone().all(|a| suspect(a) && self.now > a.sent) {
            true => Some(Why::Retry),
            // Guards against hedging all that is out when nothing reaches us at all.
            false => {
                (!self.replica_stats.stalled && out.all(|a| now - a.sent > hedge_after)).then_some(Why::Hedge)
            }
        }
    }

    /// Another attempt beside at most one that is out, elsewhere if there is an elsewhere. Where replicas are
    /// met less often than news of them holds, a hedge goes where an answer came in time just now. Guards a
    /// jammed stretch, where all is late: hedges double its load.
    pub(super) fn again(&mut self, class: &Class, id: PartId, why: Why) {
        let blind = why == Why::Hedge && self.replica_stats.seldom;
        let Some(part) = self.parts.get(&id) else { return };
        let busy: Vec<_> = part.attempts.iter().filter(|a| a.out()).map(|a| a.replica).collect();
        let crowded = busy.len() >= 2;
        let (in_class, shard) = (part.class, part.shard);
        let tried = part.attempts.iter().map(|a| a.replica).collect::<Vec<_>>();
        let stuck = crowded && (why != Why::Retry || !self.s.cancellation);
        if stuck || !self.may_repeat(class, part) || !self.may_add(why) {
            return;
        }
        let pair = self.draw(in_class, shard, &tried);
        let fresh = |r: &Replica| self.now - r.took.at < STALE && r.took.value <= self.pace.tail;
        let good = |id: &ReplicaId| !busy.contains(id) && (!blind || fresh(&self.replicas[id]));
        if let Some(replica) = self.shorter(&pair).filter(good) {
            if crowded {
                self.call_off(id, None);
            }
            self.send(id, replica, Some(why));
        }
    }

    /// The cap on attempts beyond a part's first, told or our own. Guards against retries and hedges that
    /// feed an overload. Our own leaves out retries of parts that failed.
    fn may_add(&mut self, why: Why) -> bool {
        let budget = self.s.retry_budget.unwrap_or(OWN_BUDGET);
        let edge = 2.0 * self.s.round_interval;
        let sent = self.recent.extras.count(self.now - budget.window - edge) + 1.0;
        let taken = self.recent.taken.count(self.now - budget.window + edge);
        // No query waits for room: spare capacity may go to copies and hedges.
        let calm = self.agenda.calm();
        let purse = PURSES[why as usize];
        (why >= Why::Retry || calm) && sent <= (budget.free + budget.share * taken) * purse
    }

    pub(crate) fn outcome(&mut self, event: &Event) {
        let &Event::Outcome { part, attempt, replica, part_finished, outcome, elapsed, report } = event
        else {
            return;
        };
        if let Some(flight) = self.landed(replica, (part, attempt)) {
            self.hear(replica, report);
            if outcome == Outcome::Succeeded && elapsed.is_finite() && !flight.streams {
                self.measure(replica, elapsed);
            }
            let ended = matches!(outcome, Outcome::Cancelled | Outcome::TimedOut);
            if self.replica_stats.thin && ended && elapsed.is_finite() {
                self.unanswered_for(replica, elapsed);
            }
            self.steer(part, outcome);
            self.judge(replica, outcome, elapsed, flight);
            self.note_outcome(part, replica, outcome);
            self.cancel_copies(replica);
        }
        let Some(p) = self.parts.get_mut(&part) else { return };
        p.over |= part_finished;
        let Some(a) = p.attempts.get_mut(usize::from(attempt)).filter(|a| a.ended.is_none()) else { return };
        a.ended = Some(outcome);
        if outcome == Outcome::Succeeded {
            p.served = true;
            self.call_off(part, None);
        }
    }

    /// A value that streams counts as answered from its first message on; its own end ends the part.
    pub(crate) fn committed(&mut self, event: &Event) {
        let &Event::ResponseStarted { part, attempt, replica, elapsed } = event else { return };
        let flight = self.replicas.get_mut(&replica).and_then(|r| r.out.get_mut(&(part, attempt)));
        if let Some(flight) = flight.filter(|f| !f.streams) {
            (flight.streams, flight.silent) = (true, false);
            self.flights.remove(flight.sent, replica, (part, attempt));
            self.measure(replica, elapsed);
        }
        let Some(p) = self.parts.get_mut(&part) else { return };
        p.over = true;
        self.call_off(part, Some(attempt));
    }

    /// A pending copy is called off once its server reports a queue.
    fn cancel_copies(&mut self, id: ReplicaId) {
        let Some(r) = self.replicas.get(&id) else { return };
        let queued = match (r.report.queue_depth, r.report.in_flight) {
            (Some(queue), _) => queue >= 0.5,
            (None, Some(held)) => held >= r.out.len() as f64 + 0.5,
            (None, None) => false,
        };
        for (part, n) in r.out.keys().copied().filter(|_| queued && self.s.cancellation).collect::<Vec<_>>() {
            let Some(p) = self.parts.get_mut(&part) else { continue };
            let twin = p.attempts.iter().any(|a| !a.copy && a.out());
            if let Some(a) = p.attempts.get_mut(usize::from(n)).filter(|a| a.copy && !a.cancelled && twin) {
                a.cancelled = true;
                self.out.push(Action::Cancel { part, attempt: n });
                self.note(part);
            }
        }
    }

    /// Call off what is out for a part, where that can be done; but for the attempt that it is committed to.
    pub(crate) fn call_off(&mut self, id: PartId, kept: Option<u8>) {
        let Some(part) = self.parts.get_mut(&id).filter(|_| self.s.cancellation || kept.is_some()) else {
            return;
        };
        for (n, a) in part.attempts.iter_mut().enumerate() {
            if a.out() && kept != Some(n as u8) {
                a.cancelled = true;
                self.out.push(Action::Cancel { part: id, attempt: n as u8 });
            }
        }
    }
}
