//! Measures the overhead of protected queries, and how long a client waits when its coordinator is killed.
//!
//! ```sh
//! cargo bench --bench fleet            # full run; FLEET_KILLS=5 FLEET_ROUNDS=1 for a shorter one
//! ```
//!
//! Rates and latencies are ratios (with protection divided by without) from alternating rounds of one run,
//! because absolute times depend on the machine. Members connect to each other directly; stub servers answer
//! immediately or after 10 ms.
#![allow(dead_code, reason = "the tests' own helpers, of which this uses some")]
#[path = "../tests/cluster_processes/checker.rs"]
mod checker;
#[path = "../tests/cluster_processes/client.rs"]
mod client;
#[path = "../tests/cluster_processes/cluster.rs"]
mod cluster;
#[path = "../tests/common/mod.rs"]
mod common;
#[path = "../tests/cluster_processes/history.rs"]
mod history;
#[path = "../tests/cluster_processes/servers.rs"]
mod servers;
#[path = "../tests/cluster_processes/wires.rs"]
mod wires;

use std::time::{Duration, Instant};

use checker::Violation;
use client::{lookup, once};
use cluster::{Cluster, Setup};
use history::{EventKind, Query};
use servers::ServerAction;

const ROUNDS: usize = 5;
const ROUND_DURATION: Duration = Duration::from_millis(1000);
const KILLS: usize = 60;
/// Service time of a part in the runs in which servers do not answer immediately.
const SERVICE_TIME: Duration = Duration::from_millis(10);
/// Approximate time, in milliseconds, that remains until a client's deadline when the member is killed.
const REMAINING_MS: u64 = 1500;
const ZONES: [&str; 9] = ["a", "b", "c", "a", "b", "c", "a", "b", "c"];

fn setup(protect: bool) -> Setup {
    Setup { protect, direct: true, threads: 3, ..Setup::default() }
}

/// Returns the `q` quantile of sorted values by the nearest-rank method, or NaN if there are none.
fn quantile(sorted: &[f64], q: f64) -> f64 {
    let rank = (sorted.len() as f64 * q).ceil() as usize;
    sorted.get(rank.clamp(1, sorted.len().max(1)) - 1).copied().unwrap_or(f64::NAN)
}

/// Runs `concurrency` closed-loop clients, spread over the members, for one round.
///
/// Returns searches per second and the sorted latencies in milliseconds.
fn run_load(cluster: &Cluster, members: usize, concurrency: usize, round: usize) -> (f64, Vec<f64>) {
    let started = Instant::now();
    let mut times: Vec<f64> = std::thread::scope(|scope| {
        let client_loop = |n: usize| {
            move || {
                let (mut times, mut count) = (Vec::new(), 0);
                let mut stream = common::connect(cluster.query_api(n % members));
                while started.elapsed() < ROUND_DURATION {
                    let (query, sent) = (lookup(&format!("r{round}.{n}.{count}")), Instant::now());
                    let (head, body) = client::http_request(&query);
                    let (status, answer) = common::send_request(&mut stream, &head, &body);
                    assert_eq!(status, 200, "{answer}");
                    times.push(sent.elapsed().as_secs_f64() * 1e3);
                    count += 1;
                }
                times
            }
        };
        let clients: Vec<_> = (0..concurrency).map(|n| scope.spawn(client_loop(n))).collect();
        clients.into_iter().flat_map(|c| c.join().expect("client thread finished")).collect()
    });
    times.sort_by(f64::total_cmp);
    (times.len() as f64 / ROUND_DURATION.as_secs_f64(), times)
}

/// Returns the number in an environment variable, or `default`, clamped to 1..=500.
fn env_or(name: &str, default: usize) -> usize {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default).clamp(1, 500)
}

/// Prints the overhead of protection for several numbers of concurrent clients: medians of the per-round
/// ratios.
fn measure_overhead(members: usize, rounds: usize, service_time: Duration) {
    let start = |on: bool| {
        let name = format!("bench-{members}-{on}-{}", service_time.as_millis());
        let cluster = Cluster::start_with(&name, &ZONES[..members], setup(on));
        if !service_time.is_zero() {
            cluster.servers.script(move |_| ServerAction::Delay(service_time));
        }
        cluster
    };
    let (on, off) = (start(true), start(false));
    for concurrency in [1, 2 * members, 16 * members.min(4)] {
        let mut samples = Vec::new();
        for round in 0..rounds {
            let tag = concurrency * rounds + round;
            let (unprotected, protected) =
                (run_load(&off, members, concurrency, tag), run_load(&on, members, concurrency, tag));
            samples.push([
                quantile(&protected.1, 0.5) / quantile(&unprotected.1, 0.5),
                quantile(&protected.1, 0.99) / quantile(&unprotected.1, 0.99),
                protected.0 / unprotected.0,
                quantile(&unprotected.1, 0.5),
                unprotected.0,
            ]);
        }
        let median = |n: usize| {
            let mut values: Vec<f64> = samples.iter().map(|s| s[n]).collect();
            values.sort_by(f64::total_cmp);
            quantile(&values, 0.5)
        };
        println!(
            "{members} processes, {concurrency} at once, served in {service_time:?}: p50 x{:.2}, p99 x{:.2}, rate x{:.2} (without: p50 {:.2} ms, {:.0}/s)",
            median(0), median(1), median(2), median(3), median(4)
        );
    }
}

/// Totals over all kills of a member.
#[derive(Default)]
struct KillTotals {
    /// Milliseconds from the kill to the answer, for queries that were answered with 200 after the kill.
    waits: Vec<f64>,
    /// Queries whose parts may be repeated.
    asked: usize,
    /// Of `asked`, those answered with 200 within [`REMAINING_MS`] after the kill.
    answered: usize,
    /// Queries whose parts must not be repeated.
    ///
    /// Of these, `once_answered` were answered with 200 in the same time, and `once_ended` got an explicit
    /// error status (429, 503 or 504).
    once_asked: usize,
    once_answered: usize,
    once_ended: usize,
    violations: Vec<Violation>,
}

/// Kills one of three members up to 59 ms after eight queries that it owns were submitted.
///
/// Clients of the killed member resubmit their queries to the other members.
fn run_kill(n: usize, totals: &mut KillTotals) {
    let mut cluster = Cluster::start_with(&format!("bench-kill-{}", n % 4), &ZONES[..3], setup(true));
    cluster.servers.script(|_| ServerAction::Delay(Duration::from_millis(25)));
    let query = |i: usize| {
        let id = cluster.id_owned_by(0, i);
        Query { timeout_ms: REMAINING_MS, ..if i < 6 { lookup(&id) } else { once(&id) } }
    };
    let queries: Vec<Query> = (0..8).map(query).collect();
    let first: Vec<_> = queries.iter().enumerate().map(|(i, a)| cluster.submit(i % 3, a)).collect();
    std::thread::sleep(Duration::from_millis(n as u64 % 60));
    cluster.kill(0);
    let killed = cluster.history.wait_for(0, "the kill", |w| *w == EventKind::Killed { member: 0 });
    for (i, (query, client)) in queries.iter().zip(first).enumerate() {
        let mut end = client.wait_with_position();
        if end.1.is_none() {
            end = cluster.submit(1 + i % 2, query).wait_with_position();
        }
        let events = cluster.history.events();
        let (at, status) = (events[end.0].at_us, end.1.map_or(0, |(status, _)| status));
        let ok = status == 200 && at <= events[killed].at_us + REMAINING_MS * 1000;
        match i < 6 {
            true => (totals.asked, totals.answered) = (totals.asked + 1, totals.answered + usize::from(ok)),
            false => {
                totals.once_asked += 1;
                totals.once_answered += usize::from(ok);
                totals.once_ended += usize::from([429, 503, 504].contains(&status));
            }
        }
        if end.0 > killed && status == 200 {
            totals.waits.push((at - events[killed].at_us) as f64 / 1e3);
        }
    }
    totals.violations.extend(checker::check(&cluster.history.events()));
}

fn main() {
    // `cargo test --benches` runs this program without `--bench`: it checks only that the bench builds.
    if !std::env::args().any(|a| a == "--bench") {
        return;
    }
    let kills = env_or("FLEET_KILLS", KILLS);
    for members in [1, 3, 9] {
        for service_time in [Duration::ZERO, SERVICE_TIME] {
            measure_overhead(members, env_or("FLEET_ROUNDS", ROUNDS), service_time);
        }
    }
    let mut totals = KillTotals::default();
    for n in 0..kills {
        run_kill(n, &mut totals);
    }
    totals.waits.sort_by(f64::total_cmp);
    println!(
        "{kills} kills of one of 3, {} answered after it: p50 {:.0} ms, p99 {:.0} ms, most {:.0} ms",
        totals.waits.len(),
        quantile(&totals.waits, 0.5),
        quantile(&totals.waits, 0.99),
        quantile(&totals.waits, 1.0)
    );
    println!(
        "with {REMAINING_MS} ms left, parts that may repeat: {:.3} of {} answered; that must not: {} of {} answered, {} ended honestly",
        totals.answered as f64 / totals.asked.max(1) as f64, totals.asked, totals.once_answered, totals.once_asked, totals.once_ended
    );
    let duplicates =
        |b: &&Violation| matches!(b, Violation::ConflictingOutcomes { .. } | Violation::ExecutedTwice { .. });
    println!(
        "twice answered or run: {}; rules broken: {:?}",
        totals.violations.iter().filter(duplicates).count(),
        totals.violations
    );
}
