//! The watch on the endpoint list: when discovery is called, what a failed call leads to, and moves to
//! another address.
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

/// What a call's wait is shortened by is cut to this many milliseconds: discovery counts waits in tenths of a
/// second.
const WAIT_STEP_MS: u64 = 100;

/// The connection that a watch's calls go over.
struct WatchConnection {
    stream: Stream,
    buffer: Buffer,
    /// Until when a next call continues the watch; `None` before the first answer.
    continues_until: Option<Instant>,
}

impl WatchConnection {
    fn new(stream: Stream) -> WatchConnection {
        WatchConnection { stream, buffer: Buffer::default(), continues_until: None }
    }

    /// Whether it failed between two calls, in time for the next one on a new connection to continue the
    /// watch.
    fn ended_between_calls(&self) -> bool {
        self.buffer.unread().is_empty() && self.continues_until.is_some_and(|until| Instant::now() < until)
    }
}

/// Why a watch is left.
enum WatchEnd {
    Failed(DiscoveryError),
    Moved(SocketAddr),
}

impl Discovery {
    /// Follow the list; never ends. `known` is the list of an earlier run, maybe outdated. Where lists are
    /// pushed, all that the agent has counts as notified from our first moment on: nothing is sent by `known`
    /// until the agent has had its time.
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

    /// No list came in time: go on with what is known.
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

    /// The balancer asks for a watch to be started, or started anew; an agent's starts by itself. A move acts
    /// at once, whether a watch runs, has failed or was never started. Prevents missing a drain that only the
    /// new address lists, while we wait for the old one to close.
    async fn watch(&self, mut seq: Option<u64>) {
        let subscriptions = self.coordinator.subscriptions();
        let mut moved_to = None;
        let mut start_at = self.policy.is_push.then(Instant::now);
        loop {
            if moved_to.is_none() {
                moved_to = self.wait_for_start(&subscriptions, start_at).await;
            }
            if let Some(address) = moved_to.take().filter(|address| *address != self.address.get()) {
                // Versions of another address mean nothing here: its complete list is asked for.
                self.address.set(address);
                self.starts.borrow_mut().change_source();
                seq = None;
            }
            // What has arrived on the watch is applied before it is left.
            let failed = async { WatchEnd::Failed(self.run_watches(&mut seq).await) };
            let moved = async { WatchEnd::Moved(self.moved_elsewhere().await) };
            match failed.or(moved).await {
                WatchEnd::Moved(address) => moved_to = Some(address),
                WatchEnd::Failed(e) => {
                    warn!(self.log, "watch on discovery ended"; "error" => %e,
                        "address" => %self.address.get(), "seq" => seq);
                    // Asked for before this end: that watch has been started already.
                    while subscriptions.try_recv().is_ok() {}
                    self.coordinator.update_endpoints(EndpointUpdate::Failed, Vec::new());
                    start_at = Some(Instant::now() + MAX_BACKOFF);
                }
            }
        }
    }

    /// Wait until a watch is to start: at `start_at`, when the balancer asks, or because of a move, which is
    /// returned.
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
        let asked_for = async {
            let _ = subscriptions.recv().await;
        };
        let started = async {
            due.or(asked_for).await;
            None
        };
        let moved = async { Some(self.next_address().await) };
        moved.or(started).await
    }

    /// The next address that a configuration names, maybe the current one again.
    async fn next_address(&self) -> SocketAddr {
        match self.address_changes.recv().await {
            Ok(address) => address,
            Err(_) => std::future::pending().await,
        }
    }

    /// The next address that is another than the current one.
    async fn moved_elsewhere(&self) -> SocketAddr {
        loop {
            let address = self.next_address().await;
            if address != self.address.get() {
                return address;
            }
        }
    }

    /// Watch after watch, until one fails that has to wait for its restart. A silent one is broken, and what
    /// it misses will count as notified: it is restarted at once. An agent's always is, as its calls are
    /// free.
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

    /// One watch: each call follows the last answer at once, or after an interval where that brought nothing
    /// new.
    ///
    /// # Errors
    /// The failure of the call that ends it.
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

    /// One call and its answer; `None` where the connection was closed between two calls, just as we wrote
    /// the next one. That is no failure, and the watch goes on if the next call comes in time.
    async fn call(
        &self,
        connection: &mut WatchConnection,
        seq: Option<u64>,
    ) -> Result<Option<Message>, DiscoveryError> {
        let started = self.last_call_started.get();
        // Connecting counts as part of the call.
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

    /// Apply an answer and consume its bytes; whether it brought a new version.
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
        let list: EndpointList = serde_json::from_slice(&body).map_err(DiscoveryError::MalformedList)?;
        let is_new_version = self.apply_versioned(&list, seq)?;
        drop(body);
        buffer.consume(answer.length);
        // Prevents taking what nobody asked for as the answer to the next call.
        if buffer.unread().iter().any(|byte| !byte.is_ascii_whitespace()) {
            return Err(HttpError::Malformed("more than one answer").into());
        }
        Ok(is_new_version)
    }

    /// Apply an answer's list against the version that is held; whether it is another one.
    fn apply_versioned(&self, list: &EndpointList, seq: &mut Option<u64>) -> Result<bool, DiscoveryError> {
        let interpreted = version::interpret(list, *seq, self.policy.is_push)?;
        if interpreted.went_back {
            warn!(self.log, "versions of the list went back"; "seq" => list.seq, "ours" => *seq);
        }
        if let Some(update) = interpreted.update {
            self.apply(list, update);
        }
        *seq = interpreted.seq;
        self.starts.borrow_mut().finish_list(self.coordinator.clock().at(Instant::now()));
        Ok(interpreted.is_new_version)
    }

    /// Connect to discovery; this starts a call.
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
