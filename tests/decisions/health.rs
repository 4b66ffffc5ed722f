//! Who is drawn: bad, silent, slow and cold replicas.
use super::*;

/// Guards the ejection and the re-test: returns the share of first sends to replica 0 while it is bad, and
/// the seconds until it gets work again once it is well.
fn bad_then_well(bad: Outcome) -> (usize, f64) {
    let mut rig = Rig::new(settings(), 3);
    for _ in 0..20 {
        rig.serve(|_| Outcome::Succeeded);
        rig.wait(0.05);
    }
    let mut hits = 0;
    for _ in 0..60 {
        hits += rig
            .serve(|r| if r.0 == 0 { bad } else { Outcome::Succeeded })
            .iter()
            .filter(|r| r.0 == 0)
            .count();
        rig.wait(0.04);
    }
    let well = rig.now;
    let mut good = 0;
    while good < 10 && rig.now - well < 60.0 {
        good += rig.serve(|_| Outcome::Succeeded).iter().filter(|r| r.0 == 0).count();
        rig.wait(0.04);
    }
    (hits, rig.now - well)
}

#[test]
fn quick_errors_with_an_empty_queue_eject_and_recovery_is_found() {
    let (hits, back) = bad_then_well(Outcome::Error);
    assert!(hits <= 8, "{hits} parts wasted on a replica that only errs");
    assert!(back < 20.0, "back after {back} s");
}

#[test]
fn a_broken_connection_ejects_at_once() {
    let (hits, back) = bad_then_well(Outcome::Reset);
    assert!(hits <= 5, "{hits}");
    assert!(back < 20.0, "back after {back} s");
}

#[test]
fn a_silent_replica_is_left_and_its_parts_go_elsewhere() {
    let mut rig = Rig::new(settings(), 3);
    for _ in 0..60 {
        rig.serve(|_| Outcome::Succeeded);
    }
    let mut answered = 0;
    let mut to_silent = 0;
    for _ in 0..40 {
        let mut actions = rig.query(1);
        for _ in 0..20 {
            actions.extend(rig.wait(0.01));
            while let Some(n) = rig.out.iter().position(|o| o.2 .0 != 0) {
                actions.extend(rig.end(n, Outcome::Succeeded, Some(1.0)));
            }
        }
        to_silent += sends(&actions).iter().filter(|r| r.0 == 0).count();
        answered += answers(&actions);
    }
    assert_eq!(answered, 40, "every query is answered by the others");
    assert!(to_silent <= 12, "{to_silent} parts sent into silence");
}

#[test]
fn a_replica_much_slower_than_its_peers_gets_little() {
    let mut rig = Rig::new(settings(), 4);
    let mut to_slow = 0;
    for i in 0..80 {
        let mut actions = rig.query(1);
        for _ in 0..30 {
            actions.extend(rig.wait(0.01));
            let now = rig.now;
            let done = |o: &(PartId, u8, ReplicaId, f64)| now - o.3 >= if o.2 .0 == 0 { 0.2 } else { 0.02 };
            while let Some(n) = rig.out.iter().position(done) {
                actions.extend(rig.end(n, Outcome::Succeeded, Some(1.0)));
            }
        }
        to_slow += usize::from(i >= 20) * sends(&actions).iter().filter(|r| r.0 == 0).count();
    }
    assert!(to_slow <= 12, "{to_slow} of 60 to the slow one");
}

#[test]
fn a_slowdown_of_the_whole_fleet_ejects_nobody() {
    let mut rig = Rig::new(settings(), 4);
    let mut seen = std::collections::BTreeSet::new();
    for i in 0..80 {
        rig.query(1);
        rig.wait(if i < 20 { 0.02 } else { 0.04 });
        while !rig.out.is_empty() {
            if i > 60 {
                seen.insert(rig.out[0].2);
            }
            rig.end(0, Outcome::Succeeded, Some(1.0));
        }
    }
    assert_eq!(seen.len(), 4, "all still serve");
}

#[test]
fn when_every_holder_looks_bad_the_least_bad_is_tried() {
    let mut rig = Rig::new(settings(), 2);
    for _ in 0..10 {
        rig.serve(|_| Outcome::Error);
        rig.wait(0.1);
    }
    assert_eq!(sends(&rig.query(1)).len(), 1);
}

#[test]
fn a_cold_replica_gets_its_share_only_also_after_our_own_restart() {
    let cold = SlowStart { initial_capacity: 0.2, ramp: 10.0, overload_factor: 2.0, overload_window: 1.0 };
    let mut rig = Rig::new(Settings { slow_start: Some(cold), coordinators: 3, ..settings() }, 2);
    let young = Endpoint { started: Some(rig.now), ..listed(0, 0) };
    rig.tell(&[Event::Endpoints { update: EndpointUpdate::Cached, endpoints: vec![young, listed(1, 0)] }]);
    let mut times = Vec::new();
    for _ in 0..40 {
        if rig.serve(|_| Outcome::Succeeded).contains(&ReplicaId(0)) {
            times.push(rig.now);
        }
        rig.wait(0.04);
    }
    assert!(times.first().is_none_or(|t| *t >= 11.0), "a window passes after our own start: {times:?}");
    let busiest = times.iter().map(|t| times.iter().filter(|u| (0.0..1.0).contains(&(*u - t))).count()).max();
    assert!((1..=8).contains(&busiest.unwrap_or(0)), "{times:?}");
}
