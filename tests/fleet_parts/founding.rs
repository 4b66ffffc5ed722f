//! Founding members of a fleet with a log, that lose messages, processes and disks.
use std::collections::BTreeMap;
use std::rc::Rc;

use marlgap::cluster::bootstrap::{FoundAct, Founding, Say, Set, Stage, Stuck};
use marlgap::cluster::consensus_log::Seat;
use marlgap::cluster::{Member, MemberId};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn seat(n: usize, incarnation: u64, disk: u64) -> Seat {
    let id = MemberId::new(&format!("m{n}"), incarnation);
    let address = ([127, 0, 0, 1], n as u16 + 1).into();
    Seat { member: Member { id, zone: "z".into(), address }, disk }
}

struct Process {
    me: Seat,
    founding: Founding,
    disk: Stage,
    joined: Option<u64>,
}

struct Play {
    all: Vec<Process>,
    /// From, its life, to.
    wire: Vec<((usize, u64, usize), Vec<u8>)>,
    stuck: Vec<Stuck>,
    sets: BTreeMap<u64, Set>,
}

fn start(of: usize, seat: Seat, disk: Stage) -> Founding {
    let names: Vec<Rc<str>> = (0..of).map(|i| format!("m{i}").as_str().into()).collect();
    Founding::new("accra", &names, seat, disk)
}

impl Play {
    fn new(n: usize) -> Play {
        let process = |i| {
            let me = seat(i, 1, 100 + i as u64);
            let founding = start(n, me.clone(), Stage::Empty);
            Process { me, founding, disk: Stage::Empty, joined: None }
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
        let old = self.all[i].me.disk;
        let disk = if with_disk { self.all[i].disk.clone() } else { Stage::Empty };
        let me = seat(i, incarnation, if with_disk { old } else { 1000 * incarnation + i as u64 });
        let joined = self.all[i].joined.filter(|_| with_disk);
        let founding = start(self.all.len(), me.clone(), disk.clone());
        self.all[i] = Process { me, founding, disk, joined };
    }

    /// `upto`: the process ends after as many acts.
    fn act(&mut self, i: usize, upto: usize) {
        for act in self.all[i].founding.ready().into_iter().take(upto) {
            match act {
                FoundAct::Pin(set) => self.all[i].disk = Stage::Pinned(set),
                FoundAct::Founded { cluster, set } => {
                    self.sets.insert(cluster, set);
                    self.all[i].disk = Stage::Founded(cluster);
                    self.all[i].joined = Some(cluster);
                }
                FoundAct::Join { cluster } => {
                    self.all[i].disk = Stage::Founded(cluster);
                    self.all[i].joined = Some(cluster);
                }
                FoundAct::Say(say) => {
                    let (life, bytes) = (say.seat.member.id.incarnation, say.encode());
                    let to = (0..self.all.len()).filter(|j| *j != i);
                    self.wire.extend(to.map(|j| ((i, life, j), bytes.clone())));
                }
                FoundAct::Stuck(stuck) => self.stuck.push(stuck),
            }
        }
    }

    /// Clusters in which a majority of the founders' disks takes part: these can decide.
    fn deciding(&self) -> Vec<u64> {
        let part = |cluster: u64, set: &Set| {
            let holds = |me: &Seat| {
                set.seats().iter().any(|s| s.member.id.name == me.member.id.name && s.disk == me.disk)
            };
            let of = |p: &&Process| p.joined == Some(cluster) && holds(&p.me);
            2 * self.all.iter().filter(of).count() > set.seats().len()
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
                    play.all[to].founding.hear(Say::decode(&bytes).expect("said"));
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
    let set = Set::new((0..3).map(|i| seat(i, 1, i as u64)).collect());
    let mut left = Founding::new("accra", &names, seat(0, 2, 0), Stage::Pinned(set));
    for i in 1..3 {
        left.hear(Say { seat: seat(i, 2, 77), stage: Stage::Empty });
    }
    let lost = Stuck::Lost(vec!["m1".into(), "m2".into()]);
    assert!(left.ready().contains(&FoundAct::Stuck(lost)), "both may have gone on without it");

    let mut founded = Founding::new("accra", &names, seat(0, 2, 0), Stage::Founded(5));
    founded.hear(Say { seat: seat(1, 1, 1), stage: Stage::Founded(6) });
    let foreign = Stuck::Foreign { name: "m1".into(), cluster: 6 };
    assert!(founded.ready().contains(&FoundAct::Stuck(foreign)));
    assert_eq!(founded.stage(), &Stage::Founded(5));
}

#[test]
fn a_founded_cluster_is_joined_and_one_member_founds_alone() {
    let names: Vec<Rc<str>> = ["m0", "m1"].map(Into::into).into();
    let mut new = Founding::new("accra", &names, seat(0, 2, 9), Stage::Empty);
    new.hear(Say { seat: seat(1, 1, 1), stage: Stage::Founded(6) });
    assert!(new.ready().contains(&FoundAct::Join { cluster: 6 }));
    let mut alone = Founding::new("accra", &names[..1], seat(0, 1, 9), Stage::Empty);
    let acts = alone.ready();
    let pin = acts.iter().position(|a| matches!(a, FoundAct::Pin(_)));
    let founded = acts.iter().position(|a| matches!(a, FoundAct::Founded { .. }));
    assert!(pin < founded && pin.is_some(), "{acts:?}");
}

#[test]
fn what_is_said_is_durable_before() {
    let names: Vec<Rc<str>> = ["m0", "m1"].map(Into::into).into();
    let mut member = Founding::new("accra", &names, seat(0, 1, 0), Stage::Empty);
    let set = Set::new((0..2).map(|i| seat(i, 1, i as u64)).collect());
    let at = |acts: &[FoundAct], what: &FoundAct| acts.iter().position(|a| a == what).expect("an act");
    let say = |stage| FoundAct::Say(Say { seat: seat(0, 1, 0), stage });
    member.hear(Say { seat: seat(1, 1, 1), stage: Stage::Empty });
    let acts = member.ready();
    assert!(at(&acts, &FoundAct::Pin(set.clone())) < at(&acts, &say(Stage::Pinned(set.clone()))), "{acts:?}");
    member.hear(Say { seat: seat(1, 1, 1), stage: Stage::Pinned(set.clone()) });
    let acts = member.ready();
    let cluster = set.cluster("accra");
    assert!(
        at(&acts, &FoundAct::Founded { cluster, set }) < at(&acts, &say(Stage::Founded(cluster))),
        "{acts:?}"
    );
}

#[test]
fn only_a_disk_of_the_pinned_set_frees_its_pin() {
    let names: Vec<Rc<str>> = ["m0", "m1", "m2"].map(Into::into).into();
    let set = Set::new((0..3).map(|i| seat(i, 1, i as u64)).collect());
    let mut member = Founding::new("accra", &names, seat(0, 1, 0), Stage::Pinned(set.clone()));
    // The disk that m1 had before may be the one with which the set was founded.
    member.hear(Say { seat: seat(1, 2, 77), stage: Stage::Founded(6) });
    assert_eq!(member.stage(), &Stage::Pinned(set));
    member.hear(Say { seat: seat(2, 1, 2), stage: Stage::Founded(6) });
    assert_eq!(member.stage(), &Stage::Founded(6));
    assert!(member.ready().contains(&FoundAct::Join { cluster: 6 }));
}
