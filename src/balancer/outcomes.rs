//! The end of attempts: outcomes, responses that start to stream, and cancellations.
use super::interface::{Action, Event, LoadReport, Outcome, PartId, ReplicaId};
use super::state::{InFlightAttempt, Replica};
use super::Balancer;

/// Minimum reported queue depth, in parts, that counts as a queue.
const MIN_QUEUE_DEPTH: f64 = 0.5;

impl Balancer {
    /// Records an attempt's outcome on its replica, the response time estimates and its part.
    pub(crate) fn record_attempt_outcome(&mut self, event: &Event) {
        let &Event::Outcome { part, attempt, replica, part_finished, outcome, elapsed, report } = event
        else {
            return;
        };
        if let Some(in_flight) = self.remove_in_flight(replica, (part, attempt)) {
            self.update_estimates(part, replica, (outcome, elapsed), in_flight, report);
        }
        let Some(p) = self.parts.get_mut(&part) else { return };
        p.finished |= part_finished;
        let Some(a) = p.attempts.get_mut(usize::from(attempt)).filter(|a| a.outcome.is_none()) else {
            return;
        };
        a.outcome = Some(outcome);
        if outcome == Outcome::Succeeded {
            p.completed = true;
            self.cancel_attempts(part, None);
        }
    }

    /// Updates the state of the replica and the global estimates from an outcome.
    fn update_estimates(
        &mut self,
        part: PartId,
        replica: ReplicaId,
        (outcome, elapsed): (Outcome, f64),
        in_flight: InFlightAttempt,
        report: Option<LoadReport>,
    ) {
        self.record_load_report(replica, report);
        if outcome == Outcome::Succeeded && elapsed.is_finite() && !in_flight.is_streaming {
            self.record_response_time(replica, elapsed);
        }
        let was_given_up = matches!(outcome, Outcome::Cancelled | Outcome::TimedOut);
        if self.replica_stats.sparse_since_start && was_given_up && elapsed.is_finite() {
            self.record_unanswered_wait(replica, elapsed);
        }
        self.adjust_concurrency_limit(part, outcome);
        self.record_outcome(replica, outcome, elapsed, in_flight);
        self.record_query_outcome(part, replica, outcome);
        self.cancel_queued_clones(replica);
    }

    /// Records the start of a streamed value. Its attempt counts as answered from the first message
    /// on; the part ends when the stream does.
    pub(crate) fn record_response_started(&mut self, event: &Event) {
        let &Event::ResponseStarted { part, attempt, replica, elapsed } = event else { return };
        let in_flight = self.replicas.get_mut(&replica).and_then(|r| r.in_flight.get_mut(&(part, attempt)));
        if let Some(in_flight) = in_flight.filter(|f| !f.is_streaming) {
            in_flight.is_streaming = true;
            in_flight.unresponsive = false;
            self.in_flight.remove(in_flight.sent_at, replica, (part, attempt));
            self.record_response_time(replica, elapsed);
        }
        let Some(p) = self.parts.get_mut(&part) else { return };
        p.finished = true;
        self.cancel_attempts(part, Some(attempt));
    }

    /// Cancels clones at a replica that reports a queue, if the original attempt is still in
    /// flight.
    fn cancel_queued_clones(&mut self, id: ReplicaId) {
        let Some(r) = self.replicas.get(&id) else { return };
        if !has_queue(r) || !self.settings.cancellation {
            return;
        }
        let attempts: Vec<_> = r.in_flight.keys().copied().collect();
        for (part, attempt) in attempts {
            let Some(p) = self.parts.get_mut(&part) else { continue };
            let original_in_flight = p.attempts.iter().any(|a| !a.is_clone && a.is_in_flight());
            let clone = p.attempts.get_mut(usize::from(attempt));
            if let Some(a) = clone.filter(|a| a.is_clone && !a.cancelled && original_in_flight) {
                a.cancelled = true;
                self.actions.push(Action::Cancel { part, attempt });
                self.update_part(part);
            }
        }
    }

    /// Cancels the in-flight attempts of a part, if attempts can be cancelled. The attempt whose
    /// response has started, if any, is kept.
    pub(crate) fn cancel_attempts(&mut self, id: PartId, started: Option<u8>) {
        if !self.settings.cancellation && started.is_none() {
            return;
        }
        let Some(part) = self.parts.get_mut(&id) else { return };
        for (n, a) in part.attempts.iter_mut().enumerate() {
            let attempt = n as u8;
            if a.is_in_flight() && started != Some(attempt) {
                a.cancelled = true;
                self.actions.push(Action::Cancel { part: id, attempt });
            }
        }
    }
}

/// Returns whether a replica reports a queue, or, if it reports only requests in flight, more of
/// them than this coordinator sent.
fn has_queue(replica: &Replica) -> bool {
    match (replica.report.queue_depth, replica.report.in_flight) {
        (Some(queue_depth), _) => queue_depth >= MIN_QUEUE_DEPTH,
        (None, Some(in_flight)) => in_flight >= replica.in_flight.len() as f64 + MIN_QUEUE_DEPTH,
        (None, None) => false,
    }
}
