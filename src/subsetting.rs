//! Deterministic subsetting: which replicas a coordinator works with where more are listed than it needs
//! (Site Reliability Engineering, chapter 20). Each coordinator draws a subset of its own from a seed. No I/O
//! and no clock.
//!
//! Without it the traffic of a coordinator would grow with the fleet: with each part sent to any of all
//! holders, a coordinator of a large fleet would open a connection for nearly every part, and have statistics
//! on no replica.
//!
//! Invariants, while more replicas are ready than the target size:
//! - each cell with ready replicas has as many selected ones as its share of the target size, at least
//!   [`MIN_PER_CELL`], or all that it has;
//! - a selected replica stays selected for as long as it is ready in its cell;
//! - what is announced of a selected replica is what was listed last.
//!
//! Otherwise every update is passed on unchanged. An update of one replica costs the same however many are
//! listed, except where subsetting starts or stops, or the number of cells changes.
#![warn(missing_docs)]

use std::collections::{BTreeMap, BTreeSet};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::balancer::interface::{CellId, Endpoint, EndpointState, EndpointUpdate, ReplicaId};

/// Target size of a subset, in replicas. Up to this many ready ones all are used, so that a coordinator of a
/// larger fleet has no more connections than one of a usual fleet.
pub const SUBSET_SIZE: usize = 200;

/// Fewest selected replicas of a cell, if it has so many: a shard may be held by one cell alone, and its
/// parts need alternatives.
pub const MIN_PER_CELL: usize = 4;

/// The ready replicas of a cell.
#[derive(Debug, Default)]
struct Cell {
    selected: BTreeSet<ReplicaId>,
    /// The others, by rank: the first is selected next.
    spare: BTreeSet<(u64, ReplicaId)>,
}

#[derive(Debug)]
struct ListedReplica {
    endpoint: Endpoint,
    /// Drawn once: the lowest ranks of a cell are selected first.
    rank: u64,
}

/// Where a replica was ready before an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FormerPlace {
    cell: CellId,
    was_selected: bool,
}

/// The endpoint list as it was last received, and the subset of it that is announced.
#[derive(Debug)]
pub struct Subset {
    random: Pcg64Mcg,
    target_size: usize,
    listed: BTreeMap<ReplicaId, ListedReplica>,
    cells: BTreeMap<CellId, Cell>,
    ready_count: usize,
    /// More replicas are ready than the target size.
    is_subsetting: bool,
    /// While subsetting: the replicas that were announced, and not as removed.
    announced: BTreeSet<ReplicaId>,
    /// Replicas and cells visited so far, a measure of the work done.
    pub entries_visited: usize,
}

impl Subset {
    /// An empty list. The subset of about `target_size` replicas follows from `seed` and the updates alone.
    pub fn new(seed: u64, target_size: usize) -> Subset {
        Subset {
            random: Pcg64Mcg::seed_from_u64(seed),
            target_size,
            listed: BTreeMap::new(),
            cells: BTreeMap::new(),
            ready_count: 0,
            is_subsetting: false,
            announced: BTreeSet::new(),
            entries_visited: 0,
        }
    }

    /// Apply an update of the endpoint list, and give the entries to announce in its place, as an update of
    /// the same kind.
    pub fn update(&mut self, update: EndpointUpdate, entries: Vec<Endpoint>) -> Vec<Endpoint> {
        if update == EndpointUpdate::Failed {
            return entries;
        }
        let is_full = update != EndpointUpdate::Delta;
        let mut touched: BTreeSet<ReplicaId> = entries.iter().map(|entry| entry.replica).collect();
        if is_full {
            self.retain_only(&touched);
        }
        let cell_count = self.cells.len();
        let mut changed_cells = self.apply_entries(&entries);
        let was_subsetting = self.is_subsetting;
        self.is_subsetting = self.ready_count > self.target_size;
        if !was_subsetting && !self.is_subsetting {
            return entries;
        }
        if !was_subsetting {
            // Until now everything was announced.
            self.announced = self.listed.keys().chain(&touched).copied().collect();
        }
        if is_full {
            self.forget_announced_ready();
        }
        let restarted = is_full || was_subsetting != self.is_subsetting;
        if restarted {
            // Each listed replica may have to be announced, or announced as removed.
            touched.extend(self.listed.keys());
        }
        if restarted || cell_count != self.cells.len() {
            changed_cells.extend(self.cells.keys());
        }
        for cell in changed_cells {
            self.fill_cell(cell, &mut touched);
        }
        self.entries_visited += touched.len();
        let announced = touched.into_iter().filter_map(|replica| self.announce(replica)).collect();
        if !self.is_subsetting {
            self.deselect_all();
        }
        announced
    }

    /// Drop all replicas that a full list does not contain.
    fn retain_only(&mut self, kept: &BTreeSet<ReplicaId>) {
        let removed: Vec<_> = self.listed.keys().filter(|replica| !kept.contains(replica)).copied().collect();
        for replica in removed {
            self.take_from_cell(replica);
            self.listed.remove(&replica);
            // A full list without it announces its removal by itself.
            self.announced.remove(&replica);
        }
    }

    /// Apply all entries of an update; the cells that replicas have entered or left.
    fn apply_entries(&mut self, entries: &[Endpoint]) -> BTreeSet<CellId> {
        let mut changed_cells = BTreeSet::new();
        for entry in entries {
            changed_cells.extend(self.apply_entry(entry));
            changed_cells.insert(entry.cell);
        }
        self.entries_visited += entries.len();
        changed_cells
    }

    /// Apply one entry; the cell that its replica was ready in before, if it was. A selected replica that is
    /// still ready in the same cell stays selected.
    fn apply_entry(&mut self, entry: &Endpoint) -> Option<CellId> {
        let replica = entry.replica;
        let former_place = self.take_from_cell(replica);
        let former_cell = former_place.map(|place| place.cell);
        if entry.state == EndpointState::Removed {
            self.listed.remove(&replica);
            return former_cell;
        }
        let random = &mut self.random;
        let new_replica = || ListedReplica { endpoint: *entry, rank: random.next_u64() };
        let listed = self.listed.entry(replica).or_insert_with(new_replica);
        listed.endpoint = *entry;
        let rank = listed.rank;
        if entry.state == EndpointState::Ready {
            self.ready_count += 1;
            let cell = self.cells.entry(entry.cell).or_default();
            if former_place == Some(FormerPlace { cell: entry.cell, was_selected: true }) {
                cell.selected.insert(replica);
            } else {
                cell.spare.insert((rank, replica));
            }
        }
        former_cell
    }

    /// Take a replica out of the cell that it is ready in, if it is.
    fn take_from_cell(&mut self, replica: ReplicaId) -> Option<FormerPlace> {
        let listed = self.listed.get(&replica)?;
        if listed.endpoint.state != EndpointState::Ready {
            return None;
        }
        let cell_id = listed.endpoint.cell;
        let cell = self.cells.get_mut(&cell_id)?;
        self.ready_count -= 1;
        cell.spare.remove(&(listed.rank, replica));
        let was_selected = cell.selected.remove(&replica);
        if cell.selected.is_empty() && cell.spare.is_empty() {
            self.cells.remove(&cell_id);
        }
        Some(FormerPlace { cell: cell_id, was_selected })
    }

    /// Forget that ready replicas were announced: a full list announces removals by itself. A draining
    /// replica is kept, since its entry is passed on.
    fn forget_announced_ready(&mut self) {
        let listed = &self.listed;
        self.announced.retain(|replica| {
            listed.get(replica).is_some_and(|listed| listed.endpoint.state != EndpointState::Ready)
        });
    }

    /// Select spare replicas of a cell up to its share, and add them to `touched`.
    fn fill_cell(&mut self, cell_id: CellId, touched: &mut BTreeSet<ReplicaId>) {
        self.entries_visited += 1;
        let share = self.share_of_cell();
        let Some(cell) = self.cells.get_mut(&cell_id) else { return };
        while cell.selected.len() < share {
            let Some((_, replica)) = cell.spare.pop_first() else { break };
            cell.selected.insert(replica);
            touched.insert(replica);
        }
    }

    /// How many replicas of each cell are selected, if it has so many.
    fn share_of_cell(&self) -> usize {
        if self.is_subsetting {
            self.target_size.div_ceil(self.cells.len().max(1)).max(MIN_PER_CELL)
        } else {
            usize::MAX
        }
    }

    /// Make all selected replicas spare again, where subsetting stops.
    fn deselect_all(&mut self) {
        for cell in self.cells.values_mut() {
            for replica in std::mem::take(&mut cell.selected) {
                let rank = self.listed.get(&replica).map_or(0, |listed| listed.rank);
                cell.spare.insert((rank, replica));
            }
        }
        self.announced.clear();
    }

    /// The entry to announce for a replica, if any.
    fn announce(&mut self, replica: ReplicaId) -> Option<Endpoint> {
        let Some(endpoint) = self.listed.get(&replica).map(|listed| listed.endpoint) else {
            let removed = Endpoint { replica, state: EndpointState::Removed, ..Endpoint::default() };
            return self.announced.remove(&replica).then_some(removed);
        };
        if endpoint.state != EndpointState::Ready {
            // One that was never announced carries no attempts. Where subsetting stops, everything is
            // announced.
            let announce = self.announced.contains(&replica) || !self.is_subsetting;
            return announce.then_some(endpoint);
        }
        if self.is_selected(&endpoint) {
            self.announced.insert(replica);
            return Some(endpoint);
        }
        let removed = Endpoint { state: EndpointState::Removed, ..endpoint };
        self.announced.remove(&replica).then_some(removed)
    }

    fn is_selected(&self, endpoint: &Endpoint) -> bool {
        self.cells.get(&endpoint.cell).is_some_and(|cell| cell.selected.contains(&endpoint.replica))
    }
}
