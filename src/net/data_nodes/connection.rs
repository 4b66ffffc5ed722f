//! One connection to a data node: what is queued, what is in flight on it, and how its attempts end.
//!
//! Owns the bookkeeping of a single connection and its change notification. Never touches a socket;
//! `exchange` and the modules beside it drive it.
//!
//! Invariants: an attempt stands in at most one of `queue`, `in_flight` and `abandoned`; what stands in
//! `being_written` also stands in `in_flight`; no connection gets the id of another one.
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

/// For how long past its deadline an abandoned attempt may still occupy its stream.
const ABANDONED_GRACE: Duration = Duration::from_secs(1);
/// Expired abandoned attempts that a connection remembers beyond those that still occupy a stream, so that
/// their answers are recognized when they come very late.
const MAX_EXPIRED_ABANDONED: usize = 64;

/// Where the answer to a probe goes: whether the data node answered, and its load report.
pub type ProbeReply = Sender<(bool, Option<LoadReport>)>;

/// The channel, of capacity one, on which an attempt's single result is handed to its caller.
pub struct ResultChannel {
    /// Held by the connection. A second result finds the channel full or closed and is dropped.
    pub sender: Sender<AttemptResult>,
    /// Held by the caller.
    pub receiver: Receiver<AttemptResult>,
}

impl ResultChannel {
    /// An empty channel.
    pub fn new() -> ResultChannel {
        let (sender, receiver) = async_channel::bounded(1);
        ResultChannel { sender, receiver }
    }
}

/// An attempt of a part, from when it is queued on a connection until it ends.
pub struct QueuedAttempt {
    /// Identity on the wire; all attempts of a part share it.
    pub id: String,
    /// The shard that it reads.
    pub shard: ShardId,
    /// What its attribute list holds beside the deadline; empty or beginning with a comma.
    pub attributes: String,
    /// What all attempts of its query share.
    pub context: Rc<RequestContext>,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// The incarnation of the data node that it was meant for.
    pub incarnation: u64,
    /// Whether its caller still wants it.
    pub cancellation: CancellationToken,
    /// Where its result goes.
    pub result: ResultChannel,
    /// What allowed it to be written; `None` until then.
    pub permit: Cell<Option<SendPermit>>,
}

impl QueuedAttempt {
    /// Whether it still occupies its stream once it is abandoned.
    fn occupies_stream(&self, now: Instant) -> bool {
        self.deadline + ABANDONED_GRACE > now
    }
}

/// What is queued to be written.
pub enum OutgoingFrame {
    /// An attempt; several may share a frame.
    Attempt(Rc<QueuedAttempt>),
    /// The cancellation of the attempt of that id.
    Cancel(String),
    /// A health check: the type letter of its frame, and where the answer goes.
    Probe(u8, ProbeReply),
}

impl OutgoingFrame {
    /// Whether it needs a stream.
    pub fn is_attempt(&self) -> bool {
        matches!(self, OutgoingFrame::Attempt(_))
    }

    fn carries(&self, attempt: &Rc<QueuedAttempt>) -> bool {
        matches!(self, OutgoingFrame::Attempt(other) if Rc::ptr_eq(other, attempt))
    }
}

/// The attempts that a connection had when it ended.
pub struct UnfinishedAttempts {
    /// Not written to the last byte: they never ran.
    pub unwritten: Vec<Rc<QueuedAttempt>>,
    /// Written and not answered: they may have run.
    pub in_flight: Vec<Rc<QueuedAttempt>>,
}

/// Whose answer came.
pub enum AnsweredAttempt {
    /// That of an attempt whose caller waits; it is no longer in flight.
    InFlight(Rc<QueuedAttempt>),
    /// That of an abandoned attempt, as is usual after a cancellation.
    Abandoned,
    /// Nobody's.
    Unknown,
}

/// The state of one connection. See the module's invariants.
pub struct Connection {
    /// Identity within the process.
    pub id: u64,
    /// Frames that wait to be written, in order.
    pub queue: RefCell<VecDeque<OutgoingFrame>>,
    /// Attempts that are written, or being written, and not answered; oldest first.
    pub in_flight: RefCell<Vec<Rc<QueuedAttempt>>>,
    /// Those in flight whose frame is being written: until the system has its last byte they cannot run.
    pub being_written: RefCell<Vec<Rc<QueuedAttempt>>>,
    /// Written, then given up by their caller: an answer may still come.
    pub abandoned: RefCell<VecDeque<Rc<QueuedAttempt>>>,
    /// Probes that are written and not answered; oldest first.
    pub probes: RefCell<VecDeque<ProbeReply>>,
    /// Notified whenever something here changed that a task may wait for.
    pub changed: ChangeNotification,
    /// The connection has come up.
    pub established: Cell<bool>,
    /// It is to end, or has ended.
    pub closed: Cell<bool>,
    /// This machine failed to bring it up at least once: that it is not up says nothing about its data node.
    pub local_failure: Cell<bool>,
    /// Since when it owes an answer and has brought none.
    pub silent_since: Cell<Option<Instant>>,
    /// Closed because it made no progress: its data node may be sound.
    pub closed_as_unresponsive: Cell<bool>,
    /// When something was last written to it or read from it.
    pub last_used: Cell<Instant>,
    /// Its descriptor still counts against the budget.
    pub holds_descriptor: Cell<bool>,
}

impl Connection {
    /// A connection that is not up yet and holds a descriptor.
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

    /// Attempts that occupy a stream or wait for one.
    pub fn load(&self) -> usize {
        let queued = self.queue.borrow().iter().filter(|frame| frame.is_attempt()).count();
        queued + self.occupied_streams(Instant::now())
    }

    /// Attempts that occupy a stream. Abandoned ones do too, until they are answered or well past their
    /// deadline: the data node goes on with them, and a slow one answers late.
    pub fn occupied_streams(&self, now: Instant) -> usize {
        let abandoned = self.abandoned.borrow();
        let running = abandoned.iter().filter(|attempt| attempt.occupies_stream(now)).count();
        self.in_flight.borrow().len() + running
    }

    /// Position in the queue of the first frame that may be written: an attempt only where a stream is free.
    /// Prevents attempts that wait unread at the data node, out of reach, and are read after their query's
    /// final answer.
    pub fn next_writable(&self, max_streams: usize) -> Option<usize> {
        let full = self.occupied_streams(Instant::now()) >= max_streams;
        first_writable(&self.queue.borrow(), full)
    }

    /// Whether it is up, with nothing queued and nothing in flight.
    pub fn is_idle(&self) -> bool {
        self.established.get() && self.queue.borrow().is_empty() && self.in_flight.borrow().is_empty()
    }

    /// Whether it has owed an answer for `limit` and brought none.
    pub fn is_unresponsive(&self, now: Instant, limit: Duration) -> bool {
        self.silent_since.get().is_some_and(|since| now >= since + limit)
    }

    /// Close it if it has been unresponsive for `limit`. Prevents use of connections that stay open and carry
    /// nothing any more, without a reset that would show it: whatever is written there is lost until its
    /// deadline.
    pub fn close_if_unresponsive(&self, now: Instant, limit: Duration) {
        if self.is_unresponsive(now, limit) {
            self.closed_as_unresponsive.set(true);
            self.close();
        }
    }

    /// Ask the task that serves it to end it.
    pub fn close(&self) {
        self.closed.set(true);
        self.changed.notify(usize::MAX);
    }

    /// Queue a frame and wake the task that writes.
    pub fn push(&self, frame: OutgoingFrame) {
        self.queue.borrow_mut().push_back(frame);
        self.changed.notify(usize::MAX);
    }

    /// An unusable answer came: an error of the attempt that it names, or of the oldest one if it names none.
    /// The connection ends with it, and the other attempts in flight are lost. Prevents taking a malformed
    /// answer, which any data node may send, for the death of its process, and waiting for the others.
    ///
    /// With `no_concurrent_attempts` only the named attempt has ended: the others may still run at the data
    /// node, and end at their own deadline.
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

    /// End it: nothing is queued or in flight afterwards, and probes fail. Returns the attempts that it had.
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

    /// The caller no longer waits for this attempt. Unwritten, it is not sent; written, the data node is
    /// notified if `cancel` says so.
    ///
    /// Where nobody waits for any attempt of the frame that is being written, the connection is closed.
    /// Prevents a last byte, with which an attempt begins to count, that would follow its query's end as soon
    /// as the data node reads on, and a connection to one that never does, which nothing else would close.
    pub fn abandon(&self, attempt: &Rc<QueuedAttempt>, cancel: bool) {
        self.queue.borrow_mut().retain(|frame| !frame.carries(attempt));
        if !remove(&mut self.in_flight.borrow_mut(), attempt) {
            return;
        }
        let was_being_written = remove(&mut self.being_written.borrow_mut(), attempt);
        if was_being_written && self.being_written.borrow().is_empty() {
            // What else is in flight here may have run; the close says nothing about the data node's process.
            self.closed_as_unresponsive.set(true);
            self.close();
            return;
        }
        self.remember_abandoned(attempt.clone());
        if cancel && !self.closed.get() {
            self.push(OutgoingFrame::Cancel(attempt.id.clone()));
        }
    }

    /// Those that occupy a stream are bounded by the streams, and never forgotten: prevents a sound
    /// connection of many streams from taking its own answers for malformed ones. Of the expired ones the
    /// oldest makes room.
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

    /// Take out the attempt that an answer with this id is for.
    ///
    /// Attempts of a part share its id: an answer without a value ends the one that was abandoned first.
    /// Prevents taking its end for that of the later one, which goes on.
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

    /// Wait until `condition` holds; it is looked at after each change notification. Cancel safe.
    pub async fn wait_until(&self, condition: impl Fn() -> bool) {
        while !condition() {
            let listener = self.changed.listen();
            if !condition() {
                listener.await;
            }
        }
    }
}

/// Position of the first frame that may be written; where all streams are occupied, no attempt may.
pub fn first_writable(queue: &VecDeque<OutgoingFrame>, streams_full: bool) -> Option<usize> {
    queue.iter().position(|frame| !streams_full || !frame.is_attempt())
}

/// Hand attempts their outcome; one whose caller has left drops it.
pub fn send_outcome(attempts: &[Rc<QueuedAttempt>], outcome: Outcome) {
    for attempt in attempts {
        let _ = attempt.result.sender.try_send(outcome.into());
    }
}

fn contains(attempts: &[Rc<QueuedAttempt>], attempt: &Rc<QueuedAttempt>) -> bool {
    attempts.iter().any(|other| Rc::ptr_eq(other, attempt))
}

/// Remove an attempt; whether it was there.
fn remove(attempts: &mut Vec<Rc<QueuedAttempt>>, attempt: &Rc<QueuedAttempt>) -> bool {
    let position = attempts.iter().position(|other| Rc::ptr_eq(other, attempt));
    position.map(|n| attempts.remove(n)).is_some()
}
