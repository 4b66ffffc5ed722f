//! Startup errors of the process.
use std::io;
use std::net::SocketAddr;

use crate::balancer::interface::SettingsError;
use crate::config::platform::ConfigError;
use crate::net::StartError;

/// Errors that prevent the process from serving.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The configuration cannot be read or is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The decision module rejects the settings of the platform.
    #[error(transparent)]
    Settings(SettingsError),
    /// A listener cannot be opened, even after the retries of [`crate::net::socket::listen`].
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Listen address of the front or of the cluster node.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Signal handlers cannot be registered.
    #[error("cannot handle signals: {0}")]
    Signals(#[source] io::Error),
    /// A front of the operator's file cannot be started.
    #[error(transparent)]
    Start(StartError),
}
