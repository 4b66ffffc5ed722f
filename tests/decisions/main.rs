//! Scripted events: the ordinary path, and one small test for each failure found.
use std::collections::BTreeMap;

use marlgap::balancer::interface::*;
use marlgap::Balancer;

#[path = "../common/mod.rs"]
mod common;
mod faults;
mod health;
mod seldom;
use common::class;

fn settings() -> Settings {
    Settings {
        classes: vec![class()],
        load_reporting: LoadReporting::Inline,
        max_attempts: 4,
        ..Settings::default()
    }
}

fn listed(replica: u64, cell: u16) -> Endpoint {
    Endpoint {
        replica: ReplicaId(replica),
        cell: CellId(cell),
        state: EndpointState::Ready,
        weight: 1.0,
        ..Endpoint::default()
    }
}

/// A balancer with a clock, and the sends that await their outcome.
struct Rig {
    balancer: Balancer,
    now: f64,
    next: u32,
    out: Vec<(PartId, u8, ReplicaId, f64)>,
    tries: std::collections::BTreeMap<PartId, u8>,
}

impl Rig {
    fn new(settings: Settings, replicas: u64) -> Self {
        let balancer = Balancer::new(settings, 1).expect("served");
        let (out, tries) = Default::default();
        let mut rig = Rig { balancer, now: 10.0, next: 0, out, tries };
        let entries = (0..replicas).map(|n| listed(n, 0)).collect();
        rig.tell(&[Event::Endpoints { update: EndpointUpdate::Full, endpoints: entries }]);
        rig
    }
    fn tell(&mut self, events: &[Event]) -> Vec<Action> {
        let actions = self.balancer.round(self.now, events);
        for action in &actions {
            if let Action::Send { part, replica, .. } = action {
                let n = self.tries.entry(*part).or_default();
                self.out.push((*part, *n, *replica, self.now));
                *n += 1;
            }
        }
        actions
    }
    fn wait(&mut self, seconds: f64) -> Vec<Action> {
        let mut all = Vec::new();
        for _ in 0..(seconds / 0.01).round() as u32 {
            self.now += 0.01;
            all.extend(self.tell(&[Event::Timer]));
        }
        all
    }
    fn query(&mut self, parts: u32) -> Vec<Action> {
        self.next += 100;
        let (number, patience) = (QueryNumber(self.next), 4.0);
        let (query, class, tenant) = (QueryId(self.next), ClassId(0), TenantId(0));
        let mut events =
            vec![Event::Query { query, number, class, tenant, time_left: patience, parts, is_retry: false }];
        for n in 1..=parts {
            let (part, shard, weight) = (PartId(self.next + n), ShardId(0), 1.0 / f64::from(parts));
            events.push(Event::Part { part, number, shard, weight, prior_attempts: 0, completed: false });
        }
        self.tell(&events)
    }
    fn end(&mut self, n: usize, outcome: Outcome, queue: Option<f64>) -> Vec<Action> {
        let (part, attempt, replica, sent) = self.out.remove(n);
        let report = queue.map(|q| LoadReport { queue_depth: Some(q), ..LoadReport::default() });
        let (took, over) = (self.now - sent, outcome == Outcome::Succeeded);
        self.tell(&[Event::Outcome {
            part,
            attempt,
            replica,
            part_finished: over,
            outcome,
            elapsed: took,
            report,
        }])
    }
    /// One query of one part, each attempt ended as `how` says of its replica; who was sent to.
    fn serve(&mut self, how: impl Fn(ReplicaId) -> Outcome) -> Vec<ReplicaId> {
        self.query(1);
        let mut seen = Vec::new();
        for _ in 0..8 {
            self.now += 0.01;
            let Some(last) = self.out.len().checked_sub(1) else { break };
            seen.push(self.out[last].2);
            self.end(last, how(self.out[last].2), Some(1.0));
        }
        seen
    }
}

fn sends(actions: &[Action]) -> Vec<ReplicaId> {
    let replica = |a: &Action| match a {
        Action::Send { replica, .. } => Some(*replica),
        _ => None,
    };
    actions.iter().filter_map(replica).collect()
}

fn answers(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Answer { .. })).count()
}

#[test]
fn an_idle_pair_gets_both_and_the_twin_is_cancelled() {
    let mut rig = Rig::new(settings(), 2);
    for _ in 0..30 {
        rig.serve(|_| Outcome::Succeeded);
        rig.wait(0.1);
    }
    // Both last reported empty queues.
    for _ in 0..40 {
        rig.wait(0.1);
        rig.query(1);
        while !rig.out.is_empty() {
            rig.now += 0.01;
            rig.end(0, Outcome::Succeeded, Some(0.0));
        }
    }
    let mut copied = 0;
    for _ in 0..20 {
        rig.now += 0.05;
        let sent = sends(&rig.query(1));
        assert!(sent.len() <= 2 && !sent.is_empty());
        copied += usize::from(sent.len() == 2);
        let actions = rig.end(0, Outcome::Succeeded, Some(0.0));
        assert_eq!(answers(&actions), 1);
        if sent.len() == 2 {
            assert!(actions.iter().any(|a| matches!(a, Action::Cancel { attempt: 1, .. })));
            rig.end(0, Outcome::Cancelled, Some(0.0));
        }
    }
    assert!((1..=5).contains(&copied), "{copied} copies of 20: some, under a tenth of recent parts");
}

#[test]
fn the_shorter_queue_gets_the_part() {
    let mut rig = Rig::new(settings(), 2);
    let report = |id: u64| Some(if id == 0 { 5.0 } else { 1.0 });
    for _ in 0..8 {
        rig.query(1);
        let id = rig.out[0].2 .0;
        rig.end(0, Outcome::Succeeded, report(id));
        rig.now += 0.05;
    }
    for _ in 0..8 {
        assert_eq!(sends(&rig.query(1)), [ReplicaId(1)]);
        rig.end(0, Outcome::Succeeded, Some(1.0));
        rig.now += 0.05;
    }
}

#[test]
fn parts_that_arrive_together_share_a_call() {
    let mut rig = Rig::new(Settings { max_parts_per_call: 4, ..settings() }, 3);
    rig.serve(|_| Outcome::Succeeded);
    let sent = sends(&rig.query(4));
    assert!(sent.iter().all(|r| *r == sent[0]), "{sent:?}");
}

#[test]
fn a_drain_acts_at_once_and_a_full_list_drops_what_it_lacks() {
    let mut rig = Rig::new(settings(), 3);
    let drained = Endpoint { state: EndpointState::Draining, ..listed(0, 0) };
    rig.tell(&[Event::Endpoints { update: EndpointUpdate::Delta, endpoints: vec![drained] }]);
    for _ in 0..20 {
        assert!(!rig.serve(|_| Outcome::Succeeded).contains(&ReplicaId(0)));
    }
    rig.tell(&[Event::Endpoints { update: EndpointUpdate::Full, endpoints: vec![listed(2, 0)] }]);
    for _ in 0..20 {
        assert!(rig.serve(|_| Outcome::Succeeded).iter().all(|r| *r == ReplicaId(2)));
    }
}

#[test]
fn a_subscription_is_opened_and_renewed_without_hammering() {
    let ask = Settings { discovery: Discovery::Poll { poll_within: 8.0 }, ..settings() };
    let mut balancer = Balancer::new(ask, 1).expect("served");
    assert!(balancer.round(1.0, &[Event::Timer]).contains(&Action::Subscribe));
    let failed = Event::Endpoints { update: EndpointUpdate::Failed, endpoints: Vec::new() };
    let mut renewed = 0;
    for step in 0..500 {
        let actions = balancer.round(1.0 + f64::from(step) * 0.01, std::slice::from_ref(&failed));
        renewed += actions.iter().filter(|a| **a == Action::Subscribe).count();
    }
    assert!((2..=6).contains(&renewed), "{renewed} calls in 5 s of failures");
}

#[test]
fn a_part_turned_away_waits_before_it_is_sent_again() {
    let mut rig = Rig::new(settings(), 1);
    rig.query(1);
    rig.now += 0.001;
    assert!(sends(&rig.end(0, Outcome::Rejected, None)).is_empty());
    assert!(sends(&rig.wait(0.1)).is_empty());
    assert_eq!(sends(&rig.wait(0.3)).len(), 1);
}

#[test]
fn refusals_do_not_latch_after_an_overload() {
    let mut rig = Rig::new(Settings { max_attempts: 1, ..settings() }, 2);
    let mut refused = false;
    for _ in 0..20 {
        refused = refused || sends(&rig.query(16)).is_empty();
        rig.wait(0.9);
        while !rig.out.is_empty() {
            rig.end(0, Outcome::Succeeded, Some(9.0));
        }
    }
    assert!(refused, "too slow for the aim");
    rig.wait(3.0);
    assert!(!sends(&rig.query(1)).is_empty(), "tried again once that is old news");
}

#[test]
fn a_query_that_cannot_succeed_ends_at_once_with_advice() {
    let mut rig = Rig::new(Settings { max_attempts: 1, retry_after: Some(0.5), ..settings() }, 2);
    rig.query(1);
    let actions = rig.end(0, Outcome::Error, None);
    assert!(actions.contains(&Action::Reject { query: QueryId(100), retry_after: Some(0.5) }), "{actions:?}");
}

#[test]
fn a_partial_answer_goes_out_before_the_aim_and_is_not_marked_whole() {
    let class = Class { min_coverage: 0.5, ..class() };
    let mut rig = Rig::new(Settings { classes: vec![class], max_attempts: 1, ..settings() }, 2);
    rig.query(2);
    rig.end(0, Outcome::Succeeded, Some(1.0));
    let actions = rig.wait(1.0);
    assert!(actions.contains(&Action::Answer { query: QueryId(100), complete: false }), "{actions:?}");
    assert!(rig.now <= 11.01);
}

#[test]
fn spare_parts_are_sent_only_when_needed() {
    let class = Class { target_coverage: 0.5, min_coverage: 0.5, ..class() };
    let mut rig = Rig::new(Settings { classes: vec![class], ..settings() }, 2);
    assert_eq!(sends(&rig.query(4)).len(), 2);
    assert_eq!(sends(&rig.end(0, Outcome::Error, None)).len(), 1);
}

#[test]
fn patience_that_jitters_by_a_tick_is_not_a_try_cut_short() {
    let class = Class { min_coverage: 0.5, ..class() };
    let mut rig = Rig::new(Settings { classes: vec![class], ..settings() }, 2);
    for i in 0..10 {
        rig.next += 100;
        let (number, patience) = (QueryNumber(rig.next), 2.5 - 0.003 * f64::from(i % 3));
        let (query, class, tenant) = (QueryId(rig.next), ClassId(0), TenantId(0));
        let mut events = vec![Event::Query {
            query,
            number,
            class,
            tenant,
            time_left: patience,
            parts: 2,
            is_retry: false,
        }];
        for n in 1..=2 {
            let (part, shard) = (PartId(rig.next + n), ShardId(0));
            events.push(Event::Part {
                part,
                number,
                shard,
                weight: 0.5,
                prior_attempts: 0,
                completed: false,
            });
        }
        rig.tell(&events);
        assert_eq!(answers(&rig.end(0, Outcome::Succeeded, Some(1.0))), 0, "half is in, the aim far away");
        rig.wait(0.02);
        while !rig.out.is_empty() {
            rig.end(0, Outcome::Succeeded, Some(1.0));
        }
    }
}

/// Guards a short time-out of a first try against being taken for what is left of a longer wait: its aim
/// would lie in the past, and the answer would go out in part as soon as its floor is in.
#[test]
fn a_short_first_try_is_not_a_try_cut_short_where_repeats_are_marked() {
    let class = Class { min_coverage: 0.5, ..class() };
    let mut rig = Rig::new(Settings { classes: vec![class], clients_mark_retries: true, ..settings() }, 2);
    for (n, (patience, repeat)) in [(4.0, false), (1.0, false), (1.0, true)].into_iter().enumerate() {
        let id = 100 * (n as u32 + 1);
        let (query, number, class, tenant) = (QueryId(id), QueryNumber(id), ClassId(0), TenantId(0));
        let mut events = vec![Event::Query {
            query,
            number,
            class,
            tenant,
            time_left: patience,
            parts: 2,
            is_retry: repeat,
        }];
        for part in 1..=2 {
            let (part, shard) = (PartId(id + part), ShardId(0));
            events.push(Event::Part {
                part,
                number,
                shard,
                weight: 0.5,
                prior_attempts: 0,
                completed: false,
            });
        }
        rig.tell(&events);
        let early = answers(&rig.end(0, Outcome::Succeeded, Some(1.0)));
        assert_eq!(early, usize::from(repeat), "half is in: try {n}");
        rig.wait(0.02);
        while !rig.out.is_empty() {
            rig.end(0, Outcome::Succeeded, Some(1.0));
        }
    }
}

#[test]
fn odd_events_do_no_harm() {
    let mut rig = Rig::new(settings(), 0);
    rig.query(0);
    rig.query(2);
    let (part, replica, report) = (PartId(9999), ReplicaId(77), None);
    let outcome = Outcome::Succeeded;
    let stray =
        Event::Outcome { part, attempt: 9, replica, part_finished: true, outcome, elapsed: f64::NAN, report };
    rig.tell(&[stray, Event::ClientDisconnected { query: QueryId(5) }]);
    rig.tell(&[Event::Endpoints { update: EndpointUpdate::Full, endpoints: vec![listed(1, 60000)] }]);
    rig.tell(&[Event::Part {
        part,
        number: QueryNumber(8),
        shard: ShardId(u32::MAX),
        weight: f64::NAN,
        prior_attempts: 0,
        completed: false,
    }]);
    let actions = rig.wait(5.0);
    assert_eq!(actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count(), 1);
}

#[test]
fn settings_that_cannot_be_served_are_refused() {
    let bad = |s: Settings| Balancer::new(s, 1).err().expect("refused").field;
    assert_eq!(bad(Settings { classes: vec![], ..settings() }), "classes");
    assert_eq!(
        bad(Settings { classes: vec![Class { latency_objective: f64::NAN, ..class() }], ..settings() }),
        "classes"
    );
    assert_eq!(bad(Settings { classes: vec![Class { deadline: -1.0, ..class() }], ..settings() }), "classes");
    assert_eq!(bad(Settings { cells: 0, ..settings() }), "cells or reach");
    assert_eq!(bad(Settings { max_attempts: 0, ..settings() }), "most_tries");
    assert_eq!(bad(Settings { round_interval: f64::INFINITY, ..settings() }), "round");
}

/// Parts of a query on shards of their own, one replica each: what is sent says how far the query spread.
fn spread_rig(settings: Settings, cells: u32) -> Rig {
    let mut rig = Rig::new(Settings { cells, reach: 1, ..settings }, 0);
    let entries = (0..cells).map(|n| listed(u64::from(n), n as u16)).collect();
    rig.tell(&[Event::Endpoints { update: EndpointUpdate::Full, endpoints: entries }]);
    rig
}

fn wide_query(rig: &mut Rig, parts: u32) -> Vec<Action> {
    rig.next += 100;
    let (number, query) = (QueryNumber(rig.next), QueryId(rig.next));
    let (class, tenant, patience) = (ClassId(0), TenantId(0), 4.0);
    let mut events =
        vec![Event::Query { query, number, class, tenant, time_left: patience, parts, is_retry: false }];
    for n in 1..=parts {
        let (part, shard, weight) = (PartId(rig.next + n), ShardId(n - 1), 1.0 / f64::from(parts));
        events.push(Event::Part { part, number, shard, weight, prior_attempts: 0, completed: false });
    }
    rig.tell(&events)
}
