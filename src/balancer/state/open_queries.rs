//! Which open queries a round has to look at: those that something happened to, those that a time has come
//! for, and those that were left waiting for what may change at any time. And what is summed over all of
//! them.
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use super::timer_queue::Due;
use super::{Part, Query};
use crate::balancer::interface::*;

/// Times at which a query is looked at.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Alarm {
    /// Its client's end, its aim less the margin, and its aim.
    End,
    Aim,
    Late,
    /// One of its parts went to a suspect replica just now.
    Suspect,
}

#[derive(Default)]
pub struct Agenda {
    /// Open queries, each with how many of its parts are out; the same by the query's id; those not admitted;
    /// and the parts out of the admitted ones.
    open: BTreeMap<QueryNumber, usize>,
    ids: BTreeSet<(QueryId, QueryNumber)>,
    waiting: BTreeSet<QueryNumber>,
    out: usize,
    /// To be looked at.
    touched: BTreeSet<QueryNumber>,
    /// To be looked at for those of their parts that wait.
    waits: BTreeSet<QueryNumber>,
    alarms: Due<(QueryNumber, Alarm)>,
    /// Queries of two steps in their first one, by their aim.
    steps: Due<QueryNumber>,
    /// Parts that are out, by when the last attempt that is out for them was sent; and those of them whose
    /// hedge was due, until it proves not to be.
    hedges: Due<PartId>,
    due: BTreeSet<PartId>,
    /// Whether queries were suspect in the last round.
    suspect: bool,
    /// Entries gone through so far.
    pub through: usize,
}

impl Agenda {
    /// A query has come, and waits to be admitted.
    pub fn enter(&mut self, number: QueryNumber, query: &Query, margin: f64) {
        self.open.insert(number, 0);
        self.ids.insert((query.id, number));
        self.waiting.insert(number);
        self.touched.insert(number);
        self.alarm(number, Alarm::End, query.ends - margin);
        self.alarm(number, Alarm::Aim, query.aim - margin);
        self.alarm(number, Alarm::Late, query.aim.next_up());
    }

    /// A query is over; its parts have left.
    pub fn leave(&mut self, number: QueryNumber, id: QueryId) {
        let out = self.open.remove(&number).filter(|_| !self.waiting.contains(&number));
        self.out -= out.unwrap_or(0);
        self.ids.remove(&(id, number));
        self.waiting.remove(&number);
        self.touched.remove(&number);
        self.waits.remove(&number);
        for kind in [Alarm::End, Alarm::Aim, Alarm::Late, Alarm::Suspect] {
            self.alarms.remove((number, kind));
        }
        self.steps.remove(number);
    }

    fn alarm(&mut self, number: QueryNumber, kind: Alarm, at: f64) {
        if !at.is_nan() {
            self.alarms.set((number, kind), at);
        }
    }

    pub fn admit(&mut self, number: QueryNumber) {
        if self.waiting.remove(&number) {
            self.out += self.open.get(&number).copied().unwrap_or(0);
        }
        self.touched.insert(number);
    }

    /// Those that are not admitted.
    pub fn waiting(&mut self) -> Vec<QueryNumber> {
        self.through += self.waiting.len();
        self.waiting.iter().copied().collect()
    }

    /// Whether all are admitted.
    pub fn calm(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The first query of this id.
    pub fn number(&self, id: QueryId) -> Option<QueryNumber> {
        let first = self.ids.range((id, QueryNumber(0))..).next();
        first.filter(|(other, _)| *other == id).map(|(_, number)| *number)
    }

    /// Parts of admitted queries that are out; of one query.
    pub fn out(&self) -> usize {
        self.out
    }

    pub fn out_of(&self, number: QueryNumber) -> usize {
        self.open.get(&number).copied().unwrap_or(0)
    }

    /// Note a part as it now is: whether it is out, and when its hedge is due.
    pub fn part(&mut self, id: PartId, part: &mut Part) {
        let latest = part.attempts.iter().filter(|a| a.out() && !part.served).map(|a| a.sent);
        self.due.remove(&id);
        match latest.reduce(f64::max) {
            Some(latest) => self.hedges.set(id, latest),
            None => drop(self.hedges.remove(id)),
        }
        self.count(part, !part.served && !part.over && part.out());
    }

    fn count(&mut self, part: &mut Part, out: bool) {
        let (more, less) = (usize::from(out), usize::from(part.counted));
        part.counted = out;
        if let Some(n) = self.open.get_mut(&part.number) {
            *n = *n + more - less;
            if !self.waiting.contains(&part.number) {
                self.out = self.out + more - less;
            }
        }
    }

    /// A part is no more.
    pub fn drop_part(&mut self, id: PartId, mut part: Part) {
        self.hedges.remove(id);
        self.due.remove(&id);
        self.count(&mut part, false);
    }

    /// A part is not late, though its hedge was due.
    pub fn not_late(&mut self, id: PartId, part: &Part) {
        if self.due.remove(&id) {
            let latest = part.attempts.iter().filter(|a| a.out()).map(|a| a.sent);
            self.hedges.set(id, latest.fold(f64::NEG_INFINITY, f64::max));
        }
    }

    /// Something happened to a query.
    pub fn touch(&mut self, number: QueryNumber) {
        if self.open.contains_key(&number) {
            self.touched.insert(number);
        }
    }

    /// Something happened that may concern any query.
    pub fn touch_all(&mut self) {
        self.touched.extend(self.open.keys());
        self.through += self.open.len();
    }

    /// One of its parts went to a suspect replica: it is late as soon as time goes on.
    pub fn suspect(&mut self, number: QueryNumber, now: f64) {
        self.alarm(number, Alarm::Suspect, now.next_up());
    }

    /// In a first step of two that is not yet due, for that is reckoned from the aim.
    pub fn step(&mut self, number: QueryNumber, aim: f64) {
        if self.steps.time(number).is_none() && !aim.is_nan() {
            self.steps.set(number, aim);
        }
    }

    /// Touch the queries whose time has come; `hedge` and `step` tell whether a part last sent at that time
    /// is late, and a first step with that aim due.
    pub fn wake(
        &mut self,
        now: f64,
        suspect: bool,
        hedge: impl Fn(f64) -> bool,
        step: impl Fn(f64) -> bool,
        parts: &BTreeMap<PartId, Part>,
    ) {
        if std::mem::replace(&mut self.suspect, suspect) != suspect {
            self.touch_all();
        }
        while let Some((number, _)) = self.alarms.pop(|at| now >= at) {
            self.touch(number);
            self.through += 1;
        }
        while let Some(number) = self.steps.pop(&step) {
            self.touch(number);
            self.through += 1;
        }
        while let Some(id) = self.hedges.pop(&hedge) {
            self.due.insert(id);
            parts.get(&id).into_iter().for_each(|part| self.touch(part.number));
            self.through += 1;
        }
    }

    /// A query waits: it is looked at in the next round too.
    pub fn wait(&mut self, number: QueryNumber) {
        self.waits.insert(number);
    }

    /// The next query to be looked at in this round, after that one; and whether something happened to it.
    pub fn next(&mut self, after: Option<QueryNumber>) -> Option<(QueryNumber, bool)> {
        let from = (after.map_or(Bound::Unbounded, Bound::Excluded), Bound::Unbounded);
        let firsts = [&self.touched, &self.waits].map(|numbers| numbers.range(from).next().copied());
        let next = firsts.into_iter().flatten().min()?;
        self.waits.remove(&next);
        Some((next, self.touched.remove(&next)))
    }

    /// What differs from a count of all queries and parts.
    pub fn check(
        &self,
        queries: &BTreeMap<QueryNumber, Query>,
        parts: &BTreeMap<PartId, Part>,
    ) -> Result<(), &'static str> {
        let held = |q: &Query| q.parts.iter().filter_map(|id| parts.get(id)).collect::<Vec<_>>();
        let out = |q: &Query| held(q).iter().filter(|p| !p.served && !p.over && p.out()).count();
        let open: BTreeMap<_, _> = queries.iter().map(|(number, q)| (*number, out(q))).collect();
        let ids: BTreeSet<_> = queries.iter().map(|(number, q)| (q.id, *number)).collect();
        let waiting = queries.iter().filter(|(_, q)| !q.admitted).map(|(number, _)| *number).collect();
        let sum: usize = queries.values().filter(|q| q.admitted).map(out).sum();
        let hedged: BTreeSet<_> = self.hedges.keys().chain(self.due.iter().copied()).collect();
        let flying = parts.iter().filter(|(_, p)| !p.served && p.out()).map(|(id, _)| *id).collect();
        let brought = |q: &Query| {
            let weights: Vec<f64> = held(q).iter().filter(|p| p.served).map(|p| p.weight).collect();
            let shares = weights.iter().all(|weight| (0.0..=1.0).contains(weight));
            let same = (q.weighs - weights.iter().sum::<f64>()).abs() < 1e-9;
            q.brought == weights.len() && (same || !shares)
        };
        let cases = [
            (queries.values().all(brought), "brought"),
            (open == self.open, "open"),
            (ids == self.ids, "ids"),
            (self.waiting == waiting, "waiting"),
            (sum == self.out, "out"),
            (hedged == flying && hedged.len() == self.hedges.len() + self.due.len(), "hedges"),
        ];
        cases.into_iter().find(|(same, _)| !same).map_or(Ok(()), |(_, what)| Err(what))
    }
}
