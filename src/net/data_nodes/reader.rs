//! The reading side of a connection: frames come in, and each is handed to whoever waits for it.
//!
//! Invariant: a frame that cannot be used, or that nobody asked for, ends the connection.
use std::fmt::Display;
use std::time::{Duration, Instant};

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

/// How long a frame may take to come in from its first byte on.
const FRAME_READ_TIMEOUT: Duration = Duration::from_millis(250);
/// For how long a connection may owe answers and bring none, where another one to the same data node answers,
/// before it is closed.
const CLOSE_BESIDE_RESPONSIVE_AFTER: Duration = Duration::from_millis(400);

impl DataNodes {
    /// Read answers until the connection ends or brings something unusable.
    pub(super) async fn read(&self, replica: ReplicaId, connection: &Connection, stream: &mut &Stream) {
        let mut buffer = Buffer::default();
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
                        self.fail_unusable(connection, "an answer that nobody waits for", &[]);
                        return;
                    }
                    length
                }
                // The time limit prevents waiting for a length that promises more than ever comes.
                Ok(None) => {
                    let deadline = frame_started + FRAME_READ_TIMEOUT;
                    match timeout_at(deadline, buffer.fill(stream)).await {
                        Some(Ok(n)) if n > 0 => continue,
                        Some(_) => return,
                        None => {
                            self.fail_unusable(connection, "a frame that does not end", buffer.unread());
                            return;
                        }
                    }
                }
                Err(e) => {
                    self.fail_unusable(connection, e, buffer.unread());
                    return;
                }
            };
            frame_started = Instant::now();
            buffer.consume(frame_bytes);
        }
    }

    fn log_rejected_frame(&self, message: &str) {
        if let Some(suppressed) = self.log_limiter.permit() {
            warn!(self.log, "data node could not use a frame"; "message" => message,
                "suppressed" => suppressed);
        }
    }

    /// What came cannot be used, nor can the connection from here on. After a good answer, with nothing in
    /// flight, that costs no more than the connection.
    fn fail_unusable(&self, connection: &Connection, error: impl Display, bytes: &[u8]) {
        if let Some(suppressed) = self.log_limiter.permit() {
            warn!(self.log, "unusable frame from a data node"; "error" => %error, "suppressed" => suppressed,
                "in_flight" => connection.in_flight.borrow().len());
        }
        let id = frames::malformed_answer_id(bytes);
        connection.fail_after_malformed_answer(id, self.no_concurrent_attempts());
    }

    /// Hand a frame to whoever waits for it. An answer to an abandoned attempt finds nobody, as is usual; any
    /// other that nobody waits for is malformed, or a duplicate: `false`.
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
                    // Copied: the value outlives the buffer, until its query is answered.
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

    /// This connection answers, so one beside it that does not is at fault itself.
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

/// Its silence starts anew if it owes more answers, and a stream is free for an attempt that waits for one.
fn record_answer(connection: &Connection, now: Instant) {
    let owes_answers = !connection.in_flight.borrow().is_empty();
    connection.silent_since.set(owes_answers.then_some(now));
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
        // It may duplicate the answer before: that proves nothing about this attempt.
        AnswerStatus::Rejected => Outcome::ConnectionLost,
    }
}

/// Hand a probe's answer to its prober; `false` if none was sent.
fn answer_probe(connection: &Connection, served: bool, report: Option<LoadReport>) -> bool {
    let Some(reply) = connection.probes.borrow_mut().pop_front() else { return false };
    let _ = reply.try_send((served, report));
    true
}
