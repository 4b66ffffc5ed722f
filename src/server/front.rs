//! Startup code shared by all fronts: listener, acceptor and share of the descriptors.
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use async_executor::{LocalExecutor, Task};
use async_io::Async;
use slog::Logger;

use super::ServeError;
use crate::net::descriptors::DescriptorBudget;
use crate::net::http_server::{Acceptor, ClientConnection, GracefulShutdown};
use crate::net::memory_budget::MemoryBudget;
use crate::net::socket;

/// Memory of a client connection over HTTP/1.1 besides what its client has sent, in bytes.
const HTTP_CONNECTION_BYTES: usize = 8 * 1024;

/// Common parameters for starting the fronts.
pub(super) struct Startup {
    /// Executor of all tasks of the process.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Shutdown state, observed by every connection of every front.
    pub shutdown: Rc<GracefulShutdown>,
    /// Seed for the random choices of each front.
    pub seed: u64,
    /// Number of descriptors that one front shares between its clients and the connections to its servers.
    pub descriptors_per_front: usize,
    /// Memory for what the clients of all fronts send and do not read.
    pub client_memory: Rc<MemoryBudget>,
    /// Memory for partially received answers of data nodes and servers.
    pub backend_memory: Rc<MemoryBudget>,
    /// Log of the process.
    pub log: Logger,
}

/// A front that accepts connections.
pub(super) struct AcceptingFront {
    /// Acceptor, which counts the open connections.
    pub acceptor: Rc<Acceptor>,
    /// Completes when the front accepts no more connections.
    pub accept_task: Task<()>,
}

impl Startup {
    /// Returns the number of descriptors for the servers of a front of the operator's file, which is the
    /// share that clients cannot take.
    pub fn server_descriptors(&self) -> usize {
        DescriptorBudget::new(self.descriptors_per_front).backend_reserve()
    }

    /// Returns the descriptors of a front that speaks HTTP/1.1. Its client connections take up a quarter of the
    /// memory at most.
    pub fn http_descriptors(&self) -> Rc<DescriptorBudget> {
        let max_clients = self.client_memory.counts().limit / HTTP_CONNECTION_BYTES;
        Rc::new(DescriptorBudget::with_max_clients(self.descriptors_per_front, max_clients))
    }

    /// Accepts connections on `listener` and serves each on its own task.
    pub fn accept<F>(
        &self,
        listener: Async<TcpListener>,
        descriptors: Rc<DescriptorBudget>,
        serve: impl Fn(ClientConnection) -> F + 'static,
    ) -> AcceptingFront
    where
        F: Future<Output = ()> + 'static,
    {
        let acceptor = Acceptor::new(
            self.executor.clone(),
            self.shutdown.clone(),
            descriptors,
            self.client_memory.clone(),
            self.log.clone(),
        );
        let accept_task = self.executor.spawn(acceptor.clone().accept(listener, serve));
        AcceptingFront { acceptor, accept_task }
    }
}

/// Opens a listener at `address`.
///
/// # Errors
///
/// Returns [`ServeError::Listen`] if the operating system refuses it for longer than
/// [`socket::STARTUP_RETRY_TIME`].
pub(super) async fn listen(address: SocketAddr) -> Result<Async<TcpListener>, ServeError> {
    socket::listen(address).await.map_err(|source| ServeError::Listen { address, source })
}

/// Returns the address of a listener with the port that the operating system chose, or `configured` if that
/// cannot be determined.
pub(super) fn bound_address(listener: &Async<TcpListener>, configured: SocketAddr) -> SocketAddr {
    listener.get_ref().local_addr().unwrap_or(configured)
}
