//! How a front's descriptors are shared between its clients and the connections to what is behind it. No I/O.
use std::cell::Cell;

/// Each side has a share that the other one cannot take: a quarter for what is behind, half for clients. The
/// quarter between goes to whoever takes it first. Guards against a fleet of more data nodes than a fixed share
/// holds connections, while clients leave most of theirs unused.
pub struct Descriptors {
    all: usize,
    clients: Cell<usize>,
    behind: Cell<usize>,
}

impl Descriptors {
    pub fn new(all: usize) -> Descriptors {
        Descriptors { all, clients: Cell::new(0), behind: Cell::new(0) }
    }

    /// What is kept for connections to what is behind.
    pub fn kept(&self) -> usize {
        self.all / 4
    }

    /// Connections that clients may hold at present.
    pub fn most_clients(&self) -> usize {
        self.all - self.behind.get().max(self.kept()).min(self.all)
    }

    /// Clients hold so many now.
    pub fn hold(&self, clients: usize) {
        self.clients.set(clients);
    }

    /// Take one for a connection to what is behind, if there is room.
    pub fn take(&self) -> bool {
        let held = self.behind.get();
        let spare = held < self.all / 2 && held + self.clients.get() < self.all;
        let room = spare || held < self.kept();
        self.behind.set(held + usize::from(room));
        room
    }

    /// One of those is closed.
    pub fn give_back(&self) {
        self.behind.set(self.behind.get().saturating_sub(1));
    }
}
