//! Founding members of a fleet with a log, that lose messages, processes and disks.
use std::collections::BTreeMap;
use std::rc::Rc;

use marlgap::cluster::bootstrap::{
    Bootstrap, BootstrapAction, BootstrapError, BootstrapMessage, BootstrapState, InitialMembers,
};
use marlgap::cluster::consensus_log::Voter;
use marlgap::cluster::{Member, MemberId};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn seat(n: usize, incarnation: u64, disk: u64) -> Voter {
    let id = MemberId::new(&format!("m{n}"), incarnation);
    let address = ([127, 0, 0, 1], n as u16 + 1).into();
    Voter { member: Member { id, zone: "z".into(), address }, disk_id: disk }
}

struct Process {
    me: Voter,
    founding: Bootstrap,
    disk: BootstrapState,
    joined: Option<u64>,
}

struct Play {
    all: Vec<Process>,
    /// From, its life, to.
    wire: Vec<((usize, u64, usize), Vec<u8>)>,
    stuck: Vec<BootstrapError>,
    sets: BTreeMap<u64, InitialMembers>,
}

fn start(of: usize, seat: Voter, disk: BootstrapState) -> Bootstrap {
    let names: Vec<Rc<str>> = (0..of).map(|i| format!("m{i}").as_str().into()).collect();
    Bootstrap::new("accra", &names, seat, disk)
}

impl Play {
    fn new(n: usize) -> Play {
        let process = |i| {
            let me = seat(i, 1, 100 + i as u64);
            let founding = start(n, me.clone(), BootstrapState::Empty);
            Process { me, founding, disk: BootstrapState::Empty, joined: None }
        };
        Play {
            all: (0..n).map(process).collect(),
            wire: Vec::new(),
            stuck: Vec::new(),
            sets: BTreeMap::new(),
        }
    }

    fn restart(&mut self, i: usize, incarnation: u64, with_disk: bool) {
        // Its connections are gone, what it said before may still be under way.
        self.wire.retain(|m| m.0 .2 != i);
        let old = self.all[i].me.disk_id;
        let disk = if with_disk { self.all[i].disk.clone() } else { BootstrapState::Empty };
        let me = seat(i, incarnation, if with_disk { old } else { 1000 * incarnation + i as u64 });
        let joined = self.all[i].joined.filter(|_| with_disk);
        let founding = start(self.all.len(), me.clone(), disk.clone());
        self.all[i] = Process { me, founding, disk, joined };
    }

    /// `upto`: the process ends after as many acts.
    fn act(&mut self, i: usize, upto: usize) {
        for act in self.all[i].founding.ready().into_iter().take(upto) {
            match act {
                BootstrapAction::PersistAccepted(set) => self.all[i].disk = BootstrapState::Accepted(set),
                BootstrapAction::Bootstrapped { cluster_id: cluster, members } => {
                    self.sets.insert(cluster, members);
                    self.all[i].disk = BootstrapState::Bootstrapped(cluster);
                    self.all[i].joined = Some(cluster);
                }
                BootstrapAction::Join { cluster_id } => {
                    self.all[i].disk = BootstrapState::Bootstrapped(cluster_id);
                    self.all[i].joined = Some(cluster_id);
                }
                BootstrapAction::Broadcast(say) => {
                    let (life, bytes) = (say.voter.member.id.incarnation, say.encode());
                    let to = (0..self.all.len()).filter(|j| *j != i);
                    self.wire.extend(to.map(|j| ((i, life, j), bytes.clone())));
                }
                BootstrapAction::Failed(stuck) => self.stuck.push(stuck),
            }
        }
    }

    /// Clusters in which a majority of the founders' disks takes part: these can decide.
    fn deciding(&self) -> Vec<u64> {
        let part = |cluster: u64, set: &InitialMembers| {
            let holds = |me: &Voter| {
                set.voters().iter().any(|s| s.member.id.name == me.member.id.name && s.disk_id == me.disk_id)
            };
            let of = |p: &&Process| p.joined == Some(cluster) && holds(&p.me);
            2 * self.all.iter().filter(of).count() > set.voters().len()
        };
        self.sets.iter().filter(|(c, set)| part(**c, set)).map(|(c, _)| *c).collect()
    }
}

#[test]
fn one_cluster_is_founded_whoever_restarts_meanwhile() {
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
                play.all[i].founding.tick();
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
                    play.all[to].founding.receive(BootstrapMessage::decode(&bytes).expect("said"));
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
        assert!(play.stuck.is_empty(), "seed {seed}: {:?}", play.stuck);
        let joined: Vec<_> = play.all.iter().map(|p| p.joined).collect();
        assert!(decided.is_some() && joined.iter().all(|j| *j == decided), "seed {seed}: {joined:?}");
    }
    assert!(lost > 600, "{lost}");
}

#[test]
fn what_can_not_be_known_is_left_to_the_operator() {
    let names: Vec<Rc<str>> = ["m0", "m1", "m2"].map(Into::into).into();
    let set = InitialMembers::new((0..3).map(|i| seat(i, 1, i as u64)).collect());
    let mut left = Bootstrap::new("accra", &names, seat(0, 2, 0), BootstrapState::Accepted(set));
    for i in 1..3 {
        left.receive(BootstrapMessage { voter: seat(i, 2, 77), state: BootstrapState::Empty });
    }
    let lost = BootstrapError::MajorityLost(vec!["m1".into(), "m2".into()]);
    assert!(left.ready().contains(&BootstrapAction::Failed(lost)), "both may have gone on without it");

    let mut founded = Bootstrap::new("accra", &names, seat(0, 2, 0), BootstrapState::Bootstrapped(5));
    founded.receive(BootstrapMessage { voter: seat(1, 1, 1), state: BootstrapState::Bootstrapped(6) });
    let foreign = BootstrapError::OtherCluster { name: "m1".into(), cluster_id: 6 };
    assert!(founded.ready().contains(&BootstrapAction::Failed(foreign)));
    assert_eq!(founded.state(), &BootstrapState::Bootstrapped(5));
}

#[test]
fn a_founded_cluster_is_joined_and_one_member_founds_alone() {
    let names: Vec<Rc<str>> = ["m0", "m1"].map(Into::into).into();
    let mut new = Bootstrap::new("accra", &names, seat(0, 2, 9), BootstrapState::Empty);
    new.receive(BootstrapMessage { voter: seat(1, 1, 1), state: BootstrapState::Bootstrapped(6) });
    assert!(new.ready().contains(&BootstrapAction::Join { cluster_id: 6 }));
    let mut alone = Bootstrap::new("accra", &names[..1], seat(0, 1, 9), BootstrapState::Empty);
    let acts = alone.ready();
    let pin = acts.iter().position(|a| matches!(a, BootstrapAction::PersistAccepted(_)));
    let founded = acts.iter().position(|a| matches!(a, BootstrapAction::Bootstrapped { .. }));
    assert!(pin < founded && pin.is_some(), "{acts:?}");
}

#[test]
fn what_is_said_is_durable_before() {
    let names: Vec<Rc<str>> = ["m0", "m1"].map(Into::into).into();
    let mut member = Bootstrap::new("accra", &names, seat(0, 1, 0), BootstrapState::Empty);
    let set = InitialMembers::new((0..2).map(|i| seat(i, 1, i as u64)).collect());
    let at = |acts: &[BootstrapAction], what: &BootstrapAction| {
        acts.iter().position(|a| a == what).expect("an act")
    };
    let say = |stage| BootstrapAction::Broadcast(BootstrapMessage { voter: seat(0, 1, 0), state: stage });
    member.receive(BootstrapMessage { voter: seat(1, 1, 1), state: BootstrapState::Empty });
    let acts = member.ready();
    assert!(
        at(&acts, &BootstrapAction::PersistAccepted(set.clone()))
            < at(&acts, &say(BootstrapState::Accepted(set.clone()))),
        "{acts:?}"
    );
    member.receive(BootstrapMessage { voter: seat(1, 1, 1), state: BootstrapState::Accepted(set.clone()) });
    let acts = member.ready();
    let cluster = set.cluster_id("accra");
    assert!(
        at(&acts, &BootstrapAction::Bootstrapped { cluster_id: cluster, members: set })
            < at(&acts, &say(BootstrapState::Bootstrapped(cluster))),
        "{acts:?}"
    );
}

#[test]
fn only_a_disk_of_the_pinned_set_frees_its_pin() {
    let names: Vec<Rc<str>> = ["m0", "m1", "m2"].map(Into::into).into();
    let set = InitialMembers::new((0..3).map(|i| seat(i, 1, i as u64)).collect());
    let mut member = Bootstrap::new("accra", &names, seat(0, 1, 0), BootstrapState::Accepted(set.clone()));
    // The disk that m1 had before may be the one with which the set was founded.
    member.receive(BootstrapMessage { voter: seat(1, 2, 77), state: BootstrapState::Bootstrapped(6) });
    assert_eq!(member.state(), &BootstrapState::Accepted(set));
    member.receive(BootstrapMessage { voter: seat(2, 1, 2), state: BootstrapState::Bootstrapped(6) });
    assert_eq!(member.state(), &BootstrapState::Bootstrapped(6));
    assert!(member.ready().contains(&BootstrapAction::Join { cluster_id: 6 }));
}
