//! Planning reads in the past, and what versions cost in memory:
//!
//! ```sh
//! cargo bench --bench shard_layout
//! ```
//!
//! Prints the time to plan by number of tiles and versions, as ratios to one version in the same run, and the memory
//! of 100 versions over that of one.
use std::hint::black_box;
use std::time::Instant;

use marlgap::balancer::interface::ReplicaId;
use marlgap::cluster::HybridTimestamp;
use marlgap::shard_layout::{
    AreaSelector, Change, District, Edit, Entry, HistoryTransfer, LayoutLimits, Layouts, Piece,
    ReadTimestamp, Weight,
};

const SERVERS: u64 = 180;
const DISTRICT_TILES: u32 = 100;
/// How far apart versions are.
const STEP_MS: u64 = 1000;

fn servers(n: u32) -> Vec<ReplicaId> {
    let first = u64::from(n) * 7;
    [first, first + 1].map(|s| ReplicaId(s % SERVERS)).to_vec()
}

/// A layout of so many tiles, and what comes next.
struct SampleLayout {
    layouts: Layouts,
    tiles: u32,
    next: u32,
}

impl SampleLayout {
    fn new(tiles: u32) -> SampleLayout {
        let mut layout = SampleLayout { layouts: Layouts::new(LayoutLimits::default()), tiles, next: tiles };
        let add = |tile: u32| Edit::Add {
            tile,
            weight: Weight::from_integer(12),
            district: District(tile / DISTRICT_TILES),
            servers: servers(tile),
        };
        let all: Vec<u32> = (0..tiles).collect();
        for some in all.chunks(10_000) {
            layout.apply(STEP_MS, some.iter().map(|t| add(*t)).collect());
        }
        layout
    }

    fn apply(&mut self, valid_from_ms: u64, edits: Vec<Edit>) {
        let valid_from = HybridTimestamp::from_ms(valid_from_ms);
        let change =
            Change { base: self.layouts.newest().number, lease: 0, valid_from, total_weight: None, edits };
        self.layouts.apply(self.layouts.applied() + 1, &Entry::Change(change)).expect("a sound change");
    }

    /// One more version: a tile in thirds, five moved; the history goes each way in turn.
    fn step(&mut self) {
        let n = self.layouts.versions().len() as u32;
        let valid_from_ms = self.layouts.newest().valid_from.ms + STEP_MS;
        let at = |k: u32| (n.wrapping_mul(2_654_435_761).wrapping_add(k * 104_729)) % self.tiles;
        let next_live = |k: u32| {
            (0..self.tiles)
                .map(|d| (at(k) + d) % self.tiles)
                .find(|t| self.layouts.newest().live_tile(*t).is_some())
        };
        let mut chosen: Vec<u32> = (0..6).filter_map(next_live).collect();
        chosen.sort_unstable();
        chosen.dedup();
        let history = [HistoryTransfer::CopyToNew, HistoryTransfer::MoveToNew, HistoryTransfer::StayWithOld]
            [n as usize % 3];
        let mut edits = Vec::new();
        let mut next = self.next;
        for (k, tile) in chosen.into_iter().enumerate() {
            let piece = |p: u32| Piece {
                tile: next + p,
                weight: Weight::from_integer(4),
                servers: servers(next + p),
            };
            if k == 0 {
                edits.push(Edit::Split { tile, into: (0..3).map(piece).collect(), history });
                next += 3;
            } else {
                edits.push(Edit::Move { tile, servers: servers(n + k as u32), history });
            }
        }
        self.apply(valid_from_ms, edits);
        self.next = next;
    }
}

/// Microseconds that one call takes, the middle of several rounds.
fn time(rounds: usize, mut call: impl FnMut(usize)) -> f64 {
    let mut times: Vec<f64> = (0..rounds)
        .map(|n| {
            let started = Instant::now();
            call(n);
            started.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[rounds / 2]
}

/// Memory of this process, in KB.
fn memory_kb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("read");
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("there");
    rss.trim().trim_end_matches(" kB").parse().expect("a number")
}

fn snapshot(what: &str, layouts: &Layouts) {
    let bytes = layouts.snapshot();
    let took = time(3, |_| {
        let _ = black_box(Layouts::restore(&bytes, LayoutLimits::default()));
    });
    let (versions, size) = (layouts.versions().len(), bytes.len() as f64 / 1e6);
    println!("snapshot, {what}, {versions} versions: {size:.1} MB, read in {:.0} ms", took / 1e3);
}

fn main() {
    // `cargo test --benches` and the like only look whether it builds.
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    // First of all, while nothing that was freed can be used again.
    memory_and_snapshots();
    for tiles in [100u32, 1000, 10_000, 100_000] {
        planning(tiles);
    }
    let mut layout = SampleLayout::new(100_000);
    let change_us = time(101, |_| layout.step());
    println!("100,000 tiles: a change of 6 steps applied in {change_us:.0} us");
}

fn memory_and_snapshots() {
    let empty = memory_kb();
    let mut layout = SampleLayout::new(100_000);
    let first = memory_kb() - empty;
    // What the first version left free is filled by the first of these; the slope is that of the others.
    (0..500).for_each(|_| layout.step());
    let filled = memory_kb();
    (0..2000).for_each(|_| layout.step());
    let each = (memory_kb() - filled) / 2000.0;
    println!(
        "memory, 100,000 tiles: one version {:.1} MB, a further one of 6 steps {each:.1} KB, 100 versions {:.3} times one",
        first / 1024.0,
        (first + 99.0 * each) / first
    );
    // Nothing is before the horizon: the first version is empty, and all tiles are edits of changes.
    snapshot("all as changes", &layout.layouts);
    // The first change is: the first retained version has all tiles in full.
    let closed = HybridTimestamp::from_ms(STEP_MS);
    let lease = Entry::Lease { number: 1, incarnation: 1, until: closed, closed };
    for entry in &[lease, Entry::Horizon { at: closed }] {
        layout.layouts.apply(layout.layouts.applied() + 1, entry).expect("applied");
    }
    let first = layout.layouts.versions().first().expect("retained");
    assert_eq!(first.live_count(), 100_000);
    snapshot("100,000 tiles in full", &layout.layouts);
}

/// What a plan takes, in microseconds.
struct PlanTimes {
    /// Of all tiles, for each of them.
    all_per_tile: f64,
    district: f64,
}

fn planning(tiles: u32) {
    let mut layout = SampleLayout::new(tiles);
    let one = plan_times(&mut layout, tiles, 1);
    let hundred = plan_times(&mut layout, tiles, 100);
    println!(
        "{tiles} tiles: all {:.0} us ({:.0} ns a tile; with 100 versions {:.2} times); a district of {DISTRICT_TILES} {:.1} us, {:.2} times",
        one.all_per_tile * f64::from(tiles),
        one.all_per_tile * 1e3,
        hundred.all_per_tile / one.all_per_tile,
        one.district,
        hundred.district / one.district,
    );
}

fn plan_times(layout: &mut SampleLayout, tiles: u32, versions: usize) -> PlanTimes {
    while layout.layouts.versions().len() <= versions {
        layout.step();
    }
    let layouts = &layout.layouts;
    let now = layouts.newest().valid_from.saturating_add_ms(1);
    // Times all over the history.
    let at = |n: usize| {
        let ms = STEP_MS + n as u64 * 7919 % (now.ms - STEP_MS);
        ReadTimestamp::AsOf(HybridTimestamp::from_ms(ms))
    };
    let rounds = if tiles > 10_000 { 21 } else { 201 };
    let parts = |selector: AreaSelector<'_>, n: usize| {
        layouts.route(selector, at(n), now, now).expect("a plan").parts.len()
    };
    // By tile: tiles that were split are more than there were.
    let planned = (0..rounds).map(|n| parts(AreaSelector::All, n)).sum::<usize>() as f64 / rounds as f64;
    let all = time(rounds, |n| {
        black_box(parts(AreaSelector::All, n));
    });
    let district = time(2001, |n| {
        let district = District(n as u32 % (tiles / DISTRICT_TILES));
        black_box(parts(AreaSelector::District(district), n));
    });
    PlanTimes { all_per_tile: all / planned, district }
}
