//! The life of an HTTP/1.1 connection whose requests are served one after the other, for the fronts that do
//! so.
//!
//! Owns the order: receive, handle, consume, respond. What a request means is the front's matter
//! ([`RequestHandler`]).
//!
//! Invariant: each request gets one response, unless its client disconnects.
#![warn(missing_docs)]

use super::{ClientConnection, GracefulShutdown};
use crate::net::http::{HttpError, Message, Response};

/// What a front does with the requests of its connections.
pub(crate) trait RequestHandler {
    /// The response to a complete request, which is still in the connection's buffer.
    ///
    /// # Errors
    ///
    /// [`HttpError::ConnectionClosed`] where the client disconnected meanwhile: nothing is sent, now or
    /// later. Any other one ends the connection behind an [`error_response`](RequestHandler::error_response).
    async fn handle(&self, client: &mut ClientConnection, request: &Message) -> Result<Response, HttpError>;

    /// The response to bytes that are no request, or more than may be sent.
    fn error_response(&self, status: u16, error: &HttpError) -> Response;

    /// Log bytes that were no request.
    fn log_invalid_request(&self, _error: &HttpError) {}
}

/// Serve a connection to its end. Dropping this drops the connection, and with it what is served on it.
pub(crate) async fn serve_requests(handler: &impl RequestHandler, mut client: ClientConnection) {
    loop {
        let request = match client.next_request().await {
            Ok(request) => request,
            Err(e) => {
                if let Some(status) = e.status() {
                    handler.log_invalid_request(&e);
                    client.write_error(&handler.error_response(status, &e)).await;
                }
                return;
            }
        };
        let (response, keep_alive) = match handler.handle(&mut client, &request).await {
            Ok(response) => (response, request.keep_alive),
            Err(HttpError::ConnectionClosed) => return,
            Err(e) => (handler.error_response(e.status().unwrap_or(400), &e), false),
        };
        client.consume(request.length);
        if !client.write_response(&response, keep_alive).await {
            return;
        }
    }
}

/// The response of a front's readiness probe: ready once queries can be served, and until a shutdown starts.
pub(crate) fn readiness_response(coordinator_ready: bool, shutdown: &GracefulShutdown) -> Response {
    if coordinator_ready && !shutdown.draining.get() {
        Response::new(200, "{\"ready\":true}")
    } else {
        Response::new(503, "{\"ready\":false}")
    }
}
