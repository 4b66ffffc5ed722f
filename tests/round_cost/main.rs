//! What a round goes through, and whether the running sums and indexes by which it does without going through
//! everything are right.
use std::hash::Hasher;

use marlgap::balancer::interface::*;
use marlgap::Balancer;

#[path = "../common/mod.rs"]
mod common;
#[path = "../recorded/plans.rs"]
mod plans;
#[path = "../recorded/world.rs"]
mod world;
use common::class;
use world::World;

/// Over random settings and events: each sum and index is what a count of everything gives, after every few
/// rounds; and a module that looks at every open query in each round decides the same.
#[test]
fn the_sums_are_what_a_count_of_everything_gives() {
    for seed in 0..48 {
        let plan = plans::drawn(seed);
        let mut world = World::new(plan.clone(), seed + 1000);
        let mut whole = World::new(plan, seed + 1000);
        for round in 0..1200 {
            world.round();
            whole.balancer.revisit_all_queries();
            whole.round();
            if round % 3 == 0 {
                assert_eq!(world.balancer.audit(), Ok(()), "plan {seed}, round {round}");
            }
            let same = world.hash.finish() == whole.hash.finish();
            assert!(same, "plan {seed}, round {round}: a look at all queries decides otherwise");
        }
    }
}

/// A module at work on queries of so many parts each, all out, with its replicas in fours to a cell.
struct Busy {
    balancer: Balancer,
    now: f64,
    next: u32,
    parts: u32,
    cells: u32,
    out: Vec<(PartId, ReplicaId)>,
}

impl Busy {
    fn new(replicas: u32, queries: u32, parts: u32) -> Busy {
        let class = Class { latency_objective: 50.0, deadline: 100.0, hedging: false, ..class() };
        let settings = Settings {
            classes: vec![class],
            cells: replicas / 4,
            load_reporting: LoadReporting::Inline,
            round_interval: 0.001,
            max_attempts: 1,
            slow_start: Some(plans::COLD),
            ..Settings::default()
        };
        let balancer = Balancer::new(settings, 5).expect("served");
        let (cells, out) = (replicas / 4, Vec::new());
        let mut busy = Busy { balancer, now: 100.0, next: 0, parts, cells, out };
        let entries = (0..replicas).map(|n| busy.listed(n, EndpointState::Ready)).collect();
        busy.round(vec![Event::Endpoints { update: EndpointUpdate::Full, endpoints: entries }]);
        (0..queries).for_each(|_| busy.ask());
        assert_eq!(busy.out.len(), (queries * parts) as usize, "all parts are out");
        busy
    }

    fn listed(&self, n: u32, phase: EndpointState) -> Endpoint {
        let (replica, zone) = (ReplicaId(u64::from(n)), ZoneId((n % 3) as u8));
        Endpoint {
            replica,
            zone,
            cell: CellId((n % self.cells) as u16),
            state: phase,
            weight: 1.0,
            started: None,
        }
    }

    /// How many entries a round with these events goes through.
    fn round(&mut self, events: Vec<Event>) -> usize {
        self.now += 0.001;
        let before = self.balancer.entries_visited();
        for action in self.balancer.round(self.now, &events) {
            if let Action::Send { part, replica, .. } = action {
                self.out.push((part, replica));
            }
        }
        let through = self.balancer.entries_visited() - before;
        assert_eq!(self.balancer.audit(), Ok(()));
        through
    }

    fn ask(&mut self) {
        self.next += 1;
        let (query, number, class) = (QueryId(self.next), QueryNumber(self.next), ClassId(0));
        let (tenant, patience, parts, repeat) = (TenantId::NONE, 100.0, self.parts, false);
        let mut events =
            vec![Event::Query { query, number, class, tenant, time_left: patience, parts, is_retry: repeat }];
        for n in 0..self.parts {
            self.next += 1;
            let (part, shard) = (PartId(self.next), ShardId(n * 7 % self.cells));
            let (weight, spent, served) = (1.0 / f64::from(self.parts), 0, false);
            events.push(Event::Part {
                part,
                number,
                shard,
                weight,
                prior_attempts: spent,
                completed: served,
            });
        }
        self.round(events);
    }

    /// A round in which the part that was sent last is served.
    fn outcome(&mut self) -> usize {
        let (part, replica) = self.out.pop().expect("a part is out");
        let report = Some(LoadReport {
            queue_depth: Some(2.0),
            in_flight: Some(2.0),
            utilization: Some(0.5),
            ..LoadReport::default()
        });
        let (attempt, over, outcome, took) = (0, true, Outcome::Succeeded, 0.01);
        self.round(vec![Event::Outcome {
            part,
            attempt,
            replica,
            part_finished: over,
            outcome,
            elapsed: took,
            report,
        }])
    }

    /// A round with one changed entry of the list.
    fn entry(&mut self, n: u32, phase: EndpointState) -> usize {
        let entries = vec![self.listed(n, phase)];
        self.round(vec![Event::Endpoints { update: EndpointUpdate::Delta, endpoints: entries }])
    }

    /// What single rounds go through: with nothing that happened, with two outcomes of one query, with a drain,
    /// with a return. The first value of a query has it looked at, which goes through its parts.
    fn shape(&mut self) -> [usize; 5] {
        let [idle, first] = [self.round(vec![Event::Timer]), self.outcome()];
        let [second, drain] = [self.outcome(), self.entry(3, EndpointState::Draining)];
        [idle, first, second, drain, self.entry(3, EndpointState::Ready)]
    }
}

#[test]
fn a_round_costs_as_much_whatever_the_number_of_replicas() {
    let shape = Busy::new(200, 1, 410).shape();
    assert_eq!(shape, Busy::new(11_000, 1, 410).shape());
    assert_eq!(
        shape,
        [0, 411, 0, 1, 1],
        "only a look at the query, and a changed entry, go through anything"
    );
}

#[test]
fn a_round_costs_as_much_whatever_the_number_of_open_queries() {
    assert_eq!(Busy::new(11_000, 1, 410).shape(), Busy::new(11_000, 16, 410).shape());
}

#[test]
fn an_outcome_costs_as_much_whatever_the_parts_of_its_query() {
    let [narrow, wide] = [35, 410].map(|parts| Busy::new(11_000, 1, parts).shape());
    assert_eq!((narrow[0], &narrow[2..]), (wide[0], &wide[2..]));
}

#[test]
fn a_late_part_costs_itself_in_each_round() {
    for parts in [35, 410] {
        let mut busy = Busy::new(11_000, 1, parts);
        for _ in 1..parts {
            busy.outcome();
        }
        busy.now += 30.0;
        // The reports go stale, the part is late and its replica silent; then nothing more happens to it.
        for _ in 0..2 {
            busy.round(vec![Event::Timer]);
        }
        assert_eq!([(); 3].map(|()| busy.round(vec![Event::Timer])), [2; 3], "the query and its late part");
    }
}
