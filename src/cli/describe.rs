//! What the commands print that open nothing.
use std::fmt::Write;
use std::path::Path;

use crate::balancer::interface::{EndpointState, Idempotency, ShardId};
use crate::config::operator::{GrpcConfig, OperatorConfig, OperatorConfigError, ServerSource};
use crate::config::settings::Deployment;
use crate::grpc_routing::{As, Route, ShardFrom};
use crate::net::dns_sd::watcher;
use crate::net::dns_sd::zone_file::Server;

/// The servers of a source; what is wrong with its records stands in the file's line.
fn servers(path: &Path, at: &str, source: &ServerSource) -> Result<Vec<Server>, OperatorConfigError> {
    let error = |what: String| OperatorConfigError {
        file: path.into(),
        path: at.to_owned(),
        position: None,
        message: what,
    };
    watcher::read(source).map_err(|e| error(e.to_string()))
}

/// Check a file and all that it names; what it would serve, a line each.
pub fn check(path: &Path) -> Result<String, OperatorConfigError> {
    let operator = OperatorConfig::read(path)?;
    let mut out = String::new();
    if let Some(api) = &operator.query_api {
        let servers = servers(path, "query_api.records", &api.source)?;
        let indices = api.indices.iter().flatten().count();
        let _ = writeln!(out, "query API on {}: {indices} indices, {} servers", api.listen, servers.len());
    }
    if let Some(grpc) = &operator.grpc {
        let servers = servers(path, "grpc.records", &grpc.source)?;
        let routes = grpc.routes.all().count();
        let _ = writeln!(out, "gRPC on {}: {routes} routes, {} servers", grpc.listen, servers.len());
        for shard in (0..grpc.deployment.shards.unwrap_or(0)).map(ShardId) {
            if holders(&grpc.deployment, &servers, shard).is_empty() {
                let _ = writeln!(out, "  shard {} has no server that is up", shard.0);
            }
        }
    }
    if out.is_empty() {
        out += "no front is described\n";
    }
    Ok(out)
}

/// The servers that hold a shard and take new calls, as the module's draw has them (`interface::CellId`).
fn holders<'s>(told: &Deployment, servers: &'s [Server], shard: ShardId) -> Vec<&'s Server> {
    let (cells, reach) = (told.settings.cells, told.settings.reach);
    let row = |cell: u32| (0..reach.min(cells)).any(|j| (shard.0 % cells + j) % cells == cell);
    let held = |s: &&Server| s.phase == EndpointState::Ready && row(u32::from(s.cell));
    servers.iter().filter(held).collect()
}

fn line(told: &Deployment, route: &Route) -> String {
    let class = &told.settings.classes[usize::from(route.class.0)];
    let effect = match class.idempotency {
        Idempotency::Idempotent => "safe to repeat".to_owned(),
        Idempotency::Keyed { window } => format!("repeats are dropped for {window} s"),
        Idempotency::NonIdempotent => "not to be repeated".to_owned(),
    };
    let way = |how: &As| if *how == As::Hash { "hash of " } else { "" };
    let shard = match &route.shard {
        ShardFrom::Any => "any".to_owned(),
        ShardFrom::Metadata { key, how } => format!("{}metadata '{key}'", way(how)),
        ShardFrom::Field { path, how } => {
            let path: Vec<String> = path.iter().map(u32::to_string).collect();
            format!("{}field {} of the first message", way(how), path.join("."))
        }
    };
    format!(
        "{}  {:?}, class {}, {effect}, {}, deadline {} s, shard by {shard}{}",
        route.pattern,
        route.kind,
        told.class_names[usize::from(route.class.0)],
        if class.hedging { "copies" } else { "no copies" },
        class.deadline,
        if route.merge.is_some() { ", merged" } else { "" }
    )
}

/// All routes, or where one call would go.
pub fn routes(
    path: &Path,
    call: Option<&str>,
    metadata: &[(String, String)],
    message: Option<&Path>,
) -> Result<String, OperatorConfigError> {
    let error = |at: &str, what: String| OperatorConfigError {
        file: path.into(),
        path: at.into(),
        position: None,
        message: what,
    };
    let operator = OperatorConfig::read(path)?;
    let GrpcConfig { routes, deployment, source, .. } =
        operator.grpc.ok_or_else(|| error("grpc", "the file describes no gRPC front".into()))?;
    let Some(call) = call else {
        return Ok(routes.all().map(|r| line(&deployment, r) + "\n").collect());
    };
    let route = routes
        .find(call)
        .ok_or_else(|| error("grpc.routes", format!("no route for {call}: UNIMPLEMENTED")))?;
    let mut out = line(&deployment, route) + "\n";
    let first =
        message.map(|m| std::fs::read(m).map_err(|e| error("--message", e.to_string()))).transpose()?;
    if route.shard == ShardFrom::Any {
        let _ = writeln!(out, "any shard, by chance for each call");
        return Ok(out);
    }
    let values = |key: &str| {
        let held = metadata.iter().filter(|(k, _)| k == key);
        held.map(|(_, v)| v.as_str()).collect::<Vec<_>>()
    };
    let shards = route.shards(values, first.as_deref(), 0);
    let shards = shards.map_err(|e| error("--call", format!("{e}: INVALID_ARGUMENT")))?;
    let servers = servers(path, "grpc.records", &source)?;
    for shard in shards {
        let held = holders(&deployment, &servers, shard);
        let held: Vec<String> = held.iter().map(|s| format!("{} ({})", s.name, s.address)).collect();
        let held = if held.is_empty() { "no server that is up".to_owned() } else { held.join(", ") };
        let _ = writeln!(out, "shard {}: {held}", shard.0);
    }
    Ok(out)
}
