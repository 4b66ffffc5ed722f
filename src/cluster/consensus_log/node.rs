//! The machine itself: one voter, or one member that only learns.
mod apply;

use std::collections::BTreeMap;
use std::rc::Rc;

use protobuf::Message as _;
use raft::eraftpb::{ConfChangeV2, Entry, HardState as RaftHardState, Message, Snapshot};
use raft::{Config, ProgressState, RawNode, SnapshotStatus, StateRole, Storage as _};

use self::apply::changes;
use super::command::{self, mix, Command, ProposalId};
use super::frame::{self, Held, ReceiveError, HEAD};
use super::membership::{CommandOutcome, Membership, MAX_MEMBERS};
use super::memory::Memory;
use super::stored::{self, HardState, StoredLog, WriteBatch};
use super::{voter_id, CompactError, Identity, Limits, LogAction, ProposeError, RecoveryError};

pub struct ConsensusLog {
    node: RawNode<Memory>,
    me: Identity,
    id: u64,
    cluster: u64,
    limits: Limits,
    seed: u64,
    serial: u64,
    ticks: u64,
    roster: Membership,
    /// Names of the voters and of those who learn.
    names: BTreeMap<u64, Rc<str>>,
    applied: u64,
    leads: bool,
    wants: bool,
    stopped: Option<String>,
    acts: Vec<LogAction>,
}

impl ConsensusLog {
    /// Goes on from what is durable.
    pub fn new(me: Identity, stored: StoredLog, limits: Limits) -> Result<ConsensusLog, RecoveryError> {
        let id = voter_id(&me.name, me.disk_id);
        let mut memory = Memory::default();
        let mut roster = Membership::default();
        let mut acts = Vec::new();
        if let Some(bytes) = &stored.snapshot {
            let snapshot = Snapshot::parse_from_bytes(bytes)
                .map_err(|e| command::DecodeError::Undecodable(e.to_string()))?;
            if !frame::plausible(snapshot.get_metadata().get_conf_state()) {
                return Err(RecoveryError::InvalidVoters);
            }
            let (kept, others) = stored::contents(&snapshot)?;
            roster = kept;
            acts.push(LogAction::Restored {
                index: snapshot.get_metadata().index,
                membership: roster.clone(),
                application_state: others,
            });
            memory.install(snapshot);
        }
        let from = memory.base.0;
        let mut entries = Vec::with_capacity(stored.entries.len());
        for (index, bytes) in &stored.entries {
            let entry = stored::entry(bytes)?;
            let follows =
                entries.last().map_or(entry.index <= from + 1, |e: &Entry| entry.index == e.index + 1);
            if entry.index != *index || !follows {
                return Err(RecoveryError::Gap(*index));
            }
            entries.push(entry);
        }
        // Entries before the snapshot stay for members that are behind; the place before the first is not known any
        // more, so that the first one kept becomes the base.
        if entries.first().is_some_and(|e| e.index <= from) {
            let first = entries.remove(0);
            memory.base = (first.index, first.term);
        }
        memory.append(&entries);
        let HardState { term, vote, commit } = stored.hard_state;
        if commit > memory.last() || commit < from {
            return Err(RecoveryError::MissingEntries(commit.max(from)));
        }
        memory.hard = RaftHardState { term, vote, commit, ..RaftHardState::default() };
        let config = Config {
            id,
            election_tick: limits.election_ticks,
            heartbeat_tick: limits.heartbeat_ticks,
            min_election_tick: limits.election_ticks,
            max_election_tick: limits.election_ticks.saturating_mul(2),
            applied: from,
            // Well under a frame: one entry more than this may follow it into the message.
            max_size_per_msg: (limits.max_frame_bytes.saturating_sub(limits.max_command_bytes + 1024) / 2)
                as u64,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: limits.max_uncommitted_bytes as u64,
            max_committed_size_per_ready: 1 << 20,
            ..Config::default()
        };
        if limits.max_command_bytes + 1024 > limits.max_frame_bytes {
            return Err(RecoveryError::InvalidLimits("a command does not fit in a frame".into()));
        }
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        let node =
            RawNode::new(&config, memory, &quiet).map_err(|e| RecoveryError::InvalidLimits(e.to_string()))?;
        let mut log = ConsensusLog {
            node,
            seed: mix(id),
            me,
            id,
            cluster: stored.cluster_id,
            limits,
            serial: 0,
            ticks: 0,
            names: BTreeMap::new(),
            roster,
            applied: from,
            leads: false,
            wants: false,
            stopped: None,
            acts,
        };
        log.name_voters();
        log.time_out();
        Ok(log)
    }

    /// This voter, and the number of its cluster.
    pub fn identity(&self) -> (&Identity, u64) {
        (&self.me, self.cluster)
    }

    pub fn membership(&self) -> &Membership {
        &self.roster
    }

    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    pub fn is_leader(&self) -> bool {
        self.leads
    }

    /// Who leads, as far as this member knows.
    pub fn leader(&self) -> Option<Rc<str>> {
        self.names.get(&self.node.raft.leader_id).cloned()
    }

    pub fn term(&self) -> u64 {
        self.node.raft.term
    }

    /// A change of voters is not complete yet: those before it count beside those after it, and a disk more that is lost
    /// now may take the majority of one of the two.
    pub fn has_pending_membership_change(&self) -> bool {
        self.node.raft.has_pending_conf() || !self.node.store().conf.get_voters_outgoing().is_empty()
    }

    /// First and last index of the entries held, and their bytes.
    pub fn retained_log(&self) -> (u64, u64, usize) {
        let memory = self.node.store();
        (memory.first(), memory.last(), memory.bytes)
    }

    pub fn tick(&mut self) {
        if self.stopped.is_none() {
            self.ticks += 1;
            if self.leads && self.ticks.is_multiple_of(2 * self.limits.election_ticks as u64) {
                self.snapshots_again();
            }
            self.node.tick();
            self.time_out();
        }
    }

    /// Messages get lost without a word, and the crate waits for word of a snapshot: those under way go once more.
    fn snapshots_again(&mut self) {
        let waits = |(id, p): (&u64, &raft::Progress)| (p.state == ProgressState::Snapshot).then_some(*id);
        let waiting: Vec<u64> = self.node.raft.prs().iter().filter_map(waits).collect();
        for id in waiting {
            self.node.report_snapshot(id, SnapshotStatus::Failure);
        }
    }

    /// A message of another member, with the name that its connection gave.
    pub fn receive(&mut self, from: &str, bytes: &[u8]) -> Result<(), ReceiveError> {
        if let Some(why) = &self.stopped {
            return Err(ReceiveError::Stopped(why.clone()));
        }
        let message = frame::decode(self.cluster, self.limits.max_frame_bytes, bytes)?;
        if self.names.get(&message.from).is_some_and(|name| &**name != from) {
            return Err(ReceiveError::InvalidField("in another's name"));
        }
        let log = &self.node.raft.raft_log;
        let held = Held {
            me: self.id,
            term: self.node.raft.term,
            last: log.last_index(),
            committed: log.committed,
            committed_term: log.term(log.committed).unwrap_or(0),
            term_at: &|index| log.term(index).ok().filter(|t| *t != 0),
        };
        frame::check(&message, &held)?;
        if !self.names.contains_key(&message.from) && self.names.len() < 2 * MAX_MEMBERS {
            // A member that joins knows nobody yet and has to answer.
            self.names.insert(message.from, from.into());
        }
        let done = self.node.step(message).map_err(|e| ReceiveError::Rejected(e.to_string()));
        self.time_out();
        done
    }

    /// Proposes to the others; only the leader can. A proposal that was taken may still vanish with its leader: whoever
    /// made it asks again until it sees it applied, and one that stands already changes nothing.
    pub fn propose(&mut self, command: &Command) -> Result<ProposalId, ProposeError> {
        if let Some(why) = &self.stopped {
            return Err(ProposeError::Stopped(why.clone()));
        }
        if !self.leads {
            return Err(ProposeError::NotLeader { leader: self.leader() });
        }
        // A voter leads a term in one life at most: numbers of an earlier life are never given again.
        let serial = (self.serial + 1).max(self.node.raft.term << 32);
        let proposal = ProposalId { proposer: self.id, sequence: serial };
        let bytes = command::encode(proposal, command);
        if bytes.len() > self.limits.max_command_bytes {
            return Err(ProposeError::TooLarge {
                bytes: bytes.len(),
                max_bytes: self.limits.max_command_bytes,
            });
        }
        if self.node.store().bytes + bytes.len() > self.limits.max_log_bytes {
            return Err(ProposeError::CapacityExceeded);
        }
        let (outcome, next) = self.roster.evaluate(self.node.raft.raft_log.last_index() + 1, command);
        if matches!(outcome, CommandOutcome::Unchanged | CommandOutcome::Rejected(_)) {
            return Err(ProposeError::NoEffect(outcome));
        }
        let changes = next.map_or_else(Vec::new, |next| changes(&self.roster, &next));
        let taken = if changes.is_empty() {
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
        taken.map_err(|_| ProposeError::CapacityExceeded)?;
        self.serial = serial;
        Ok(proposal)
    }

    /// A snapshot of all that was applied and was given out by [`Log::ready`]: `others` is the state of the other parts
    /// after it. Older entries go.
    pub fn compact(&mut self, others: &[u8]) -> Result<(), CompactError> {
        if self.node.has_ready() || !self.acts.is_empty() {
            return Err(CompactError::ActionsPending);
        }
        let memory = self.node.store();
        let term = memory.term(self.applied).unwrap_or(0);
        let made = stored::snapshot(self.applied, term, memory.conf.clone(), &self.roster, others);
        let made = made.map_err(CompactError::Codec)?;
        let bytes = made
            .write_to_bytes()
            .map_err(|e| CompactError::Codec(command::DecodeError::Undecodable(e.to_string())))?;
        let most = self.limits.max_frame_bytes.saturating_sub(HEAD + 256);
        if bytes.len() > most {
            return Err(CompactError::TooLarge { bytes: bytes.len(), max_bytes: most });
        }
        let keep = self.applied.saturating_sub(self.limits.retained_entries);
        let memory = self.node.mut_store();
        memory.snapshot = made;
        memory.drop_before(keep + 1);
        // The entry before the first one stays on disk, so that its term is known after a restart.
        let first = memory.base.0;
        let batch = WriteBatch {
            hard_state: (&memory.hard).into(),
            snapshot: Some(bytes),
            first_index: first,
            ..WriteBatch::default()
        };
        self.wants = false;
        self.acts.push(LogAction::Persist(batch));
        Ok(())
    }

    /// What is to be done since the last call, in order.
    pub fn ready(&mut self) -> Vec<LogAction> {
        while self.stopped.is_none() && self.node.has_ready() {
            self.step_ready();
        }
        let behind = self.applied - self.node.store().snapshot.get_metadata().index;
        if (self.wants || behind > self.limits.retained_entries) && self.stopped.is_none() && self.applied > 0
        {
            self.wants = true;
            if !self.acts.contains(&LogAction::Compact) {
                self.acts.push(LogAction::Compact);
            }
        }
        std::mem::take(&mut self.acts)
    }

    /// Invariant: the batch comes before every message and everything applied that rests on it.
    fn step_ready(&mut self) {
        let mut ready = self.node.ready();
        let mut batch = WriteBatch { first_index: self.node.store().base.0, ..WriteBatch::default() };
        let mut write = false;
        let mut restored = None;
        if !ready.snapshot().is_empty() {
            let snapshot = ready.snapshot().clone();
            match (stored::contents(&snapshot), snapshot.write_to_bytes()) {
                (Ok((roster, others)), Ok(bytes)) => {
                    let index = snapshot.get_metadata().index;
                    batch.snapshot = Some(bytes);
                    batch.truncate_from = Some(0);
                    batch.first_index = index;
                    self.node.mut_store().install(snapshot);
                    self.roster = roster.clone();
                    self.name_voters();
                    self.applied = index;
                    restored =
                        Some(LogAction::Restored { index, membership: roster, application_state: others });
                    write = true;
                }
                // Looked at before it was stepped: not reached.
                _ => return self.stop("a snapshot that can't be read"),
            }
        }
        let entries = ready.take_entries();
        if let Some(first) = entries.first() {
            batch.truncate_from = Some(batch.truncate_from.unwrap_or(first.index));
            for e in &entries {
                match e.write_to_bytes() {
                    Ok(bytes) => batch.entries.push((e.index, bytes)),
                    Err(_) => return self.stop("an entry that can't be written"),
                }
            }
            self.node.mut_store().append(&entries);
            write = true;
        }
        if let Some(hs) = ready.hs() {
            let old = &self.node.store().hard;
            // Where the log is agreed on is a help alone: it waits for the next batch.
            write |= (hs.term, hs.vote) != (old.term, old.vote);
            self.node.mut_store().hard = hs.clone();
        }
        if write {
            batch.hard_state = (&self.node.store().hard).into();
            self.acts.push(LogAction::Persist(batch));
        }
        self.acts.extend(restored);
        let leads = self.node.raft.state == StateRole::Leader;
        if leads != self.leads {
            self.leads = leads;
            self.acts.push(LogAction::Lead(leads));
        }
        let mut messages = ready.take_messages();
        messages.append(&mut ready.take_persisted_messages());
        self.send(messages);
        let agreed = ready.take_committed_entries();
        self.apply(agreed);
        if self.stopped.is_some() {
            return;
        }
        let mut light = self.node.advance(ready);
        if let Some(commit) = light.commit_index() {
            self.node.mut_store().hard.commit = commit;
        }
        self.send(light.take_messages());
        let agreed = light.take_committed_entries();
        self.apply(agreed);
        self.node.advance_apply();
        self.time_out();
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            // Voters that are no more are not answered.
            let Some(to) = self.names.get(&message.to).cloned() else { continue };
            match frame::encode(self.cluster, &message) {
                Ok(bytes) => self.acts.push(LogAction::Send { to, bytes }),
                Err(_) => return self.stop("a message that can't be written"),
            }
        }
    }

    fn stop(&mut self, why: &str) {
        self.stopped = Some(why.to_string());
        self.leads = false;
        self.acts.push(LogAction::Stopped(why.to_string()));
    }

    fn name_voters(&mut self) {
        self.names = self.roster.members().map(|s| (s.voter_id(), s.member.id.name.clone())).collect();
    }

    /// The crate draws a time-out by chance whenever term or role change, for use in later ticks: this takes its place
    /// before any of them.
    fn time_out(&mut self) {
        let raft = &mut self.node.raft;
        let drawn = mix(self.seed ^ mix(raft.term << 3 | raft.state as u64));
        let election = self.limits.election_ticks as u64;
        raft.set_randomized_election_timeout((election + drawn % election) as usize);
    }
}
