//! Planning reads in the past, and what versions cost in memory:
//!
//! ```sh
//! cargo bench --bench layout
//! ```
//!
//! Prints the time to plan by number of tiles and versions, as ratios to one version in the same run, and the memory
//! of 100 versions over that of one.
use std::hint::black_box;
use std::time::Instant;

use marlgap::balancer::interface::ReplicaId;
use marlgap::cluster::HybridTimestamp;
use marlgap::shard_layout::{
    At, Change, District, Edit, Entry, History, Layouts, Limits, Piece, Weight, Which,
};

const SERVERS: u64 = 180;
/// Tiles of one district.
const DISTRICT: u32 = 100;
/// Versions are this far apart, in ms.
const STEP: u64 = 1000;

fn servers(n: u32) -> Vec<ReplicaId> {
    let first = u64::from(n) * 7;
    [first, first + 1].map(|s| ReplicaId(s % SERVERS)).to_vec()
}

/// A layout of so many tiles, and what comes next.
struct Ground {
    layouts: Layouts,
    tiles: u32,
    next: u32,
}

impl Ground {
    fn new(tiles: u32) -> Ground {
        let mut ground = Ground { layouts: Layouts::new(Limits::default()), tiles, next: tiles };
        let add = |tile: u32| Edit::Add {
            tile,
            weight: Weight::from_integer(12),
            district: District(tile / DISTRICT),
            servers: servers(tile),
        };
        let all: Vec<u32> = (0..tiles).collect();
        for some in all.chunks(10_000) {
            ground.apply(STEP, some.iter().map(|t| add(*t)).collect());
        }
        ground
    }

    fn apply(&mut self, valid: u64, edits: Vec<Edit>) {
        let valid = HybridTimestamp::from_ms(valid);
        let change = Change { base: self.layouts.newest().number, lease: 0, valid, ground: None, edits };
        self.layouts.apply(self.layouts.applied() + 1, &Entry::Change(change)).expect("a sound change");
    }

    /// One more version: a tile in thirds, five moved; the history goes each way in turn.
    fn step(&mut self) {
        let n = self.layouts.versions().len() as u32;
        let valid = self.layouts.newest().valid.ms + STEP;
        let at = |k: u32| (n.wrapping_mul(2_654_435_761).wrapping_add(k * 104_729)) % self.tiles;
        let alive = |k: u32| {
            (0..self.tiles)
                .map(|d| (at(k) + d) % self.tiles)
                .find(|t| self.layouts.newest().alive(*t).is_some())
        };
        let mut chosen: Vec<u32> = (0..6).filter_map(alive).collect();
        chosen.sort_unstable();
        chosen.dedup();
        let history = [History::Both, History::Moves, History::Stays][n as usize % 3];
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
        self.apply(valid, edits);
        self.next = next;
    }
}

/// Microseconds that one call takes, the middle of several rounds.
fn time(rounds: usize, mut call: impl FnMut(usize)) -> f64 {
    let mut times: Vec<f64> = (0..rounds)
        .map(|n| {
            let begun = Instant::now();
            call(n);
            begun.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[rounds / 2]
}

/// Memory of this process, in KB.
fn memory() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("read");
    let rss = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("there");
    rss.trim().trim_end_matches(" kB").parse().expect("a number")
}

fn snapshot(what: &str, layouts: &Layouts) {
    let bytes = layouts.snapshot();
    let took = time(3, |_| drop(black_box(Layouts::restore(&bytes, Limits::default()))));
    let (versions, size) = (layouts.versions().len(), bytes.len() as f64 / 1e6);
    println!("snapshot, {what}, {versions} versions: {size:.1} MB, read in {:.0} ms", took / 1e3);
}

fn main() {
    // `cargo test --benches` and the like only look whether it builds.
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    // First of all, while nothing that was freed can be used again.
    let empty = memory();
    let mut ground = Ground::new(100_000);
    let first = memory() - empty;
    // What founding left free is filled by the first of these; the slope is that of the others.
    (0..500).for_each(|_| ground.step());
    let filled = memory();
    (0..2000).for_each(|_| ground.step());
    let each = (memory() - filled) / 2000.0;
    println!(
        "memory, 100,000 tiles: one version {:.1} MB, a further one of 6 steps {each:.1} KB, 100 versions {:.3} times one",
        first / 1024.0,
        (first + 99.0 * each) / first
    );
    // Nothing is behind the horizon: the first version is empty, and all tiles are steps of changes.
    snapshot("all as changes", &ground.layouts);
    // The founding is: the first version has all tiles in full.
    let closed = HybridTimestamp::from_ms(STEP);
    let entries = [Entry::Lease { number: 1, life: 1, until: closed, closed }, Entry::Horizon { at: closed }];
    for entry in &entries {
        ground.layouts.apply(ground.layouts.applied() + 1, entry).expect("applied");
    }
    let first = ground.layouts.versions().first().expect("kept");
    assert_eq!(first.living(), 100_000);
    snapshot("100,000 tiles in full", &ground.layouts);
    drop(ground);

    for tiles in [100u32, 1000, 10_000, 100_000] {
        let mut ground = Ground::new(tiles);
        let mut row = Vec::new();
        for versions in [1, 100] {
            while ground.layouts.versions().len() <= versions {
                ground.step();
            }
            let layouts = &ground.layouts;
            let now = layouts.newest().valid.saturating_add_ms(1);
            // Times all over the history.
            let at = |n: usize| At::Past(HybridTimestamp::from_ms(STEP + n as u64 * 7919 % (now.ms - STEP)));
            let rounds = if tiles > 10_000 { 21 } else { 201 };
            let plan = |which: Which<'_>, n: usize| {
                let routed = layouts.route(which, at(n), now, now).expect("a plan");
                black_box(routed.parts.len());
            };
            // By tile: cut tiles are more than there were.
            let count = |n: usize| layouts.route(Which::All, at(n), now, now).expect("a plan").parts.len();
            let tiles_there = (0..rounds).map(count).sum::<usize>() as f64 / rounds as f64;
            let all = time(rounds, |n| plan(Which::All, n)) / tiles_there;
            let district = time(2001, |n| plan(Which::District(District(n as u32 % (tiles / DISTRICT))), n));
            row.push([all, district]);
        }
        let [one, hundred] = [row[0], row[1]];
        println!(
            "{tiles} tiles: all {:.0} us ({:.0} ns a tile; with 100 versions {:.2} times); a district of {DISTRICT} {:.1} us, {:.2} times",
            one[0] * f64::from(tiles),
            one[0] * 1e3,
            hundred[0] / one[0],
            one[1],
            hundred[1] / one[1],
        );
    }
    let mut ground = Ground::new(100_000);
    let change = time(101, |_| ground.step());
    println!("100,000 tiles: a change of 6 steps applied in {change:.0} us");
}
