//! The log's state machine: one voter or one learner.
mod apply;
mod propose;
mod ready;
mod recovery;

use std::collections::BTreeMap;
use std::rc::Rc;

use raft::{Config, ProgressState, RawNode, SnapshotStatus};

use self::recovery::Recovered;
use super::error::{ReceiveError, RecoveryError};
use super::frame;
use super::hash::splitmix64;
use super::membership::{Membership, MAX_MEMBERS};
use super::message_check::{self, LocalLog};
use super::storage::MemoryStorage;
use super::stored::StoredLog;
use super::{voter_id, Identity, Limits, LogAction};

/// Upper bound on the overhead of an entry in a message beside its command, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 1024;
/// Maximum number of unanswered appends from the leader to a voter.
const MAX_INFLIGHT_APPENDS: usize = 64;
/// Maximum size of the committed entries in one `Ready` of the crate, in bytes.
const MAX_COMMITTED_BYTES_PER_READY: u64 = 1 << 20;

/// One member's replica of the log, around the crate's `RawNode`.
///
/// After each tick, message or proposal, the caller must take the actions from [`ConsensusLog::ready`] and
/// carry them out in order.
pub struct ConsensusLog {
    node: RawNode<MemoryStorage>,
    identity: Identity,
    voter_id: u64,
    cluster_id: u64,
    limits: Limits,
    /// Seed of the election timeouts.
    seed: u64,
    /// Sequence number of the last proposal.
    last_sequence: u64,
    ticks: u64,
    membership: Membership,
    /// Names of voters and learners by voter id.
    names: BTreeMap<u64, Rc<str>>,
    /// Index of the last applied entry.
    applied: u64,
    is_leader: bool,
    /// Whether a snapshot was requested and is not made yet.
    compaction_due: bool,
    stop_reason: Option<String>,
    actions: Vec<LogAction>,
}

/// Range of the entries in memory, and their size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetainedLog {
    /// Index of the first entry, or of the next one if there is none.
    pub first_index: u64,
    /// Index of the last entry, or of the one before the first if there is none.
    pub last_index: u64,
    /// Approximate memory used by the entries, in bytes.
    pub bytes: usize,
}

impl ConsensusLog {
    /// Resumes from the durable state.
    ///
    /// # Errors
    /// Returns a [`RecoveryError`] if `stored` is not a log written by this voter, or if `limits` contradict
    /// each other.
    pub fn new(identity: Identity, stored: StoredLog, limits: Limits) -> Result<ConsensusLog, RecoveryError> {
        let voter_id = voter_id(&identity.name, identity.disk_id);
        let Recovered { storage, membership, applied, restored } = Recovered::new(&stored)?;
        if limits.max_command_bytes + ENTRY_OVERHEAD_BYTES > limits.max_frame_bytes {
            return Err(RecoveryError::InvalidLimits(
                "max_command_bytes does not fit into max_frame_bytes".into(),
            ));
        }
        let config = raft_config(voter_id, applied, &limits);
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, storage, &logger)
            .map_err(|e| RecoveryError::InvalidLimits(e.to_string()))?;
        let mut log = ConsensusLog {
            node,
            seed: splitmix64(voter_id),
            identity,
            voter_id,
            cluster_id: stored.cluster_id,
            limits,
            last_sequence: 0,
            ticks: 0,
            names: BTreeMap::new(),
            membership,
            applied,
            is_leader: false,
            compaction_due: false,
            stop_reason: None,
            actions: restored.into_iter().collect(),
        };
        log.update_names();
        log.set_election_timeout();
        Ok(log)
    }

    /// Returns the identity of this voter, and the id of its cluster.
    pub fn identity(&self) -> (&Identity, u64) {
        (&self.identity, self.cluster_id)
    }

    /// Returns the membership as of the last applied entry.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the index of the last applied entry; 0 if there is none.
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// Returns whether this voter is the leader of its term.
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// Returns the leader's name, if this member knows it.
    pub fn leader(&self) -> Option<Rc<str>> {
        self.names.get(&self.node.raft.leader_id).cloned()
    }

    /// Returns the newest term that this voter knows.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// Returns whether a joint configuration change is in progress. Until it finishes, a majority of the old
    /// voters and a majority of the new ones must agree, so the loss of one further disk may make either
    /// majority unreachable.
    pub fn has_pending_membership_change(&self) -> bool {
        self.node.raft.has_pending_conf() || !self.node.store().conf_state.get_voters_outgoing().is_empty()
    }

    /// Returns the range and size of the entries in memory.
    pub fn retained_log(&self) -> RetainedLog {
        let storage = self.node.store();
        RetainedLog {
            first_index: storage.first_entry_index(),
            last_index: storage.last_entry_index(),
            bytes: storage.entry_bytes,
        }
    }

    /// Advances Raft's logical clock by one tick; see [`Limits::election_ticks`].
    pub fn tick(&mut self) {
        if self.stop_reason.is_some() {
            return;
        }
        self.ticks += 1;
        if self.is_leader && self.ticks.is_multiple_of(2 * self.limits.election_ticks as u64) {
            self.retransmit_snapshots();
        }
        self.node.tick();
        self.set_election_timeout();
    }

    /// Reports all snapshots in flight as failed, so that the crate retransmits them. The crate waits for a
    /// report on each snapshot that it sent, and a lost message produces none.
    fn retransmit_snapshots(&mut self) {
        let progress = self.node.raft.prs().iter();
        let in_snapshot = progress.filter(|(_, progress)| progress.state == ProgressState::Snapshot);
        let receivers: Vec<u64> = in_snapshot.map(|(id, _)| *id).collect();
        for id in receivers {
            self.node.report_snapshot(id, SnapshotStatus::Failure);
        }
    }

    /// Handles a message of another member. `from` is the member's name as given by its connection.
    ///
    /// # Errors
    /// Returns a [`ReceiveError`] if this voter rejects the message; the state is unchanged in that case.
    pub fn receive(&mut self, from: &str, bytes: &[u8]) -> Result<(), ReceiveError> {
        if let Some(reason) = &self.stop_reason {
            return Err(ReceiveError::Stopped(reason.clone()));
        }
        let message = frame::decode(self.cluster_id, self.limits.max_frame_bytes, bytes)?;
        if self.names.get(&message.from).is_some_and(|name| &**name != from) {
            return Err(ReceiveError::InvalidField("sender id belongs to another member"));
        }
        let log = &self.node.raft.raft_log;
        let local = LocalLog {
            voter_id: self.voter_id,
            term: self.node.raft.term,
            last_index: log.last_index(),
            committed: log.committed,
            committed_term: log.term(log.committed).unwrap_or(0),
            term_at: &|index| log.term(index).ok().filter(|term| *term != 0),
        };
        message_check::check(&message, &local)?;
        if !self.names.contains_key(&message.from) && self.names.len() < 2 * MAX_MEMBERS {
            // A joining member does not know the names of the others yet, but has to answer them.
            self.names.insert(message.from, from.into());
        }
        let result = self.node.step(message).map_err(|e| ReceiveError::Rejected(e.to_string()));
        self.set_election_timeout();
        result
    }

    fn stop(&mut self, reason: &str) {
        self.stop_reason = Some(reason.to_string());
        self.is_leader = false;
        self.actions.push(LogAction::Stopped(reason.to_string()));
    }

    fn update_names(&mut self) {
        let name = |voter: &super::Voter| (voter.voter_id(), voter.member.id.name.clone());
        self.names = self.membership.members().map(name).collect();
    }

    /// Replaces the election timeout that the crate draws at random whenever the term or the role changes.
    /// Must be called before a tick uses the random value, so that equal events have equal effects.
    fn set_election_timeout(&mut self) {
        let raft = &mut self.node.raft;
        let hash = splitmix64(self.seed ^ splitmix64(raft.term << 3 | raft.state as u64));
        let election_ticks = self.limits.election_ticks as u64;
        raft.set_randomized_election_timeout((election_ticks + hash % election_ticks) as usize);
    }
}

fn raft_config(voter_id: u64, applied: u64, limits: &Limits) -> Config {
    let command_bytes = limits.max_command_bytes + ENTRY_OVERHEAD_BYTES;
    Config {
        id: voter_id,
        election_tick: limits.election_ticks,
        heartbeat_tick: limits.heartbeat_ticks,
        min_election_tick: limits.election_ticks,
        max_election_tick: limits.election_ticks.saturating_mul(2),
        applied,
        // The crate may exceed this size by one entry, so it is set well below the frame size.
        max_size_per_msg: (limits.max_frame_bytes.saturating_sub(command_bytes) / 2) as u64,
        max_inflight_msgs: MAX_INFLIGHT_APPENDS,
        check_quorum: true,
        pre_vote: true,
        max_uncommitted_size: limits.max_uncommitted_bytes as u64,
        max_committed_size_per_ready: MAX_COMMITTED_BYTES_PER_READY,
        ..Config::default()
    }
}
