//! The `grpc` section: the gRPC front end, its routes and its limits.
#![warn(missing_docs)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use serde::Deserialize;

use super::{key_path, Document, OperatorConfigError, PathSegment, ServerSource};
use crate::config::settings::Deployment;
use crate::connection_pool;
use crate::grpc_routing::{self, RouteTable};

/// The maximum value of a limit in seconds: one day.
const MAX_SECONDS: f64 = 86_400.0;
/// The maximum configurable size of a message, compressed or decompressed, in bytes.
const MAX_MESSAGE: usize = 1 << 30;
/// The maximum flow control window in bytes (RFC 9113, 6.9.1).
const MAX_WINDOW: u32 = i32::MAX as u32;
/// The minimum size of a header list limit and of a flow control window, in bytes.
const MIN_BYTES: u32 = 1024;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct GrpcSection {
    listen: SocketAddr,
    records: PathBuf,
    service: String,
    routes: Vec<grpc_routing::RouteRow>,
    #[serde(default)]
    front: FrontLimits,
    #[serde(default)]
    pool: connection_pool::PoolLimits,
}

/// Limits of the gRPC front end. Sizes are in bytes, times in seconds, and rates are per second and
/// connection.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FrontLimits {
    /// The maximum number of concurrent calls on one client connection.
    #[serde(rename = "streams")]
    pub max_streams: u32,
    /// The maximum size of a call's header list, as defined by RFC 9113, 6.5.2.
    #[serde(rename = "header_list")]
    pub max_header_list: u32,
    /// The maximum size of a message in either direction.
    #[serde(rename = "message")]
    pub max_message: usize,
    /// The maximum decompressed size of a first message that a route inspects.
    #[serde(rename = "unpacked")]
    pub max_decompressed: usize,
    /// The maximum number of bytes of a client's stream that one call retains for a retry.
    #[serde(rename = "replay")]
    pub max_replay: usize,
    /// The maximum number of bytes that all calls together retain for retries.
    #[serde(rename = "replay_all")]
    pub total_replay: usize,
    /// The flow control window of a stream (RFC 9113, 5.2).
    pub window: u32,
    /// The flow control window of a connection.
    pub connection_window: u32,
    /// The time within which the connection preface and the first SETTINGS frame must arrive.
    #[serde(rename = "handshake_s")]
    pub handshake_timeout_s: f64,
    /// The time after which a connection without calls is closed.
    #[serde(rename = "idle_s")]
    pub idle_timeout_s: f64,
    /// The maximum rate of RST_STREAM frames. This limit and the following ones apply to frames that are
    /// expensive to handle but carry little data. A connection that exceeds one of them is closed with
    /// ENHANCE_YOUR_CALM.
    #[serde(rename = "resets")]
    pub max_resets_per_s: u32,
    /// The maximum rate of PING frames.
    #[serde(rename = "pings")]
    pub max_pings_per_s: u32,
    /// The maximum rate of SETTINGS frames.
    #[serde(rename = "settings")]
    pub max_settings_per_s: u32,
    /// The maximum rate of DATA frames without data.
    #[serde(rename = "empty_data")]
    pub max_empty_data_per_s: u32,
    /// The maximum rate of CONTINUATION frames.
    #[serde(rename = "continuations")]
    pub max_continuations_per_s: u32,
    /// The maximum combined rate of WINDOW_UPDATE, PRIORITY and unknown frames.
    #[serde(rename = "others")]
    pub max_other_frames_per_s: u32,
}

impl Default for FrontLimits {
    fn default() -> Self {
        FrontLimits {
            max_streams: 256,
            max_header_list: 16 * 1024,
            max_message: 4 << 20,
            max_decompressed: 1 << 20,
            max_replay: 256 << 10,
            total_replay: 16 << 20,
            window: 64 << 10,
            connection_window: 1 << 20,
            handshake_timeout_s: 2.0,
            idle_timeout_s: 300.0,
            max_resets_per_s: 200,
            max_pings_per_s: 20,
            max_settings_per_s: 10,
            max_empty_data_per_s: 100,
            max_continuations_per_s: 100,
            max_other_frames_per_s: 20_000,
        }
    }
}

/// The validated configuration of the gRPC front end.
pub struct GrpcConfig {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The source of the server list.
    pub source: ServerSource,
    /// The compiled routes.
    pub routes: RouteTable,
    /// The rows from which the routes were compiled.
    pub rows: Vec<grpc_routing::RouteRow>,
    /// The limits on clients.
    pub front: FrontLimits,
    /// The limits on connections to servers.
    pub pool: connection_pool::PoolLimits,
    /// The deployment settings, with an additional class for each idempotency that a route assigns to an
    /// existing class.
    pub deployment: Rc<Deployment>,
}

impl GrpcSection {
    pub(super) fn compile(
        self,
        document: &Document,
        deployment: &Deployment,
        shards: u32,
    ) -> Result<GrpcConfig, OperatorConfigError> {
        let mut deployment = deployment.clone();
        let routes = RouteTable::compile(&self.routes, &mut deployment, shards, self.front.max_message);
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

/// A limit with which no call could be served or no flood could be stopped.
struct InvalidLimit {
    key: &'static str,
    reason: &'static str,
}

impl FrontLimits {
    fn check(&self) -> Result<(), InvalidLimit> {
        let invalid = |key, reason| Err(InvalidLimit { key, reason });
        let valid = |seconds: f64| seconds.is_finite() && seconds > 0.0 && seconds <= MAX_SECONDS;
        match self {
            l if l.max_streams == 0 => invalid("streams", "must be at least 1"),
            l if l.max_header_list < MIN_BYTES => invalid("header_list", "must be at least 1024"),
            l if l.max_message == 0 || l.max_message > MAX_MESSAGE => invalid("message", "must be 1 to 2^30"),
            l if l.max_decompressed > MAX_MESSAGE => invalid("unpacked", "must be at most 2^30"),
            l if l.total_replay < l.max_replay => invalid("replay_all", "must be at least grpc.front.replay"),
            l if l.window < MIN_BYTES || l.window > MAX_WINDOW => invalid("window", "must be 1024 to 2^31-1"),
            l if l.connection_window < l.window || l.connection_window > MAX_WINDOW => {
                invalid("connection_window", "must be at least grpc.front.window and at most 2^31-1")
            }
            l if !valid(l.handshake_timeout_s) => invalid("handshake_s", "must be over 0 and at most 86400"),
            l if !valid(l.idle_timeout_s) => invalid("idle_s", "must be over 0 and at most 86400"),
            l if l.max_resets_per_s == 0 => invalid("resets", "must be at least 1"),
            l if l.max_settings_per_s < 2 => {
                invalid("settings", "must be at least 2: the first settings and their ACK")
            }
            l if l.max_other_frames_per_s == 0 => invalid("others", "must be at least 1"),
            _ => Ok(()),
        }
    }
}
