//! Which replicas a coordinator works with, where more are listed than it needs: deterministic subsetting, with a choice
//! of its own by each coordinator. No I/O.
//!
//! A coordinator's traffic does not grow with the fleet. Were each part sent to any of all holders, a coordinator of a
//! large fleet would open a connection for nearly every part, and know none of its replicas.
//!
//! Invariants, where more are ready than [`MOST`]: each cell that has ready replicas has as many chosen ones as its share
//! of [`MOST`] and [`LEAST_IN_CELL`], or all it has; a chosen one stays chosen for as long as it is ready; what is
//! announced of a chosen one is what was listed last. Else all is announced as it came. News of one replica costs the
//! same however many are listed, but where the choice begins or ends, or the number of cells changes.
use std::collections::{BTreeMap, BTreeSet};

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::balancer::interface::{CellId, Endpoint, EndpointState, EndpointUpdate, ReplicaId};

/// Ready replicas up to which all are worked with: as many as the fleets have that the days are drawn for. A coordinator
/// of a larger one sees no more traffic.
pub const SUBSET_SIZE: usize = 200;

/// Chosen ones of a cell at least, if it has so many: a shard may be held by one cell alone, and its parts need others to
/// go to.
pub const MIN_PER_CELL: usize = 4;

/// The ready replicas of a cell.
#[derive(Debug, Default)]
struct Cell {
    chosen: BTreeSet<ReplicaId>,
    /// The others, the next to be chosen first.
    spare: BTreeSet<(u64, ReplicaId)>,
}

/// A replica that is listed.
#[derive(Debug)]
struct Known {
    listed: Endpoint,
    /// Drawn once: the lowest of a cell are chosen first.
    rank: u64,
}

/// What is known of all that is listed, and the choice.
#[derive(Debug)]
pub struct Subset {
    random: Pcg64Mcg,
    most: usize,
    known: BTreeMap<ReplicaId, Known>,
    cells: BTreeMap<CellId, Cell>,
    ready: usize,
    /// More are ready than are worked with.
    chooses: bool,
    /// While it chooses: those that were announced, and not as gone.
    announced: BTreeSet<ReplicaId>,
    /// Replicas and cells gone through so far.
    pub entries_visited: usize,
}

impl Subset {
    /// A choice of about `most`, which follows from `seed`.
    pub fn new(seed: u64, most: usize) -> Subset {
        let (known, cells, announced) = Default::default();
        let random = Pcg64Mcg::seed_from_u64(seed);
        Subset { random, most, known, cells, ready: 0, chooses: false, announced, entries_visited: 0 }
    }

    /// Take over news of the list; what of it is announced.
    pub fn update(&mut self, news: EndpointUpdate, entries: Vec<Endpoint>) -> Vec<Endpoint> {
        if news == EndpointUpdate::Failed {
            return entries;
        }
        let mut touched: BTreeSet<ReplicaId> = entries.iter().map(|e| e.replica).collect();
        let whole = news != EndpointUpdate::Delta;
        if whole {
            self.keep_only(&touched);
        }
        let cells = self.cells.len();
        let mut changed: BTreeSet<CellId> = entries.iter().filter_map(|entry| self.place(entry)).collect();
        changed.extend(entries.iter().map(|e| e.cell));
        self.entries_visited += entries.len();
        let chose = std::mem::replace(&mut self.chooses, self.ready > self.most);
        if !chose && !self.chooses {
            return entries;
        }
        if !chose {
            // All was announced so far.
            self.announced = self.known.keys().chain(&touched).copied().collect();
        }
        if whole {
            // A whole list says by itself what is not in it. What drains goes on, and is in it.
            let known = &self.known;
            self.announced.retain(|id| known.get(id).is_some_and(|k| k.listed.state != EndpointState::Ready));
        }
        // Where the choice begins or ends, there is something to say of all.
        if whole || chose != self.chooses {
            touched.extend(self.known.keys());
        }
        if whole || chose != self.chooses || cells != self.cells.len() {
            changed.extend(self.cells.keys());
        }
        changed.into_iter().for_each(|cell| self.fill(cell, &mut touched));
        self.entries_visited += touched.len();
        let announced = touched.into_iter().filter_map(|id| self.announce(id)).collect();
        if !self.chooses {
            self.choose_none();
        }
        announced
    }

    fn keep_only(&mut self, kept: &BTreeSet<ReplicaId>) {
        let gone: Vec<_> = self.known.keys().filter(|id| !kept.contains(id)).copied().collect();
        for id in gone {
            self.leave(id);
            self.known.remove(&id);
            // A whole list without it says so by itself.
            self.announced.remove(&id);
        }
    }

    /// Take a replica out of its cell; which one that was, and whether it was chosen there.
    fn leave(&mut self, id: ReplicaId) -> Option<(CellId, bool)> {
        let known = self.known.get(&id).filter(|known| known.listed.state == EndpointState::Ready)?;
        let at = known.listed.cell;
        let cell = self.cells.get_mut(&at)?;
        self.ready -= 1;
        cell.spare.remove(&(known.rank, id));
        let was_chosen = cell.chosen.remove(&id);
        if cell.chosen.is_empty() && cell.spare.is_empty() {
            self.cells.remove(&at);
        }
        Some((at, was_chosen))
    }

    /// Note an entry; the cell that it was ready in before, if it was. A chosen one that is ready in the same cell stays
    /// chosen.
    fn place(&mut self, entry: &Endpoint) -> Option<CellId> {
        let id = entry.replica;
        let left = self.leave(id);
        let old_cell = left.map(|(cell, _)| cell);
        if entry.state == EndpointState::Removed {
            self.known.remove(&id);
            return old_cell;
        }
        let random = &mut self.random;
        let known = self.known.entry(id).or_insert_with(|| Known { listed: *entry, rank: random.next_u64() });
        known.listed = *entry;
        let rank = known.rank;
        if entry.state == EndpointState::Ready {
            self.ready += 1;
            let cell = self.cells.entry(entry.cell).or_default();
            if left == Some((entry.cell, true)) {
                cell.chosen.insert(id);
            } else {
                cell.spare.insert((rank, id));
            }
        }
        old_cell
    }

    /// Choose where a cell has room: for what has come, and in place of what has left.
    fn fill(&mut self, cell: CellId, touched: &mut BTreeSet<ReplicaId>) {
        let share = self.most.div_ceil(self.cells.len().max(1)).max(MIN_PER_CELL);
        let share = if self.chooses { share } else { usize::MAX };
        self.entries_visited += 1;
        let Some(cell) = self.cells.get_mut(&cell) else { return };
        while cell.chosen.len() < share {
            let Some((_, id)) = cell.spare.pop_first() else { break };
            cell.chosen.insert(id);
            touched.insert(id);
        }
    }

    /// The choice is given up: all are spare again, for the next one.
    fn choose_none(&mut self) {
        for cell in self.cells.values_mut() {
            for id in std::mem::take(&mut cell.chosen) {
                let rank = self.known.get(&id).map_or(0, |known| known.rank);
                cell.spare.insert((rank, id));
            }
        }
        self.announced.clear();
    }

    /// What is to be said of a replica, if anything is.
    fn announce(&mut self, id: ReplicaId) -> Option<Endpoint> {
        let gone = Endpoint { replica: id, state: EndpointState::Removed, ..Endpoint::default() };
        let Some(listed) = self.known.get(&id).map(|known| known.listed) else {
            return self.announced.remove(&id).then_some(gone);
        };
        let chosen = self.cells.get(&listed.cell).is_some_and(|cell| cell.chosen.contains(&id));
        match listed.state {
            EndpointState::Ready if chosen => {
                self.announced.insert(id);
                Some(listed)
            }
            EndpointState::Ready => {
                self.announced.remove(&id).then_some(Endpoint { state: EndpointState::Removed, ..listed })
            }
            // One that was never announced is of no matter to whoever sends. With all announced again it is.
            _ => (self.announced.contains(&id) || !self.chooses).then_some(listed),
        }
    }
}
