//! State of one connection to a data node: queued frames, attempts in flight, and how attempts end.
//!
//! This module owns the bookkeeping of a single connection and its change notification. It performs no I/O;
//! `exchange`, `reader` and `writer` drive it.
//!
//! Invariants: an attempt is in at most one of `queue`, `in_flight` and `abandoned`; every attempt in
//! `being_written` is also in `in_flight`; connection ids are unique.
#![warn(missing_docs)]
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use event_listener::Event as ChangeNotification;

use super::RequestContext;
use crate::balancer::interface::{LoadReport, Outcome, ShardId};
use crate::coordinator::{AttemptResult, CancellationToken};
use crate::send_policy::SendPermit;

/// Time past its deadline for which an abandoned attempt may still occupy its stream.
const ABANDONED_GRACE: Duration = Duration::from_secs(1);
/// Number of expired abandoned attempts that a connection remembers, in addition to those that still occupy
/// a stream, so that very late answers are recognized.
const MAX_EXPIRED_ABANDONED: usize = 64;

/// Channel for the answer to a probe: whether the data node accepts attempts, and its load report.
pub type ProbeReply = Sender<(bool, Option<LoadReport>)>;

/// Channel of capacity one that passes the single result of an attempt to its caller.
pub struct ResultChannel {
    /// Held by the connection. If a second result is sent, the channel is full or closed and the result is
    /// dropped.
    pub sender: Sender<AttemptResult>,
    /// Held by the caller.
    pub receiver: Receiver<AttemptResult>,
}

impl ResultChannel {
    /// Creates an empty channel.
    pub fn new() -> ResultChannel {
        let (sender, receiver) = async_channel::bounded(1);
        ResultChannel { sender, receiver }
    }
}

/// An attempt of a part, from the time it is queued on a connection until it ends.
pub struct QueuedAttempt {
    /// Id on the wire, shared by all attempts of a part.
    pub id: String,
    /// The shard that the attempt reads.
    pub shard: ShardId,
    /// Attributes in the header line besides the deadline; empty or starting with a comma.
    pub attributes: String,
    /// Context shared by all attempts of the query.
    pub context: Rc<RequestContext>,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Incarnation of the data node for which the attempt was decided.
    pub incarnation: u64,
    /// Signals that the caller no longer wants the attempt.
    pub cancellation: CancellationToken,
    /// Channel for the result.
    pub result: ResultChannel,
    /// Permit under which the attempt was written; `None` until then.
    pub permit: Cell<Option<SendPermit>>,
}

impl QueuedAttempt {
    /// Returns whether the attempt, once abandoned, still occupies its stream.
    fn occupies_stream(&self, now: Instant) -> bool {
        self.deadline + ABANDONED_GRACE > now
    }
}

/// A queued frame.
pub enum OutgoingFrame {
    /// An attempt. Several attempts may share a frame.
    Attempt(Rc<QueuedAttempt>),
    /// Cancellation of the attempt with this id.
    Cancel(String),
    /// A health check: the type letter of its frame and the channel for the answer.
    Probe(u8, ProbeReply),
}

impl OutgoingFrame {
    /// Returns whether the frame needs a stream.
    pub fn is_attempt(&self) -> bool {
        matches!(self, OutgoingFrame::Attempt(_))
    }

    fn carries(&self, attempt: &Rc<QueuedAttempt>) -> bool {
        matches!(self, OutgoingFrame::Attempt(other) if Rc::ptr_eq(other, attempt))
    }
}

/// Attempts that a connection still had when it ended.
pub struct UnfinishedAttempts {
    /// Attempts that were not written completely and therefore never ran.
    pub unwritten: Vec<Rc<QueuedAttempt>>,
    /// Attempts that were written and not answered, and may have run.
    pub in_flight: Vec<Rc<QueuedAttempt>>,
}

/// The attempt that an answer belongs to.
pub enum AnsweredAttempt {
    /// An attempt whose caller is waiting. It is no longer in flight.
    InFlight(Rc<QueuedAttempt>),
    /// An abandoned attempt, as is usual after a cancellation.
    Abandoned,
    /// No known attempt.
    Unknown,
}

/// State of one connection. See the invariants of the module.
pub struct Connection {
    /// Id that is unique within the process.
    pub id: u64,
    /// Frames waiting to be written, in order.
    pub queue: RefCell<VecDeque<OutgoingFrame>>,
    /// Attempts that are written or being written and are not answered, oldest first.
    pub in_flight: RefCell<Vec<Rc<QueuedAttempt>>>,
    /// The attempts in flight whose frame is being written. They cannot run until the operating system has
    /// accepted the last byte of the frame.
    pub being_written: RefCell<Vec<Rc<QueuedAttempt>>>,
    /// Attempts that were written and then abandoned by their caller. An answer may still arrive.
    pub abandoned: RefCell<VecDeque<Rc<QueuedAttempt>>>,
    /// Probes that are written and not answered, oldest first.
    pub probes: RefCell<VecDeque<ProbeReply>>,
    /// Notified when any state changes that a task may be waiting for.
    pub changed: ChangeNotification,
    /// Whether the connection has been established.
    pub established: Cell<bool>,
    /// Whether the connection is to be closed or has ended.
    pub closed: Cell<bool>,
    /// Whether connecting failed at least once for lack of a local resource. If so, a connection that is not
    /// established is no sign of a fault at its data node.
    pub local_failure: Cell<bool>,
    /// Time since which an answer is pending and none has arrived.
    pub silent_since: Cell<Option<Instant>>,
    /// Whether the connection was closed because it made no progress. Its data node may be healthy.
    pub closed_as_unresponsive: Cell<bool>,
    /// Time of the last read or write.
    pub last_used: Cell<Instant>,
    /// Whether the connection still holds a descriptor of the budget.
    pub holds_descriptor: Cell<bool>,
}

impl Connection {
    /// Creates a connection that is not established yet and holds a descriptor.
    pub fn new(id: u64) -> Connection {
        Connection {
            id,
            queue: RefCell::default(),
            in_flight: RefCell::default(),
            being_written: RefCell::default(),
            abandoned: RefCell::default(),
            probes: RefCell::default(),
            changed: ChangeNotification::new(),
            established: Cell::new(false),
            closed: Cell::new(false),
            local_failure: Cell::new(false),
            silent_since: Cell::new(None),
            closed_as_unresponsive: Cell::new(false),
            last_used: Cell::new(Instant::now()),
            holds_descriptor: Cell::new(true),
        }
    }

    /// Returns the number of attempts that occupy a stream or wait for one.
    pub fn load(&self) -> usize {
        let queued = self.queue.borrow().iter().filter(|frame| frame.is_attempt()).count();
        queued + self.occupied_streams(Instant::now())
    }

    /// Returns the number of attempts that occupy a stream. Abandoned attempts do so until they are answered
    /// or well past their deadline, since the data node continues to work on them and a slow one answers
    /// late.
    pub fn occupied_streams(&self, now: Instant) -> usize {
        let abandoned = self.abandoned.borrow();
        let running = abandoned.iter().filter(|attempt| attempt.occupies_stream(now)).count();
        self.in_flight.borrow().len() + running
    }

    /// Returns the position in the queue of the first frame that may be written. An attempt may be written
    /// only if a stream is free: otherwise it would wait unread at the data node, where it cannot be
    /// cancelled, and could be read after the final answer of its query. With `may_send` unset, only
    /// cancellations may be written.
    pub fn next_writable(&self, max_streams: usize, may_send: bool) -> Option<usize> {
        let full = self.occupied_streams(Instant::now()) >= max_streams;
        first_writable(&self.queue.borrow(), full, may_send)
    }

    /// Returns whether the connection is established with nothing queued and nothing in flight.
    pub fn is_idle(&self) -> bool {
        self.established.get() && self.queue.borrow().is_empty() && self.in_flight.borrow().is_empty()
    }

    /// Returns whether an answer has been pending for `limit` without any arriving.
    pub fn is_unresponsive(&self, now: Instant, limit: Duration) -> bool {
        self.silent_since.get().is_some_and(|since| now >= since + limit)
    }

    /// Closes the connection if it has been unresponsive for `limit`. A connection may stay open without
    /// carrying data any more and without a reset that would show it; every attempt written to it would be
    /// lost until its deadline.
    pub fn close_if_unresponsive(&self, now: Instant, limit: Duration) {
        if self.is_unresponsive(now, limit) {
            self.closed_as_unresponsive.set(true);
            self.close();
        }
    }

    /// Asks the task that serves the connection to close it.
    pub fn close(&self) {
        self.closed.set(true);
        self.changed.notify(usize::MAX);
    }

    /// Queues a frame and wakes the writer.
    pub fn push(&self, frame: OutgoingFrame) {
        self.queue.borrow_mut().push_back(frame);
        self.changed.notify(usize::MAX);
    }

    /// Handles a malformed answer: it counts as an error of the attempt that it names, or of the oldest one
    /// if it names none. The connection ends, and the other attempts in flight are lost. A malformed answer,
    /// which any data node may send, must neither be taken for a crash of its process nor leave the other
    /// attempts waiting.
    ///
    /// With `no_concurrent_attempts`, only the named attempt has ended. The others may still run at the data
    /// node and end at their own deadline.
    pub fn fail_after_malformed_answer(&self, id: Option<&str>, no_concurrent_attempts: bool) {
        let mut in_flight = self.in_flight.borrow_mut();
        let being_written = self.being_written.borrow();
        in_flight.retain(|attempt| !contains(&being_written, attempt));
        let named = id.and_then(|id| in_flight.iter().position(|attempt| attempt.id == id));
        let failed = named.or((!no_concurrent_attempts).then_some(0)).filter(|n| *n < in_flight.len());
        let failed = failed.map(|n| in_flight.remove(n));
        let lost = std::mem::take(&mut *in_flight);
        send_outcome(failed.as_slice(), Outcome::Error);
        if !no_concurrent_attempts {
            send_outcome(&lost, Outcome::ConnectionLost);
        }
    }

    /// Ends the connection and returns its unfinished attempts. Nothing is queued or in flight afterwards,
    /// and pending probes fail.
    pub fn terminate(&self) -> UnfinishedAttempts {
        self.closed.set(true);
        self.probes.borrow_mut().clear();
        let mut unwritten = self.being_written.take();
        self.in_flight.borrow_mut().retain(|attempt| !contains(&unwritten, attempt));
        unwritten.extend(self.queue.take().into_iter().filter_map(|frame| match frame {
            OutgoingFrame::Attempt(attempt) => Some(attempt),
            _ => None,
        }));
        UnfinishedAttempts { unwritten, in_flight: self.in_flight.take() }
    }

    /// Abandons an attempt whose caller no longer waits for it. An attempt that has not been written is not
    /// sent; for a written one, the data node is notified if `cancel` is set.
    ///
    /// If no attempt of the frame that is being written is wanted any more, the connection is closed.
    /// Otherwise the last byte, which is what makes an attempt count as sent, could follow after the end of
    /// its query as soon as the data node reads on. A connection to a data node that never reads would also
    /// stay open, since nothing else closes it.
    pub fn abandon(&self, attempt: &Rc<QueuedAttempt>, cancel: bool) {
        self.queue.borrow_mut().retain(|frame| !frame.carries(attempt));
        if !remove(&mut self.in_flight.borrow_mut(), attempt) {
            return;
        }
        let was_being_written = remove(&mut self.being_written.borrow_mut(), attempt);
        if was_being_written && self.being_written.borrow().is_empty() {
            // The other attempts in flight may have run; the close says nothing about the process of the
            // data node.
            self.closed_as_unresponsive.set(true);
            self.close();
            return;
        }
        self.remember_abandoned(attempt.clone());
        if cancel && !self.closed.get() {
            self.push(OutgoingFrame::Cancel(attempt.id.clone()));
        }
    }

    /// Remembers an abandoned attempt so that its answer is recognized. Attempts that occupy a stream are
    /// bounded by the number of streams and never forgotten; otherwise a healthy connection with many
    /// streams would take answers to its own attempts for malformed ones. If there are too many expired
    /// attempts, the oldest is forgotten.
    fn remember_abandoned(&self, attempt: Rc<QueuedAttempt>) {
        let now = Instant::now();
        let is_expired = |attempt: &Rc<QueuedAttempt>| !attempt.occupies_stream(now);
        let mut abandoned = self.abandoned.borrow_mut();
        if abandoned.iter().filter(|attempt| is_expired(attempt)).count() >= MAX_EXPIRED_ABANDONED {
            if let Some(oldest) = abandoned.iter().position(is_expired) {
                abandoned.remove(oldest);
            }
        }
        abandoned.push_back(attempt);
    }

    /// Removes and returns the attempt that an answer with this id belongs to.
    ///
    /// All attempts of a part share its id. An answer without a value ends the attempt that was abandoned
    /// first; otherwise the end of that attempt would be taken for the end of the later one, which is still
    /// running.
    pub fn take_answered(&self, id: &str, has_value: bool) -> AnsweredAttempt {
        let is_named = |attempt: &Rc<QueuedAttempt>| attempt.id == id;
        let mut in_flight = self.in_flight.borrow_mut();
        let mut abandoned = self.abandoned.borrow_mut();
        let abandoned_at = abandoned.iter().position(is_named);
        let in_flight_at = in_flight.iter().position(is_named);
        match (in_flight_at, abandoned_at) {
            (Some(n), None) => AnsweredAttempt::InFlight(in_flight.remove(n)),
            (Some(n), Some(_)) if has_value => AnsweredAttempt::InFlight(in_flight.remove(n)),
            (_, Some(n)) => {
                abandoned.remove(n);
                AnsweredAttempt::Abandoned
            }
            (None, None) => AnsweredAttempt::Unknown,
        }
    }

    /// Waits until `condition` holds. The condition is checked after each change notification. Cancel safe.
    pub async fn wait_until(&self, condition: impl Fn() -> bool) {
        while !condition() {
            let listener = self.changed.listen();
            if !condition() {
                listener.await;
            }
        }
    }
}

/// Returns the position of the first frame that may be written. No attempt may be written if all streams are
/// occupied, and only cancellations if `may_send` is unset.
pub fn first_writable(queue: &VecDeque<OutgoingFrame>, streams_full: bool, may_send: bool) -> Option<usize> {
    queue.iter().position(|frame| match frame {
        OutgoingFrame::Attempt(_) => may_send && !streams_full,
        OutgoingFrame::Probe(..) => may_send,
        OutgoingFrame::Cancel(_) => true,
    })
}

/// Sends an outcome to the callers of attempts. It is dropped for an attempt whose caller has stopped
/// waiting.
pub fn send_outcome(attempts: &[Rc<QueuedAttempt>], outcome: Outcome) {
    for attempt in attempts {
        let _ = attempt.result.sender.try_send(outcome.into());
    }
}

fn contains(attempts: &[Rc<QueuedAttempt>], attempt: &Rc<QueuedAttempt>) -> bool {
    attempts.iter().any(|other| Rc::ptr_eq(other, attempt))
}

/// Removes an attempt and returns whether it was present.
fn remove(attempts: &mut Vec<Rc<QueuedAttempt>>, attempt: &Rc<QueuedAttempt>) -> bool {
    let position = attempts.iter().position(|other| Rc::ptr_eq(other, attempt));
    position.map(|n| attempts.remove(n)).is_some()
}
