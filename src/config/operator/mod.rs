//! The operator's own file (`deploy/marlgap.json5`): one JSON5 document for every subsystem, read and checked whole
//! before anything is opened. What is wrong is said in one line with its path and place.
mod cluster;
mod locate;

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use serde::Deserialize;

pub use self::cluster::ClusterConfig;
pub use self::locate::{format_path, locate, PathSegment};
use crate::config::settings::{self, Deployment};
use crate::connection_pool;
use crate::grpc_routing::{self, Routes};

/// What is wrong with the file, and where: lines and columns count from 1.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorConfigError {
    pub file: PathBuf,
    /// Keys and indices from the top, as `grpc.routes[2].class`; empty for the file as a whole.
    pub path: String,
    pub position: Option<(usize, usize)>,
    pub message: String,
}

impl fmt::Display for OperatorConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some((line, column)) = self.position {
            write!(f, ":{line}:{column}")?;
        }
        if !self.path.is_empty() {
            write!(f, ": {}", self.path)?;
        }
        // One line, whatever a library put into its words.
        let words: Vec<&str> = self.message.split_whitespace().collect();
        write!(f, ": {}", words.join(" "))
    }
}

impl std::error::Error for OperatorConfigError {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    settings: serde_json::Value,
    query_api: Option<QueryApiFile>,
    grpc: Option<GrpcFile>,
    fleet: Option<cluster::ClusterSection>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct QueryApiFile {
    listen: SocketAddr,
    records: PathBuf,
    service: String,
    /// Index to class.
    indices: BTreeMap<String, String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GrpcFile {
    listen: SocketAddr,
    records: PathBuf,
    service: String,
    routes: Vec<grpc_routing::Row>,
    #[serde(default)]
    front: FrontLimits,
    #[serde(default)]
    pool: connection_pool::Limits,
}

/// Bounds of the gRPC front. Sizes are bytes, times seconds, rates a second for each connection.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FrontLimits {
    /// Calls that a client may have open on one connection.
    pub streams: u32,
    /// A call's headers, as RFC 9113 6.5.2 counts them.
    pub header_list: u32,
    /// One message of either direction.
    pub message: usize,
    /// What a compressed first message may come to when a route looks into it.
    pub unpacked: usize,
    /// What a client's stream may be kept of for another attempt: for each call, and for all together.
    pub replay: usize,
    pub replay_all: usize,
    /// Flow control windows (RFC 9113 5.2) of a stream and of a connection.
    pub window: u32,
    pub connection_window: u32,
    /// The preface and the first settings must be in by then; a connection without a call is closed after this.
    pub handshake_s: f64,
    pub idle_s: f64,
    /// Frames of a kind that cost much and ask little; over it the connection ends with ENHANCE_YOUR_CALM.
    pub resets: u32,
    pub pings: u32,
    pub settings: u32,
    pub empty_data: u32,
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

/// Where a front's servers come from.
#[derive(Clone, Debug)]
pub struct ServerSource {
    /// The master file.
    pub records: PathBuf,
    pub service: String,
}

/// The query API as the file describes it.
pub struct QueryApiConfig {
    pub listen: SocketAddr,
    pub source: ServerSource,
    /// The index of each class, in the order of the settings; `None` where it has none.
    pub indices: Vec<Option<String>>,
    pub shards: u32,
    pub deployment: Rc<Deployment>,
}

/// The gRPC front as the file describes it.
pub struct GrpcConfig {
    pub listen: SocketAddr,
    pub source: ServerSource,
    pub routes: Routes,
    /// The rows that those were compiled from.
    pub rows: Vec<grpc_routing::Row>,
    pub front: FrontLimits,
    pub pool: connection_pool::Limits,
    /// The settings with a class more for each effect that a route gives one of them.
    pub deployment: Rc<Deployment>,
}

/// All that the file says.
#[derive(Default)]
pub struct OperatorConfig {
    pub query_api: Option<QueryApiConfig>,
    pub grpc: Option<GrpcConfig>,
    pub cluster: Option<ClusterConfig>,
}

impl OperatorConfig {
    /// Read and check the file; nothing is opened but what it names.
    pub fn read(path: &Path) -> Result<OperatorConfig, OperatorConfigError> {
        let bare = |what: String| OperatorConfigError {
            file: path.into(),
            path: String::new(),
            position: None,
            message: what,
        };
        let text = std::fs::read_to_string(path).map_err(|e| bare(e.to_string()))?;
        OperatorConfig::parse(&text, path)
    }

    /// Check `text` as the content of `path`, from which relative paths start.
    pub fn parse(text: &str, path: &Path) -> Result<OperatorConfig, OperatorConfigError> {
        let at = |segments: &[PathSegment], what: String| OperatorConfigError {
            file: path.into(),
            path: format_path(segments),
            position: locate(text, segments),
            message: what,
        };
        let mut json5 = json5::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(&mut json5).map_err(|e| {
            let place = e.inner().position().map(|p| (p.line + 1, p.column + 1));
            let shown = e.path().to_string();
            let what = e.inner().to_string();
            // The library ends its words with the place, which stands in front of ours.
            let what = what.split(" at line ").next().unwrap_or(&what).to_owned();
            let shown = if shown == "." { String::new() } else { shown };
            OperatorConfigError { file: path.into(), path: shown, position: place, message: what }
        })?;
        let told = settings::parse(file.settings.to_string().as_bytes()).map_err(|e| {
            // Its words begin with the path inside the settings.
            let words = e.0.strip_prefix("settings: ").unwrap_or(&e.0).to_owned();
            let inner = words.split(' ').next().unwrap_or_default();
            let mut segments = vec![PathSegment::Key("settings".into())];
            let class = words.rsplit_once("(class ").and_then(|(_, n)| n.trim_end_matches(')').parse().ok());
            segments.extend(
                class.into_iter().flat_map(|n| [PathSegment::Key("Classes".into()), PathSegment::Index(n)]),
            );
            segments.extend(inner.split('.').map(|key| PathSegment::Key(key.into())));
            at(&segments, words)
        })?;
        let settings_at = |what: String| at(&[PathSegment::Key("settings".into())], what);
        crate::balancer::state::check(&told.settings).map_err(|e| settings_at(e.to_string()))?;
        let shards = told.shards.filter(|n| *n > 0);
        let shards = shards.ok_or_else(|| settings_at("FamilyInfo.Shards is missing or 0".into()))?;
        let folder = path.parent().unwrap_or(Path::new(""));
        let source = |records: &Path, service: &str| ServerSource {
            records: folder.join(records),
            service: service.into(),
        };
        let query_api = file.query_api.map(|q| {
            let mut indices = vec![None; told.class_names.len()];
            for (index, class) in &q.indices {
                let here = ["query_api", "indices", index].map(|k| PathSegment::Key(k.into()));
                let slot = told.class_names.iter().position(|c| c == class);
                let slot =
                    slot.ok_or_else(|| at(&here, format!("no class '{class}' in settings.Classes")))?;
                if indices[slot].replace(index.clone()).is_some() {
                    return Err(at(&here, format!("class '{class}' has another index")));
                }
            }
            let (listen, source) = (q.listen, source(&q.records, &q.service));
            Ok(QueryApiConfig { listen, source, indices, shards, deployment: Rc::new(told.clone()) })
        });
        let grpc = file.grpc.map(|g| {
            let key = |keys: &[&str]| keys.iter().map(|k| PathSegment::Key((*k).into())).collect::<Vec<_>>();
            let mut told = told.clone();
            let routes = Routes::compile(&g.routes, &mut told, shards, g.front.message).map_err(|e| {
                let mut here = key(&["grpc", "routes"]);
                here.push(PathSegment::Index(e.row));
                here.extend(e.key.map(|k| PathSegment::Key(k.into())));
                at(&here, e.what)
            })?;
            g.front.check().map_err(|(k, what)| at(&key(&["grpc", "front", k]), what))?;
            g.pool.check().map_err(|(k, what)| at(&key(&["grpc", "pool", k]), what))?;
            let (listen, source) = (g.listen, source(&g.records, &g.service));
            let (rows, front, pool) = (g.routes, g.front, g.pool);
            Ok(GrpcConfig { listen, source, routes, rows, front, pool, deployment: Rc::new(told) })
        });
        let served = query_api.is_some();
        let fleet = file.fleet.map(|f| {
            ClusterConfig::check(f, folder, &told, served).map_err(|(inner, what)| {
                let mut here = vec![PathSegment::Key("fleet".into())];
                here.extend(inner);
                at(&here, what)
            })
        });
        Ok(OperatorConfig {
            query_api: query_api.transpose()?,
            grpc: grpc.transpose()?,
            cluster: fleet.transpose()?,
        })
    }
}

impl FrontLimits {
    /// Guards against bounds under which no call could be served, or no flood be stopped.
    fn check(&self) -> Result<(), (&'static str, String)> {
        let bad = |key, what: &str| Err((key, what.to_owned()));
        let span = |s: f64| s.is_finite() && s > 0.0 && s <= 86_400.0;
        match self {
            l if l.streams == 0 => bad("streams", "must be at least 1"),
            l if l.header_list < 1024 => bad("header_list", "must be at least 1024"),
            l if l.message == 0 || l.message > 1 << 30 => bad("message", "must be 1 to 2^30"),
            l if l.unpacked > 1 << 30 => bad("unpacked", "must be at most 2^30"),
            l if l.replay_all < l.replay => bad("replay_all", "must be at least grpc.front.replay"),
            l if l.window < 1024 || l.window > i32::MAX as u32 => bad("window", "must be 1024 to 2^31-1"),
            l if l.connection_window < l.window || l.connection_window > i32::MAX as u32 => {
                bad("connection_window", "must be at least grpc.front.window and at most 2^31-1")
            }
            l if !span(l.handshake_s) => bad("handshake_s", "must be over 0 and at most 86400"),
            l if !span(l.idle_s) => bad("idle_s", "must be over 0 and at most 86400"),
            l if l.resets == 0 => bad("resets", "must be at least 1"),
            l if l.settings < 2 => bad("settings", "must be at least 2: the first settings and their ACK"),
            l if l.others == 0 => bad("others", "must be at least 1"),
            _ => Ok(()),
        }
    }
}
