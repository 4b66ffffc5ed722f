//! What a voter has on its disk, and what one step adds to it. Plain bytes: whoever keeps them needs not know the log.
use prost::Message as _;
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState as RaftHardState, Snapshot};

use super::command::{DecodeError, Voter};
use super::membership::{Kept, Membership, RejectionReason};

/// The promises of a voter: the term it has reached, whom it voted for in it (0: nobody), and up to where it knows the
/// log to be agreed. Of these `term` and `vote` are promises, `commit` is a help.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HardState {
    pub term: u64,
    pub vote: u64,
    pub commit: u64,
}

impl From<&RaftHardState> for HardState {
    fn from(hs: &RaftHardState) -> HardState {
        HardState { term: hs.term, vote: hs.vote, commit: hs.commit }
    }
}

/// What is to be made durable at once: all of it or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    pub hard_state: HardState,
    /// Takes the place of the one before.
    pub snapshot: Option<Vec<u8>>,
    /// Entries from here on are replaced by `entries`.
    pub truncate_from: Option<u64>,
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Entries before this one are dropped.
    pub first_index: u64,
}

/// All that is durable. Empty for a member that has not been told of a cluster yet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredLog {
    /// The number of the cluster, from its founding; 0 before it is known.
    pub cluster_id: u64,
    pub hard_state: HardState,
    pub snapshot: Option<Vec<u8>>,
    pub entries: Vec<(u64, Vec<u8>)>,
}

impl StoredLog {
    /// The same at every founding member: the members count in epoch 1, and the log goes on from index 1.
    pub fn bootstrap(cluster: u64, seats: Vec<Voter>) -> Result<StoredLog, RejectionReason> {
        let roster = Membership::bootstrap(1, seats)?;
        let mut conf = ConfState::default();
        let (voters, learners) = roster.raft_ids();
        conf.set_voters(voters);
        conf.set_learners(learners);
        let snapshot = snapshot(1, 1, conf, &roster, &[])
            .map_err(|e| RejectionReason::InvalidConfiguration(e.to_string()))?;
        let bytes =
            snapshot.write_to_bytes().map_err(|e| RejectionReason::InvalidConfiguration(e.to_string()))?;
        let hard = HardState { term: 1, vote: 0, commit: 1 };
        Ok(StoredLog { cluster_id: cluster, hard_state: hard, snapshot: Some(bytes), entries: Vec::new() })
    }

    /// A member that was told of the cluster and waits to be admitted: it has promised nothing.
    pub fn joining(cluster: u64) -> StoredLog {
        StoredLog { cluster_id: cluster, ..StoredLog::default() }
    }

    /// What is durable after this batch too.
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

/// The data of a snapshot: the roster, and the state of the other parts of the fleet.
#[derive(Clone, PartialEq, prost::Message)]
struct Data {
    #[prost(message, optional, tag = "1")]
    roster: Option<Kept>,
    #[prost(bytes = "vec", tag = "2")]
    others: Vec<u8>,
}

pub(super) fn snapshot(
    index: u64,
    term: u64,
    conf: ConfState,
    roster: &Membership,
    others: &[u8],
) -> Result<Snapshot, DecodeError> {
    let mut snapshot = Snapshot::default();
    let data = Data { roster: Some(roster.keep()), others: others.to_vec() };
    snapshot.set_data(data.encode_to_vec().into());
    snapshot.mut_metadata().index = index;
    snapshot.mut_metadata().term = term;
    snapshot.mut_metadata().set_conf_state(conf);
    Ok(snapshot)
}

pub(super) fn contents(snapshot: &Snapshot) -> Result<(Membership, Vec<u8>), DecodeError> {
    let data = Data::decode(snapshot.get_data())?;
    let roster = Membership::kept(data.roster.ok_or(DecodeError::MissingField("a roster"))?)?;
    Ok((roster, data.others))
}

pub(super) fn entry(bytes: &[u8]) -> Result<Entry, DecodeError> {
    Entry::parse_from_bytes(bytes).map_err(|e| DecodeError::Undecodable(e.to_string()))
}
