//! Lifecycle of one connection on its socket: connect, exchange frames, close, and settle unfinished
//! attempts.
//!
//! The two directions are implemented in [`super::writer`] and [`super::reader`].
//!
//! Invariant: each unfinished attempt gets its outcome here when the connection ends. The only exceptions are
//! attempts that may still be running and whose part allows no concurrent attempt: they end at their own
//! deadline.
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use futures_lite::FutureExt;
use slog::debug;

use super::connection::{send_outcome, Connection};
use super::DataNodes;
use crate::balancer::interface::{Outcome, ReplicaId};
use crate::net::invariants;
use crate::net::socket::{self, ConnectError, Stream};

impl DataNodes {
    /// Serves one connection from connecting to its end. The future must be run to completion, since the
    /// attempts of the connection are settled at the end.
    pub(super) async fn serve(
        self: Rc<Self>,
        replica: ReplicaId,
        address: SocketAddr,
        connection: Rc<Connection>,
    ) {
        match self.establish(replica, address, &connection).await {
            Ok(stream) => self.exchange(replica, &connection, stream).await,
            Err(outcome) => {
                let unfinished = connection.terminate();
                send_outcome(&unfinished.unwritten, outcome);
                self.release_descriptor(&connection);
            }
        }
    }

    /// Connects within the configured time.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the attempts that wait for the connection.
    async fn establish(
        &self,
        replica: ReplicaId,
        address: SocketAddr,
        connection: &Connection,
    ) -> Result<Stream, Outcome> {
        let deadline = Instant::now() + self.deployment.connections.connect_timeout;
        let closed = async {
            connection.wait_until(|| connection.closed.get()).await;
            None
        };
        let on_local_failure = || {
            invariants::record_local_failure();
            connection.local_failure.set(true);
        };
        let connected = async { Some(socket::connect_observed(address, deadline, on_local_failure).await) };
        match connected.or(closed).await {
            Some(Ok(stream)) => Ok(stream),
            Some(Err(e)) => {
                debug!(self.log, "connecting to a data node failed"; "replica" => replica.0, "error" => %e);
                Err(match e {
                    ConnectError::LocalFailure(_) => Outcome::NeverSent,
                    ConnectError::Refused(_) | ConnectError::TimedOut => Outcome::ConnectFailed,
                })
            }
            // This side closed the connection: the data node has moved or is a new process, which refused
            // nothing.
            None => Err(Outcome::NeverSent),
        }
    }

    /// Exchanges frames until the connection ends, and settles unfinished attempts.
    async fn exchange(self: &Rc<Self>, replica: ReplicaId, connection: &Connection, stream: Stream) {
        let nodelay = stream.set_nodelay();
        debug!(self.log, "connection up"; "replica" => replica.0, "nodelay" => nodelay);
        connection.established.set(true);
        connection.last_used.set(Instant::now());
        connection.changed.notify(usize::MAX);
        let mut reader = &stream;
        let mut writer = &stream;
        let read = self.read(replica, connection, &mut reader);
        let write = self.write(replica, connection, &mut writer);
        let closed = connection.wait_until(|| connection.closed.get());
        // Data that has arrived is read before anything ends the connection. Otherwise received answers
        // would be lost when a write meets a reset that follows them, or when this side closes the
        // connection.
        read.or(closed).or(write).await;
        self.settle(replica, connection, stream).await;
    }

    /// Closes the socket and sends each unfinished attempt its outcome.
    async fn settle(self: &Rc<Self>, replica: ReplicaId, connection: &Connection, stream: Stream) {
        // If this side closed the connection, its process is known to be gone, or nothing is known against
        // it.
        let closed_by_us = connection.closed.get();
        let unresponsive = connection.closed_as_unresponsive.get();
        let unfinished = connection.terminate();
        drop(stream);
        self.release_descriptor(connection);
        if unfinished.unwritten.is_empty() && unfinished.in_flight.is_empty() {
            return;
        }
        let alive = unresponsive || (!closed_by_us && self.is_process_alive(replica).await);
        // A connection that this side closed was not refused.
        let refused = !closed_by_us && !alive;
        let unwritten_outcome = if refused { Outcome::ConnectFailed } else { Outcome::NeverSent };
        send_outcome(&unfinished.unwritten, unwritten_outcome);
        // An unresponsive data node may still work on its attempts and does not notice the close.
        if !(unresponsive && self.no_concurrent_attempts()) {
            let in_flight_outcome = if alive { Outcome::ConnectionLost } else { Outcome::Reset };
            send_outcome(&unfinished.in_flight, in_flight_outcome);
        }
    }

    /// Returns whether no two attempts of a part may run concurrently. If so, an attempt that this side ends
    /// must also have finished at its data node before the next one starts: it ends at the deadline sent to
    /// the data node or with the answer.
    pub(super) fn no_concurrent_attempts(&self) -> bool {
        !self.deployment.settings.hedging
    }

    /// Releases the descriptor, unless the connection was closed in favor of another one that took it over.
    fn release_descriptor(&self, connection: &Connection) {
        if connection.holds_descriptor.replace(false) {
            self.descriptors.release_backend();
        }
    }
}
