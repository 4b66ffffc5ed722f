//! Collects the reports of all coordinators, one per (member, incarnation, window), and adds them up to the
//! demand on the cluster.
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use serde::Serialize;

use super::report::{ClassCounts, Report, Row, SetKey};
use super::sketch::DistinctCounter;
use super::Range;

/// The key of a report: its window, and the member's name and incarnation.
pub type ReportKey = (u64, Rc<str>, u64);

/// A bounded set of reports.
///
/// Invariants:
/// - The collection keeps at most one report per (member, incarnation, window), namely the one with the most
///   events. Of all keys that were ever inserted, it keeps only the greatest `capacity`. Both rules take a
///   maximum, so [`DemandCollection::merge`] is idempotent, commutative and associative, and the result does
///   not depend on duplicates, delays or the order of reports.
/// - No report is more than one window ahead of the time of its insertion. Otherwise a member whose clock
///   runs ahead could permanently evict all other reports, with windows that no other member reaches.
#[derive(Clone, Debug, PartialEq)]
pub struct DemandCollection {
    capacity: usize,
    window_ms: u64,
    reports: BTreeMap<ReportKey, Rc<Report>>,
}

/// Why a report is rejected. The collection is then unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CollectionError {
    /// The report's window has a different length than those of the collection.
    #[error("demand report over windows of {reported_ms} ms, the collection requires {collected_ms} ms")]
    WindowLength {
        /// The length of the report's window, in milliseconds.
        reported_ms: u64,
        /// The length of the collection's windows, in milliseconds.
        collected_ms: u64,
    },
    /// The report's window is more than one after the open window.
    #[error("demand report on window {window} is too far ahead: window {open} is open")]
    WindowAhead {
        /// The number of the report's window.
        window: u64,
        /// The number of the open window.
        open: u64,
    },
}

/// The reports on which a demand is based, and how much of the traffic they cover.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Coverage {
    /// The expected members that reported on every window.
    pub members: Vec<String>,
    /// The expected members without a report on one or more of the windows.
    pub missing: Vec<String>,
    /// The share of the traffic that the reports cover. `mid` assumes that a missing report equals the mean
    /// of the same member's other reports, or the mean of all reports if that member has none. `low` assumes
    /// that each missing report is as large as the largest report, and `high` that it is empty.
    pub share: Range,
    /// The share of the counted queries that are in no row, because the coordinator's table of rows was full.
    pub unplaced: f64,
    /// The time since the end of the newest window, in milliseconds.
    pub age_ms: u64,
    /// The first and the last window.
    pub windows: (u64, u64),
}

/// The demand on the cluster over a number of windows. All counts are sums, not rates.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The total length of the windows, in seconds.
    pub seconds: f64,
    pub coverage: Coverage,
    pub classes: BTreeMap<u16, ClassCounts>,
    pub rows: BTreeMap<(u16, u32), Row>,
    pub clients: BTreeMap<u32, DistinctCounter>,
    /// The heavy hitters among the tiles, by class, each with the lower and upper bound on its count.
    pub tiles: BTreeMap<(u16, u32), (u64, u64)>,
    /// The largest number of times that a tile that is not in `tiles` may have been requested.
    pub untracked_tile_bound: u64,
    /// The heavy hitters among the sets of tiles, each with the lower and upper bound on its count.
    pub sets: BTreeMap<SetKey, (u64, u64)>,
    /// The largest number of times that a set that is not in `sets` may have been requested.
    pub untracked_set_bound: u64,
    /// The attempts sent to each server.
    pub servers: BTreeMap<u64, u64>,
    /// The rows of each coordinator, by its name.
    pub members: BTreeMap<Rc<str>, BTreeMap<(u16, u32), Row>>,
    /// The number of queries for a district in its quietest and in its busiest window, each divided by the
    /// mean over all windows.
    pub swing: BTreeMap<u32, (f64, f64)>,
}

impl Row {
    /// Adds the counts of another row.
    pub fn add(&mut self, other: &Row) {
        self.queries += other.queries;
        self.whole_district += other.whole_district;
        self.parts += other.parts;
        self.bytes = self.bytes.saturating_add(other.bytes);
    }
}

impl ClassCounts {
    fn add(&mut self, other: &ClassCounts) {
        self.queries += other.queries;
        self.repeats += other.repeats;
        self.bytes_in = self.bytes_in.saturating_add(other.bytes_in);
        self.bytes_out = self.bytes_out.saturating_add(other.bytes_out);
        self.first_attempts += other.first_attempts;
        self.retries += other.retries;
        self.hedges += other.hedges;
        self.parts_with_work += other.parts_with_work;
        self.work_us = self.work_us.saturating_add(other.work_us);
        other.part_latency.buckets().into_iter().for_each(|(us, n)| self.part_latency.add(us, n));
        other.query_latency.buckets().into_iter().for_each(|(us, n)| self.query_latency.add(us, n));
    }
}

/// Adds the heavy hitters of one report to the bounds on the sums (Agarwal et al. 2012). A key that a report
/// does not contain may have occurred up to `untracked_bound` times in that report's window. The upper bound
/// of a key is therefore the sum of `untracked_bound` over all reports, plus, for each report that contains
/// the key, the excess of its count over that report's `untracked_bound`. This function adds only the excess;
/// the caller adds the sum after the last report.
fn add_heavy<K: Ord + Clone>(
    into: &mut BTreeMap<K, (u64, u64)>,
    tracked: &BTreeMap<K, (u64, u64)>,
    untracked_bound: u64,
) {
    for (key, (count, error)) in tracked {
        let sums = into.entry(key.clone()).or_default();
        sums.0 = sums.0.saturating_add(count.saturating_sub(*error));
        sums.1 = sums.1.saturating_add(count.saturating_sub(untracked_bound));
    }
}

impl DemandCollection {
    /// Creates an empty collection for at most `capacity` reports, but at least 1, on windows of `window_ms`
    /// milliseconds. Reports on windows of other lengths are not comparable, and are rejected.
    pub fn new(capacity: usize, window_ms: u64) -> DemandCollection {
        DemandCollection { capacity: capacity.max(1), window_ms, reports: BTreeMap::new() }
    }

    /// Inserts a report, and returns whether it changed the collection. The report may be one window ahead of
    /// `now_ms` (cluster time), which allows for the bounded error of the clocks.
    ///
    /// # Errors
    ///
    /// Returns an error if the report's window has a different length than those of the collection, or is
    /// more than one window ahead.
    pub fn insert(&mut self, report: Rc<Report>, now_ms: u64) -> Result<bool, CollectionError> {
        if report.window_ms != self.window_ms {
            return Err(CollectionError::WindowLength {
                reported_ms: report.window_ms,
                collected_ms: self.window_ms,
            });
        }
        let open = now_ms / self.window_ms.max(1);
        if report.window > open.saturating_add(1) {
            return Err(CollectionError::WindowAhead { window: report.window, open });
        }
        let key = (report.window, report.member.name.clone(), report.member.incarnation);
        if self.reports.get(&key).is_some_and(|current| !report.newer_than(current)) {
            return Ok(false);
        }
        self.reports.insert(key.clone(), report);
        if self.reports.len() > self.capacity {
            return Ok(self.reports.pop_first().is_none_or(|(evicted, _)| evicted != key));
        }
        Ok(true)
    }

    /// Inserts all reports of another collection, and returns the number of reports that
    /// [`DemandCollection::insert`] rejected.
    pub fn merge(&mut self, other: &DemandCollection, now_ms: u64) -> usize {
        let reports = other.reports.values();
        reports.filter(|report| self.insert((*report).clone(), now_ms).is_err()).count()
    }

    /// Returns the number of reports.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Returns whether there are no reports.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Returns the demand over the newest `windows` windows that have ended before `now_ms`, with its
    /// coverage of the `expected` members. Members are identified by name, so the reports of all incarnations
    /// of a name are added up. Returns `None` if there is no report on a window that has ended.
    pub fn demand(&self, expected: &[Rc<str>], now_ms: u64, windows: u64) -> Option<Demand> {
        let open = now_ms / self.window_ms.max(1);
        let last = self.reports.keys().map(|(w, ..)| *w).filter(|w| *w < open).max()?;
        let first = last.saturating_sub(windows.max(1) - 1);
        let in_windows = || self.reports.iter().filter(move |((w, ..), _)| (first..=last).contains(w));
        let mut out = Demand {
            seconds: (last - first + 1) as f64 * self.window_ms as f64 / 1000.0,
            coverage: self.coverage(expected, now_ms, first, last),
            classes: BTreeMap::new(),
            rows: BTreeMap::new(),
            clients: BTreeMap::new(),
            tiles: BTreeMap::new(),
            untracked_tile_bound: 0,
            sets: BTreeMap::new(),
            untracked_set_bound: 0,
            servers: BTreeMap::new(),
            members: BTreeMap::new(),
            swing: BTreeMap::new(),
        };
        let mut queries_by_window: BTreeMap<u32, BTreeMap<u64, u64>> = BTreeMap::new();
        for ((window, name, _), report) in in_windows() {
            report.classes.iter().for_each(|(k, c)| out.classes.entry(*k).or_default().add(c));
            let member = out.members.entry(name.clone()).or_default();
            for (key, row) in &report.rows {
                out.rows.entry(*key).or_default().add(row);
                member.entry(*key).or_default().add(row);
                *queries_by_window.entry(key.1).or_default().entry(*window).or_default() += row.queries;
            }
            report.clients.iter().for_each(|(k, d)| out.clients.entry(*k).or_default().merge(d));
            add_heavy(&mut out.tiles, &report.tiles, report.untracked_tile_bound);
            add_heavy(&mut out.sets, &report.sets, report.untracked_set_bound);
            out.untracked_tile_bound = out.untracked_tile_bound.saturating_add(report.untracked_tile_bound);
            out.untracked_set_bound = out.untracked_set_bound.saturating_add(report.untracked_set_bound);
            report.servers.iter().for_each(|(k, n)| *out.servers.entry(*k).or_default() += n);
        }
        out.tiles.values_mut().for_each(|n| n.1 = n.1.saturating_add(out.untracked_tile_bound));
        out.sets.values_mut().for_each(|n| n.1 = n.1.saturating_add(out.untracked_set_bound));
        let window_count = (last - first + 1) as f64;
        for (district, counts) in queries_by_window {
            let mean = counts.values().sum::<u64>() as f64 / window_count;
            let relative = (first..=last)
                .map(|w| counts.get(&w).map_or(0.0, |n| *n as f64) / mean.max(f64::MIN_POSITIVE));
            let low = relative.clone().fold(1.0, f64::min);
            out.swing.insert(district, (low, relative.fold(1.0, f64::max)));
        }
        let counted: u64 = out.classes.values().map(|c| c.queries).sum();
        let in_rows: u64 = out.rows.values().map(|r| r.queries).sum();
        out.coverage.unplaced = 1.0 - in_rows as f64 / counted.max(1) as f64;
        Some(out)
    }

    fn coverage(&self, expected: &[Rc<str>], now_ms: u64, first: u64, last: u64) -> Coverage {
        // Queries by name and window. Incarnations of the same name are added up.
        let mut reported: BTreeMap<&Rc<str>, BTreeMap<u64, u64>> = BTreeMap::new();
        for ((window, name, _), report) in &self.reports {
            if *window <= last {
                let queries: u64 = report.classes.values().map(|c| c.queries).sum();
                *reported.entry(name).or_default().entry(*window).or_default() += queries;
            }
        }
        let in_span = |w: &u64| (first..=last).contains(w);
        let counts = || reported.values().flatten().filter(|(w, _)| in_span(w)).map(|(_, n)| *n as f64);
        let (all, largest) = (counts().sum::<f64>(), counts().fold(0.0, f64::max));
        let mean = all / (counts().count().max(1)) as f64;
        let (mut members, mut missing, mut missing_queries, mut max_missing_queries) =
            (Vec::new(), Vec::new(), 0.0, 0.0);
        for name in expected.iter().collect::<BTreeSet<_>>() {
            let own = reported.get(name);
            let reported_windows = own.map_or(0, |o| o.keys().filter(|w| in_span(w)).count() as u64);
            let missing_windows = (last - first + 1 - reported_windows) as f64;
            if missing_windows == 0.0 {
                members.push(name.to_string());
                continue;
            }
            missing.push(name.to_string());
            let own_mean = own.map(|o| o.values().sum::<u64>() as f64 / o.len().max(1) as f64);
            missing_queries += missing_windows * own_mean.unwrap_or(mean);
            max_missing_queries += missing_windows * largest.max(own_mean.unwrap_or(0.0));
        }
        let share = |missing_queries: f64| if all > 0.0 { all / (all + missing_queries) } else { 0.0 };
        let mid = share(missing_queries);
        let high = if all > 0.0 { 1.0 } else { 0.0 };
        let last_window_end_ms = (last + 1).saturating_mul(self.window_ms);
        Coverage {
            members,
            missing,
            share: Range { low: share(max_missing_queries).min(mid), mid, high },
            unplaced: 0.0,
            age_ms: now_ms.saturating_sub(last_window_end_ms),
            windows: (first, last),
        }
    }
}
