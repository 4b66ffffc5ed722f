//! The query API's connections: clients' searches over an OpenSearch-style API, HTTP/1.1.
//!
//! It owns no state: it picks what a request asks for, and runs a search here or has the cluster run it.
//!
//! Invariant: each search that was admitted gets one response, unless its client disconnects.
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
    /// Serve a client's connection to its end. Dropping this ends the connection and cancels its search, but
    /// for one that the cluster runs.
    pub async fn serve(self: Rc<Self>, client: ClientConnection) {
        serve_requests(&*self, client).await;
    }

    /// The response to a search. An error where its client disconnected, or floods us.
    async fn search(
        &self,
        client: &mut ClientConnection,
        request: &Message,
        prepared: PreparedSearch,
    ) -> Result<Response, HttpError> {
        if let Some((cluster, ask)) = self.protected(request, client.buffer(), &prepared) {
            // Where the client disconnects, the cluster goes on with it: its outcome is kept for the next one
            // that asks.
            let asked = self.submit(&cluster, ask, prepared.deadline);
            let answered = client.unless_disconnected(request.length, asked);
            let shut_down = async {
                self.shutdown.answer_deadline_passed().await;
                let reason = "the server shuts down; the cluster goes on with the search";
                Ok(Some(error(504, "timeout_exception", reason)))
            };
            if let Some(response) = answered.or(shut_down).await? {
                return Ok(response);
            }
        }
        let PreparedSearch { search, progress, parts, begun, deadline, query } = prepared;
        let deadline = self.shutdown.limit_deadline(deadline);
        let Some(handle) = self.coordinator.submit(Query { deadline, ..query }) else {
            return Ok(self.rejected("too many searches are open"));
        };
        let finished = client.unless_disconnected(request.length, handle.outcome());
        let shut_down = async {
            self.shutdown.answer_deadline_passed().await;
            Ok(QueryOutcome::DeadlineExceeded)
        };
        // Dropping the handle, on return, cancels a search that is not finished.
        let outcome = finished.or(shut_down).await?;
        let progress = progress.borrow();
        Ok(self.response(&search, &outcome, &progress, &parts, begun, deadline))
    }

    /// What to do with a request: a search to be taken, or the answer that it gets at once.
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
                let opaque = message.header(buffer, "X-Opaque-Id").unwrap_or("-");
                self.prepare(target, &message.body(buffer), opaque, now)
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
