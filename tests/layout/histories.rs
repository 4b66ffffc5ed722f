//! Random histories of changes, each seed one: routing, tallies, snapshots and horizons against the model.
use std::collections::BTreeSet;

use marlgap::cluster::HybridTimestamp;
use marlgap::shard_layout::{
    At, District, Entry, Layouts, Limits, Part, ReadError, Routed, Tally, Weight, Which,
};

use crate::reference::{ms, weight, Atoms, World};

fn world(seed: u64, changes: usize) -> World {
    // Half of the seeds join no tiles: there all weights are known, and what is lost is told exactly.
    let mut world = World::new(seed, seed.is_multiple_of(2));
    world.found();
    for _ in 0..changes {
        world.step();
    }
    world
}

fn zero() -> Weight {
    Weight::from_integer(0)
}

/// The sources of a part cut its ground without rest or overlap, and each holder has what it is asked for.
fn check_part(world: &World, part: &Part, at: Option<HybridTimestamp>, now: HybridTimestamp) {
    let all = &world.ever[&part.tile];
    assert_eq!(part.weight, weight(all));
    let mut covered = Atoms::new();
    let mut known = part.lost;
    for source in &part.sources {
        let meant: Atoms = world.meant(source.ask, &source.ground).intersection(all).copied().collect();
        assert!(meant.is_disjoint(&covered), "ground twice: {part:?}");
        covered.extend(&meant);
        let held = world.copy_at(now);
        for server in &source.holders {
            assert!(meant.iter().all(|a| held.holds(*server, *a, at)), "{server:?} lacks some of {source:?}");
        }
        assert_eq!(source.full(), meant == world.ever[&source.ask] && source.weight.is_some());
        if let Some(w) = source.weight {
            assert_eq!(w, weight(&meant));
            known += w;
        }
    }
    let unknown = part.sources.iter().any(|s| s.weight.is_none());
    assert!(known == part.weight || (unknown && known <= part.weight), "{known} of {}", part.weight);
    if !world.merges {
        let had = |atom: &&u32| {
            (0..6).any(|s| world.copy_at(now).holds(marlgap::balancer::interface::ReplicaId(s), **atom, at))
        };
        let there: Atoms = all.iter().filter(had).copied().collect();
        assert_eq!(covered, there, "what can be had: {part:?}");
    }
}

fn tiles_of(routed: &Routed) -> BTreeSet<u32> {
    routed.parts.iter().map(|p| p.tile).collect()
}

#[test]
fn each_time_is_read_by_the_layout_valid_then() {
    let mut parts = 0;
    for seed in 0..1500 {
        let world = world(seed, 12);
        let last = world.copies[world.copies.len() - 1].valid;
        for version in world.layouts.versions() {
            version.check().expect("sound");
        }
        for at in 10..=last.ms {
            let copy = world.copy_at(ms(at));
            for now in [at, (at + last.ms) / 2, last.ms + 1] {
                let routed =
                    world.layouts.route(Which::All, At::Past(ms(at)), ms(now), last).expect("a plan");
                assert_eq!(tiles_of(&routed), copy.tiles.keys().copied().collect());
                for part in &routed.parts {
                    check_part(&world, part, Some(ms(at)), ms(now));
                    parts += 1;
                }
            }
            for (district, name) in &copy.names {
                let named = Which::Named(name);
                let routed = world.layouts.route(named, At::Past(ms(at)), last, last).expect("a plan");
                let there = copy.tiles.iter().filter(|(_, (_, d))| d == district).map(|(t, _)| *t);
                assert_eq!(tiles_of(&routed), there.collect());
            }
        }
    }
    assert!(parts > 100_000, "{parts}");
}

/// Queries that begin at one time and go on through changes, some of them about the past.
#[test]
fn ground_counts_once_through_changes() {
    let (mut redirected, mut whole) = (0, 0);
    for seed in 0..3000 {
        let mut world = world(seed, 12);
        let last = world.copies[world.copies.len() - 1].valid;
        let begin = 10 + world.pick((last.ms - 10) as usize) as u64;
        let at =
            if seed % 3 == 0 { At::Past(ms(10 + world.pick((begin - 9) as usize) as u64)) } else { At::Now };
        let past = if let At::Past(at) = at { Some(at) } else { None };
        let routed = world.layouts.route(Which::All, at, ms(begin), last).expect("a plan");
        let mut tally = Tally::new(&routed);
        let (mut got, mut late) = (Atoms::new(), Vec::new());
        for now in begin..=last.ms + 1 {
            let before = tally.requests();
            tally.redirect(&world.layouts, ms(now));
            redirected += usize::from(before != tally.requests());
            late.extend(before);
            for request in tally.requests() {
                let held = world.copy_at(ms(now));
                for piece in &request.pieces {
                    let meant: Atoms = world.meant(request.ask, &piece.ground);
                    let meant: Atoms = meant.intersection(&world.ever[&piece.of]).copied().collect();
                    for server in &request.holders {
                        assert!(meant.iter().all(|a| held.holds(*server, *a, past)), "{request:?}");
                    }
                }
                if request.full {
                    let all = request
                        .pieces
                        .iter()
                        .flat_map(|p| world.meant(request.ask, &p.ground))
                        .collect::<Atoms>();
                    assert_eq!(all, world.ever[&request.ask]);
                }
                if world.pick(4) == 0 || now > last.ms {
                    for piece in &request.pieces {
                        assert!(tally.answered(piece.of, request.ask, piece.plan));
                        assert!(!tally.answered(piece.of, request.ask, piece.plan), "twice");
                        let meant = world.meant(request.ask, &piece.ground);
                        for atom in meant.intersection(&world.ever[&piece.of]) {
                            assert!(got.insert(*atom), "atom {atom} counted twice, seed {seed}");
                        }
                    }
                }
            }
            // Answers to what was asked before are late, unless it is asked as before.
            let asked: Vec<_> = tally.requests().iter().map(|r| (r.ask, r.pieces.clone())).collect();
            for request in &late {
                for piece in &request.pieces {
                    let same = asked.iter().any(|(ask, p)| *ask == request.ask && p.contains(piece));
                    assert!(same || !tally.clone().answered(piece.of, request.ask, piece.plan));
                }
            }
            let share = tally.share().expect("exact");
            assert!(share.got <= weight(&got), "{share:?} of {got:?}");
            assert!(share.got + share.lost <= share.of);
        }
        let share = tally.share().expect("exact");
        assert!(tally.requests().is_empty());
        assert_eq!(share.got + share.lost, share.of, "seed {seed}");
        assert!(share.lost > zero() || weight(&got) == share.of);
        whole += usize::from(share.lost == zero());
    }
    assert!(redirected > 3000 && whole > 500, "{redirected} {whole}");
}

#[test]
fn a_member_that_joins_late_or_restarts_has_the_same_state() {
    for seed in 0..300u64 {
        let mut world = world(seed, 6);
        let cut = world.log.len();
        for round in 0..3 {
            let closed = world.copies[world.copies.len() - 1].valid.prev();
            let number = world.layouts.lease().number + 1;
            world.append(Entry::Lease { number, life: round, until: closed, closed }).expect("a lease");
            world.append(Entry::Horizon { at: closed.saturating_sub_ms(6 - round) }).expect("a horizon");
            for _ in 0..3 {
                world.step();
            }
        }
        for version in world.layouts.versions() {
            version.check().expect("sound");
        }
        // By the log from its beginning, by a snapshot from the middle and the log behind it, by the last snapshot.
        let mut whole = Layouts::new(Limits::default());
        let mut middle = None;
        for (n, entry) in world.log.iter().enumerate() {
            let bytes = entry.encode().expect("small");
            let entry = Entry::decode(&bytes).expect("as written");
            assert!(whole.apply(n as u64 + 1, &entry).is_ok());
            if n + 1 == cut {
                middle = Some(Layouts::restore(&whole.snapshot(), Limits::default()).expect("restored"));
            }
            if let Some(middle) = middle.as_mut().filter(|_| n + 1 > cut) {
                assert!(middle.apply(n as u64 + 1, &entry).is_ok());
            }
        }
        let last = world.layouts.snapshot();
        let again = Layouts::restore(&last, Limits::default()).expect("restored");
        let middle = middle.expect("a middle").snapshot();
        assert!(last == whole.snapshot() && last == middle && last == again.snapshot(), "seed {seed}");
        // Reads behind the horizon are refused, those at and after it answered as before.
        let (horizon, now) = (again.horizon(), world.copies[world.copies.len() - 1].valid);
        let before = again.route(Which::All, At::Past(horizon.prev()), now, now);
        assert_eq!(before, Err(ReadError::BeforeHorizon { horizon }));
        for at in horizon.ms..=now.ms {
            let routed = again.route(Which::All, At::Past(ms(at)), now, now).expect("a plan");
            assert_eq!(tiles_of(&routed), world.copy_at(ms(at)).tiles.keys().copied().collect());
            routed.parts.iter().for_each(|p| check_part(&world, p, Some(ms(at)), now));
        }
    }
}

#[test]
fn reads_that_have_no_answer_say_why() {
    let world = world(2, 12);
    let now = world.copies[world.copies.len() - 1].valid;
    let read = |which, at| world.layouts.route(which, At::Past(at), now, now.saturating_sub_ms(5));
    assert_eq!(read(Which::All, now.next()), Err(ReadError::Future { now }));
    let not_yet = ReadError::NotYet { closed: now.saturating_sub_ms(5), behind_ms: 3 };
    assert_eq!(read(Which::All, now.saturating_sub_ms(2)), Err(not_yet));
    assert_eq!(read(Which::Tiles(&[999]), ms(11)), Err(ReadError::NoTile { tile: 999 }));
    assert_eq!(read(Which::Named("x"), ms(11)), Err(ReadError::NoDistrict { name: "x".into() }));
    assert_eq!(read(Which::District(District(9)), ms(11)), Err(ReadError::NoDistrict { name: "9".into() }));
    let twice = read(Which::Tiles(&[2, 1, 2]), ms(10)).expect("a plan");
    assert_eq!(twice.parts.iter().map(|p| p.tile).collect::<Vec<_>>(), [1, 2], "each once");
}
