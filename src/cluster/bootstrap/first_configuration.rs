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
pub struct Life {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(string, tag = "3")]
    pub zone: String,
}

/// The leader's incarnation and the number of its proposal.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Message)]
pub struct Round {
    #[prost(uint64, tag = "1")]
    pub leader: u64,
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// Asks whether epoch 1 is formed.
    Asked = 0,
    /// Take `lives` in `round`; whatever was proposed up to `over` was not formed.
    Propose = 1,
    /// The proposal of `round` is held.
    Took = 2,
    /// It is not: `lives` of the round `over` are held.
    Holds = 3,
    /// Epoch 1 consists of `lives`.
    Formed = 4,
}

/// What founding members tell each other.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Note {
    #[prost(enumeration = "Kind", tag = "1")]
    pub kind: i32,
    #[prost(message, required, tag = "2")]
    pub round: Round,
    #[prost(message, required, tag = "3")]
    pub over: Round,
    #[prost(message, repeated, tag = "4")]
    pub lives: Vec<Life>,
}

impl Note {
    fn new(kind: Kind, round: Round, over: Round, lives: &[Life]) -> Note {
        Note { kind: kind.into(), round, over, lives: lives.to_vec() }
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Send {
        to: MemberId,
        note: Note,
    },
    /// Epoch 1.
    Formed(Configuration),
    /// Another member's file names other founding members or zones: nothing was taken over.
    Differs(MemberId),
}

/// A proposal under way at its leader.
struct Proposal {
    round: Round,
    over: Round,
    lives: Vec<Life>,
    /// By name: `None` took it, others hold an earlier one.
    answers: BTreeMap<Rc<str>, Option<(Round, Vec<Life>)>>,
}

pub struct Founding {
    me: MemberId,
    /// By name, as this member's file has them.
    members: Rc<[Member]>,
    heard: BTreeMap<Rc<str>, Life>,
    held: Option<(Round, Vec<Life>)>,
    formed: Option<Vec<Life>>,
    proposal: Option<Proposal>,
    due: Option<Micros>,
    /// Whom to ask beside the leader.
    turn: usize,
    acts: Vec<Act>,
}

impl Founding {
    /// `members` by name, with this one among them.
    pub fn new(now: Micros, me: MemberId, members: Rc<[Member]>) -> Founding {
        let (heard, acts) = Default::default();
        let (held, formed, proposal, due) = (None, None, None, Some(now + REPEAT));
        let zone = members.iter().find(|m| m.id.name == me.name).map(|m| m.zone.clone());
        let mut founding =
            Founding { me: me.clone(), members, heard, held, formed, proposal, due, turn: 0, acts };
        founding.heard(&me, &zone.unwrap_or_else(|| "".into()));
        founding
    }

    /// A member said hello; a later life takes the place of an earlier one.
    pub fn heard(&mut self, id: &MemberId, zone: &str) {
        if let Some(lives) = &self.formed {
            let note = Note::new(Kind::Formed, Round::default(), Round::default(), lives);
            self.acts.push(Act::Send { to: id.clone(), note });
            return;
        }
        let later = |l: &Life| l.incarnation < id.incarnation;
        if self.members.iter().any(|m| m.id.name == id.name) && self.heard.get(&id.name).is_none_or(later) {
            let life =
                Life { name: id.name.to_string(), incarnation: id.incarnation, zone: zone.to_string() };
            self.heard.insert(id.name.clone(), life);
            self.propose(Round::default());
        }
    }

    pub fn receive(&mut self, from: &MemberId, note: Note) {
        let Ok(kind) = Kind::try_from(note.kind) else { return };
        if let (Some(lives), true) = (&self.formed, matches!(kind, Kind::Asked | Kind::Propose)) {
            let note = Note::new(Kind::Formed, note.round, note.over, lives);
            self.acts.push(Act::Send { to: from.clone(), note });
            return;
        }
        match kind {
            Kind::Asked => {}
            Kind::Propose => self.take(from, note),
            Kind::Took => self.answered(from, note.round, None),
            Kind::Holds => self.answered(from, note.round, Some((note.over, note.lives))),
            Kind::Formed if self.formed.is_none() => match self.like_ours(&note.lives) {
                true => self.form(note.lives),
                false => self.acts.push(Act::Differs(from.clone())),
            },
            Kind::Formed => {}
        }
    }

    /// When [`Founding::tick`] wants to be called.
    pub fn due(&self) -> Option<Micros> {
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
            let note = Note::new(Kind::Propose, p.round, p.over, &p.lives);
            self.acts.extend(open.map(|to| Act::Send { to, note: note.clone() }));
            return;
        }
        // The leader, and each time another one: it may be gone, and one that knows is enough.
        self.turn += 1;
        let other = peers.get(self.turn % peers.len().max(1));
        let note = Note::new(Kind::Asked, Round::default(), Round::default(), &[]);
        let asked = peers.first().into_iter().chain(other);
        self.acts.extend(asked.map(|to| Act::Send { to: to.clone(), note: note.clone() }));
    }

    pub fn ready(&mut self) -> Vec<Act> {
        std::mem::take(&mut self.acts)
    }

    /// The lives that were heard of, without this one, by name.
    fn peers(&self) -> impl Iterator<Item = MemberId> + '_ {
        let ids = self.heard.values().map(|l| MemberId::new(&l.name, l.incarnation));
        ids.filter(|id| id.name != self.me.name)
    }

    /// As the leader: propose all lives, once all are heard of.
    fn propose(&mut self, over: Round) {
        let leads = self.members.first().is_some_and(|m| m.id.name == self.me.name);
        if !leads || self.formed.is_some() || self.heard.len() < self.members.len() {
            return;
        }
        let lives: Vec<Life> = self.heard.values().cloned().collect();
        if !self.like_ours(&lives) {
            let other = |l: &&Life| !self.members.iter().any(|m| *m.id.name == l.name && *m.zone == l.zone);
            let differs = lives.iter().find(other).map(|l| MemberId::new(&l.name, l.incarnation));
            self.acts.extend(differs.map(Act::Differs));
            return;
        }
        let (number, before) =
            self.proposal.as_ref().map_or((1, Round::default()), |p| (p.round.number + 1, p.over));
        let (round, over) = (Round { leader: self.me.incarnation, number }, over.max(before));
        let note = Note::new(Kind::Propose, round, over, &lives);
        self.acts.extend(self.peers().map(|to| Act::Send { to, note: note.clone() }).collect::<Vec<_>>());
        self.proposal = Some(Proposal { round, over, lives, answers: BTreeMap::new() });
        self.take(&self.me.clone(), note);
    }

    /// A leader's proposal.
    fn take(&mut self, from: &MemberId, note: Note) {
        let mine = |l: &Life| *l.name == *self.me.name && l.incarnation == self.me.incarnation;
        if !note.lives.iter().any(mine) {
            return;
        }
        if !self.like_ours(&note.lives) {
            return self.acts.push(Act::Differs(from.clone()));
        }
        // The guard of the invariant: what is held is let go only where it can not have been formed.
        let free = self.held.as_ref().is_none_or(|(held, _)| {
            let same_leader = held.leader == note.round.leader && held.number <= note.round.number;
            same_leader || *held <= note.over
        });
        let answer = if free {
            self.held = Some((note.round, note.lives));
            None
        } else {
            self.held.clone()
        };
        if *from == self.me {
            return self.answered(from, note.round, answer);
        }
        let note = match answer {
            None => Note::new(Kind::Took, note.round, Round::default(), &[]),
            Some((held, lives)) => Note::new(Kind::Holds, note.round, held, &lives),
        };
        self.acts.push(Act::Send { to: from.clone(), note });
    }

    /// As the leader: what became of the proposal at one member.
    fn answered(&mut self, from: &MemberId, round: Round, holds: Option<(Round, Vec<Life>)>) {
        let Some(p) = self.proposal.as_mut().filter(|p| p.round == round) else { return };
        let is_in = |l: &Life| *l.name == *from.name && l.incarnation == from.incarnation;
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
            false => self.acts.push(Act::Differs(from.clone())),
        }
    }

    /// Whether these are the founding members of this member's file, in their zones.
    fn like_ours(&self, lives: &[Life]) -> bool {
        let pairs = || lives.iter().zip(self.members.iter());
        lives.len() == self.members.len()
            && pairs().all(|(l, m)| *l.name == *m.id.name && *l.zone == *m.zone && l.incarnation > 0)
    }

    fn form(&mut self, lives: Vec<Life>) {
        let members = self.members.iter().zip(&lives).map(|(m, l)| {
            // Addresses are each member's own: it may reach another one by another way.
            Member { id: MemberId::new(&l.name, l.incarnation), ..m.clone() }
        });
        let Ok(config) = Configuration::new(1, members.collect()) else { return };
        let note = Note::new(Kind::Formed, Round::default(), Round::default(), &lives);
        if self.proposal.is_some() {
            self.acts.extend(self.peers().map(|to| Act::Send { to, note: note.clone() }).collect::<Vec<_>>());
        }
        (self.formed, self.proposal, self.due) = (Some(lives), None, None);
        self.acts.push(Act::Formed(config));
    }
}
