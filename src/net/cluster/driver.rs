//! Owns the state machines of this member: passes them events with the time, and carries out their actions.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use async_channel::Sender;
use async_io::Timer;
use event_listener::Event as Wake;
use futures_lite::FutureExt;
use slog::{debug, info, warn, Logger};

use super::clock::MachineClock;
use super::execution::{Execute, Hold, Machine, Run};
use super::frames::{Frame, FrameError, Hello, VERSION};
use super::outbox::Outbox;
use crate::cluster::bootstrap::first_configuration::{self, LoglessBootstrap};
use crate::cluster::takeover::{Act, Ask, Counts, Key, May, Reply, Token, Works};
use crate::cluster::{Configuration, Member, MemberId, Micros};
use crate::config::operator::ClusterConfig;
use crate::coordinator::CancellationToken;
use crate::net::LogRateLimiter;

/// The connection that a member's frames are read from: the newest one alone.
type Reader = (u64, Sender<Infallible>);

pub struct Driver {
    me: MemberId,
    cluster: Rc<str>,
    zone: Rc<str>,
    members: Rc<[Member]>,
    most_frame: usize,
    clock: MachineClock,
    works: RefCell<Works>,
    founding: RefCell<LoglessBootstrap>,
    config: RefCell<Option<Configuration>>,
    /// The latest life of each name that was seen.
    latest_lives: RefCell<BTreeMap<Rc<str>, u64>>,
    readers: RefCell<BTreeMap<Rc<str>, Reader>>,
    outboxes: BTreeMap<Rc<str>, Rc<Outbox>>,
    /// Whether each member is reached, as last reported.
    alive: RefCell<BTreeMap<Rc<str>, bool>>,
    waiting: RefCell<HashMap<Token, Sender<Reply>>>,
    runs: RefCell<HashMap<Key, Weak<Run>>>,
    executes: RefCell<Option<Rc<dyn Execute>>>,
    last_token: Cell<Token>,
    /// Actions are being carried out further up the stack.
    busy: Cell<bool>,
    /// When the timer runs out, and what makes it be set anew.
    timer_due: Cell<Option<Micros>>,
    timer_changed: Wake,
    pub idle: Wake,
    log: Logger,
    log_limiter: LogRateLimiter,
}

impl Driver {
    pub fn new(setup: &ClusterConfig, log: Logger) -> Rc<Driver> {
        let clock = MachineClock::start();
        let me = MemberId::new(&setup.name, clock.started_unix_us);
        let works = Works::new(me.clone(), setup.rules.clone(), setup.limits.clone());
        let founding = LoglessBootstrap::new(clock.now(), me.clone(), setup.members.clone());
        let others = setup.members.iter().filter(|m| m.id.name != me.name);
        let outbox = |m: &Member| (m.id.name.clone(), Rc::new(Outbox::new(setup.queue, setup.frame)));
        Rc::new(Driver {
            cluster: setup.cluster.clone(),
            zone: setup.zone(),
            members: setup.members.clone(),
            most_frame: setup.frame,
            clock,
            works: RefCell::new(works),
            founding: RefCell::new(founding),
            config: RefCell::default(),
            latest_lives: RefCell::new([(me.name.clone(), me.incarnation)].into()),
            readers: RefCell::default(),
            outboxes: others.map(outbox).collect(),
            alive: RefCell::default(),
            waiting: RefCell::default(),
            runs: RefCell::default(),
            executes: RefCell::default(),
            last_token: Cell::new(0),
            busy: Cell::new(false),
            timer_due: Cell::new(None),
            timer_changed: Wake::new(),
            idle: Wake::new(),
            log,
            log_limiter: LogRateLimiter::default(),
            me,
        })
    }

    pub fn me(&self) -> &MemberId {
        &self.me
    }

    pub fn most_frame(&self) -> usize {
        self.most_frame
    }

    pub fn unix_ms(&self) -> u64 {
        self.clock.unix_ms()
    }

    pub fn outboxes(&self) -> impl Iterator<Item = (&Member, &Rc<Outbox>)> {
        self.members.iter().filter_map(|m| Some((m, self.outboxes.get(&m.id.name)?)))
    }

    pub fn configuration(&self) -> Option<Configuration> {
        self.config.borrow().clone()
    }

    pub fn counts(&self) -> Counts {
        self.works.borrow().counts()
    }

    /// Frames that were dropped: their queue was full, or there was no connection.
    pub fn dropped(&self) -> u64 {
        self.outboxes.values().map(|o| o.dropped.get()).sum()
    }

    pub fn executes(&self, front: Rc<dyn Execute>) {
        *self.executes.borrow_mut() = Some(front);
    }

    pub fn executes_no_more(&self) {
        let _ = self.executes.take();
    }

    /// Pass an event to the machine and carry out the actions that follow.
    fn work<T>(self: &Rc<Self>, what: impl FnOnce(&mut Works, Micros) -> T) -> T {
        let given = what(&mut self.works.borrow_mut(), self.clock.now());
        self.carry_out();
        given
    }

    /// A client's ask; its reply comes by `reply`.
    pub fn submit(self: &Rc<Self>, ask: Ask, reply: Sender<Reply>) -> Token {
        let (token, unix_ms) = (self.last_token.get() + 1, self.clock.unix_ms());
        self.last_token.set(token);
        self.waiting.borrow_mut().insert(token, reply);
        self.work(|works, now| works.submit(now, unix_ms, token, ask));
        token
    }

    /// That client no longer waits.
    pub fn leave(self: &Rc<Self>, token: Token) {
        if self.waiting.borrow_mut().remove(&token).is_some() {
            self.work(|works, _| works.leave(token));
        }
    }

    /// Pieces of work that this process executes.
    pub fn running(&self) -> usize {
        self.runs.borrow().len()
    }

    pub fn hello(&self) -> Vec<u8> {
        let (cluster, name, zone) =
            (self.cluster.to_string(), self.me.name.to_string(), self.zone.to_string());
        let hello = Hello { cluster, version: VERSION, name, incarnation: self.me.incarnation, zone };
        Frame::Hello(hello).bytes()
    }

    /// A hello of a member on a connection of either side: who it is. Nothing is taken over from any other.
    pub fn greeted(&self, hello: &Hello) -> Result<MemberId, FrameError> {
        let id = hello.check(&self.cluster, &self.members)?;
        if id.name == self.me.name {
            return Err(FrameError::Name(hello.name.clone()));
        }
        let seen = self.latest_lives.borrow().get(&id.name).copied().unwrap_or_default();
        if id.incarnation < seen {
            return Err(FrameError::Outlived(id.to_string()));
        }
        if id.incarnation > seen {
            self.latest_lives.borrow_mut().insert(id.name.clone(), id.incarnation);
            // A later life takes the name over: what an earlier one still says is read no more.
            self.readers.borrow_mut().remove(&id.name);
        }
        Ok(id)
    }

    /// Its frames come over a new connection from now on; the stop reports when yet another one takes its place.
    pub fn reads(&self, id: &MemberId) -> CancellationToken {
        let (send, stop) = CancellationToken::new();
        let latest = self.latest_lives.borrow().get(&id.name) == Some(&id.incarnation);
        if latest {
            self.readers.borrow_mut().insert(id.name.clone(), (id.incarnation, send));
        }
        stop
    }

    pub fn receive(self: &Rc<Self>, from: &MemberId, frame: Frame) -> Result<(), FrameError> {
        match frame {
            Frame::Hello(_) => return Err(FrameError::Order),
            Frame::Work(message) => {
                let (now, unix_ms) = (self.clock.now(), self.clock.unix_ms());
                self.works.borrow_mut().receive(now, unix_ms, from, message);
            }
            Frame::Founding(note) => self.founding.borrow_mut().receive(from, note),
        }
        self.carry_out();
        Ok(())
    }

    /// The connection to it is up.
    pub fn reached(self: &Rc<Self>, id: &MemberId, zone: &str) {
        if self.alive.borrow_mut().insert(id.name.clone(), true) != Some(true) {
            info!(self.log, "fleet member reached"; "member" => %id);
        }
        self.founding.borrow_mut().peer_seen(id, zone);
        self.work(|works, now| works.rumour(now, id, true));
    }

    /// The connection to it broke, or none could be had.
    pub fn lost(self: &Rc<Self>, name: &Rc<str>, why: &io::Error) {
        if self.alive.borrow_mut().insert(name.clone(), false) == Some(true) {
            info!(self.log, "fleet member lost"; "member" => &**name, "error" => %why);
        }
        let id = self
            .latest_lives
            .borrow()
            .get(name)
            .map(|life| MemberId { name: name.clone(), incarnation: *life });
        let listed = || self.config.borrow().as_ref().and_then(|c| c.member(name)).map(|m| m.id.clone());
        if let Some(id) = id.or_else(listed) {
            self.work(|works, now| works.rumour(now, &id, false));
        }
    }

    /// A connection was closed for what came over it.
    pub fn unusable(&self, peer: SocketAddr, why: &FrameError) {
        self.warn("unusable connection in the fleet", &peer, why);
    }

    pub fn not_accepted(&self, why: &io::Error) {
        self.warn("could not accept a member's connection", &"", why);
    }

    fn warn(&self, what: &'static str, peer: &dyn fmt::Display, why: &dyn fmt::Display) {
        if let Some(suppressed) = self.log_limiter.permit() {
            warn!(self.log, "{}", what; "peer" => %peer, "error" => %why, "suppressed" => suppressed);
        }
    }

    /// Run the timers of the machines for good.
    pub async fn tick(self: Rc<Self>) {
        // A fleet of one is founded as it is made: no event would follow.
        self.carry_out();
        loop {
            let changed = self.timer_changed.listen();
            let (works, founding) = (self.works.borrow().due(), self.founding.borrow().next_tick_at());
            let due = works.into_iter().chain(founding).min();
            self.timer_due.set(due);
            if due.is_none_or(|due| due > self.clock.now()) {
                let elapsed = async {
                    match due {
                        Some(due) => drop(Timer::at(self.clock.instant_at(due)).await),
                        None => std::future::pending().await,
                    }
                };
                changed.or(elapsed).await;
                continue;
            }
            let (now, unix_ms) = (self.clock.now(), self.clock.unix_ms());
            self.founding.borrow_mut().tick(now);
            self.works.borrow_mut().tick(now, unix_ms);
            self.carry_out();
            // Guards the other tasks of this thread against a timer that is due again and again.
            futures_lite::future::yield_now().await;
        }
    }

    /// Carry out the machines' actions until there are no more. A call from here that brings further events only leaves
    /// them to this loop: actions are carried out in their order.
    fn carry_out(self: &Rc<Self>) {
        if self.busy.replace(true) {
            return;
        }
        loop {
            let acts = self.works.borrow_mut().ready();
            let founding = self.founding.borrow_mut().ready();
            if acts.is_empty() && founding.is_empty() {
                break;
            }
            founding.into_iter().for_each(|act| self.act_on_founding(act));
            acts.into_iter().for_each(|act| self.act_on_work(act));
        }
        self.busy.set(false);
        let due = self.works.borrow().due();
        if due.is_some_and(|due| self.timer_due.get().is_none_or(|set| due < set)) {
            self.timer_changed.notify(1);
        }
    }

    fn act_on_work(self: &Rc<Self>, act: Act) {
        match act {
            Act::Send { to, message } => self.send(&to, &Frame::Work(message)),
            Act::Start { key, record, takeover } => {
                let machine: Rc<dyn Machine> = self.clone();
                let run = Run::new(key, Rc::downgrade(&machine));
                self.runs.borrow_mut().insert(key, Rc::downgrade(&run));
                debug!(self.log, "protected work begun"; "id" => &record.id, "takeover" => takeover);
                let front = self.executes.borrow().clone();
                match front {
                    Some(front) => front.start(key, record, takeover, Hold::new(run)),
                    None => self.warn("nobody executes protected work here", &"", &record.id),
                }
            }
            Act::Granted { key, .. } => {
                if let Some(run) = self.run(key) {
                    run.granted();
                }
            }
            Act::Stop { key } => {
                if let Some(run) = self.run(key) {
                    run.stop();
                }
            }
            Act::Answer { token, reply } => {
                let waits = self.waiting.borrow_mut().remove(&token);
                drop(waits.map(|w| w.try_send(reply)));
            }
        }
    }

    fn run(&self, key: Key) -> Option<Rc<Run>> {
        self.runs.borrow().get(&key).and_then(Weak::upgrade)
    }

    fn act_on_founding(&self, act: first_configuration::Action) {
        match act {
            first_configuration::Action::Send { to, message } => self.send(&to, &Frame::Founding(message)),
            first_configuration::Action::Decided(config) => {
                let (epoch, members) = (config.epoch(), config.members().len());
                if !config.counts(&self.me) {
                    warn!(self.log, "this member started too late to count"; "epoch" => epoch);
                }
                *self.config.borrow_mut() = Some(config.clone());
                self.works.borrow_mut().configure(self.clock.now(), config);
                info!(self.log, "fleet configuration"; "members" => members, "epoch" => epoch);
            }
            first_configuration::Action::ConfigurationMismatch(id) => {
                self.warn("founding members differ", &id, &"its file names others, or other zones")
            }
        }
    }

    fn send(&self, to: &MemberId, frame: &Frame) {
        if let Some(outbox) = self.outboxes.get(&to.name) {
            outbox.send(to, frame);
        }
    }
}

impl Machine for Driver {
    fn may_send(self: Rc<Self>, key: Key, step: u8, shard: u32, attempt: u8) -> May {
        self.work(|works, now| works.may_send(now, key, step, shard, attempt))
    }

    fn holds(&self, key: Key) -> bool {
        self.works.borrow().holds(self.clock.now(), key)
    }

    fn cleared(self: Rc<Self>, key: Key, step: u8, shard: u32) {
        self.work(|works, now| works.cleared(now, key, step, shard));
    }

    fn value(self: Rc<Self>, key: Key, step: u8, shard: u32, value: Rc<[u8]>, score: f64) {
        self.work(|works, now| works.value(now, key, step, shard, value, score));
    }

    fn finish(self: Rc<Self>, key: Key, outcome: Rc<[u8]>) {
        self.work(|works, now| works.finish(now, key, outcome));
    }

    fn over(&self, key: Key) {
        self.runs.borrow_mut().remove(&key);
        self.idle.notify(usize::MAX);
    }
}
