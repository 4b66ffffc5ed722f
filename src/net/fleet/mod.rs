//! Members of a fleet among each other: what touches a disk or a socket.
pub mod store;
