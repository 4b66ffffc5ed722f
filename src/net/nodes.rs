//! The client side of the data nodes: connections that carry many parts at once.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use event_listener::Event as Wake;
use futures_lite::{AsyncWriteExt, FutureExt};
use slog::{debug, warn, Logger};

use super::buffer::Buffer;
use super::by;
use super::frames::{self, Frame};
use super::Ration;
use crate::core::{Call, Ended, Step, Stop, Transport};
use crate::interface::*;
use crate::settings::{self, Deployment};

/// Connections to one data node at most, and how long before a data node would close an idle connection we
/// do: a request that crosses its close would end as a reset.
const MOST_CONNECTIONS: usize = 4;
const IDLE_SHARE: f64 = 0.8;
/// How long a frame may take to come in from its first byte on.
const FRAME: Duration = Duration::from_millis(250);
/// For how long a connection may owe answers and bring none before further parts go to another one; before it is
/// given up where another one to the same data node answers; and before it is given up in any case.
const QUIET: Duration = Duration::from_millis(150);
const SILENT: Duration = Duration::from_millis(400);
const DEAD: Duration = Duration::from_secs(1);
/// How long a data node may take to take a new connection after one broke, to count as living.
const LIVES: Duration = Duration::from_millis(50);
/// For how long behind its time a given-up part may still hold its place.
const LATE: Duration = Duration::from_secs(1);
/// How long a frame may be on its way to a data node in another room.
const ON_ITS_WAY: Duration = Duration::from_millis(2);
/// Time between looks for a free place where parts wait for one: those of given-up parts are freed by time.
const LOOK: Duration = Duration::from_millis(20);
/// Given up parts that are remembered for a connection, so that their answers are known when they come late.
const MOST_GIVEN_UP: usize = 64;
/// How long a data node stays known that is gone. Its restarts are told from its last life for so long; any
/// list says within seconds that it is back.
const FORGET: Duration = Duration::from_secs(30);
/// A connection's room for frames is kept up to this.
const MOST_KEPT: usize = 16 * 1024;
/// How long a probe may take where nothing says.
const PROBE_WAIT: Duration = Duration::from_millis(250);

/// What a data node needs of a query.
pub struct Carried {
    pub id: String,
    pub statement: Vec<u8>,
    /// When the last frame of it was written.
    pub written: Cell<Option<Instant>>,
}

impl Carried {
    pub fn new(id: String, statement: Vec<u8>) -> Carried {
        Carried { id, statement, written: Cell::new(None) }
    }

    /// From when on its final answer may go out: a frame that was written in the same breath comes to its data node
    /// up to a few milliseconds later, and must not be overtaken by the answer. Never up to the deadline.
    pub fn settled(&self, now: Instant, deadline: Instant) -> Instant {
        let settled = self.written.get().map_or(now, |at| at + ON_ITS_WAY);
        settled.min(deadline.checked_sub(ON_ITS_WAY).unwrap_or(now)).max(now)
    }
}

/// Where the answer to a probe goes: whether the data node answered, and its report.
type Probe = Sender<(bool, Option<Report>)>;
type Ending = (Sender<Ended>, Receiver<Ended>);

/// A part on a connection.
struct Item {
    id: String,
    shard: ShardId,
    /// What its list holds beside its time.
    extra: String,
    carried: Rc<Carried>,
    deadline: Instant,
    /// Which life of the data node it was meant for.
    life: u64,
    stop: Stop,
    end: Ending,
}

enum Out {
    Part(Rc<Item>),
    GiveUp(String),
    Probe(u8, Probe),
}

struct Connection {
    queue: RefCell<VecDeque<Out>>,
    /// Written and not answered, oldest first.
    waiting: RefCell<Vec<Rc<Item>>>,
    /// Written, then given up: an answer may still come.
    given_up: RefCell<VecDeque<Rc<Item>>>,
    probes: RefCell<VecDeque<Probe>>,
    wake: Wake,
    up: Cell<bool>,
    closed: Cell<bool>,
    /// Since when it owes an answer and has brought none.
    owes: Cell<Option<Instant>>,
    /// Closed for that: its data node may be sound.
    silent: Cell<bool>,
    used: Cell<Instant>,
}

impl Connection {
    /// Parts that hold one of its places or wait for one.
    fn load(&self) -> usize {
        let queue = self.queue.borrow();
        let queued = queue.iter().filter(|o| matches!(o, Out::Part(_))).count();
        queued + self.carried(Instant::now())
    }

    /// Parts that hold one of its places. Given-up ones do too, until they are answered or well out of time: what
    /// runs there goes on, and a slow data node is late with it.
    fn carried(&self, now: Instant) -> usize {
        let given_up = self.given_up.borrow().iter().filter(|item| item.deadline + LATE > now).count();
        self.waiting.borrow().len() + given_up
    }

    /// Where in the queue the next one is that may be written: no part without a free place. Guards against parts
    /// that would wait unread at the data node, out of our reach, and be read behind their query's final answer.
    fn next(&self, streams: usize) -> Option<usize> {
        let queue = self.queue.borrow();
        let full = self.carried(Instant::now()) >= streams;
        queue.iter().position(|out| !full || !matches!(out, Out::Part(_)))
    }

    fn idle(&self) -> bool {
        self.up.get() && self.queue.borrow().is_empty() && self.waiting.borrow().is_empty()
    }

    fn quiet(&self, now: Instant, span: Duration) -> bool {
        self.owes.get().is_some_and(|since| now >= since + span)
    }

    /// Give it up if it has been silent for so long. Guards against connections that stay open and carry
    /// nothing any more, which no reset tells: whatever is written there is lost until its time is up.
    fn hush(&self, now: Instant, span: Duration) {
        if self.quiet(now, span) {
            self.silent.set(true);
            self.close();
        }
    }

    fn close(&self) {
        self.closed.set(true);
        self.wake.notify(usize::MAX);
    }

    fn push(&self, out: Out) {
        self.queue.borrow_mut().push_back(out);
        self.wake.notify(usize::MAX);
    }

    /// An answer could not be used, of the part of that id if one could be read: an error of that part. With
    /// it goes the connection, and so do the others out on it. Guards against holding a spoilt answer, which any
    /// data node may send, for the death of its process, and against waiting for the others.
    fn spoil(&self, id: Option<&str>) {
        let mut waiting = self.waiting.borrow_mut();
        let spoilt = id.and_then(|id| waiting.iter().position(|item| item.id == id)).unwrap_or(0);
        let mut lost = waiting.split_off(0);
        ended(&lost.drain(spoilt..(spoilt + 1).min(lost.len())).collect::<Vec<_>>(), Outcome::Error);
        ended(&lost, Outcome::Dropped);
    }

    /// End it. Gives back the parts that were not written whole, which never ran, and those that were, which
    /// may have.
    fn end(&self, unwritten: Vec<Rc<Item>>) -> [Vec<Rc<Item>>; 2] {
        self.closed.set(true);
        self.probes.borrow_mut().clear();
        let queued = self.queue.take().into_iter().filter_map(|out| match out {
            Out::Part(item) => Some(item),
            _ => None,
        });
        [unwritten.into_iter().chain(queued).collect(), self.waiting.take()]
    }
}

/// Tell how attempts ended; who called them off hears nothing.
fn ended(items: &[Rc<Item>], outcome: Outcome) {
    items.iter().for_each(|item| drop(item.end.0.try_send(outcome.into())));
}

struct Node {
    address: SocketAddr,
    phase: Phase,
    /// Since when it is gone, if it is.
    gone: Option<Instant>,
    /// Counts its starts, as far as we were told of them.
    life: u64,
    born: u64,
    connections: Vec<Rc<Connection>>,
}

impl Node {
    /// Note since when it is gone.
    fn leave(&mut self) {
        let since = self.gone.unwrap_or_else(Instant::now);
        self.gone = (self.phase == Phase::Gone).then_some(since);
    }
}

/// A data node as discovery lists it, in this co-ordinator's terms.
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub phase: Phase,
    pub born: u64,
}

pub struct Nodes {
    nodes: RefCell<BTreeMap<ReplicaId, Node>>,
    names: RefCell<BTreeMap<String, ReplicaId>>,
    /// The last number given; none is given twice.
    last: Cell<u64>,
    told: Deployment,
    executor: Rc<LocalExecutor<'static>>,
    log: Logger,
    said: Ration,
    /// Descriptors that connections to data nodes may still take.
    room: Cell<usize>,
}

impl Nodes {
    pub fn new(told: Deployment, room: usize, executor: Rc<LocalExecutor<'static>>, log: Logger) -> Rc<Self> {
        let (nodes, names, last, said) = Default::default();
        Rc::new(Nodes { nodes, names, last, told, executor, log, said, room: Cell::new(room) })
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
            if node.phase != Phase::Ready {
                node.connections.iter().filter(|c| c.idle()).for_each(|c| c.close());
                node.connections.retain(|c| !c.closed.get());
            }
            node.gone.is_none_or(|since| now < since + FORGET) || !node.connections.is_empty()
        });
        self.names.borrow_mut().retain(|_, id| nodes.contains_key(id));
    }

    /// Take over what discovery says of one data node. A drain counts from here on for whatever is queued.
    pub fn list(&self, entry: &Entry) -> ReplicaId {
        let id = self.id(&entry.name);
        let mut nodes = self.nodes.borrow_mut();
        let (address, phase, connections) = (entry.address, entry.phase, Vec::new());
        let new = || Node { address, phase, gone: None, life: 0, born: 0, connections };
        let node = nodes.entry(id).or_insert_with(new);
        let restarted = entry.born > node.born && node.born + entry.born > 0;
        // Guards against waiting on connections to a process that is no more: its machine may have
        // vanished without a word, and they stay open and silent.
        if (restarted || entry.address != node.address) && !node.connections.is_empty() {
            node.connections.drain(..).for_each(|c| c.close());
        }
        node.life += u64::from(restarted);
        node.born = node.born.max(entry.born);
        (node.address, node.phase) = (entry.address, entry.phase);
        node.leave();
        id
    }

    /// A whole list names all there are; the others are gone.
    pub fn keep_only(&self, listed: &[ReplicaId]) {
        for (id, node) in self.nodes.borrow_mut().iter_mut() {
            if !listed.contains(id) {
                node.phase = Phase::Gone;
                node.leave();
            }
        }
    }

    /// A connection with a free place, up or coming up, else a new one; where none may be opened, the one
    /// that carries least.
    fn connection(self: &Rc<Self>, replica: ReplicaId) -> Option<(Rc<Connection>, u64)> {
        let mut nodes = self.nodes.borrow_mut();
        let node = nodes.get_mut(&replica).filter(|n| n.phase == Phase::Ready)?;
        let now = Instant::now();
        node.connections.iter().for_each(|c| c.hush(now, DEAD));
        node.connections.retain(|c| !c.closed.get());
        let order = |c: &&Rc<Connection>| (c.quiet(now, QUIET), c.load(), !c.up.get());
        let least = node.connections.iter().min_by_key(order).cloned();
        let good = |c: &Rc<Connection>| !c.quiet(now, QUIET) && c.load() < self.told.sockets.streams;
        let free = least.as_ref().is_some_and(good);
        if free || (least.is_some() && (node.connections.len() >= MOST_CONNECTIONS || self.room.get() == 0)) {
            return least.map(|c| (c, node.life));
        }
        let life = node.life;
        Some((self.open(replica, node)?, life))
    }

    /// A new connection, if there is room for one more.
    fn open(self: &Rc<Self>, replica: ReplicaId, node: &mut Node) -> Option<Rc<Connection>> {
        if self.room.get() == 0 {
            return None;
        }
        let connection = Rc::new(Connection {
            queue: RefCell::default(),
            waiting: RefCell::default(),
            given_up: RefCell::default(),
            probes: RefCell::default(),
            wake: Wake::new(),
            up: Cell::new(false),
            closed: Cell::new(false),
            owes: Cell::new(None),
            silent: Cell::new(false),
            used: Cell::new(Instant::now()),
        });
        node.connections.push(connection.clone());
        self.room.set(self.room.get() - 1);
        let life = self.clone().serve(replica, node.address, connection.clone());
        self.executor.spawn(life).detach();
        Some(connection)
    }

    /// Whether a data node whose connection broke takes a new one, which the next parts need anyway. Guards
    /// sound data nodes: they may close a connection right behind an answer, just when more was written to it.
    /// One that leaves takes none and is not asked; what becomes of it is known.
    async fn lives(self: &Rc<Self>, replica: ReplicaId) -> bool {
        let latest = Instant::now() + LIVES;
        let fresh = {
            let mut nodes = self.nodes.borrow_mut();
            let Some(node) = nodes.get_mut(&replica).filter(|n| n.phase == Phase::Ready) else { return true };
            node.connections.retain(|c| !c.closed.get());
            self.open(replica, node)
        };
        let Some(fresh) = fresh else { return false };
        by(latest, fresh.wait(|| fresh.up.get() || fresh.closed.get())).await;
        fresh.up.get()
    }

    /// The life of one connection: come up in time, then write what is queued and read what comes back.
    async fn serve(self: Rc<Self>, replica: ReplicaId, address: SocketAddr, connection: Rc<Connection>) {
        let latest = Instant::now() + self.told.sockets.connect;
        let closed = async {
            connection.wait(|| connection.closed.get()).await;
            None
        };
        match by(latest, Async::<TcpStream>::connect(address)).or(closed).await {
            Some(Ok(stream)) => {
                let nodelay = stream.get_ref().set_nodelay(true);
                debug!(self.log, "connection up"; "replica" => replica.0, "nodelay" => nodelay.is_ok());
                connection.up.set(true);
                connection.used.set(Instant::now());
                connection.wake.notify(usize::MAX);
                let (mut reader, mut writer) = (&stream, &stream);
                let read = self.read(replica, &connection, &mut reader);
                let write = self.write(replica, &connection, &mut writer);
                let closed = async {
                    connection.wait(|| connection.closed.get()).await;
                    Vec::new()
                };
                let unwritten = closed.or(write).or(read).await;
                // We closed it ourselves where its process is known to be no more.
                let (known, silent) = (connection.closed.get(), connection.silent.get());
                let [unsent, lost] = connection.end(unwritten);
                drop(stream);
                self.room.set(self.room.get() + 1);
                if !unsent.is_empty() || !lost.is_empty() {
                    let lives = silent || (!known && self.lives(replica).await);
                    ended(&unsent, if lives { Outcome::NotSent } else { Outcome::NoConnection });
                    ended(&lost, if lives { Outcome::Dropped } else { Outcome::Reset });
                }
                return;
            }
            Some(Err(e)) => debug!(self.log, "no connection"; "replica" => replica.0, "error" => %e),
            None => {}
        }
        let [unsent, _] = connection.end(Vec::new());
        ended(&unsent, Outcome::NoConnection);
        self.room.set(self.room.get() + 1);
    }

    /// Write what is queued. Ends with the parts whose frame could not be written whole.
    async fn write(
        &self,
        replica: ReplicaId,
        connection: &Connection,
        stream: &mut &Async<TcpStream>,
    ) -> Vec<Rc<Item>> {
        let idle = self.told.sockets.idle.mul_f64(IDLE_SHARE);
        let mut bytes = Vec::new();
        loop {
            let streams = self.told.sockets.streams;
            let crowded = !connection.queue.borrow().is_empty();
            let latest = if crowded { Instant::now() + LOOK } else { connection.used.get() + idle };
            let some = by(latest, connection.wait(|| connection.next(streams).is_some()));
            if some.await.is_none() {
                let unused = connection.used.get() + idle <= Instant::now();
                if unused && connection.idle() {
                    return Vec::new();
                }
                // Silent, but it still carries something.
                if unused {
                    connection.used.set(Instant::now());
                }
                continue;
            }
            bytes.clear();
            bytes.shrink_to(MOST_KEPT);
            let (parts, probe) = self.next_frame(replica, connection, &mut bytes);
            connection.used.set(Instant::now());
            if let Some(probe) = probe {
                connection.probes.borrow_mut().push_back(probe);
            }
            // The parts wait from their first byte on, so that none is left out of what the connection holds;
            // until the last byte is written they have not run.
            connection.waiting.borrow_mut().extend(parts.iter().cloned());
            parts.iter().for_each(|item| item.carried.written.set(Some(connection.used.get())));
            if !parts.is_empty() && connection.owes.get().is_none() {
                connection.owes.set(Some(Instant::now()));
            }
            if stream.write_all(&bytes).await.is_err() {
                let unwritten = |item: &Rc<Item>| parts.iter().any(|p| Rc::ptr_eq(p, item));
                connection.waiting.borrow_mut().retain(|item| !unwritten(item));
                return parts;
            }
        }
    }

    /// The next frame. The place of the last look at whom it goes to and whether it is still wanted: guards
    /// against a send that was queued, or waited on a connect, when its data node began to drain, went away or
    /// began a new life, and against one whose part is over, called off, or out of time.
    fn next_frame(
        &self,
        replica: ReplicaId,
        connection: &Connection,
        bytes: &mut Vec<u8>,
    ) -> (Vec<Rc<Item>>, Option<Probe>) {
        let nodes = self.nodes.borrow();
        let node = nodes.get(&replica).filter(|n| n.phase == Phase::Ready);
        let mut queue = connection.queue.borrow_mut();
        let (mut parts, now) = (Vec::new(), Instant::now());
        let per_call = self.told.settings.per_call.max(1) as usize;
        let at = frames::open(bytes, b'q');
        let streams = self.told.sockets.streams;
        loop {
            // The frame's own parts take places too.
            let full = connection.carried(now) + parts.len() >= streams;
            let next = queue.iter().position(|out| !full || !matches!(out, Out::Part(_)));
            // What has been put together goes out before anything that is no part of it.
            let part = next.is_some_and(|n| matches!(queue[n], Out::Part(_)));
            if !parts.is_empty() && !part {
                frames::seal(bytes, at);
                return (parts, None);
            }
            let Some(out) = next.and_then(|n| queue.remove(n)) else { break };
            match out {
                // Its attempt has ended, or is about to be told so.
                Out::Part(item) if item.stop.called_off() || item.deadline <= now => {}
                Out::Part(item) if node.is_none_or(|n| n.life != item.life) => {
                    drop(item.end.0.try_send(Outcome::NotSent.into()));
                }
                Out::Part(item) => {
                    let left = item.deadline.saturating_duration_since(now).as_millis();
                    let Item { id, shard, extra, carried, .. } = &*item;
                    let head = format!("{id} {} d={left}{extra} {}\n", shard.0, carried.statement.len());
                    bytes.extend_from_slice(head.as_bytes());
                    bytes.extend_from_slice(&item.carried.statement);
                    parts.push(item);
                    if parts.len() == per_call {
                        frames::seal(bytes, at);
                        return (parts, None);
                    }
                }
                Out::GiveUp(id) => {
                    bytes.truncate(at);
                    let at = frames::open(bytes, b'c');
                    bytes.extend_from_slice(id.as_bytes());
                    frames::seal(bytes, at);
                    return (parts, None);
                }
                Out::Probe(letter, done) if node.is_some() => {
                    bytes.truncate(at);
                    let at = frames::open(bytes, letter);
                    frames::seal(bytes, at);
                    return (parts, Some(done));
                }
                Out::Probe(..) => {}
            }
        }
        bytes.clear();
        (parts, None)
    }

    /// Read answers until the connection ends or says what we cannot use.
    async fn read(
        &self,
        replica: ReplicaId,
        connection: &Connection,
        stream: &mut &Async<TcpStream>,
    ) -> Vec<Rc<Item>> {
        let mut buffer = Buffer::default();
        let mut begun = Instant::now();
        loop {
            if buffer.unread().is_empty() {
                match buffer.fill(stream).await {
                    Ok(n) if n > 0 => begun = Instant::now(),
                    _ => return Vec::new(),
                }
            }
            let used = match frames::parse(buffer.unread()) {
                Ok(Some((Frame::Error { words }, _))) => {
                    if let Some(spared) = self.said.line() {
                        warn!(self.log, "data node could not use a frame"; "words" => words, "spared" => spared);
                    }
                    return Vec::new();
                }
                Ok(Some((frame, length))) => {
                    if !self.answered(replica, connection, frame) {
                        self.unusable(connection, "an answer that nobody waits for", &[]);
                        return Vec::new();
                    }
                    length
                }
                // Guards against a length that promises more than ever comes.
                Ok(None) => match by(begun + FRAME, buffer.fill(stream)).await {
                    Some(Ok(n)) if n > 0 => continue,
                    Some(_) => return Vec::new(),
                    None => {
                        self.unusable(connection, "a frame that does not end", buffer.unread());
                        return Vec::new();
                    }
                },
                Err(e) => {
                    self.unusable(connection, e, buffer.unread());
                    return Vec::new();
                }
            };
            begun = Instant::now();
            buffer.consume(used);
        }
    }

    /// What came cannot be used, nor can the connection from here on. Behind a good answer, with nothing out,
    /// that costs no more than the connection.
    fn unusable(&self, connection: &Connection, error: impl std::fmt::Display, bytes: &[u8]) {
        if let Some(spared) = self.said.line() {
            warn!(self.log, "unusable frame from a data node"; "error" => %error, "spared" => spared,
                "out" => connection.waiting.borrow().len());
        }
        connection.spoil(frames::named(bytes));
    }

    /// Hand an answer to who waits for it. An answer to what was given up finds nobody, as is usual; any other
    /// that nobody waits for is spoilt, or one too many: `false`.
    fn answered(&self, replica: ReplicaId, connection: &Connection, frame: Frame<'_>) -> bool {
        let now = Instant::now();
        connection.used.set(now);
        // This one answers: one beside it that does not is at fault itself.
        if let Some(node) = self.nodes.borrow().get(&replica).filter(|n| n.connections.len() > 1) {
            let others = node.connections.iter().filter(|c| !std::ptr::eq(&***c, connection));
            others.for_each(|c| c.hush(now, SILENT));
        }
        let owing = |connection: &Connection| {
            let some = !connection.waiting.borrow().is_empty();
            connection.owes.set(some.then_some(now));
            // A place is free: for a part that waits for one.
            if !connection.queue.borrow().is_empty() {
                connection.wake.notify(usize::MAX);
            }
        };
        match frame {
            Frame::Answer { id, end, score, report, value } => {
                let mut waiting = connection.waiting.borrow_mut();
                let Some(n) = waiting.iter().position(|item| item.id == id) else {
                    let mut given_up = connection.given_up.borrow_mut();
                    let Some(n) = given_up.iter().position(|item| item.id == id) else { return false };
                    given_up.remove(n);
                    drop(waiting);
                    owing(connection);
                    return true;
                };
                let item = waiting.remove(n);
                drop(waiting);
                owing(connection);
                let report = self.report(report);
                let (outcome, served) = match end {
                    // Copied: the value outlives the buffer, until its query is answered.
                    frames::End::Served => (Outcome::Served, Some((value.into(), score))),
                    frames::End::Broke => (Outcome::Error, None),
                    frames::End::Skipped => (Outcome::TurnedAway, None),
                };
                drop(item.end.0.try_send(Ended { outcome, served, report }));
            }
            Frame::Probe { served } => {
                if let Some(done) = connection.probes.borrow_mut().pop_front() {
                    let _ = done.try_send((served, None));
                }
            }
            Frame::Load { report } => {
                if let Some(done) = connection.probes.borrow_mut().pop_front() {
                    let _ = done.try_send((report.is_some(), report.and_then(|r| self.report(r))));
                }
            }
            Frame::Error { .. } => {}
        }
        true
    }

    fn report(&self, report: &str) -> Option<Report> {
        let values = self.told.report_names.iter().map(|name| frames::reported(report, name));
        (report != "-").then(|| settings::report(&self.told.reports, values))
    }
}

impl Connection {
    async fn wait(&self, until: impl Fn() -> bool) {
        while !until() {
            let listener = self.wake.listen();
            if !until() {
                listener.await;
            }
        }
    }
}

impl Transport for Nodes {
    type Carried = Carried;

    /// The life of one attempt: a place on a connection, the write, and the one thing that ends it.
    async fn call(self: Rc<Self>, call: Call<Self>, stop: Stop) -> Ended {
        let Some((connection, life)) = self.connection(call.replica) else {
            return Outcome::NotSent.into();
        };
        let second = if call.step == Step::First { "" } else { ".b" };
        let item = Rc::new(Item {
            id: format!("{}.{}{second}", call.carried.id, call.shard.0),
            shard: call.shard,
            extra: listed(&call.step),
            carried: call.carried,
            deadline: call.deadline,
            life,
            stop: stop.clone(),
            end: async_channel::bounded(1),
        });
        connection.push(Out::Part(item.clone()));
        let ended = async { item.end.1.recv().await.unwrap_or(Outcome::Reset.into()) };
        let stopped = async {
            stop.wait().await;
            Outcome::Cancelled.into()
        };
        let ended = by(call.deadline, ended.or(stopped)).await;
        let ended = ended.unwrap_or(Outcome::TimedOut.into());
        if matches!(ended.outcome, Outcome::Cancelled | Outcome::TimedOut) {
            self.give_up(&connection, &item);
        }
        ended
    }

    async fn probe(self: Rc<Self>, replica: ReplicaId) -> (bool, Option<Report>) {
        let latest = Instant::now() + PROBE_WAIT;
        let Some((connection, _)) = self.connection(replica) else { return (false, None) };
        let letter = if self.told.settings.reports == Reports::OnProbe { b'l' } else { b'p' };
        let (send, done) = async_channel::bounded(1);
        connection.push(Out::Probe(letter, send));
        by(latest, done.recv()).await.and_then(Result::ok).unwrap_or((false, None))
    }

    fn close_idle(&self, replica: ReplicaId) {
        if let Some(node) = self.nodes.borrow().get(&replica) {
            node.connections.iter().filter(|c| c.idle()).for_each(|c| c.close());
        }
    }
}

impl Nodes {
    /// Nobody waits for this attempt any more: unwritten it is not sent, else the data node is told.
    fn give_up(&self, connection: &Connection, item: &Rc<Item>) {
        let ours = |out: &Out| matches!(out, Out::Part(other) if Rc::ptr_eq(other, item));
        connection.queue.borrow_mut().retain(|out| !ours(out));
        let mut waiting = connection.waiting.borrow_mut();
        let Some(n) = waiting.iter().position(|other| Rc::ptr_eq(other, item)) else { return };
        let item = waiting.remove(n);
        let mut given_up = connection.given_up.borrow_mut();
        if given_up.len() == MOST_GIVEN_UP {
            given_up.pop_front();
        }
        given_up.push_back(item.clone());
        if self.told.settings.cancel && !connection.closed.get() {
            connection.push(Out::GiveUp(item.id.clone()));
        }
    }
}

/// What the list of a part holds beside its time.
fn listed(step: &Step) -> String {
    match step {
        Step::First => String::new(),
        Step::Second { from, whole } => {
            let from: Vec<String> = from.iter().map(|s| s.0.to_string()).collect();
            format!(",from={},whole={}", from.join("+"), u8::from(*whole))
        }
    }
}
