//! The client side of the data nodes: who they are, and which connection a part goes to.
mod connection;
mod exchange;
pub mod frames;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use futures_lite::FutureExt;
use slog::{debug, Logger};

use super::descriptors::Descriptors;
use super::timeout_at;
use super::LogRateLimiter;
use crate::balancer::interface::*;
use crate::config::settings::Deployment;
use crate::coordinator::{AttemptResult, Call, CancellationToken, Step, Transport};
use crate::send_policy;
use connection::{Connection, Item, Out};

/// Connections to one data node at most.
const MOST_CONNECTIONS: usize = 4;
/// For how long a connection may owe answers and bring none before further parts go to another one, and before it
/// is given up in any case.
const QUIET: Duration = Duration::from_millis(150);
const DEAD: Duration = Duration::from_secs(1);
/// How long a data node may take to take a new connection after one broke, to count as living.
const LIVES: Duration = Duration::from_millis(50);
/// How long a data node stays known that is gone. Its restarts are told from its last life for so long; any
/// list says within seconds that it is back.
const FORGET: Duration = Duration::from_secs(30);
/// How long a probe may take where nothing says.
const PROBE_WAIT: Duration = Duration::from_millis(250);

/// What a data node needs of a query.
pub struct RequestContext {
    pub id: String,
    pub statement: Vec<u8>,
    /// Parts that were turned away, and on which connection. At most as many as attempts.
    turned_away: RefCell<Vec<(String, u64)>>,
}

impl RequestContext {
    pub fn new(id: String, statement: Vec<u8>) -> RequestContext {
        RequestContext { id, statement, turned_away: RefCell::default() }
    }

    /// Note that a part was turned away there; `false` if it was so before. Guards parts that must not run twice: an
    /// answer may come doubled, and one that turned an earlier attempt away proves nothing about a later one.
    fn turned_away(&self, id: &str, connection: &Connection) -> bool {
        let at = connection.number;
        let mut noted = self.turned_away.borrow_mut();
        let new = !noted.iter().any(|(other, there)| other == id && *there == at);
        noted.push((id.to_owned(), at));
        new
    }
}

struct DataNode {
    address: SocketAddr,
    phase: EndpointState,
    /// Since when it is gone, if it is.
    gone: Option<Instant>,
    /// Counts its starts, as far as we were told of them.
    life: u64,
    /// When its machine's clock said that it started, in Unix ms, and when that was on ours.
    born: u64,
    started: Option<f64>,
    connections: Vec<Rc<Connection>>,
}

impl DataNode {
    /// Note since when it is gone.
    fn leave(&mut self) {
        let since = self.gone.unwrap_or_else(Instant::now);
        self.gone = (self.phase == EndpointState::Removed).then_some(since);
    }
}

/// A data node as discovery lists it, in this coordinator's terms.
pub struct ListedDataNode {
    pub name: String,
    pub address: SocketAddr,
    pub phase: EndpointState,
    pub born: u64,
}

pub struct DataNodes {
    nodes: RefCell<BTreeMap<ReplicaId, DataNode>>,
    names: RefCell<BTreeMap<String, ReplicaId>>,
    /// The last number given; none is given twice.
    last: Cell<u64>,
    /// Connections that were opened so far: the number of the last one.
    opened: Cell<u64>,
    deployment: Deployment,
    executor: Rc<LocalExecutor<'static>>,
    log: Logger,
    log_limiter: LogRateLimiter,
    descriptors: Rc<Descriptors>,
}

impl DataNodes {
    pub fn new(
        told: Deployment,
        descriptors: Rc<Descriptors>,
        executor: Rc<LocalExecutor<'static>>,
        log: Logger,
    ) -> Rc<Self> {
        let (nodes, names, last, opened, said) = Default::default();
        Rc::new(DataNodes {
            nodes,
            names,
            last,
            opened,
            deployment: told,
            executor,
            log,
            log_limiter: said,
            descriptors,
        })
    }

    /// The number under which a data node is known to the module; the same for as long as it is known.
    pub fn id(&self, name: &str) -> ReplicaId {
        let mut names = self.names.borrow_mut();
        if let Some(id) = names.get(name) {
            return *id;
        }
        self.last.set(self.last.get() + 1);
        names.insert(name.to_owned(), ReplicaId(self.last.get()));
        ReplicaId(self.last.get())
    }

    /// Data nodes that are known, gone ones among them.
    pub fn known(&self) -> usize {
        self.nodes.borrow().len()
    }

    /// Close what carries nothing to data nodes that want nothing, and forget those long gone. Guards a long
    /// run, in which data nodes are replaced for good, against growing.
    pub fn forget(&self, now: Instant) {
        let mut nodes = self.nodes.borrow_mut();
        nodes.retain(|_, node| {
            if node.phase != EndpointState::Ready {
                node.connections.iter().filter(|c| c.idle()).for_each(|c| c.close());
                node.connections.retain(|c| !c.closed.get());
            }
            node.gone.is_none_or(|since| now < since + FORGET) || !node.connections.is_empty()
        });
        self.names.borrow_mut().retain(|_, id| nodes.contains_key(id));
    }

    /// Take over what discovery says of one data node. A drain counts from here on for whatever is queued.
    pub fn list(&self, entry: &ListedDataNode) -> ReplicaId {
        self.list_started(entry, || None).0
    }

    /// The same; `started` says when a start that is told first was, on our own clock. It stays as it was told then.
    pub fn list_started(
        &self,
        entry: &ListedDataNode,
        started: impl FnOnce() -> Option<f64>,
    ) -> (ReplicaId, Option<f64>) {
        let id = self.id(&entry.name);
        let mut nodes = self.nodes.borrow_mut();
        let (address, phase, connections) = (entry.address, entry.phase, Vec::new());
        let new = || DataNode { address, phase, gone: None, life: 0, born: 0, started: None, connections };
        let node = nodes.entry(id).or_insert_with(new);
        let restarted = send_policy::is_another_start(entry.born, node.born);
        // Guards against waiting on connections to a process that is no more: its machine may have
        // vanished without a word, and they stay open and silent.
        if (restarted || entry.address != node.address) && !node.connections.is_empty() {
            node.connections.drain(..).for_each(|c| c.close());
        }
        if restarted {
            node.life += 1;
            node.born = entry.born;
            node.started = started();
        }
        (node.address, node.phase) = (entry.address, entry.phase);
        node.leave();
        (id, node.started)
    }

    /// A whole list names all there are; the others are gone.
    pub fn keep_only(&self, listed: &BTreeSet<ReplicaId>) {
        for (id, node) in self.nodes.borrow_mut().iter_mut() {
            if !listed.contains(id) {
                node.phase = EndpointState::Removed;
                node.leave();
            }
        }
    }

    /// A connection with a free place, up or coming up, else a new one; where none may be opened, the one
    /// that carries least.
    fn connection(self: &Rc<Self>, replica: ReplicaId) -> Option<(Rc<Connection>, u64)> {
        let mut nodes = self.nodes.borrow_mut();
        let node = nodes.get_mut(&replica).filter(|n| n.phase == EndpointState::Ready)?;
        let now = Instant::now();
        node.connections.iter().for_each(|c| c.hush(now, DEAD));
        node.connections.retain(|c| !c.closed.get());
        let order = |c: &&Rc<Connection>| (c.quiet(now, QUIET), c.load(), !c.up.get());
        let least = node.connections.iter().min_by_key(order).cloned();
        let good =
            |c: &Rc<Connection>| !c.quiet(now, QUIET) && c.load() < self.deployment.connections.max_streams;
        let free = least.as_ref().is_some_and(good);
        let life = node.life;
        if free || (least.is_some() && node.connections.len() >= MOST_CONNECTIONS) {
            return least.map(|c| (c, life));
        }
        self.open(&mut nodes, replica).or(least).map(|c| (c, life))
    }

    /// A new connection. Where there is no room for one more, the longest idle one makes way, of whichever data
    /// node. Guards a fleet of more data nodes than there is room for: those met last would get no part at all.
    fn open(
        self: &Rc<Self>,
        nodes: &mut BTreeMap<ReplicaId, DataNode>,
        replica: ReplicaId,
    ) -> Option<Rc<Connection>> {
        if !self.descriptors.take() {
            let open = nodes.values().flat_map(|n| &n.connections).filter(|c| c.idle() && !c.closed.get());
            let longest = open.min_by_key(|c| c.used.get())?;
            longest.close();
            // Its place goes to the new one.
            longest.counted.set(false);
        }
        let node = nodes.get_mut(&replica)?;
        self.opened.set(self.opened.get() + 1);
        let connection = Rc::new(Connection::new(self.opened.get()));
        node.connections.push(connection.clone());
        let life = self.clone().serve(replica, node.address, connection.clone());
        self.executor.spawn(life).detach();
        Some(connection)
    }

    /// Whether a data node whose connection broke takes a new one, which the next parts need anyway. Guards
    /// sound data nodes: they may close a connection right behind an answer, just when more was written to it.
    /// One that leaves takes none and is not asked; what becomes of it is known. Where our own machine has no
    /// connection to give, nothing is known against it.
    async fn lives(self: &Rc<Self>, replica: ReplicaId) -> bool {
        let latest = Instant::now() + LIVES;
        let fresh = {
            let mut nodes = self.nodes.borrow_mut();
            let Some(node) = nodes.get_mut(&replica).filter(|n| n.phase == EndpointState::Ready) else {
                return true;
            };
            node.connections.retain(|c| !c.closed.get());
            self.open(&mut nodes, replica)
        };
        let Some(fresh) = fresh else { return true };
        timeout_at(latest, fresh.wait(|| fresh.up.get() || fresh.closed.get())).await;
        fresh.up.get() || fresh.local_failure.get()
    }
}

impl Transport for DataNodes {
    type RequestContext = RequestContext;

    /// The life of one attempt: a place on a connection, the write, and the one thing that ends it.
    async fn call(self: Rc<Self>, call: Call<Self>, stop: CancellationToken) -> AttemptResult {
        let Some((connection, life)) = self.connection(call.replica) else {
            return Outcome::NeverSent.into();
        };
        let second = if call.step == Step::First { "" } else { ".b" };
        let item = Rc::new(Item {
            id: format!("{}.{}{second}", call.context.id, call.shard.0),
            shard: call.shard,
            extra: listed(&call.step),
            carried: call.context,
            deadline: call.deadline,
            life,
            stop: stop.clone(),
            end: async_channel::bounded(1),
            permit: Cell::new(None),
        });
        connection.push(Out::Part(item.clone()));
        let ended = async { item.end.1.recv().await.unwrap_or(Outcome::Reset.into()) };
        let stopped = async {
            stop.cancelled().await;
            Outcome::Cancelled.into()
        };
        let ended = timeout_at(call.deadline, ended.or(stopped)).await;
        let ended = ended.unwrap_or(Outcome::TimedOut.into());
        if matches!(ended.outcome, Outcome::Cancelled | Outcome::TimedOut) {
            connection.give_up(&item, self.deployment.settings.cancellation);
        }
        debug!(self.log, "attempt ended"; "id" => &item.id, "replica" => call.replica.0,
            "outcome" => ?ended.outcome, "connection" => connection.number, "written" => item.permit.get().is_some());
        ended
    }

    async fn probe(self: Rc<Self>, replica: ReplicaId) -> (bool, Option<LoadReport>) {
        let latest = Instant::now() + PROBE_WAIT;
        let Some((connection, _)) = self.connection(replica) else { return (false, None) };
        let letter =
            if self.deployment.settings.load_reporting == LoadReporting::OnHealthCheck { b'l' } else { b'p' };
        let (send, done) = async_channel::bounded(1);
        connection.push(Out::Probe(letter, send));
        timeout_at(latest, done.recv()).await.and_then(Result::ok).unwrap_or((false, None))
    }

    fn close_idle(&self, replica: ReplicaId) {
        if let Some(node) = self.nodes.borrow().get(&replica) {
            node.connections.iter().filter(|c| c.idle()).for_each(|c| c.close());
        }
    }
}

/// What the list of a part holds beside its time.
fn listed(step: &Step) -> String {
    match step {
        Step::First => String::new(),
        Step::Second { from, complete } => {
            let from: Vec<String> = from.iter().map(|s| s.0.to_string()).collect();
            format!(",from={},whole={}", from.join("+"), u8::from(*complete))
        }
    }
}
