//! A request of local clients that waits for its reply, and what the members of its group have answered.
use std::collections::BTreeSet;

use bytes::Bytes;

use super::leader::majority;
use super::{ClientToken, MemberId, Micros, SubmitRequest};

/// A request that waits for its reply.
#[derive(Debug)]
pub struct PendingSubmission {
    pub(super) request: SubmitRequest,
    /// The payload of `request`, as sent in messages.
    pub(super) payload: Bytes,
    pub(super) clients: Vec<ClientToken>,
    /// The client's deadline, on this member's clock.
    pub(super) deadline: Micros,
    /// The epoch whose group the request is sent to.
    pub(super) epoch: u64,
    /// The rank of the target in that group; taken modulo the group size.
    pub(super) rank: usize,
    /// When the target was first sent the request, or last answered.
    pub(super) last_progress_at: Micros,
    /// Whether the target has answered that the work item is in progress.
    pub(super) in_progress: bool,
    pub(super) next_send_at: Micros,
    /// Members that were sent the request, by epoch, and have not refused it since. Each may hold a record of
    /// it. Bounded, like `refused_by`, by the members of the open configurations.
    pub(super) may_hold: BTreeSet<(u64, MemberId)>,
    /// Members that have refused the request, by epoch, because they hold no record of it and do not open it.
    pub(super) refused_by: BTreeSet<(u64, MemberId)>,
}

impl PendingSubmission {
    /// Returns when the request must be retransmitted or ended.
    pub(super) fn due_at(&self) -> Micros {
        self.next_send_at.min(self.deadline)
    }

    /// Returns whether no majority of the group of `epoch` can hold a record of the request.
    pub(super) fn is_refused_in(&self, epoch: u64, group: &[MemberId]) -> bool {
        let refusals = group.iter().filter(|m| self.refused_by.contains(&(epoch, (*m).clone()))).count();
        let all_answered = !self.may_hold.iter().any(|(asked_in, _)| *asked_in == epoch);
        all_answered && refusals > group.len() - majority(group.len())
    }

    /// Records that a member holds no record of the request and does not open it. Returns whether it is the
    /// first refusal of this member in `epoch`.
    pub(super) fn record_refusal(&mut self, epoch: u64, member: &MemberId) -> bool {
        self.may_hold.remove(&(epoch, member.clone()));
        self.refused_by.insert((epoch, member.clone()))
    }

    /// Sets the target to a rank of the group of `epoch`, from which no answer has been received yet.
    pub(super) fn retarget(&mut self, epoch: u64, rank: usize, now: Micros) {
        self.epoch = epoch;
        self.rank = rank;
        self.last_progress_at = now;
        self.in_progress = false;
    }
}
