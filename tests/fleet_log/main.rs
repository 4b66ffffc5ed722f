//! The replicated log: voters under a virtual clock, spoilt and wild messages, rosters and proposals.
mod sim;

use marlgap::cluster::consensus_log::*;
use marlgap::cluster::{Configuration, MemberId};
use protobuf::Message as _;
use raft::eraftpb::{Entry, Message, MessageType};
use rand_core::RngCore;

use sim::{fnv, seat, Sim, Without};

/// A message as a peer sends it: version, cluster, check, message.
fn framed(cluster: u64, message: &Message) -> Vec<u8> {
    let body = message.write_to_bytes().expect("bytes");
    [&[1][..], &cluster.to_be_bytes(), &fnv(&body).to_be_bytes(), &body].concat()
}

/// Seeds of each kind of play, over the cores.
fn plays(n: usize, seeds: std::ops::Range<u64>, without: Without) -> Vec<Result<(usize, u64), String>> {
    let cores = 8;
    let play = |core: u64| {
        let mine = seeds.clone().filter(move |s| s % cores == core);
        mine.map(|s| Sim::play(n, s, without).map(|sim| (sim.acknowledged.len(), sim.leaders)))
            .collect::<Vec<_>>()
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..cores).map(|core| scope.spawn(move || play(core))).collect();
        threads.into_iter().flat_map(|t| t.join().expect("a thread")).collect()
    })
}

#[test]
fn one_order_and_nothing_acknowledged_is_lost_whatever_fails() {
    for n in [3, 5] {
        let ended = plays(n, 0..600, Without::Nothing);
        let broken: Vec<_> = ended.iter().filter_map(|e| e.as_ref().err()).collect();
        assert!(
            broken.is_empty(),
            "{} of {}: {:?}",
            broken.len(),
            ended.len(),
            &broken[..broken.len().min(5)]
        );
        let sum = |f: fn(&(usize, u64)) -> u64| ended.iter().flatten().map(f).sum::<u64>();
        let (acknowledged, leaders) = (sum(|e| e.0 as u64), sum(|e| e.1));
        println!("{n} voters: {acknowledged} acknowledged, {leaders} leaders");
        assert!(acknowledged > 8_000 && leaders > 2_000, "{acknowledged} acknowledged, {leaders} leaders");
    }
}

#[test]
fn a_guard_that_is_taken_out_is_missed() {
    for without in [Without::PersistFirst, Without::NewVoter] {
        let broken: Vec<_> = plays(3, 0..1000, without).into_iter().filter_map(Result::err).collect();
        println!("{without:?}: {} of 1000, {:?}", broken.len(), broken.first());
        let order =
            |e: &&String| e.contains("two commands") || e.contains("lost") || e.contains("another state");
        assert!(broken.iter().filter(order).count() > 0, "{without:?}: {:?}", broken.first());
    }
}

fn led(n: usize, seed: u64) -> (Sim, usize) {
    let mut sim = Sim::new(n, seed, Limits::default(), Without::Nothing);
    while sim.leader().is_none() {
        sim.step();
    }
    let at = sim.leader().expect("a leader");
    (sim, at)
}

#[test]
fn what_is_spoilt_or_wild_is_refused_and_never_stops_the_process() {
    let (mut sim, at) = led(3, 1);
    for i in 0..20u8 {
        sim.propose(at, &Command::Plan([i].as_slice().into())).expect("proposed");
        sim.step();
    }
    (0..10).for_each(|_| sim.step());
    let log = sim.nodes[at].log.take().expect("a log");
    let (me, cluster) = log.identity();
    let id = voter_id(&me.name, me.disk_id);
    let other = (at + 1) % 3;
    let (name, from) = (format!("m{other}"), sim.nodes[other].seat.voter_id());
    let stored = sim.nodes[at].disk.clone();
    let fresh = || ConsensusLog::new(me.clone(), stored.clone(), Limits::default()).expect("a log");
    let last = log.retained_log().last_index;
    let wild = |sim: &mut Sim| {
        let near = [0, 1, 2, last - 1, last, last + 1, last + 9, u64::MAX][sim.pick(8)];
        if sim.chance(50) {
            sim.rng.next_u64()
        } else {
            near
        }
    };
    let kinds = [
        MessageType::MsgAppend,
        MessageType::MsgAppendResponse,
        MessageType::MsgRequestVote,
        MessageType::MsgRequestVoteResponse,
        MessageType::MsgSnapshot,
        MessageType::MsgHeartbeat,
        MessageType::MsgHeartbeatResponse,
        MessageType::MsgRequestPreVote,
        MessageType::MsgRequestPreVoteResponse,
        MessageType::MsgHup,
        MessageType::MsgPropose,
        MessageType::MsgTimeoutNow,
        MessageType::MsgReadIndex,
        MessageType::MsgTransferLeader,
    ];
    let mut held = fresh();
    let (mut taken, mut refused) = (0, 0);
    for round in 0..60_000 {
        if round % 50 == 0 {
            held = fresh();
            held.ready();
            // A candidate now and then, and a leader where nothing else is in the way.
            (0..sim.pick(40)).for_each(|_| held.tick());
        }
        let mut m = Message::default();
        m.set_msg_type(kinds[sim.pick(kinds.len())]);
        (m.from, m.to) =
            (if sim.chance(30) { wild(&mut sim) } else { from }, if sim.chance(30) { 5 } else { id });
        m.term = if sim.chance(2) { held.term() } else { wild(&mut sim) };
        (m.index, m.log_term, m.commit) = (wild(&mut sim), wild(&mut sim), wild(&mut sim));
        (m.commit_term, m.reject_hint) = (wild(&mut sim), wild(&mut sim));
        m.reject = sim.chance(2);
        if m.get_msg_type() == MessageType::MsgAppend {
            for k in 1..=sim.pick(4) as u64 {
                let term = if sim.chance(3) { wild(&mut sim) } else { m.log_term };
                let index = if sim.chance(9) { wild(&mut sim) } else { m.index.saturating_add(k) };
                let mut e = Entry { term, index, ..Entry::default() };
                e.data = vec![7; sim.pick(9)].into();
                m.mut_entries().push(e);
            }
        }
        if m.get_msg_type() == MessageType::MsgSnapshot {
            m.mut_snapshot().mut_metadata().index = wild(&mut sim);
            m.mut_snapshot().mut_metadata().term = wild(&mut sim);
            let ids: Vec<u64> =
                (0..sim.pick(4)).map(|_| if sim.chance(2) { id } else { wild(&mut sim) }).collect();
            let conf = m.mut_snapshot().mut_metadata().mut_conf_state();
            conf.set_voters(ids.clone());
            conf.set_learners(ids.into_iter().skip(1).collect());
            let data = if sim.chance(2) { Vec::new() } else { vec![1, 2, 3] };
            m.mut_snapshot().data = data.into();
        }
        let bytes = framed(cluster, &m);
        match held.receive(&name, &bytes) {
            Ok(()) => taken += 1,
            Err(_) => refused += 1,
        }
        held.ready();
        // On its way one bit was turned round: nothing of it is taken.
        if round % 10 == 0 {
            let mut bytes = bytes;
            let at = sim.pick(bytes.len());
            bytes[at] ^= 1 << sim.pick(8);
            let before = (held.term(), held.applied_index(), held.retained_log());
            held.receive(&name, &bytes).expect_err("spoilt");
            assert_eq!((held.term(), held.applied_index(), held.retained_log()), before);
        }
    }
    println!("{taken} taken, {refused} refused");
    assert!(taken > 1000 && refused > 1000, "{taken} taken, {refused} refused");
    let large = vec![0; Limits::default().max_frame_bytes + 1];
    assert!(matches!(held.receive(&name, &large), Err(ReceiveError::TooLarge { .. })));
}

#[test]
fn a_log_that_ends_before_what_was_agreed_does_not_start() {
    let (mut sim, at) = led(3, 2);
    (0..5u8).for_each(|i| drop(sim.propose(at, &Command::Plan([i].as_slice().into()))));
    (0..20).for_each(|_| sim.step());
    let _ = sim.propose(at, &Command::ClosedTimestamp { ms: 1, logical: 2 });
    (0..20).for_each(|_| sim.step());
    let node = &sim.nodes[at];
    let me = Identity { name: node.seat.member.id.name.clone(), disk_id: node.seat.disk_id };
    let start = |stored: StoredLog| ConsensusLog::new(me.clone(), stored, Limits::default()).map(|_| ());
    assert_eq!(start(node.disk.clone()), Ok(()));
    let mut short = node.disk.clone();
    short.entries.truncate(2);
    assert!(matches!(start(short), Err(RecoveryError::MissingEntries(_))));
    let mut gap = node.disk.clone();
    gap.entries.remove(2);
    assert!(matches!(start(gap), Err(RecoveryError::Gap(_))));
    let mut odd = node.disk.clone();
    odd.entries[1].1 = vec![255; 9];
    assert!(matches!(start(odd), Err(RecoveryError::Codec(_))));
}

#[test]
fn one_life_of_a_name_counts_and_an_epoch_is_one_configuration() {
    let roster = Membership::bootstrap(1, (0..7).map(|i| seat(i, 1, i as u64)).collect()).expect("a roster");
    assert_eq!((roster.raft_ids().voters.len(), roster.raft_ids().learners.len()), (MAX_VOTERS, 2));
    let admit = |s: Voter, base| Command::Admit { voter: s, known_epoch: base };
    assert_eq!(roster.evaluate(9, &admit(seat(2, 1, 2), 1)).0, CommandOutcome::Unchanged);
    let (outcome, second) = roster.evaluate(9, &admit(seat(2, 5, 2), 1));
    let second = second.expect("another life");
    assert!(matches!(outcome, CommandOutcome::Reconfigured(c) if c.epoch() == 9));
    assert_eq!(second.raft_ids(), roster.raft_ids(), "the same disk is the same voter");
    // An ask that was under way meanwhile, and the life that ended.
    assert_eq!(
        second.evaluate(10, &admit(seat(2, 4, 2), 1)).0,
        CommandOutcome::Rejected(RejectionReason::StaleEpoch(9))
    );
    assert_eq!(
        second.evaluate(10, &admit(seat(2, 1, 2), 9)).0,
        CommandOutcome::Rejected(RejectionReason::IncarnationEnded)
    );
    let third = second.evaluate(11, &admit(seat(2, 6, 88), 9)).1.expect("another disk");
    assert_ne!(third.raft_ids(), second.raft_ids());
    // One who learned votes in the place of one who leaves.
    let left = third.evaluate(12, &Command::Leave(MemberId::new("m2", 6))).1.expect("left");
    assert_eq!((left.raft_ids().voters.len(), left.raft_ids().learners.len()), (MAX_VOTERS, 1));
    assert_eq!(
        left.evaluate(13, &Command::Leave(MemberId::new("m2", 6))).0,
        CommandOutcome::Rejected(RejectionReason::NotAMember)
    );
    // Epochs stay until they are closed, and there is a bound.
    assert_eq!(left.open_epochs().map(Configuration::epoch).collect::<Vec<_>>(), [1, 9, 11, 12]);
    assert_eq!(
        left.evaluate(14, &Command::CloseEpoch(12)).0,
        CommandOutcome::Rejected(RejectionReason::LastRemaining)
    );
    let closed = left.evaluate(14, &Command::CloseEpoch(9)).1.expect("closed");
    assert_eq!(closed.open_epochs().map(Configuration::epoch).collect::<Vec<_>>(), [11, 12]);
    let mut many = closed.clone();
    for life in 100.. {
        match many.evaluate(life, &admit(seat(3, life, 3), life)) {
            (_, Some(next)) => many = next,
            (outcome, None) => {
                assert_eq!(outcome, CommandOutcome::Rejected(RejectionReason::LimitReached("open epochs")));
                break;
            }
        }
    }
    assert_eq!(many.open_epochs().count(), MAX_OPEN_EPOCHS);
    assert_eq!(Membership::decode(&many.encode()), Ok(many));
}

#[test]
fn proposals_are_bounded_and_led_to_the_leader() {
    let (mut sim, at) = led(3, 4);
    (0..10).for_each(|_| sim.step());
    let leader = sim.nodes[at].seat.member.id.name.clone();
    let plan = |n: usize| Command::Plan(vec![0; n].into());
    let other = (at + 1) % 3;
    assert_eq!(sim.propose(other, &plan(1)), Err(ProposeError::NotLeader { leader: Some(leader) }));
    assert!(matches!(sim.propose(at, &plan(300 << 10)), Err(ProposeError::TooLarge { .. })));
    let log = sim.nodes[at].log.as_mut().expect("a log");
    let refused = (0..100).find_map(|_| log.propose(&plan(200 << 10)).err());
    assert_eq!(refused, Some(ProposeError::CapacityExceeded));
    let again = Command::Admit { voter: sim.nodes[at].seat.clone(), known_epoch: 1 };
    assert_eq!(sim.propose(at, &again), Err(ProposeError::NoEffect(CommandOutcome::Unchanged)));
}

#[test]
fn entries_a_second() {
    let (mut sim, at) = led(3, 5);
    let started = std::time::Instant::now();
    let rounds = 200;
    for round in 0..rounds {
        for i in 0..10u32 {
            let _ =
                sim.propose(at, &Command::Plan([round, i].map(u32::to_be_bytes).concat().as_slice().into()));
        }
        sim.step();
    }
    let each = started.elapsed().as_secs_f64() / f64::from(rounds * 10);
    println!(
        "{:.0} entries a second, 3 voters in one thread, {} acknowledged",
        1.0 / each,
        sim.acknowledged.len()
    );
    assert!(sim.acknowledged.len() > 1900);
}
