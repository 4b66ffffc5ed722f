//! What a round of the decision module costs by the size of the fleet and of a query:
//!
//! ```sh
//! cargo bench --bench round
//! ```
//!
//! Prints, for each size, microseconds of a round with one outcome while 1 and while 16 queries are open, of all
//! rounds of a query alone, of a changed entry of the list, and of a whole list.
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use marlgap::balancer::interface::*;
use marlgap::Balancer;

/// Replicas that hold a shard.
const COPIES: u64 = 4;
/// Seconds between rounds.
const STEP: f64 = 0.0005;

struct Bench {
    balancer: Balancer,
    now: f64,
    next: u32,
    replicas: u64,
    cells: u64,
    parts: u32,
    attempts: BTreeMap<PartId, u8>,
    out: VecDeque<(PartId, u8, ReplicaId)>,
    ended: usize,
}

impl Bench {
    fn new(replicas: u64, parts: u32) -> Bench {
        let class = Class {
            latency_objective: 1.0,
            deadline: 4.0,
            priority_weight: 1.0,
            late_weight: 0.3,
            idempotency: Idempotency::Idempotent,
            target_coverage: 1.0,
            min_coverage: 1.0,
            partial_weight: 0.9,
            second_step_parts: 0,
            hedging: true,
        };
        let cells = (replicas / COPIES).max(1);
        let settings = Settings {
            classes: vec![class],
            cells: cells as u32,
            load_reporting: LoadReporting::Inline,
            round_interval: STEP,
            slow_start: Some(SlowStart {
                initial_capacity: 0.2,
                ramp: 60.0,
                overload_factor: 1.5,
                overload_window: 1.0,
            }),
            ..Settings::default()
        };
        let balancer = Balancer::new(settings, 7).expect("served");
        let (attempts, out) = Default::default();
        let mut bench =
            Bench { balancer, now: 100.0, next: 0, replicas, cells, parts, attempts, out, ended: 0 };
        let entries = bench.list();
        bench.round(&[Event::Endpoints { update: EndpointUpdate::Full, endpoints: entries }]);
        // Every replica has reported, and the limit on open parts has grown.
        for _ in 0..2 * replicas / u64::from(parts) + 20 {
            bench.whole();
        }
        bench
    }

    fn listed(&self, n: u64) -> Endpoint {
        let (zone, cell) = (ZoneId((n % 3) as u8), CellId((n % self.cells) as u16));
        Endpoint {
            replica: ReplicaId(n),
            zone,
            cell,
            state: EndpointState::Ready,
            weight: 1.0,
            started: None,
            start_uncertainty: 0.0,
        }
    }

    fn list(&self) -> Vec<Endpoint> {
        (0..self.replicas).map(|n| self.listed(n)).collect()
    }

    fn round(&mut self, events: &[Event]) -> f64 {
        self.now += STEP;
        let begun = Instant::now();
        let actions = self.balancer.round(self.now, events);
        let took = begun.elapsed().as_secs_f64() * 1e6;
        for action in actions {
            match action {
                Action::Send { part, replica, .. } => {
                    let attempt = self.attempts.entry(part).or_insert(0);
                    self.out.push_back((part, *attempt, replica));
                    *attempt += 1;
                }
                Action::Answer { .. } | Action::Reject { .. } | Action::Fail { .. } => self.ended += 1,
                _ => {}
            }
        }
        took
    }

    fn ask(&mut self) -> f64 {
        self.next += 1;
        let (query, number) = (QueryId(self.next), QueryNumber(self.next));
        let mut events = vec![Event::Query {
            query,
            number,
            class: ClassId(0),
            tenant: TenantId::NONE,
            time_left: 4.0,
            parts: self.parts,
            is_retry: false,
        }];
        for n in 0..self.parts {
            self.next += 1;
            let (part, weight) = (PartId(self.next), 1.0 / f64::from(self.parts));
            let shard = ShardId((self.next.wrapping_mul(7919).wrapping_add(n)) % self.cells as u32);
            events.push(Event::Part { part, number, shard, weight, prior_attempts: 0, completed: false });
        }
        self.round(&events)
    }

    fn outcome(&mut self) -> Option<f64> {
        let (part, attempt, replica) = self.out.pop_front()?;
        let report = Some(LoadReport {
            queue_depth: Some(1.0),
            in_flight: Some(1.0),
            utilization: Some(0.5),
            ..LoadReport::default()
        });
        let (over, outcome, took) = (true, Outcome::Succeeded, 0.01);
        Some(self.round(&[Event::Outcome {
            part,
            attempt,
            replica,
            part_finished: over,
            outcome,
            elapsed: took,
            report,
        }]))
    }

    /// A query alone: all its rounds, one for each outcome.
    fn whole(&mut self) -> f64 {
        let mut took = self.ask();
        while let Some(more) = self.outcome() {
            took += more;
        }
        self.attempts.clear();
        took
    }
}

fn mean(times: impl Iterator<Item = f64>) -> f64 {
    let times: Vec<f64> = times.collect();
    times.iter().sum::<f64>() / times.len() as f64
}

fn main() {
    println!(
        "microseconds (mean): a round with one outcome at 1 and at 16 open queries, a query alone, a changed"
    );
    println!("entry, a whole list");
    println!(
        "{:>8} {:>6} {:>10} {:>10} {:>10} {:>10} {:>10}",
        "replicas", "parts", "1 open", "16 open", "query", "entry", "list"
    );
    for replicas in [200, 1000, 4000, 11_000] {
        for parts in [35, 410] {
            let mut bench = Bench::new(replicas, parts);
            let query = mean((0..3).map(|_| bench.whole()));
            bench.ask();
            let one = mean((0..30).filter_map(|_| bench.outcome()));
            for _ in 1..16 {
                bench.ask();
            }
            let many = mean((0..200).filter_map(|_| bench.outcome()));
            while bench.outcome().is_some() {}
            let entry = mean((0..40).map(|n| {
                let phase = if n % 2 == 0 { EndpointState::Draining } else { EndpointState::Ready };
                let entries = vec![Endpoint { state: phase, ..bench.listed(n / 2) }];
                bench.round(&[Event::Endpoints { update: EndpointUpdate::Delta, endpoints: entries }])
            }));
            let list = mean((0..3).map(|_| {
                let entries = bench.list();
                bench.round(&[Event::Endpoints { update: EndpointUpdate::Full, endpoints: entries }])
            }));
            println!(
                "{replicas:>8} {parts:>6} {one:>10.1} {many:>10.1} {query:>10.0} {entry:>10.1} {list:>10.0}"
            );
            assert!(bench.ended > 16, "queries are answered");
        }
    }
}
