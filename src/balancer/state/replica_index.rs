//! Running sums and indexes over all replicas that are known, so that a round does not go through them. Each
//! has one place that updates it; [`Census::check`] says what each equals.
use std::collections::{BTreeMap, BTreeSet};

use super::timer_queue::Due;
use super::Replica;
use crate::balancer::interface::*;

/// Reported loads are summed in units of 2^-32: whole numbers exactly, and all of them in any order.
const UNIT: f64 = (1u64 << 32) as f64;
/// No load that is summed is above this, so that the sum of all fits.
const MOST: f64 = 1e15;

#[derive(Default)]
pub struct Census {
    /// Those that may be drawn, and how many of these may be cold.
    ready: BTreeSet<ReplicaId>,
    cold_ready: usize,
    /// Those within the ramp of the cold rule, in any phase, by their start.
    cold: Due<ReplicaId>,
    /// Those whose reported load is fresh, by the time of the report, what each told and the sum of that.
    fresh: Due<ReplicaId>,
    loads: BTreeMap<ReplicaId, i128>,
    sum: i128,
    /// Those that may be drawn, by when they were last asked by a probe.
    pub asked: Due<ReplicaId>,
    /// Those that are gone, by the time since which they are; and those of them that are due to be forgotten
    /// but still owe an answer.
    gone: Due<ReplicaId>,
    owing: BTreeSet<ReplicaId>,
    /// Replicas by cell, so that a draw does not look at the whole fleet, and the same the other way round.
    cells: BTreeMap<u32, BTreeSet<ReplicaId>>,
    places: BTreeSet<(ReplicaId, u32)>,
    /// Entries gone through so far.
    pub through: usize,
}

impl Census {
    /// Note a replica as a list left it, which may be a new process: its phase, its report, and its start if
    /// there is a rule of cold ones.
    pub fn list(&mut self, id: ReplicaId, replica: &Replica, ramps: bool) {
        let before = self.counts_cold(id);
        self.through += 1;
        if replica.ready() {
            self.ready.insert(id);
            self.asked.set(id, replica.probed);
        } else {
            self.ready.remove(&id);
            self.asked.remove(id);
        }
        self.hear(id, replica.load(), replica.heard);
        match replica.listed.started.filter(|start| ramps && !start.is_nan()) {
            Some(start) => self.cold.set(id, start),
            None => drop(self.cold.remove(id)),
        }
        match replica.listed.state {
            EndpointState::Removed if !self.owing.contains(&id) => self.gone.set(id, replica.gone),
            EndpointState::Removed => {}
            _ => drop((self.gone.remove(id), self.owing.remove(&id))),
        }
        self.recount(before, id);
    }

    fn counts_cold(&self, id: ReplicaId) -> bool {
        self.ready.contains(&id) && self.cold.time(id).is_some()
    }

    fn recount(&mut self, before: bool, id: ReplicaId) {
        self.cold_ready = self.cold_ready + usize::from(self.counts_cold(id)) - usize::from(before);
    }

    /// A replica moves from one cell into another.
    pub fn place(&mut self, id: ReplicaId, old: CellId, new: CellId) {
        let (old, new) = (u32::from(old.0), u32::from(new.0));
        self.cells.entry(old).or_default().remove(&id);
        self.places.remove(&(id, old));
        self.cells.entry(new).or_default().insert(id);
        self.places.insert((id, new));
    }

    /// A replica's report as it now is, which came at this time.
    pub fn hear(&mut self, id: ReplicaId, load: Option<f64>, heard: f64) {
        self.sum -= self.loads.remove(&id).unwrap_or(0);
        match load.map(|load| (load.clamp(-MOST, MOST) * UNIT) as i128) {
            Some(load) => {
                self.sum += load;
                self.loads.insert(id, load);
                self.fresh.set(id, heard);
            }
            None => drop(self.fresh.remove(id)),
        }
    }

    /// Drop the reports that are stale by now, and those from the cold ones whose ramp is over.
    pub fn expire(&mut self, stale: impl Fn(f64) -> bool, warm: impl Fn(f64) -> bool) {
        while let Some(id) = self.fresh.pop(&stale) {
            self.sum -= self.loads.remove(&id).unwrap_or(0);
            self.through += 1;
        }
        while let Some(id) = self.cold.pop(&warm) {
            self.cold_ready -= usize::from(self.ready.contains(&id));
            self.through += 1;
        }
    }

    /// Forget those that are gone for long, unless they owe an answer.
    pub fn forget_gone(&mut self, replicas: &mut BTreeMap<ReplicaId, Replica>, long: impl Fn(f64) -> bool) {
        let mut lapsed: Vec<_> = std::mem::take(&mut self.owing).into_iter().collect();
        lapsed.extend(std::iter::from_fn(|| self.gone.pop(&long)));
        self.through += lapsed.len();
        for id in lapsed {
            if replicas.get(&id).is_some_and(|r| !r.out.is_empty()) {
                self.owing.insert(id);
            } else {
                replicas.remove(&id);
                self.forget(id);
            }
        }
    }

    /// A replica is known no more.
    fn forget(&mut self, id: ReplicaId) {
        let before = self.counts_cold(id);
        self.ready.remove(&id);
        self.asked.remove(id);
        self.cold.remove(id);
        self.recount(before, id);
        self.hear(id, None, 0.0);
        self.gone.remove(id);
        self.owing.remove(&id);
        let placed: Vec<_> = self.places.range((id, 0)..=(id, u32::MAX)).copied().collect();
        for place in placed {
            self.places.remove(&place);
            self.cells.entry(place.1).or_default().remove(&id);
        }
    }

    /// How many may be drawn.
    pub fn ready(&self) -> usize {
        self.ready.len()
    }

    /// How many of these are warm.
    pub fn warm(&self) -> usize {
        self.ready.len() - self.cold_ready
    }

    /// The mean of the fresh loads.
    pub fn average(&self) -> f64 {
        self.sum as f64 / UNIT / self.loads.len().max(1) as f64
    }

    /// The cold ones, if they are wanted.
    pub fn cold(&mut self, wanted: bool) -> Vec<ReplicaId> {
        let cold: Vec<_> = if wanted { self.cold.keys().collect() } else { Vec::new() };
        self.through += cold.len();
        cold
    }

    /// The replicas of a cell, in order.
    pub fn cell(&self, cell: u32) -> impl Iterator<Item = ReplicaId> + '_ {
        self.cells.get(&cell).into_iter().flatten().copied()
    }

    /// What differs from a count of all replicas; `cold` and `fresh` tell of one what the rules say of it.
    pub fn check(
        &self,
        replicas: &BTreeMap<ReplicaId, Replica>,
        cold: impl Fn(&Replica) -> bool,
        fresh: impl Fn(&Replica) -> bool,
    ) -> Result<(), &'static str> {
        let ids = |test: &dyn Fn(&Replica) -> bool| -> BTreeSet<ReplicaId> {
            replicas.iter().filter(|(_, r)| test(r)).map(|(id, _)| *id).collect()
        };
        let loads: Vec<f64> = replicas.values().filter(|r| fresh(r)).filter_map(Replica::load).collect();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let told = |r: &Replica| fresh(r) && r.load().is_some();
        let gone: BTreeSet<_> = self.gone.keys().chain(self.owing.iter().copied()).collect();
        let at_home = |(id, r): (&ReplicaId, &Replica)| {
            let cell = u32::from(r.listed.cell.0);
            self.cells.get(&cell).is_some_and(|ids| ids.contains(id)) && self.places.contains(&(*id, cell))
        };
        let placed: usize = self.cells.values().map(BTreeSet::len).sum();
        let known = self.places.iter().all(|(id, _)| replicas.contains_key(id));
        let cases = [
            (self.ready == ids(&|r| r.ready()), "ready"),
            (self.cold.keys().collect::<BTreeSet<_>>() == ids(&cold), "cold"),
            (self.warm() == ids(&|r| r.ready() && !cold(r)).len(), "warm"),
            (self.fresh.keys().collect::<BTreeSet<_>>() == ids(&told), "fresh"),
            (self.loads.keys().copied().collect::<BTreeSet<_>>() == ids(&told), "loads"),
            ((self.average() - mean).abs() <= 1e-9 * mean.abs().max(1.0), "average"),
            (gone == ids(&|r| r.listed.state == EndpointState::Removed), "gone"),
            (replicas.iter().all(at_home) && placed == self.places.len() && known, "cells"),
        ];
        cases.into_iter().find(|(same, _)| !same).map_or(Ok(()), |(_, what)| Err(what))
    }
}
