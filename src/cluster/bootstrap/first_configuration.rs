//! The first configuration of a fleet that keeps no log: agreed once by the founding members of the operator's file.
//!
//! The first by name leads. Once it has heard all founding members it proposes their lives (names with incarnations);
//! when all have taken the proposal, epoch 1 is formed. Who starts later is told of it and counts for nothing in it.
//!
//! Invariant: while one of its lives goes on, no list but one is formed. A list is formed only when each of its lives
//! holds it, a life holds one list at a time, and it lets that go only where the list can not have been formed: the life
//! that proposed it says so by proposing anew (it proposes only until one is formed), or a later leader found a life of
//! the list that never held it. It does not outlast a loss of all members at once: that takes the log.
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::cluster::{Configuration, Member, MemberId, Micros};

/// Time between repeats, in microseconds: a founding waits for the slowest start anyhow.
const REPEAT: Micros = 100_000;

/// A founding member's life, as proposed.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct InitialMember {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(string, tag = "3")]
    pub zone: String,
}

/// The leader's incarnation and the number of its proposal.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Message)]
pub struct Ballot {
    #[prost(uint64, tag = "1")]
    pub leader: u64,
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum MessageKind {
    /// Asks whether epoch 1 is formed.
    Query = 0,
    /// Take `lives` in `round`; whatever was proposed up to `over` was not formed.
    Propose = 1,
    /// The proposal of `round` is held.
    Accepted = 2,
    /// It is not: `lives` of the round `over` are held.
    Rejected = 3,
    /// Epoch 1 consists of `lives`.
    Decided = 4,
}

/// What founding members tell each other.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ConfigurationMessage {
    #[prost(enumeration = "MessageKind", tag = "1")]
    pub kind: i32,
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    #[prost(message, required, tag = "3")]
    pub superseded: Ballot,
    #[prost(message, repeated, tag = "4")]
    pub members: Vec<InitialMember>,
}

impl ConfigurationMessage {
    fn new(kind: MessageKind, round: Ballot, over: Ballot, lives: &[InitialMember]) -> ConfigurationMessage {
        ConfigurationMessage { kind: kind.into(), ballot: round, superseded: over, members: lives.to_vec() }
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        to: MemberId,
        message: ConfigurationMessage,
    },
    /// Epoch 1.
    Decided(Configuration),
    /// Another member's file names other founding members or zones: nothing was taken over.
    ConfigurationMismatch(MemberId),
}

/// A proposal under way at its leader.
struct Proposal {
    round: Ballot,
    over: Ballot,
    lives: Vec<InitialMember>,
    /// By name: `None` took it, others hold an earlier one.
    answers: BTreeMap<Rc<str>, Option<(Ballot, Vec<InitialMember>)>>,
}

pub struct LoglessBootstrap {
    me: MemberId,
    /// By name, as this member's file has them.
    members: Rc<[Member]>,
    heard: BTreeMap<Rc<str>, InitialMember>,
    held: Option<(Ballot, Vec<InitialMember>)>,
    formed: Option<Vec<InitialMember>>,
    proposal: Option<Proposal>,
    due: Option<Micros>,
    /// Whom to ask beside the leader.
    turn: usize,
    acts: Vec<Action>,
}

impl LoglessBootstrap {
    /// `members` by name, with this one among them.
    pub fn new(now: Micros, me: MemberId, members: Rc<[Member]>) -> LoglessBootstrap {
        let (heard, acts) = Default::default();
        let (held, formed, proposal, due) = (None, None, None, Some(now + REPEAT));
        let zone = members.iter().find(|m| m.id.name == me.name).map(|m| m.zone.clone());
        let mut founding =
            LoglessBootstrap { me: me.clone(), members, heard, held, formed, proposal, due, turn: 0, acts };
        founding.peer_seen(&me, &zone.unwrap_or_else(|| "".into()));
        founding
    }

    /// A member said hello; a later life takes the place of an earlier one.
    pub fn peer_seen(&mut self, id: &MemberId, zone: &str) {
        if let Some(lives) = &self.formed {
            let note =
                ConfigurationMessage::new(MessageKind::Decided, Ballot::default(), Ballot::default(), lives);
            self.acts.push(Action::Send { to: id.clone(), message: note });
            return;
        }
        let later = |l: &InitialMember| l.incarnation < id.incarnation;
        if self.members.iter().any(|m| m.id.name == id.name) && self.heard.get(&id.name).is_none_or(later) {
            let life = InitialMember {
                name: id.name.to_string(),
                incarnation: id.incarnation,
                zone: zone.to_string(),
            };
            self.heard.insert(id.name.clone(), life);
            self.propose(Ballot::default());
        }
    }

    pub fn receive(&mut self, from: &MemberId, note: ConfigurationMessage) {
        let Ok(kind) = MessageKind::try_from(note.kind) else { return };
        if let (Some(lives), true) = (&self.formed, matches!(kind, MessageKind::Query | MessageKind::Propose))
        {
            let note = ConfigurationMessage::new(MessageKind::Decided, note.ballot, note.superseded, lives);
            self.acts.push(Action::Send { to: from.clone(), message: note });
            return;
        }
        match kind {
            MessageKind::Query => {}
            MessageKind::Propose => self.take(from, note),
            MessageKind::Accepted => self.answered(from, note.ballot, None),
            MessageKind::Rejected => self.answered(from, note.ballot, Some((note.superseded, note.members))),
            MessageKind::Decided if self.formed.is_none() => match self.like_ours(&note.members) {
                true => self.form(note.members),
                false => self.acts.push(Action::ConfigurationMismatch(from.clone())),
            },
            MessageKind::Decided => {}
        }
    }

    /// When [`Founding::tick`] wants to be called.
    pub fn next_tick_at(&self) -> Option<Micros> {
        self.due
    }

    /// Repeat what may have been lost.
    pub fn tick(&mut self, now: Micros) {
        if self.formed.is_some() || self.due.is_none_or(|due| due > now) {
            return;
        }
        self.due = Some(now + REPEAT);
        let peers: Vec<MemberId> = self.peers().collect();
        if let Some(p) = &self.proposal {
            let open = peers.into_iter().filter(|id| !p.answers.contains_key(&id.name));
            let note = ConfigurationMessage::new(MessageKind::Propose, p.round, p.over, &p.lives);
            self.acts.extend(open.map(|to| Action::Send { to, message: note.clone() }));
            return;
        }
        // The leader, and each time another one: it may be gone, and one that knows is enough.
        self.turn += 1;
        let other = peers.get(self.turn % peers.len().max(1));
        let note = ConfigurationMessage::new(MessageKind::Query, Ballot::default(), Ballot::default(), &[]);
        let asked = peers.first().into_iter().chain(other);
        self.acts.extend(asked.map(|to| Action::Send { to: to.clone(), message: note.clone() }));
    }

    pub fn ready(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.acts)
    }

    /// The lives that were heard of, without this one, by name.
    fn peers(&self) -> impl Iterator<Item = MemberId> + '_ {
        let ids = self.heard.values().map(|l| MemberId::new(&l.name, l.incarnation));
        ids.filter(|id| id.name != self.me.name)
    }

    /// As the leader: propose all lives, once all are heard of.
    fn propose(&mut self, over: Ballot) {
        let leads = self.members.first().is_some_and(|m| m.id.name == self.me.name);
        if !leads || self.formed.is_some() || self.heard.len() < self.members.len() {
            return;
        }
        let lives: Vec<InitialMember> = self.heard.values().cloned().collect();
        if !self.like_ours(&lives) {
            let other =
                |l: &&InitialMember| !self.members.iter().any(|m| *m.id.name == l.name && *m.zone == l.zone);
            let differs = lives.iter().find(other).map(|l| MemberId::new(&l.name, l.incarnation));
            self.acts.extend(differs.map(Action::ConfigurationMismatch));
            return;
        }
        let (number, before) =
            self.proposal.as_ref().map_or((1, Ballot::default()), |p| (p.round.number + 1, p.over));
        let (round, over) = (Ballot { leader: self.me.incarnation, number }, over.max(before));
        let note = ConfigurationMessage::new(MessageKind::Propose, round, over, &lives);
        self.acts
            .extend(self.peers().map(|to| Action::Send { to, message: note.clone() }).collect::<Vec<_>>());
        self.proposal = Some(Proposal { round, over, lives, answers: BTreeMap::new() });
        self.take(&self.me.clone(), note);
    }

    /// A leader's proposal.
    fn take(&mut self, from: &MemberId, note: ConfigurationMessage) {
        let mine = |l: &InitialMember| *l.name == *self.me.name && l.incarnation == self.me.incarnation;
        if !note.members.iter().any(mine) {
            return;
        }
        if !self.like_ours(&note.members) {
            return self.acts.push(Action::ConfigurationMismatch(from.clone()));
        }
        // The guard of the invariant: what is held is let go only where it can not have been formed.
        let free = self.held.as_ref().is_none_or(|(held, _)| {
            let same_leader = held.leader == note.ballot.leader && held.number <= note.ballot.number;
            same_leader || *held <= note.superseded
        });
        let answer = if free {
            self.held = Some((note.ballot, note.members));
            None
        } else {
            self.held.clone()
        };
        if *from == self.me {
            return self.answered(from, note.ballot, answer);
        }
        let note = match answer {
            None => ConfigurationMessage::new(MessageKind::Accepted, note.ballot, Ballot::default(), &[]),
            Some((held, lives)) => {
                ConfigurationMessage::new(MessageKind::Rejected, note.ballot, held, &lives)
            }
        };
        self.acts.push(Action::Send { to: from.clone(), message: note });
    }

    /// As the leader: what became of the proposal at one member.
    fn answered(&mut self, from: &MemberId, round: Ballot, holds: Option<(Ballot, Vec<InitialMember>)>) {
        let Some(p) = self.proposal.as_mut().filter(|p| p.round == round) else { return };
        let is_in = |l: &InitialMember| *l.name == *from.name && l.incarnation == from.incarnation;
        if self.formed.is_some() || !p.lives.iter().any(is_in) {
            return;
        }
        p.answers.insert(from.name.clone(), holds);
        if p.answers.len() < p.lives.len() {
            return;
        }
        let Some((held, lives)) = p.answers.values().flatten().max_by_key(|h| h.0).cloned() else {
            let lives = p.lives.clone();
            return self.form(lives);
        };
        // A life of that list took this proposal, so it never held that one.
        let refuted =
            lives.iter().any(|l| p.lives.contains(l) && matches!(p.answers.get(&*l.name), Some(None)));
        match refuted {
            true => self.propose(held),
            false if self.like_ours(&lives) => self.form(lives),
            false => self.acts.push(Action::ConfigurationMismatch(from.clone())),
        }
    }

    /// Whether these are the founding members of this member's file, in their zones.
    fn like_ours(&self, lives: &[InitialMember]) -> bool {
        let pairs = || lives.iter().zip(self.members.iter());
        lives.len() == self.members.len()
            && pairs().all(|(l, m)| *l.name == *m.id.name && *l.zone == *m.zone && l.incarnation > 0)
    }

    fn form(&mut self, lives: Vec<InitialMember>) {
        let members = self.members.iter().zip(&lives).map(|(m, l)| {
            // Addresses are each member's own: it may reach another one by another way.
            Member { id: MemberId::new(&l.name, l.incarnation), ..m.clone() }
        });
        let Ok(config) = Configuration::new(1, members.collect()) else { return };
        let note =
            ConfigurationMessage::new(MessageKind::Decided, Ballot::default(), Ballot::default(), &lives);
        if self.proposal.is_some() {
            self.acts.extend(
                self.peers().map(|to| Action::Send { to, message: note.clone() }).collect::<Vec<_>>(),
            );
        }
        (self.formed, self.proposal, self.due) = (Some(lives), None, None);
        self.acts.push(Action::Decided(config));
    }
}
