//! What the initial members of a cluster without a log send to each other. Tags and numbers of the kinds are
//! fixed.
/// An initial member with its incarnation, as proposed.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct InitialMember {
    /// Its name in the operator's file.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The process that takes part.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Its zone, as it says itself.
    #[prost(string, tag = "3")]
    pub zone: String,
}

/// Identifies a proposal. A later one is greater: incarnations rise with each start.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Message)]
pub struct Ballot {
    /// The leader's incarnation.
    #[prost(uint64, tag = "1")]
    pub leader: u64,
    /// The number of the proposal, from 1, within that incarnation.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}

/// What a [`ConfigurationMessage`] says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum MessageKind {
    /// Asks whether the configuration of epoch 1 is decided.
    Query = 0,
    /// The leader proposes `members` in `ballot`; no proposal up to `superseded` was decided.
    Propose = 1,
    /// The proposal of `ballot` is accepted.
    Accepted = 2,
    /// It is not: `members` of the ballot `superseded` are accepted still.
    Rejected = 3,
    /// Epoch 1 consists of `members`.
    Decided = 4,
}

/// One message. Which fields count depends on its [`MessageKind`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ConfigurationMessage {
    /// A [`MessageKind`] by its number.
    #[prost(enumeration = "MessageKind", tag = "1")]
    pub kind: i32,
    /// The proposal that this is about.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// An earlier proposal.
    #[prost(message, required, tag = "3")]
    pub superseded: Ballot,
    /// By name.
    #[prost(message, repeated, tag = "4")]
    pub members: Vec<InitialMember>,
}

impl ConfigurationMessage {
    pub(super) fn query() -> ConfigurationMessage {
        ConfigurationMessage { kind: MessageKind::Query.into(), ..ConfigurationMessage::default() }
    }

    pub(super) fn propose(
        ballot: Ballot,
        superseded: Ballot,
        members: &[InitialMember],
    ) -> ConfigurationMessage {
        ConfigurationMessage {
            kind: MessageKind::Propose.into(),
            ballot,
            superseded,
            members: members.to_vec(),
        }
    }

    pub(super) fn accepted(ballot: Ballot) -> ConfigurationMessage {
        let kind = MessageKind::Accepted.into();
        ConfigurationMessage { kind, ballot, ..ConfigurationMessage::default() }
    }

    pub(super) fn rejected(ballot: Ballot, accepted: AcceptedProposal) -> ConfigurationMessage {
        let kind = MessageKind::Rejected.into();
        ConfigurationMessage { kind, ballot, superseded: accepted.ballot, members: accepted.members }
    }

    pub(super) fn decided(members: &[InitialMember]) -> ConfigurationMessage {
        let kind = MessageKind::Decided.into();
        ConfigurationMessage { kind, members: members.to_vec(), ..ConfigurationMessage::default() }
    }
}

/// The proposal that a member has accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct AcceptedProposal {
    pub ballot: Ballot,
    pub members: Vec<InitialMember>,
}
