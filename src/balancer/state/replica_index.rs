//! Running sums and indexes over all known replicas, so that a round does not go through them. Each has one
//! place that updates it; [`ReplicaIndex::check`] says what each equals.
use std::collections::{BTreeMap, BTreeSet};

use super::audit::first_difference;
use super::timer_queue::TimerQueue;
use super::Replica;
use crate::balancer::interface::{CellId, EndpointState, ReplicaId};

/// Reported loads are summed in units of 2^-32: whole numbers exactly, and all of them in any order.
const LOAD_UNITS: f64 = (1u64 << 32) as f64;
/// No load that is summed is above this, so that the sum of all fits.
const MAX_LOAD: f64 = 1e15;

/// An index of all known replicas.
#[derive(Default)]
pub struct ReplicaIndex {
    /// Those that may be chosen.
    ready: BTreeSet<ReplicaId>,
    /// How many of these are warming up.
    ready_and_warming_up: usize,
    /// Those within the ramp of the slow start, in any state, by their start.
    warming_up: TimerQueue<ReplicaId>,
    /// Those whose reported load is fresh, by the time of the report.
    fresh_reports: TimerQueue<ReplicaId>,
    /// The load that each of these reported, in units.
    loads: BTreeMap<ReplicaId, i128>,
    /// The sum of these.
    load_sum: i128,
    /// Those that may be chosen, by when they were last sent a health check.
    pub by_health_check: TimerQueue<ReplicaId>,
    /// Those that were removed, by when.
    removed: TimerQueue<ReplicaId>,
    /// Removed ones that are due to be forgotten but still have attempts in flight; they are not in
    /// `removed`.
    removed_in_flight: BTreeSet<ReplicaId>,
    /// Replicas by cell, so that a choice does not look at all of them.
    cells: BTreeMap<u32, BTreeSet<ReplicaId>>,
    /// The same the other way round.
    places: BTreeSet<(ReplicaId, u32)>,
    /// Entries gone through so far.
    pub entries_visited: usize,
}

impl ReplicaIndex {
    /// Update the index by a replica as a list left it, which may be a new process: its state, its report
    /// and, where there is a slow start, its start.
    pub fn update(&mut self, id: ReplicaId, replica: &Replica, has_slow_start: bool) {
        let before = self.is_ready_and_warming_up(id);
        self.entries_visited += 1;
        if replica.is_ready() {
            self.ready.insert(id);
            self.by_health_check.set(id, replica.last_health_check_at);
        } else {
            self.ready.remove(&id);
            self.by_health_check.remove(id);
        }
        self.record_load(id, replica.reported_load(), replica.last_report_at);
        match replica.endpoint.started.filter(|start| has_slow_start && !start.is_nan()) {
            Some(start) => self.warming_up.set(id, start),
            None => {
                self.warming_up.remove(id);
            }
        }
        match replica.endpoint.state {
            EndpointState::Removed if !self.removed_in_flight.contains(&id) => {
                self.removed.set(id, replica.removed_at);
            }
            EndpointState::Removed => {}
            EndpointState::Ready | EndpointState::Draining => {
                self.removed.remove(id);
                self.removed_in_flight.remove(&id);
            }
        }
        self.recount_warming_up(before, id);
    }

    fn is_ready_and_warming_up(&self, id: ReplicaId) -> bool {
        self.ready.contains(&id) && self.warming_up.time(id).is_some()
    }

    fn recount_warming_up(&mut self, before: bool, id: ReplicaId) {
        let after = self.is_ready_and_warming_up(id);
        self.ready_and_warming_up = self.ready_and_warming_up + usize::from(after) - usize::from(before);
    }

    /// A replica moves from one cell into another.
    pub fn move_to_cell(&mut self, id: ReplicaId, old: CellId, new: CellId) {
        let old = u32::from(old.0);
        let new = u32::from(new.0);
        self.cells.entry(old).or_default().remove(&id);
        self.places.remove(&(id, old));
        self.cells.entry(new).or_default().insert(id);
        self.places.insert((id, new));
    }

    /// The load that a replica reports, and when that report came, in seconds.
    pub fn record_load(&mut self, id: ReplicaId, load: Option<f64>, reported_at: f64) {
        self.load_sum -= self.loads.remove(&id).unwrap_or(0);
        match load.map(|load| (load.clamp(-MAX_LOAD, MAX_LOAD) * LOAD_UNITS) as i128) {
            Some(load) => {
                self.load_sum += load;
                self.loads.insert(id, load);
                self.fresh_reports.set(id, reported_at);
            }
            None => {
                self.fresh_reports.remove(id);
            }
        }
    }

    /// Drop the reports that are stale by now, and the warming-up replicas whose ramp is over. Both are
    /// judged by a time in seconds: of the report, and of the start.
    pub fn expire(&mut self, is_stale: impl Fn(f64) -> bool, is_warm: impl Fn(f64) -> bool) {
        while let Some(id) = self.fresh_reports.pop_due(&is_stale) {
            self.load_sum -= self.loads.remove(&id).unwrap_or(0);
            self.entries_visited += 1;
        }
        while let Some(id) = self.warming_up.pop_due(&is_warm) {
            self.ready_and_warming_up -= usize::from(self.ready.contains(&id));
            self.entries_visited += 1;
        }
    }

    /// Forget the replicas that were removed long ago, as judged by the time of their removal in seconds,
    /// unless they have attempts in flight.
    pub fn forget_removed(
        &mut self,
        replicas: &mut BTreeMap<ReplicaId, Replica>,
        is_long_ago: impl Fn(f64) -> bool,
    ) {
        let mut lapsed: Vec<_> = std::mem::take(&mut self.removed_in_flight).into_iter().collect();
        lapsed.extend(std::iter::from_fn(|| self.removed.pop_due(&is_long_ago)));
        self.entries_visited += lapsed.len();
        for id in lapsed {
            if replicas.get(&id).is_some_and(|r| !r.in_flight.is_empty()) {
                self.removed_in_flight.insert(id);
            } else {
                replicas.remove(&id);
                self.forget(id);
            }
        }
    }

    fn forget(&mut self, id: ReplicaId) {
        let before = self.is_ready_and_warming_up(id);
        self.ready.remove(&id);
        self.by_health_check.remove(id);
        self.warming_up.remove(id);
        self.recount_warming_up(before, id);
        self.record_load(id, None, 0.0);
        self.removed.remove(id);
        self.removed_in_flight.remove(&id);
        let placed: Vec<_> = self.places.range((id, 0)..=(id, u32::MAX)).copied().collect();
        for place in placed {
            self.places.remove(&place);
            self.cells.entry(place.1).or_default().remove(&id);
        }
    }

    /// How many may be chosen.
    pub fn ready_count(&self) -> usize {
        self.ready.len()
    }

    /// How many of these are warm.
    pub fn warm_count(&self) -> usize {
        self.ready.len() - self.ready_and_warming_up
    }

    /// The mean of the fresh loads; 0 where there is none.
    pub fn mean_load(&self) -> f64 {
        self.load_sum as f64 / LOAD_UNITS / self.loads.len().max(1) as f64
    }

    /// The replicas that are warming up, in order.
    pub fn warming_up(&mut self) -> Vec<ReplicaId> {
        let warming_up: Vec<_> = self.warming_up.keys().collect();
        self.entries_visited += warming_up.len();
        warming_up
    }

    /// The replicas of a cell, in order.
    pub fn replicas_in_cell(&self, cell: u32) -> impl Iterator<Item = ReplicaId> + '_ {
        self.cells.get(&cell).into_iter().flatten().copied()
    }

    /// Compares with a fresh count over all replicas; `is_warming_up` and `is_fresh` say of one what the
    /// rules do.
    ///
    /// # Errors
    ///
    /// The name of the first sum or index that differs.
    pub fn check(
        &self,
        replicas: &BTreeMap<ReplicaId, Replica>,
        is_warming_up: impl Fn(&Replica) -> bool,
        is_fresh: impl Fn(&Replica) -> bool,
    ) -> Result<(), &'static str> {
        let ids = |test: &dyn Fn(&Replica) -> bool| -> BTreeSet<ReplicaId> {
            replicas.iter().filter(|(_, r)| test(r)).map(|(id, _)| *id).collect()
        };
        let loads = replicas.values().filter(|r| is_fresh(r)).filter_map(Replica::reported_load);
        let loads: Vec<f64> = loads.collect();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let has_fresh_load = |r: &Replica| is_fresh(r) && r.reported_load().is_some();
        let is_removed = |r: &Replica| r.endpoint.state == EndpointState::Removed;
        let removed: BTreeSet<_> =
            self.removed.keys().chain(self.removed_in_flight.iter().copied()).collect();
        let is_placed = |(id, r): (&ReplicaId, &Replica)| {
            let cell = u32::from(r.endpoint.cell.0);
            self.cells.get(&cell).is_some_and(|ids| ids.contains(id)) && self.places.contains(&(*id, cell))
        };
        // Each in its own cell, and in no other.
        let in_cells: usize = self.cells.values().map(BTreeSet::len).sum();
        let cells_match = replicas.iter().all(is_placed)
            && in_cells == replicas.len()
            && self.places.len() == replicas.len();
        first_difference([
            (self.ready == ids(&Replica::is_ready), "ready"),
            (self.warming_up.keys().collect::<BTreeSet<_>>() == ids(&is_warming_up), "warming up"),
            (self.warm_count() == ids(&|r| r.is_ready() && !is_warming_up(r)).len(), "warm"),
            (self.fresh_reports.keys().collect::<BTreeSet<_>>() == ids(&has_fresh_load), "fresh reports"),
            (self.loads.keys().copied().collect::<BTreeSet<_>>() == ids(&has_fresh_load), "loads"),
            ((self.mean_load() - mean).abs() <= 1e-9 * mean.abs().max(1.0), "mean load"),
            (removed == ids(&is_removed), "removed"),
            (cells_match, "cells"),
        ])
    }
}
