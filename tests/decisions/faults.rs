//! One small test for each failure found since.
use super::*;

/// Guards against sends for a part whose end was told, also of a query that still waits for room.
#[test]
fn a_part_whose_end_was_told_is_never_sent() {
    let mut rig = Rig::new(Settings { coordinators: 50, max_attempts: 4, ..settings() }, 2);
    rig.query(8);
    assert!(sends(&rig.query(1)).is_empty(), "waits for room");
    let (part, replica, report) = (PartId(rig.next + 1), ReplicaId(0), None);
    let outcome = Outcome::Cancelled;
    rig.tell(&[Event::Outcome {
        part,
        attempt: 0,
        replica,
        part_finished: true,
        outcome,
        elapsed: 0.0,
        report,
    }]);
    let mut later = Vec::new();
    while !rig.out.is_empty() {
        rig.now += 0.01;
        later.extend(rig.end(0, Outcome::Succeeded, Some(1.0)));
    }
    later.extend(rig.wait(0.5));
    assert!(!later.iter().any(|a| matches!(a, Action::Send { part: p, .. } if *p == part)), "{later:?}");
    // An attempt that ended with its part over is not followed by another.
    let mut rig = Rig::new(settings(), 2);
    rig.query(1);
    let (part, attempt, replica, _) = rig.out.remove(0);
    let outcome = Outcome::Error;
    rig.tell(&[Event::Outcome {
        part,
        attempt,
        replica,
        part_finished: true,
        outcome,
        elapsed: 0.1,
        report: None,
    }]);
    assert!(sends(&rig.wait(1.0)).is_empty());
}

/// Guards against a query dropped without an answer when its number is used again.
#[test]
fn a_number_used_again_ends_the_first_query() {
    let mut rig = Rig::new(settings(), 2);
    rig.query(1);
    let (number, class, tenant, patience) = (QueryNumber(100), ClassId(0), TenantId(0), 4.0);
    let query = QueryId(777);
    let again = Event::Query { query, number, class, tenant, time_left: patience, parts: 0, is_retry: false };
    let actions = rig.tell(&[again]);
    let first = actions.iter().filter(|a| matches!(a, Action::Reject { query: QueryId(100), .. })).count();
    assert_eq!(first, 1, "{actions:?}");
    let actions = [actions, rig.wait(5.0)].concat();
    let second = actions.iter().filter(|a| matches!(a, Action::Reject { query: QueryId(777), .. })).count();
    assert_eq!(second, 1, "{actions:?}");
}

/// Guards against queries that bring down whatever begins their parts: after a death, one part first.
#[test]
fn after_a_death_a_wide_query_tries_one_part_first() {
    let mut rig = spread_rig(settings(), 20);
    assert_eq!(sends(&wide_query(&mut rig, 16)).len(), 16);
    let actions = [rig.end(0, Outcome::Reset, None), rig.end(0, Outcome::Reset, None)].concat();
    let refused = actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
    assert_eq!(refused, 1, "replicas broke, none served: {actions:?}");
    rig.out.clear();
    rig.wait(0.1);
    assert_eq!(sends(&wide_query(&mut rig, 16)).len(), 1, "one part first");
    rig.now += 0.05;
    assert_eq!(sends(&rig.end(0, Outcome::Succeeded, Some(1.0))).len(), 15, "sound: the rest follows");
    rig.out.clear();
    rig.wait(4.1);
    assert_eq!(sends(&rig.query(1)).len(), 1);
    rig.wait(30.0);
    assert!(sends(&wide_query(&mut rig, 16)).len() > 1, "the suspicion ends");
}

/// Guards against connections dropped unseen while idle: renewed, and no sound replica is ejected for it.
#[test]
fn first_sends_after_a_pause_that_go_unanswered_renew_the_connection() {
    let run = |paused_only: bool| {
        let mut rig = spread_rig(Settings { max_attempts: 1, ..settings() }, 8);
        let mut renewed = 0;
        for _ in 0..12 {
            for step in 0..2 {
                let actions = wide_query(&mut rig, 8);
                renewed += actions.iter().filter(|a| matches!(a, Action::CloseIdle { .. })).count();
                let dropped = if paused_only { step == 0 && renewed == 0 } else { true };
                rig.now += 0.02;
                while !dropped && !rig.out.is_empty() {
                    rig.end(0, Outcome::Succeeded, Some(1.0));
                }
                if dropped {
                    rig.wait(4.1);
                    while !rig.out.is_empty() {
                        rig.end(0, Outcome::TimedOut, None);
                    }
                    let _ = wide_query(&mut rig, 8);
                    rig.now += 0.02;
                    while !rig.out.is_empty() {
                        rig.end(0, if paused_only { Outcome::Succeeded } else { Outcome::TimedOut }, None);
                    }
                }
            }
            rig.wait(1.0);
        }
        renewed
    };
    assert!(run(true) > 0, "idle connections are renewed");
    assert_eq!(run(false), 0, "silence on connections in use is the replica's");
}

/// Guards against a replica that fails one class only and hides behind the others.
#[test]
fn a_replica_that_fails_one_class_keeps_the_other() {
    let mut rig = Rig::new(Settings { classes: vec![class(), class()], ..settings() }, 2);
    let ask = |rig: &mut Rig, class: u16| {
        rig.next += 100;
        let (query, number, class) = (QueryId(rig.next), QueryNumber(rig.next), ClassId(class));
        let (tenant, patience) = (TenantId(0), 4.0);
        let (part, shard, weight) = (PartId(rig.next + 1), ShardId(0), 1.0);
        rig.tell(&[
            Event::Query { query, number, class, tenant, time_left: patience, parts: 1, is_retry: false },
            Event::Part { part, number, shard, weight, prior_attempts: 0, completed: false },
        ]);
        let bad = |r: ReplicaId| r.0 == 0 && class.0 == 1;
        let mut hits = 0;
        while let Some(o) = rig.out.last().copied() {
            rig.now += 0.01;
            hits += usize::from(o.2 .0 == 0);
            rig.end(rig.out.len() - 1, if bad(o.2) { Outcome::Error } else { Outcome::Succeeded }, Some(1.0));
        }
        hits
    };
    let (mut failing, mut sound) = (0, 0);
    for i in 0..120 {
        let (a, b) = (ask(&mut rig, 0), ask(&mut rig, 1));
        if i >= 20 {
            (sound, failing) = (sound + a, failing + b);
        }
        rig.wait(0.05);
    }
    assert!(failing <= 15, "{failing} of 100 parts of the failing class");
    assert!(sound >= 30, "{sound} of 100 parts of the sound class");
}

/// Guards against many coordinators that each allow themselves one part: all together keep the allowance.
#[test]
fn many_co_ordinators_together_spare_a_cold_replica() {
    let cold = SlowStart { initial_capacity: 0.2, ramp: 10.0, overload_factor: 2.0, overload_window: 1.0 };
    let n = 40;
    let fleet = |seed| {
        let settings = Settings { slow_start: Some(cold), coordinators: n, ..settings() };
        Balancer::new(settings, seed).expect("served")
    };
    let mut all: Vec<Balancer> = (0..u64::from(n)).map(fleet).collect();
    let entries: Vec<_> = (0..3).map(|n| listed(n, 0)).collect();
    let young = Endpoint { started: Some(20.0), ..listed(0, 0) };
    let (mut id, mut to_cold, mut to_warm) = (0, Vec::new(), 0u32);
    for step in 0..900u32 {
        let now = 10.0 + f64::from(step) * 0.02;
        for (i, balancer) in all.iter_mut().enumerate() {
            let mut events = vec![Event::Timer];
            if step == 0 {
                events.push(Event::Endpoints { update: EndpointUpdate::Full, endpoints: entries.clone() });
            }
            if step == 500 {
                events.push(Event::Endpoints { update: EndpointUpdate::Delta, endpoints: vec![young] });
            }
            let turn = (step as usize + i * 7) % 50;
            if turn == 0 {
                id += 10;
                let (number, query, class) = (QueryNumber(id), QueryId(id), ClassId(0));
                let (tenant, patience) = (TenantId(0), 2.0);
                events.push(Event::Query {
                    query,
                    number,
                    class,
                    tenant,
                    time_left: patience,
                    parts: 1,
                    is_retry: false,
                });
                events.push(Event::Part {
                    part: PartId(id + 1),
                    number,
                    shard: ShardId(0),
                    weight: 1.0,
                    prior_attempts: 0,
                    completed: false,
                });
            }
            let actions = balancer.round(now, &events);
            let mut done = Vec::new();
            let mut tries = BTreeMap::new();
            for action in actions {
                let Action::Send { part, replica, .. } = action else { continue };
                let attempt: &mut u8 = tries.entry(part).or_default();
                let (took, over, outcome, report) = (0.01, true, Outcome::Succeeded, None);
                done.push(Event::Outcome {
                    part,
                    attempt: *attempt,
                    replica,
                    part_finished: over,
                    outcome,
                    elapsed: took,
                    report,
                });
                *attempt += 1;
                match (replica.0, now >= 20.0) {
                    (0, true) => to_cold.push(now),
                    (_, true) => to_warm += 1,
                    _ => {}
                }
            }
            balancer.round(now, &done);
        }
    }
    // A warm replica bears about 40 / 3 parts a second; cold it may get twice its present share of that.
    for start in &to_cold {
        let sent =
            to_cold.iter().filter(|t| (*start..*start + cold.overload_window).contains(*t)).count() as f64;
        let capacity = cold.initial_capacity
            + (1.0 - cold.initial_capacity) * ((start + cold.overload_window - 20.0) / cold.ramp).min(1.0);
        let allowed = cold.overload_factor * capacity * f64::from(n) / 3.0;
        assert!(sent <= 1.5 * allowed + 2.0, "{sent} sent from {start}, {allowed} allowed");
    }
    assert!(!to_cold.is_empty() && to_warm > 100, "{} {to_warm}", to_cold.len());
}

/// Guards a long run against growing: replicas that are replaced for good are forgotten, one that is soon back is
/// not.
#[test]
fn replicas_long_gone_are_forgotten() {
    let mut rig = Rig::new(settings(), 3);
    for n in 0..50 {
        let gone = Endpoint { state: EndpointState::Removed, ..listed(n, 0) };
        let entries = vec![listed(n + 3, 0), gone];
        rig.tell(&[Event::Endpoints { update: EndpointUpdate::Delta, endpoints: entries }]);
        rig.wait(1.0);
        rig.serve(|_| Outcome::Succeeded);
    }
    assert!((4..=34).contains(&rig.balancer.known_replicas()), "{}", rig.balancer.known_replicas());
    // Never heard of, and gone: nothing to remember.
    let (known, gone) =
        (rig.balancer.known_replicas(), Endpoint { state: EndpointState::Removed, ..listed(99, 0) });
    rig.tell(&[Event::Endpoints { update: EndpointUpdate::Delta, endpoints: vec![gone] }]);
    assert!(rig.balancer.known_replicas() <= known);
    assert!(!rig.serve(|_| Outcome::Succeeded).is_empty(), "the others serve on");
}

/// Guards a part's few attempts against one replica that cannot be reached while the others rest.
#[test]
fn attempts_that_cannot_connect_are_spaced() {
    let mut rig = Rig::new(settings(), 1);
    rig.query(1);
    for _ in 0..3 {
        let actions = rig.end(0, Outcome::ConnectFailed, None);
        assert_eq!(sends(&actions), [], "not again at once");
        assert!(sends(&rig.wait(0.15)).is_empty());
        assert_eq!(sends(&rig.wait(0.1)).len(), 1);
    }
}

/// Guards admission against a query on probation whose one part is lost: it would wait to its end, with room for
/// all its parts, and keep the others out.
#[test]
fn a_query_on_probation_begins_another_part_when_the_first_is_lost() {
    let partly = Class { min_coverage: 0.8, partial_weight: 0.8, ..class() };
    let mut rig = spread_rig(Settings { classes: vec![partly], max_attempts: 2, ..settings() }, 20);
    rig.query(1);
    rig.end(0, Outcome::Reset, None);
    rig.out.clear();
    rig.wait(1.0);
    rig.out.clear();
    assert_eq!(sends(&wide_query(&mut rig, 16)).len(), 1, "one part first");
    let lost = rig.out[0].0;
    rig.end(0, Outcome::ConnectFailed, None);
    rig.wait(0.3);
    rig.out.retain(|o| o.0 == lost);
    let mut actions = rig.end(0, Outcome::ConnectFailed, None);
    actions.extend(rig.wait(0.3));
    let other = |a: &Action| matches!(a, Action::Send { part, .. } if *part != lost);
    assert!(actions.iter().any(other), "{actions:?}");
}

#[test]
fn a_full_replica_rests_until_half_of_what_it_held_is_answered() {
    let mut rig = Rig::new(settings(), 1);
    assert_eq!(sends(&rig.query(5)).len(), 5);
    rig.now += 0.01;
    assert_eq!(
        rig.end(4, Outcome::Rejected, None).iter().filter(|a| matches!(a, Action::Send { .. })).count(),
        0
    );
    // It holds four: with three and two it is left alone, though it answers; with one it is not.
    for left in [3, 2, 1] {
        rig.now += 0.01;
        let sent = sends(&rig.end(0, Outcome::Succeeded, None)).len();
        assert_eq!(sent, usize::from(left == 1), "{left} left");
    }
}

#[test]
fn a_part_waits_for_a_full_replica_rather_than_go_to_an_ejected_one() {
    let mut rig = Rig::new(settings(), 2);
    let dead = |r: ReplicaId| if r == ReplicaId(1) { Outcome::ConnectFailed } else { Outcome::Succeeded };
    while !rig.serve(dead).contains(&ReplicaId(1)) {}
    // It rests no more, and is out of the draw for the best part of a second.
    rig.wait(0.25);
    rig.query(1);
    assert_eq!(rig.out.last().map(|o| o.2), Some(ReplicaId(0)));
    rig.now += 0.01;
    let mut actions = rig.end(0, Outcome::Rejected, None);
    actions.extend(rig.wait(0.18));
    assert_eq!(sends(&actions), []);
    assert_eq!(sends(&rig.wait(0.04)), [ReplicaId(0)], "tried before, but not the dead one");
}

#[test]
fn a_query_of_a_hundred_parts_is_refused_where_one_of_a_few_would_still_be_in_time() {
    let wide = |parts: u32| {
        let mut rig = Rig::new(Settings { hedging: false, ..settings() }, 8);
        rig.query(40);
        rig.wait(0.34);
        while !rig.out.is_empty() {
            rig.end(0, Outcome::Succeeded, None);
        }
        let actions = rig.query(parts);
        actions.iter().any(|a| matches!(a, Action::Reject { .. }))
    };
    // The mean part takes a third of the aim, the slowest of a hundred more than all of it.
    assert!(!wide(12) && !wide(24));
    assert!(wide(100));
}

#[test]
fn when_nothing_reaches_us_at_all_no_part_is_hedged() {
    let hedged = |stalled: bool| {
        let mut rig = Rig::new(Settings { cells: 12, reach: 4, ..settings() }, 0);
        let entries = (0..12).map(|n| listed(n, n as u16)).collect();
        rig.tell(&[Event::Endpoints { update: EndpointUpdate::Full, endpoints: entries }]);
        for _ in 0..40 {
            wide_query(&mut rig, 12);
            rig.wait(0.02);
            while !rig.out.is_empty() {
                rig.end(0, Outcome::Succeeded, None);
            }
        }
        wide_query(&mut rig, 12);
        rig.wait(0.01);
        // Where one data node is slow the others answer; where nothing reaches us none does.
        while !stalled && rig.out.len() > 1 {
            rig.end(0, Outcome::Succeeded, None);
        }
        sends(&rig.wait(0.045)).len()
    };
    assert!(hedged(false) > 0);
    assert_eq!(hedged(true), 0);
}
