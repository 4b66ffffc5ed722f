//! Budget that divides the file descriptors of a front between client connections and connections to its
//! backends. Performs no I/O.
//!
//! Invariant: both sides together never hold more than the total, and each side can always get its reserved
//! share.
#![warn(missing_docs)]
use std::cell::Cell;

/// A budget of file descriptors that is shared by clients and backends.
///
/// A quarter of the total is reserved for backends and half for clients; the remaining quarter goes to
/// whichever side takes it first. With a fixed split, a front with more data nodes than the fixed share
/// holds could not connect to all of them while clients left most of their share unused.
pub struct DescriptorBudget {
    total: usize,
    /// Limit on client connections besides the descriptors.
    max_clients: usize,
    client_connections: Cell<usize>,
    backend_connections: Cell<usize>,
}

impl DescriptorBudget {
    /// Creates a budget of `total` descriptors, all of them free.
    pub fn new(total: usize) -> DescriptorBudget {
        DescriptorBudget::with_max_clients(total, usize::MAX)
    }

    /// Creates a budget of `total` descriptors, of which clients hold at most `max_clients`.
    pub fn with_max_clients(total: usize, max_clients: usize) -> DescriptorBudget {
        let (client_connections, backend_connections) = Default::default();
        DescriptorBudget { total, max_clients, client_connections, backend_connections }
    }

    /// Returns the number of descriptors reserved for backends.
    pub fn backend_reserve(&self) -> usize {
        self.total / 4
    }

    /// Returns the current limit on the number of client connections.
    pub fn max_client_connections(&self) -> usize {
        let backends = self.backend_connections.get().max(self.backend_reserve());
        (self.total - backends.min(self.total)).min(self.max_clients)
    }

    /// Sets the current number of client connections.
    pub fn set_client_connections(&self, connections: usize) {
        self.client_connections.set(connections);
    }

    /// Acquires a descriptor for a connection to a backend. Returns `false` if none is available to
    /// backends.
    ///
    /// An acquired descriptor must be returned with [`DescriptorBudget::release_backend`].
    pub fn try_acquire_backend(&self) -> bool {
        let backends = self.backend_connections.get();
        let from_shared = backends < self.total / 2 && backends + self.client_connections.get() < self.total;
        let acquired = from_shared || backends < self.backend_reserve();
        if acquired {
            self.backend_connections.set(backends + 1);
        }
        acquired
    }

    /// Releases the descriptor of a closed connection to a backend.
    pub fn release_backend(&self) {
        self.backend_connections.set(self.backend_connections.get().saturating_sub(1));
    }
}
