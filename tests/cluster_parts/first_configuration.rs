//! Initial members of a cluster without a log: one configuration is decided.
use std::rc::Rc;

use marlgap::cluster::bootstrap::first_configuration::{
    Action, Ballot, ConfigurationMessage, LoglessBootstrap, MessageKind,
};
use marlgap::cluster::{Configuration, Member, MemberId};
use rand_core::{RngCore, SeedableRng};

const NAMES: [&str; 3] = ["a", "b", "c"];

fn file() -> Rc<[Member]> {
    let member = |name: &&str| Member {
        id: MemberId::new(name, 0),
        zone: "z".into(),
        address: ([127, 0, 0, 1], 1).into(),
    };
    NAMES.iter().map(member).collect()
}

/// Three initial members over links that lose, double and reorder; `a` and `b` restart at any moment, `c` never.
/// The configurations that were decided, and whether all members know one.
fn play(seed: u64) -> (Vec<Configuration>, bool) {
    let mut chance = rand_pcg::Pcg32::seed_from_u64(seed);
    let mut ids: Vec<MemberId> = NAMES.iter().map(|n| MemberId::new(n, 1)).collect();
    let mut all: Vec<LoglessBootstrap> =
        ids.iter().map(|id| LoglessBootstrap::new(0, id.clone(), file())).collect();
    let (mut decided, mut wire, mut restarts) =
        (Vec::new(), Vec::<(MemberId, MemberId, ConfigurationMessage)>::new(), 0);
    for now in (0..).step_by(10_000).take(400) {
        if now < 2_000_000 && chance.next_u32() % 30 == 0 {
            restarts += 1;
            let n = (chance.next_u32() % 2) as usize;
            ids[n] = MemberId::new(NAMES[n], 1 + restarts);
            all[n] = LoglessBootstrap::new(now, ids[n].clone(), file());
        }
        for (n, bootstrap) in all.iter_mut().enumerate() {
            if chance.next_u32() % 8 == 0 {
                bootstrap.peer_seen(&ids[(n + 1) % 3], "z");
                bootstrap.peer_seen(&ids[(n + 2) % 3], "z");
            }
            bootstrap.tick(now);
            for act in bootstrap.ready() {
                match act {
                    Action::Send { to, message } => wire.push((ids[n].clone(), to, message)),
                    Action::Decided(config) => decided.push(config),
                    Action::ConfigurationMismatch(id) => panic!("{id} differs"),
                }
            }
        }
        for _ in 0..wire.len() {
            let at = chance.next_u32() as usize % wire.len().max(1);
            let fate = chance.next_u32() % 8;
            if wire.is_empty() || fate == 0 {
                continue;
            }
            let (from, to, message) = if fate == 1 { wire[at].clone() } else { wire.swap_remove(at) };
            if fate > 2 {
                let to = all.iter_mut().zip(&ids).filter(|(_, id)| **id == to);
                to.for_each(|(f, _)| f.receive(&from, message.clone()));
            }
        }
    }
    // Who knows of epoch 1 repeats nothing any more.
    let complete = all.iter().all(|f| f.next_tick_at().is_none());
    (decided, complete)
}

#[test]
fn one_configuration_is_decided_whatever_is_lost_and_whoever_restarts() {
    let mut late = 0;
    for seed in 0..2000 {
        let (decided, complete) = play(seed);
        assert!(complete, "seed {seed}: not all know of epoch 1");
        assert!(decided.windows(2).all(|w| w[0] == w[1]), "seed {seed}: {decided:?}");
        late += usize::from(decided.iter().any(|c| c.member("a").is_some_and(|a| a.id.incarnation > 1)));
    }
    assert!(late > 50, "restarts before the bootstrap are among the seeds: {late}");
}

#[test]
fn a_member_with_a_different_file_is_reported_and_decides_nothing() {
    let mut a = LoglessBootstrap::new(0, MemberId::new("a", 1), file());
    a.peer_seen(&MemberId::new("b", 1), "z");
    a.peer_seen(&MemberId::new("c", 1), "elsewhere");
    assert_eq!(a.ready(), [Action::ConfigurationMismatch(MemberId::new("c", 1))]);
    let (round, over) = (Ballot::default(), Ballot::default());
    let message = ConfigurationMessage {
        kind: MessageKind::Decided.into(),
        ballot: round,
        superseded: over,
        members: Vec::new(),
    };
    a.receive(&MemberId::new("b", 1), message);
    assert_eq!(a.ready(), [Action::ConfigurationMismatch(MemberId::new("b", 1))]);
}
