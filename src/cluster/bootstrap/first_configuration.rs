//! Agreement on the first configuration of a cluster without a log, reached once by the initial members
//! listed in the operator's file.
//!
//! [`LoglessBootstrap`] is one member's state in that agreement: a state machine without I/O, clock or
//! randomness. It keeps everything in memory, so the agreement does not survive the loss of all members at
//! once; that requires the log.
//!
//! The first member by name is the leader. Once it has heard from all initial members, it proposes their
//! incarnations. When all of them have accepted the proposal, it is decided as epoch 1. A process that starts
//! later is notified of the decision and is not a member of epoch 1.
//!
//! Invariant: while one of the incarnations in a decided configuration runs, no other configuration is
//! decided. A proposal is decided only when each of its incarnations has accepted it. An incarnation has
//! accepted at most one proposal at a time and gives it up only if it knows that the proposal cannot have
//! been decided. It knows this in two cases:
//! - the incarnation that made the proposal makes another one, which it does only until one of its proposals
//!   is decided;
//! - a later leader found a member of the proposal that never accepted it.
mod message;

use std::collections::BTreeMap;
use std::rc::Rc;

use self::message::AcceptedProposal;
pub use self::message::{Ballot, ConfigurationMessage, InitialMember, MessageKind};
use crate::cluster::{Configuration, Member, MemberId, Micros};

/// Interval between retransmissions, in microseconds. A shorter one would gain little, because bootstrap
/// waits for the slowest member to start in any case.
const RETRANSMIT_INTERVAL: Micros = 100_000;

/// An action returned by [`LoglessBootstrap::ready`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to one incarnation of a member. The message may be lost, duplicated or reordered.
    Send {
        /// The receiving incarnation.
        to: MemberId,
        /// The message to send.
        message: ConfigurationMessage,
    },
    /// The configuration of epoch 1 is decided. Returned once.
    Decided(Configuration),
    /// This member's file lists other initial members or zones than the local one. Nothing was accepted from
    /// it.
    ConfigurationMismatch(MemberId),
}

/// A proposal made by this member as the leader, not decided yet.
struct Proposal {
    ballot: Ballot,
    superseded: Ballot,
    members: Vec<InitialMember>,
    answers: BTreeMap<Rc<str>, Answer>,
}

/// A member's answer to a proposal.
enum Answer {
    Accepted,
    /// The member keeps this proposal, which it has accepted before.
    Rejected(AcceptedProposal),
}

/// Bootstrap state of an initial member, or of a member that starts later.
pub struct LoglessBootstrap {
    local: MemberId,
    /// The initial members as listed in the local file, sorted by name.
    members: Rc<[Member]>,
    /// The newest known incarnation of each initial member.
    known_members: BTreeMap<Rc<str>, InitialMember>,
    accepted: Option<AcceptedProposal>,
    decided: Option<Vec<InitialMember>>,
    proposal: Option<Proposal>,
    next_tick_at: Option<Micros>,
    /// Number of queries sent; selects the peer for the next one in round-robin order.
    query_count: usize,
    actions: Vec<Action>,
}

impl LoglessBootstrap {
    /// Creates the state of `local`. `members` are the members in the operator's file, sorted by name and
    /// including `local`; `now` is on the local monotonic clock.
    pub fn new(now: Micros, local: MemberId, members: Rc<[Member]>) -> LoglessBootstrap {
        let own_entry = members.iter().find(|member| member.id.name == local.name);
        let zone = own_entry.map_or_else(|| "".into(), |member| member.zone.clone());
        let mut bootstrap = LoglessBootstrap {
            local: local.clone(),
            members,
            known_members: BTreeMap::new(),
            accepted: None,
            decided: None,
            proposal: None,
            next_tick_at: Some(now + RETRANSMIT_INTERVAL),
            query_count: 0,
            actions: Vec::new(),
        };
        bootstrap.peer_seen(&local, &zone);
        bootstrap
    }

    /// Records that a member has connected. A later incarnation replaces an earlier one with the same name.
    pub fn peer_seen(&mut self, id: &MemberId, zone: &str) {
        if let Some(members) = &self.decided {
            let message = ConfigurationMessage::decided(members);
            self.actions.push(Action::Send { to: id.clone(), message });
            return;
        }
        let is_initial = self.members.iter().any(|member| member.id.name == id.name);
        let is_newer =
            self.known_members.get(&id.name).is_none_or(|known| known.incarnation < id.incarnation);
        if is_initial && is_newer {
            let member = InitialMember {
                name: id.name.to_string(),
                incarnation: id.incarnation,
                zone: zone.to_string(),
            };
            self.known_members.insert(id.name.clone(), member);
            self.propose(Ballot::default());
        }
    }

    /// Handles a message of another member. A message of an unknown kind, or about an earlier proposal, is
    /// ignored.
    pub fn receive(&mut self, from: &MemberId, message: ConfigurationMessage) {
        let Ok(kind) = MessageKind::try_from(message.kind) else { return };
        if let Some(members) = &self.decided {
            if matches!(kind, MessageKind::Query | MessageKind::Propose) {
                let ConfigurationMessage { ballot, superseded, .. } = message;
                let decided = ConfigurationMessage::decided(members);
                let message = ConfigurationMessage { ballot, superseded, ..decided };
                self.actions.push(Action::Send { to: from.clone(), message });
                return;
            }
        }
        match kind {
            MessageKind::Query => {}
            MessageKind::Propose => self.receive_proposal(from, message),
            MessageKind::Accepted => self.receive_answer(from, message.ballot, Answer::Accepted),
            MessageKind::Rejected => {
                let accepted = AcceptedProposal { ballot: message.superseded, members: message.members };
                self.receive_answer(from, message.ballot, Answer::Rejected(accepted));
            }
            MessageKind::Decided if self.decided.is_some() => {}
            MessageKind::Decided => self.decide_if_matching(from, message.members),
        }
    }

    /// Returns when [`LoglessBootstrap::tick`] must be called next, on the local monotonic clock; `None` once
    /// epoch 1 is known.
    pub fn next_tick_at(&self) -> Option<Micros> {
        self.next_tick_at
    }

    /// Retransmits messages that may have been lost. Does nothing before [`LoglessBootstrap::next_tick_at`].
    pub fn tick(&mut self, now: Micros) {
        if self.decided.is_some() || self.next_tick_at.is_none_or(|at| at > now) {
            return;
        }
        self.next_tick_at = Some(now + RETRANSMIT_INTERVAL);
        let peers: Vec<MemberId> = self.peers().collect();
        match &self.proposal {
            Some(proposal) => {
                let unanswered = peers.into_iter().filter(|id| !proposal.answers.contains_key(&id.name));
                let message =
                    ConfigurationMessage::propose(proposal.ballot, proposal.superseded, &proposal.members);
                let sends = unanswered.map(|to| Action::Send { to, message: message.clone() });
                self.actions.extend(sends);
            }
            None => self.query(&peers),
        }
    }

    /// Queries the leader and, in round-robin order, one other peer: the leader may have failed, and the
    /// answer of any member that knows the decision suffices.
    fn query(&mut self, peers: &[MemberId]) {
        self.query_count += 1;
        let another = peers.get(self.query_count % peers.len().max(1));
        let receivers = peers.first().into_iter().chain(another);
        let message = ConfigurationMessage::query();
        self.actions.extend(receivers.map(|to| Action::Send { to: to.clone(), message: message.clone() }));
    }

    /// Returns the actions since the last call, in order.
    pub fn ready(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the known incarnations of the other members, sorted by name.
    fn peers(&self) -> impl Iterator<Item = MemberId> + '_ {
        let ids = self.known_members.values().map(|member| MemberId::new(&member.name, member.incarnation));
        ids.filter(|id| id.name != self.local.name)
    }

    fn send_to_peers(&mut self, message: &ConfigurationMessage) {
        let peers: Vec<MemberId> = self.peers().collect();
        self.actions.extend(peers.into_iter().map(|to| Action::Send { to, message: message.clone() }));
    }

    /// As the leader, proposes the incarnations of all members once all are known. No proposal up to
    /// `superseded` was decided.
    fn propose(&mut self, superseded: Ballot) {
        let is_leader = self.members.first().is_some_and(|member| member.id.name == self.local.name);
        if !is_leader || self.decided.is_some() || self.known_members.len() < self.members.len() {
            return;
        }
        let members: Vec<InitialMember> = self.known_members.values().cloned().collect();
        if !self.matches_file(&members) {
            self.actions.extend(self.first_mismatch(&members).map(Action::ConfigurationMismatch));
            return;
        }
        let mut number = 1;
        let mut superseded = superseded;
        if let Some(earlier) = &self.proposal {
            number = earlier.ballot.number + 1;
            superseded = superseded.max(earlier.superseded);
        }
        let ballot = Ballot { leader: self.local.incarnation, number };
        let message = ConfigurationMessage::propose(ballot, superseded, &members);
        self.send_to_peers(&message);
        self.proposal = Some(Proposal { ballot, superseded, members, answers: BTreeMap::new() });
        self.receive_proposal(&self.local.clone(), message);
    }

    /// Returns the first of `members` that the local file does not list with the same zone.
    fn first_mismatch(&self, members: &[InitialMember]) -> Option<MemberId> {
        let is_in_file = |member: &InitialMember| {
            self.members.iter().any(|ours| *ours.id.name == member.name && *ours.zone == member.zone)
        };
        let mismatch = members.iter().find(|member| !is_in_file(member));
        mismatch.map(|member| MemberId::new(&member.name, member.incarnation))
    }

    fn receive_proposal(&mut self, from: &MemberId, message: ConfigurationMessage) {
        let is_local = |member: &InitialMember| {
            *member.name == *self.local.name && member.incarnation == self.local.incarnation
        };
        if !message.members.iter().any(is_local) {
            return;
        }
        if !self.matches_file(&message.members) {
            return self.actions.push(Action::ConfigurationMismatch(from.clone()));
        }
        let ballot = message.ballot;
        let answer = self.accept(message);
        if *from == self.local {
            return self.receive_answer(from, ballot, answer);
        }
        let message = match answer {
            Answer::Accepted => ConfigurationMessage::accepted(ballot),
            Answer::Rejected(accepted) => ConfigurationMessage::rejected(ballot, accepted),
        };
        self.actions.push(Action::Send { to: from.clone(), message });
    }

    /// Accepts or rejects a proposal. Maintains the module's invariant: an accepted proposal is given up only
    /// if it cannot have been decided.
    fn accept(&mut self, message: ConfigurationMessage) -> Answer {
        if let Some(accepted) = &self.accepted {
            let by_same_leader = accepted.ballot.leader == message.ballot.leader
                && accepted.ballot.number <= message.ballot.number;
            if !by_same_leader && accepted.ballot > message.superseded {
                return Answer::Rejected(accepted.clone());
            }
        }
        self.accepted = Some(AcceptedProposal { ballot: message.ballot, members: message.members });
        Answer::Accepted
    }

    /// As the leader, handles a member's answer to the proposal of `ballot`.
    fn receive_answer(&mut self, from: &MemberId, ballot: Ballot, answer: Answer) {
        let Some(proposal) = self.proposal.as_mut().filter(|proposal| proposal.ballot == ballot) else {
            return;
        };
        let is_sender =
            |member: &InitialMember| *member.name == *from.name && member.incarnation == from.incarnation;
        if self.decided.is_some() || !proposal.members.iter().any(is_sender) {
            return;
        }
        proposal.answers.insert(from.name.clone(), answer);
        if proposal.answers.len() < proposal.members.len() {
            return;
        }
        let Some(earlier) = proposal.newest_rejection().cloned() else {
            let members = proposal.members.clone();
            return self.decide(members);
        };
        if proposal.excludes(&earlier) {
            self.propose(earlier.ballot);
        } else {
            self.decide_if_matching(from, earlier.members);
        }
    }

    fn decide_if_matching(&mut self, from: &MemberId, members: Vec<InitialMember>) {
        if self.matches_file(&members) {
            self.decide(members);
        } else {
            self.actions.push(Action::ConfigurationMismatch(from.clone()));
        }
    }

    /// Returns whether these are the initial members of the local file, in the same zones.
    fn matches_file(&self, members: &[InitialMember]) -> bool {
        let is_same = |(member, ours): (&InitialMember, &Member)| {
            *member.name == *ours.id.name && *member.zone == *ours.zone && member.incarnation > 0
        };
        members.len() == self.members.len() && members.iter().zip(self.members.iter()).all(is_same)
    }

    fn decide(&mut self, decided: Vec<InitialMember>) {
        let with_incarnation = |(ours, decided): (&Member, &InitialMember)| {
            // Addresses are taken from the local file, because members may reach one another by different
            // addresses.
            Member { id: MemberId::new(&decided.name, decided.incarnation), ..ours.clone() }
        };
        let members = self.members.iter().zip(&decided).map(with_incarnation).collect();
        let Ok(config) = Configuration::new(1, members) else { return };
        if self.proposal.is_some() {
            self.send_to_peers(&ConfigurationMessage::decided(&decided));
        }
        self.decided = Some(decided);
        self.proposal = None;
        self.next_tick_at = None;
        self.actions.push(Action::Decided(config));
    }
}

impl Proposal {
    /// Returns the newest of the earlier proposals that members have accepted and keep.
    fn newest_rejection(&self) -> Option<&AcceptedProposal> {
        let rejections = self.answers.values().filter_map(|answer| match answer {
            Answer::Accepted => None,
            Answer::Rejected(accepted) => Some(accepted),
        });
        rejections.max_by_key(|accepted| accepted.ballot)
    }

    /// Returns whether `earlier` cannot have been decided: one of its members accepted this proposal, and so
    /// never accepted `earlier`.
    fn excludes(&self, earlier: &AcceptedProposal) -> bool {
        earlier.members.iter().any(|member| {
            let answer = self.answers.get(&*member.name);
            self.members.contains(member) && matches!(answer, Some(Answer::Accepted))
        })
    }
}
