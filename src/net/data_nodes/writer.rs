//! The writing side of a connection: which frame is next, the last look at its attempts, and the write
//! itself.
//!
//! Invariants: an attempt is written only with a [`Permit`] taken right before the write; a frame's last byte
//! is written by the earliest time that its permits name, or the connection ends; attempts are in flight from
//! their first byte on, and have not run before their last one.
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::AsyncWriteExt;
use slog::{debug, info};

use super::connection::{first_writable, Connection, OutgoingFrame, ProbeReply, QueuedAttempt};
use super::{frames, DataNode, DataNodes};
use crate::balancer::interface::{EndpointState, Outcome, ReplicaId};
use crate::net::invariants;
use crate::net::socket::Stream;
use crate::net::timeout_at;
use crate::send_policy::{SendConditions, SendDenied, SendPermit, MAX_FRAME_WRITE_TIME};

/// Share of the time after which a data node closes an idle connection; we do so then. A request that crosses
/// its close would end as a reset.
const IDLE_SHARE: f64 = 0.8;
/// Time between looks for a free stream where attempts wait for one: those of abandoned attempts are freed by
/// time.
const STREAM_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// By how much less time an attempt is given where no second one may run beside it: its data node counts from
/// the attempt's arrival, after the transit and a new connection's handshake. The rules on sockets allow each
/// as much.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(50);
/// Capacity of the write buffer that a connection keeps between frames, in bytes.
const MAX_RETAINED_BYTES: usize = 16 * 1024;

/// What the bytes of a frame stand for; no bytes, no frame.
#[derive(Default)]
struct NextFrame {
    attempts: Vec<Rc<QueuedAttempt>>,
    probe: Option<ProbeReply>,
}

impl NextFrame {
    /// By when its last byte has to be written.
    fn write_deadline(&self) -> Instant {
        let permits = self.attempts.iter().filter_map(|attempt| attempt.permit.get());
        permits
            .map(|permit| permit.write_deadline())
            .min()
            .unwrap_or_else(|| Instant::now() + MAX_FRAME_WRITE_TIME)
    }
}

impl DataNodes {
    /// Write what is queued. Ends where a frame cannot be written completely, which leaves its attempts
    /// marked as being written, or where the connection has been idle for too long.
    pub(super) async fn write(&self, replica: ReplicaId, connection: &Connection, stream: &mut &Stream) {
        let mut bytes = Vec::new();
        while self.wait_for_writable(connection).await {
            bytes.clear();
            bytes.shrink_to(MAX_RETAINED_BYTES);
            let mut frame = self.next_frame(replica, connection, &mut bytes);
            // All that was queued may have been cancelled: to the data node the connection has stayed idle.
            if !bytes.is_empty() {
                connection.last_used.set(Instant::now());
            }
            connection.probes.borrow_mut().extend(frame.probe.take());
            // In flight from the first byte on, so that none is left out of what the connection holds.
            connection.in_flight.borrow_mut().extend(frame.attempts.iter().cloned());
            connection.being_written.borrow_mut().extend(frame.attempts.iter().cloned());
            if !frame.attempts.is_empty() && connection.silent_since.get().is_none() {
                connection.silent_since.set(Some(Instant::now()));
            }
            // An error comes only in place of the last byte: once that is accepted, all is written.
            match timeout_at(frame.write_deadline(), stream.write_all(&bytes)).await {
                Some(Ok(())) => {}
                Some(Err(_)) => return,
                None => return self.record_stalled_frame(replica, connection),
            }
            let written_at = Instant::now();
            for permit in frame.attempts.iter().filter_map(|attempt| attempt.permit.get()) {
                invariants::check_invariant(permit.check_written(written_at));
            }
            connection.being_written.borrow_mut().clear();
        }
    }

    /// Wait until something queued may be written; `false` if the connection is to end because it is idle.
    async fn wait_for_writable(&self, connection: &Connection) -> bool {
        let idle_timeout = self.deployment.connections.idle_timeout.mul_f64(IDLE_SHARE);
        let max_streams = self.deployment.connections.max_streams;
        loop {
            let waits_for_stream = !connection.queue.borrow().is_empty();
            let deadline = if waits_for_stream {
                Instant::now() + STREAM_POLL_INTERVAL
            } else {
                connection.last_used.get() + idle_timeout
            };
            let writable = connection.wait_until(|| connection.next_writable(max_streams).is_some());
            if timeout_at(deadline, writable).await.is_some() {
                return true;
            }
            let unused = connection.last_used.get() + idle_timeout <= Instant::now();
            if unused && connection.is_idle() {
                return false;
            }
            // Silent, but something is still in flight on it.
            if unused {
                connection.last_used.set(Instant::now());
            }
        }
    }

    /// The data node does not read on: the frame would be completed with an outdated deadline, or for nobody.
    /// What is in flight on the connection may have run, and the data node may be sound.
    fn record_stalled_frame(&self, replica: ReplicaId, connection: &Connection) {
        invariants::record_stalled_frame();
        if let Some(suppressed) = self.log_limiter.permit() {
            let unfinished = connection.being_written.borrow().first().map(|attempt| attempt.id.clone());
            info!(self.log, "a data node does not read"; "replica" => replica.0, "unfinished" => unfinished,
                "in_flight" => connection.in_flight.borrow().len(), "suppressed" => suppressed);
        }
        connection.closed_as_unresponsive.set(true);
    }

    /// Take the next frame off the queue and append it to `bytes`, which are empty.
    ///
    /// This is the last look at where an attempt goes and whether it is still wanted. Prevents a send that
    /// was queued, or waited for a connect, when its data node began to drain, was removed or restarted, and
    /// one whose part has ended, was cancelled, or is past its deadline.
    fn next_frame(&self, replica: ReplicaId, connection: &Connection, bytes: &mut Vec<u8>) -> NextFrame {
        let nodes = self.nodes.borrow();
        let node = nodes.get(&replica).filter(|node| node.state == EndpointState::Ready);
        let mut queue = connection.queue.borrow_mut();
        let now = Instant::now();
        let occupied = connection.occupied_streams(now);
        let max_attempts = self.deployment.settings.max_parts_per_call.max(1) as usize;
        let mut attempts = Vec::new();
        let start = frames::begin_frame(bytes, b'q');
        while attempts.len() < max_attempts {
            // The frame's own attempts occupy streams too.
            let full = occupied + attempts.len() >= self.deployment.connections.max_streams;
            let Some(next) = first_writable(&queue, full) else { break };
            // Attempts that have been put together go out before anything of another kind.
            if !attempts.is_empty() && !queue[next].is_attempt() {
                break;
            }
            let Some(frame) = queue.remove(next) else { break };
            match frame {
                OutgoingFrame::Attempt(attempt) => {
                    if let Some(permit) = self.permit(replica, node, &attempt, now) {
                        append_attempt(bytes, &attempt, permit);
                        attempts.push(attempt);
                    }
                }
                OutgoingFrame::Cancel(id) => {
                    replace_frame(bytes, start, b'c', id.as_bytes());
                    return NextFrame::default();
                }
                OutgoingFrame::Probe(letter, reply) if node.is_some() => {
                    replace_frame(bytes, start, letter, &[]);
                    return NextFrame { attempts, probe: Some(reply) };
                }
                // Its prober learns that it failed by the drop.
                OutgoingFrame::Probe(..) => {}
            }
        }
        if attempts.is_empty() {
            bytes.clear();
        } else {
            frames::finish_frame(bytes, start);
        }
        NextFrame { attempts, probe: None }
    }

    /// Whether an attempt may be written now. One that may not gets its outcome here, if it has none yet.
    fn permit(
        &self,
        replica: ReplicaId,
        node: Option<&DataNode>,
        attempt: &QueuedAttempt,
        now: Instant,
    ) -> Option<SendPermit> {
        let transit = if self.no_concurrent_attempts() { TRANSIT_ALLOWANCE } else { Duration::ZERO };
        let conditions = SendConditions {
            now,
            deadline: attempt.deadline,
            transit_time: transit,
            cancelled: attempt.cancellation.is_cancelled(),
            replica_ready: node.is_some_and(|node| node.incarnation == attempt.incarnation),
            retry_window_closed: attempt.cancellation.is_past_retry_window(now),
        };
        match conditions.permit() {
            Ok(permit) => {
                attempt.permit.set(Some(permit));
                Some(permit)
            }
            Err(denied) => {
                invariants::record_denial(denied);
                debug!(self.log, "not sent"; "id" => &attempt.id, "replica" => replica.0, "why" => ?denied);
                // Otherwise the attempt has ended, or its caller is about to end it.
                if matches!(denied, SendDenied::ReplicaNotReady | SendDenied::RetryWindowClosed) {
                    let _ = attempt.result.sender.try_send(Outcome::NeverSent.into());
                }
                None
            }
        }
    }
}

/// Append an attempt's header line and statement.
fn append_attempt(bytes: &mut Vec<u8>, attempt: &QueuedAttempt, permit: SendPermit) {
    let QueuedAttempt { id, shard, attributes, context, .. } = attempt;
    let timeout_ms = permit.timeout_ms();
    let statement = &context.statement;
    let header = format!("{id} {} d={timeout_ms}{attributes} {}\n", shard.0, statement.len());
    bytes.extend_from_slice(header.as_bytes());
    bytes.extend_from_slice(statement);
}

/// Put a complete frame in place of the one that was begun at `start`.
fn replace_frame(bytes: &mut Vec<u8>, start: usize, letter: u8, body: &[u8]) {
    bytes.truncate(start);
    let start = frames::begin_frame(bytes, letter);
    bytes.extend_from_slice(body);
    frames::finish_frame(bytes, start);
}
