//! The coordinator's interface for attempts and probes. Each call has exactly one result.
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use slog::debug;

use super::connection::{OutgoingFrame, QueuedAttempt, ResultChannel};
use super::{DataNodes, RequestContext};
use crate::balancer::interface::{LoadReport, LoadReporting, Outcome, ReplicaId};
use crate::coordinator::{AttemptResult, Call, CancellationToken, Step, Transport};
use crate::net::timeout_at;
use crate::send_policy::SendDenied;

/// Time limit for a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

impl Transport for DataNodes {
    type RequestContext = RequestContext;

    /// Queues an attempt on a connection and waits for its answer, its cancellation or its deadline,
    /// whichever is first.
    ///
    /// This method is not cancel safe: dropping the future leaves the attempt in flight without a caller.
    async fn call(self: Rc<Self>, call: Call<Self>, stop: CancellationToken) -> AttemptResult {
        if !self.wait_for_valid_list(call.deadline, &stop).await {
            debug!(self.log, "not sent"; "query" => &call.context.id, "shard" => call.shard.0,
                "replica" => call.replica.0, "why" => ?SendDenied::EndpointListInvalid);
            return Outcome::NeverSent.into();
        }
        let Some((connection, incarnation)) = self.choose_connection(call.replica) else {
            return Outcome::NeverSent.into();
        };
        let step_suffix = if call.step == Step::First { "" } else { ".b" };
        let attempt = Rc::new(QueuedAttempt {
            id: format!("{}.{}{step_suffix}", call.context.id, call.shard.0),
            shard: call.shard,
            attributes: step_attributes(&call.step),
            context: call.context,
            deadline: call.deadline,
            incarnation,
            cancellation: stop.clone(),
            result: ResultChannel::new(),
            permit: Cell::new(None),
        });
        connection.push(OutgoingFrame::Attempt(attempt.clone()));
        let answered = async { attempt.result.receiver.recv().await.unwrap_or(Outcome::Reset.into()) };
        let cancelled = async {
            stop.cancelled().await;
            Outcome::Cancelled.into()
        };
        let result = timeout_at(call.deadline, answered.or(cancelled)).await;
        let result = result.unwrap_or(Outcome::TimedOut.into());
        if matches!(result.outcome, Outcome::Cancelled | Outcome::TimedOut) {
            connection.abandon(&attempt, self.deployment.settings.cancellation);
        }
        debug!(self.log, "attempt ended"; "id" => &attempt.id, "replica" => call.replica.0,
            "outcome" => ?result.outcome, "connection" => connection.id,
            "written" => attempt.permit.get().is_some());
        result
    }

    async fn health_check(self: Rc<Self>, replica: ReplicaId) -> (bool, Option<LoadReport>) {
        let deadline = Instant::now() + PROBE_TIMEOUT;
        let Some((connection, _)) = self.choose_connection(replica) else { return (false, None) };
        let asks_for_report = self.deployment.settings.load_reporting == LoadReporting::OnHealthCheck;
        let letter = if asks_for_report { b'l' } else { b'p' };
        let (reply, answer) = async_channel::bounded(1);
        connection.push(OutgoingFrame::Probe(letter, reply));
        timeout_at(deadline, answer.recv()).await.and_then(Result::ok).unwrap_or((false, None))
    }

    fn close_idle(&self, replica: ReplicaId) {
        if let Some(node) = self.nodes.borrow().get(&replica) {
            node.close_idle_connections();
        }
    }
}

/// Returns the attributes of an attempt besides its deadline.
fn step_attributes(step: &Step) -> String {
    match step {
        Step::First => String::new(),
        Step::Second { from, complete } => {
            let from: Vec<String> = from.iter().map(|shard| shard.0.to_string()).collect();
            format!(",from={},whole={}", from.join("+"), u8::from(*complete))
        }
    }
}
