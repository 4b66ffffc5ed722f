//! The server side of client connections, shared by all fronts: accepting, receiving requests, sending
//! responses, and the graceful shutdown.
//!
//! - `acceptor`: accepts connections up to a limit and evicts connections where others wait;
//! - `connection_slot`: what the acceptor knows of a connection, and the notice that evicts it;
//! - `connection`: one connection, its requests and responses (HTTP/1.1) and its lingering close;
//! - `request_handler`: the loop of a connection that serves one request after the other;
//! - `input`: a connection's received bytes and their arrival times;
//! - `graceful_shutdown`: the stages of a shutdown.
//!
//! It never looks into a request beyond its head, and decides nothing about queries.
//!
//! Invariant: a request of which a byte was read is answered before this side ends its connection, unless its
//! client disconnects or has asked for the end in an earlier request.
#![warn(missing_docs)]

mod acceptor;
mod connection;
mod connection_slot;
mod graceful_shutdown;
mod input;
mod request_handler;

pub use acceptor::Acceptor;
pub use connection::ClientConnection;
pub use graceful_shutdown::{GracefulShutdown, ACCEPT_GRACE};
pub(crate) use request_handler::{readiness_response, serve_requests, RequestHandler};
