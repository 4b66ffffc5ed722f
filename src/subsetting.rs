//! Deterministic subsetting: limits which replicas a coordinator connects to when more are listed
//! than it needs (Site Reliability Engineering, chapter 20). Each coordinator draws its own subset
//! from a seed. Performs no I/O and reads no clock.
//!
//! Without subsetting, the number of connections of a coordinator would grow with the fleet. If
//! every part could go to any holder, a coordinator of a large fleet would open a connection for
//! almost every part and would have no statistics on any replica.
//!
//! Invariants, while more replicas are ready than the target size:
//! - in each cell with ready replicas, the number of selected replicas is the cell's share of the
//!   target size and at least [`MIN_PER_CELL`], or all of the cell's replicas if there are fewer;
//! - a selected replica stays selected as long as it is ready in its cell;
//! - a selected replica is announced with its most recent listed entry.
//!
//! Otherwise updates are passed on unchanged. The cost of updating one replica is independent of
//! the number of listed replicas, except when subsetting starts or stops or the number of cells
//! changes.
#![warn(missing_docs)]

use std::collections::{BTreeMap, BTreeSet};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::balancer::interface::{CellId, Endpoint, EndpointState, EndpointUpdate, ReplicaId};

/// Target size of a subset, in replicas. All replicas are used up to this number of ready ones;
/// beyond it, a coordinator has no more connections than in a fleet of usual size.
pub const SUBSET_SIZE: usize = 200;

/// Minimum number of selected replicas per cell, if the cell has that many. A shard may be held by
/// a single cell, and its parts need alternatives.
pub const MIN_PER_CELL: usize = 4;

/// The ready replicas of a cell.
#[derive(Debug, Default)]
struct Cell {
    selected: BTreeSet<ReplicaId>,
    /// Ready replicas that are not selected, by rank; the first is selected next.
    spare: BTreeSet<(u64, ReplicaId)>,
}

#[derive(Debug)]
struct ListedReplica {
    endpoint: Endpoint,
    /// Random number, drawn once per replica. The replicas of a cell with the lowest ranks are selected
    /// first.
    rank: u64,
}

/// The cell in which a replica was ready before an update, and whether it was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FormerPlace {
    cell: CellId,
    was_selected: bool,
}

/// The endpoint list as last received, and the subset of it that is announced.
#[derive(Debug)]
pub struct Subset {
    random: Pcg64Mcg,
    target_size: usize,
    listed: BTreeMap<ReplicaId, ListedReplica>,
    cells: BTreeMap<CellId, Cell>,
    ready_count: usize,
    /// Whether more replicas are ready than the target size.
    is_subsetting: bool,
    /// While subsetting: replicas whose last announced state is not `Removed`.
    announced: BTreeSet<ReplicaId>,
    /// Number of replicas and cells visited so far, as a measure of work.
    pub entries_visited: usize,
}

impl Subset {
    /// Creates an empty list. The subset of about `target_size` replicas depends only on `seed` and
    /// the updates.
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

    /// Applies an update of the endpoint list and returns the entries to announce instead, as an
    /// update of the same kind.
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
            // Until now, every listed entry has been announced.
            self.announced = self.listed.keys().chain(&touched).copied().collect();
        }
        if is_full {
            self.forget_announced_ready();
        }
        let must_reannounce = is_full || was_subsetting != self.is_subsetting;
        if must_reannounce {
            // Any listed replica may have to be announced, or announced as removed.
            touched.extend(self.listed.keys());
        }
        if must_reannounce || cell_count != self.cells.len() {
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

    /// Drops all replicas except `remaining`, those that a full list contains.
    fn retain_only(&mut self, remaining: &BTreeSet<ReplicaId>) {
        let removed: Vec<_> =
            self.listed.keys().filter(|replica| !remaining.contains(replica)).copied().collect();
        for replica in removed {
            self.take_from_cell(replica);
            self.listed.remove(&replica);
            // A full list without the replica announces its removal implicitly.
            self.announced.remove(&replica);
        }
    }

    /// Applies the entries of an update; returns the cells that replicas have entered or left.
    fn apply_entries(&mut self, entries: &[Endpoint]) -> BTreeSet<CellId> {
        let mut changed_cells = BTreeSet::new();
        for entry in entries {
            changed_cells.extend(self.apply_entry(entry));
            changed_cells.insert(entry.cell);
        }
        self.entries_visited += entries.len();
        changed_cells
    }

    /// Applies one entry; returns the cell in which its replica was ready before, if any. A
    /// selected replica that is still ready in the same cell stays selected.
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

    /// Removes a replica from the cell in which it is ready, if any.
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

    /// Forgets which ready replicas were announced, because a full list announces removals
    /// implicitly. Draining replicas are kept, since their entries are passed on.
    fn forget_announced_ready(&mut self) {
        let listed = &self.listed;
        self.announced.retain(|replica| {
            listed.get(replica).is_some_and(|listed| listed.endpoint.state != EndpointState::Ready)
        });
    }

    /// Selects spare replicas of a cell up to its share and adds them to `touched`.
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

    /// Returns the number of replicas to select per cell.
    fn share_of_cell(&self) -> usize {
        if self.is_subsetting {
            self.target_size.div_ceil(self.cells.len().max(1)).max(MIN_PER_CELL)
        } else {
            usize::MAX
        }
    }

    /// Makes all selected replicas spare again, when subsetting stops.
    fn deselect_all(&mut self) {
        for cell in self.cells.values_mut() {
            for replica in std::mem::take(&mut cell.selected) {
                let rank = self.listed.get(&replica).map_or(0, |listed| listed.rank);
                cell.spare.insert((rank, replica));
            }
        }
        self.announced.clear();
    }

    /// Returns the entry to announce for a replica, if any.
    fn announce(&mut self, replica: ReplicaId) -> Option<Endpoint> {
        let Some(endpoint) = self.listed.get(&replica).map(|listed| listed.endpoint) else {
            let removed = Endpoint { replica, state: EndpointState::Removed, ..Endpoint::default() };
            return self.announced.remove(&replica).then_some(removed);
        };
        if endpoint.state != EndpointState::Ready {
            // A replica that was never announced carries no attempts, so its entry can be omitted.
            // When subsetting stops, everything is announced.
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
