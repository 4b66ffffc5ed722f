//! The durable state of a voter, and the changes that one step makes to it. Both consist of plain bytes, so a
//! store does not depend on the log.
use prost::Message as _;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState as RaftHardState, Snapshot};

use super::codec::DecodeError;
use super::command::Voter;
use super::membership::{Membership, MembershipSnapshot, RejectionReason};
use super::storage::EntryId;

/// Raft's hard state. `term` and `vote` are promises and must be durable before a message that depends on
/// them is sent; `commit` is a hint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    /// The newest term that this voter knows.
    pub term: u64,
    /// The voter id that received the vote in `term`; 0 if none did.
    pub vote: u64,
    /// The highest index known to be committed.
    pub commit: u64,
}

impl From<&RaftHardState> for HardState {
    fn from(state: &RaftHardState) -> HardState {
        HardState { term: state.term, vote: state.vote, commit: state.commit }
    }
}

/// Changes that must be made durable atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// The new hard state.
    pub hard_state: HardState,
    /// The new snapshot, if it changes.
    pub snapshot: Option<Vec<u8>>,
    /// Stored entries at or after this index are dropped before `entries` are added.
    pub truncate_from: Option<u64>,
    /// Encoded entries with their indexes, in ascending order.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Entries before this index are dropped.
    pub first_index: u64,
}

/// The complete durable state. Empty for a member that does not know its cluster yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredLog {
    /// The cluster's id, set by bootstrap; 0 until it is known.
    pub cluster_id: u64,
    /// The last hard state written.
    pub hard_state: HardState,
    /// The last snapshot written; `None` for a joining member that has not received one.
    pub snapshot: Option<Vec<u8>>,
    /// Encoded entries with their indexes, in ascending order and without gaps.
    pub entries: Vec<(u64, Vec<u8>)>,
}

impl StoredLog {
    /// Returns the initial log of a new cluster, which is the same at each initial member. The members form
    /// the configuration of epoch 1, and the log continues from index 1.
    ///
    /// # Errors
    /// Returns [`RejectionReason::InvalidConfiguration`] if the members are not a valid configuration.
    pub fn bootstrap(cluster_id: u64, members: Vec<Voter>) -> Result<StoredLog, RejectionReason> {
        let membership = Membership::bootstrap(1, members)?;
        let raft_ids = membership.raft_ids();
        let mut conf_state = ConfState::default();
        conf_state.set_voters(raft_ids.voters);
        conf_state.set_learners(raft_ids.learners);
        let invalid = |reason: String| RejectionReason::InvalidConfiguration(reason);
        let snapshot = encode_snapshot(EntryId { index: 1, term: 1 }, conf_state, &membership, &[]);
        let bytes = snapshot.write_to_bytes().map_err(|e| invalid(e.to_string()))?;
        let hard_state = HardState { term: 1, vote: 0, commit: 1 };
        Ok(StoredLog { cluster_id, hard_state, snapshot: Some(bytes), entries: Vec::new() })
    }

    /// Returns the initial state of a member that knows its cluster and waits to be admitted. It has made no
    /// promises.
    pub fn joining(cluster_id: u64) -> StoredLog {
        StoredLog { cluster_id, ..StoredLog::default() }
    }

    /// Applies `batch`, giving the durable state after it was written.
    pub fn apply(&mut self, batch: &WriteBatch) {
        self.hard_state = batch.hard_state;
        if let Some(snapshot) = &batch.snapshot {
            self.snapshot = Some(snapshot.clone());
        }
        if let Some(from) = batch.truncate_from {
            self.entries.retain(|(index, _)| *index < from);
        }
        self.entries.extend(batch.entries.iter().cloned());
        self.entries.retain(|(index, _)| *index >= batch.first_index);
    }
}

/// The data of a snapshot. Tags must not change.
#[derive(Clone, PartialEq, prost::Message)]
struct SnapshotData {
    #[prost(message, optional, tag = "1")]
    membership: Option<MembershipSnapshot>,
    /// The state of the other components of the cluster, opaque here.
    #[prost(bytes = "vec", tag = "2")]
    application_state: Vec<u8>,
}

pub(super) fn encode_snapshot(
    last_included: EntryId,
    conf_state: ConfState,
    membership: &Membership,
    application_state: &[u8],
) -> Snapshot {
    let data = SnapshotData {
        membership: Some(membership.snapshot()),
        application_state: application_state.to_vec(),
    };
    let mut snapshot = Snapshot::default();
    snapshot.set_data(data.encode_to_vec().into());
    snapshot.mut_metadata().index = last_included.index;
    snapshot.mut_metadata().term = last_included.term;
    snapshot.mut_metadata().set_conf_state(conf_state);
    snapshot
}

/// Returns the membership and the application state in a snapshot.
pub(super) fn decode_snapshot(snapshot: &Snapshot) -> Result<(Membership, Vec<u8>), DecodeError> {
    let data = SnapshotData::decode(snapshot.get_data())?;
    let membership = data.membership.ok_or(DecodeError::MissingField("membership"))?;
    Ok((Membership::restore(membership)?, data.application_state))
}

pub(super) fn decode_entry(bytes: &[u8]) -> Result<Entry, DecodeError> {
    Entry::parse_from_bytes(bytes).map_err(|e| DecodeError::Undecodable(e.to_string()))
}
