use super::sim::{seat, Sim, Without};
use super::*;

/// Seeds of each kind of play, over the cores.
fn plays(n: usize, seeds: std::ops::Range<u64>, without: Without) -> Vec<Result<(usize, u64), String>> {
    let cores = 8;
    let play = |core: u64| {
        let mine = seeds.clone().filter(move |s| s % cores == core);
        mine.map(|s| Sim::play(n, s, without).map(|sim| (sim.acknowledged.len(), sim.leaders))).collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..cores).map(|core| scope.spawn(move || play(core))).collect();
        threads.into_iter().flat_map(|t| t.join().expect("a thread")).collect()
    })
}

#[test]
fn one_order_and_nothing_acknowledged_is_lost_whatever_fails() {
    for n in [3, 5] {
        let ended = plays(n, 0..1000, Without::Nothing);
        let broken: Vec<_> = ended.iter().filter_map(|e| e.as_ref().err()).collect();
        assert!(broken.is_empty(), "{} of {}: {:?}", broken.len(), ended.len(), &broken[..broken.len().min(5)]);
        let sum = |f: fn(&(usize, u64)) -> u64| ended.iter().flatten().map(f).sum::<u64>();
        let (acknowledged, leaders) = (sum(|e| e.0 as u64), sum(|e| e.1));
        println!("{n} voters: {acknowledged} acknowledged, {leaders} leaders");
        assert!(acknowledged > 10_000 && leaders > 3_000, "{acknowledged} acknowledged, {leaders} leaders");
    }
}

#[test]
fn a_guard_that_is_taken_out_is_missed() {
    for without in [Without::PersistFirst, Without::NewVoter] {
        let broken: Vec<_> = plays(3, 0..1000, without).into_iter().filter_map(Result::err).collect();
        println!("{without:?}: {} of 1000, {:?}", broken.len(), broken.first());
        let order = |e: &&String| e.contains("two commands") || e.contains("lost") || e.contains("another state");
        assert!(broken.iter().filter(order).count() > 0, "{without:?}: {:?}", broken.first());
    }
}
