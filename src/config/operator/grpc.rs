//! The section `grpc`: the gRPC front, its routes and its bounds.
#![warn(missing_docs)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use serde::Deserialize;

use super::{key_path, Document, OperatorConfigError, PathSegment, ServerSource};
use crate::config::settings::Deployment;
use crate::connection_pool;
use crate::grpc_routing::{self, RouteTable};

/// The longest time that a limit in seconds may be: a day.
const MAX_SECONDS: f64 = 86_400.0;
/// The largest message or unpacked message, in bytes.
const MAX_MESSAGE: usize = 1 << 30;
/// The largest flow control window (RFC 9113, 6.9.1), in bytes.
const MAX_WINDOW: u32 = i32::MAX as u32;
/// The least bound of a header list, and of a window, in bytes.
const MIN_BYTES: u32 = 1024;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct GrpcFile {
    listen: SocketAddr,
    records: PathBuf,
    service: String,
    routes: Vec<grpc_routing::RouteRow>,
    #[serde(default)]
    front: FrontLimits,
    #[serde(default)]
    pool: connection_pool::PoolLimits,
}

/// Bounds of the gRPC front. Sizes are bytes, times seconds, rates a second for each connection.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FrontLimits {
    /// Calls that a client may have open on one connection.
    pub streams: u32,
    /// A call's headers, as RFC 9113, 6.5.2 counts them.
    pub header_list: u32,
    /// One message of either direction.
    pub message: usize,
    /// What a compressed first message may come to when a route looks into it.
    pub unpacked: usize,
    /// What may be retained of a client's stream for a retry, for each call.
    pub replay: usize,
    /// The same for all calls together.
    pub replay_all: usize,
    /// Flow control window (RFC 9113, 5.2) of a stream.
    pub window: u32,
    /// Flow control window of a connection.
    pub connection_window: u32,
    /// The preface and the first SETTINGS frame must be in by then.
    pub handshake_s: f64,
    /// A connection without a call is closed after this.
    pub idle_s: f64,
    /// RST_STREAM frames. These and the following cost much and ask for little; over a rate the connection ends with
    /// ENHANCE_YOUR_CALM.
    pub resets: u32,
    /// PING frames.
    pub pings: u32,
    /// SETTINGS frames.
    pub settings: u32,
    /// DATA frames without data.
    pub empty_data: u32,
    /// CONTINUATION frames.
    pub continuations: u32,
    /// WINDOW_UPDATE, PRIORITY and frames of unknown types together.
    pub others: u32,
}

impl Default for FrontLimits {
    fn default() -> Self {
        FrontLimits {
            streams: 256,
            header_list: 16 * 1024,
            message: 4 << 20,
            unpacked: 1 << 20,
            replay: 256 << 10,
            replay_all: 16 << 20,
            window: 64 << 10,
            connection_window: 1 << 20,
            handshake_s: 2.0,
            idle_s: 300.0,
            resets: 200,
            pings: 20,
            settings: 10,
            empty_data: 100,
            continuations: 100,
            others: 20_000,
        }
    }
}

/// The gRPC front as the file describes it.
pub struct GrpcConfig {
    /// Where clients connect to.
    pub listen: SocketAddr,
    /// Where its servers are listed.
    pub source: ServerSource,
    /// The compiled routes.
    pub routes: RouteTable,
    /// The rows that those were compiled from.
    pub rows: Vec<grpc_routing::RouteRow>,
    /// Bounds on clients.
    pub front: FrontLimits,
    /// Bounds on connections to servers.
    pub pool: connection_pool::PoolLimits,
    /// The settings, with one more class for each idempotency that a route gives one of them.
    pub deployment: Rc<Deployment>,
}

impl GrpcFile {
    pub(super) fn compile(
        self,
        document: &Document,
        deployment: &Deployment,
        shards: u32,
    ) -> Result<GrpcConfig, OperatorConfigError> {
        let mut deployment = deployment.clone();
        let routes = RouteTable::compile(&self.routes, &mut deployment, shards, self.front.message);
        let routes = routes.map_err(|e| {
            let mut segments = key_path(&["grpc", "routes"]);
            segments.push(PathSegment::Index(e.row));
            segments.extend(e.key.map(|key| PathSegment::Key(key.into())));
            document.error_at(&segments, e.what)
        })?;
        self.front.check().map_err(|InvalidLimit { key, reason }| {
            document.error_at(&key_path(&["grpc", "front", key]), reason.to_owned())
        })?;
        self.pool
            .validate()
            .map_err(|(key, reason)| document.error_at(&key_path(&["grpc", "pool", key]), reason))?;
        Ok(GrpcConfig {
            listen: self.listen,
            source: document.server_source(&self.records, self.service),
            routes,
            rows: self.routes,
            front: self.front,
            pool: self.pool,
            deployment: Rc::new(deployment),
        })
    }
}

/// A limit under which no call could be served, or no flood be stopped.
struct InvalidLimit {
    key: &'static str,
    reason: &'static str,
}

impl FrontLimits {
    fn check(&self) -> Result<(), InvalidLimit> {
        let invalid = |key, reason| Err(InvalidLimit { key, reason });
        let is_valid_time = |seconds: f64| seconds.is_finite() && seconds > 0.0 && seconds <= MAX_SECONDS;
        match self {
            l if l.streams == 0 => invalid("streams", "must be at least 1"),
            l if l.header_list < MIN_BYTES => invalid("header_list", "must be at least 1024"),
            l if l.message == 0 || l.message > MAX_MESSAGE => invalid("message", "must be 1 to 2^30"),
            l if l.unpacked > MAX_MESSAGE => invalid("unpacked", "must be at most 2^30"),
            l if l.replay_all < l.replay => invalid("replay_all", "must be at least grpc.front.replay"),
            l if l.window < MIN_BYTES || l.window > MAX_WINDOW => invalid("window", "must be 1024 to 2^31-1"),
            l if l.connection_window < l.window || l.connection_window > MAX_WINDOW => {
                invalid("connection_window", "must be at least grpc.front.window and at most 2^31-1")
            }
            l if !is_valid_time(l.handshake_s) => invalid("handshake_s", "must be over 0 and at most 86400"),
            l if !is_valid_time(l.idle_s) => invalid("idle_s", "must be over 0 and at most 86400"),
            l if l.resets == 0 => invalid("resets", "must be at least 1"),
            l if l.settings < 2 => {
                invalid("settings", "must be at least 2: the first settings and their ACK")
            }
            l if l.others == 0 => invalid("others", "must be at least 1"),
            _ => Ok(()),
        }
    }
}
