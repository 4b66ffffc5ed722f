//! The platform's API: client queries over HTTP/1.1 (`POST /api`) and the readiness probe (`GET /_health`).
//!
//! Owns the ids of open queries; the queries themselves belong to the coordinator. This module makes no
//! decisions about a query: it converts a request to a query, and the outcome of the query to a response.
//!
//! Invariants: each admitted query gets one response, unless its client disconnects, which cancels the
//! query. An id is used by one query only.
#![warn(missing_docs)]

mod request;
mod used_ids;

use std::fmt::Display;
use std::rc::Rc;
use std::time::Instant;

use futures_lite::FutureExt;
use slog::{info, warn, Logger};

use self::used_ids::UsedIdGuard;
pub use self::used_ids::UsedIds;
use super::data_nodes::{DataNodes, RequestContext};
use super::http::{HttpError, Message, Response};
use super::http_server::{
    readiness_response, serve_requests, ClientConnection, GracefulShutdown, RequestHandler,
};
use super::{Excerpt, LogRateLimiter};
use crate::balancer::interface::{ClassId, Idempotency, ShardId};
use crate::config::settings::Deployment;
use crate::coordinator::{Coordinator, Query, QueryOutcome};

/// The front that serves the clients of the platform.
pub struct PlatformApi {
    /// Runs the queries.
    pub coordinator: Rc<Coordinator<DataNodes>>,
    /// State of the list by which queries are sent, for the log.
    pub data_nodes: Rc<DataNodes>,
    /// Classes, tenants and shards of the deployment.
    pub deployment: Rc<Deployment>,
    /// Bounds the deadlines of queries once the process shuts down.
    pub shutdown: Rc<GracefulShutdown>,
    /// Ids of open queries, and of earlier ones that may have run.
    pub used_ids: UsedIds,
    /// Log for invalid, rejected and failed queries.
    pub log: Logger,
    /// Rate limiters of the log lines.
    pub log_limiters: LogLimiters,
}

/// Rate limiters of log lines. Each kind has its own, so that a flood of one does not hide another.
#[derive(Default)]
pub struct LogLimiters {
    invalid: LogRateLimiter,
    rejected: LogRateLimiter,
    unanswered: LogRateLimiter,
    disconnected: LogRateLimiter,
}

/// Properties of an admitted query that its log lines contain.
struct QueryLabels {
    id: String,
    class: String,
    arrived_at: Instant,
}

impl PlatformApi {
    /// Serves the connection of a client until it ends. Dropping the future closes the connection and
    /// cancels its query.
    pub async fn serve(self: Rc<Self>, client: ClientConnection) {
        serve_requests(&*self, client).await;
    }

    async fn query(&self, client: &mut ClientConnection, request: &Message) -> Result<Response, HttpError> {
        let arrived_at = client.request_arrived_at();
        let query =
            request::read_query(&self.deployment, &self.used_ids, request, client.buffer(), arrived_at);
        let (query, id) = match query {
            Ok(query) => query,
            Err(e) => {
                if let Some(suppressed) = self.log_limiters.invalid.permit() {
                    warn!(self.log, "invalid query"; "error" => %Excerpt(&e), "suppressed" => suppressed);
                }
                return Ok(Response::new(e.status(), error_body(&e)));
            }
        };
        self.execute(query, id, client, request).await
    }

    /// Executes a query and returns the response. `id` keeps its id in use until the outcome is known.
    ///
    /// # Errors
    ///
    /// Returns an error if the client disconnects or floods the connection; the query is cancelled.
    async fn execute(
        &self,
        query: Query<RequestContext>,
        mut id: UsedIdGuard,
        client: &mut ClientConnection,
        request: &Message,
    ) -> Result<Response, HttpError> {
        let labels = QueryLabels {
            id: query.context.id.clone(),
            class: request.header(client.buffer(), "Req-Kind").unwrap_or_default().to_owned(),
            arrived_at: client.request_arrived_at(),
        };
        if let Err(e) = client.ensure_connected(request.length).await {
            let not_executed = Err(e);
            self.log_outcome(&not_executed, &labels);
            return not_executed.map(|outcome| response(&outcome));
        }
        let may_repeat = self.may_repeat(query.class);
        let deadline = self.shutdown.limit_deadline(query.deadline);
        let Some(handle) = self.coordinator.submit(Query { deadline, ..query }) else {
            self.log_rejected(&labels);
            return Ok(rejected_response(429, self.deployment.settings.retry_after));
        };
        // Its attempts may run on if the client disconnects.
        id.set_remembered(true);
        self.log_if_full();
        let finished = client.unless_disconnected(request.length, handle.outcome());
        let shut_down = async {
            self.shutdown.answer_deadline_passed().await;
            Ok(QueryOutcome::DeadlineExceeded)
        };
        // Dropping the handle on return cancels an unfinished query.
        let outcome = finished.or(shut_down).await;
        self.log_outcome(&outcome, &labels);
        let outcome = outcome?;
        id.set_remembered(match outcome {
            // It has not run.
            QueryOutcome::Rejected { .. } => false,
            QueryOutcome::Answered { .. } => !may_repeat,
            QueryOutcome::Failed | QueryOutcome::DeadlineExceeded => true,
        });
        Ok(response(&outcome))
    }

    /// Returns whether a query of this class may run again after it was answered.
    fn may_repeat(&self, class: ClassId) -> bool {
        let class = self.deployment.settings.classes.get(usize::from(class.0));
        class.is_some_and(|class| class.idempotency == Idempotency::Idempotent)
    }

    fn log_rejected(&self, labels: &QueryLabels) {
        if let Some(suppressed) = self.log_limiters.rejected.permit() {
            info!(self.log, "query rejected"; "reason" => "the limit on open queries is reached", "id" => &labels.id,
                "class" => &labels.class, "suppressed" => suppressed, "open" => self.coordinator.open_queries(),
                "open_parts" => self.coordinator.open_parts());
        }
    }

    /// Logs if the query just admitted used the last free capacity.
    fn log_if_full(&self) {
        if !self.coordinator.is_full() {
            return;
        }
        if let Some(suppressed) = self.log_limiters.rejected.permit() {
            info!(self.log, "no capacity for another query"; "open" => self.coordinator.open_queries(),
                "open_parts" => self.coordinator.open_parts(), "suppressed" => suppressed);
        }
    }

    /// Logs a query that was not answered.
    fn log_outcome(&self, outcome: &Result<QueryOutcome, HttpError>, labels: &QueryLabels) {
        let after_ms = labels.arrived_at.elapsed().as_millis() as u64;
        match outcome {
            Ok(QueryOutcome::Answered { .. }) => {}
            Ok(outcome) => {
                if let Some(suppressed) = self.log_limiters.unanswered.permit() {
                    let list_invalid = self.data_nodes.list_invalid().map(|reason| reason.to_string());
                    info!(self.log, "query not answered"; "outcome" => ?outcome, "id" => &labels.id,
                        "class" => &labels.class, "after_ms" => after_ms, "suppressed" => suppressed,
                        "list_invalid" => list_invalid);
                }
            }
            Err(e) => {
                if let Some(suppressed) = self.log_limiters.disconnected.permit() {
                    info!(self.log, "client disconnected"; "error" => %e, "id" => &labels.id,
                        "class" => &labels.class, "after_ms" => after_ms, "suppressed" => suppressed);
                }
            }
        }
    }
}

impl RequestHandler for PlatformApi {
    async fn handle(&self, client: &mut ClientConnection, request: &Message) -> Result<Response, HttpError> {
        let method = request.text(client.buffer(), &request.method);
        let path = request.text(client.buffer(), &request.path);
        match (method, path) {
            ("GET", "/_health") => Ok(readiness_response(self.coordinator.is_ready(), &self.shutdown)),
            ("POST", "/api") => self.query(client, request).await,
            (_, "/_health" | "/api") => Ok(Response::new(405, error_body(&"method not allowed"))),
            _ => Ok(Response::new(404, error_body(&"no such path"))),
        }
    }

    fn error_response(&self, status: u16, error: &HttpError) -> Response {
        match error {
            HttpError::OutOfMemory => rejected_response(status, self.deployment.settings.retry_after),
            _ => Response::new(status, error_body(error)),
        }
    }

    fn log_invalid_request(&self, error: &HttpError) {
        if let Some(suppressed) = self.log_limiters.invalid.permit() {
            warn!(self.log, "invalid request"; "error" => %error, "suppressed" => suppressed);
        }
    }
}

fn response(outcome: &QueryOutcome) -> Response {
    match outcome {
        QueryOutcome::Answered { complete, values } => {
            let piece = |(shard, value): &(ShardId, Rc<[u8]>)| {
                let text = String::from_utf8_lossy(value);
                serde_json::json!({"tablet": shard.0, "cell": text})
            };
            let pieces: Vec<_> = values.iter().map(piece).collect();
            Response::new(200, serde_json::json!({"full": complete, "pieces": pieces}).to_string())
        }
        QueryOutcome::Rejected { retry_after } => rejected_response(503, *retry_after),
        QueryOutcome::Failed => Response::new(500, error_body(&"failed")),
        QueryOutcome::DeadlineExceeded => Response::new(504, error_body(&"out of time")),
    }
}

fn rejected_response(status: u16, retry_after: Option<f64>) -> Response {
    Response { retry_after, ..Response::new(status, error_body(&"refused")) }
}

fn error_body(error: &dyn Display) -> String {
    serde_json::json!({"error": Excerpt(error).to_string()}).to_string()
}
