//! Who counts, as the log says: a function of its entries alone, so that every member that has applied the same entries
//! holds the same roster.
//!
//! Invariants: one configuration an epoch, and an epoch is the index of the entry that made it; a life that has ended
//! never counts again; a voter is one name on one disk, and each name has one seat.
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::rc::Rc;

use prost::Message as _;

use super::command::{form, seat_in, seat_out, Command, DecodeError, Voter};
use crate::cluster::{Configuration, Member};

/// Voters at most. Further members learn what is agreed and do not vote: each voter more is a message more for every
/// entry, and five outlive any two.
pub const MAX_VOTERS: usize = 5;
/// Members at most: the lists of members are kept and sent whole.
pub const MAX_MEMBERS: usize = 4096;
/// Epochs that are open at most. A further change of members waits until one is closed: an epoch that was forgotten
/// while work is pinned in it could open that work a second time.
pub const MAX_OPEN_EPOCHS: usize = 16;
/// Lives of a name that are remembered after their end. One that ended earlier and asks again was told to stop by as
/// many successors.
const PAST: usize = 64;

/// What became of a command that was agreed on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The members changed: the configuration of this epoch stands.
    Reconfigured(Configuration),
    /// Taken as it is: another part of the fleet acts on it.
    Accepted,
    /// It stood already; nothing changed.
    Unchanged,
    Rejected(RejectionReason),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RejectionReason {
    /// The name changed hands in this epoch, after the one that the asker knew.
    StaleEpoch(u64),
    /// That life of the name has ended.
    IncarnationEnded,
    /// No such life counts.
    NotAMember,
    /// The last voter does not leave.
    LastRemaining,
    /// The bound on members, or on open epochs, is reached.
    LimitReached(&'static str),
    /// The list would be no configuration.
    InvalidConfiguration(String),
}

impl fmt::Display for RejectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RejectionReason::StaleEpoch(epoch) => write!(f, "the name changed hands in epoch {epoch}"),
            RejectionReason::IncarnationEnded => f.write_str("that life of the name has ended"),
            RejectionReason::NotAMember => f.write_str("no such member counts"),
            RejectionReason::LastRemaining => f.write_str("the last voter does not leave"),
            RejectionReason::LimitReached(what) => write!(f, "too many {what}"),
            RejectionReason::InvalidConfiguration(why) => f.write_str(why),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Place {
    seat: Voter,
    votes: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct History {
    /// The epoch in which the name last changed hands.
    changed: u64,
    past: VecDeque<u64>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Membership {
    places: BTreeMap<Rc<str>, Place>,
    histories: BTreeMap<Rc<str>, History>,
    epochs: VecDeque<Configuration>,
    closed: u64,
}

impl Membership {
    /// The founding members: the configuration of epoch `epoch`. The voters are spread over the zones as guards are.
    pub fn bootstrap(epoch: u64, seats: Vec<Voter>) -> Result<Membership, RejectionReason> {
        let members: Vec<Member> = seats.iter().map(|s| s.member.clone()).collect();
        let config = Configuration::new(epoch, members)
            .map_err(|e| RejectionReason::InvalidConfiguration(e.to_string()))?;
        let voters: Vec<Rc<str>> =
            config.group(b"log", MAX_VOTERS).iter().map(|m| m.id.name.clone()).collect();
        let mut roster = Membership::default();
        for seat in seats {
            let name = seat.member.id.name.clone();
            let votes = voters.contains(&name);
            roster.histories.insert(name.clone(), History { changed: epoch, past: VecDeque::new() });
            roster.places.insert(name, Place { seat, votes });
        }
        roster.epochs.push_back(config);
        Ok(roster)
    }

    /// The configurations of the open epochs, the newest last.
    pub fn open_epochs(&self) -> impl DoubleEndedIterator<Item = &Configuration> {
        self.epochs.iter()
    }

    pub fn latest(&self) -> Option<&Configuration> {
        self.epochs.back()
    }

    /// Epochs up to this one are closed.
    pub fn closed_epoch(&self) -> u64 {
        self.closed
    }

    pub fn members(&self) -> impl Iterator<Item = &Voter> {
        self.places.values().map(|p| &p.seat)
    }

    /// The numbers of the voters and of those who only learn, in order.
    pub fn raft_ids(&self) -> (Vec<u64>, Vec<u64>) {
        let part = |votes| {
            let mut ids: Vec<u64> =
                self.places.values().filter(|p| p.votes == votes).map(|p| p.seat.voter_id()).collect();
            ids.sort_unstable();
            ids
        };
        (part(true), part(false))
    }

    /// What the entry at `index` does: the outcome, and the roster after it when it changes the roster.
    pub fn evaluate(&self, index: u64, command: &Command) -> (CommandOutcome, Option<Membership>) {
        let changed = match command {
            Command::Admit { voter, known_epoch } => self.admit(index, voter, *known_epoch),
            Command::Leave(id) => match self.places.get(&id.name) {
                Some(place) if place.seat.member.id == *id => self.leave(index, &id.name),
                _ => Err(RejectionReason::NotAMember),
            },
            Command::CloseEpoch(epoch) => return self.close(*epoch),
            Command::Layout(_) | Command::Plan(_) | Command::ClosedTimestamp { .. } => {
                return (CommandOutcome::Accepted, None)
            }
        };
        match changed {
            Ok(Some((config, roster))) => (CommandOutcome::Reconfigured(config), Some(roster)),
            Ok(None) => (CommandOutcome::Unchanged, None),
            Err(refusal) => (CommandOutcome::Rejected(refusal), None),
        }
    }

    fn admit(
        &self,
        index: u64,
        seat: &Voter,
        base: u64,
    ) -> Result<Option<(Configuration, Membership)>, RejectionReason> {
        let name = &seat.member.id.name;
        let held = self.places.get(name);
        if held.is_some_and(|p| p.seat == *seat) {
            return Ok(None);
        }
        if let Some(history) = self.histories.get(name) {
            if history.past.contains(&seat.member.id.incarnation) {
                return Err(RejectionReason::IncarnationEnded);
            }
            if history.changed > base {
                return Err(RejectionReason::StaleEpoch(history.changed));
            }
        }
        if held.is_some_and(|p| p.seat.member.id == seat.member.id) {
            // One life has one disk, zone and address.
            return Err(RejectionReason::InvalidConfiguration(
                "that life of the name counts with another disk or address".into(),
            ));
        }
        let mut next = self.clone();
        let voting = self.places.values().filter(|p| p.votes).count();
        let votes = held.map_or(voting < MAX_VOTERS, |p| p.votes);
        next.end(name, index);
        next.places.insert(name.clone(), Place { seat: seat.clone(), votes });
        next.configured(index).map(Some)
    }

    fn leave(
        &self,
        index: u64,
        name: &Rc<str>,
    ) -> Result<Option<(Configuration, Membership)>, RejectionReason> {
        let mut next = self.clone();
        next.end(name, index);
        next.places.remove(name);
        let voting = next.places.values().filter(|p| p.votes).count();
        if voting < MAX_VOTERS {
            // One who learned votes in the place of the one who left.
            if let Some(place) = next.places.values_mut().find(|p| !p.votes) {
                place.votes = true;
            }
        }
        if !next.places.values().any(|p| p.votes) {
            return Err(RejectionReason::LastRemaining);
        }
        next.configured(index).map(Some)
    }

    fn end(&mut self, name: &Rc<str>, index: u64) {
        let history = self.histories.entry(name.clone()).or_default();
        history.changed = index;
        if let Some(place) = self.places.get(name) {
            history.past.push_back(place.seat.member.id.incarnation);
            if history.past.len() > PAST {
                history.past.pop_front();
            }
        }
    }

    fn configured(mut self, index: u64) -> Result<(Configuration, Membership), RejectionReason> {
        if self.histories.len() > MAX_MEMBERS {
            return Err(RejectionReason::LimitReached("members"));
        }
        if self.epochs.len() >= MAX_OPEN_EPOCHS {
            return Err(RejectionReason::LimitReached("open epochs"));
        }
        let members = self.members().map(|s| s.member.clone()).collect();
        let config = Configuration::new(index, members)
            .map_err(|e| RejectionReason::InvalidConfiguration(e.to_string()))?;
        self.epochs.push_back(config.clone());
        Ok((config, self))
    }

    /// The newest epoch stays open.
    fn close(&self, epoch: u64) -> (CommandOutcome, Option<Membership>) {
        let newest = self.latest().map_or(0, Configuration::epoch);
        if epoch >= newest {
            return (CommandOutcome::Rejected(RejectionReason::LastRemaining), None);
        }
        if epoch <= self.closed {
            return (CommandOutcome::Unchanged, None);
        }
        let mut next = self.clone();
        next.epochs.retain(|c| c.epoch() > epoch);
        next.closed = epoch;
        (CommandOutcome::Accepted, Some(next))
    }
}

/// The roster in a snapshot.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Kept {
    #[prost(message, repeated, tag = "1")]
    places: Vec<KeptPlace>,
    #[prost(message, repeated, tag = "2")]
    histories: Vec<KeptHistory>,
    #[prost(message, repeated, tag = "3")]
    epochs: Vec<KeptEpoch>,
    #[prost(uint64, tag = "4")]
    closed: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct KeptPlace {
    #[prost(message, optional, tag = "1")]
    seat: Option<form::Voter>,
    #[prost(bool, tag = "2")]
    votes: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct KeptHistory {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    changed: u64,
    #[prost(fixed64, repeated, tag = "3")]
    past: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct KeptEpoch {
    #[prost(uint64, tag = "1")]
    epoch: u64,
    #[prost(message, repeated, tag = "2")]
    members: Vec<form::Voter>,
}

impl Membership {
    pub(super) fn keep(&self) -> Kept {
        let place = |p: &Place| KeptPlace { seat: Some(seat_out(&p.seat)), votes: p.votes };
        let history = |(name, h): (&Rc<str>, &History)| KeptHistory {
            name: name.to_string(),
            changed: h.changed,
            past: h.past.iter().copied().collect(),
        };
        let epoch = |c: &Configuration| KeptEpoch {
            epoch: c.epoch(),
            members: c.members().iter().map(|m| seat_out(&Voter { member: m.clone(), disk_id: 0 })).collect(),
        };
        Kept {
            places: self.places.values().map(place).collect(),
            histories: self.histories.iter().map(history).collect(),
            epochs: self.epochs.iter().map(epoch).collect(),
            closed: self.closed,
        }
    }

    pub(super) fn kept(kept: Kept) -> Result<Membership, DecodeError> {
        let mut roster = Membership { closed: kept.closed, ..Membership::default() };
        for place in kept.places {
            let seat = seat_in(place.seat.ok_or(DecodeError::MissingField("a member"))?)?;
            roster.places.insert(seat.member.id.name.clone(), Place { seat, votes: place.votes });
        }
        for h in kept.histories {
            let history = History { changed: h.changed, past: h.past.into() };
            roster.histories.insert(h.name.as_str().into(), history);
        }
        for e in kept.epochs {
            let seats = e.members.into_iter().map(seat_in).collect::<Result<Vec<_>, _>>()?;
            let members = seats.into_iter().map(|s| s.member).collect();
            let config =
                Configuration::new(e.epoch, members).map_err(|e| DecodeError::Undecodable(e.to_string()))?;
            roster.epochs.push_back(config);
        }
        Ok(roster)
    }

    pub fn encode(&self) -> Vec<u8> {
        self.keep().encode_to_vec()
    }

    /// The caller has bounded the bytes.
    pub fn decode(bytes: &[u8]) -> Result<Membership, DecodeError> {
        Membership::kept(Kept::decode(bytes)?)
    }
}
