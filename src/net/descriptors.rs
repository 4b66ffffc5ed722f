//! How a front's file descriptors are shared between its clients and the connections to what is behind it. No
//! I/O.
//!
//! Invariant: the two sides together never get more than the total, and each can always get its own share.
#![warn(missing_docs)]
use std::cell::Cell;

/// A budget of descriptors with two sides, clients and backends. Each has a share that the other one cannot
/// take: a quarter for backends, half for clients. The quarter between goes to whichever side takes it first.
/// Prevents that in a fleet of more data nodes than a fixed share holds connections go without, while clients
/// leave most of theirs unused.
pub struct DescriptorBudget {
    total: usize,
    client_connections: Cell<usize>,
    backend_connections: Cell<usize>,
}

impl DescriptorBudget {
    /// A budget of `total` descriptors, all free.
    pub fn new(total: usize) -> DescriptorBudget {
        DescriptorBudget { total, client_connections: Cell::new(0), backend_connections: Cell::new(0) }
    }

    /// The share that clients cannot take.
    pub fn backend_reserve(&self) -> usize {
        self.total / 4
    }

    /// Connections that clients may have at present.
    pub fn max_client_connections(&self) -> usize {
        let backends = self.backend_connections.get().max(self.backend_reserve());
        self.total - backends.min(self.total)
    }

    /// Set how many connections clients have now.
    pub fn set_client_connections(&self, connections: usize) {
        self.client_connections.set(connections);
    }

    /// Take a descriptor for a connection to a backend; `false` if there is none for that side. A taken one
    /// is given back by [`DescriptorBudget::release_backend`].
    pub fn try_acquire_backend(&self) -> bool {
        let backends = self.backend_connections.get();
        let from_shared = backends < self.total / 2 && backends + self.client_connections.get() < self.total;
        let acquired = from_shared || backends < self.backend_reserve();
        if acquired {
            self.backend_connections.set(backends + 1);
        }
        acquired
    }

    /// Give back the descriptor of a closed connection to a backend.
    pub fn release_backend(&self) {
        self.backend_connections.set(self.backend_connections.get().saturating_sub(1));
    }
}
