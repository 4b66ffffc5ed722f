//! Client connections of the query API: searches over an OpenSearch-style API, HTTP/1.1.
//!
//! This module is stateless: it dispatches requests and either executes a search here or submits it to the
//! cluster.
//!
//! Invariant: each admitted search gets one response, unless its client disconnects.
#![warn(missing_docs)]

use std::rc::Rc;
use std::time::Instant;

use futures_lite::FutureExt;

pub use super::search::QueryApiServer;
use super::search::{error, path, segments, PreparedSearch};
use crate::coordinator::{Query, QueryOutcome};
use crate::net::buffer::Buffer;
use crate::net::http::{HttpError, Message, Response};
use crate::net::http_server::{readiness_response, serve_requests, ClientConnection, RequestHandler};

impl RequestHandler for QueryApiServer {
    async fn handle(&self, client: &mut ClientConnection, request: &Message) -> Result<Response, HttpError> {
        match self.prepare_request(request, client.buffer(), client.request_arrived_at()) {
            Ok(prepared) => self.search(client, request, prepared).await,
            Err(response) => Ok(response),
        }
    }

    fn error_response(&self, status: u16, http_error: &HttpError) -> Response {
        if matches!(http_error, HttpError::OutOfMemory) {
            return self.rejected_response("the memory for requests is exhausted");
        }
        let kind = match status {
            413 => "content_too_long_exception",
            408 => "timeout_exception",
            503 => "rejected_execution_exception",
            _ => "parse_exception",
        };
        error(status, kind, &http_error.to_string())
    }
}

impl QueryApiServer {
    /// Serves the connection of a client until it ends. Dropping the future closes the connection and
    /// cancels its search, unless the cluster executes it.
    pub async fn serve(self: Rc<Self>, client: ClientConnection) {
        serve_requests(&*self, client).await;
    }

    /// Executes a search and returns the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the client disconnects or floods the connection.
    async fn search(
        &self,
        client: &mut ClientConnection,
        request: &Message,
        prepared: PreparedSearch,
    ) -> Result<Response, HttpError> {
        client.ensure_connected(request.length).await?;
        if let Some((cluster, submission)) = self.protected_submission(request, client.buffer(), &prepared) {
            // If the client disconnects, the cluster continues the search and keeps its outcome for the next
            // client that requests it.
            let submitted = self.submit(&cluster, submission, prepared.deadline);
            let answered = client.unless_disconnected(request.length, submitted);
            let shut_down = async {
                self.shutdown.answer_deadline_passed().await;
                let reason = "the server is shutting down; the cluster continues the search";
                Ok(Some(error(504, "timeout_exception", reason)))
            };
            if let Some(response) = answered.or(shut_down).await? {
                return Ok(response);
            }
        }
        let PreparedSearch { search, progress, parts, started_at, deadline, query } = prepared;
        let deadline = self.shutdown.limit_deadline(deadline);
        let Some(handle) = self.coordinator.submit(Query { deadline, ..query }) else {
            return Ok(self.rejected_response("too many searches are open"));
        };
        let finished = client.unless_disconnected(request.length, handle.outcome());
        let shut_down = async {
            self.shutdown.answer_deadline_passed().await;
            Ok(QueryOutcome::DeadlineExceeded)
        };
        // Dropping the handle on return cancels an unfinished search.
        let outcome = finished.or(shut_down).await?;
        let progress = progress.borrow();
        Ok(self.response(&search, &outcome, &progress, &parts, started_at, deadline))
    }

    /// Returns the search of a request.
    ///
    /// # Errors
    ///
    /// Returns the response for any other request, or for a search that is rejected immediately.
    fn prepare_request(
        &self,
        message: &Message,
        buffer: &Buffer,
        now: Instant,
    ) -> Result<PreparedSearch, Response> {
        let (method, target) = (message.text(buffer, &message.method), message.text(buffer, &message.path));
        let path = path(target);
        match (method, &segments(&path)[..]) {
            ("GET", ["_health"]) => Err(readiness_response(self.coordinator.is_ready(), &self.shutdown)),
            ("GET" | "POST", [_, "_search"]) => {
                let opaque_id = message.header(buffer, "X-Opaque-Id").unwrap_or("-");
                self.prepare(target, message.body(buffer), opaque_id, now)
            }
            (_, [_, "_search"]) => {
                let answer = error(
                    405,
                    "method_not_allowed_exception",
                    &format!("[{method}] is not supported for [_search], use GET or POST"),
                );
                Err(Response { allow: Some("GET, POST"), ..answer })
            }
            _ => {
                let reason = format!("no handler found for uri [{target}] and method [{method}]");
                Err(error(404, "invalid_request_exception", &reason))
            }
        }
    }
}
