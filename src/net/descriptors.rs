//! How a front's descriptors are shared between its clients and the connections to what is behind it. No I/O.
use std::cell::Cell;

/// Each side has a share that the other one cannot take: a quarter for what is behind, half for clients. The
/// quarter between goes to whoever takes it first. Guards against a fleet of more data nodes than a fixed share
/// holds connections, while clients leave most of theirs unused.
pub struct DescriptorBudget {
    total: usize,
    client_connections: Cell<usize>,
    backend_connections: Cell<usize>,
}

impl DescriptorBudget {
    pub fn new(all: usize) -> DescriptorBudget {
        DescriptorBudget { total: all, client_connections: Cell::new(0), backend_connections: Cell::new(0) }
    }

    /// What is kept for connections to what is behind.
    pub fn backend_reserve(&self) -> usize {
        self.total / 4
    }

    /// Connections that clients may hold at present.
    pub fn max_client_connections(&self) -> usize {
        self.total - self.backend_connections.get().max(self.backend_reserve()).min(self.total)
    }

    /// Clients hold so many now.
    pub fn set_client_connections(&self, clients: usize) {
        self.client_connections.set(clients);
    }

    /// Take one for a connection to what is behind, if there is room.
    pub fn try_acquire_backend(&self) -> bool {
        let held = self.backend_connections.get();
        let spare = held < self.total / 2 && held + self.client_connections.get() < self.total;
        let room = spare || held < self.backend_reserve();
        self.backend_connections.set(held + usize::from(room));
        room
    }

    /// One of those is closed.
    pub fn release_backend(&self) {
        self.backend_connections.set(self.backend_connections.get().saturating_sub(1));
    }
}
