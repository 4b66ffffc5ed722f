//! The plain types that go in and out of [`super::Works`].
use std::rc::Rc;

use super::message::Message;
use super::record::Record;
use crate::cluster::{MemberId, Micros};

/// A waiting client of this process.
pub type ClientToken = u64;

/// A piece of work that this process executes: new for each [`Act::Start`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExecutionKey(pub u64);

/// What a client asks for.
#[derive(Clone, Debug)]
pub struct SubmitRequest {
    /// 1 to 128 bytes.
    pub id: Rc<str>,
    pub class: u16,
    /// What its front needs to run it again.
    pub text: Rc<[u8]>,
    /// The client's end, Unix milliseconds.
    pub ends: u64,
    /// The shards of step 0.
    pub parts: Rc<[u32]>,
}

/// What is done with a piece of work that can't be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenFull {
    Refuse,
    Unprotected,
}

/// How a class is protected.
#[derive(Clone, Debug)]
pub struct ClassRule {
    /// May a part run more than once?
    pub repeats: bool,
    /// Members of a group, the owner among them.
    pub guards: usize,
    /// How long an outcome is kept past the client's end, milliseconds.
    pub slack_ms: u64,
    pub when_full: WhenFull,
    /// Of two works with as much time left, the one worth more is taken over first.
    pub worth: f64,
}

/// Bounds of one member.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Works held as owner or guard; also the asks of own clients that wait.
    pub works: usize,
    /// Bytes of all records held.
    pub bytes: usize,
    /// Bytes of one record.
    pub record: usize,
    /// Works taken over and not finished at one time.
    pub taken_over: usize,
    /// Attempts of a part over all owners.
    pub most_tries: u8,
    pub lease: Micros,
    /// By how much one member's clock may run faster than another's, as a share.
    pub drift: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            works: 4096,
            bytes: 64 << 20,
            record: 256 << 10,
            taken_over: 256,
            most_tries: 4,
            lease: 300_000,
            drift: 0.01,
        }
    }
}

/// May this attempt be sent?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDecision {
    /// Now, in this very call's turn; the attempt counts as made.
    Now,
    /// Ask again when [`Act::Granted`] has come.
    Later,
    Never,
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Action {
    Send {
        to: MemberId,
        message: Message,
    },
    /// Run it. Attempts are numbered on from each part's `granted` after a takeover, from 0 else.
    Start {
        key: ExecutionKey,
        record: Rc<Record>,
        takeover: bool,
    },
    Granted {
        key: ExecutionKey,
        step: u8,
        shard: u32,
        granted: u8,
    },
    /// Call off all of it, answer nothing.
    Stop {
        key: ExecutionKey,
    },
    Answer {
        token: ClientToken,
        reply: ClientReply,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum ClientReply {
    Outcome(Rc<[u8]>),
    /// The id is in use with another text or class.
    IdConflict,
    /// Come again after so many seconds.
    Refused {
        retry_after: f64,
    },
    /// Run it here, without protection.
    Unprotected,
    /// Its end passed, or it was given up.
    DeadlineExceeded,
}

/// What happened so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub opened: u64,
    pub taken_over: u64,
    pub finished: u64,
    /// Ended without an outcome of its executor.
    pub failed: u64,
    pub refused: u64,
    pub unprotected: u64,
    pub lost_ballots: u64,
    /// Prepares that a live lease held off here.
    pub leases_kept: u64,
    pub sealed: u64,
    /// Asks for an id with another text.
    pub other_text: u64,
    /// Messages from whoever is not of the group, or under a ballot not its own.
    pub strangers: u64,
    pub sent: u64,
    /// Held now.
    pub works: u64,
    pub bytes: u64,
}

/// The guards of the protocol, all on. Tests alone take one out, to show that it is needed.
#[doc(hidden)]
#[derive(Clone, Copy, Debug)]
pub struct SafetyChecks {
    /// A guard accepts and promises nothing under its promise.
    pub promise: bool,
    /// A guard promises nothing while the lease of another lives.
    pub lease_wait: bool,
    /// An owner sends and answers only under its lease.
    pub lease_hold: bool,
    /// A grant stands with a majority before the attempt is sent.
    pub grant: bool,
    /// The outcome stands with a majority before it is answered.
    pub outcome_first: bool,
    /// Groups go by lives, not by names.
    pub incarnation: bool,
    /// The record stands with a majority before it is run.
    pub record_first: bool,
    /// Older epochs are sealed before an id is opened.
    pub seal: bool,
    /// An id stands for one text.
    pub same_text: bool,
}

impl Default for SafetyChecks {
    fn default() -> SafetyChecks {
        SafetyChecks {
            promise: true,
            lease_wait: true,
            lease_hold: true,
            grant: true,
            outcome_first: true,
            incarnation: true,
            record_first: true,
            seal: true,
            same_text: true,
        }
    }
}
