//! The state machine itself: one voter, or one learner.
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
use super::hash::mix;
use super::membership::{Membership, MAX_MEMBERS};
use super::message_check::{self, LocalLog};
use super::storage::MemoryStorage;
use super::stored::StoredLog;
use super::{voter_id, Identity, Limits, LogAction};

/// Room that an entry takes in a message beside its command, in bytes, at most.
const ENTRY_OVERHEAD_BYTES: usize = 1024;
/// Appends that the leader sends to a voter without an answer.
const MAX_INFLIGHT_APPENDS: usize = 64;
/// Committed entries that one `Ready` of the crate brings, in bytes.
const MAX_COMMITTED_BYTES_PER_READY: u64 = 1 << 20;

/// One member's replica of the log, around the crate's `RawNode`.
///
/// Feed it ticks, messages and proposals; after each, take [`ConsensusLog::ready`] and carry out its actions
/// in order.
pub struct ConsensusLog {
    node: RawNode<MemoryStorage>,
    identity: Identity,
    voter_id: u64,
    cluster_id: u64,
    limits: Limits,
    /// Of the election timeouts.
    seed: u64,
    /// Of the last proposal.
    last_sequence: u64,
    ticks: u64,
    membership: Membership,
    /// Names by voter id, of voters and learners.
    names: BTreeMap<u64, Rc<str>>,
    /// Index of the last entry that was applied.
    applied: u64,
    is_leader: bool,
    /// A snapshot was asked for and is not made yet.
    compaction_due: bool,
    stop_reason: Option<String>,
    actions: Vec<LogAction>,
}

/// First and last index of the entries in memory, and the memory that they take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetainedLog {
    /// Index of the first entry, or of the next one where there is none.
    pub first_index: u64,
    /// Index of the last entry, or of the one before the first where there is none.
    pub last_index: u64,
    /// Memory of the entries in bytes, about.
    pub bytes: usize,
}

impl ConsensusLog {
    /// Goes on from what is durable.
    ///
    /// # Errors
    /// [`RecoveryError`] where `stored` is no log that this voter wrote, or `limits` contradict each other.
    pub fn new(identity: Identity, stored: StoredLog, limits: Limits) -> Result<ConsensusLog, RecoveryError> {
        let voter_id = voter_id(&identity.name, identity.disk_id);
        let Recovered { storage, membership, applied, restored } = Recovered::new(&stored)?;
        if limits.max_command_bytes + ENTRY_OVERHEAD_BYTES > limits.max_frame_bytes {
            return Err(RecoveryError::InvalidLimits("a command does not fit in a frame".into()));
        }
        let config = raft_config(voter_id, applied, &limits);
        let silent = slog::Logger::root(slog::Discard, slog::o!());
        let node = RawNode::new(&config, storage, &silent)
            .map_err(|e| RecoveryError::InvalidLimits(e.to_string()))?;
        let mut log = ConsensusLog {
            node,
            seed: mix(voter_id),
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

    /// This voter, and the id of its cluster.
    pub fn identity(&self) -> (&Identity, u64) {
        (&self.identity, self.cluster_id)
    }

    /// The membership as of the last entry that was applied.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Index of the last entry that was applied; 0 for none.
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// Whether this voter leads in its term.
    pub fn is_leader(&self) -> bool {
        self.is_leader
    }

    /// The leader's name, as far as this member knows it.
    pub fn leader(&self) -> Option<Rc<str>> {
        self.names.get(&self.node.raft.leader_id).cloned()
    }

    /// The newest term that this voter knows.
    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// Whether a joint change of voters has not finished: a majority of the old voters and one of the new
    /// have to agree meanwhile, and one further disk that is lost may take either majority away.
    pub fn has_pending_membership_change(&self) -> bool {
        self.node.raft.has_pending_conf() || !self.node.store().conf_state.get_voters_outgoing().is_empty()
    }

    /// The entries in memory.
    pub fn retained_log(&self) -> RetainedLog {
        let storage = self.node.store();
        RetainedLog {
            first_index: storage.first_entry_index(),
            last_index: storage.last_entry_index(),
            bytes: storage.entry_bytes,
        }
    }

    /// Advances Raft's clock by one tick, see [`Limits::election_ticks`].
    pub fn tick(&mut self) {
        if self.stop_reason.is_some() {
            return;
        }
        self.ticks += 1;
        if self.is_leader && self.ticks.is_multiple_of(2 * self.limits.election_ticks as u64) {
            self.resend_snapshots();
        }
        self.node.tick();
        self.set_election_timeout();
    }

    /// The crate waits for a report on each snapshot that it sent, and messages are lost without one: those
    /// in flight are reported as failed, so that they are sent again.
    fn resend_snapshots(&mut self) {
        let progress = self.node.raft.prs().iter();
        let in_snapshot = progress.filter(|(_, progress)| progress.state == ProgressState::Snapshot);
        let receivers: Vec<u64> = in_snapshot.map(|(id, _)| *id).collect();
        for id in receivers {
            self.node.report_snapshot(id, SnapshotStatus::Failure);
        }
    }

    /// Handles a message of another member; `from` is the name that its connection gave.
    ///
    /// # Errors
    /// [`ReceiveError`] for a message that this voter rejects; nothing has changed then.
    pub fn receive(&mut self, from: &str, bytes: &[u8]) -> Result<(), ReceiveError> {
        if let Some(reason) = &self.stop_reason {
            return Err(ReceiveError::Stopped(reason.clone()));
        }
        let message = frame::decode(self.cluster_id, self.limits.max_frame_bytes, bytes)?;
        if self.names.get(&message.from).is_some_and(|name| &**name != from) {
            return Err(ReceiveError::InvalidField("in another's name"));
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
            // A member that joins knows no names yet and has to answer.
            self.names.insert(message.from, from.into());
        }
        let stepped = self.node.step(message).map_err(|e| ReceiveError::Rejected(e.to_string()));
        self.set_election_timeout();
        stepped
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

    /// The crate draws an election timeout at random whenever term or role change, for use in later ticks.
    /// This replaces it before any of them, so that the same events have the same effect.
    fn set_election_timeout(&mut self) {
        let raft = &mut self.node.raft;
        let drawn = mix(self.seed ^ mix(raft.term << 3 | raft.state as u64));
        let election_ticks = self.limits.election_ticks as u64;
        raft.set_randomized_election_timeout((election_ticks + drawn % election_ticks) as usize);
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
        // Well below a frame: one more entry than this may follow it into the message.
        max_size_per_msg: (limits.max_frame_bytes.saturating_sub(command_bytes) / 2) as u64,
        max_inflight_msgs: MAX_INFLIGHT_APPENDS,
        check_quorum: true,
        pre_vote: true,
        max_uncommitted_size: limits.max_uncommitted_bytes as u64,
        max_committed_size_per_ready: MAX_COMMITTED_BYTES_PER_READY,
        ..Config::default()
    }
}
