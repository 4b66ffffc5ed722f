//! The lease on the endpoint list: until when attempts may be sent by the last list.
//!
//! A coordinator cannot tell a list that has not changed from one whose changes do not reach it. What
//! discovery has counts as notified after a fixed time, whether it has arrived or not, so the permission to
//! send ends by itself unless an answer of discovery renews it. Timeouts, retries and failed calls never
//! extend it.
//!
//! Invariant: while the lease is valid, every change that the list lacks was made less than
//! [`NOTIFIED_WITHIN`] ago if lists are polled, or counts as notified for less than the drain grace if they
//! are pushed. Before the first answer, the list of an earlier run is used only until a call fails. A process that stalls for [`MAX_PROCESS_STALL`] between the check and the write still writes
//! within the drain grace.

use std::time::{Duration, Instant};

use super::MAX_PROCESS_STALL;
use crate::balancer::interface::Discovery;

/// Time after which a change counts as notified, from when discovery has it.
pub const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// Time after a change of address within which the state of the agent at the new address does not count as
/// notified.
const AGENT_MOVE_TIME: Duration = Duration::from_secs(4);
/// Minimum time for which a polled list is valid, whatever polling time is configured. That time applies only
/// while no watch is open.
const MIN_POLLED_VALIDITY: Duration = Duration::from_secs(1);

/// Minimum share of the drain grace by which the lease outlives the notification. With a grace that is hardly
/// longer than a stall, the lease would otherwise never be valid.
const MIN_GRACE_SHARE: f64 = 0.4;

/// How long an answer of discovery permits sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTerms {
    /// Time from the state that an answer reflects until the lease expires.
    validity: Duration,
    /// Time from a change of address until the lease expires, if that is not the validity of the last answer.
    validity_after_move: Option<Duration>,
    /// Whether the list that a process is started with may be used before the first answer.
    starts_valid: bool,
}

impl LeaseTerms {
    /// Returns the terms for the configured type of discovery. `drain_grace` is the time from the notification
    /// of a drain until attempts must stop.
    pub fn new(discovery: Discovery, drain_grace: Duration) -> LeaseTerms {
        let margin = drain_grace.saturating_sub(MAX_PROCESS_STALL).max(drain_grace.mul_f64(MIN_GRACE_SHARE));
        match discovery {
            Discovery::Push => LeaseTerms {
                validity: margin,
                validity_after_move: Some(AGENT_MOVE_TIME + margin),
                starts_valid: false,
            },
            Discovery::Poll { poll_within } => {
                let configured = Duration::try_from_secs_f64(poll_within).unwrap_or(Duration::MAX);
                let validity = configured.clamp(MIN_POLLED_VALIDITY, NOTIFIED_WITHIN) + margin;
                LeaseTerms { validity, validity_after_move: None, starts_valid: true }
            }
        }
    }

    /// Returns the time from the state that an answer reflects until the lease expires.
    pub fn validity(&self) -> Duration {
        self.validity
    }
}

/// Why attempts may not be sent by the current list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseInvalid {
    /// Discovery has not answered for too long.
    #[error("no answer of discovery within the validity of the list")]
    Expired,
    /// An answer that may contain changes was lost or could not be read.
    #[error("an answer of discovery was lost")]
    AnswerLost,
}

/// The lease on the current endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointLease {
    terms: LeaseTerms,
    expires_at: Instant,
    /// When an answer was lost that no later answer has replaced.
    answer_lost_at: Option<Instant>,
    /// Whether the address of discovery has changed since the last renewal.
    has_moved: bool,
    /// Whether discovery has answered since the process started.
    was_renewed: bool,
}

impl EndpointLease {
    /// Creates the lease of a process that started at `now` and has received no answer.
    pub fn new(terms: LeaseTerms, now: Instant) -> EndpointLease {
        let expires_at = if terms.starts_valid { now + terms.validity } else { now };
        EndpointLease { terms, expires_at, answer_lost_at: None, has_moved: false, was_renewed: false }
    }

    /// Renews the lease by an answer that contains every change made before `current_as_of`.
    pub fn renew(&mut self, current_as_of: Instant) {
        self.expires_at = current_as_of + self.terms.validity;
        self.answer_lost_at = None;
        self.has_moved = false;
        self.was_renewed = true;
    }

    /// Records that a call failed, was refused, or was given up at `now`. It ends the lease if no call has been
    /// answered before: the list of an earlier run may lack changes that were made long ago.
    pub fn record_failed_call(&mut self, now: Instant) {
        if !self.was_renewed {
            self.expires_at = self.expires_at.min(now);
        }
    }

    /// Ends the lease at `now`, until it is renewed: an answer that may contain changes was lost.
    pub fn record_lost_answer(&mut self, now: Instant) {
        self.answer_lost_at.get_or_insert(now);
    }

    /// Records that the list is requested from another address from `now` on. Only the first change of address
    /// since the last renewal counts.
    pub fn record_move(&mut self, now: Instant) {
        let validity = self.terms.validity_after_move.filter(|_| !self.has_moved && self.check(now).is_ok());
        if let Some(validity) = validity {
            self.expires_at = now + validity;
        }
        self.has_moved = true;
    }

    /// Returns whether attempts may be written at `now`.
    ///
    /// # Errors
    ///
    /// Returns why not.
    pub fn check(&self, now: Instant) -> Result<(), LeaseInvalid> {
        match self.answer_lost_at {
            Some(_) => Err(LeaseInvalid::AnswerLost),
            None if now >= self.expires_at => Err(LeaseInvalid::Expired),
            None => Ok(()),
        }
    }

    /// Returns since when the lease is invalid, or `None` if it is valid at `now`.
    pub fn invalid_since(&self, now: Instant) -> Option<Instant> {
        let expired_at = (now >= self.expires_at).then_some(self.expires_at);
        self.answer_lost_at.into_iter().chain(expired_at).min()
    }

    /// Returns when the lease expires if it is not renewed.
    pub fn expires_at(&self) -> Instant {
        self.expires_at
    }
}
