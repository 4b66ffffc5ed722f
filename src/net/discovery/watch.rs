//! One watch on the endpoint list: its calls, and what their answers and failures mean for the list.
use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::AsyncWriteExt;
use slog::warn;

use super::source::Source;
use super::watch_policy::{
    CONNECT_TIMEOUT, MAX_SLOW_ANSWER_SLACK, MIN_SLOW_ANSWER_SLACK, WATCH_CONTINUES_WITHIN,
};
use super::{list, version, Discovery, DiscoveryError, EndpointList, MAX_LIST_BYTES};
use crate::net::buffer::Buffer;
use crate::net::http::{self, HttpError, Message, MessageKind};
use crate::net::socket::{self, ConnectError, Stream};
use crate::net::timeout_at;

/// Granularity in milliseconds by which the wait of a call is shortened: discovery counts waits in tenths of
/// a second.
const WAIT_STEP_MS: u64 = 100;

/// Maximum number of blank bytes that may precede an answer.
const MAX_BLANK_BYTES: usize = 64;

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

    /// Returns whether a part of an answer has arrived.
    fn has_unread_answer(&self) -> bool {
        !is_blank(&self.buffer)
    }

    /// Returns whether the connection failed between two calls and the next call, on a new connection, is
    /// still in time to continue the watch.
    fn ended_between_calls(&self) -> bool {
        self.buffer.unread().is_empty() && self.continues_until.is_some_and(|until| Instant::now() < until)
    }
}

/// An answer to a call.
struct Answer {
    message: Message,
    /// When the call was written.
    called_at: Instant,
    /// Time for which discovery was to hold the call.
    wait: Duration,
}

impl Answer {
    /// Returns a time before which every change is contained in the answer. Discovery may write an answer
    /// after it has determined its contents, but not before the call. An answer without changes was determined
    /// after its wait.
    fn current_as_of(&self, is_new_version: bool, received_at: Instant) -> Instant {
        let waited_until = self.called_at + self.wait;
        if is_new_version || received_at < waited_until {
            self.called_at
        } else {
            waited_until
        }
    }
}

impl Discovery {
    /// Runs watches until one fails and has to wait for its restart. A silent watch is assumed to be broken
    /// and is restarted immediately, and so is an agent's watch, since its calls cost nothing.
    ///
    /// A call that fails otherwise is repeated at once, but only once until the next answer: discovery may
    /// have written an answer that did not arrive. If discovery itself refuses the call, it is overloaded or
    /// down, and the call is not repeated at once.
    pub(super) async fn run_watches(&self, source: Rc<Source>) -> DiscoveryError {
        loop {
            let error = match self.run_watch(&source).await {
                Err(e) => e,
                Ok(never) => match never {},
            };
            if error.may_hide_changes() {
                self.record_lost_answer(&source, "failed call");
            }
            if !self.generations.is_current(&source) {
                return error;
            }
            self.data_nodes.update_lease(|lease| lease.record_failed_call(Instant::now()));
            if error.is_failed_call() && !source.was_repeated.replace(true) {
                self.log_watch_end(&source, &error, true);
                continue;
            }
            if !self.policy.is_push && !matches!(error, DiscoveryError::NoAnswer) {
                return error;
            }
            if let Some(suppressed) = self.log_limiter.permit() {
                warn!(self.log, "watch on discovery restarted"; "error" => %error,
                    "address" => %source.address, "seq" => source.seq.get(), "suppressed" => suppressed);
            }
            Timer::at(source.last_call_started.get() + self.policy.min_call_interval).await;
        }
    }

    /// Logs the failure of a call, and whether the call is repeated at once.
    pub(super) fn log_watch_end(&self, source: &Source, error: &DiscoveryError, repeated: bool) {
        warn!(self.log, "watch on discovery ended"; "error" => %error, "address" => %source.address,
            "seq" => source.seq.get(), "repeated" => repeated);
    }

    /// Runs one watch. Each call follows the previous answer immediately, or after an interval if that
    /// contained nothing new.
    ///
    /// # Errors
    ///
    /// Returns the error of the call that ends the watch.
    async fn run_watch(&self, source: &Source) -> Result<Infallible, DiscoveryError> {
        let mut connection = WatchConnection::new(self.connect(source).await?);
        loop {
            let Some(answer) = self.call(&mut connection, source).await? else {
                connection = WatchConnection::new(self.connect(source).await?);
                continue;
            };
            let is_new_version = self.accept(&answer, &mut connection.buffer, source)?;
            source.slow_answer_slack.set(Duration::ZERO);
            source.was_repeated.set(false);
            connection.continues_until = Some(Instant::now() + WATCH_CONTINUES_WITHIN);
            if !is_new_version {
                Timer::at(source.last_call_started.get() + self.policy.min_call_interval).await;
            }
            source.last_call_started.set(Instant::now());
            if !answer.message.keep_alive {
                connection = WatchConnection::new(self.connect(source).await?);
            }
        }
    }

    /// Makes one call and returns its answer, or `None` if the connection was closed between two calls, just
    /// as the call was written. That is not a failure; the watch continues if the next call is made in time.
    async fn call(
        &self,
        connection: &mut WatchConnection,
        source: &Source,
    ) -> Result<Option<Answer>, DiscoveryError> {
        self.count(|counts| counts.calls += 1);
        let started = source.last_call_started.get();
        let called_at = Instant::now();
        // The time spent connecting counts as part of the call.
        let connecting_ms = (called_at - started).as_millis() as u64 / WAIT_STEP_MS * WAIT_STEP_MS;
        let wait_ms = (self.policy.poll_wait.as_millis() as u64).saturating_sub(connecting_ms);
        let request = version::poll_request(source.address, source.seq.get(), wait_ms);
        let deadline =
            started + self.policy.poll_wait + self.policy.answer_slack + source.slow_answer_slack.get();
        let answer = timeout_at(deadline, self.exchange(connection, source, &request)).await;
        let wait = Duration::from_millis(wait_ms);
        match answer {
            Some(Ok(message)) => Ok(Some(Answer { message, called_at, wait })),
            Some(Err(error)) if connection.ended_between_calls() && list::ends_in_order(&error) => Ok(None),
            Some(Err(error)) => {
                Err(DiscoveryError::FailedCall { error, answer_started: connection.has_unread_answer() })
            }
            None => {
                if self.policy.is_push && !connection.buffer.unread().is_empty() {
                    let longer = 2 * source.slow_answer_slack.get();
                    let longer = longer.clamp(MIN_SLOW_ANSWER_SLACK, MAX_SLOW_ANSWER_SLACK);
                    source.slow_answer_slack.set(longer);
                }
                Err(DiscoveryError::NoAnswer)
            }
        }
    }

    /// Writes a request and reads its answer. An answer that does not arrive completely soon after its first
    /// byte counts as lost from then on, although it is still read.
    async fn exchange(
        &self,
        connection: &mut WatchConnection,
        source: &Source,
        request: &str,
    ) -> Result<Message, HttpError> {
        let WatchConnection { stream, buffer, .. } = connection;
        stream.write_all(request.as_bytes()).await?;
        while is_blank(buffer) && buffer.unread().len() <= MAX_BLANK_BYTES {
            if buffer.fill(stream).await? == 0 {
                return Err(HttpError::ConnectionClosed);
            }
        }
        let complete_by = Instant::now() + self.policy.max_receive_time;
        let mut answer = pin!(http::read(stream, buffer, MessageKind::Response, MAX_LIST_BYTES));
        match timeout_at(complete_by, answer.as_mut()).await {
            Some(answer) => answer,
            None => {
                self.record_lost_answer(source, "answer arrives slowly");
                answer.await
            }
        }
    }

    /// Applies an answer, consumes its bytes, and returns whether it contained a new version.
    fn accept(&self, answer: &Answer, buffer: &mut Buffer, source: &Source) -> Result<bool, DiscoveryError> {
        let message = &answer.message;
        if message.status != 200 {
            return Err(DiscoveryError::Status(message.status));
        }
        let body = message.body(buffer);
        let list: EndpointList = serde_json::from_slice(body).map_err(DiscoveryError::MalformedList)?;
        let is_new_version = self.apply_versioned(&list, answer, source)?;
        buffer.consume(message.length);
        // Unrequested data must not be taken for the answer to the next call.
        if !is_blank(buffer) {
            let error = HttpError::Malformed("more than one answer");
            return Err(DiscoveryError::FailedCall { error, answer_started: true });
        }
        Ok(is_new_version)
    }

    /// Applies the list of an answer relative to the current version, renews the lease on the list, and returns
    /// whether its version is new.
    fn apply_versioned(
        &self,
        list: &EndpointList,
        answer: &Answer,
        source: &Source,
    ) -> Result<bool, DiscoveryError> {
        if self.generations.is_superseded(source) {
            return Err(DiscoveryError::Superseded);
        }
        let interpreted = version::interpret(list, source.seq.get(), self.policy.is_push)?;
        if interpreted.went_back {
            warn!(self.log, "version of the list went backwards"; "seq" => list.seq,
                "ours" => source.seq.get());
            self.record_lost_answer(source, "version went backwards");
        }
        if let Some(update) = interpreted.update {
            self.apply(list, update);
        }
        source.seq.set(interpreted.seq);
        self.count(|counts| counts.answers += 1);
        if self.generations.is_current(source) && !interpreted.went_back {
            self.starts.borrow_mut().finish_list(self.coordinator.clock().at(Instant::now()));
            let current_as_of = answer.current_as_of(interpreted.is_new_version, Instant::now());
            self.data_nodes.update_lease(|lease| lease.renew(current_as_of));
            self.generations.record_answer(source);
        }
        Ok(interpreted.is_new_version)
    }

    /// Ends the lease on the list: changes that count as notified may have been lost.
    pub(super) fn record_lost_answer(&self, source: &Source, reason: &'static str) {
        self.count(|counts| counts.lost_answers += 1);
        if let Some(suppressed) = self.log_limiter.permit() {
            warn!(self.log, "an answer of discovery may be lost"; "reason" => reason,
                "address" => %source.address, "seq" => source.seq.get(), "suppressed" => suppressed);
        }
        self.data_nodes.update_lease(|lease| lease.record_lost_answer(Instant::now()));
    }

    /// Connects to discovery, which starts a call.
    async fn connect(&self, source: &Source) -> Result<Stream, DiscoveryError> {
        self.count(|counts| counts.connects += 1);
        let started = Instant::now();
        source.last_call_started.set(started);
        let deadline = started + CONNECT_TIMEOUT.min(self.policy.poll_wait + self.policy.answer_slack);
        socket::connect(source.address, deadline).await.map_err(|e| match e {
            ConnectError::TimedOut => DiscoveryError::ConnectTimeout,
            e => DiscoveryError::ConnectFailed(io::Error::from(e)),
        })
    }
}

/// Returns whether a buffer contains no part of an answer, but possibly line ends behind the last one.
fn is_blank(buffer: &Buffer) -> bool {
    buffer.unread().iter().all(u8::is_ascii_whitespace)
}
