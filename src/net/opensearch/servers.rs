//! Client side of the search servers (HTTP/1.1): the transport of the query API's coordinator.
//!
//! This module owns the registry of known servers; `connections` owns the connections to them. It never
//! retries an attempt: the coordinator decides how to proceed after its outcome.
//!
//! Invariants: a connection carries one request at a time. An attempt that is abandoned closes its
//! connection, which is how the public specification cancels a search. Nothing is sent without a
//! [`SendPermit`].
#![warn(missing_docs)]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use slog::{debug, Logger};

use super::connections::{Connections, REQUEST_ID_HEADER};
use super::merge::{self, ShardError, ShardFailure};
use super::query::Search;
use crate::balancer::interface::{Endpoint, LoadReport, Outcome, ReplicaId, ShardId};
use crate::config::settings::ConnectionSettings;
use crate::coordinator::{AttemptResult, Call, CancellationToken, Clock, ScoredValue, Step, Transport};
use crate::net::buffer::Buffer;
use crate::net::dns_sd::registry::{ServerChange, ServerRegistry};
use crate::net::dns_sd::watcher::FollowsServerList;
use crate::net::dns_sd::zone_file::Server;
use crate::net::http::{HttpError, Message};
use crate::net::invariants;
use crate::net::timeout_at;
use crate::send_policy::{SendConditions, SendPermit};

/// Time limit for a health check.
const MAX_PROBE_TIME: Duration = Duration::from_millis(250);
/// Id of a request that carries none.
const NO_REQUEST_ID: &str = "";

/// Progress of a search on each shard, from which the answer to the client is built.
#[derive(Default)]
pub struct SearchProgress {
    /// Whether a request of the search has been sent.
    pub started: bool,
    /// Last failure of each shard that has not answered after it.
    pub failures: BTreeMap<ShardId, ShardFailure>,
    /// Shards that had answered when the first of two steps finished; `None` before the second step.
    pub first_step_shards: Option<Rc<[ShardId]>>,
}

/// Context that all attempts of a search share.
pub struct RequestContext {
    /// The search.
    pub search: Rc<Search>,
    /// `X-Opaque-Id` of the client's request.
    pub opaque_id: String,
    /// Whether the class has two steps, of which the first one only ranks the documents.
    pub has_two_steps: bool,
    /// Progress of the search.
    pub progress: Rc<RefCell<SearchProgress>>,
}

/// The transport of the query API's coordinator.
pub struct SearchServers {
    registry: RefCell<ServerRegistry>,
    connections: Rc<Connections>,
    log: Logger,
}

impl FollowsServerList for SearchServers {
    fn apply_list(&self, servers: &[Server], zones: &[String], clock: &Clock) -> Vec<Endpoint> {
        let (listed, changes) = self.registry.borrow_mut().apply_list(servers, zones, clock);
        for (replica, change) in changes {
            if !matches!(change, ServerChange::Listed(_)) {
                self.connections.close_idle(replica);
            }
        }
        listed
    }
}

impl SearchServers {
    /// Creates a transport without known servers. `descriptors` limits the number of open connections.
    pub fn new(settings: ConnectionSettings, descriptors: usize, log: Logger) -> Rc<Self> {
        Rc::new(SearchServers {
            registry: RefCell::default(),
            connections: Connections::new(settings, descriptors),
            log,
        })
    }

    fn ready(&self, replica: ReplicaId) -> Option<(SocketAddr, u64)> {
        self.registry.borrow().ready_address(replica)
    }

    /// Sends one request on one connection, from acquiring the connection to the last byte of the answer.
    async fn send_request(
        self: &Rc<Self>,
        call: &Call<SearchServers>,
        stop: &CancellationToken,
    ) -> AttemptResult {
        let Some((address, incarnation)) = self.ready(call.replica) else { return Outcome::NeverSent.into() };
        let request_id = request_id(call);
        let mut lease = match self.connections.acquire(call.replica, address, &request_id).await {
            Ok(lease) => lease,
            Err(outcome) => {
                let error = ShardError::new(503, "connect_exception", "connecting to the server failed");
                return self.failed(call, outcome, error);
            }
        };
        // The conditions are checked again immediately before the write. While the attempt waited for the
        // connection, the list of servers may have changed, or another coordinator may have taken over the
        // query.
        let now = Instant::now();
        let conditions = SendConditions {
            now,
            deadline: call.deadline,
            transit_time: Duration::ZERO,
            cancelled: stop.is_cancelled(),
            replica_ready: self.ready(call.replica) == Some((address, incarnation)),
            endpoint_list_valid: true,
            retry_window_closed: stop.is_past_retry_window(now),
        };
        let Ok(permit) = conditions.permit().inspect_err(|denied| invariants::record_denial(*denied)) else {
            return Outcome::NeverSent.into();
        };
        if lease.send(&request(call, address, &request_id, permit)).await.is_err() {
            return self.failed(
                call,
                Outcome::ConnectFailed,
                ShardError::new(503, "connect_exception", "connection to the server failed"),
            );
        }
        call.context.progress.borrow_mut().started = true;
        match lease.read_answer(&request_id).await {
            Ok(answer) => {
                let result = self.classify(call, &answer.message, &answer.buffer);
                if answer.is_reusable && self.is_current(call.replica, incarnation) {
                    self.connections.keep_idle(call.replica, lease, &request_id);
                }
                result
            }
            Err(HttpError::ConnectionClosed | HttpError::Io(_)) => self.failed(
                call,
                Outcome::Reset,
                ShardError::new(503, "node_disconnected_exception", "connection to the server failed"),
            ),
            Err(e) => {
                self.failed(call, Outcome::Error, ShardError::new(500, "malformed_answer", e.to_string()))
            }
        }
    }

    fn classify(&self, call: &Call<SearchServers>, message: &Message, buffer: &Buffer) -> AttemptResult {
        let body = message.body(buffer);
        if message.status != 200 {
            let error: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
            let text = |key: &str| error["error"][key].as_str().unwrap_or("unknown");
            // Status 429 means that the search was rejected before it started. With any other status, the
            // search may have run.
            let outcome = if message.status == 429 { Outcome::Rejected } else { Outcome::Error };
            return self.failed(call, outcome, ShardError::new(message.status, text("type"), text("reason")));
        }
        let search = &call.context.search;
        let ranking = call.context.has_two_steps && call.step == Step::First;
        let is_sorted = !search.sort.is_empty() && !ranking;
        match merge::check(body, is_sorted.then_some(search.sort.len())) {
            Ok(score) => {
                call.context.progress.borrow_mut().failures.remove(&call.shard);
                // The value is copied because it must outlive the buffer: it is needed until the query is
                // answered.
                let value = Some(ScoredValue { value: Rc::from(body), score });
                AttemptResult { outcome: Outcome::Succeeded, value, report: None }
            }
            Err(error) => self.failed(call, Outcome::Error, error),
        }
    }

    fn failed(&self, call: &Call<SearchServers>, outcome: Outcome, error: ShardError) -> AttemptResult {
        let node =
            self.registry.borrow().get(call.replica).map(|k| k.server.name.clone()).unwrap_or_default();
        debug!(self.log, "shard failed"; "shard" => call.shard.0, "server" => &node, "type" => &error.kind,
            "reason" => &error.reason);
        call.context.progress.borrow_mut().failures.insert(call.shard, ShardFailure { node, error });
        outcome.into()
    }

    /// Returns whether this is still the incarnation of a known server.
    fn is_current(&self, replica: ReplicaId, incarnation: u64) -> bool {
        self.registry.borrow().get(replica).is_some_and(|known| known.incarnation == incarnation)
    }
}

/// Returns the id of a request: the id that the client gave, and the shard.
fn request_id(call: &Call<SearchServers>) -> String {
    format!("{}.{}", call.context.opaque_id, call.shard.0)
}

fn request(call: &Call<SearchServers>, address: SocketAddr, request_id: &str, permit: SendPermit) -> Vec<u8> {
    let RequestContext { search, has_two_steps, .. } = &*call.context;
    let timeout_ms = permit.timeout_ms().max(1);
    let body = if *has_two_steps && call.step == Step::First { &search.ranking } else { &search.body };
    format!(
        "POST /{}/_search?preference=_shards%3A{}&allow_partial_search_results=false&timeout={timeout_ms}ms HTTP/1.1\r\n\
         Host: {address}\r\n{REQUEST_ID_HEADER}: {request_id}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        search.index,
        call.shard.0,
        body.len()
    )
    .into_bytes()
}

impl Transport for SearchServers {
    type RequestContext = RequestContext;

    async fn call(self: Rc<Self>, call: Call<Self>, stop: CancellationToken) -> AttemptResult {
        if let Step::Second { from, .. } = &call.step {
            call.context.progress.borrow_mut().first_step_shards = Some(from.clone());
        }
        let stopped = async {
            stop.cancelled().await;
            Outcome::Cancelled.into()
        };
        let result = timeout_at(call.deadline, self.send_request(&call, &stop).or(stopped)).await;
        result.unwrap_or(Outcome::TimedOut.into())
    }

    /// Probes a server on a new connection: nothing in the answer to a probe names it, so an answer to an
    /// earlier request could be taken for it on a connection that has carried one.
    async fn health_check(self: Rc<Self>, replica: ReplicaId) -> (bool, Option<LoadReport>) {
        let deadline = Instant::now() + MAX_PROBE_TIME;
        let probe = async {
            let ready = self.ready(replica)?;
            let (address, _) = ready;
            let mut lease = self.connections.open(replica, address).await.ok()?;
            // The server may have started to drain while the connection was established.
            if self.ready(replica) != Some(ready) {
                return None;
            }
            let request = format!("GET / HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
            lease.send(request.as_bytes()).await.ok()?;
            lease.read_answer(NO_REQUEST_ID).await.ok().map(|answer| answer.message.status)
        };
        (timeout_at(deadline, probe).await.flatten() == Some(200), None)
    }

    fn close_idle(&self, replica: ReplicaId) {
        self.connections.close_idle(replica);
    }
}
