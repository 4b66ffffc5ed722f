//! The fan-out of queries: their parts, attempts, servers and zones, by class and district.
use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::tile_demand::{rate, Districts};
use super::Range;
use crate::topology_forecast::report::Key;
use crate::topology_forecast::{Demand, Topology};

/// The mean, the percentiles and the maximum of a figure over all queries of a class for a district.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Stats {
    pub mean: f64,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub most: f64,
}

impl Stats {
    /// Computes the statistics of pairs of a value and the number of queries that have it.
    fn of(mut values: Vec<(f64, f64)>) -> Stats {
        values.sort_by(|a, b| a.0.total_cmp(&b.0));
        let total: f64 = values.iter().map(|(_, n)| n).sum();
        let mean = values.iter().map(|(v, n)| v * n).sum::<f64>() / total.max(f64::MIN_POSITIVE);
        let at = |q: f64| {
            let mut remaining = q * total;
            let within = |(_, n): &&(f64, f64)| {
                remaining -= n;
                remaining <= 1e-9 * total
            };
            values.iter().find(within).or(values.last()).map_or(0.0, |(v, _)| *v)
        };
        Stats {
            mean,
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            most: values.last().map_or(0.0, |(v, _)| *v),
        }
    }
}

/// The fan-out of the queries of one class for one district.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FanOut {
    pub class: u16,
    pub district: u32,
    pub queries_s: Range,
    /// The number of distinct clients, if they are identified. The range extends two standard errors of the
    /// sketch to each side.
    pub clients: Option<Range>,
    pub parts: Stats,
    /// The mean number of parts. If the set of tiles of a query is unknown, each of its tiles is assumed to
    /// be split into the mean number of pieces of the district's tiles for `mid`, and into the lowest and
    /// the highest number of pieces of any of them for `low` and `high`.
    pub mean_parts: Range,
    /// The mean number of attempts, which is `mean_parts` times the observed attempts per part of this class.
    pub attempts: Range,
    pub servers: Stats,
    #[serde(rename = "rooms")]
    pub zones: Stats,
    /// The mean number of parts on the base topology.
    pub parts_before: f64,
    /// The share of the queries whose set of tiles is known.
    #[serde(rename = "known")]
    pub known_share: f64,
}

/// The placement of tiles on servers and zones in one topology.
struct Placements<'a> {
    holders: &'a [Vec<u32>],
    zones: Vec<u8>,
}

impl Placements<'_> {
    /// Returns the number of parts of a query for these tiles, and the expected numbers of distinct servers
    /// and zones. Each part is assumed to go to any of its tile's holders with equal probability.
    fn of_tiles(&self, tiles: &[usize]) -> (f64, f64, f64) {
        let (mut servers, mut zones) = (BTreeMap::<u32, f64>::new(), BTreeMap::<u8, f64>::new());
        for holders in tiles.iter().filter_map(|n| self.holders.get(*n)) {
            let each = 1.0 / holders.len().max(1) as f64;
            let mut in_zone = BTreeMap::<u8, f64>::new();
            for h in holders {
                *servers.entry(*h).or_insert(1.0) *= 1.0 - each;
                let zone = self.zones.get(*h as usize).copied().unwrap_or_default();
                *in_zone.entry(zone).or_default() += each;
            }
            for (zone, share) in in_zone {
                *zones.entry(zone).or_insert(1.0) *= (1.0 - share).max(0.0);
            }
        }
        let reached = |none: &f64| 1.0 - none;
        (tiles.len() as f64, servers.values().map(reached).sum(), zones.values().map(reached).sum())
    }

    /// Returns the same figures as [`Placements::of_tiles`] for a query for `parts` of these tiles, if it is
    /// not known which.
    fn of_some(&self, tiles: &[usize], parts: f64) -> (f64, f64, f64) {
        let (mut servers, mut zones) = (BTreeMap::<u32, f64>::new(), BTreeMap::<u8, f64>::new());
        for holders in tiles.iter().filter_map(|n| self.holders.get(*n)) {
            let each = 1.0 / (holders.len().max(1) * tiles.len().max(1)) as f64;
            for h in holders {
                *servers.entry(*h).or_default() += each;
                *zones.entry(self.zones.get(*h as usize).copied().unwrap_or_default()).or_default() += each;
            }
        }
        let reached = |share: &f64| 1.0 - (1.0 - share.min(1.0)).powf(parts);
        (parts, servers.values().map(reached).sum(), zones.values().map(reached).sum())
    }
}

/// A set of tiles, and the lower bound on the number of queries for it.
type Count<'a> = (&'a [u32], f64);

/// Computes the fan-out on the topology `to`, by class and district. `successors` are those of the tiles of
/// `base`, and `attempts` is the number of attempts per part, by class.
pub fn fan_out(
    demand: &Demand,
    base: &Topology,
    to: &Topology,
    successors: &[Vec<u32>],
    districts: &Districts,
    attempts: &BTreeMap<u16, f64>,
) -> Vec<FanOut> {
    let holders = to.holders();
    let placements = Placements { holders: &holders, zones: to.servers().iter().map(|s| s.zone.0).collect() };
    let before = base.districts();
    let pieces = |n: usize| successors.get(n).map_or(0, |s| s.len()) as f64;
    let mut sets: BTreeMap<Key, Vec<Count<'_>>> = BTreeMap::new();
    for (set, (low, _)) in &demand.sets {
        sets.entry((set.class, set.district)).or_default().push((&set.tiles, *low as f64));
    }
    let mut out = Vec::new();
    for ((class, district), row) in &demand.rows {
        let tiles = districts.tiles(*district);
        let old = before.get(district).map_or(&[][..], |p| p);
        let (mut queries, mut known_queries, mut known_parts, mut new_parts) = (Vec::new(), 0.0, 0.0, 0.0);
        if row.whole_district > 0 {
            queries.push((row.whole_district as f64, placements.of_tiles(tiles)));
            new_parts += row.whole_district as f64 * tiles.len() as f64;
        }
        for (set, count) in sets.get(&(*class, *district)).into_iter().flatten().filter(|(_, n)| *n > 0.0) {
            let new_tiles =
                set.iter().filter_map(|t| base.index(*t)).filter_map(|n| successors.get(n)).flatten();
            let new_tiles: Vec<usize> =
                new_tiles.map(|n| *n as usize).collect::<BTreeSet<_>>().into_iter().collect();
            known_queries += count;
            known_parts += count * set.len() as f64;
            new_parts += count * new_tiles.len() as f64;
            queries.push((*count, placements.of_tiles(&new_tiles)));
        }
        let all = row.queries as f64;
        let other_queries = (all - row.whole_district as f64 - known_queries).max(0.0);
        let other_parts = (row.parts as f64 - known_parts).max(0.0);
        let growth = old.iter().map(|n| pieces(*n)).sum::<f64>() / old.len().max(1) as f64;
        let min_growth = old.iter().map(|n| pieces(*n)).fold(f64::INFINITY, f64::min).min(growth);
        let max_growth = old.iter().map(|n| pieces(*n)).fold(0.0, f64::max);
        if other_queries > 0.0 {
            queries.push((other_queries, placements.of_some(tiles, growth * other_parts / other_queries)));
        }
        let spread =
            |of: fn(&(f64, f64, f64)) -> f64| Stats::of(queries.iter().map(|(n, q)| (of(q), *n)).collect());
        let mean = |growth: f64| (new_parts + growth * other_parts) / all.max(1.0);
        let mean_parts = Range { low: mean(min_growth), mid: mean(growth), high: mean(max_growth) };
        let clients = demand.clients.get(district).map(|d| {
            Range::exact(d.estimate()).widen(2.0 * crate::topology_forecast::sketch::DISTINCT_ERROR)
        });
        out.push(FanOut {
            class: *class,
            district: *district,
            queries_s: rate(Range::exact(all), demand, *district),
            clients,
            parts: spread(|q| q.0),
            mean_parts,
            attempts: mean_parts.scale_by(attempts.get(class).copied().unwrap_or(1.0)),
            servers: spread(|q| q.1),
            zones: spread(|q| q.2),
            parts_before: (row.parts as f64 + row.whole_district as f64 * old.len() as f64) / all.max(1.0),
            known_share: (1.0 - other_queries / all.max(1.0)).clamp(0.0, 1.0),
        });
    }
    out
}
