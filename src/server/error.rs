//! Why the process can't serve.
use std::io;
use std::net::SocketAddr;

use crate::balancer::interface::SettingsError;
use crate::config::platform::ConfigError;
use crate::net::StartError;

/// Why a process ended before it served, or without serving.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The configuration can't be read, or is not valid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The decision module refuses the platform's settings.
    #[error(transparent)]
    Settings(SettingsError),
    /// A listener can't be opened, after the retries of [`crate::net::socket::listen`].
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address of the front or of the cluster node.
        address: SocketAddr,
        /// What the operating system said.
        source: io::Error,
    },
    /// Signal handlers can't be registered.
    #[error("cannot handle signals: {0}")]
    Signals(#[source] io::Error),
    /// A front of the operator's file can't be started.
    #[error(transparent)]
    Start(StartError),
}
