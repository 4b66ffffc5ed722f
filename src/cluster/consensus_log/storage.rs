//! The storage read by the `raft` crate: the last snapshot and the entries since then. It mirrors what is on
//! disk or about to be written: [`super::ConsensusLog::ready`] returns each batch before anything that
//! depends on it.
use std::collections::VecDeque;

use raft::eraftpb::{ConfState, Entry, HardState as RaftHardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, StorageError};

/// Approximate memory used by an entry in addition to its data, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 96;

/// The index and term of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryId {
    pub index: u64,
    pub term: u64,
}

/// In-memory storage for the `raft` crate.
///
/// Invariant: `entries` has no gaps, and its first entry follows `base`.
#[derive(Default)]
pub struct MemoryStorage {
    pub hard_state: RaftHardState,
    pub snapshot: Snapshot,
    /// The voter configuration as of the last applied entry.
    pub conf_state: ConfState,
    pub entries: VecDeque<Entry>,
    /// The entry before the first one in `entries`.
    pub base: EntryId,
    /// Approximate memory used by `entries`, in bytes.
    pub entry_bytes: usize,
}

impl MemoryStorage {
    /// Appends `entries`, first dropping all existing entries at or after the index of the first one.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        while self.entries.back().is_some_and(|e| e.index >= first.index) {
            if let Some(e) = self.entries.pop_back() {
                self.entry_bytes -= entry_size(&e);
            }
        }
        self.entry_bytes += entries.iter().map(entry_size).sum::<usize>();
        self.entries.extend(entries.iter().cloned());
    }

    /// Replaces the whole contents by a snapshot from another member or from disk.
    pub fn install(&mut self, snapshot: Snapshot) {
        let meta = snapshot.get_metadata();
        self.base = EntryId { index: meta.index, term: meta.term };
        self.conf_state = meta.get_conf_state().clone();
        self.entries.clear();
        self.entry_bytes = 0;
        self.snapshot = snapshot;
    }

    /// Drops the entries before `first`. Later ones are kept for members that lag slightly.
    pub fn drop_before(&mut self, first: u64) {
        while self.entries.front().is_some_and(|e| e.index < first) {
            if let Some(e) = self.entries.pop_front() {
                self.entry_bytes -= entry_size(&e);
                self.base = EntryId { index: e.index, term: e.term };
            }
        }
    }

    pub fn first_entry_index(&self) -> u64 {
        self.base.index + 1
    }

    pub fn last_entry_index(&self) -> u64 {
        self.entries.back().map_or(self.base.index, |e| e.index)
    }
}

/// Returns the approximate memory used by an entry, in bytes.
fn entry_size(entry: &Entry) -> usize {
    entry.data.len() + entry.context.len() + ENTRY_OVERHEAD_BYTES
}

impl raft::Storage for MemoryStorage {
    fn initial_state(&self) -> Result<RaftState> {
        Ok(RaftState::new(self.hard_state.clone(), self.conf_state.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_bytes: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        if low < self.first_entry_index() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last_entry_index() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let from = (low - self.first_entry_index()) as usize;
        let to = (high - self.first_entry_index()) as usize;
        let mut entries: Vec<Entry> = self.entries.range(from..to).cloned().collect();
        raft::util::limit_size(&mut entries, max_bytes.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        let meta = self.snapshot.get_metadata();
        match index {
            i if i == self.base.index => Ok(self.base.term),
            i if i == meta.index => Ok(meta.term),
            i if i < self.first_entry_index() => Err(Error::Store(StorageError::Compacted)),
            i => {
                let entry = self.entries.get((i - self.first_entry_index()) as usize);
                entry.map(|e| e.term).ok_or(Error::Store(StorageError::Unavailable))
            }
        }
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.first_entry_index())
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.last_entry_index())
    }

    /// Returns the last snapshot. Entries are dropped only after a snapshot includes them, so it serves any
    /// member that needs a dropped entry.
    fn snapshot(&self, at_least: u64, _to: u64) -> Result<Snapshot> {
        if self.snapshot.get_metadata().index < at_least || self.snapshot.get_metadata().index == 0 {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
