//! Work that outlives its coordinator: a record of each protected query with an owner and its guards, and the protocol
//! by which one of them goes on when the owner is gone. docs/design-takeover.md has the argument.
//!
//! Whatever is said may be lost, doubled, late or out of order: what is owed is said again by [`Works::tick`] until it
//! is answered or over. What a member says to itself goes through the same doors, in [`Works::ready`].
mod acceptor;
mod api;
mod executor;
mod leader;
mod lease;
pub mod message;
mod opening;
mod proposer;
pub mod record;
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
use slot::AcceptorSlot;
use submission::PendingSubmission;

/// Configurations kept: as many epochs may have work open at one time. The fifth closes the first.
const MAX_OPEN_EPOCHS: usize = 4;

/// A piece of work: its epoch and id.
type WorkId = (u64, Rc<str>);

/// One member's share of all work in hand.
pub struct TakeoverState {
    me: MemberId,
    rules: Vec<Option<ClassRule>>,
    limits: Limits,
    guards: SafetyChecks,
    /// Oldest first, at most [`EPOCHS`].
    configs: VecDeque<Configuration>,
    /// Bounded by `limits.works` and `limits.bytes`.
    slots: BTreeMap<WorkId, AcceptorSlot>,
    /// At most one for each slot that this member has, or is about to have.
    led: BTreeMap<WorkId, LeaderState>,
    keys: BTreeMap<ExecutionKey, WorkId>,
    /// By id; bounded by `limits.works`.
    asks: BTreeMap<Rc<str>, PendingSubmission>,
    tokens: BTreeMap<ClientToken, Rc<str>>,
    leases: Leases,
    /// Rumours: they choose whom to ask first, and nothing more.
    dead: BTreeSet<MemberId>,
    now: Micros,
    /// What this member says to itself; emptied by every [`Works::ready`].
    own: VecDeque<Body>,
    acts: Vec<Action>,
    dirty: BTreeSet<WorkId>,
    renew: Option<Micros>,
    scan: Option<Micros>,
    next_key: u64,
    bytes: usize,
    counts: Counters,
}

impl TakeoverState {
    /// `rules` by class; none: that class is not protected.
    pub fn new(me: MemberId, rules: Vec<Option<ClassRule>>, limits: Limits) -> TakeoverState {
        let leases = Leases::new(limits.lease, limits.drift);
        TakeoverState {
            me,
            rules,
            limits,
            guards: SafetyChecks::default(),
            configs: VecDeque::new(),
            slots: BTreeMap::new(),
            led: BTreeMap::new(),
            keys: BTreeMap::new(),
            asks: BTreeMap::new(),
            tokens: BTreeMap::new(),
            leases,
            dead: BTreeSet::new(),
            now: 0,
            own: VecDeque::new(),
            acts: Vec::new(),
            dirty: BTreeSet::new(),
            renew: None,
            scan: None,
            next_key: 1,
            bytes: 0,
            counts: Counters::default(),
        }
    }

    /// Takes guards of the protocol out; for tests alone.
    #[doc(hidden)]
    pub fn set_guards(&mut self, guards: SafetyChecks) {
        self.guards = guards;
    }

    /// What stands here of a work, for a checker that sees all members at once.
    #[doc(hidden)]
    pub fn inspect(&self, epoch: u64, id: &str) -> Option<(slot::Acceptor, Option<u64>)> {
        let work = (epoch, Rc::from(id));
        let slot = self.slots.get(&work)?;
        Some((slot.acceptor.clone(), self.led.get(&work).map(|l| l.ballot)))
    }

    /// A configuration was agreed. One that is not newer than those known changes nothing.
    pub fn configure(&mut self, now: Micros, config: Configuration) {
        self.now = self.now.max(now);
        let epoch = config.epoch();
        if self.configs.back().is_some_and(|c| c.epoch() >= epoch) {
            return;
        }
        self.configs.push_back(config);
        if self.configs.len() > MAX_OPEN_EPOCHS {
            let closed = self.configs.front().map_or(0, Configuration::epoch);
            self.close(now, closed);
        }
        self.ask_in(epoch);
    }

    /// The last work of this epoch and of all before it is over; the newest is never closed. Whoever calls this must know
    /// it from the log: an id of a closed epoch may be opened again.
    pub fn close(&mut self, now: Micros, epoch: u64) {
        self.now = self.now.max(now);
        while self.configs.len() > 1 && self.configs.front().is_some_and(|c| c.epoch() <= epoch) {
            self.configs.pop_front();
        }
        let oldest = self.configs.front().map_or(0, Configuration::epoch);
        let gone: Vec<WorkId> = self.led.keys().filter(|w| w.0 < oldest).cloned().collect();
        for work in gone {
            self.lose(&work);
        }
        let gone: Vec<WorkId> = self.slots.keys().filter(|w| w.0 < oldest).cloned().collect();
        for work in gone {
            self.forget(&work);
        }
        let configs = &self.configs;
        self.leases.keep_only(|m| configs.iter().any(|c| c.counts(m)));
        self.dead.retain(|m| configs.iter().any(|c| c.counts(m)));
    }

    /// Takes what another member said. Whatever is not that member's to say is counted and changes nothing.
    pub fn receive(&mut self, now: Micros, _unix_ms: u64, from: &MemberId, message: Message) {
        self.now = self.now.max(now);
        match message.body {
            Some(body) if *from != self.me => self.handle(from.clone(), body),
            _ => self.counts.strangers += 1,
        }
    }

    /// What is said of a member; changes whom this one turns to first.
    pub fn rumour(&mut self, now: Micros, member: &MemberId, alive: bool) {
        self.now = self.now.max(now);
        if alive {
            self.dead.remove(member);
        } else if self.configs.iter().any(|c| c.counts(member)) && self.dead.insert(member.clone()) {
            self.turn_from(member);
        }
    }

    fn handle(&mut self, from: MemberId, body: Body) {
        match body {
            Body::Ask(m) => self.asked(from, m),
            Body::Told(m) => self.told(from, m),
            Body::Accept(m) => self.accept(from, m),
            Body::Accepted(m) => self.accepted(from, m),
            Body::Prepare(m) => self.prepare(from, m),
            Body::Promised(m) => self.promised(from, m),
            Body::Rejected(m) => self.rejected(from, m),
            Body::Decided(m) => self.decided(from, m),
            Body::Seal(m) => self.seal(from, m),
            Body::Sealed(m) => self.sealed(from, m),
            Body::Renew(m) => {
                if self.configs.iter().any(|c| c.counts(&from)) {
                    self.leases.heard(self.now, &from);
                    self.send(&from, Body::Renewed(m));
                }
            }
            Body::Renewed(m) => {
                if self.configs.iter().any(|c| c.counts(&from)) {
                    self.leases.acked(self.now, &from, m.sent);
                }
            }
        }
    }

    /// Says again what is owed, renews leases, takes over from the silent, ends what is out of time, forgets what is
    /// long over.
    pub fn tick(&mut self, now: Micros, _unix_ms: u64) {
        self.now = self.now.max(now);
        self.tick_asks();
        self.tick_led();
        if self.scan.is_some_and(|at| at <= self.now) {
            self.scan_slots();
        }
    }

    /// When [`Works::tick`] wants to be called.
    pub fn due(&self) -> Option<Micros> {
        if !self.own.is_empty() || !self.dirty.is_empty() {
            return Some(self.now);
        }
        let asks = self.asks.values().map(|e| e.next.min(e.deadline)).min();
        let led = self.led.values().map(|l| l.write_by.unwrap_or(l.resend).min(l.resend)).min();
        [asks, led, self.scan, self.renew].into_iter().flatten().min()
    }

    /// What is to be done, since the last time.
    pub fn ready(&mut self) -> Vec<Action> {
        loop {
            while let Some(body) = self.own.pop_front() {
                self.handle(self.me.clone(), body);
            }
            let Some(work) = self.dirty.pop_first() else { break };
            self.write(&work);
        }
        std::mem::take(&mut self.acts)
    }

    pub fn counts(&self) -> Counters {
        Counters { works: self.slots.len() as u64, bytes: self.bytes as u64, ..self.counts }
    }

    fn send(&mut self, to: &MemberId, body: Body) {
        if *to == self.me {
            self.own.push_back(body);
        } else {
            self.counts.sent += 1;
            self.acts.push(Action::Send { to: to.clone(), message: body.into() });
        }
    }

    fn rule(&self, class: u32) -> Option<&ClassRule> {
        self.rules.get(class as usize).and_then(Option::as_ref)
    }

    fn slack(&self, class: u32) -> Micros {
        self.rule(class).map_or(0, |r| r.slack_ms.saturating_mul(1000))
    }

    fn config(&self, epoch: u64) -> Option<&Configuration> {
        self.configs.iter().find(|c| c.epoch() == epoch)
    }

    fn newest(&self) -> u64 {
        self.configs.back().map_or(0, Configuration::epoch)
    }

    /// The group of a piece of work: the lives that were agreed on, in the order of their ranks.
    fn group(&self, work: &WorkId, class: u32) -> Option<Rc<[MemberId]>> {
        let guards = self.rule(class)?.guards;
        let group = self.config(work.0)?.group(work.1.as_bytes(), guards);
        Some(group.into_iter().map(|m| m.id.clone()).collect())
    }

    /// Invariant: only the life that was agreed on is of the group. One that restarted has forgotten its promises.
    fn rank(&self, group: &[MemberId], member: &MemberId) -> Option<usize> {
        group.iter().position(|m| m == member || !self.guards.incarnation && m.name == member.name)
    }

    /// A sixth of a lease: how long an answer may take before it is asked for again, and how long a value may wait.
    fn pause(&self) -> Micros {
        (self.limits.lease / 6).max(1)
    }
}
