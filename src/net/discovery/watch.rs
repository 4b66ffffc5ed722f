//! Watch on the endpoint list: when discovery is called, how failed calls are handled, and changes of
//! address.
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{AsyncWriteExt, FutureExt};
use slog::warn;

use super::watch_policy::{
    CONNECT_TIMEOUT, FIRST_LIST_TIMEOUT, MAX_BACKOFF, MAX_SLOW_ANSWER_SLACK, MIN_CALL_INTERVAL,
    WATCH_CONTINUES_WITHIN,
};
use super::{version, Discovery, DiscoveryError, EndpointList, MAX_LIST_BYTES};
use crate::balancer::interface::EndpointUpdate;
use crate::net::buffer::Buffer;
use crate::net::http::{self, HttpError, Message, MessageKind};
use crate::net::socket::{self, ConnectError, Stream};
use crate::net::timeout_at;

/// Granularity in milliseconds by which the wait of a call is shortened: discovery counts waits in tenths of
/// a second.
const WAIT_STEP_MS: u64 = 100;

/// Connection that carries the calls of a watch.
struct WatchConnection {
    stream: Stream,
    buffer: Buffer,
    /// Time until which the next call continues the watch; `None` before the first answer.
    continues_until: Option<Instant>,
}

impl WatchConnection {
    fn new(stream: Stream) -> WatchConnection {
        WatchConnection { stream, buffer: Buffer::default(), continues_until: None }
    }

    /// Returns whether the connection failed between two calls and the next call, on a new connection, is
    /// still in time to continue the watch.
    fn ended_between_calls(&self) -> bool {
        self.buffer.unread().is_empty() && self.continues_until.is_some_and(|until| Instant::now() < until)
    }
}

/// Reason for ending a watch.
enum WatchEnd {
    Failed(DiscoveryError),
    Moved(SocketAddr),
}

impl Discovery {
    /// Follows the list; never returns. `known` is the list of an earlier run, which may be outdated.
    ///
    /// If lists are pushed, everything that the agent has counts as notified from the start of this process.
    /// Nothing is sent based on `known` until the agent has had time to answer.
    pub async fn run(self, known: Option<&EndpointList<'_>>) {
        let mut seq = None;
        if let Some(known) = known.filter(|_| !self.policy.is_push) {
            self.apply(known, EndpointUpdate::Cached);
            seq = Some(known.seq);
        }
        let fallback = async {
            Timer::at(Instant::now() + FIRST_LIST_TIMEOUT).await;
            self.start_without_list(known);
            std::future::pending().await
        };
        self.watch(seq).or(fallback).await
    }

    /// Proceeds with the known list if none was received in time.
    fn start_without_list(&self, known: Option<&EndpointList<'_>>) {
        if self.coordinator.is_ready() {
            return;
        }
        warn!(self.log, "no list from discovery yet"; "known" => known.map(|list| list.endpoints.len()));
        if let Some(known) = known {
            self.apply(known, EndpointUpdate::Cached);
        }
        self.coordinator.stop_waiting_for_endpoints();
    }

    /// Runs watches forever. A watch is started, or restarted, when the balancer requests it; with an agent
    /// it starts by itself.
    ///
    /// A change of address takes effect immediately, whether a watch is running, has failed or was never
    /// started. Waiting for the old address to close the connection could miss a drain that only the new
    /// address lists.
    async fn watch(&self, mut seq: Option<u64>) {
        let subscriptions = self.coordinator.subscriptions();
        let mut moved_to = None;
        let mut start_at = self.policy.is_push.then(Instant::now);
        loop {
            if moved_to.is_none() {
                moved_to = self.wait_for_start(&subscriptions, start_at).await;
            }
            if let Some(address) = moved_to.take().filter(|address| *address != self.address.get()) {
                // Versions of the previous address are not valid here, so the complete list is requested.
                self.address.set(address);
                self.starts.borrow_mut().change_source();
                seq = None;
            }
            // Answers that have arrived on the watch are applied before it ends.
            let failed = async { WatchEnd::Failed(self.run_watches(&mut seq).await) };
            let moved = async { WatchEnd::Moved(self.moved_elsewhere().await) };
            match failed.or(moved).await {
                WatchEnd::Moved(address) => moved_to = Some(address),
                WatchEnd::Failed(e) => {
                    warn!(self.log, "watch on discovery ended"; "error" => %e,
                        "address" => %self.address.get(), "seq" => seq);
                    // These requests were made before the watch ended and refer to the watch that was
                    // already started.
                    while subscriptions.try_recv().is_ok() {}
                    self.coordinator.update_endpoints(EndpointUpdate::Failed, Vec::new());
                    start_at = Some(Instant::now() + MAX_BACKOFF);
                }
            }
        }
    }

    /// Waits until a watch is to start: at `start_at`, at a request of the balancer, or because of a change
    /// of address, which is returned.
    async fn wait_for_start(
        &self,
        subscriptions: &Receiver<()>,
        start_at: Option<Instant>,
    ) -> Option<SocketAddr> {
        let due = async {
            match start_at {
                Some(at) => {
                    Timer::at(at).await;
                }
                None => std::future::pending().await,
            }
        };
        let requested = async {
            let _ = subscriptions.recv().await;
        };
        let started = async {
            due.or(requested).await;
            None
        };
        let moved = async { Some(self.next_address().await) };
        moved.or(started).await
    }

    /// Returns the next configured address, which may equal the current one.
    async fn next_address(&self) -> SocketAddr {
        match self.address_changes.recv().await {
            Ok(address) => address,
            Err(_) => std::future::pending().await,
        }
    }

    /// Returns the next configured address that differs from the current one.
    async fn moved_elsewhere(&self) -> SocketAddr {
        loop {
            let address = self.next_address().await;
            if address != self.address.get() {
                return address;
            }
        }
    }

    /// Runs watches until one fails and has to wait for its restart. A silent watch is assumed to be broken,
    /// and the changes that it misses will count as notified, so it is restarted immediately. An agent's
    /// watch is always restarted immediately, since its calls cost nothing.
    async fn run_watches(&self, seq: &mut Option<u64>) -> DiscoveryError {
        loop {
            let error = match self.run_watch(seq).await {
                Err(e) => e,
                Ok(never) => match never {},
            };
            if !self.policy.is_push && !matches!(error, DiscoveryError::NoAnswer) {
                return error;
            }
            if let Some(suppressed) = self.log_limiter.permit() {
                warn!(self.log, "watch on discovery restarted"; "error" => %error,
                    "address" => %self.address.get(), "seq" => *seq, "suppressed" => suppressed);
            }
            Timer::at(self.last_call_started.get() + MIN_CALL_INTERVAL).await;
        }
    }

    /// Runs one watch. Each call follows the previous answer immediately, or after an interval if that
    /// contained nothing new.
    ///
    /// # Errors
    ///
    /// Returns the error of the call that ends the watch.
    async fn run_watch(&self, seq: &mut Option<u64>) -> Result<Infallible, DiscoveryError> {
        let mut connection = WatchConnection::new(self.connect().await?);
        loop {
            let Some(answer) = self.call(&mut connection, *seq).await? else {
                connection = WatchConnection::new(self.connect().await?);
                continue;
            };
            let is_new_version = self.accept(&answer, &mut connection.buffer, seq)?;
            self.slow_answer_slack.set(Duration::ZERO);
            connection.continues_until = Some(Instant::now() + WATCH_CONTINUES_WITHIN);
            if !is_new_version {
                Timer::at(self.last_call_started.get() + MIN_CALL_INTERVAL).await;
            }
            self.last_call_started.set(Instant::now());
            if !answer.keep_alive {
                connection = WatchConnection::new(self.connect().await?);
            }
        }
    }

    /// Makes one call and returns its answer, or `None` if the connection was closed between two calls, just
    /// as the call was written. That is not a failure; the watch continues if the next call is made in time.
    async fn call(
        &self,
        connection: &mut WatchConnection,
        seq: Option<u64>,
    ) -> Result<Option<Message>, DiscoveryError> {
        let started = self.last_call_started.get();
        // The time spent connecting counts as part of the call.
        let connecting_ms = started.elapsed().as_millis() as u64 / WAIT_STEP_MS * WAIT_STEP_MS;
        let wait_ms = (self.policy.poll_wait.as_millis() as u64).saturating_sub(connecting_ms);
        let request = version::poll_request(self.address.get(), seq, wait_ms);
        let answer = async {
            connection.stream.write_all(request.as_bytes()).await?;
            http::read(&mut connection.stream, &mut connection.buffer, MessageKind::Response, MAX_LIST_BYTES)
                .await
        };
        let deadline =
            started + self.policy.poll_wait + self.policy.answer_slack + self.slow_answer_slack.get();
        match timeout_at(deadline, answer).await {
            Some(Ok(answer)) => Ok(Some(answer)),
            Some(Err(HttpError::ConnectionClosed | HttpError::Io(_))) if connection.ended_between_calls() => {
                Ok(None)
            }
            Some(Err(e)) => Err(e.into()),
            None => {
                if self.policy.is_push && !connection.buffer.unread().is_empty() {
                    let longer = 2 * self.slow_answer_slack.get();
                    self.slow_answer_slack.set(longer.clamp(self.policy.answer_slack, MAX_SLOW_ANSWER_SLACK));
                }
                Err(DiscoveryError::NoAnswer)
            }
        }
    }

    /// Applies an answer, consumes its bytes, and returns whether it contained a new version.
    fn accept(
        &self,
        answer: &Message,
        buffer: &mut Buffer,
        seq: &mut Option<u64>,
    ) -> Result<bool, DiscoveryError> {
        if answer.status != 200 {
            return Err(DiscoveryError::Status(answer.status));
        }
        let body = answer.body(buffer);
        let list: EndpointList = serde_json::from_slice(body).map_err(DiscoveryError::MalformedList)?;
        let is_new_version = self.apply_versioned(&list, seq)?;
        buffer.consume(answer.length);
        // Unrequested data must not be taken for the answer to the next call.
        if buffer.unread().iter().any(|byte| !byte.is_ascii_whitespace()) {
            return Err(HttpError::Malformed("more than one answer").into());
        }
        Ok(is_new_version)
    }

    /// Applies the list of an answer relative to the current version and returns whether its version is new.
    fn apply_versioned(&self, list: &EndpointList, seq: &mut Option<u64>) -> Result<bool, DiscoveryError> {
        let interpreted = version::interpret(list, *seq, self.policy.is_push)?;
        if interpreted.went_back {
            warn!(self.log, "version of the list went backwards"; "seq" => list.seq, "ours" => *seq);
        }
        if let Some(update) = interpreted.update {
            self.apply(list, update);
        }
        *seq = interpreted.seq;
        self.starts.borrow_mut().finish_list(self.coordinator.clock().at(Instant::now()));
        Ok(interpreted.is_new_version)
    }

    /// Connects to discovery, which starts a call.
    async fn connect(&self) -> Result<Stream, DiscoveryError> {
        let started = Instant::now();
        self.last_call_started.set(started);
        let deadline = started + CONNECT_TIMEOUT.min(self.policy.poll_wait + self.policy.answer_slack);
        socket::connect(self.address.get(), deadline).await.map_err(|e| match e {
            ConnectError::TimedOut => DiscoveryError::ConnectTimeout,
            e => io::Error::from(e).into(),
        })
    }
}
