//! Initial members of a cluster with a log, that lose messages, processes and disks.
use std::collections::BTreeMap;
use std::rc::Rc;

use marlgap::cluster::bootstrap::{
    Bootstrap, BootstrapAction, BootstrapError, BootstrapMessage, BootstrapState, InitialMembers,
};
use marlgap::cluster::consensus_log::Voter;
use marlgap::cluster::{Member, MemberId};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn voter(n: usize, incarnation: u64, disk: u64) -> Voter {
    let id = MemberId::new(&format!("m{n}"), incarnation);
    let address = ([127, 0, 0, 1], n as u16 + 1).into();
    Voter { member: Member { id, zone: "z".into(), address }, disk_id: disk }
}

struct Process {
    me: Voter,
    bootstrap: Bootstrap,
    disk: BootstrapState,
    joined: Option<u64>,
}

struct Play {
    all: Vec<Process>,
    /// From, its life, to.
    wire: Vec<((usize, u64, usize), Vec<u8>)>,
    errors: Vec<BootstrapError>,
    initial: BTreeMap<u64, InitialMembers>,
}

fn start(of: usize, voter: Voter, disk: BootstrapState) -> Bootstrap {
    let names: Vec<Rc<str>> = (0..of).map(|i| format!("m{i}").as_str().into()).collect();
    Bootstrap::new("accra", &names, voter, disk)
}

impl Play {
    fn new(n: usize) -> Play {
        let process = |i| {
            let me = voter(i, 1, 100 + i as u64);
            let bootstrap = start(n, me.clone(), BootstrapState::Empty);
            Process { me, bootstrap, disk: BootstrapState::Empty, joined: None }
        };
        Play {
            all: (0..n).map(process).collect(),
            wire: Vec::new(),
            errors: Vec::new(),
            initial: BTreeMap::new(),
        }
    }

    fn restart(&mut self, i: usize, incarnation: u64, with_disk: bool) {
        // Its connections are gone, what it said before may still be under way.
        self.wire.retain(|m| m.0 .2 != i);
        let old = self.all[i].me.disk_id;
        let disk = if with_disk { self.all[i].disk.clone() } else { BootstrapState::Empty };
        let me = voter(i, incarnation, if with_disk { old } else { 1000 * incarnation + i as u64 });
        let joined = self.all[i].joined.filter(|_| with_disk);
        let bootstrap = start(self.all.len(), me.clone(), disk.clone());
        self.all[i] = Process { me, bootstrap, disk, joined };
    }

    /// `upto`: the process ends after as many acts.
    fn act(&mut self, i: usize, upto: usize) {
        for act in self.all[i].bootstrap.ready().into_iter().take(upto) {
            match act {
                BootstrapAction::PersistAccepted(members) => {
                    self.all[i].disk = BootstrapState::Accepted(members)
                }
                BootstrapAction::Bootstrapped { cluster_id, members } => {
                    self.initial.insert(cluster_id, members);
                    self.all[i].disk = BootstrapState::Bootstrapped(cluster_id);
                    self.all[i].joined = Some(cluster_id);
                }
                BootstrapAction::Join { cluster_id } => {
                    self.all[i].disk = BootstrapState::Bootstrapped(cluster_id);
                    self.all[i].joined = Some(cluster_id);
                }
                BootstrapAction::Broadcast(message) => {
                    let (life, bytes) = (message.voter.member.id.incarnation, message.encode());
                    let to = (0..self.all.len()).filter(|j| *j != i);
                    self.wire.extend(to.map(|j| ((i, life, j), bytes.clone())));
                }
                BootstrapAction::Failed(error) => self.errors.push(error),
            }
        }
    }

    /// Clusters in which a majority of the initial members' disks takes part: these can decide.
    fn deciding(&self) -> Vec<u64> {
        let part = |cluster: u64, members: &InitialMembers| {
            let holds = |me: &Voter| {
                members
                    .voters()
                    .iter()
                    .any(|s| s.member.id.name == me.member.id.name && s.disk_id == me.disk_id)
            };
            let of = |p: &&Process| p.joined == Some(cluster) && holds(&p.me);
            2 * self.all.iter().filter(of).count() > members.voters().len()
        };
        self.initial.iter().filter(|(c, members)| part(**c, members)).map(|(c, _)| *c).collect()
    }
}

#[test]
fn one_cluster_is_bootstrapped_whichever_members_restart() {
    let mut lost = 0;
    for seed in 0..2000u64 {
        let n = 3 + 2 * (seed as usize % 2);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut pick = move |below: usize| (rng.next_u64() % below as u64) as usize;
        let mut play = Play::new(n);
        let (mut decided, mut disks) = (None, 0);
        for round in 0..4000usize {
            let calm = round > 200;
            let i = pick(n);
            if pick(8) == 0 || play.wire.is_empty() {
                play.all[i].bootstrap.tick();
            }
            play.act(i, usize::MAX);
            for _ in 0..if calm { 4 } else { 1 } {
                if play.wire.is_empty() {
                    break;
                }
                // What one life says comes in order, what an ended one said perhaps after a later one's, and some
                // never: a member keeps saying how far it is.
                let (way, _) = play.wire[pick(play.wire.len())];
                let first = play.wire.iter().position(|m| m.0 == way).expect("one");
                let ((_, _, to), bytes) = play.wire.remove(first);
                if calm || pick(5) > 0 {
                    play.all[to].bootstrap.receive(BootstrapMessage::decode(&bytes).expect("said"));
                    let ends = !calm && pick(20) == 0;
                    play.act(to, if ends { pick(3) } else { usize::MAX });
                    if ends {
                        play.restart(to, 3 + 2 * round as u64, true);
                    }
                }
            }
            if !calm && pick(40) == 0 {
                // A minority of all disks is lost; what the old life said may still be under way.
                let with_disk = disks >= (n - 1) / 2 || pick(2) == 0;
                disks += usize::from(!with_disk);
                play.restart(i, 4 + 2 * round as u64, with_disk);
            }
            for cluster in play.deciding() {
                let first = *decided.get_or_insert(cluster);
                assert_eq!(first, cluster, "seed {seed}: two clusters");
            }
            let one = |p: &Process| p.joined.is_some() && p.joined == decided;
            if calm && decided.is_some() && play.all.iter().all(one) {
                break;
            }
        }
        lost += disks;
        assert!(play.errors.is_empty(), "seed {seed}: {:?}", play.errors);
        let joined: Vec<_> = play.all.iter().map(|p| p.joined).collect();
        assert!(decided.is_some() && joined.iter().all(|j| *j == decided), "seed {seed}: {joined:?}");
    }
    assert!(lost > 600, "{lost}");
}

#[test]
fn a_lost_majority_and_another_cluster_are_left_to_the_operator() {
    let names: Vec<Rc<str>> = ["m0", "m1", "m2"].map(Into::into).into();
    let members = InitialMembers::new((0..3).map(|i| voter(i, 1, i as u64)).collect());
    let mut left = Bootstrap::new("accra", &names, voter(0, 2, 0), BootstrapState::Accepted(members));
    for i in 1..3 {
        left.receive(BootstrapMessage { voter: voter(i, 2, 77), state: BootstrapState::Empty });
    }
    let lost = BootstrapError::MajorityLost(vec!["m1".into(), "m2".into()]);
    assert!(left.ready().contains(&BootstrapAction::Failed(lost)), "both may have gone on without it");

    let mut founded = Bootstrap::new("accra", &names, voter(0, 2, 0), BootstrapState::Bootstrapped(5));
    founded.receive(BootstrapMessage { voter: voter(1, 1, 1), state: BootstrapState::Bootstrapped(6) });
    let foreign = BootstrapError::OtherCluster { name: "m1".into(), cluster_id: 6 };
    assert!(founded.ready().contains(&BootstrapAction::Failed(foreign)));
    assert_eq!(founded.state(), &BootstrapState::Bootstrapped(5));
}

#[test]
fn an_existing_cluster_is_joined_and_a_single_member_bootstraps_alone() {
    let names: Vec<Rc<str>> = ["m0", "m1"].map(Into::into).into();
    let mut new = Bootstrap::new("accra", &names, voter(0, 2, 9), BootstrapState::Empty);
    new.receive(BootstrapMessage { voter: voter(1, 1, 1), state: BootstrapState::Bootstrapped(6) });
    assert!(new.ready().contains(&BootstrapAction::Join { cluster_id: 6 }));
    let mut alone = Bootstrap::new("accra", &names[..1], voter(0, 1, 9), BootstrapState::Empty);
    let acts = alone.ready();
    let accepted = acts.iter().position(|a| matches!(a, BootstrapAction::PersistAccepted(_)));
    let started = acts.iter().position(|a| matches!(a, BootstrapAction::Bootstrapped { .. }));
    assert!(accepted < started && accepted.is_some(), "{acts:?}");
}

#[test]
fn a_state_is_durable_before_it_is_announced() {
    let names: Vec<Rc<str>> = ["m0", "m1"].map(Into::into).into();
    let mut member = Bootstrap::new("accra", &names, voter(0, 1, 0), BootstrapState::Empty);
    let members = InitialMembers::new((0..2).map(|i| voter(i, 1, i as u64)).collect());
    let at = |acts: &[BootstrapAction], what: &BootstrapAction| {
        acts.iter().position(|a| a == what).expect("an act")
    };
    let announce = |state| BootstrapAction::Broadcast(BootstrapMessage { voter: voter(0, 1, 0), state });
    member.receive(BootstrapMessage { voter: voter(1, 1, 1), state: BootstrapState::Empty });
    let acts = member.ready();
    assert!(
        at(&acts, &BootstrapAction::PersistAccepted(members.clone()))
            < at(&acts, &announce(BootstrapState::Accepted(members.clone()))),
        "{acts:?}"
    );
    member.receive(BootstrapMessage {
        voter: voter(1, 1, 1),
        state: BootstrapState::Accepted(members.clone()),
    });
    let acts = member.ready();
    let cluster = members.cluster_id("accra");
    assert!(
        at(&acts, &BootstrapAction::Bootstrapped { cluster_id: cluster, members })
            < at(&acts, &announce(BootstrapState::Bootstrapped(cluster))),
        "{acts:?}"
    );
}

#[test]
fn only_a_disk_of_the_accepted_set_releases_it() {
    let names: Vec<Rc<str>> = ["m0", "m1", "m2"].map(Into::into).into();
    let members = InitialMembers::new((0..3).map(|i| voter(i, 1, i as u64)).collect());
    let mut member =
        Bootstrap::new("accra", &names, voter(0, 1, 0), BootstrapState::Accepted(members.clone()));
    // The disk that m1 had before may be the one with which the members was founded.
    member.receive(BootstrapMessage { voter: voter(1, 2, 77), state: BootstrapState::Bootstrapped(6) });
    assert_eq!(member.state(), &BootstrapState::Accepted(members));
    member.receive(BootstrapMessage { voter: voter(2, 1, 2), state: BootstrapState::Bootstrapped(6) });
    assert_eq!(member.state(), &BootstrapState::Bootstrapped(6));
    assert!(member.ready().contains(&BootstrapAction::Join { cluster_id: 6 }));
}
