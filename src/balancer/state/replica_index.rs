//! Running sums and indexes over all known replicas, so that a round need not visit every replica.
//! [`ReplicaIndex::check`] defines what each of them equals.
use std::collections::{BTreeMap, BTreeSet};

use super::audit::first_difference;
use super::timer_queue::TimerQueue;
use super::Replica;
use crate::balancer::interface::{CellId, EndpointState, ReplicaId};

/// Loads are summed in units of 2^-32 as integers, so that the sum is exact and independent of the
/// order.
const LOAD_UNITS: f64 = (1u64 << 32) as f64;
/// Upper bound on a summed load, so that the total does not overflow.
const MAX_LOAD: f64 = 1e15;

/// An index of all known replicas.
#[derive(Default)]
pub struct ReplicaIndex {
    /// Ready replicas.
    ready: BTreeSet<ReplicaId>,
    /// Number of ready replicas that are warming up.
    ready_and_warming_up: usize,
    /// Replicas within the slow start ramp, in any state, by start time.
    warming_up: TimerQueue<ReplicaId>,
    /// Replicas with a fresh load report, by report time.
    fresh_reports: TimerQueue<ReplicaId>,
    /// The load in each fresh report, in units of 2^-32.
    loads: BTreeMap<ReplicaId, i128>,
    /// The sum of `loads`.
    load_sum: i128,
    /// Ready replicas by the time of their last health check.
    pub by_health_check: TimerQueue<ReplicaId>,
    /// Removed replicas by removal time.
    removed: TimerQueue<ReplicaId>,
    /// Removed replicas that are due to be forgotten but still have attempts in flight; not
    /// contained in `removed`.
    removed_in_flight: BTreeSet<ReplicaId>,
    /// Replicas by cell, so that a selection does not visit all replicas.
    cells: BTreeMap<u32, BTreeSet<ReplicaId>>,
    /// The cells of each replica, the inverse of `cells`.
    cells_by_replica: BTreeSet<(ReplicaId, u32)>,
    /// Number of entries visited so far.
    pub entries_visited: usize,
}

impl ReplicaIndex {
    /// Updates the index after a list changed a replica, which may be a new process: state, load
    /// report and, if slow start is enabled, start time.
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

    /// Moves a replica from one cell to another.
    pub fn move_to_cell(&mut self, id: ReplicaId, old_cell: CellId, new_cell: CellId) {
        let old_cell = u32::from(old_cell.0);
        let new_cell = u32::from(new_cell.0);
        self.cells.entry(old_cell).or_default().remove(&id);
        self.cells_by_replica.remove(&(id, old_cell));
        self.cells.entry(new_cell).or_default().insert(id);
        self.cells_by_replica.insert((id, new_cell));
    }

    /// Records a replica's reported load, with the time of the report in seconds.
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

    /// Drops stale load reports and replicas whose ramp is over. The predicates take the time of
    /// the report and of the start, in seconds.
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

    /// Forgets replicas without in-flight attempts that were removed long ago; the predicate takes
    /// the time of the removal in seconds.
    pub fn forget_removed(
        &mut self,
        replicas: &mut BTreeMap<ReplicaId, Replica>,
        is_long_ago: impl Fn(f64) -> bool,
    ) {
        let mut expired: Vec<_> = std::mem::take(&mut self.removed_in_flight).into_iter().collect();
        expired.extend(std::iter::from_fn(|| self.removed.pop_due(&is_long_ago)));
        self.entries_visited += expired.len();
        for id in expired {
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
        let cell_entries: Vec<_> = self.cells_by_replica.range((id, 0)..=(id, u32::MAX)).copied().collect();
        for entry in cell_entries {
            self.cells_by_replica.remove(&entry);
            self.cells.entry(entry.1).or_default().remove(&id);
        }
    }

    /// Returns the number of ready replicas.
    pub fn ready_count(&self) -> usize {
        self.ready.len()
    }

    /// Returns the number of ready replicas that are warm.
    pub fn warm_count(&self) -> usize {
        self.ready.len() - self.ready_and_warming_up
    }

    /// Returns the mean of the fresh load reports; 0 if there are none.
    pub fn mean_load(&self) -> f64 {
        self.load_sum as f64 / LOAD_UNITS / self.loads.len().max(1) as f64
    }

    /// Returns the replicas that are warming up, in order.
    pub fn warming_up(&mut self) -> Vec<ReplicaId> {
        let warming_up: Vec<_> = self.warming_up.keys().collect();
        self.entries_visited += warming_up.len();
        warming_up
    }

    /// Iterates over the replicas of a cell, in order.
    pub fn replicas_in_cell(&self, cell: u32) -> impl Iterator<Item = ReplicaId> + '_ {
        self.cells.get(&cell).into_iter().flatten().copied()
    }

    /// Compares the index with a full recount over all replicas, where `is_warming_up` and
    /// `is_fresh` are the rules to check against.
    ///
    /// # Errors
    ///
    /// Returns the name of the first sum or index that differs.
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
        let is_indexed = |(id, r): (&ReplicaId, &Replica)| {
            let cell = u32::from(r.endpoint.cell.0);
            self.cells.get(&cell).is_some_and(|ids| ids.contains(id))
                && self.cells_by_replica.contains(&(*id, cell))
        };
        // Each replica is in its own cell and in no other.
        let in_cells: usize = self.cells.values().map(BTreeSet::len).sum();
        let cells_match = replicas.iter().all(is_indexed)
            && in_cells == replicas.len()
            && self.cells_by_replica.len() == replicas.len();
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
