//! The operator's own configuration file (`deploy/marlgap.json5`): a JSON5 document with one section for
//! each subsystem.
//!
//! Invariant: the file is read and validated as a whole before anything is opened. An error is one line
//! with the file, the position and the path of the value.
mod cluster;
mod error;
mod grpc;
mod locate;
mod query_api;

use std::path::{Path, PathBuf};

use serde::Deserialize;

pub use self::cluster::ClusterConfig;
pub use self::error::OperatorConfigError;
pub use self::grpc::{FrontLimits, GrpcConfig};
pub use self::locate::{format_path, locate, PathSegment, Position};
pub use self::query_api::QueryApiConfig;
use crate::config::settings::{self, Deployment, SettingsParseError};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    settings: serde_json::Value,
    query_api: Option<query_api::QueryApiSection>,
    grpc: Option<grpc::GrpcSection>,
    #[serde(rename = "fleet")]
    cluster: Option<cluster::ClusterSection>,
}

/// The source of the server list of a front end.
#[derive(Clone, Debug)]
pub struct ServerSource {
    /// The DNS master file (RFC 1035, 5) that contains the records.
    pub records: PathBuf,
    /// The service to browse for in that file (RFC 6763).
    pub service: String,
}

/// The validated configuration file. A subsystem without a section is disabled.
#[derive(Default)]
pub struct OperatorConfig {
    /// The query API.
    pub query_api: Option<QueryApiConfig>,
    /// The gRPC front end.
    pub grpc: Option<GrpcConfig>,
    /// The cluster that this process is a member of.
    pub cluster: Option<ClusterConfig>,
}

impl OperatorConfig {
    /// Reads and validates the file. The records and other files that it refers to are not opened.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or is invalid.
    pub fn read(path: &Path) -> Result<OperatorConfig, OperatorConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| OperatorConfigError {
            file: path.into(),
            path: String::new(),
            position: None,
            message: e.to_string(),
        })?;
        OperatorConfig::parse(&text, path)
    }

    /// Validates `text` as the content of `path`. Relative paths are resolved against the folder of `path`.
    ///
    /// # Errors
    ///
    /// Returns the first error in the order of the sections.
    pub fn parse(text: &str, path: &Path) -> Result<OperatorConfig, OperatorConfigError> {
        let document = Document { text, path };
        let file = document.deserialize()?;
        let deployment = document.parse_settings(&file.settings)?;
        let shards = document.check_settings(&deployment)?;
        let query_api = match file.query_api {
            Some(section) => Some(section.compile(&document, &deployment, shards)?),
            None => None,
        };
        let grpc = match file.grpc {
            Some(section) => Some(section.compile(&document, &deployment, shards)?),
            None => None,
        };
        let has_query_api = query_api.is_some();
        let cluster = file.cluster.map(|section| {
            let checked = ClusterConfig::check(section, document.folder(), &deployment, has_query_api);
            checked.map_err(|(inner, message)| {
                let mut segments = vec![PathSegment::Key("fleet".into())];
                segments.extend(inner);
                document.error_at(&segments, message)
            })
        });
        Ok(OperatorConfig { query_api, grpc, cluster: cluster.transpose()? })
    }
}

/// The text of the file and its path, for errors and for resolving relative paths.
struct Document<'t> {
    text: &'t str,
    path: &'t Path,
}

impl Document<'_> {
    /// Returns the folder against which relative paths are resolved.
    fn folder(&self) -> &Path {
        self.path.parent().unwrap_or(Path::new(""))
    }

    fn server_source(&self, records: &Path, service: String) -> ServerSource {
        ServerSource { records: self.folder().join(records), service }
    }

    fn error_at(&self, segments: &[PathSegment], message: String) -> OperatorConfigError {
        OperatorConfigError {
            file: self.path.into(),
            path: format_path(segments),
            position: locate(self.text, segments),
            message,
        }
    }

    fn deserialize(&self) -> Result<File, OperatorConfigError> {
        let mut json5 = json5::Deserializer::from_str(self.text);
        serde_path_to_error::deserialize(&mut json5).map_err(|e| {
            let path = e.path().to_string();
            let message = e.inner().to_string();
            // The parser appends the position to its message, while these errors start with it.
            let message = message.split(" at line ").next().unwrap_or(&message).to_owned();
            OperatorConfigError {
                file: self.path.into(),
                path: if path == "." { String::new() } else { path },
                position: e.inner().position().map(Position::from),
                message,
            }
        })
    }

    fn parse_settings(&self, section: &serde_json::Value) -> Result<Deployment, OperatorConfigError> {
        settings::parse(section.to_string().as_bytes()).map_err(|e| self.settings_error(&e))
    }

    /// Converts an error in the settings to one with a position. The text of the settings error starts with
    /// the path inside the settings and may end with the index of the class that it concerns.
    fn settings_error(&self, error: &SettingsParseError) -> OperatorConfigError {
        let text = error.to_string();
        let message = text.strip_prefix("settings: ").unwrap_or(&text).to_owned();
        let mut segments = vec![PathSegment::Key("settings".into())];
        let class = message.rsplit_once("(class ").and_then(|(_, n)| n.trim_end_matches(')').parse().ok());
        if let Some(class) = class {
            segments.push(PathSegment::Key("Classes".into()));
            segments.push(PathSegment::Index(class));
        }
        let inner = message.split(' ').next().unwrap_or_default();
        segments.extend(inner.split('.').map(|key| PathSegment::Key(key.into())));
        self.error_at(&segments, message)
    }

    /// Validates what the settings need in addition to being well-formed, and returns the number of shards.
    fn check_settings(&self, deployment: &Deployment) -> Result<u32, OperatorConfigError> {
        let error = |message: String| self.error_at(&[PathSegment::Key("settings".into())], message);
        crate::balancer::state::validate(&deployment.settings).map_err(|e| error(e.to_string()))?;
        let shards = deployment.shard_count.filter(|n| *n > 0);
        shards.ok_or_else(|| error("FamilyInfo.Shards is missing or 0".into()))
    }
}

/// Returns the path that consists of the given keys.
fn key_path(keys: &[&str]) -> Vec<PathSegment> {
    keys.iter().map(|key| PathSegment::Key((*key).into())).collect()
}
