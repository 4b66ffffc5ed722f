//! Recovery of the crate's storage from the data on disk.
use protobuf::Message as _;
use raft::eraftpb::{Entry, HardState as RaftHardState, Snapshot};

use super::super::codec::DecodeError;
use super::super::error::RecoveryError;
use super::super::membership::Membership;
use super::super::message_check::is_valid_conf_state;
use super::super::storage::{EntryId, MemoryStorage};
use super::super::stored::{self, HardState, StoredLog};
use super::super::LogAction;

/// A stored log that passed its checks.
pub(super) struct Recovered {
    pub storage: MemoryStorage,
    pub membership: Membership,
    /// Index of the snapshot, or 0 if there is none; later entries are applied again.
    pub applied: u64,
    /// [`LogAction::Restored`] with the snapshot's state, if there is a snapshot.
    pub restored: Option<LogAction>,
}

impl Recovered {
    pub fn new(stored: &StoredLog) -> Result<Recovered, RecoveryError> {
        let mut recovered = Recovered {
            storage: MemoryStorage::default(),
            membership: Membership::default(),
            applied: 0,
            restored: None,
        };
        if let Some(bytes) = &stored.snapshot {
            recovered.install_snapshot(bytes)?;
        }
        recovered.append_entries(&stored.entries)?;
        recovered.set_hard_state(stored.hard_state)?;
        Ok(recovered)
    }

    fn install_snapshot(&mut self, bytes: &[u8]) -> Result<(), RecoveryError> {
        let snapshot =
            Snapshot::parse_from_bytes(bytes).map_err(|e| DecodeError::Undecodable(e.to_string()))?;
        if !is_valid_conf_state(snapshot.get_metadata().get_conf_state()) {
            return Err(RecoveryError::InvalidVoters);
        }
        let (membership, application_state) = stored::decode_snapshot(&snapshot)?;
        self.applied = snapshot.get_metadata().index;
        self.membership = membership.clone();
        self.restored = Some(LogAction::Restored { index: self.applied, membership, application_state });
        self.storage.install(snapshot);
        Ok(())
    }

    fn append_entries(&mut self, stored: &[(u64, Vec<u8>)]) -> Result<(), RecoveryError> {
        let mut entries: Vec<Entry> = Vec::with_capacity(stored.len());
        for (index, bytes) in stored {
            let entry = stored::decode_entry(bytes)?;
            let follows =
                entries.last().map_or(entry.index <= self.applied + 1, |last| entry.index == last.index + 1);
            if entry.index != *index || !follows {
                return Err(RecoveryError::Gap(*index));
            }
            entries.push(entry);
        }
        // Entries before the snapshot are kept for members that lag behind. The entry before the first of
        // them is no longer known, so the first one becomes the base.
        if entries.first().is_some_and(|entry| entry.index <= self.applied) {
            let first = entries.remove(0);
            self.storage.base = EntryId { index: first.index, term: first.term };
        }
        self.storage.append(&entries);
        Ok(())
    }

    fn set_hard_state(&mut self, stored: HardState) -> Result<(), RecoveryError> {
        let HardState { term, vote, commit } = stored;
        if commit > self.storage.last_entry_index() || commit < self.applied {
            return Err(RecoveryError::MissingEntries(commit.max(self.applied)));
        }
        self.storage.hard_state = RaftHardState { term, vote, commit, ..RaftHardState::default() };
        Ok(())
    }
}
