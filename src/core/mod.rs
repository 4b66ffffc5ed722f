//! The core of a co-ordinator, which knows no wire. It owns the [`Balancer`], its clock, its timer and its
//! rounds; takes a query with its parts and deadline and gives back exactly one final outcome. What carries
//! the attempts is a [`Transport`].
mod clock;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::convert::Infallible;
use std::future::Future;
use std::rc::{Rc, Weak};
use std::time::Instant;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;

use crate::interface::*;
use crate::Balancer;
pub use clock::{after, Clock};

/// A query as a front hands it in; `carried` is what the transport needs of it.
pub struct Query<C> {
    pub class: ClassId,
    pub deadline: Instant,
    pub repeat: bool,
    pub parts: Vec<(ShardId, f64)>,
    pub carried: C,
}

/// The value of a part, as a replica gave it.
pub type Value = Rc<[u8]>;

/// The final outcome of a query.
#[derive(Clone, Debug, PartialEq)]
pub enum Final {
    Answered {
        whole: bool,
        values: Vec<(ShardId, Value)>,
    },
    /// Trying again is harmless, best after so many seconds.
    Refused {
        retry_after: Option<f64>,
    },
    Failed,
    /// Its time ran out before the module ended it.
    Overdue,
}

/// Which step of its query a part belongs to.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    First,
    /// The shards that were in when the first step was answered, and whether that was whole.
    Second {
        from: Rc<[ShardId]>,
        whole: bool,
    },
}

/// One attempt of one part.
pub struct Call<T: Transport> {
    pub replica: ReplicaId,
    pub carried: Rc<T::Carried>,
    pub shard: ShardId,
    pub step: Step,
    pub deadline: Instant,
    /// Whose it is, and which attempt of which part, sent when.
    of: Option<(Rc<Core<T>>, PartId, u8, Instant)>,
}

impl<T: Transport> Call<T> {
    /// A call of no core, as a transport is tried with alone: it is the only attempt of its part.
    pub fn alone(
        replica: ReplicaId,
        carried: Rc<T::Carried>,
        shard: ShardId,
        step: Step,
        deadline: Instant,
    ) -> Call<T> {
        Call { replica, carried, shard, step, deadline, of: None }
    }

    /// Commit the part to this attempt, before the first of its value goes to the client: its other attempts are
    /// called off in the same breath, and no further one is made. `false` where another attempt was first, or the
    /// query is over: nothing of this one may go out then. What comes of the attempt is still told by its one end.
    pub fn commit(&self) -> bool {
        let Some((core, part, attempt, sent)) = &self.of else { return true };
        core.commit(*part, *attempt, self.replica, *sent)
    }

    /// Whether this attempt has committed its part.
    pub fn committed(&self) -> bool {
        let Some((core, part, attempt, _)) = &self.of else { return true };
        core.state.borrow().parts.get(part).is_some_and(|p| p.committed == Some(*attempt))
    }
}

/// Resolves when an attempt is called off.
#[derive(Clone)]
pub struct Stop(Receiver<Infallible>);

impl Stop {
    /// A stop, and what to drop for it to come.
    pub fn new() -> (Sender<Infallible>, Stop) {
        let (send, stopped) = async_channel::bounded(1);
        (send, Stop(stopped))
    }

    /// Whether it has come: for the last look before a write.
    pub fn called_off(&self) -> bool {
        self.0.is_closed()
    }

    pub async fn wait(&self) {
        while self.0.recv().await.is_ok() {}
    }
}

/// How an attempt ended, and what came with it.
#[derive(Debug)]
pub struct Ended {
    pub outcome: Outcome,
    /// The part's value and its score, if it was served.
    pub served: Option<(Value, f64)>,
    pub report: Option<Report>,
}

impl From<Outcome> for Ended {
    fn from(outcome: Outcome) -> Self {
        Ended { outcome, served: None, report: None }
    }
}

/// Carries attempts to replicas. Each call resolves once, with the outcome of that attempt.
pub trait Transport: Sized + 'static {
    type Carried: 'static;
    fn call(self: Rc<Self>, call: Call<Self>, stop: Stop) -> impl Future<Output = Ended>;
    /// Whether the replica answered, and its report.
    fn probe(self: Rc<Self>, replica: ReplicaId) -> impl Future<Output = (bool, Option<Report>)>;
    fn close_idle(&self, replica: ReplicaId);
}

struct Part {
    query: QueryId,
    shard: ShardId,
    step: Step,
    value: Option<(Value, f64)>,
    attempts: u8,
    /// The attempt whose value has begun to go to the client.
    committed: Option<u8>,
}

struct Open<C> {
    number: QueryNumber,
    class: ClassId,
    deadline: Instant,
    carried: Rc<C>,
    parts: Vec<PartId>,
    second: bool,
    done: Sender<Final>,
}

struct State<C> {
    balancer: Balancer,
    events: Vec<Event>,
    timers: BinaryHeap<Reverse<Instant>>,
    open: BTreeMap<QueryId, Open<C>>,
    parts: BTreeMap<PartId, Part>,
    stops: BTreeMap<(PartId, u8), Sender<Infallible>>,
    next: u32,
}

/// What happened so far, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub taken: u64,
    pub whole: u64,
    pub partial: u64,
    pub refused: u64,
    pub failed: u64,
    pub withdrawn: u64,
    pub full: u64,
    pub sends: u64,
}

pub struct Core<T: Transport> {
    state: RefCell<State<T::Carried>>,
    counts: Cell<Counts>,
    clock: Clock,
    wake: event_listener::Event,
    subscribe: (Sender<()>, Receiver<()>),
    executor: Rc<LocalExecutor<'static>>,
    transport: Rc<T>,
    settings: Settings,
    max_open: usize,
    listed: Cell<bool>,
}

/// A query that was taken. Dropping it before its final outcome withdraws it.
pub struct Taken<T: Transport> {
    core: Weak<Core<T>>,
    query: QueryId,
    deadline: Instant,
    carried: Rc<T::Carried>,
    done: Receiver<Final>,
}

impl<T: Transport> Taken<T> {
    /// When its client's time is up.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// What the front handed in, while the query is open; for a front that streams.
    pub fn carried(&self) -> Rc<T::Carried> {
        self.carried.clone()
    }

    /// The final outcome. Guards against a query that the module forgets: it ends with its time.
    pub async fn outcome(&self) -> Final {
        let ended = async { self.done.recv().await.unwrap_or(Final::Failed) };
        let overdue = async {
            Timer::at(self.deadline).await;
            Final::Overdue
        };
        ended.or(overdue).await
    }
}

impl<T: Transport> Drop for Taken<T> {
    fn drop(&mut self) {
        if let Some(core) = self.core.upgrade() {
            core.withdraw(self.query);
        }
    }
}

impl<T: Transport> Core<T> {
    pub fn new(
        settings: Settings,
        seed: u64,
        max_open: usize,
        executor: Rc<LocalExecutor<'static>>,
        transport: Rc<T>,
    ) -> Result<Rc<Self>, SettingsError> {
        let state = State {
            balancer: Balancer::new(settings.clone(), seed)?,
            events: Vec::new(),
            timers: BinaryHeap::new(),
            open: BTreeMap::new(),
            parts: BTreeMap::new(),
            stops: BTreeMap::new(),
            next: 0,
        };
        Ok(Rc::new(Core {
            state: RefCell::new(state),
            counts: Cell::default(),
            clock: Clock::new(),
            wake: event_listener::Event::new(),
            subscribe: async_channel::bounded(1),
            executor,
            transport,
            settings,
            max_open,
            listed: Cell::new(false),
        }))
    }

    pub fn clock(&self) -> Clock {
        self.clock
    }

    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    /// Further classes of queries, behind those that are there.
    pub fn extend(&self, classes: &[Class]) -> Result<(), SettingsError> {
        self.state.borrow_mut().balancer.extend(classes)
    }

    /// Replicas that the module remembers.
    pub fn known(&self) -> usize {
        self.state.borrow().balancer.known()
    }

    /// Queries that have no final outcome yet.
    pub fn open(&self) -> usize {
        self.state.borrow().open.len()
    }

    /// Parts of those, as they count toward `max_open`.
    pub fn held(&self) -> usize {
        self.state.borrow().parts.len()
    }

    /// Whether the next query would be refused for want of room.
    pub fn full(&self) -> bool {
        self.state.borrow().full(self.max_open)
    }

    /// Whether some list of replicas has gone through a round: queries can be served.
    pub fn ready(&self) -> bool {
        self.listed.get()
    }

    /// Yields each time the module wants to follow the list of replicas from here on.
    pub fn subscriptions(&self) -> Receiver<()> {
        self.subscribe.1.clone()
    }

    /// Take a query; all its parts enter in one round. `None`: as many queries and parts are open as may be.
    pub fn take(self: &Rc<Self>, query: Query<T::Carried>) -> Option<Taken<T>> {
        let state = &mut *self.state.borrow_mut();
        self.count(|c| c.taken += 1);
        // Full at that count, as in the simulator. Guards against turning away a query that merely would
        // reach it: of three long queries, the limit's least, the third. Parts of ended queries hold no room.
        if state.full(self.max_open) {
            self.count(|c| c.full += 1);
            return None;
        }
        let now = Instant::now();
        let id = QueryId(state.id());
        let (number, (send, done)) = (QueryNumber(id.0), async_channel::bounded(1));
        state.events.push(Event::Query {
            query: id,
            number,
            class: query.class,
            tenant: TenantId(0),
            patience: query.deadline.saturating_duration_since(now).as_secs_f64(),
            parts: query.parts.len() as u32,
            repeat: query.repeat,
        });
        let mut open = Open {
            number,
            class: query.class,
            deadline: query.deadline,
            carried: Rc::new(query.carried),
            parts: Vec::new(),
            second: false,
            done: send,
        };
        state.enter(id, &mut open, Step::First, &query.parts);
        let carried = open.carried.clone();
        state.open.insert(id, open);
        self.wake.notify(1);
        Some(Taken { core: Rc::downgrade(self), query: id, deadline: query.deadline, carried, done })
    }

    fn withdraw(&self, id: QueryId) {
        let mut state = self.state.borrow_mut();
        if let Some(open) = state.open.remove(&id) {
            open.parts.iter().for_each(|p| drop(state.leave(*p)));
            state.events.push(Event::Withdrawn { query: id });
            self.count(|c| c.withdrawn += 1);
            self.wake.notify(1);
        }
    }

    /// News of the list of replicas.
    pub fn members(&self, news: News, entries: Vec<Listed>) {
        self.state.borrow_mut().events.push(Event::Members { news, entries });
        self.wake.notify(1);
    }

    /// Rounds, for as long as the program runs: one whenever something has happened or a timer is due.
    pub async fn run(self: Rc<Self>) {
        loop {
            let listener = self.wake.listen();
            let due = {
                let mut state = self.state.borrow_mut();
                let now = Instant::now();
                while state.timers.peek().is_some_and(|Reverse(at)| *at <= now) {
                    state.timers.pop();
                    state.events.push(Event::Timer);
                }
                state.timers.peek().map(|Reverse(at)| *at)
            };
            if self.state.borrow().events.is_empty() {
                let timer = async {
                    match due {
                        Some(at) => drop(Timer::at(at).await),
                        None => std::future::pending().await,
                    }
                };
                listener.or(timer).await;
                continue;
            }
            self.round();
            // Lets what else is ready come into one round, and the sends out before the next.
            futures_lite::future::yield_now().await;
        }
    }

    fn round(self: &Rc<Self>) {
        let state = &mut *self.state.borrow_mut();
        let now = Instant::now();
        let events = std::mem::take(&mut state.events);
        let listed = |e: &Event| matches!(e, Event::Members { entries, .. } if !entries.is_empty());
        self.listed.set(self.listed.get() || events.iter().any(listed));
        for action in state.balancer.round(self.clock.at(now), &events) {
            self.act(state, now, action);
        }
    }

    fn act(self: &Rc<Self>, state: &mut State<T::Carried>, now: Instant, action: Action) {
        match action {
            Action::Send { part, replica, timeout } => self.send(state, now, part, replica, timeout),
            // Its attempt resolves as called off, unless another outcome is already on its way.
            Action::Cancel { part, attempt } => drop(state.stops.remove(&(part, attempt))),
            Action::Answer { query, whole } => self.answer(state, query, whole),
            Action::Refuse { query, retry_after } => {
                self.count(|c| c.refused += 1);
                state.end(query, Final::Refused { retry_after });
            }
            Action::Fail { query } => {
                self.count(|c| c.failed += 1);
                state.end(query, Final::Failed);
            }
            Action::Probe { replica } => {
                let (core, transport) = (self.clone(), self.transport.clone());
                let probe = async move {
                    let (ok, report) = transport.probe(replica).await;
                    let took = now.elapsed().as_secs_f64();
                    core.tell(Event::Probed { replica, ok, took, report });
                };
                self.executor.spawn(probe).detach();
            }
            Action::CloseIdle { replica } => self.transport.close_idle(replica),
            Action::Timer { after: wait } => state.timers.push(Reverse(after(now, wait))),
            Action::Subscribe => drop(self.subscribe.0.try_send(())),
        }
    }

    /// Start an attempt; whatever becomes of it, its one outcome is fed back, also after its query's end.
    fn send(
        self: &Rc<Self>,
        state: &mut State<T::Carried>,
        now: Instant,
        part: PartId,
        replica: ReplicaId,
        timeout: Option<f64>,
    ) {
        let held = state.parts.get_mut(&part).and_then(|p| Some((state.open.get(&p.query)?, p)));
        let Some((open, held)) = held.filter(|(_, p)| u32::from(p.attempts) < self.settings.most_tries)
        else {
            let (attempt, outcome) = (u8::MAX, Outcome::NotSent);
            let over = true;
            state.events.push(Event::Outcome {
                part,
                attempt,
                replica,
                over,
                outcome,
                took: 0.0,
                report: None,
            });
            return;
        };
        let attempt = held.attempts;
        held.attempts += 1;
        self.count(|c| c.sends += 1);
        let deadline = timeout.map_or(open.deadline, |t| after(now, t).min(open.deadline));
        let (carried, step) = (open.carried.clone(), held.step.clone());
        let of = Some((self.clone(), part, attempt, now));
        let call = Call { replica, carried, shard: held.shard, step, deadline, of };
        let (stop, stopped) = Stop::new();
        state.stops.insert((part, attempt), stop);
        let core = self.clone();
        let life = async move {
            let ended = core.transport.clone().call(call, stopped).await;
            core.ended(part, attempt, replica, now, ended);
        };
        self.executor.spawn(life).detach();
    }

    fn commit(&self, id: PartId, attempt: u8, replica: ReplicaId, sent: Instant) -> bool {
        let state = &mut *self.state.borrow_mut();
        let Some(part) = state.parts.get_mut(&id).filter(|p| p.value.is_none()) else { return false };
        if part.committed.is_some() {
            return part.committed == Some(attempt);
        }
        part.committed = Some(attempt);
        let others = (0..part.attempts).filter(|n| *n != attempt);
        others.for_each(|n| drop(state.stops.remove(&(id, n))));
        let took = sent.elapsed().as_secs_f64();
        state.events.push(Event::Committed { part: id, attempt, replica, took });
        self.wake.notify(1);
        true
    }

    fn ended(&self, id: PartId, attempt: u8, replica: ReplicaId, sent: Instant, ended: Ended) {
        let mut state = self.state.borrow_mut();
        state.stops.remove(&(id, attempt));
        let part = state.parts.get_mut(&id);
        let over = part.as_ref().is_none_or(|p| p.value.is_some()) || ended.served.is_some();
        // The first value counts; where one has begun to go out, that one alone.
        let counts = |p: &&mut Part| p.value.is_none() && p.committed.is_none_or(|n| n == attempt);
        if let Some(part) = part.filter(counts) {
            part.value = ended.served;
        }
        drop(state);
        let (outcome, report) = (ended.outcome, ended.report);
        let took = sent.elapsed().as_secs_f64();
        self.tell(Event::Outcome { part: id, attempt, replica, over, outcome, took, report });
    }

    fn tell(&self, event: Event) {
        self.state.borrow_mut().events.push(event);
        self.wake.notify(1);
    }

    /// End the query with what is in, or, at the first answer of a class of two steps, begin the second at
    /// the best shards that are in.
    fn answer(&self, state: &mut State<T::Carried>, id: QueryId, whole: bool) {
        let Some(mut open) = state.open.remove(&id) else { return };
        let parts = std::mem::take(&mut open.parts);
        let mut values = Vec::new();
        for part in parts.iter().filter_map(|p| state.leave(*p)) {
            values.extend(part.value.map(|(value, score)| (part.shard, value, score)));
        }
        let class = self.settings.classes.get(usize::from(open.class.0));
        let second = class.map_or(0, |c| c.second_step as usize).min(values.len());
        if second > 0 && !open.second {
            let from: Rc<[ShardId]> = values.iter().map(|v| v.0).collect();
            values.sort_by(|a, b| b.2.total_cmp(&a.2).then(a.0.cmp(&b.0)));
            let best: Vec<_> = values[..second].iter().map(|v| (v.0, 1.0 / second as f64)).collect();
            open.second = true;
            state.enter(id, &mut open, Step::Second { from, whole }, &best);
            state.open.insert(id, open);
            self.wake.notify(1);
            return;
        }
        self.count(|c| if whole { c.whole += 1 } else { c.partial += 1 });
        let values = values.into_iter().map(|(shard, value, _)| (shard, value)).collect();
        // Only a front that has gone away is not there to take it.
        drop(open.done.try_send(Final::Answered { whole, values }));
    }

    fn count(&self, change: impl FnOnce(&mut Counts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }
}

impl<C> State<C> {
    fn full(&self, max_open: usize) -> bool {
        self.open.len() + self.parts.len() >= max_open
    }

    fn id(&mut self) -> u32 {
        self.next = self.next.wrapping_add(1);
        self.next
    }

    fn enter(&mut self, query: QueryId, open: &mut Open<C>, step: Step, parts: &[(ShardId, f64)]) {
        for &(shard, weight) in parts {
            let part = PartId(self.id());
            open.parts.push(part);
            self.parts.insert(
                part,
                Part { query, shard, step: step.clone(), value: None, attempts: 0, committed: None },
            );
            self.events.push(Event::Part { part, number: open.number, shard, weight });
        }
    }

    /// Take a part out. All that is out for it is called off in the same breath. Guards against a part that
    /// waits on a connect, or behind other parts, and would be written after its query's final answer.
    fn leave(&mut self, id: PartId) -> Option<Part> {
        let part = self.parts.remove(&id)?;
        (0..part.attempts).for_each(|n| drop(self.stops.remove(&(id, n))));
        Some(part)
    }

    fn end(&mut self, id: QueryId, outcome: Final) {
        if let Some(open) = self.open.remove(&id) {
            open.parts.iter().for_each(|p| drop(self.leave(*p)));
            drop(open.done.try_send(outcome));
        }
    }
}
