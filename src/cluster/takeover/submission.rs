//! Requests of local clients: forwards each to its group, follows redirects, and replies to the clients.
//!
//! Invariant: a client is rejected, or told to run its query without protection, only if no majority of its
//! group can hold a record of the query, in any open epoch. A member without capacity speaks for itself
//! alone: so many members must have refused that the others are no majority, and no member that was sent the
//! request may have left it without a refusal. A request that is rejected before it was forwarded has had no
//! effect.
use std::collections::BTreeSet;
use std::hash::Hasher;
use std::rc::Rc;

use bytes::Bytes;

use super::message::{Body, ForwardedSubmit, SubmitReply, SubmitStatus};
use super::pending_submission::PendingSubmission;
use super::record::{MAX_ID_BYTES, MAX_PARTS};
use super::slot::AcceptorSlot;
use super::{
    Action, ClientReply, ClientToken, Configuration, MemberId, Micros, SubmitRequest, TakeoverState,
    WhenFull, WorkId,
};

/// Maximum number of clients of one process that wait for one id.
const MAX_CLIENTS_PER_ID: usize = 1024;

/// Delay after which a rejected client may retry, in seconds. Slightly longer than most queries take.
const RETRY_AFTER_S: f64 = 0.5;

/// Upper bound on the retry delay accepted from another member, in seconds.
const MAX_RETRY_AFTER_S: f64 = 60.0;

/// Returns the retry delay of a rejection by another member, in seconds.
fn retry_after_s(reply: &SubmitReply) -> f64 {
    if reply.retry_after_s.is_finite() {
        reply.retry_after_s.clamp(0.0, MAX_RETRY_AFTER_S)
    } else {
        RETRY_AFTER_S
    }
}

fn request_fingerprint(class: u32, payload: &[u8]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write_u32(class);
    hasher.write(payload);
    hasher.finish()
}

impl TakeoverState {
    /// Submits a client's request. It is answered by exactly one [`Action::Answer`], at its deadline at the
    /// latest.
    ///
    /// Requests of several clients with the same id are treated as one; they must have the same payload and
    /// class.
    pub fn submit(&mut self, now: Micros, unix_ms: u64, token: ClientToken, request: SubmitRequest) {
        self.now = self.now.max(now);
        let Some(when_full) = self.rule(request.class.into()).map(|rule| rule.when_full) else {
            self.counters.unprotected += 1;
            return self.answer(token, ClientReply::Unprotected);
        };
        let remaining = request.deadline_unix_ms.saturating_sub(unix_ms).saturating_mul(1000);
        if remaining == 0 {
            return self.answer(token, ClientReply::DeadlineExceeded);
        }
        if self.submissions.contains_key(&request.id) {
            return self.join_submission(token, request);
        }
        let is_valid = (1..=MAX_ID_BYTES).contains(&request.id.len())
            && request.payload.len() <= self.limits.max_record_bytes
            && request.shards.len() <= MAX_PARTS;
        let has_capacity = self.submissions.len() < self.limits.max_work_items;
        if !is_valid || !has_capacity || self.configurations.is_empty() {
            return self.answer_without_capacity(token, when_full);
        }
        let id = Rc::clone(&request.id);
        let submission = PendingSubmission {
            payload: Bytes::copy_from_slice(&request.payload),
            request,
            clients: vec![token],
            deadline: self.now.saturating_add(remaining),
            epoch: self.newest_epoch(),
            rank: 0,
            last_progress_at: self.now,
            in_progress: false,
            next_send_at: self.now,
            may_hold: BTreeSet::new(),
            refused_by: BTreeSet::new(),
        };
        self.clients.insert(token, Rc::clone(&id));
        self.submissions.insert(Rc::clone(&id), submission);
        self.forward(&id);
    }

    /// Adds a client to a request that another client of this process has submitted.
    fn join_submission(&mut self, token: ClientToken, request: SubmitRequest) {
        let Some(submission) = self.submissions.get_mut(&request.id) else { return };
        let pending = &submission.request;
        let is_same_request = pending.class == request.class && pending.payload == request.payload;
        if self.checks.id_conflict && !is_same_request {
            self.counters.id_conflicts += 1;
            return self.answer(token, ClientReply::IdConflict);
        }
        if submission.clients.len() >= MAX_CLIENTS_PER_ID {
            // The query may be running, so its client must not be told that it was rejected.
            return self.answer(token, ClientReply::DeadlineExceeded);
        }
        submission.clients.push(token);
        self.clients.insert(token, request.id);
    }

    /// Removes a client that has disconnected. Its work item continues.
    pub fn remove_client(&mut self, token: ClientToken) {
        let Some(id) = self.clients.remove(&token) else { return };
        if let Some(submission) = self.submissions.get_mut(&id) {
            submission.clients.retain(|client| *client != token);
            if submission.clients.is_empty() {
                self.submissions.remove(&id);
            }
        }
    }

    /// Answers as configured for the class when there is no capacity.
    fn answer_without_capacity(&mut self, token: ClientToken, when_full: WhenFull) {
        match when_full {
            WhenFull::Reject => {
                self.counters.rejected += 1;
                self.answer(token, ClientReply::Rejected { retry_after_s: RETRY_AFTER_S });
            }
            WhenFull::Unprotected => {
                self.counters.unprotected += 1;
                self.answer(token, ClientReply::Unprotected);
            }
        }
    }

    fn answer(&mut self, token: ClientToken, reply: ClientReply) {
        self.actions.push(Action::Answer { token, reply });
    }

    /// Sends the request to its target, or to the next member of the group that is not suspected dead, if
    /// there is one.
    fn forward(&mut self, id: &Rc<str>) {
        let now = self.now;
        let interval = self.retransmit_interval();
        let Some(submission) = self.submissions.get(id) else { return };
        let class = u32::from(submission.request.class);
        let group = self.group(&(submission.epoch, Rc::clone(id)), class);
        let Some(submission) = self.submissions.get_mut(id) else { return };
        let wait = if submission.in_progress { 3 * interval } else { interval };
        submission.next_send_at = now.saturating_add(wait);
        let Some(group) = group.filter(|group| !group.is_empty()) else { return };
        let size = group.len();
        let is_not_suspected = |rank: &usize| {
            let member = group.get(*rank % size);
            member.is_some_and(|member| !self.suspected.contains(member))
        };
        let target_rank = submission.rank;
        let rank = (target_rank..target_rank + size).find(is_not_suspected).unwrap_or(target_rank) % size;
        if rank != target_rank {
            submission.retarget(submission.epoch, rank, now);
        }
        let Some(to) = group.get(rank).cloned() else { return };
        submission.may_hold.insert((submission.epoch, to.clone()));
        let message = ForwardedSubmit {
            epoch: submission.epoch,
            id: id.to_string(),
            class,
            deadline_unix_ms: submission.request.deadline_unix_ms,
            remaining_us: submission.deadline.saturating_sub(now),
            payload: submission.payload.clone(),
            shards: submission.request.shards.to_vec(),
        };
        self.send(&to, Body::Submit(message));
    }

    /// Sends all requests that are not in progress to the group of a new configuration, which finds work
    /// items in progress in earlier epochs.
    pub(super) fn resubmit_to(&mut self, epoch: u64) {
        let now = self.now;
        for submission in self.submissions.values_mut().filter(|s| !s.in_progress) {
            submission.retarget(epoch, 0, now);
            submission.next_send_at = now;
        }
    }

    /// Schedules all requests for the next tick, so that those sent to a suspected member go to another one.
    pub(super) fn retransmit_submissions_soon(&mut self) {
        let soon = self.now.saturating_add(1);
        for submission in self.submissions.values_mut() {
            submission.next_send_at = submission.next_send_at.min(soon);
        }
    }

    pub(super) fn tick_submissions(&mut self) {
        let now = self.now;
        let due = self.submissions.iter().filter(|(_, submission)| submission.due_at() <= now);
        let due: Vec<Rc<str>> = due.map(|(id, _)| Rc::clone(id)).collect();
        for id in due {
            let Some(submission) = self.submissions.get_mut(&id) else { continue };
            if submission.deadline <= now {
                self.resolve(&id, ClientReply::DeadlineExceeded);
                continue;
            }
            // No answer for the duration of a lease: try the next rank.
            if now.saturating_sub(submission.last_progress_at) >= self.limits.lease_duration {
                submission.retarget(submission.epoch, submission.rank + 1, now);
            }
            self.forward(&id);
        }
    }

    pub(super) fn handle_submit_reply(&mut self, from: MemberId, reply: SubmitReply) {
        let id: Rc<str> = reply.id.as_str().into();
        let Some(submission) = self.submissions.get(&id) else { return };
        let class = u32::from(submission.request.class);
        let fingerprint = request_fingerprint(class, &submission.payload);
        let matches_request = fingerprint == reply.request_fingerprint || !self.checks.id_conflict;
        let group = self.group(&(reply.epoch, Rc::clone(&id)), class);
        let rank = group.as_ref().and_then(|group| self.rank(group, &from));
        let epoch = reply.epoch;
        let status = SubmitStatus::try_from(reply.status);
        let (Some(group), Some(rank), Ok(status)) = (group, rank, status) else {
            self.counters.rejected_messages += 1;
            return;
        };
        let is_from_target = reply.epoch == submission.epoch && rank == submission.rank % group.len();
        match status {
            SubmitStatus::Outcome | SubmitStatus::Failed if !matches_request => {}
            SubmitStatus::Outcome => self.resolve(&id, ClientReply::Outcome(reply.outcome.to_vec().into())),
            SubmitStatus::Failed => self.resolve(&id, ClientReply::DeadlineExceeded),
            SubmitStatus::IdConflict => self.resolve(&id, ClientReply::IdConflict),
            SubmitStatus::Rejected => {
                let reply = ClientReply::Rejected { retry_after_s: retry_after_s(&reply) };
                self.handle_refusal(&id, &from, epoch, is_from_target, reply);
            }
            SubmitStatus::Unprotected => {
                self.handle_refusal(&id, &from, epoch, is_from_target, ClientReply::Unprotected);
            }
            SubmitStatus::InProgress if is_from_target => self.mark_in_progress(&id),
            SubmitStatus::Redirected
                if is_from_target && self.configuration(reply.redirect_epoch).is_some() =>
            {
                self.follow_redirect(&id, &from, rank, group.len(), reply.redirect_epoch);
            }
            SubmitStatus::InProgress | SubmitStatus::Redirected => {}
        }
    }

    /// Handles the refusal of a member that holds no record of the request and has no capacity for one. The
    /// clients are told once no majority can hold a record; until then the next member is asked.
    fn handle_refusal(
        &mut self,
        id: &Rc<str>,
        from: &MemberId,
        epoch: u64,
        is_from_target: bool,
        reply: ClientReply,
    ) {
        let Some(submission) = self.submissions.get_mut(id) else { return };
        let is_first_refusal = submission.record_refusal(epoch, from);
        match self.unrefused_epoch(id) {
            None => self.resolve(id, reply),
            Some(epoch) if is_from_target => self.ask_next(id, epoch, is_first_refusal),
            Some(_) => {}
        }
    }

    /// Returns the newest open epoch in which a majority of the group may hold a record of a request.
    fn unrefused_epoch(&self, id: &Rc<str>) -> Option<u64> {
        let submission = self.submissions.get(id)?;
        let class = u32::from(submission.request.class);
        let mut epochs = self.configurations.iter().rev().map(Configuration::epoch);
        epochs.find(|epoch| {
            let group = self.group(&(*epoch, Rc::clone(id)), class);
            group.is_some_and(|group| !submission.is_refused_in(*epoch, &group))
        })
    }

    /// Sends a refused request to the next member: of the same group, or of the group of `epoch` if that is
    /// another one. After a repeated refusal it is sent later, since nothing may have changed.
    fn ask_next(&mut self, id: &Rc<str>, epoch: u64, immediately: bool) {
        let now = self.now;
        let interval = self.retransmit_interval();
        let Some(submission) = self.submissions.get_mut(id) else { return };
        let rank = if epoch == submission.epoch { submission.rank + 1 } else { 0 };
        submission.retarget(epoch, rank, now);
        if immediately {
            self.forward(id);
        } else {
            submission.next_send_at = now.saturating_add(interval);
        }
    }

    fn mark_in_progress(&mut self, id: &Rc<str>) {
        if let Some(submission) = self.submissions.get_mut(id) {
            submission.last_progress_at = self.now;
            submission.in_progress = true;
        }
    }

    /// Handles a redirect to another epoch from the member of rank `rank`.
    fn follow_redirect(
        &mut self,
        id: &Rc<str>,
        from: &MemberId,
        rank: usize,
        group_size: usize,
        redirect_epoch: u64,
    ) {
        let now = self.now;
        let newest = self.newest_epoch();
        let Some(submission) = self.submissions.get_mut(id) else { return };
        if redirect_epoch > submission.epoch {
            submission.record_refusal(submission.epoch, from);
        }
        if redirect_epoch < submission.epoch {
            submission.retarget(redirect_epoch, 0, now);
        } else if rank + 1 < group_size {
            // A member redirected the request to its own group, in which another member holds the record.
            submission.retarget(submission.epoch, rank + 1, now);
        } else {
            submission.retarget(newest, 0, now);
        }
        self.forward(id);
    }

    /// Answers all local clients that wait for an id.
    fn resolve(&mut self, id: &Rc<str>, reply: ClientReply) {
        let Some(submission) = self.submissions.remove(id) else { return };
        for token in submission.clients {
            self.clients.remove(&token);
            match reply {
                ClientReply::Rejected { .. } => self.counters.rejected += 1,
                ClientReply::Unprotected => self.counters.unprotected += 1,
                ClientReply::IdConflict => self.counters.id_conflicts += 1,
                ClientReply::Outcome(_) | ClientReply::DeadlineExceeded => {}
            }
            self.answer(token, reply.clone());
        }
    }

    /// Answers a forwarded request with a status and no outcome.
    pub(super) fn send_status(&mut self, to: &MemberId, work: &WorkId, status: SubmitStatus) {
        self.send_reply(to, work, status, Bytes::new());
    }

    pub(super) fn send_reply(&mut self, to: &MemberId, work: &WorkId, status: SubmitStatus, outcome: Bytes) {
        let record = self.slots.get(work).and_then(AcceptorSlot::record);
        let reply = SubmitReply {
            epoch: work.0,
            id: work.1.to_string(),
            status: status.into(),
            outcome,
            retry_after_s: RETRY_AFTER_S,
            redirect_epoch: work.0,
            request_fingerprint: record.map_or(0, |r| request_fingerprint(r.class, &r.payload)),
        };
        self.send(to, Body::SubmitReply(reply));
    }

    /// Redirects a forwarded request to the group of another epoch.
    pub(super) fn redirect(&mut self, to: &MemberId, work: &WorkId, redirect_epoch: u64) {
        let reply = SubmitReply {
            epoch: work.0,
            id: work.1.to_string(),
            status: SubmitStatus::Redirected.into(),
            redirect_epoch,
            ..SubmitReply::default()
        };
        self.send(to, Body::SubmitReply(reply));
    }
}
