//! The life of one connection on its socket: establish it, exchange frames, end it and settle what is
//! unfinished.
//!
//! The two directions are in [`super::writer`] and [`super::reader`].
//!
//! Invariant: each attempt that the connection has when it ends gets its outcome here, or ends at its own
//! deadline where it may still run and no other attempt of its part may run beside it.
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
    /// Serve one connection from its connect to its end. Ends when the connection does; it must be run to its
    /// end, since it settles the connection's attempts there.
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

    /// Connect within the configured time.
    ///
    /// # Errors
    /// The outcome of the attempts that wait for the connection.
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
                debug!(self.log, "no connection"; "replica" => replica.0, "error" => %e);
                Err(match e {
                    ConnectError::LocalFailure(_) => Outcome::NeverSent,
                    ConnectError::Refused(_) | ConnectError::TimedOut => Outcome::ConnectFailed,
                })
            }
            // We closed it: its data node moved, or is another process now, which refused nothing.
            None => Err(Outcome::NeverSent),
        }
    }

    /// Exchange frames until the connection ends, and settle what is unfinished.
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
        // What has arrived is read before anything ends the connection. Prevents losing served answers that
        // lie there when a write meets a reset behind them, or when we give the connection up.
        read.or(closed).or(write).await;
        self.settle(replica, connection, stream).await;
    }

    /// Close the socket and give each unfinished attempt its outcome.
    async fn settle(self: &Rc<Self>, replica: ReplicaId, connection: &Connection, stream: Stream) {
        // Closed by us: its process is known to be gone, or nothing is known against it.
        let closed_by_us = connection.closed.get();
        let unresponsive = connection.closed_as_unresponsive.get();
        let unfinished = connection.terminate();
        drop(stream);
        self.release_descriptor(connection);
        if unfinished.unwritten.is_empty() && unfinished.in_flight.is_empty() {
            return;
        }
        let alive = unresponsive || (!closed_by_us && self.is_process_alive(replica).await);
        // Nobody refused what we closed ourselves.
        let refused = !closed_by_us && !alive;
        let unwritten_outcome = if refused { Outcome::ConnectFailed } else { Outcome::NeverSent };
        send_outcome(&unfinished.unwritten, unwritten_outcome);
        // An unresponsive data node may still work on its attempts, and never hears of our close.
        if !(unresponsive && self.no_concurrent_attempts()) {
            let in_flight_outcome = if alive { Outcome::ConnectionLost } else { Outcome::Reset };
            send_outcome(&unfinished.in_flight, in_flight_outcome);
        }
    }

    /// Whether no attempt of a part may run beside another one. Then one that we end by ourselves must have
    /// finished at its data node too before the next one starts: it ends at the deadline that the data node
    /// got, or with its answer.
    pub(super) fn no_concurrent_attempts(&self) -> bool {
        !self.deployment.settings.hedging
    }

    /// Give the descriptor back, unless the connection was closed to make room for another one, which took it
    /// over.
    fn release_descriptor(&self, connection: &Connection) {
        if connection.holds_descriptor.replace(false) {
            self.descriptors.release_backend();
        }
    }
}
