//! What the consensus reads: the entries since the last snapshot, and that snapshot. A copy of what is on disk, or is
//! about to be: [`super::Log::ready`] gives the batch before anything that depends on it.
use std::collections::VecDeque;

use raft::eraftpb::{ConfState, Entry, HardState as RaftHardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, StorageError};

#[derive(Default)]
pub struct Memory {
    pub hard: RaftHardState,
    pub snapshot: Snapshot,
    /// As of the last entry that was applied.
    pub conf: ConfState,
    /// Without gaps. The first follows `base`.
    pub entries: VecDeque<Entry>,
    /// Index and term of the entry before the first one.
    pub base: (u64, u64),
    pub bytes: usize,
}

impl Memory {
    /// Takes the place of all entries from the first of these on.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        while self.entries.back().is_some_and(|e| e.index >= first.index) {
            if let Some(e) = self.entries.pop_back() {
                self.bytes -= size(&e);
            }
        }
        self.bytes += entries.iter().map(size).sum::<usize>();
        self.entries.extend(entries.iter().cloned());
    }

    /// From another member: nothing before it is kept.
    pub fn install(&mut self, snapshot: Snapshot) {
        let meta = snapshot.get_metadata();
        self.base = (meta.index, meta.term);
        self.conf = meta.get_conf_state().clone();
        self.entries.clear();
        self.bytes = 0;
        self.snapshot = snapshot;
    }

    /// Drops entries before `first`; those that follow stay for members that are a little behind.
    pub fn drop_before(&mut self, first: u64) {
        while self.entries.front().is_some_and(|e| e.index < first) {
            if let Some(e) = self.entries.pop_front() {
                self.bytes -= size(&e);
                self.base = (e.index, e.term);
            }
        }
    }

    pub fn first(&self) -> u64 {
        self.base.0 + 1
    }

    pub fn last(&self) -> u64 {
        self.entries.back().map_or(self.base.0, |e| e.index)
    }
}

/// Bytes of an entry in memory, about: its data and what it takes by itself.
fn size(entry: &Entry) -> usize {
    entry.data.len() + entry.context.len() + 96
}

impl raft::Storage for Memory {
    fn initial_state(&self) -> Result<RaftState> {
        Ok(RaftState::new(self.hard.clone(), self.conf.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        if low < self.first() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let (from, to) = ((low - self.first()) as usize, (high - self.first()) as usize);
        let mut entries: Vec<Entry> = self.entries.range(from..to).cloned().collect();
        raft::util::limit_size(&mut entries, most.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        let meta = self.snapshot.get_metadata();
        match index {
            i if i == self.base.0 => Ok(self.base.1),
            i if i == meta.index => Ok(meta.term),
            i if i < self.first() => Err(Error::Store(StorageError::Compacted)),
            i => {
                let entry = self.entries.get((i - self.first()) as usize);
                entry.map(|e| e.term).ok_or(Error::Store(StorageError::Unavailable))
            }
        }
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.first())
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.last())
    }

    /// Entries go only when a snapshot holds them: the last one serves whoever needs what has gone.
    fn snapshot(&self, at_least: u64, _to: u64) -> Result<Snapshot> {
        if self.snapshot.get_metadata().index < at_least || self.snapshot.get_metadata().index == 0 {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
