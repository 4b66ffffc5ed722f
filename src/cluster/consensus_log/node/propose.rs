//! Proposals, and snapshots of the applied state.
use protobuf::Message as _;
use raft::eraftpb::ConfChangeV2;
use raft::Storage as _;

use super::super::codec::{self, DecodeError};
use super::super::command::{Command, ProposalId};
use super::super::error::{CompactError, ProposeError};
use super::super::frame::HEADER_BYTES;
use super::super::membership::CommandOutcome;
use super::super::storage::EntryId;
use super::super::stored::{self, WriteBatch};
use super::super::LogAction;
use super::apply::conf_changes;
use super::ConsensusLog;

/// Upper bound on the overhead of a message that carries a snapshot, in bytes.
const SNAPSHOT_OVERHEAD_BYTES: usize = 256;

impl ConsensusLog {
    /// Proposes `command`; only the leader can. An accepted proposal may still be lost if the leader fails.
    /// Its proposer must repeat it until it is applied; repeating a command that is already in effect changes
    /// nothing.
    ///
    /// # Errors
    /// Returns a [`ProposeError`] if the command was not accepted; the state is unchanged in that case.
    pub fn propose(&mut self, command: &Command) -> Result<ProposalId, ProposeError> {
        if let Some(reason) = &self.stop_reason {
            return Err(ProposeError::Stopped(reason.clone()));
        }
        if !self.is_leader {
            return Err(ProposeError::NotLeader { leader: self.leader() });
        }
        // A voter leads a term in at most one process, so no sequence number of an earlier process is reused.
        let sequence = (self.last_sequence + 1).max(self.node.raft.term << 32);
        let proposal = ProposalId { proposer: self.voter_id, sequence };
        let bytes = codec::encode_command(proposal, command);
        if bytes.len() > self.limits.max_command_bytes {
            let max_bytes = self.limits.max_command_bytes;
            return Err(ProposeError::TooLarge { bytes: bytes.len(), max_bytes });
        }
        if self.node.store().entry_bytes + bytes.len() > self.limits.max_log_bytes {
            return Err(ProposeError::CapacityExceeded);
        }
        self.propose_encoded(command, bytes)?;
        self.last_sequence = sequence;
        Ok(proposal)
    }

    fn propose_encoded(&mut self, command: &Command, bytes: Vec<u8>) -> Result<(), ProposeError> {
        let next_index = self.node.raft.raft_log.last_index() + 1;
        let (outcome, next) = self.membership.evaluate(next_index, command);
        if matches!(outcome, CommandOutcome::Unchanged | CommandOutcome::Rejected(_)) {
            return Err(ProposeError::NoEffect(outcome));
        }
        let changes = next.map_or_else(Vec::new, |next| conf_changes(&self.membership, &next));
        let proposed = if changes.is_empty() {
            self.node.propose(Vec::new(), bytes)
        } else {
            if self.has_pending_membership_change() {
                return Err(ProposeError::MembershipChangePending);
            }
            let mut change = ConfChangeV2::default();
            change.set_changes(changes.into());
            change.set_context(bytes.into());
            self.node.propose_conf_change(Vec::new(), change)
        };
        proposed.map_err(|_| ProposeError::CapacityExceeded)
    }

    /// Makes a snapshot of everything that was applied and returned by [`ConsensusLog::ready`], and drops
    /// older entries. `application_state` is the resulting state of the other components of the cluster.
    ///
    /// # Errors
    /// Returns a [`CompactError`] if no snapshot was made; the state is unchanged in that case.
    pub fn compact(&mut self, application_state: &[u8]) -> Result<(), CompactError> {
        if self.node.has_ready() || !self.actions.is_empty() {
            return Err(CompactError::ActionsPending);
        }
        let storage = self.node.store();
        let last_included = EntryId { index: self.applied, term: storage.term(self.applied).unwrap_or(0) };
        let conf_state = storage.conf_state.clone();
        let snapshot =
            stored::encode_snapshot(last_included, conf_state, &self.membership, application_state);
        let bytes = snapshot
            .write_to_bytes()
            .map_err(|e| CompactError::Codec(DecodeError::Undecodable(e.to_string())))?;
        let max_bytes = self.limits.max_frame_bytes.saturating_sub(HEADER_BYTES + SNAPSHOT_OVERHEAD_BYTES);
        if bytes.len() > max_bytes {
            return Err(CompactError::TooLarge { bytes: bytes.len(), max_bytes });
        }
        let last_dropped = self.applied.saturating_sub(self.limits.retained_entries);
        let storage = self.node.mut_store();
        storage.snapshot = snapshot;
        storage.drop_before(last_dropped + 1);
        let batch = WriteBatch {
            hard_state: (&storage.hard_state).into(),
            snapshot: Some(bytes),
            // The entry before the first one stays on disk, so that its term is known after a restart.
            first_index: storage.base.index,
            ..WriteBatch::default()
        };
        self.compaction_due = false;
        self.actions.push(LogAction::Persist(batch));
        Ok(())
    }
}
