//! A message between voters as bytes, and what is looked at before one reaches the consensus. Its crate stops the
//! process when a message contradicts what it holds (a heartbeat beyond its last entry, an entry against an agreed
//! one): such a message is refused here, with a reason, and changes nothing.
use std::fmt;

use protobuf::Message as _;
use raft::eraftpb::{ConfState, EntryType, Message, MessageType};

use super::command::fnv;
use super::stored;

/// Version of the form, first byte of a frame.
const VERSION: u8 = 1;
/// Version, cluster, check.
pub(super) const HEAD: usize = 1 + 8 + 8;
/// Terms and indexes stay under this: an entry each microsecond reaches it in two thousand years.
const MOST: u64 = 1 << 56;

/// A message that was refused. Nothing changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReceiveError {
    TooLarge {
        bytes: usize,
        max_bytes: usize,
    },
    TooShort(usize),
    UnsupportedVersion(u8),
    /// Of another cluster.
    OtherCluster(u64),
    /// The check over the bytes does not agree.
    Corrupt,
    Undecodable(String),
    /// A kind that members do not send each other.
    UnexpectedType(String),
    /// For another voter: an earlier disk of this member, most likely.
    OtherRecipient(u64),
    /// Fields that no voter sends.
    InvalidField(&'static str),
    /// Against what this voter holds.
    ContradictsLog(&'static str),
    /// The consensus refused it.
    Rejected(String),
    /// This voter has stopped.
    Stopped(String),
}

impl fmt::Display for ReceiveError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReceiveError::TooLarge { bytes, max_bytes } => write!(f, "{bytes} bytes, {max_bytes} at most"),
            ReceiveError::TooShort(bytes) => write!(f, "{bytes} bytes are no message"),
            ReceiveError::UnsupportedVersion(v) => write!(f, "version {v}, {VERSION} is known"),
            ReceiveError::OtherCluster(c) => write!(f, "of cluster {c:x}"),
            ReceiveError::Corrupt => f.write_str("spoilt on its way"),
            ReceiveError::Undecodable(why) => write!(f, "undecodable: {why}"),
            ReceiveError::UnexpectedType(kind) => write!(f, "{kind} is not for members to send"),
            ReceiveError::OtherRecipient(to) => write!(f, "for voter {to:x}"),
            ReceiveError::InvalidField(what) => write!(f, "no voter sends {what}"),
            ReceiveError::ContradictsLog(what) => write!(f, "contradicts what is held: {what}"),
            ReceiveError::Rejected(why) => write!(f, "refused: {why}"),
            ReceiveError::Stopped(why) => write!(f, "stopped: {why}"),
        }
    }
}

impl std::error::Error for ReceiveError {}

pub(super) fn encode(cluster: u64, message: &Message) -> Result<Vec<u8>, protobuf::ProtobufError> {
    let body = message.write_to_bytes()?;
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.push(VERSION);
    bytes.extend_from_slice(&cluster.to_be_bytes());
    bytes.extend_from_slice(&fnv(&body).to_be_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// The size is looked at before anything is decoded: `most` bytes decode to some sixty times as much at worst, a
/// message of empty entries alone.
pub(super) fn decode(cluster: u64, most: usize, bytes: &[u8]) -> Result<Message, ReceiveError> {
    if bytes.len() > most {
        return Err(ReceiveError::TooLarge { bytes: bytes.len(), max_bytes: most });
    }
    let number =
        |b: &[u8]| b.try_into().map(u64::from_be_bytes).map_err(|_| ReceiveError::TooShort(bytes.len()));
    let (Some(version), Some(of), Some(check), Some(body)) =
        (bytes.first(), bytes.get(1..9), bytes.get(9..HEAD), bytes.get(HEAD..))
    else {
        return Err(ReceiveError::TooShort(bytes.len()));
    };
    if *version != VERSION {
        return Err(ReceiveError::UnsupportedVersion(*version));
    }
    let of = number(of)?;
    if of != cluster {
        return Err(ReceiveError::OtherCluster(of));
    }
    if number(check)? != fnv(body) {
        return Err(ReceiveError::Corrupt);
    }
    Message::parse_from_bytes(body).map_err(|e| ReceiveError::Undecodable(e.to_string()))
}

/// What this voter holds, as far as a message may contradict it.
pub(super) struct Held<'a> {
    pub me: u64,
    /// What comes from an earlier term is not acted on, and may well contradict.
    pub term: u64,
    pub last: u64,
    pub committed: u64,
    /// Of the entry up to which the log is agreed.
    pub committed_term: u64,
    pub term_at: &'a dyn Fn(u64) -> Option<u64>,
}

pub(super) fn check(message: &Message, held: &Held<'_>) -> Result<(), ReceiveError> {
    use MessageType::*;
    let fields = |wrong: bool, what| if wrong { Err(ReceiveError::InvalidField(what)) } else { Ok(()) };
    let now = message.term >= held.term;
    let against =
        |wrong: bool, what| if wrong && now { Err(ReceiveError::ContradictsLog(what)) } else { Ok(()) };
    let m = message;
    let kind = m.get_msg_type();
    match kind {
        MsgAppend
        | MsgAppendResponse
        | MsgRequestVote
        | MsgRequestVoteResponse
        | MsgSnapshot
        | MsgHeartbeat
        | MsgHeartbeatResponse
        | MsgRequestPreVote
        | MsgRequestPreVoteResponse => {}
        _ => return Err(ReceiveError::UnexpectedType(format!("{kind:?}"))),
    }
    if m.to != held.me {
        return Err(ReceiveError::OtherRecipient(m.to));
    }
    fields(m.from == 0 || m.from == held.me, "as nobody, or as the receiver")?;
    fields(m.term == 0, "without a term")?;
    let numbers = [m.term, m.log_term, m.index, m.commit, m.commit_term, m.reject_hint];
    fields(numbers.iter().any(|n| *n >= MOST), "a number this high")?;
    fields(m.request_snapshot != 0, "an ask for a snapshot")?;
    fields(kind != MsgAppend && !m.get_entries().is_empty(), "entries in this kind")?;
    fields(
        kind != MsgSnapshot && m.has_snapshot() && !m.get_snapshot().is_empty(),
        "a snapshot in this kind",
    )?;
    // The crate writes a heartbeat's context only for reads, which are not used, and a vote's for a transfer.
    fields(!m.context.is_empty() && kind != MsgRequestVote && kind != MsgRequestPreVote, "a context")?;
    match kind {
        MsgAppend => {
            let (mut index, mut term) = (m.index, m.log_term);
            for e in m.get_entries() {
                fields(e.index != index + 1, "entries with a gap")?;
                fields(e.term < term || e.term > m.term || e.term == 0, "entries of such terms")?;
                let known = e.index <= held.committed;
                let differs = known && (held.term_at)(e.index).is_some_and(|t| t != e.term);
                against(differs, "an entry that is agreed")?;
                fields(e.get_entry_type() == EntryType::EntryConfChange, "a change of the first kind")?;
                (index, term) = (e.index, e.term);
            }
            against(
                m.index >= held.committed && m.log_term < held.committed_term,
                "an older log than the agreed one",
            )?;
            against(
                m.index == held.committed && m.log_term != held.committed_term,
                "another term of the agreed entry",
            )?;
        }
        MsgHeartbeat => against(m.commit > held.last, "agreed beyond this voter's last entry")?,
        MsgAppendResponse => {
            // A refused one names the place of the leader's own question: both lie within its log.
            against(
                m.index > held.last || m.reject_hint > held.last,
                "an answer beyond this voter's last entry",
            )?;
        }
        MsgSnapshot => {
            let meta = m.get_snapshot().get_metadata();
            fields(
                meta.index == 0 || meta.index >= MOST || meta.term == 0 || meta.term > m.term,
                "such a snapshot",
            )?;
            fields(!plausible(meta.get_conf_state()), "such voters")?;
            let known = (held.term_at)(meta.index).is_some_and(|t| t != meta.term);
            against(meta.index <= held.committed && known, "an entry that is agreed")?;
            stored::contents(m.get_snapshot()).map_err(|e| ReceiveError::Undecodable(e.to_string()))?;
        }
        _ => {}
    }
    Ok(())
}

/// Voters that the crate takes: it stops the process on others.
pub(super) fn plausible(conf: &ConfState) -> bool {
    let all = |ids: &[u64]| {
        let mut ids = ids.to_vec();
        ids.sort_unstable();
        ids.windows(2).all(|w| w[0] != w[1]) && !ids.contains(&0)
    };
    let (voters, learners) = (conf.get_voters(), conf.get_learners());
    let (outgoing, next) = (conf.get_voters_outgoing(), conf.get_learners_next());
    !voters.is_empty()
        && [voters, learners, outgoing, next].iter().all(|ids| all(ids))
        && !learners.iter().any(|l| voters.contains(l) || outgoing.contains(l) || next.contains(l))
        && next.iter().all(|n| outgoing.contains(n) && !voters.contains(n))
        && (!outgoing.is_empty() || !conf.auto_leave)
}
