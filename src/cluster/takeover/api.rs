//! Input and output types of [`super::TakeoverState`].
use std::rc::Rc;

use super::message::Message;
use super::record::Record;
use super::slot::PromiseCheck;
use crate::cluster::{MemberId, Micros};

/// Identifies a client of this process that waits for a reply.
pub type ClientToken = u64;

/// Identifies one execution of a work item by this process. Each [`Action::Start`] carries a new key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExecutionKey(pub u64);

/// A client's request to run a protected query.
#[derive(Clone, Debug)]
pub struct SubmitRequest {
    /// The id chosen by the client, 1 to 128 bytes. All requests with the same id, payload and class have the
    /// same outcome.
    pub id: Rc<str>,
    /// The class of the query, as its index in the settings.
    pub class: u16,
    /// The executor's input, opaque to this module.
    pub payload: Rc<[u8]>,
    /// The client's deadline, in milliseconds since the Unix epoch.
    pub deadline_unix_ms: u64,
    /// The shards that step 0 queries.
    pub shards: Rc<[u32]>,
}

/// What happens to a request for which there is no capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenFull {
    /// The client is rejected and may retry.
    Reject,
    /// The query runs on the member to which it was submitted, without protection.
    Unprotected,
}

/// Protection rule of a class.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// Whether a part may run more than once.
    pub idempotent: bool,
    /// Number of members in a group, including the owner.
    pub group_size: usize,
    /// How long an outcome is retained after the client's deadline, in milliseconds.
    pub outcome_retention_ms: u64,
    /// What happens to a request when there is no capacity.
    pub when_full: WhenFull,
    /// Priority among work items with equal time left: the one with the higher weight is taken over first.
    pub priority_weight: f64,
}

/// Resource limits and durations of one member.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of work items held as owner or acceptor, and of pending requests of local clients.
    pub max_work_items: usize,
    /// Maximum total size of all records held, in bytes.
    pub max_total_bytes: usize,
    /// Maximum size of one record, in bytes.
    pub max_record_bytes: usize,
    /// Maximum number of takeovers in progress.
    pub max_takeovers: usize,
    /// Maximum number of attempts of a part, over all owners; at most 8.
    pub max_attempts: u8,
    /// Duration of a lease, counted by the owner from when a renewal was sent.
    pub lease_duration: Micros,
    /// Maximum relative difference in rate between two members' clocks.
    pub drift_ratio: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_work_items: 4096,
            max_total_bytes: 64 << 20,
            max_record_bytes: 256 << 10,
            max_takeovers: 256,
            max_attempts: 4,
            lease_duration: 300_000,
            drift_ratio: 0.01,
        }
    }
}

/// Decision whether an attempt may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDecision {
    /// The attempt may be sent now, before the state machine is called again; it counts as made.
    Now,
    /// The attempt may not be sent yet. Ask again after [`Action::Granted`].
    AwaitGrant,
    /// This process must not send the attempt.
    Never,
}

/// An action that the caller must carry out, in the order of [`super::TakeoverState::take_actions`].
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message. It may be lost.
    Send {
        /// The receiving incarnation. The message must not reach another one.
        to: MemberId,
        /// The message to send.
        message: Message,
    },
    /// Start the executor. Attempts are numbered from each part's `granted` after a takeover, and from 0
    /// otherwise.
    Start {
        /// Identifies the execution in later calls.
        key: ExecutionKey,
        /// The record to execute, including the progress of earlier owners.
        record: Rc<Record>,
        /// Whether an earlier owner has started this work item.
        takeover: bool,
    },
    /// More attempts of a part are granted than previously announced.
    Granted {
        /// The execution concerned.
        key: ExecutionKey,
        /// The step to which the part belongs.
        step: u8,
        /// The shard to which the part is sent.
        shard: u32,
        /// Total number of attempts granted so far, over all owners.
        granted: u8,
    },
    /// Cancel the execution without answering the client.
    Stop {
        /// The execution concerned.
        key: ExecutionKey,
    },
    /// Send a reply to a client.
    Answer {
        /// The client to answer.
        token: ClientToken,
        /// The reply.
        reply: ClientReply,
    },
}

/// Reply to a [`SubmitRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum ClientReply {
    /// The executor finished with this outcome.
    Outcome(Rc<[u8]>),
    /// The id is already in use with another payload or class.
    IdConflict,
    /// There is no capacity for the request.
    Rejected {
        /// Delay after which the client may retry, in seconds.
        retry_after_s: f64,
    },
    /// The query must run on this member, without protection.
    Unprotected,
    /// The deadline passed, or the work item ended without an outcome.
    DeadlineExceeded,
}

/// Counts since the start, and current resource usage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Work items opened by this member.
    pub opened: u64,
    /// Work items taken over by this member.
    pub taken_over: u64,
    /// Outcomes announced to the group.
    pub finished: u64,
    /// Work items ended without an outcome from the executor.
    pub failed: u64,
    /// Clients rejected for lack of capacity.
    pub rejected: u64,
    /// Clients whose requests ran without protection.
    pub unprotected: u64,
    /// Ballots lost to another member.
    pub lost_ballots: u64,
    /// Prepares that this member deferred because of a lease.
    pub lease_deferrals: u64,
    /// Ids fenced by this member.
    pub fenced: u64,
    /// Requests for an id in use with another payload or class.
    pub id_conflicts: u64,
    /// Messages from a member outside the group, or under a ballot that the sender does not own.
    pub rejected_messages: u64,
    /// Messages sent to other members.
    pub messages_sent: u64,
    /// Work items currently held.
    pub work_items: u64,
    /// Total size of all records currently held, in bytes.
    pub record_bytes: u64,
}

/// Safety checks of the protocol, all enabled by default. Only tests disable one, to show that it is needed.
#[doc(hidden)]
#[derive(Clone, Copy, Debug)]
pub struct SafetyChecks {
    /// An acceptor rejects ballots below its promise.
    pub promise: PromiseCheck,
    /// An acceptor promises no ballot while another member's lease is valid.
    pub acceptor_lease: bool,
    /// A leader sends attempts and announces outcomes only while it holds its lease.
    pub leader_lease: bool,
    /// A majority holds the grant of an attempt before the attempt is sent.
    pub replicate_grant_first: bool,
    /// A majority holds the outcome before it is announced.
    pub replicate_outcome_first: bool,
    /// Members of a group are identified by incarnation and not by name.
    pub incarnation: bool,
    /// A majority holds the record before it is executed.
    pub replicate_record_first: bool,
    /// The groups of earlier epochs are fenced before an id is opened.
    pub fence: bool,
    /// An id is bound to one payload and class.
    pub id_conflict: bool,
}

impl Default for SafetyChecks {
    fn default() -> SafetyChecks {
        SafetyChecks {
            promise: PromiseCheck::Enforced,
            acceptor_lease: true,
            leader_lease: true,
            replicate_grant_first: true,
            replicate_outcome_first: true,
            incarnation: true,
            replicate_record_first: true,
            fence: true,
            id_conflict: true,
        }
    }
}
