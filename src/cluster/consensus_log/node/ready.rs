//! Conversion of the crate's `Ready` into the actions of the log, in the required order.
use protobuf::Message as _;
use raft::eraftpb::{Entry, Message, Snapshot};
use raft::{Ready, StateRole};

use super::super::frame;
use super::super::stored::{self, WriteBatch};
use super::super::LogAction;
use super::ConsensusLog;

/// Changes on disk that result from a `Ready`.
struct Staged {
    batch: WriteBatch,
    /// Whether the batch must be written now. If not, it contains only a newer commit index, which may wait
    /// for the next batch.
    must_persist: bool,
    restored: Option<LogAction>,
}

impl ConsensusLog {
    /// Returns the actions since the last call, in the order in which they must be carried out.
    pub fn ready(&mut self) -> Vec<LogAction> {
        while self.stop_reason.is_none() && self.node.has_ready() {
            self.process_ready();
        }
        let since_snapshot = self.applied - self.node.store().snapshot.get_metadata().index;
        let is_due = self.compaction_due || since_snapshot > self.limits.retained_entries;
        if is_due && self.stop_reason.is_none() && self.applied > 0 {
            self.compaction_due = true;
            if !self.actions.contains(&LogAction::Compact) {
                self.actions.push(LogAction::Compact);
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Processes one `Ready`.
    ///
    /// Invariant: the batch precedes every message and every applied entry that depends on it.
    fn process_ready(&mut self) {
        let mut ready = self.node.ready();
        let staged = match self.stage(&mut ready) {
            Ok(staged) => staged,
            Err(reason) => return self.stop(reason),
        };
        if staged.must_persist {
            let hard_state = (&self.node.store().hard_state).into();
            self.actions.push(LogAction::Persist(WriteBatch { hard_state, ..staged.batch }));
        }
        self.actions.extend(staged.restored);
        self.update_leadership();
        let mut messages = ready.take_messages();
        messages.append(&mut ready.take_persisted_messages());
        self.send(messages);
        self.apply(ready.take_committed_entries());
        if self.stop_reason.is_some() {
            return;
        }
        let mut light = self.node.advance(ready);
        if let Some(commit) = light.commit_index() {
            self.node.mut_store().hard_state.commit = commit;
        }
        self.send(light.take_messages());
        self.apply(light.take_committed_entries());
        self.node.advance_apply();
        self.set_election_timeout();
    }

    /// Moves the snapshot, the entries and the hard state into the storage, and into a batch for the disk.
    ///
    /// # Errors
    /// Returns the reason why this voter has to stop.
    fn stage(&mut self, ready: &mut Ready) -> Result<Staged, &'static str> {
        let first_index = self.node.store().base.index;
        let batch = WriteBatch { first_index, ..WriteBatch::default() };
        let mut staged = Staged { batch, must_persist: false, restored: None };
        if !ready.snapshot().is_empty() {
            self.stage_snapshot(ready.snapshot().clone(), &mut staged)?;
        }
        self.stage_entries(&ready.take_entries(), &mut staged)?;
        if let Some(hard_state) = ready.hs() {
            let earlier = &self.node.store().hard_state;
            staged.must_persist |= hard_state.term != earlier.term || hard_state.vote != earlier.vote;
            self.node.mut_store().hard_state = hard_state.clone();
        }
        Ok(staged)
    }

    fn stage_snapshot(&mut self, snapshot: Snapshot, staged: &mut Staged) -> Result<(), &'static str> {
        // The snapshot was already decoded when the message was checked, so neither step is expected to fail.
        const INVALID_SNAPSHOT: &str = "cannot decode or encode the received snapshot";
        let (membership, application_state) =
            stored::decode_snapshot(&snapshot).map_err(|_| INVALID_SNAPSHOT)?;
        let bytes = snapshot.write_to_bytes().map_err(|_| INVALID_SNAPSHOT)?;
        let index = snapshot.get_metadata().index;
        staged.batch.snapshot = Some(bytes);
        staged.batch.truncate_from = Some(0);
        staged.batch.first_index = index;
        staged.must_persist = true;
        self.node.mut_store().install(snapshot);
        self.membership = membership.clone();
        self.update_names();
        self.applied = index;
        staged.restored = Some(LogAction::Restored { index, membership, application_state });
        Ok(())
    }

    fn stage_entries(&mut self, entries: &[Entry], staged: &mut Staged) -> Result<(), &'static str> {
        let Some(first) = entries.first() else { return Ok(()) };
        staged.batch.truncate_from = Some(staged.batch.truncate_from.unwrap_or(first.index));
        for entry in entries {
            let bytes = entry.write_to_bytes().map_err(|_| "cannot encode an entry")?;
            staged.batch.entries.push((entry.index, bytes));
        }
        self.node.mut_store().append(entries);
        staged.must_persist = true;
        Ok(())
    }

    fn update_leadership(&mut self) {
        let is_leader = self.node.raft.state == StateRole::Leader;
        if is_leader != self.is_leader {
            self.is_leader = is_leader;
            self.actions.push(LogAction::LeadershipChanged { is_leader });
        }
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            // Messages to former voters, whose names are no longer known, are dropped.
            let Some(to) = self.names.get(&message.to).cloned() else { continue };
            match frame::encode(self.cluster_id, &message) {
                Ok(bytes) => self.actions.push(LogAction::Send { to, bytes }),
                Err(_) => return self.stop("cannot encode a message"),
            }
        }
    }
}
