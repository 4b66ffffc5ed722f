//! What the startup of each front shares: its listener, its acceptor and its share of descriptors.
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

use async_executor::{LocalExecutor, Task};
use async_io::Async;
use slog::Logger;

use super::ServeError;
use crate::net::descriptors::DescriptorBudget;
use crate::net::http_server::{Acceptor, ClientConnection, GracefulShutdown};
use crate::net::socket;

/// What every front of the process is started with.
pub(super) struct Startup {
    /// Runs every task of the process.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Seen by every connection of every front.
    pub shutdown: Rc<GracefulShutdown>,
    /// Of the random choices of each front.
    pub seed: u64,
    /// Descriptors that one front shares between its clients and the connections to its servers.
    pub descriptors_per_front: usize,
    /// The process's log.
    pub log: Logger,
}

/// A front that accepts connections.
pub(super) struct AcceptingFront {
    /// Counts the open connections.
    pub acceptor: Rc<Acceptor>,
    /// Resolves once the front accepts no more.
    pub accept_task: Task<()>,
}

impl Startup {
    /// Descriptors for the servers of a front of the operator's file: the share that clients can't take.
    pub fn server_descriptors(&self) -> usize {
        DescriptorBudget::new(self.descriptors_per_front).backend_reserve()
    }

    /// Accept connections on `listener`, each served by a task of its own.
    pub fn accept<F>(
        &self,
        listener: Async<TcpListener>,
        descriptors: Rc<DescriptorBudget>,
        serve: impl Fn(ClientConnection) -> F + 'static,
    ) -> AcceptingFront
    where
        F: Future<Output = ()> + 'static,
    {
        let acceptor =
            Acceptor::new(self.executor.clone(), self.shutdown.clone(), descriptors, self.log.clone());
        let accept_task = self.executor.spawn(acceptor.clone().accept(listener, serve));
        AcceptingFront { acceptor, accept_task }
    }
}

/// Open a listener at `address`.
///
/// # Errors
///
/// [`ServeError::Listen`] if the operating system refuses it for longer than [`socket::START`].
pub(super) async fn listen(address: SocketAddr) -> Result<Async<TcpListener>, ServeError> {
    socket::listen(address).await.map_err(|source| ServeError::Listen { address, source })
}

/// The address of a listener, with the port that the operating system chose; `configured` if it can't say.
pub(super) fn bound_address(listener: &Async<TcpListener>, configured: SocketAddr) -> SocketAddr {
    listener.get_ref().local_addr().unwrap_or(configured)
}
