//! Checks a peer's message against the local log before it is passed to the `raft` crate. The crate panics on
//! a message that contradicts its state, such as a heartbeat that commits beyond its last entry or an entry
//! that differs from a committed one. Such a message is rejected here with a reason and has no effect.
use raft::eraftpb::{ConfState, EntryType, Message, MessageType};

use super::error::ReceiveError;
use super::stored;

/// Upper bound on terms and indexes. At one entry per microsecond it is reached after two thousand years.
const NUMBER_LIMIT: u64 = 1 << 56;

/// The properties of the local log that a message may contradict.
pub(super) struct LocalLog<'a> {
    pub voter_id: u64,
    /// The current term. Messages of an earlier term have no effect, and may contradict the log.
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
        contradiction: &'static str,
    ) -> Result<(), ReceiveError> {
        if contradicts && message.term >= self.term {
            return Err(ReceiveError::ContradictsLog(contradiction));
        }
        Ok(())
    }
}

fn reject_field(is_invalid: bool, field: &'static str) -> Result<(), ReceiveError> {
    if is_invalid {
        return Err(ReceiveError::InvalidField(field));
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
            "commit index is beyond the last local entry",
        ),
        // A rejection refers to an index in the leader's own request, so both indexes lie within its log.
        MessageType::MsgAppendResponse => local.reject_contradiction(
            message,
            message.index > local.last_index || message.reject_hint > local.last_index,
            "response refers to an index beyond the last local entry",
        ),
        MessageType::MsgSnapshot => check_snapshot(message, local),
        _ => Ok(()),
    }
}

/// Checks the type, the recipient and the sender.
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
    reject_field(message.from == 0 || message.from == local.voter_id, "sender is missing or is the receiver")
}

/// Checks fields that must be bounded or empty, whatever the local log holds.
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
    reject_field(message.term == 0, "term is missing")?;
    reject_field(numbers.iter().any(|number| *number >= NUMBER_LIMIT), "term or index is out of range")?;
    reject_field(message.request_snapshot != 0, "snapshot request is not supported")?;
    reject_field(
        kind != MessageType::MsgAppend && !message.get_entries().is_empty(),
        "message of this type has entries",
    )?;
    reject_field(kind != MessageType::MsgSnapshot && has_snapshot, "message of this type has a snapshot")?;
    // The crate sets the context of heartbeats only for reads, which are not used, and that of votes only for
    // leader transfers.
    reject_field(!message.context.is_empty() && !is_vote, "message has an unexpected context")
}

fn check_append(message: &Message, local: &LocalLog<'_>) -> Result<(), ReceiveError> {
    let mut index = message.index;
    let mut term = message.log_term;
    for entry in message.get_entries() {
        reject_field(entry.index != index + 1, "entry indexes are not consecutive")?;
        reject_field(
            entry.term < term || entry.term > message.term || entry.term == 0,
            "entry terms are missing, decreasing or too high",
        )?;
        let is_committed = entry.index <= local.committed;
        let differs = is_committed && (local.term_at)(entry.index).is_some_and(|term| term != entry.term);
        local.reject_contradiction(message, differs, "entry differs from a committed one")?;
        reject_field(
            entry.get_entry_type() == EntryType::EntryConfChange,
            "entry is a v1 configuration change",
        )?;
        index = entry.index;
        term = entry.term;
    }
    local.reject_contradiction(
        message,
        message.index >= local.committed && message.log_term < local.committed_term,
        "log is older than the committed entries",
    )?;
    local.reject_contradiction(
        message,
        message.index == local.committed && message.log_term != local.committed_term,
        "term of the last committed entry differs",
    )
}

fn check_snapshot(message: &Message, local: &LocalLog<'_>) -> Result<(), ReceiveError> {
    let metadata = message.get_snapshot().get_metadata();
    let is_invalid = metadata.index == 0
        || metadata.index >= NUMBER_LIMIT
        || metadata.term == 0
        || metadata.term > message.term;
    reject_field(is_invalid, "snapshot index or term is out of range")?;
    reject_field(!is_valid_conf_state(metadata.get_conf_state()), "snapshot has an invalid set of voters")?;
    let differs = (local.term_at)(metadata.index).is_some_and(|term| term != metadata.term);
    local.reject_contradiction(
        message,
        metadata.index <= local.committed && differs,
        "entry differs from a committed one",
    )?;
    stored::decode_snapshot(message.get_snapshot()).map_err(|e| ReceiveError::Undecodable(e.to_string()))?;
    Ok(())
}

/// Returns whether the crate accepts these voters and learners; it panics on sets that it does not accept.
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
