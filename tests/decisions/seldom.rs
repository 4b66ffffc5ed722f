//! Where each replica is met seldom: what was seen of it has to last until the next meeting.
use std::collections::BTreeMap;

use super::*;

const RING: u32 = 32;
const PAUSE: f64 = 2.0;

/// A ring of replicas, one a cell, of which each shard is held by four, asked for eight shards every two seconds: it
/// takes eight seconds from one send to a replica to the next.
struct Ring {
    rig: Rig,
    asked: u32,
    sent: BTreeMap<u64, u32>,
}

/// How a replica ends an attempt, and after how long.
type Ends = fn(u64) -> (Outcome, f64);

impl Ring {
    fn new(settings: Settings) -> Ring {
        let class = Class { latency_objective: 1.0, deadline: 4.0, ..class() };
        let settings = Settings { classes: vec![class], cells: RING, reach: 4, ..settings };
        let mut rig = Rig::new(settings, 0);
        let entries = (0..RING).map(|n| listed(u64::from(n), n as u16)).collect();
        rig.tell(&[Event::Endpoints { update: EndpointUpdate::Full, endpoints: entries }]);
        Ring { rig, asked: 0, sent: BTreeMap::new() }
    }

    /// Ask, end what is sent as `ends` says, and wait for the next query. The actions at its arrival.
    fn ask(&mut self, ends: Ends) -> Vec<Action> {
        self.asked += 1;
        let first = 100 * self.asked;
        let (query, number) = (QueryId(first), QueryNumber(first));
        let (class, tenant) = (ClassId(0), TenantId(0));
        let mut events =
            vec![Event::Query { query, number, class, tenant, time_left: 4.0, parts: 8, is_retry: false }];
        for n in 0..8 {
            let (part, shard) = (PartId(first + 1 + n), ShardId((self.asked + 4 * n) % RING));
            events.push(Event::Part {
                part,
                number,
                shard,
                weight: 0.125,
                prior_attempts: 0,
                completed: false,
            });
        }
        let actions = self.rig.tell(&events);
        let mut all = sends(&actions);
        let next = self.rig.now + PAUSE;
        while self.rig.now < next {
            all.extend(sends(&self.rig.wait(0.01)));
            let now = self.rig.now;
            let done = |o: &(PartId, u8, ReplicaId, f64)| now - o.3 >= ends(o.2 .0).1;
            while let Some(n) = self.rig.out.iter().position(done) {
                let (part, attempt, replica, sent) = self.rig.out.remove(n);
                let (outcome, _) = ends(replica.0);
                let (took, over) = (now - sent, outcome == Outcome::Succeeded);
                let report = Some(LoadReport { rate: Some(40.0), ..LoadReport::default() });
                let end = Event::Outcome {
                    part,
                    attempt,
                    replica,
                    part_finished: over,
                    outcome,
                    elapsed: took,
                    report,
                };
                all.extend(sends(&self.rig.tell(&[end])));
            }
        }
        all.iter().for_each(|replica| *self.sent.entry(replica.0).or_default() += 1);
        actions
    }

    /// What one replica was sent over what the others were in the mean, past the first queries.
    fn share_of(&mut self, replica: u64, ends: Ends) -> f64 {
        (0..20).for_each(|_| drop(self.ask(ends)));
        self.sent.clear();
        (0..200).for_each(|_| drop(self.ask(ends)));
        let all: u32 = self.sent.values().sum();
        let own = self.sent.get(&replica).copied().unwrap_or(0);
        f64::from(own) / (f64::from(all - own) / f64::from(RING - 1))
    }
}

#[test]
fn a_slow_replica_met_seldom_gets_less_where_reports_tell_no_load() {
    let ends: Ends = |replica| (Outcome::Succeeded, if replica == 5 { 0.12 } else { 0.03 });
    let share = Ring::new(settings()).share_of(5, ends);
    assert!(share < 0.4, "{share:.2} of a sound one's share");
}

#[test]
fn a_replica_that_leaves_attempts_unanswered_gets_less() {
    let ends: Ends = |replica| match replica {
        5 => (Outcome::Cancelled, 0.08),
        _ => (Outcome::Succeeded, 0.03),
    };
    let share = Ring::new(settings()).share_of(5, ends);
    assert!(share < 0.4, "{share:.2} of a sound one's share");
}

#[test]
fn a_query_is_not_begun_where_the_last_ones_took_most_of_their_aim() {
    let mut ring = Ring::new(settings());
    (0..10).for_each(|_| drop(ring.ask(|_| (Outcome::Succeeded, 0.03))));
    assert!(sends(&ring.ask(|_| (Outcome::Succeeded, 0.03))).len() >= 8, "it is begun");
    (0..6).for_each(|_| drop(ring.ask(|_| (Outcome::Succeeded, 0.95))));
    let actions = ring.ask(|_| (Outcome::Succeeded, 0.03));
    assert_eq!(sends(&actions), [], "the last ones took 0.95 of an aim of 1");
    assert!(actions.iter().any(|a| matches!(a, Action::Reject { .. })), "{actions:?}");
}
