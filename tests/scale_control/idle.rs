//! Counts of a quiet fleet as functions of its size.
use crate::plane::founding;
use crate::plane::links::SECOND;
use crate::plane::members::{Members, TICK};
use crate::plane::queue::Played;
use crate::plane::traffic::Traffic;
use crate::plane::watches::Watches;
use crate::plane::workers::Workers;
use crate::plane::SEED;

/// Ticks from one heartbeat to the next, as the log's limits have it.
const HEARTBEAT: u64 = 2;

#[test]
fn a_heartbeat_round_is_one_message_and_its_answer_for_every_other_member() {
    for count in [3, 5, 15, 30, 60] {
        let mut members = Members::led(count, SEED, 0);
        let leader = members.leader().expect("a leader");
        let before: Vec<Traffic> = members.nodes.iter().map(|n| n.traffic).collect();
        let rounds = 25;
        members.run(rounds * HEARTBEAT * TICK);
        let others = count as u64 - 1;
        for (i, node) in members.nodes.iter().enumerate() {
            let spent = node.traffic - before[i];
            let expected = if i == leader { rounds * others } else { rounds };
            // What is under way at the two ends of the window may differ by a round.
            let near = |n: u64| n.abs_diff(expected) <= if i == leader { others } else { 1 };
            assert!(near(spent.sent.messages) && near(spent.received.messages), "{i}: {spent:?}, {expected}");
        }
        let sent: u64 = members.nodes.iter().zip(&before).map(|(n, b)| (n.traffic - *b).sent.messages).sum();
        assert!(sent.abs_diff(2 * rounds * others) <= others, "{sent} of {}", 2 * rounds * others);
    }
}

#[test]
fn a_quiet_watch_is_one_call_every_two_seconds() {
    let mut watches = Watches::new(20, 50, SEED);
    watches.run(10 * SECOND);
    let before: Vec<u64> = watches.watches.iter().map(|w| w.traffic.sent.messages).collect();
    watches.run(20 * SECOND);
    for (watch, before) in watches.watches.iter().zip(before) {
        let calls = watch.traffic.sent.messages - before;
        assert!((9..=10).contains(&calls), "{calls} calls in 20 s");
    }
    assert_eq!(watches.broken, None);
}

#[test]
fn renewals_go_to_peers_alone_and_no_work_is_taken_over_while_all_live() {
    let mut workers = Workers::new(30, 2, SEED).expect("a configuration");
    workers.run(2 * SECOND);
    let load = workers.load(2 * SECOND);
    assert_eq!((workers.started, workers.taken_over.len(), workers.broken.clone()), (60, 0, None));
    // Two messages each way and tenth of a second for each peer.
    assert!(load.peers <= 29.0 && load.messages > 0.0, "{load:?}");
}

#[test]
fn founding_tells_every_member_the_whole_list() {
    for count in [3, 9, 27] {
        let founded = founding::found(count, SEED).expect("founded");
        assert_eq!(founded.restart_messages, count as u64 - 1);
        assert!(founded.restart_bytes > (count * count) as u64);
    }
}
