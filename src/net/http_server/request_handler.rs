//! Request loop of an HTTP/1.1 connection, for fronts that serve requests one after the other.
//!
//! For each request, the loop receives it, has the front's [`RequestHandler`] produce the response, removes
//! the request from the buffer and sends the response. Only the front interprets the request.
//!
//! Invariant: each request gets one response, unless its client disconnects.
#![warn(missing_docs)]

use super::{ClientConnection, GracefulShutdown};
use crate::net::http::{HttpError, Message, Response};

/// Handles the requests of the connections of a front.
pub(crate) trait RequestHandler {
    /// Returns the response to a complete request, which is still in the buffer of the connection.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::ConnectionClosed`] if the client disconnected before the response was ready; in
    /// that case nothing is sent. After any other error, the client is sent the
    /// [`error_response`](RequestHandler::error_response), and the connection is closed.
    async fn handle(&self, client: &mut ClientConnection, request: &Message) -> Result<Response, HttpError>;

    /// Returns the response to input that is not a valid request or exceeds a limit.
    fn error_response(&self, status: u16, error: &HttpError) -> Response;

    /// Logs input that is not a valid request.
    fn log_invalid_request(&self, _error: &HttpError) {}
}

/// Serves a connection until it ends. Dropping the future drops the connection and cancels the request that
/// is being served.
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
        // Boxed, so that a connection without a request takes up less memory.
        let handled = Box::pin(handler.handle(&mut client, &request)).await;
        let (response, keep_alive) = match handled {
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

/// Returns the response to a readiness probe. The process is ready from the time at which queries can be
/// served until a shutdown starts.
pub(crate) fn readiness_response(coordinator_ready: bool, shutdown: &GracefulShutdown) -> Response {
    if coordinator_ready && !shutdown.draining.get() {
        Response::new(200, "{\"ready\":true}")
    } else {
        Response::new(503, "{\"ready\":false}")
    }
}
