//! Writing side of a connection: selects the next frame, checks its attempts a last time, and writes it.
//!
//! Invariants: an attempt is written only with a [`SendPermit`] obtained right before the write. The last
//! byte of a frame is written by the earliest deadline of its permits, or the connection ends. Attempts are
//! in flight from the first byte of their frame on, and cannot have run before its last byte.
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

/// Fraction of the idle timeout of data nodes after which this side closes an idle connection. If
/// the data node closed it first, a request that crosses the close would end in a reset.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;
/// Interval between checks for a free stream or a valid endpoint list while attempts wait for one: streams of
/// abandoned attempts become free by the passage of time.
const STREAM_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time subtracted from the timeout of an attempt if no concurrent attempt of its part is allowed. The data
/// node counts the timeout from the arrival of the attempt, after the transit and, on a new connection, the
/// handshake. The protocol allows this much for each of them.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(50);
/// Capacity of the write buffer that a connection retains between frames, in bytes.
const MAX_RETAINED_BYTES: usize = 4 * 1024;

/// Contents of the next frame. There is no frame if no bytes were produced.
#[derive(Default)]
struct NextFrame {
    attempts: Vec<Rc<QueuedAttempt>>,
    probe: Option<ProbeReply>,
}

impl NextFrame {
    /// Returns the time by which the last byte of the frame must be written.
    fn write_deadline(&self) -> Instant {
        let permits = self.attempts.iter().filter_map(|attempt| attempt.permit.get());
        permits
            .map(|permit| permit.write_deadline())
            .min()
            .unwrap_or_else(|| Instant::now() + MAX_FRAME_WRITE_TIME)
    }
}

impl DataNodes {
    /// Writes queued frames. Returns if a frame cannot be written completely, which leaves its attempts
    /// marked as being written, or if the connection has been idle for too long.
    pub(super) async fn write(&self, replica: ReplicaId, connection: &Connection, stream: &mut &Stream) {
        let mut bytes = Vec::new();
        while self.wait_for_writable(connection).await {
            // A frame that waited for the socket after its check could start too late.
            let accepts_bytes = timeout_at(Instant::now() + MAX_FRAME_WRITE_TIME, stream.wait_writable());
            if accepts_bytes.await.is_none() {
                return self.record_stalled_frame(replica, connection);
            }
            let mut frame = self.next_frame(replica, connection, &mut bytes);
            // If everything queued was cancelled, the connection has stayed idle from the data node's point
            // of view.
            if !bytes.is_empty() {
                connection.last_used.set(Instant::now());
            }
            connection.probes.borrow_mut().extend(frame.probe.take());
            // Attempts are in flight from the first byte on, so that the connection accounts for all of
            // them.
            connection.in_flight.borrow_mut().extend(frame.attempts.iter().cloned());
            connection.being_written.borrow_mut().extend(frame.attempts.iter().cloned());
            if !frame.attempts.is_empty() && connection.silent_since.get().is_none() {
                connection.silent_since.set(Some(Instant::now()));
            }
            // The write fails only before its last byte is accepted; once it succeeds, the frame is written
            // completely.
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
            // A connection may be idle for long after a large frame.
            bytes.clear();
            bytes.shrink_to(MAX_RETAINED_BYTES);
        }
    }

    /// Waits until a queued frame may be written. Returns `false` if the connection is to be closed because
    /// it is idle.
    async fn wait_for_writable(&self, connection: &Connection) -> bool {
        let idle_timeout = self.deployment.connections.idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION);
        let max_streams = self.deployment.connections.max_streams;
        loop {
            let is_blocked = !connection.queue.borrow().is_empty();
            let deadline = if is_blocked {
                Instant::now() + STREAM_POLL_INTERVAL
            } else {
                connection.last_used.get() + idle_timeout
            };
            let has_writable =
                || connection.next_writable(max_streams, self.may_send(Instant::now())).is_some();
            if timeout_at(deadline, connection.wait_until(has_writable)).await.is_some() {
                return true;
            }
            self.end_unsendable(connection);
            let unused = connection.last_used.get() + idle_timeout <= Instant::now();
            if unused && connection.is_idle() {
                return false;
            }
            // The connection is silent, but an attempt is still in flight on it.
            if unused {
                connection.last_used.set(Instant::now());
            }
        }
    }

    /// Handles a data node that does not read on. Completing the frame later would send an outdated deadline
    /// or an attempt that nobody waits for. Attempts in flight on the connection may have run, and the data
    /// node may be healthy.
    fn record_stalled_frame(&self, replica: ReplicaId, connection: &Connection) {
        invariants::record_stalled_frame();
        if let Some(suppressed) = self.log_limiter.permit() {
            let unfinished = connection.being_written.borrow().first().map(|attempt| attempt.id.clone());
            info!(self.log, "a data node does not read"; "replica" => replica.0, "unfinished" => unfinished,
                "in_flight" => connection.in_flight.borrow().len(), "suppressed" => suppressed);
        }
        connection.closed_as_unresponsive.set(true);
    }

    /// Takes the next frame off the queue and appends it to `bytes`, which must be empty.
    ///
    /// This is the last check of the replica, of the endpoint list, and of whether an attempt is still wanted. An attempt is not
    /// sent if its data node began to drain, was removed or restarted while the attempt was queued or
    /// waiting for a connection, or if its part has ended, was cancelled or is past its deadline.
    fn next_frame(&self, replica: ReplicaId, connection: &Connection, bytes: &mut Vec<u8>) -> NextFrame {
        let nodes = self.nodes.borrow();
        let node = nodes.get(&replica).filter(|node| node.state == EndpointState::Ready);
        let mut queue = connection.queue.borrow_mut();
        let now = Instant::now();
        let occupied = connection.occupied_streams(now);
        let max_attempts = self.deployment.settings.max_parts_per_call.max(1) as usize;
        let mut attempts = Vec::new();
        let may_send = self.may_send(now);
        let start = frames::begin_frame(bytes, b'q');
        while attempts.len() < max_attempts {
            // The attempts of this frame occupy streams as well.
            let full = occupied + attempts.len() >= self.deployment.connections.max_streams;
            let Some(next) = first_writable(&queue, full, may_send) else { break };
            // Attempts that are already batched are sent before a frame of another kind.
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
                // Dropping the channel tells the prober that the probe failed.
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

    /// Returns the permit for writing an attempt now, or `None` if it may not be written. In that case its
    /// outcome is sent here, unless the attempt has one already.
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
            endpoint_list_valid: self.may_send(now),
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
                // For the other reasons the attempt has ended or its caller is about to end it.
                if !matches!(denied, SendDenied::Cancelled | SendDenied::DeadlineExceeded) {
                    let _ = attempt.result.sender.try_send(Outcome::NeverSent.into());
                }
                None
            }
        }
    }
}

/// Appends the header line and the statement of an attempt.
fn append_attempt(bytes: &mut Vec<u8>, attempt: &QueuedAttempt, permit: SendPermit) {
    let QueuedAttempt { id, shard, attributes, context, .. } = attempt;
    let timeout_ms = permit.timeout_ms();
    let statement = &context.statement;
    let header = format!("{id} {} d={timeout_ms}{attributes} {}\n", shard.0, statement.len());
    bytes.extend_from_slice(header.as_bytes());
    bytes.extend_from_slice(statement);
}

/// Replaces the frame begun at `start` by a complete frame.
fn replace_frame(bytes: &mut Vec<u8>, start: usize, letter: u8, body: &[u8]) {
    bytes.truncate(start);
    let start = frames::begin_frame(bytes, letter);
    bytes.extend_from_slice(body);
    frames::finish_frame(bytes, start);
}
