//! Drives the state machines of this member: passes timestamped events to them and executes the actions
//! that they return.
//!
//! The driver makes no decisions of its own. Invariant: actions are executed in the order in which the
//! state machines returned them, even if executing one of them produces further events.
#![warn(missing_docs)]
mod actions;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use async_channel::Sender;
use async_io::Timer;
use event_listener::{Event as Wake, EventListener};
use futures_lite::FutureExt;
use slog::{info, warn, Logger};

use super::clock::MachineClock;
use super::execution::{Execution, WorkExecutor};
use super::frames::{Frame, FrameError, Hello, VERSION};
use super::outbox::Outbox;
use crate::cluster::bootstrap::first_configuration::LoglessBootstrap;
use crate::cluster::takeover::{
    ClientReply, ClientToken, Counters, ExecutionKey, SubmitRequest, TakeoverState,
};
use crate::cluster::{Configuration, Member, MemberId, Micros};
use crate::config::operator::ClusterConfig;
use crate::coordinator::CancellationToken;
use crate::net::LogRateLimiter;

/// The connection from which a member's frames are read. Dropping it cancels the read task of that
/// connection.
struct Reader {
    _cancel: Sender<Infallible>,
}

/// Connects the state machines of this member to connections, clients and the executor of work items.
pub struct Driver {
    me: MemberId,
    cluster: Rc<str>,
    zone: Rc<str>,
    members: Rc<[Member]>,
    max_frame_bytes: usize,
    clock: MachineClock,
    takeover: RefCell<TakeoverState>,
    bootstrap: RefCell<LoglessBootstrap>,
    configuration: RefCell<Option<Configuration>>,
    /// The latest incarnation seen for each member name.
    latest_incarnations: RefCell<BTreeMap<Rc<str>, u64>>,
    readers: RefCell<BTreeMap<Rc<str>, Reader>>,
    outboxes: BTreeMap<Rc<str>, Rc<Outbox>>,
    /// The connectivity of each member as last logged.
    reachable: RefCell<BTreeMap<Rc<str>, bool>>,
    clients: RefCell<HashMap<ClientToken, Sender<ClientReply>>>,
    executions: RefCell<HashMap<ExecutionKey, Weak<Execution>>>,
    executor: RefCell<Option<Rc<dyn WorkExecutor>>>,
    last_token: Cell<ClientToken>,
    /// Whether a caller further up the stack is already executing actions.
    executing_actions: Cell<bool>,
    /// When the current timer expires, and the event that makes it be set again.
    timer_due: Cell<Option<Micros>>,
    timer_changed: Wake,
    execution_ended: Wake,
    log: Logger,
    log_limiter: LogRateLimiter,
}

impl Driver {
    /// Creates a driver without connections. The incarnation of this member is the current time.
    pub fn new(config: &ClusterConfig, log: Logger) -> Rc<Driver> {
        let clock = MachineClock::start();
        let me = MemberId::new(&config.name, clock.started_unix_us);
        let takeover = TakeoverState::new(me.clone(), config.rules.clone(), config.limits.clone());
        let bootstrap = LoglessBootstrap::new(clock.now(), me.clone(), config.members.clone());
        let others = config.members.iter().filter(|m| m.id.name != me.name);
        let outbox = || Rc::new(Outbox::new(config.max_queued_frames, config.max_frame_bytes));
        Rc::new(Driver {
            cluster: config.cluster.clone(),
            zone: config.zone(),
            members: config.members.clone(),
            max_frame_bytes: config.max_frame_bytes,
            clock,
            takeover: RefCell::new(takeover),
            bootstrap: RefCell::new(bootstrap),
            configuration: RefCell::default(),
            latest_incarnations: RefCell::new([(me.name.clone(), me.incarnation)].into()),
            readers: RefCell::default(),
            outboxes: others.map(|m| (m.id.name.clone(), outbox())).collect(),
            reachable: RefCell::default(),
            clients: RefCell::default(),
            executions: RefCell::default(),
            executor: RefCell::default(),
            last_token: Cell::new(0),
            executing_actions: Cell::new(false),
            timer_due: Cell::new(None),
            timer_changed: Wake::new(),
            execution_ended: Wake::new(),
            log,
            log_limiter: LogRateLimiter::default(),
            me,
        })
    }

    /// Returns the identity of this member.
    pub fn member_id(&self) -> &MemberId {
        &self.me
    }

    /// Returns the maximum length of a frame from another member, in bytes.
    pub fn max_frame_bytes(&self) -> usize {
        self.max_frame_bytes
    }

    /// Returns the current Unix time in milliseconds.
    pub fn unix_ms(&self) -> u64 {
        self.clock.unix_ms()
    }

    /// Returns the other members, each with the queue of frames to send to it.
    pub fn outboxes(&self) -> impl Iterator<Item = (&Member, &Rc<Outbox>)> {
        self.members.iter().filter_map(|m| Some((m, self.outboxes.get(&m.id.name)?)))
    }

    /// Returns the latest configuration, or `None` before the first one is decided.
    pub fn configuration(&self) -> Option<Configuration> {
        self.configuration.borrow().clone()
    }

    /// Returns the counters of the takeover protocol.
    pub fn counters(&self) -> Counters {
        self.takeover.borrow().counters()
    }

    /// Returns the number of outgoing frames dropped because their queue was full or there was no
    /// connection.
    pub fn dropped_frames(&self) -> u64 {
        self.outboxes.values().map(|outbox| outbox.dropped()).sum()
    }

    /// Sets the executor for work items that start from now on.
    pub fn set_executor(&self, executor: Rc<dyn WorkExecutor>) {
        *self.executor.borrow_mut() = Some(executor);
    }

    /// Removes the executor, so that no further work items are executed.
    pub fn remove_executor(&self) {
        let _ = self.executor.take();
    }

    /// Passes an event to the takeover protocol and executes the resulting actions.
    fn with_takeover<T>(self: &Rc<Self>, event: impl FnOnce(&mut TakeoverState, Micros) -> T) -> T {
        let result = event(&mut self.takeover.borrow_mut(), self.clock.now());
        self.execute_actions();
        result
    }

    /// Submits a client's request. The reply is sent to `reply`.
    pub fn submit(self: &Rc<Self>, request: SubmitRequest, reply: Sender<ClientReply>) -> ClientToken {
        let token = self.last_token.get() + 1;
        let unix_ms = self.clock.unix_ms();
        self.last_token.set(token);
        self.clients.borrow_mut().insert(token, reply);
        self.with_takeover(|takeover, now| takeover.submit(now, unix_ms, token, request));
        token
    }

    /// Removes a client that no longer waits for its reply.
    pub fn remove_client(self: &Rc<Self>, token: ClientToken) {
        if self.clients.borrow_mut().remove(&token).is_some() {
            self.with_takeover(|takeover, _| takeover.remove_client(token));
        }
    }

    /// Returns the number of work items that this process is executing.
    pub fn running_executions(&self) -> usize {
        self.executions.borrow().len()
    }

    /// Returns a listener that resolves when an execution ends after this call.
    pub fn execution_ended(&self) -> EventListener {
        self.execution_ended.listen()
    }

    /// Returns this member's encoded hello.
    pub fn hello(&self) -> Vec<u8> {
        let hello = Hello {
            cluster: self.cluster.to_string(),
            version: VERSION,
            name: self.me.name.to_string(),
            incarnation: self.me.incarnation,
            zone: self.zone.to_string(),
        };
        Frame::Hello(hello).bytes()
    }

    /// Checks the hello received on an accepted or a dialled connection and returns the identity of the
    /// peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the hello belongs to another cluster or protocol version, carries an invalid or
    /// unknown name or this member's own name, or has an earlier incarnation than one already seen.
    pub fn check_hello(&self, hello: &Hello) -> Result<MemberId, FrameError> {
        let id = hello.check(&self.cluster, &self.members)?;
        if id.name == self.me.name {
            return Err(FrameError::NameMismatch(hello.name.clone()));
        }
        let latest = self.latest_incarnations.borrow().get(&id.name).copied().unwrap_or_default();
        if id.incarnation < latest {
            return Err(FrameError::StaleIncarnation(id.to_string()));
        }
        if id.incarnation > latest {
            self.latest_incarnations.borrow_mut().insert(id.name.clone(), id.incarnation);
            // A later incarnation replaces an earlier one, whose frames are no longer read.
            self.readers.borrow_mut().remove(&id.name);
        }
        Ok(id)
    }

    /// Registers a new connection as the one from which the member's frames are read. The returned token is
    /// cancelled when a later connection replaces it.
    pub fn register_reader(&self, id: &MemberId) -> CancellationToken {
        let (cancel, token) = CancellationToken::new();
        if self.latest_incarnations.borrow().get(&id.name) == Some(&id.incarnation) {
            self.readers.borrow_mut().insert(id.name.clone(), Reader { _cancel: cancel });
        }
        token
    }

    /// Handles a frame from another member.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::UnexpectedFrame`] for a hello, which may only be the first frame.
    pub fn receive(self: &Rc<Self>, from: &MemberId, frame: Frame) -> Result<(), FrameError> {
        match frame {
            Frame::Hello(_) => return Err(FrameError::UnexpectedFrame),
            Frame::Takeover(message) => {
                let now = self.clock.now();
                let unix_ms = self.clock.unix_ms();
                self.takeover.borrow_mut().receive(now, unix_ms, from, message);
            }
            Frame::Bootstrap(message) => self.bootstrap.borrow_mut().receive(from, message),
        }
        self.execute_actions();
        Ok(())
    }

    /// Records that the connection to a member is established.
    pub fn member_connected(self: &Rc<Self>, id: &MemberId, zone: &str) {
        if self.reachable.borrow_mut().insert(id.name.clone(), true) != Some(true) {
            info!(self.log, "fleet member reached"; "member" => %id);
        }
        self.bootstrap.borrow_mut().peer_seen(id, zone);
        self.with_takeover(|takeover, now| takeover.record_gossip(now, id, true));
    }

    /// Records that the connection to a member was lost or could not be established.
    pub fn member_disconnected(self: &Rc<Self>, name: &Rc<str>, error: &io::Error) {
        if self.reachable.borrow_mut().insert(name.clone(), false) == Some(true) {
            info!(self.log, "fleet member lost"; "member" => &**name, "error" => %error);
        }
        if let Some(id) = self.latest_known(name) {
            self.with_takeover(|takeover, now| takeover.record_gossip(now, &id, false));
        }
    }

    /// Returns the latest incarnation seen for a name, or else the one in the configuration.
    fn latest_known(&self, name: &Rc<str>) -> Option<MemberId> {
        if let Some(incarnation) = self.latest_incarnations.borrow().get(name) {
            return Some(MemberId { name: name.clone(), incarnation: *incarnation });
        }
        let configuration = self.configuration.borrow();
        configuration.as_ref().and_then(|c| c.member(name)).map(|member| member.id.clone())
    }

    /// Logs that a connection was closed because of a protocol error.
    pub fn connection_invalid(&self, peer: SocketAddr, error: &FrameError) {
        self.warn("fleet connection closed: protocol error", &peer, error);
    }

    /// Logs that a connection could not be accepted because of a local failure, for example a lack of file
    /// descriptors.
    pub fn accept_failed(&self, error: &io::Error) {
        self.warn("could not accept a member's connection", &"", error);
    }

    fn warn(&self, message: &'static str, peer: &dyn fmt::Display, error: &dyn fmt::Display) {
        if let Some(suppressed) = self.log_limiter.permit() {
            warn!(self.log, "{}", message; "peer" => %peer, "error" => %error, "suppressed" => suppressed);
        }
    }

    /// Runs the timers of the state machines until the task is cancelled.
    pub async fn run_timers(self: Rc<Self>) {
        // A cluster of one member is decided on creation, and no later event would trigger its actions.
        self.execute_actions();
        loop {
            let changed = self.timer_changed.listen();
            let takeover_due = self.takeover.borrow().next_due();
            let bootstrap_due = self.bootstrap.borrow().next_tick_at();
            let due = takeover_due.into_iter().chain(bootstrap_due).min();
            self.timer_due.set(due);
            if due.is_none_or(|due| due > self.clock.now()) {
                changed.or(self.wait_until(due)).await;
                continue;
            }
            let now = self.clock.now();
            let unix_ms = self.clock.unix_ms();
            self.bootstrap.borrow_mut().tick(now);
            self.takeover.borrow_mut().tick(now, unix_ms);
            self.execute_actions();
            // Lets other tasks of this thread run even if timers are due continuously.
            futures_lite::future::yield_now().await;
        }
    }

    /// Waits until `due`, or forever if it is `None`.
    async fn wait_until(&self, due: Option<Micros>) {
        match due {
            Some(due) => {
                Timer::at(self.clock.instant_at(due)).await;
            }
            None => std::future::pending().await,
        }
    }
}
