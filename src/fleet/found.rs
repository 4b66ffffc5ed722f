//! Founding: who are the first members? Those of the operator's file, once all of them are heard and none has been told
//! of a cluster. Pure: what is heard comes in, what is to be kept and done goes out.
//!
//! Each member pins the set of names, lives and disks that it sees, on its disk, before it says so. A set is founded when
//! all of its members were heard to have pinned it.
//!
//! Invariant: no two clusters of one file can both decide anything. A set is founded only with every member of it, so
//! two founded sets both hold a pin of each member whose disk is in both. A pin gives way to another set only while no
//! majority of the old set can have gone on: this member, and others that with it are a majority of the disks of the
//! old set, say with the same disks that they have not founded; and each that has pinned the later set refuses the
//! earlier one from then on. It goes back only when a member of the later set says itself that it is founded
//! elsewhere: then the later set never stands. Where most disks of a pinned set are gone nothing is decided here: the
//! operator has to say so.
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

use prost::Message as _;

use super::log::{fnv, form, mix, seat_in, seat_out, FormError, Seat, MOST_MEMBERS};

/// How far a member is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    Empty,
    Pinned(Set),
    /// It knows its cluster: it was founded with this set, or joined it later.
    Founded(u64),
}

/// The members of a founding, in the order of their names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Set(Rc<[Seat]>);

impl Set {
    fn new(mut seats: Vec<Seat>) -> Set {
        seats.sort_by(|a, b| a.member.id.cmp(&b.member.id));
        Set(seats.into())
    }

    pub fn seats(&self) -> &[Seat] {
        &self.0
    }

    /// The cluster's number: of its name and all its members with their lives and disks. Never 0.
    pub fn cluster(&self, name: &str) -> u64 {
        mix(fnv(name.as_bytes()) ^ mix(fnv(&self.encode()))).max(1)
    }

    fn holds(&self, name: &str, disk: u64) -> bool {
        self.0.iter().any(|s| &*s.member.id.name == name && s.disk == disk)
    }

    /// For the disk.
    pub fn encode(&self) -> Vec<u8> {
        Seats { seats: self.0.iter().map(seat_out).collect() }.encode_to_vec()
    }

    pub fn decode(bytes: &[u8]) -> Result<Set, FormError> {
        let seats = Seats::decode(bytes)?.seats;
        if seats.len() > MOST_MEMBERS {
            return Err(FormError::Undecodable(format!("{} members, {MOST_MEMBERS} at most", seats.len())));
        }
        Ok(Set::new(seats.into_iter().map(seat_in).collect::<Result<_, _>>()?))
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct Seats {
    #[prost(message, repeated, tag = "1")]
    seats: Vec<form::Seat>,
}

/// What a member says of itself, on each connection and at each tick while it founds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Say {
    pub seat: Seat,
    pub stage: Stage,
}

#[derive(Clone, PartialEq, prost::Message)]
struct SayForm {
    #[prost(message, optional, tag = "1")]
    seat: Option<form::Seat>,
    #[prost(bytes = "vec", optional, tag = "2")]
    pinned: Option<Vec<u8>>,
    #[prost(fixed64, tag = "3")]
    founded: u64,
}

impl Say {
    pub fn encode(&self) -> Vec<u8> {
        let (pinned, founded) = match &self.stage {
            Stage::Empty => (None, 0),
            Stage::Pinned(set) => (Some(set.encode()), 0),
            Stage::Founded(cluster) => (None, *cluster),
        };
        SayForm { seat: Some(seat_out(&self.seat)), pinned, founded }.encode_to_vec()
    }

    /// The caller has bounded the bytes.
    pub fn decode(bytes: &[u8]) -> Result<Say, FormError> {
        let said = SayForm::decode(bytes)?;
        let seat = seat_in(said.seat.ok_or(FormError::Missing("a member"))?)?;
        let stage = match (said.pinned, said.founded) {
            (None, 0) => Stage::Empty,
            (Some(set), 0) => Stage::Pinned(Set::decode(&set)?),
            (None, cluster) => Stage::Founded(cluster),
            _ => return Err(FormError::Undecodable("pinned and founded at once".into())),
        };
        Ok(Say { seat, stage })
    }
}

/// To be done in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoundAct {
    /// Durable before anything is said.
    Pin(Set),
    /// To every member of the file, and again at each tick.
    Say(Say),
    /// All have pinned it: the log starts with [`super::log::Stored::founded`], durable first.
    Founded { cluster: u64, set: Set },
    /// A cluster stands without this life: the log starts with [`super::log::Stored::joining`], durable first, and this
    /// member asks to be admitted.
    Join { cluster: u64 },
    /// Nothing more is done here before the operator looks; said once.
    Stuck(Stuck),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stuck {
    /// Most disks of the pinned set were replaced: it may have gone on without this member.
    Lost(Vec<Rc<str>>),
    /// A member of the file is in a cluster that this one is not of.
    Foreign { name: Rc<str>, cluster: u64 },
}

impl fmt::Display for Stuck {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Stuck::Lost(names) => write!(
                f,
                "founding was broken off: most disks of it are gone ({}); remove the stores of the others to found anew",
                names.join(", ")
            ),
            Stuck::Foreign { name, cluster } => write!(f, "'{name}' is of another cluster, {cluster:x}"),
        }
    }
}

pub struct Founding {
    name: Rc<str>,
    /// The names of the operator's file.
    names: Vec<Rc<str>>,
    me: Seat,
    stage: Stage,
    /// What each of them said last.
    said: BTreeMap<Rc<str>, Say>,
    stuck: Option<Stuck>,
    acts: Vec<FoundAct>,
}

impl Founding {
    /// `stage` is what the disk says. `name` is that of the cluster; `names` are those of the file, this one among them.
    pub fn new(name: &str, names: &[Rc<str>], me: Seat, stage: Stage) -> Founding {
        let mut founding = Founding {
            name: name.into(),
            names: names.to_vec(),
            me,
            stage,
            said: BTreeMap::new(),
            stuck: None,
            acts: Vec::new(),
        };
        founding.say();
        founding.look();
        founding
    }

    pub fn stage(&self) -> &Stage {
        &self.stage
    }

    pub fn tick(&mut self) {
        self.say();
    }

    /// What another member said of itself. Whoever is not in the file is not asked; a founded one is heeded whoever it
    /// is, for members join later.
    pub fn hear(&mut self, say: Say) {
        let name = say.seat.member.id.name.clone();
        if name == self.me.member.id.name {
            return;
        }
        if let Stage::Founded(cluster) = say.stage {
            self.told(&name, say.seat.disk, cluster);
        }
        if self.names.contains(&name) {
            self.said.insert(name, say);
            self.look();
        }
    }

    /// That member is not heard any more: what it said may have changed.
    pub fn silent(&mut self, name: &str) {
        self.said.remove(name);
    }

    pub fn ready(&mut self) -> Vec<FoundAct> {
        std::mem::take(&mut self.acts)
    }

    fn say(&mut self) {
        let say = FoundAct::Say(Say { seat: self.me.clone(), stage: self.stage.clone() });
        if !self.acts.contains(&say) {
            self.acts.push(say);
        }
    }

    fn told(&mut self, name: &Rc<str>, disk: u64, cluster: u64) {
        match &self.stage {
            Stage::Founded(own) if *own == cluster => {}
            Stage::Founded(_) => self.stick(Stuck::Foreign { name: name.clone(), cluster }),
            Stage::Pinned(set) if set.cluster(&self.name) == cluster => self.found(set.clone()),
            // This set never stands any more: one that is of it, on the disk that it names, is of another cluster.
            Stage::Pinned(set) if set.holds(name, disk) => self.join(cluster),
            // The teller is a new disk of a name; those of the set are asked.
            Stage::Pinned(_) => {}
            Stage::Empty => self.join(cluster),
        }
    }

    fn join(&mut self, cluster: u64) {
        self.stage = Stage::Founded(cluster);
        self.acts.push(FoundAct::Join { cluster });
        self.say();
    }

    fn found(&mut self, set: Set) {
        let cluster = set.cluster(&self.name);
        self.stage = Stage::Founded(cluster);
        self.acts.push(FoundAct::Founded { cluster, set });
        self.say();
    }

    fn stick(&mut self, stuck: Stuck) {
        if self.stuck.as_ref() != Some(&stuck) {
            self.acts.push(FoundAct::Stuck(stuck.clone()));
            self.stuck = Some(stuck);
        }
    }

    fn look(&mut self) {
        if matches!(self.stage, Stage::Founded(_)) {
            return;
        }
        let own = self.me.member.id.name.clone();
        let others: Vec<Rc<str>> = self.names.iter().filter(|n| **n != own).cloned().collect();
        if !others.iter().all(|n| self.said.get(n).is_some_and(|s| !matches!(s.stage, Stage::Founded(_)))) {
            return;
        }
        let mut seats: Vec<Seat> = others.iter().filter_map(|n| self.said.get(n)).map(|s| s.seat.clone()).collect();
        seats.push(self.me.clone());
        let seen = Set::new(seats);
        let pinned = match &self.stage {
            Stage::Pinned(set) => Some(set.clone()),
            _ => None,
        };
        if pinned.as_ref() != Some(&seen) {
            if let Some(set) = pinned {
                let gone: Vec<Rc<str>> = set
                    .seats()
                    .iter()
                    .filter(|s| !seen.holds(&s.member.id.name, s.disk))
                    .map(|s| s.member.id.name.clone())
                    .collect();
                if 2 * (set.seats().len() - gone.len()) <= set.seats().len() {
                    return self.stick(Stuck::Lost(gone));
                }
            }
            self.stage = Stage::Pinned(seen.clone());
            self.acts.push(FoundAct::Pin(seen.clone()));
            self.say();
        }
        let all = others.iter().all(|n| self.said.get(n).is_some_and(|s| s.stage == Stage::Pinned(seen.clone())));
        if all {
            self.found(seen);
        }
    }
}

#[cfg(test)]
mod tests {
    use rand_core::{RngCore, SeedableRng};
    use rand_pcg::Pcg64Mcg;

    use super::super::{Member, MemberId};
    use super::*;

    fn seat(n: usize, incarnation: u64, disk: u64) -> Seat {
        let id = MemberId::new(&format!("m{n}"), incarnation);
        let address = ([127, 0, 0, 1], n as u16 + 1).into();
        Seat { member: Member { id, zone: "z".into(), address }, disk }
    }

    struct Process {
        founding: Founding,
        disk: Stage,
        joined: Option<u64>,
    }

    struct Play {
        all: Vec<Process>,
        wire: Vec<(usize, Vec<u8>)>,
        stuck: Vec<Stuck>,
        sets: BTreeMap<u64, Set>,
    }

    fn start(of: usize, seat: Seat, disk: Stage) -> Founding {
        let names: Vec<Rc<str>> = (0..of).map(|i| format!("m{i}").as_str().into()).collect();
        Founding::new("accra", &names, seat, disk)
    }

    impl Play {
        fn new(n: usize) -> Play {
            let process = |i| Process {
                founding: start(n, seat(i, 1, 100 + i as u64), Stage::Empty),
                disk: Stage::Empty,
                joined: None,
            };
            Play { all: (0..n).map(process).collect(), wire: Vec::new(), stuck: Vec::new(), sets: BTreeMap::new() }
        }

        fn restart(&mut self, i: usize, incarnation: u64, with_disk: bool) {
            let old = self.all[i].founding.me.disk;
            let disk = if with_disk { self.all[i].disk.clone() } else { Stage::Empty };
            let me = seat(i, incarnation, if with_disk { old } else { 1000 * incarnation + i as u64 });
            let joined = self.all[i].joined.filter(|_| with_disk);
            self.all[i] = Process { founding: start(self.all.len(), me, disk.clone()), disk, joined };
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
                        let to = (0..self.all.len()).filter(|j| *j != i);
                        self.wire.extend(to.map(|j| (j, say.encode())));
                    }
                    FoundAct::Stuck(stuck) => self.stuck.push(stuck),
                }
            }
        }

        /// Clusters in which a majority of the founders' disks takes part: these can decide.
        fn deciding(&self) -> Vec<u64> {
            let part = |cluster: u64, set: &Set| {
                let of = |p: &&Process| {
                    p.joined == Some(cluster) && set.holds(&p.founding.me.member.id.name, p.founding.me.disk)
                };
                2 * self.all.iter().filter(of).count() > set.seats().len()
            };
            self.sets.iter().filter(|(c, set)| part(**c, set)).map(|(c, _)| *c).collect()
        }
    }

    #[test]
    fn one_cluster_is_founded_whoever_restarts_meanwhile() {
        let mut lost = 0;
        for seed in 0..3000u64 {
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
                    // In any order, and some of them never: a member keeps saying how far it is.
                    let (to, bytes) = play.wire.swap_remove(pick(play.wire.len()));
                    if calm || pick(5) > 0 {
                        play.all[to].founding.hear(Say::decode(&bytes).expect("said"));
                        play.act(to, if calm || pick(20) > 0 { usize::MAX } else { pick(3) });
                    }
                }
                if !calm && pick(40) == 0 {
                    // A minority of all disks is lost; what the old life said may still be under way.
                    let with_disk = disks >= (n - 1) / 2 || pick(2) == 0;
                    disks += usize::from(!with_disk);
                    play.restart(i, 2 + round as u64, with_disk);
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
        assert!(lost > 1000, "{lost}");
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
}
