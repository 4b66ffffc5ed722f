//! An open query: answered, given up, or what it still needs sent.
use super::*;

/// Slack of sums of weights.
const ROUNDING: f64 = 5e-5;
/// How many times its expected time a query has to have left, where that is known of few: half take longer.
const SELDOM_MARGIN: f64 = 2.0;

impl Balancer {
    /// Answer the query, or its step, at once when it is whole; in part when waiting would miss the aim, or
    /// nothing more can come. End it when its time is up, or it cannot succeed, or is worth nothing.
    pub(crate) fn settle(&mut self, query: &mut Query) -> Verdict {
        let class = query.class;
        let (first, over) = (query.first.is_none(), self.now >= query.ends - self.margin);
        if !first && query.parts.is_empty() && !over {
            return Verdict::Wait;
        }
        let held: Vec<&Part> = query.parts.iter().filter_map(|id| self.parts.get(id)).collect();
        let share: f64 = held.iter().filter(|p| p.served).map(|p| p.weight).sum();
        let dead = |p: &Part| !p.served && !p.out() && p.begun() && !self.may_repeat(&class, p);
        let hope: f64 = held.iter().filter(|p| !dead(p)).map(|p| p.weight).sum();
        let (need, second) =
            if first { (class.target_coverage, class.second_step_parts > 0) } else { (1.0, false) };
        let floor = if class.min_coverage < class.target_coverage { class.min_coverage } else { need };
        let all = !held.is_empty() && held.iter().all(|p| p.served);
        let whole = all || (first && share >= need - ROUNDING);
        let reserve = if second { HEDGE_TAIL * self.pace.tail } else { self.margin };
        let due = over || self.now >= query.aim - reserve || hope <= share + ROUNDING;
        let begun = !first || held.iter().any(|p| !p.attempts.is_empty());
        // Not begun, and it cannot be done within its aim as parts go now.
        let margin = if self.replica_stats.seldom { SELDOM_MARGIN } else { 1.0 };
        let takes = margin * wide(held.len()) * self.expected(&class);
        let hopeless = !begun && query.aim > self.now && self.now + takes > query.aim;
        let streams = held.iter().any(|p| p.over && p.out());
        let worthless = first && self.now > query.aim && class.late_weight <= 0.0 && !streams;
        let sent = held.iter().flat_map(|p| &p.attempts).map(Attempt::begun).fold(f64::INFINITY, f64::min);
        let done = whole || (floor < need && share >= floor - ROUNDING && share > 0.0 && due);
        let lost = over || worthless || hope < floor - ROUNDING;
        if first && sent < self.now && (done || lost) {
            // One that was given up took its aim at least; twice what is hopeless says it all.
            let most = 2.0 / margin * class.latency_objective;
            let took = (self.now - sent).clamp(if done { 0.0 } else { class.latency_objective }, most)
                / wide(held.len());
            (self.pace.query, self.pace.ended) = (0.5 * (took + self.query_now()), self.now);
        }
        if done {
            let whole = whole && query.first.unwrap_or(true);
            self.out.push(Action::Answer { query: query.id, complete: whole });
            query.first = Some(whole);
            return if second { Verdict::Step } else { Verdict::Over };
        }
        let deadly = query.deadly(if self.on_probation(query) { 1 } else { 2 });
        if lost || deadly || hopeless {
            self.give_up(query);
            return Verdict::Over;
        }
        Verdict::Wait
    }

    /// The final answer of a query that brings nothing: refused where trying again is harmless.
    pub(super) fn give_up(&mut self, query: &Query) {
        let attempts = query.parts.iter().filter_map(|id| self.parts.get(id)).flat_map(|p| &p.attempts);
        let ran = query.first.is_some() || { attempts }.any(|a| !a.never_ran());
        let (safe, query) = (query.class.idempotency == Idempotency::Idempotent || !ran, query.id);
        let refuse = Action::Reject { query, retry_after: self.s.retry_after };
        self.out.push(if safe { refuse } else { Action::Fail { query } });
    }

    /// Send what a query still needs: parts not sent yet, as far as needed, then another attempt for late
    /// ones. Returns which wait for what may change at any time: a replica, or another attempt. `ids` names
    /// all parts, or those that waited, where none waits for what the others cover.
    pub(crate) fn advance(&mut self, query: &Query, ids: &[PartId]) -> Vec<PartId> {
        let (mut order, mut covered, mut late) = (Vec::new(), 0.0, Vec::new());
        for id in ids {
            let Some(part) = self.parts.get(id) else { continue };
            if !part.begun() {
                order.push((part.shard.0 % self.s.cells, *id));
            } else if let Some(why) = self.late(part) {
                late.push((*id, why));
            } else {
                covered += part.weight;
                self.agenda.not_late(*id, part);
            }
        }
        order.sort();
        let probation = self.on_probation(query);
        // Guards against waiting for a part whose attempts are spent: a query on probation would begin no
        // other one, and keep its room to its end.
        let lives = |p: &Part| p.out() || self.may_repeat(&query.class, p);
        let late_ids = late.iter().map(|(id, _)| *id);
        let mut waits: Vec<_> = late_ids.filter(|id| self.parts.get(id).is_some_and(lives)).collect();
        let mut tried = covered > 0.0 || !waits.is_empty();
        let need = if query.first.is_none() { query.class.target_coverage } else { 1.0 };
        for (_, id) in order {
            if (covered >= need - ROUNDING && need < 1.0) || (probation && tried) {
                break;
            }
            self.first_send(query, id);
            if let Some(part) = self.parts.get(&id).filter(|p| !p.attempts.is_empty()) {
                covered += part.weight;
                tried = true;
            } else {
                waits.push(id);
            }
        }
        for (id, why) in late {
            if covered < need - ROUNDING || need >= 1.0 {
                self.again(&query.class, id, why);
            }
        }
        waits
    }
}
