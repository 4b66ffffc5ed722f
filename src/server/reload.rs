//! Reload on SIGHUP: the platform's file may change the address of discovery, and the operator's file
//! replaces the gRPC routes.
//!
//! Invariant: an unusable file changes nothing and is logged.
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use async_channel::Sender;
use futures_lite::FutureExt;
use slog::{info, warn, Logger};

use super::signals::{SignalHandlers, SignalRequest};
use crate::config::operator::OperatorConfig;
use crate::config::platform;
use crate::net::grpc::Front;

/// Inputs of a reload and the recipients of its changes.
pub(super) struct Reloader {
    /// Path of the operator's file, if the process was started with one.
    pub operator_file: Option<PathBuf>,
    /// Receives the new routes.
    pub grpc_front: Option<Rc<Front>>,
    /// Sends the newest address of discovery, replacing an older one that was not yet received.
    pub discovery_address_sender: Sender<SocketAddr>,
    /// Log of the process.
    pub log: Logger,
}

impl Reloader {
    /// Handles requests until the first request to stop. A request that arrives during a reload cancels that
    /// reload.
    pub async fn run_until_stop(&self, signals: &mut SignalHandlers) {
        let mut request = signals.next().await;
        while request == SignalRequest::Reload {
            let reload = async {
                self.reload().await;
                None
            };
            let next = async { Some(signals.next().await) };
            request = match reload.or(next).await {
                Some(request) => request,
                None => signals.next().await,
            };
        }
    }

    async fn reload(&self) {
        if self.operator_file.is_none() || std::env::var_os("RELAY_CONFIG").is_some() {
            self.reload_discovery().await;
        }
        self.reload_routes();
    }

    async fn reload_discovery(&self) {
        match platform::read_discovery_address().await {
            Ok(address) => {
                info!(self.log, "configuration reread"; "discovery" => %address);
                let _ = self.discovery_address_sender.force_send(address);
            }
            Err(e) => warn!(self.log, "configuration not reread"; "error" => %e),
        }
    }

    fn reload_routes(&self) {
        let (Some(file), Some(front)) = (&self.operator_file, &self.grpc_front) else { return };
        let read = OperatorConfig::read(file).map_err(|e| e.to_string());
        let rows = read.map(|config| config.grpc.map(|grpc| grpc.rows).unwrap_or_default());
        match rows.and_then(|rows| front.reload_routes(&rows).map(|()| rows.len()).map_err(|e| e.what)) {
            Ok(rows) => info!(self.log, "routes reread"; "routes" => rows),
            Err(e) => warn!(self.log, "routes not reread"; "error" => e),
        }
    }
}
