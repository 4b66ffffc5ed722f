//! Estimates the demand on the tiles of the base topology, and maps it to the tiles of another topology.
use std::collections::{BTreeMap, BTreeSet};

use super::{Range, Unknown};
use crate::topology_forecast::{Demand, Topology};

/// Half the width of the range of a count, in standard errors. Counts are assumed to have a Poisson
/// distribution: at a constant rate, one count in 370 is outside three standard errors.
const SIGMAS: f64 = 3.0;

/// A figure for each class and tile, either counts of parts or parts per second. Each vector is in the order
/// of [`Topology::tiles`].
pub type ByTile = BTreeMap<u16, Vec<Range>>;

/// Converts a count for a district to a rate per second. The range of the count, which is due to the error of
/// the heavy hitters, is widened by three standard errors, by the variation of the district's demand between
/// windows, and by the uncertainty about the traffic of coordinators without reports.
pub fn rate(count: Range, demand: &Demand, district: u32) -> Range {
    let share = demand.coverage.share;
    let (quietest, busiest) = demand.swing.get(&district).copied().unwrap_or((1.0, 1.0));
    let low = (count.low - SIGMAS * count.low.sqrt()).max(0.0) * quietest / share.high.max(f64::MIN_POSITIVE);
    let high = (count.high + SIGMAS * count.high.max(1.0).sqrt()) * busiest / share.low.max(1e-3);
    let mid = count.mid / share.mid.max(1e-3);
    Range { low: low.min(mid), mid, high: high.max(mid) }.scale_by(1.0 / demand.seconds.max(1e-3))
}

/// Estimates the number of parts on each tile of the base, by class. The range of a tile's count is given by
/// the bounds of the heavy hitters. For `mid`, the parts of a district that exceed the sum of the lower
/// bounds are distributed in proportion to the widths of the ranges.
pub fn counts(demand: &Demand, base: &Topology) -> ByTile {
    let districts = base.districts();
    let mut out = ByTile::new();
    for ((class, district), row) in &demand.rows {
        let counts = out.entry(*class).or_insert_with(|| vec![Range::default(); base.tiles().len()]);
        let tile_indexes = districts.get(district).map_or(&[][..], |p| p);
        let bounds: Vec<(f64, f64)> = tile_indexes
            .iter()
            .map(|n| {
                let tile = base.tiles().get(*n).map_or(0, |t| t.tile);
                let known = demand.tiles.get(&(*class, tile)).copied();
                let (low, high) = known.unwrap_or((0, demand.untracked_tile_bound.min(row.parts)));
                (low as f64, (high as f64).min(row.parts as f64).max(low as f64))
            })
            .collect();
        let guaranteed: f64 = bounds.iter().map(|(low, _)| low).sum();
        let uncertain: f64 = bounds.iter().map(|(low, high)| high - low).sum();
        let share = ((row.parts as f64 - guaranteed).max(0.0) / uncertain.max(1.0)).min(1.0);
        for (n, (low, high)) in tile_indexes.iter().zip(bounds) {
            if let Some(count) = counts.get_mut(*n) {
                *count = Range { low, mid: low + share * (high - low), high };
            }
        }
    }
    out
}

/// The tiles that a query for a whole district requests. A query for a district that no longer exists is
/// assumed to request the successors of its tiles.
pub struct Districts {
    new: BTreeMap<u32, Vec<usize>>,
    removed: BTreeMap<u32, Vec<usize>>,
}

impl Districts {
    /// Determines the districts of `to`, and those that only `base` has. `successors` is the result of
    /// [`Topology::successors`] for `base`.
    pub fn new(base: &Topology, to: &Topology, successors: &[Vec<u32>]) -> Districts {
        let new = to.districts();
        let successor_tiles = |tiles: Vec<usize>| {
            let all = tiles.iter().filter_map(|n| successors.get(*n)).flatten().map(|n| *n as usize);
            all.collect::<BTreeSet<_>>().into_iter().collect()
        };
        let removed = base.districts().into_iter().filter(|(d, _)| !new.contains_key(d));
        Districts { removed: removed.map(|(d, p)| (d, successor_tiles(p))).collect(), new }
    }

    /// Returns the tiles of a district, as indexes into [`Topology::tiles`]. Returns none for an unknown
    /// district.
    pub fn tiles(&self, district: u32) -> &[usize] {
        self.new.get(&district).or_else(|| self.removed.get(&district)).map_or(&[], |p| p)
    }

    /// Returns the districts that no longer exist.
    pub fn removed(&self) -> impl Iterator<Item = &u32> {
        self.removed.keys()
    }
}

/// Estimates the parts per second on each tile of `to`, by class. A part on a tile that was split becomes one
/// part on each of its pieces. A query for several tiles that were merged into one needs only one part, which
/// is taken into account for the known sets of tiles.
pub fn rates(
    demand: &Demand,
    base: &Topology,
    to: &Topology,
    successors: &[Vec<u32>],
    districts: &Districts,
    unknowns: &mut Vec<Unknown>,
) -> ByTile {
    let mut out = ByTile::new();
    let mut retired: BTreeSet<u32> = BTreeSet::new();
    for (class, counts) in counts(demand, base) {
        let mut new = vec![Range::default(); to.tiles().len()];
        for ((tile, count), becomes) in base.tiles().iter().zip(counts).zip(successors) {
            if becomes.is_empty() && count.high > 0.0 {
                retired.insert(tile.tile);
            }
            let requested = rate(count, demand, tile.district);
            for n in becomes {
                if let Some(sum) = new.get_mut(*n as usize) {
                    // A query for several tiles that were merged needs only one part on the merged tile. The
                    // lower end is therefore the greatest of their rates and not the sum.
                    *sum = Range {
                        low: sum.low.max(requested.low),
                        mid: sum.mid + requested.mid,
                        high: sum.high + requested.high,
                    };
                }
            }
        }
        out.insert(class, new);
    }
    for (set, (low, _)) in &demand.sets {
        let mut times: BTreeMap<u32, u32> = BTreeMap::new();
        for n in set.tiles.iter().filter_map(|t| base.index(*t)).filter_map(|n| successors.get(n)).flatten() {
            *times.entry(*n).or_default() += 1;
        }
        let set_rate = rate(Range::exact(*low as f64), demand, set.district);
        for (n, times) in times.into_iter().filter(|(_, times)| *times > 1) {
            if let Some(sum) = out.get_mut(&set.class).and_then(|all| all.get_mut(n as usize)) {
                let extra_times = f64::from(times - 1);
                sum.mid = (sum.mid - extra_times * set_rate.mid).max(sum.low);
                sum.high = (sum.high - extra_times * set_rate.low).max(sum.mid);
            }
        }
    }
    for ((class, district), row) in &demand.rows {
        let whole_district_rate = rate(Range::exact(row.whole_district as f64), demand, *district);
        let Some(all) = out.get_mut(class).filter(|_| row.whole_district > 0) else { continue };
        for n in districts.tiles(*district) {
            if let Some(sum) = all.get_mut(*n) {
                *sum = sum.plus(whole_district_rate);
            }
        }
    }
    unknowns.extend(retired.into_iter().take(super::MAX_NAMED).map(|tile| Unknown::Retired { tile }));
    out
}
