//! Reading side of a connection: receives frames and delivers each to its caller.
//!
//! Invariant: a frame that is malformed or was not requested ends the connection.
use std::fmt::Display;
use std::io;
use std::time::{Duration, Instant};

use async_io::Timer;
use slog::warn;

use super::connection::{AnsweredAttempt, Connection, QueuedAttempt};
use super::frames::{self, AnswerStatus, Frame};
use super::DataNodes;
use crate::balancer::interface::{LoadReport, Outcome, ReplicaId};
use crate::config::settings;
use crate::coordinator::{AttemptResult, ScoredValue};
use crate::net::buffer::Buffer;
use crate::net::socket::Stream;
use crate::net::timeout_at;

/// Time limit for receiving a frame, from its first byte on.
const FRAME_READ_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval between two attempts to get memory for the rest of a frame.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Time without an answer, while answers are pending, after which a connection is closed if another
/// connection to the same data node answers.
const CLOSE_BESIDE_RESPONSIVE_AFTER: Duration = Duration::from_millis(400);

impl DataNodes {
    /// Reads answers until the connection ends or delivers an invalid frame.
    pub(super) async fn read(&self, replica: ReplicaId, connection: &Connection, stream: &mut &Stream) {
        let mut buffer = Buffer::with_lease(self.memory.lease());
        let mut frame_started = Instant::now();
        loop {
            if buffer.unread().is_empty() {
                match buffer.fill(stream).await {
                    Ok(n) if n > 0 => frame_started = Instant::now(),
                    _ => return,
                }
            }
            let frame_bytes = match frames::parse(buffer.unread()) {
                Ok(Some((Frame::Error { message }, _))) => {
                    self.log_rejected_frame(message);
                    return;
                }
                Ok(Some((frame, length))) => {
                    if !self.deliver(replica, connection, frame) {
                        self.fail_invalid_frame(connection, "unexpected answer", &[]);
                        return;
                    }
                    length
                }
                // The time limit prevents waiting for a frame that never reaches its stated length.
                Ok(None) => {
                    let deadline = frame_started + FRAME_READ_TIMEOUT;
                    match timeout_at(deadline, fill_with_room(&mut buffer, stream)).await {
                        Some(Ok(n)) if n > 0 => continue,
                        Some(_) => return,
                        None => {
                            self.fail_invalid_frame(connection, "incomplete frame", buffer.unread());
                            return;
                        }
                    }
                }
                Err(e) => {
                    self.fail_invalid_frame(connection, e, buffer.unread());
                    return;
                }
            };
            frame_started = Instant::now();
            buffer.consume(frame_bytes);
        }
    }

    fn log_rejected_frame(&self, message: &str) {
        if let Some(suppressed) = self.log_limiter.permit() {
            warn!(self.log, "data node rejected a frame"; "message" => message,
                "suppressed" => suppressed);
        }
    }

    /// Handles an invalid frame, after which the connection cannot be read any further. If it follows a valid
    /// answer and nothing is in flight, only the connection is lost.
    fn fail_invalid_frame(&self, connection: &Connection, error: impl Display, bytes: &[u8]) {
        if let Some(suppressed) = self.log_limiter.permit() {
            warn!(self.log, "malformed or unexpected frame from a data node; closing the connection";
                "error" => %error, "suppressed" => suppressed,
                "in_flight" => connection.in_flight.borrow().len());
        }
        let id = frames::malformed_answer_id(bytes);
        connection.fail_after_malformed_answer(id, self.no_concurrent_attempts());
    }

    /// Delivers a frame to its caller. An answer to an abandoned attempt is normal and has no caller. Any
    /// other unexpected frame is malformed or a duplicate; the method returns `false` for it.
    fn deliver(&self, replica: ReplicaId, connection: &Connection, frame: Frame<'_>) -> bool {
        let now = Instant::now();
        connection.last_used.set(now);
        self.close_unresponsive_siblings(replica, connection, now);
        match frame {
            Frame::Answer { id, status, score, report, value } => {
                let attempt = match connection.take_answered(id, status == AnswerStatus::Served) {
                    AnsweredAttempt::Unknown => return false,
                    AnsweredAttempt::InFlight(attempt) => Some(attempt),
                    AnsweredAttempt::Abandoned => None,
                };
                record_answer(connection, now);
                if let Some(attempt) = attempt {
                    let outcome = answer_outcome(status, &attempt, connection);
                    // The value is copied, since it outlives the buffer until its query is answered.
                    let value =
                        (status == AnswerStatus::Served).then(|| ScoredValue { value: value.into(), score });
                    let result = AttemptResult { outcome, value, report: self.load_report(report) };
                    let _ = attempt.result.sender.try_send(result);
                }
                true
            }
            Frame::Probe { served } => answer_probe(connection, served, None),
            Frame::Load { report } => {
                let load_report = report.and_then(|report| self.load_report(report));
                answer_probe(connection, report.is_some(), load_report)
            }
            Frame::Error { .. } => true,
        }
    }

    /// Closes other connections to the same data node that do not answer. Since this connection answers, the
    /// fault lies with those connections and not with the data node.
    fn close_unresponsive_siblings(&self, replica: ReplicaId, connection: &Connection, now: Instant) {
        let nodes = self.nodes.borrow();
        let Some(node) = nodes.get(&replica) else { return };
        for sibling in node.connections.iter().filter(|other| other.id != connection.id) {
            sibling.close_if_unresponsive(now, CLOSE_BESIDE_RESPONSIVE_AFTER);
        }
    }

    fn load_report(&self, report: &str) -> Option<LoadReport> {
        let values = self.deployment.report_names.iter().map(|name| frames::report_value(report, name));
        (report != frames::NO_REPORT).then(|| settings::load_report(&self.deployment.report_fields, values))
    }
}

/// Reads more of a frame, and waits until there is memory for it. Other connections release theirs when their
/// frames are complete, or have not been completed within [`FRAME_READ_TIMEOUT`].
async fn fill_with_room(buffer: &mut Buffer, stream: &mut &Stream) -> io::Result<usize> {
    loop {
        match buffer.fill(stream).await {
            Err(e) if e.kind() == io::ErrorKind::OutOfMemory => {
                Timer::at(Instant::now() + MEMORY_RETRY_INTERVAL).await;
            }
            filled => return filled,
        }
    }
}

/// Restarts the measurement of silence if more answers are pending, and notifies the writer that a stream is
/// free for a waiting attempt.
fn record_answer(connection: &Connection, now: Instant) {
    let has_pending_answers = !connection.in_flight.borrow().is_empty();
    connection.silent_since.set(has_pending_answers.then_some(now));
    if !connection.queue.borrow().is_empty() {
        connection.changed.notify(usize::MAX);
    }
}

fn answer_outcome(status: AnswerStatus, attempt: &QueuedAttempt, connection: &Connection) -> Outcome {
    match status {
        AnswerStatus::Served => Outcome::Succeeded,
        AnswerStatus::Failed => Outcome::Error,
        AnswerStatus::Rejected if attempt.context.record_rejection(&attempt.id, connection) => {
            Outcome::Rejected
        }
        // This may be a duplicate of the previous answer, which proves nothing about this attempt.
        AnswerStatus::Rejected => Outcome::ConnectionLost,
    }
}

/// Delivers the answer to the oldest pending probe. Returns `false` if no probe is pending.
fn answer_probe(connection: &Connection, served: bool, report: Option<LoadReport>) -> bool {
    let Some(reply) = connection.probes.borrow_mut().pop_front() else { return false };
    let _ = reply.try_send((served, report));
    true
}
