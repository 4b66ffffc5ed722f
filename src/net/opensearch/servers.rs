//! The client side of the search servers: one request a connection at a time; a call given up closes its
//! connection, which is how the public specification cancels a search.
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::{AsyncWriteExt, FutureExt};
use slog::{debug, Logger};

use super::merge::{self, Failure};
use super::query::Search;
use crate::balancer::interface::*;
use crate::config::settings::ConnectionSettings;
use crate::coordinator::{AttemptResult, Call, CancellationToken, Clock, ScoredValue, Step, Transport};
use crate::net::buffer::Buffer;
use crate::net::dns_sd::watcher::{Book, Change, Follows};
use crate::net::dns_sd::zone_file::Server;
use crate::net::http::{self, HttpError, Kind, Message};
use crate::net::invariants;
use crate::net::socket::{self, ConnectError, Stream};
use crate::net::timeout_at;
use crate::send_policy::{Permit, SendConditions};

const PROBE_WAIT: Duration = Duration::from_millis(250);
/// Idle connections are closed this much before a server would.
const IDLE_SHARE: f64 = 0.8;
/// The largest answer of one shard.
const MOST_ANSWER: usize = 1 << 20;

/// What became of a search's shards, for the answer to be honest about.
#[derive(Default)]
pub struct Notes {
    pub begun: bool,
    pub failures: BTreeMap<ShardId, Failure>,
    /// Shards that were in when the first of two steps was answered.
    pub first: Option<Rc<[ShardId]>>,
}

pub struct RequestContext {
    pub search: Rc<Search>,
    pub opaque: String,
    /// Whether the class has two steps: the first only ranks.
    pub ranked: bool,
    pub notes: Rc<RefCell<Notes>>,
}

/// Connections that carry nothing, and since when.
type Idle = Vec<(Stream, Instant)>;

pub struct Servers {
    book: RefCell<Book>,
    idle: RefCell<BTreeMap<ReplicaId, Idle>>,
    sockets: ConnectionSettings,
    room: Cell<usize>,
    log: Logger,
}

impl Follows for Servers {
    fn list(&self, servers: &[Server], zones: &[String], clock: &Clock) -> Vec<Endpoint> {
        let (listed, changes) = self.book.borrow_mut().list(servers, zones, clock);
        for (replica, change) in changes {
            if !matches!(change, Change::Listed(_)) {
                self.close(replica);
            }
        }
        listed
    }
}

impl Servers {
    pub fn new(sockets: ConnectionSettings, room: usize, log: Logger) -> Rc<Self> {
        let (book, idle) = Default::default();
        Rc::new(Servers { book, idle, sockets, room: Cell::new(room), log })
    }

    fn close(&self, replica: ReplicaId) {
        let idle = self.idle.borrow_mut().remove(&replica).unwrap_or_default();
        self.room.set(self.room.get() + idle.len());
    }

    /// An idle connection that is still open, else a new one.
    /// A connection to a server, or why an attempt there has ended: what we lack ourselves is not held against it.
    async fn connection(self: &Rc<Self>, replica: ReplicaId, address: SocketAddr) -> Result<Place, Outcome> {
        let oldest = Instant::now().checked_sub(self.sockets.idle_timeout.mul_f64(IDLE_SHARE));
        while let Some((stream, used)) = self.take_idle(replica) {
            self.room.set(self.room.get() + 1);
            if oldest.is_none_or(|oldest| used > oldest) && stream.is_idle() {
                return Ok(Place::new(self, stream));
            }
        }
        if self.room.get() == 0 {
            return Err(Outcome::NeverSent);
        }
        let latest = Instant::now() + self.sockets.connect_timeout;
        // Counted before it is up: many may be coming up at once.
        let mut place = Place::reserve(self);
        let stream = socket::connect(address, latest).await.map_err(|e| match e {
            ConnectError::Local(_) => Outcome::NeverSent,
            ConnectError::Refused(_) | ConnectError::Late => Outcome::ConnectFailed,
        })?;
        stream.set_nodelay();
        place.stream = Some(stream);
        Ok(place)
    }

    fn take_idle(&self, replica: ReplicaId) -> Option<(Stream, Instant)> {
        self.idle.borrow_mut().get_mut(&replica)?.pop()
    }

    fn ready(&self, replica: ReplicaId) -> Option<(SocketAddr, u64)> {
        self.book.borrow().ready(replica)
    }

    /// One request on one connection, from its place to the last byte of its answer.
    async fn ask(self: &Rc<Self>, call: &Call<Servers>, stop: &CancellationToken) -> AttemptResult {
        let Some((address, life)) = self.ready(call.replica) else { return Outcome::NeverSent.into() };
        let mut place = match self.connection(call.replica, address).await {
            Ok(place) => place,
            Err(outcome) => return self.failed(call, outcome, (503, "connect_exception", "no connection")),
        };
        // The last look before the write: guards against a send that waited on a connect while the records
        // changed, or another coordinator went on with its query.
        let now = Instant::now();
        let conditions = SendConditions {
            now,
            deadline: call.deadline,
            transit: Duration::ZERO,
            called_off: stop.is_cancelled(),
            replica_ready: self.ready(call.replica) == Some((address, life)),
            window_over: stop.is_past_retry_window(now),
        };
        let Ok(permit) = conditions.permit().inspect_err(|denied| invariants::denied(*denied)) else {
            return Outcome::NeverSent.into();
        };
        let request = request(call, address, permit);
        let Some(stream) = place.stream.as_mut() else { return Outcome::ConnectFailed.into() };
        if stream.write_all(&request).await.is_err() {
            return self.failed(call, Outcome::ConnectFailed, (503, "connect_exception", "connection broke"));
        }
        call.context.notes.borrow_mut().begun = true;
        let mut buffer = Buffer::default();
        match http::read(stream, &mut buffer, Kind::Answer, MOST_ANSWER).await {
            Ok(message) => {
                let ended = self.classify(call, &message, &buffer);
                if message.keep_alive && buffer.unread().len() == message.length {
                    self.keep(call.replica, life, place);
                }
                ended
            }
            Err(HttpError::Ended | HttpError::Io(_)) => {
                self.failed(call, Outcome::Reset, (503, "node_disconnected_exception", "connection broke"))
            }
            Err(e) => self.failed(call, Outcome::Error, (500, "malformed_answer", &e.to_string())),
        }
    }

    fn classify(&self, call: &Call<Servers>, message: &Message, buffer: &Buffer) -> AttemptResult {
        let body = message.body(buffer);
        if message.status != 200 {
            let error: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            let text = |key: &str| error["error"][key].as_str().unwrap_or("unknown").to_owned();
            // Turned away before it began; anything else may have run.
            let outcome = if message.status == 429 { Outcome::Rejected } else { Outcome::Error };
            return self.failed(call, outcome, (message.status, &text("type"), &text("reason")));
        }
        let search = &call.context.search;
        let ranking = call.context.ranked && call.step == Step::First;
        match merge::check(&body, !search.sort.is_empty() && !ranking, search.sort.len()) {
            Ok(score) => {
                call.context.notes.borrow_mut().failures.remove(&call.shard);
                // Copied: the value outlives the buffer, until its query is answered.
                let value = Some(ScoredValue { value: Rc::from(&*body), score });
                AttemptResult { outcome: Outcome::Succeeded, value, report: None }
            }
            Err((status, kind, reason)) => self.failed(call, Outcome::Error, (status, &kind, &reason)),
        }
    }

    fn failed(&self, call: &Call<Servers>, outcome: Outcome, why: (u16, &str, &str)) -> AttemptResult {
        let (status, kind, reason) = why;
        let node = self.book.borrow().get(call.replica).map(|k| k.server.name.clone()).unwrap_or_default();
        debug!(self.log, "shard failed"; "shard" => call.shard.0, "server" => &node, "type" => kind, "reason" => reason);
        let failure = Failure { node, status, kind: kind.to_owned(), reason: reason.to_owned() };
        call.context.notes.borrow_mut().failures.insert(call.shard, failure);
        outcome.into()
    }

    fn keep(&self, replica: ReplicaId, life: u64, mut place: Place) {
        if self.book.borrow().get(replica).is_some_and(|k| k.life == life) {
            if let Some(stream) = place.stream.take() {
                // It goes on holding its room.
                place.holds.set(false);
                self.idle.borrow_mut().entry(replica).or_default().push((stream, Instant::now()));
            }
        }
    }
}

/// A connection in use, and the descriptor that it takes.
struct Place {
    stream: Option<Stream>,
    servers: Rc<Servers>,
    holds: Cell<bool>,
}

impl Place {
    fn reserve(servers: &Rc<Servers>) -> Place {
        servers.room.set(servers.room.get().saturating_sub(1));
        Place { stream: None, servers: servers.clone(), holds: Cell::new(true) }
    }

    fn new(servers: &Rc<Servers>, stream: Stream) -> Place {
        let mut place = Place::reserve(servers);
        place.stream = Some(stream);
        place
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.holds.get() {
            self.servers.room.set(self.servers.room.get() + 1);
        }
    }
}

fn request(call: &Call<Servers>, address: SocketAddr, permit: Permit) -> Vec<u8> {
    let RequestContext { search, opaque, ranked, .. } = &*call.context;
    let left = permit.told_ms().max(1);
    let body = if *ranked && call.step == Step::First { &search.ranking } else { &search.body };
    format!(
        "POST /{}/_search?preference=_shards%3A{}&allow_partial_search_results=false&timeout={left}ms HTTP/1.1\r\n\
         Host: {address}\r\nX-Opaque-Id: {opaque}.{}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        search.index,
        call.shard.0,
        call.shard.0,
        body.len()
    )
    .into_bytes()
}

impl Transport for Servers {
    type RequestContext = RequestContext;

    async fn call(self: Rc<Self>, call: Call<Self>, stop: CancellationToken) -> AttemptResult {
        if let Step::Second { from, .. } = &call.step {
            call.context.notes.borrow_mut().first = Some(from.clone());
        }
        let stopped = async {
            stop.cancelled().await;
            Outcome::Cancelled.into()
        };
        let ended = timeout_at(call.deadline, self.ask(&call, &stop).or(stopped)).await;
        ended.unwrap_or(Outcome::TimedOut.into())
    }

    async fn probe(self: Rc<Self>, replica: ReplicaId) -> (bool, Option<LoadReport>) {
        let latest = Instant::now() + PROBE_WAIT;
        let probe = async {
            let (address, _) = self.ready(replica)?;
            let mut place = self.connection(replica, address).await.ok()?;
            let stream = place.stream.as_mut()?;
            let request = format!("GET / HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
            stream.write_all(request.as_bytes()).await.ok()?;
            let answer = http::read(stream, &mut Buffer::default(), Kind::Answer, MOST_ANSWER).await;
            answer.ok().map(|m| m.status)
        };
        (timeout_at(latest, probe).await.flatten() == Some(200), None)
    }

    fn close_idle(&self, replica: ReplicaId) {
        self.close(replica);
    }
}
