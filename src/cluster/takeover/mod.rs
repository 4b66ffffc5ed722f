//! Takeover of protected queries: each has a replicated record, held by an owner and further acceptors, and a
//! protocol by which another member of the group continues the query when the owner fails.
//! `docs/design-takeover.md` gives the correctness argument.
//!
//! [`TakeoverState`] holds the ballots, grants, leases and fences of the work items that this member leads or
//! accepts for. It does no I/O, reads no clock and draws no random numbers: messages, calls and time go in,
//! and [`Action`]s come out of [`TakeoverState::take_actions`].
//!
//! Messages may be lost, duplicated, delayed or reordered; [`TakeoverState::tick`] retransmits unanswered
//! ones. Messages of a member to itself take the same path as others and are handled in
//! [`TakeoverState::take_actions`].
#![warn(missing_docs)]
mod acceptor;
mod api;
mod executor;
mod failover;
mod leader;
mod lease;
pub mod message;
mod opening;
mod pending_submission;
mod proposer;
pub mod record;
mod retransmission;
#[doc(hidden)]
pub mod slot;
mod submission;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

pub use api::{
    Action, ClassRule, ClientReply, ClientToken, Counters, ExecutionKey, Limits, SafetyChecks, SendDecision,
    SubmitRequest, WhenFull,
};
pub use message::{Message, MessageError};
pub use record::{Part, Record};

use super::{Configuration, MemberId, Micros};
use leader::LeaderState;
use lease::Leases;
use message::Body;
use pending_submission::PendingSubmission;
use slot::AcceptorSlot;

/// Maximum number of epochs with open work items. Adding one more closes the oldest.
const MAX_OPEN_EPOCHS: usize = 4;

/// Identifies a work item by epoch and id.
type WorkId = (u64, Rc<str>);

/// One member's state for all work items that it owns, accepts for or submits.
pub struct TakeoverState {
    me: MemberId,
    /// Protection rules by class; `None` if the class is not protected.
    rules: Vec<Option<ClassRule>>,
    limits: Limits,
    checks: SafetyChecks,
    /// Open configurations, oldest first; at most [`MAX_OPEN_EPOCHS`].
    configurations: VecDeque<Configuration>,
    /// Acceptor state by work item; bounded by `limits.max_work_items` and `limits.max_total_bytes`.
    slots: BTreeMap<WorkId, AcceptorSlot>,
    /// Work items that this member leads or tries to lead; at most one for each slot that exists or is about
    /// to be created.
    leaders: BTreeMap<WorkId, LeaderState>,
    executions: BTreeMap<ExecutionKey, WorkId>,
    /// Pending requests of local clients, by id; bounded by `limits.max_work_items`.
    submissions: BTreeMap<Rc<str>, PendingSubmission>,
    clients: BTreeMap<ClientToken, Rc<str>>,
    leases: Leases,
    /// Members that gossip reports as dead. Affects which member is contacted first, never a decision.
    suspected: BTreeSet<MemberId>,
    now: Micros,
    /// Messages from this member to itself; drained by every [`TakeoverState::take_actions`].
    loopback: VecDeque<Body>,
    actions: Vec<Action>,
    /// Led work items whose record has changed and must be written to the group.
    unwritten: BTreeSet<WorkId>,
    renew_at: Option<Micros>,
    scan_at: Option<Micros>,
    next_key: u64,
    /// Total size of all records held, in bytes.
    record_bytes: usize,
    counters: Counters,
}

impl TakeoverState {
    /// Creates the state of a member that knows no configuration yet. `rules` is indexed by class; a class
    /// whose rule is `None` is not protected.
    pub fn new(me: MemberId, rules: Vec<Option<ClassRule>>, limits: Limits) -> TakeoverState {
        let leases = Leases::new(limits.lease_duration, limits.drift_ratio);
        TakeoverState {
            me,
            rules,
            limits,
            checks: SafetyChecks::default(),
            configurations: VecDeque::new(),
            slots: BTreeMap::new(),
            leaders: BTreeMap::new(),
            executions: BTreeMap::new(),
            submissions: BTreeMap::new(),
            clients: BTreeMap::new(),
            leases,
            suspected: BTreeSet::new(),
            now: 0,
            loopback: VecDeque::new(),
            actions: Vec::new(),
            unwritten: BTreeSet::new(),
            renew_at: None,
            scan_at: None,
            next_key: 1,
            record_bytes: 0,
            counters: Counters::default(),
        }
    }

    /// Disables safety checks of the protocol. For tests only.
    #[doc(hidden)]
    pub fn set_safety_checks(&mut self, checks: SafetyChecks) {
        self.checks = checks;
    }

    /// Returns the acceptor state and the ballot led by this member, if any, of a work item. For test
    /// checkers that observe all members at once.
    #[doc(hidden)]
    pub fn inspect(&self, epoch: u64, id: &str) -> Option<(slot::Acceptor, Option<u64>)> {
        let work = (epoch, Rc::from(id));
        let slot = self.slots.get(&work)?;
        Some((slot.acceptor.clone(), self.leaders.get(&work).map(|leader| leader.ballot)))
    }

    /// Adds an agreed configuration. Ignored unless its epoch is newer than all known ones.
    pub fn configure(&mut self, now: Micros, configuration: Configuration) {
        self.now = self.now.max(now);
        let epoch = configuration.epoch();
        if self.configurations.back().is_some_and(|newest| newest.epoch() >= epoch) {
            return;
        }
        self.configurations.push_back(configuration);
        if self.configurations.len() > MAX_OPEN_EPOCHS {
            let oldest = self.oldest_epoch();
            self.close_epochs(now, oldest);
        }
        self.resubmit_to(epoch);
    }

    /// Closes this epoch and all earlier ones, dropping their work items; the newest epoch is never closed.
    ///
    /// The caller must know from the log that all work items of these epochs have finished: an id of a closed
    /// epoch may be opened again.
    pub fn close_epochs(&mut self, now: Micros, last_closed: u64) {
        self.now = self.now.max(now);
        let closed = |oldest: &Configuration| oldest.epoch() <= last_closed;
        while self.configurations.len() > 1 && self.configurations.front().is_some_and(closed) {
            self.configurations.pop_front();
        }
        let oldest = self.oldest_epoch();
        let led_items: Vec<WorkId> = self.leaders.keys().filter(|work| work.0 < oldest).cloned().collect();
        for work in led_items {
            self.abandon(&work);
        }
        let held_items: Vec<WorkId> = self.slots.keys().filter(|work| work.0 < oldest).cloned().collect();
        for work in held_items {
            self.remove_work_item(&work);
        }
        let configurations = &self.configurations;
        let is_member = |member: &MemberId| configurations.iter().any(|c| c.contains(member));
        self.leases.retain_members(is_member);
        self.suspected.retain(is_member);
    }

    /// Handles a message of another member. A message that the sender is not allowed to send is counted in
    /// [`Counters::rejected_messages`] and has no other effect.
    pub fn receive(&mut self, now: Micros, _unix_ms: u64, from: &MemberId, message: Message) {
        self.now = self.now.max(now);
        match message.body {
            Some(body) if *from != self.me => self.handle(from.clone(), body),
            _ => self.counters.rejected_messages += 1,
        }
    }

    /// Records whether gossip considers `member` alive. Affects which member is contacted first, never a
    /// decision.
    pub fn record_gossip(&mut self, now: Micros, member: &MemberId, alive: bool) {
        self.now = self.now.max(now);
        if alive {
            self.suspected.remove(member);
        } else if self.is_member(member) && self.suspected.insert(member.clone()) {
            self.retransmit_submissions_soon();
        }
    }

    fn handle(&mut self, from: MemberId, body: Body) {
        match body {
            Body::Submit(message) => self.handle_submit(from, message),
            Body::SubmitReply(message) => self.handle_submit_reply(from, message),
            Body::Accept(message) => self.handle_accept(from, message),
            Body::Accepted(message) => self.handle_accepted(from, message),
            Body::Prepare(message) => self.handle_prepare(from, message),
            Body::Promised(message) => self.handle_promised(from, message),
            Body::Rejected(message) => self.handle_rejected(from, message),
            Body::Decided(message) => self.handle_decided(from, message),
            Body::Fence(message) => self.handle_fence(from, message),
            Body::Fenced(message) => self.handle_fenced(from, message),
            Body::Renew(message) if self.is_member(&from) => {
                self.leases.record_renewal(self.now, &from);
                self.send(&from, Body::Renewed(message));
            }
            Body::Renewed(message) if self.is_member(&from) => {
                self.leases.record_acknowledgement(self.now, &from, message.sent_us);
            }
            Body::Renew(_) | Body::Renewed(_) => {}
        }
    }

    /// Runs everything that is due: retransmits unanswered messages, renews leases, takes over from
    /// unresponsive owners, fails work items past their deadline, and drops those past their retention.
    pub fn tick(&mut self, now: Micros, _unix_ms: u64) {
        self.now = self.now.max(now);
        self.tick_submissions();
        self.tick_leaders();
        if self.scan_at.is_some_and(|at| at <= self.now) {
            self.scan_slots();
        }
    }

    /// Returns when [`TakeoverState::tick`] must be called next, or `None` if nothing is due before another
    /// call.
    pub fn next_due(&self) -> Option<Micros> {
        if !self.loopback.is_empty() || !self.unwritten.is_empty() {
            return Some(self.now);
        }
        let submissions = self.submissions.values().map(PendingSubmission::due_at).min();
        let leaders = self.leaders.values().map(LeaderState::due_at).min();
        [submissions, leaders, self.scan_at, self.renew_at].into_iter().flatten().min()
    }

    /// Returns the actions since the last call. The caller must carry them out in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        loop {
            while let Some(body) = self.loopback.pop_front() {
                self.handle(self.me.clone(), body);
            }
            let Some(work) = self.unwritten.pop_first() else { break };
            self.write_record(&work);
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the counts since the start and the current number and size of records held.
    pub fn counters(&self) -> Counters {
        Counters {
            work_items: self.slots.len() as u64,
            record_bytes: self.record_bytes as u64,
            ..self.counters
        }
    }

    fn send(&mut self, to: &MemberId, body: Body) {
        if *to == self.me {
            self.loopback.push_back(body);
        } else {
            self.counters.messages_sent += 1;
            self.actions.push(Action::Send { to: to.clone(), message: body.into() });
        }
    }

    fn rule(&self, class: u32) -> Option<&ClassRule> {
        self.rules.get(class as usize).and_then(Option::as_ref)
    }

    /// Returns how long an outcome of this class is retained after the client's deadline.
    fn outcome_retention(&self, class: u32) -> Micros {
        self.rule(class).map_or(0, |rule| rule.outcome_retention_ms.saturating_mul(1000))
    }

    fn configuration(&self, epoch: u64) -> Option<&Configuration> {
        self.configurations.iter().find(|c| c.epoch() == epoch)
    }

    fn oldest_epoch(&self) -> u64 {
        self.configurations.front().map_or(0, Configuration::epoch)
    }

    fn newest_epoch(&self) -> u64 {
        self.configurations.back().map_or(0, Configuration::epoch)
    }

    /// Returns whether `member` belongs to a configuration that is still open.
    fn is_member(&self, member: &MemberId) -> bool {
        self.configurations.iter().any(|c| c.contains(member))
    }

    /// Returns the group of a work item: the agreed incarnations, ordered by rank.
    fn group(&self, work: &WorkId, class: u32) -> Option<Rc<[MemberId]>> {
        let size = self.rule(class)?.group_size;
        let group = self.configuration(work.0)?.group(work.1.as_bytes(), size);
        Some(group.into_iter().map(|member| member.id.clone()).collect())
    }

    /// Returns the rank of a member in a group.
    ///
    /// Invariant: only the agreed incarnation has a rank, because a restarted member has forgotten its
    /// promises.
    fn rank(&self, group: &[MemberId], member: &MemberId) -> Option<usize> {
        group.iter().position(|m| m == member || !self.checks.incarnation && m.name == member.name)
    }

    /// Returns a sixth of the lease duration: the delay before an unanswered message is retransmitted, and
    /// the maximum delay before a new part value is written.
    fn retransmit_interval(&self) -> Micros {
        (self.limits.lease_duration / 6).max(1)
    }
}
