//! Encoding of the membership within a snapshot. Field tags and types must not change.
use std::rc::Rc;

use prost::Message as _;

use super::super::codec::{decode_voter, encode_voter, wire, DecodeError};
use super::super::command::Voter;
use super::{MemberEntry, Membership, NameHistory};
use crate::cluster::Configuration;

#[derive(Clone, PartialEq, prost::Message)]
pub(in crate::cluster::consensus_log) struct MembershipSnapshot {
    #[prost(message, repeated, tag = "1")]
    members: Vec<MemberSnapshot>,
    #[prost(message, repeated, tag = "2")]
    histories: Vec<HistorySnapshot>,
    #[prost(message, repeated, tag = "3")]
    open_epochs: Vec<EpochSnapshot>,
    #[prost(uint64, tag = "4")]
    closed_epoch: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct MemberSnapshot {
    #[prost(message, optional, tag = "1")]
    voter: Option<wire::Voter>,
    #[prost(bool, tag = "2")]
    votes: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
struct HistorySnapshot {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    changed_in_epoch: u64,
    #[prost(fixed64, repeated, tag = "3")]
    past_incarnations: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct EpochSnapshot {
    #[prost(uint64, tag = "1")]
    epoch: u64,
    /// The members of the configuration. A configuration does not contain disks, so the disk ids are 0.
    #[prost(message, repeated, tag = "2")]
    members: Vec<wire::Voter>,
}

impl From<&MemberEntry> for MemberSnapshot {
    fn from(entry: &MemberEntry) -> MemberSnapshot {
        MemberSnapshot { voter: Some(encode_voter(&entry.voter)), votes: entry.votes }
    }
}

impl HistorySnapshot {
    fn new(name: &Rc<str>, history: &NameHistory) -> HistorySnapshot {
        HistorySnapshot {
            name: name.to_string(),
            changed_in_epoch: history.changed_in_epoch,
            past_incarnations: history.past_incarnations.iter().copied().collect(),
        }
    }
}

impl From<&Configuration> for EpochSnapshot {
    fn from(config: &Configuration) -> EpochSnapshot {
        let without_disk = |member: &_| Voter { member: Clone::clone(member), disk_id: 0 };
        let members = config.members().iter().map(|member| encode_voter(&without_disk(member)));
        EpochSnapshot { epoch: config.epoch(), members: members.collect() }
    }
}

impl EpochSnapshot {
    fn configuration(self) -> Result<Configuration, DecodeError> {
        let voters = self.members.into_iter().map(decode_voter).collect::<Result<Vec<_>, _>>()?;
        let members = voters.into_iter().map(|voter| voter.member).collect();
        Configuration::new(self.epoch, members).map_err(|e| DecodeError::Undecodable(e.to_string()))
    }
}

impl Membership {
    pub(in crate::cluster::consensus_log) fn snapshot(&self) -> MembershipSnapshot {
        MembershipSnapshot {
            members: self.members.values().map(MemberSnapshot::from).collect(),
            histories: self
                .histories
                .iter()
                .map(|(name, history)| HistorySnapshot::new(name, history))
                .collect(),
            open_epochs: self.open_epochs.iter().map(EpochSnapshot::from).collect(),
            closed_epoch: self.closed_epoch,
        }
    }

    pub(in crate::cluster::consensus_log) fn restore(
        snapshot: MembershipSnapshot,
    ) -> Result<Membership, DecodeError> {
        let mut membership = Membership { closed_epoch: snapshot.closed_epoch, ..Membership::default() };
        for member in snapshot.members {
            let voter = decode_voter(member.voter.ok_or(DecodeError::MissingField("member"))?)?;
            let name = voter.member.id.name.clone();
            membership.members.insert(name, MemberEntry { voter, votes: member.votes });
        }
        for history in snapshot.histories {
            let entry = NameHistory {
                changed_in_epoch: history.changed_in_epoch,
                past_incarnations: history.past_incarnations.into(),
            };
            membership.histories.insert(history.name.as_str().into(), entry);
        }
        for epoch in snapshot.open_epochs {
            membership.open_epochs.push_back(epoch.configuration()?);
        }
        Ok(membership)
    }

    /// Encodes the membership as in a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        self.snapshot().encode_to_vec()
    }

    /// Decodes the output of [`Membership::encode`]. The caller must have limited the size of `bytes`.
    ///
    /// # Errors
    /// Returns a [`DecodeError`] if the bytes are not a valid membership.
    pub fn decode(bytes: &[u8]) -> Result<Membership, DecodeError> {
        Membership::restore(MembershipSnapshot::decode(bytes)?)
    }
}
