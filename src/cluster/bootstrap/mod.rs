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
pub mod first_configuration;

use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

use prost::Message as _;

use super::consensus_log::{decode_voter, encode_voter, fnv, mix, wire, DecodeError, Voter, MAX_MEMBERS};

/// How far a member is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BootstrapState {
    Empty,
    Accepted(InitialMembers),
    /// It knows its cluster: it was founded with this set, or joined it later.
    Bootstrapped(u64),
}

/// The members of a founding, in the order of their names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InitialMembers(Rc<[Voter]>);

impl InitialMembers {
    pub fn new(mut seats: Vec<Voter>) -> InitialMembers {
        seats.sort_by(|a, b| a.member.id.cmp(&b.member.id));
        InitialMembers(seats.into())
    }

    pub fn voters(&self) -> &[Voter] {
        &self.0
    }

    /// The cluster's number: of its name and all its members with their lives and disks. Never 0.
    pub fn cluster_id(&self, name: &str) -> u64 {
        mix(fnv(name.as_bytes()) ^ mix(fnv(&self.encode()))).max(1)
    }

    fn holds(&self, name: &str, disk: u64) -> bool {
        self.0.iter().any(|s| &*s.member.id.name == name && s.disk_id == disk)
    }

    /// For the disk.
    pub fn encode(&self) -> Vec<u8> {
        Seats { seats: self.0.iter().map(encode_voter).collect() }.encode_to_vec()
    }

    pub fn decode(bytes: &[u8]) -> Result<InitialMembers, DecodeError> {
        let seats = Seats::decode(bytes)?.seats;
        if seats.len() > MAX_MEMBERS {
            return Err(DecodeError::Undecodable(format!("{} members, {MAX_MEMBERS} at most", seats.len())));
        }
        Ok(InitialMembers::new(seats.into_iter().map(decode_voter).collect::<Result<_, _>>()?))
    }
}

#[derive(Clone, PartialEq, prost::Message)]
struct Seats {
    #[prost(message, repeated, tag = "1")]
    seats: Vec<wire::Voter>,
}

/// What a member says of itself, on each connection and at each tick while it founds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BootstrapMessage {
    pub voter: Voter,
    pub state: BootstrapState,
}

#[derive(Clone, PartialEq, prost::Message)]
struct SayForm {
    #[prost(message, optional, tag = "1")]
    seat: Option<wire::Voter>,
    #[prost(bytes = "vec", optional, tag = "2")]
    pinned: Option<Vec<u8>>,
    #[prost(fixed64, tag = "3")]
    founded: u64,
}

impl BootstrapMessage {
    pub fn encode(&self) -> Vec<u8> {
        let (pinned, founded) = match &self.state {
            BootstrapState::Empty => (None, 0),
            BootstrapState::Accepted(set) => (Some(set.encode()), 0),
            BootstrapState::Bootstrapped(cluster) => (None, *cluster),
        };
        SayForm { seat: Some(encode_voter(&self.voter)), pinned, founded }.encode_to_vec()
    }

    /// The caller has bounded the bytes.
    pub fn decode(bytes: &[u8]) -> Result<BootstrapMessage, DecodeError> {
        let said = SayForm::decode(bytes)?;
        let seat = decode_voter(said.seat.ok_or(DecodeError::MissingField("a member"))?)?;
        let stage = match (said.pinned, said.founded) {
            (None, 0) => BootstrapState::Empty,
            (Some(set), 0) => BootstrapState::Accepted(InitialMembers::decode(&set)?),
            (None, cluster) => BootstrapState::Bootstrapped(cluster),
            _ => return Err(DecodeError::Undecodable("pinned and founded at once".into())),
        };
        Ok(BootstrapMessage { voter: seat, state: stage })
    }
}

/// To be done in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BootstrapAction {
    /// Durable before anything is said.
    PersistAccepted(InitialMembers),
    /// To every member of the file, and again at each tick.
    Broadcast(BootstrapMessage),
    /// All have pinned it: the log starts with [`super::log::Stored::founded`], durable first.
    Bootstrapped { cluster_id: u64, members: InitialMembers },
    /// A cluster stands without this life: the log starts with [`super::log::Stored::joining`], durable first, and this
    /// member asks to be admitted.
    Join { cluster_id: u64 },
    /// Nothing more is done here before the operator looks; said once.
    Failed(BootstrapError),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BootstrapError {
    /// Most disks of the pinned set were replaced: it may have gone on without this member.
    MajorityLost(Vec<Rc<str>>),
    /// A member of the file is in a cluster that this one is not of.
    OtherCluster { name: Rc<str>, cluster_id: u64 },
}

impl fmt::Display for BootstrapError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BootstrapError::MajorityLost(names) => write!(
                f,
                "founding was broken off: most disks of it are gone ({}); remove the stores of the others to found anew",
                names.join(", ")
            ),
            BootstrapError::OtherCluster { name, cluster_id } => write!(f, "'{name}' is of another cluster, {cluster_id:x}"),
        }
    }
}

pub struct Bootstrap {
    name: Rc<str>,
    /// The names of the operator's file.
    names: Vec<Rc<str>>,
    me: Voter,
    stage: BootstrapState,
    /// What each of them said last.
    said: BTreeMap<Rc<str>, BootstrapMessage>,
    stuck: Option<BootstrapError>,
    acts: Vec<BootstrapAction>,
}

impl Bootstrap {
    /// `stage` is what the disk says. `name` is that of the cluster; `names` are those of the file, this one among them.
    pub fn new(name: &str, names: &[Rc<str>], me: Voter, stage: BootstrapState) -> Bootstrap {
        let mut founding = Bootstrap {
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

    pub fn state(&self) -> &BootstrapState {
        &self.stage
    }

    pub fn tick(&mut self) {
        self.say();
    }

    /// What another member said of itself. What one life says comes in order (the same connection, or none of an earlier
    /// one after it); what an earlier life said may come at any time. The incarnations of a name rise with each start.
    /// Whoever is not in the file is not asked; a founded one is heeded whoever it is, for members join later.
    pub fn receive(&mut self, say: BootstrapMessage) {
        let name = say.voter.member.id.name.clone();
        let later =
            |held: &BootstrapMessage| held.voter.member.id.incarnation > say.voter.member.id.incarnation;
        if name == self.me.member.id.name || self.said.get(&name).is_some_and(later) {
            // An earlier life of that name, overtaken by the later one.
            return;
        }
        if let BootstrapState::Bootstrapped(cluster) = say.state {
            self.told(&name, say.voter.disk_id, cluster);
        }
        if self.names.contains(&name) {
            self.said.insert(name, say);
            self.look();
        }
    }

    pub fn ready(&mut self) -> Vec<BootstrapAction> {
        std::mem::take(&mut self.acts)
    }

    fn say(&mut self) {
        let say = BootstrapAction::Broadcast(BootstrapMessage {
            voter: self.me.clone(),
            state: self.stage.clone(),
        });
        if !self.acts.contains(&say) {
            self.acts.push(say);
        }
    }

    fn told(&mut self, name: &Rc<str>, disk: u64, cluster: u64) {
        match &self.stage {
            BootstrapState::Bootstrapped(own) if *own == cluster => {}
            BootstrapState::Bootstrapped(_) => {
                self.stick(BootstrapError::OtherCluster { name: name.clone(), cluster_id: cluster })
            }
            BootstrapState::Accepted(set) if set.cluster_id(&self.name) == cluster => self.found(set.clone()),
            // This set never stands any more: one that is of it, on the disk that it names, is of another cluster.
            BootstrapState::Accepted(set) if set.holds(name, disk) => self.join(cluster),
            // The teller is a new disk of a name; those of the set are asked.
            BootstrapState::Accepted(_) => {}
            BootstrapState::Empty => self.join(cluster),
        }
    }

    fn join(&mut self, cluster: u64) {
        self.stage = BootstrapState::Bootstrapped(cluster);
        self.acts.push(BootstrapAction::Join { cluster_id: cluster });
        self.say();
    }

    fn found(&mut self, set: InitialMembers) {
        let cluster = set.cluster_id(&self.name);
        self.stage = BootstrapState::Bootstrapped(cluster);
        self.acts.push(BootstrapAction::Bootstrapped { cluster_id: cluster, members: set });
        self.say();
    }

    fn stick(&mut self, stuck: BootstrapError) {
        if self.stuck.as_ref() != Some(&stuck) {
            self.acts.push(BootstrapAction::Failed(stuck.clone()));
            self.stuck = Some(stuck);
        }
    }

    fn look(&mut self) {
        if matches!(self.stage, BootstrapState::Bootstrapped(_)) {
            return;
        }
        let own = self.me.member.id.name.clone();
        let others: Vec<Rc<str>> = self.names.iter().filter(|n| **n != own).cloned().collect();
        if !others
            .iter()
            .all(|n| self.said.get(n).is_some_and(|s| !matches!(s.state, BootstrapState::Bootstrapped(_))))
        {
            return;
        }
        let mut seats: Vec<Voter> =
            others.iter().filter_map(|n| self.said.get(n)).map(|s| s.voter.clone()).collect();
        seats.push(self.me.clone());
        let seen = InitialMembers::new(seats);
        let pinned = match &self.stage {
            BootstrapState::Accepted(set) => Some(set.clone()),
            _ => None,
        };
        if pinned.as_ref() != Some(&seen) {
            if let Some(set) = pinned {
                let gone: Vec<Rc<str>> = set
                    .voters()
                    .iter()
                    .filter(|s| !seen.holds(&s.member.id.name, s.disk_id))
                    .map(|s| s.member.id.name.clone())
                    .collect();
                if 2 * (set.voters().len() - gone.len()) <= set.voters().len() {
                    return self.stick(BootstrapError::MajorityLost(gone));
                }
            }
            self.stage = BootstrapState::Accepted(seen.clone());
            self.acts.push(BootstrapAction::PersistAccepted(seen.clone()));
            self.say();
        }
        let all = others
            .iter()
            .all(|n| self.said.get(n).is_some_and(|s| s.state == BootstrapState::Accepted(seen.clone())));
        if all {
            self.found(seen);
        }
    }
}
