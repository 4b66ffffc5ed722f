//! The `check` and `routes` commands: describe what a configuration file would serve and where a gRPC call
//! would go, without opening a listener.
use std::fmt::Write;
use std::path::Path;

use crate::balancer::interface::{EndpointState, Idempotency, ShardId};
use crate::config::operator::{GrpcConfig, OperatorConfig, OperatorConfigError, ServerSource};
use crate::config::settings::Deployment;
use crate::grpc_routing::{KeyMapping, Route, ShardSource};
use crate::net::dns_sd::watcher;
use crate::net::dns_sd::zone_file::Server;

/// Checks a configuration file and all files that it refers to, and returns a description of what it would
/// serve, one item per line.
///
/// # Errors
///
/// Returns an error if the file or the records that it refers to cannot be read or are invalid.
pub fn describe_config(path: &Path) -> Result<String, OperatorConfigError> {
    let operator = OperatorConfig::read(path)?;
    let mut out = String::new();
    if let Some(api) = &operator.query_api {
        let servers = read_servers(path, "query_api.records", &api.source)?;
        let indices = api.indices.iter().flatten().count();
        let _ = writeln!(out, "query API on {}: {indices} indices, {} servers", api.listen, servers.len());
    }
    if let Some(grpc) = &operator.grpc {
        let servers = read_servers(path, "grpc.records", &grpc.source)?;
        let routes = grpc.routes.iter().count();
        let _ = writeln!(out, "gRPC on {}: {routes} routes, {} servers", grpc.listen, servers.len());
        for shard in (0..grpc.deployment.shard_count.unwrap_or(0)).map(ShardId) {
            if ready_replicas(&grpc.deployment, &servers, shard).is_empty() {
                let _ = writeln!(out, "  shard {} has no server that is up", shard.0);
            }
        }
    }
    if out.is_empty() {
        out += "no front is described\n";
    }
    Ok(out)
}

/// A gRPC call as described on the command line.
pub struct DescribedCall<'a> {
    /// The method, in the form `/package.Service/Method`.
    pub method: &'a str,
    /// The metadata as pairs of lower-case keys and values.
    pub metadata: &'a [(String, String)],
    /// A file that contains the first message, encoded as protobuf.
    pub message: Option<&'a Path>,
}

/// Lists all routes of a file, one per line, or for a single call its route and the servers that it may be
/// sent to.
///
/// # Errors
///
/// Returns an error if the file, its records or the message cannot be read or are invalid, or if no route
/// matches the call or its shards cannot be determined.
pub fn describe_routes(path: &Path, call: Option<DescribedCall>) -> Result<String, OperatorConfigError> {
    let operator = OperatorConfig::read(path)?;
    let grpc = operator.grpc;
    let grpc = grpc.ok_or_else(|| error(path, "grpc", "the file has no grpc section".into()))?;
    match call {
        Some(call) => describe_call(path, &grpc, &call),
        None => Ok(grpc.routes.iter().map(|route| describe_route(&grpc.deployment, route) + "\n").collect()),
    }
}

fn describe_call(
    path: &Path,
    grpc: &GrpcConfig,
    call: &DescribedCall,
) -> Result<String, OperatorConfigError> {
    let GrpcConfig { routes, deployment, source, .. } = grpc;
    let route = routes.find(call.method);
    let route = route
        .ok_or_else(|| error(path, "grpc.routes", format!("no route for {}: UNIMPLEMENTED", call.method)))?;
    let mut out = describe_route(deployment, route) + "\n";
    let message = call.message.map(std::fs::read).transpose();
    let message = message.map_err(|e| error(path, "--message", e.to_string()))?;
    if route.shard == ShardSource::Any {
        let _ = writeln!(out, "any shard, by chance for each call");
        return Ok(out);
    }
    let values = |key: &str| -> Vec<&str> {
        call.metadata.iter().filter(|(k, _)| k == key).map(|(_, value)| value.as_str()).collect()
    };
    let shards = route.shards(values, message.as_deref(), 0);
    let shards = shards.map_err(|e| error(path, "--call", format!("{e}: INVALID_ARGUMENT")))?;
    let servers = read_servers(path, "grpc.records", source)?;
    for shard in shards {
        let replicas: Vec<String> = ready_replicas(deployment, &servers, shard)
            .iter()
            .map(|server| format!("{} ({})", server.name, server.address))
            .collect();
        if replicas.is_empty() {
            let _ = writeln!(out, "shard {}: no server that is up", shard.0);
        } else {
            let _ = writeln!(out, "shard {}: {}", shard.0, replicas.join(", "));
        }
    }
    Ok(out)
}

/// Formats a route as one line.
fn describe_route(deployment: &Deployment, route: &Route) -> String {
    let class = &deployment.settings.classes[usize::from(route.class.0)];
    let idempotency = match class.idempotency {
        Idempotency::Idempotent => "safe to repeat".to_owned(),
        Idempotency::Keyed { window } => format!("repeats are dropped for {window} s"),
        Idempotency::NonIdempotent => "not to be repeated".to_owned(),
    };
    format!(
        "{}  {:?}, class {}, {idempotency}, {}, deadline {} s, shard by {}{}",
        route.pattern,
        route.kind,
        deployment.class_names[usize::from(route.class.0)],
        if class.hedging { "copies" } else { "no copies" },
        class.deadline,
        describe_shard_key(&route.shard),
        if route.merge.is_some() { ", merged" } else { "" }
    )
}

fn describe_shard_key(shard: &ShardSource) -> String {
    let prefix = |how: &KeyMapping| if *how == KeyMapping::Hash { "hash of " } else { "" };
    match shard {
        ShardSource::Any => "any".to_owned(),
        ShardSource::Metadata { key, mapping } => format!("{}metadata '{key}'", prefix(mapping)),
        ShardSource::Field { path, mapping } => {
            let path: Vec<String> = path.iter().map(u32::to_string).collect();
            format!("{}field {} of the first message", prefix(mapping), path.join("."))
        }
    }
}

/// Returns the servers that hold a shard and accept new calls: the ready servers in the cells that are
/// assigned to the shard (see [`crate::balancer::interface::CellId`]), as in replica selection.
fn ready_replicas<'s>(deployment: &Deployment, servers: &'s [Server], shard: ShardId) -> Vec<&'s Server> {
    let cells = deployment.settings.cells;
    let cells_per_shard = deployment.settings.cells_per_shard;
    let holds_shard =
        |cell: u32| (0..cells_per_shard.min(cells)).any(|j| (shard.0 % cells + j) % cells == cell);
    let is_replica = |s: &&Server| s.state == EndpointState::Ready && holds_shard(u32::from(s.cell));
    servers.iter().filter(is_replica).collect()
}

/// Reads the servers of a source. Errors are reported for the configuration key `key`, which names the
/// source.
fn read_servers(path: &Path, key: &str, source: &ServerSource) -> Result<Vec<Server>, OperatorConfigError> {
    watcher::read(source).map_err(|e| error(path, key, e.to_string()))
}

fn error(path: &Path, at: &str, message: String) -> OperatorConfigError {
    OperatorConfigError { file: path.into(), path: at.into(), position: None, message }
}
