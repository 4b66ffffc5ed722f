//! Server side of client connections, shared by all fronts: accepting connections, receiving requests,
//! sending responses, and the graceful shutdown.
//!
//! - `acceptor`: accepts connections up to a limit and evicts connections when others wait;
//! - `connection_slot`: the activity of a connection and the notice that evicts it;
//! - `connection`: one connection with its requests, responses (HTTP/1.1) and lingering close;
//! - `disconnect`: detection of clients that disconnect while a request is executed;
//! - `request_handler`: serves the requests of a connection one after the other;
//! - `input`: the received bytes of a connection and their arrival times;
//! - `graceful_shutdown`: the stages of a shutdown.
//!
//! This module does not interpret a request beyond its head and makes no decisions about queries.
//!
//! Invariant: if a byte of a request was read, the request is answered before this side closes the
//! connection, unless the client disconnects or has asked for the close in an earlier request.
#![warn(missing_docs)]

mod acceptor;
mod connection;
mod connection_slot;
mod disconnect;
mod graceful_shutdown;
mod input;
mod request_handler;

pub use acceptor::Acceptor;
pub use connection::ClientConnection;
pub use graceful_shutdown::{GracefulShutdown, ACCEPT_GRACE};
pub(crate) use request_handler::{readiness_response, serve_requests, RequestHandler};
