//! Checks a peer's message against the local log before it reaches the crate `raft`, which stops the process
//! on a message that contradicts what it holds: a heartbeat beyond its last entry, an entry that differs from
//! a committed one. Such a message is rejected here, with a reason, and changes nothing.
use raft::eraftpb::{ConfState, EntryType, Message, MessageType};

use super::error::ReceiveError;
use super::stored;

/// Terms and indexes stay below this: an entry each microsecond reaches it in two thousand years.
const NUMBER_LIMIT: u64 = 1 << 56;

/// The local log, as far as a message may contradict it.
pub(super) struct LocalLog<'a> {
    pub voter_id: u64,
    /// Messages of an earlier term are not acted on, and may well contradict.
    pub term: u64,
    pub last_index: u64,
    pub committed: u64,
    /// Term of the entry at `committed`.
    pub committed_term: u64,
    pub term_at: &'a dyn Fn(u64) -> Option<u64>,
}

impl LocalLog<'_> {
    fn reject_contradiction(
        &self,
        message: &Message,
        contradicts: bool,
        what: &'static str,
    ) -> Result<(), ReceiveError> {
        if contradicts && message.term >= self.term {
            return Err(ReceiveError::ContradictsLog(what));
        }
        Ok(())
    }
}

fn reject_field(is_invalid: bool, what: &'static str) -> Result<(), ReceiveError> {
    if is_invalid {
        return Err(ReceiveError::InvalidField(what));
    }
    Ok(())
}

pub(super) fn check(message: &Message, local: &LocalLog<'_>) -> Result<(), ReceiveError> {
    check_envelope(message, local)?;
    check_fields(message)?;
    match message.get_msg_type() {
        MessageType::MsgAppend => check_append(message, local),
        MessageType::MsgHeartbeat => local.reject_contradiction(
            message,
            message.commit > local.last_index,
            "committed beyond this voter's last entry",
        ),
        // A rejection names the place of the leader's own question: both lie within its log.
        MessageType::MsgAppendResponse => local.reject_contradiction(
            message,
            message.index > local.last_index || message.reject_hint > local.last_index,
            "an answer beyond this voter's last entry",
        ),
        MessageType::MsgSnapshot => check_snapshot(message, local),
        _ => Ok(()),
    }
}

/// Type, recipient and sender.
fn check_envelope(message: &Message, local: &LocalLog<'_>) -> Result<(), ReceiveError> {
    let kind = message.get_msg_type();
    match kind {
        MessageType::MsgAppend
        | MessageType::MsgAppendResponse
        | MessageType::MsgRequestVote
        | MessageType::MsgRequestVoteResponse
        | MessageType::MsgSnapshot
        | MessageType::MsgHeartbeat
        | MessageType::MsgHeartbeatResponse
        | MessageType::MsgRequestPreVote
        | MessageType::MsgRequestPreVoteResponse => {}
        _ => return Err(ReceiveError::UnexpectedType(format!("{kind:?}"))),
    }
    if message.to != local.voter_id {
        return Err(ReceiveError::OtherRecipient(message.to));
    }
    reject_field(message.from == 0 || message.from == local.voter_id, "as nobody, or as the receiver")
}

/// Fields that are bounded, or empty, whatever the local log holds.
fn check_fields(message: &Message) -> Result<(), ReceiveError> {
    let kind = message.get_msg_type();
    let numbers = [
        message.term,
        message.log_term,
        message.index,
        message.commit,
        message.commit_term,
        message.reject_hint,
    ];
    let has_snapshot = message.has_snapshot() && !message.get_snapshot().is_empty();
    let is_vote = matches!(kind, MessageType::MsgRequestVote | MessageType::MsgRequestPreVote);
    reject_field(message.term == 0, "without a term")?;
    reject_field(numbers.iter().any(|number| *number >= NUMBER_LIMIT), "a number this high")?;
    reject_field(message.request_snapshot != 0, "a request for a snapshot")?;
    reject_field(
        kind != MessageType::MsgAppend && !message.get_entries().is_empty(),
        "entries in this kind",
    )?;
    reject_field(kind != MessageType::MsgSnapshot && has_snapshot, "a snapshot in this kind")?;
    // The crate fills a heartbeat's context only for reads, which are not used, and a vote's for a transfer.
    reject_field(!message.context.is_empty() && !is_vote, "a context")
}

fn check_append(message: &Message, local: &LocalLog<'_>) -> Result<(), ReceiveError> {
    let mut index = message.index;
    let mut term = message.log_term;
    for entry in message.get_entries() {
        reject_field(entry.index != index + 1, "entries with a gap")?;
        reject_field(
            entry.term < term || entry.term > message.term || entry.term == 0,
            "entries of such terms",
        )?;
        let is_committed = entry.index <= local.committed;
        let differs = is_committed && (local.term_at)(entry.index).is_some_and(|term| term != entry.term);
        local.reject_contradiction(message, differs, "an entry that is committed")?;
        reject_field(entry.get_entry_type() == EntryType::EntryConfChange, "a change of the first kind")?;
        index = entry.index;
        term = entry.term;
    }
    local.reject_contradiction(
        message,
        message.index >= local.committed && message.log_term < local.committed_term,
        "an older log than the committed one",
    )?;
    local.reject_contradiction(
        message,
        message.index == local.committed && message.log_term != local.committed_term,
        "another term of the committed entry",
    )
}

fn check_snapshot(message: &Message, local: &LocalLog<'_>) -> Result<(), ReceiveError> {
    let metadata = message.get_snapshot().get_metadata();
    let is_invalid = metadata.index == 0
        || metadata.index >= NUMBER_LIMIT
        || metadata.term == 0
        || metadata.term > message.term;
    reject_field(is_invalid, "such a snapshot")?;
    reject_field(!is_valid_conf_state(metadata.get_conf_state()), "such voters")?;
    let differs = (local.term_at)(metadata.index).is_some_and(|term| term != metadata.term);
    local.reject_contradiction(
        message,
        metadata.index <= local.committed && differs,
        "an entry that is committed",
    )?;
    stored::decode_snapshot(message.get_snapshot()).map_err(|e| ReceiveError::Undecodable(e.to_string()))?;
    Ok(())
}

/// Whether the crate accepts these voters and learners: it stops the process on others.
pub(super) fn is_valid_conf_state(conf: &ConfState) -> bool {
    let voters = conf.get_voters();
    let learners = conf.get_learners();
    let outgoing = conf.get_voters_outgoing();
    let learners_next = conf.get_learners_next();
    let is_voting = |id: &u64| voters.contains(id) || outgoing.contains(id) || learners_next.contains(id);
    !voters.is_empty()
        && [voters, learners, outgoing, learners_next].into_iter().all(are_distinct_ids)
        && !learners.iter().any(is_voting)
        && learners_next.iter().all(|id| outgoing.contains(id) && !voters.contains(id))
        && (!outgoing.is_empty() || !conf.auto_leave)
}

fn are_distinct_ids(ids: &[u64]) -> bool {
    let mut ids = ids.to_vec();
    ids.sort_unstable();
    ids.windows(2).all(|pair| pair[0] != pair[1]) && !ids.contains(&0)
}
