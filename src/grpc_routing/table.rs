//! The routing table: validates and compiles the rows, and finds the most specific match for a path by map
//! lookups.
use std::collections::BTreeMap;
use std::sync::Arc;

use super::{KeyMapping, Merge, MethodKind, RepeatEffect, Route, RouteRow, ShardSource};
use crate::balancer::interface::{Class, ClassId, Idempotency};
use crate::config::settings::Deployment;

/// Why a row of the table is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowError {
    /// Index of the row, from 0.
    pub row: usize,
    /// The key with the invalid value, if the error concerns a single key.
    pub key: Option<&'static str>,
    /// The reason.
    pub what: String,
}

/// A compiled routing table. Cheap to clone, as routes are shared: a call can keep its route while a reload
/// replaces the table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Routes of single methods, by path.
    methods: BTreeMap<String, Arc<Route>>,
    /// Routes of whole services, by name with both slashes: `/package.Service/`.
    services: BTreeMap<String, Arc<Route>>,
    /// The route `*`.
    rest: Option<Arc<Route>>,
}

/// Metadata keys that a route may not take the shard from: they are set by the transport, not by the caller,
/// or change from hop to hop.
const NOT_KEYS: [&str; 4] = ["grpc-timeout", "content-type", "te", "user-agent"];

/// The largest field number of a Protocol Buffers message.
const MAX_FIELD_NUMBER: u32 = (1 << 29) - 1;
/// The longest path to a field, in field numbers.
const MAX_FIELD_DEPTH: usize = 16;

/// The service that the front implements itself (gRPC health checking protocol).
const HEALTH: &str = "/grpc.health.v1.Health/";

impl RouteTable {
    /// Compiles the rows into a table. `max_message_bytes` is the front's limit.
    ///
    /// The decision module only knows classes. Therefore, each combination of idempotency and hedging that a
    /// row gives its class becomes a variant of that class in `deployment`. Existing variants are reused, so
    /// that a reload only appends classes to those that a running coordinator knows.
    ///
    /// # Errors
    ///
    /// The first invalid row, and why.
    pub fn compile(
        rows: &[RouteRow],
        deployment: &mut Deployment,
        shard_count: u32,
        max_message_bytes: usize,
    ) -> Result<RouteTable, RowError> {
        let mut table = RouteTable::default();
        for (index, row) in rows.iter().enumerate() {
            let in_row = |(key, what)| RowError { row: index, key: Some(key), what };
            let class = class_of(row, deployment).map_err(in_row)?;
            check_merge(row).map_err(in_row)?;
            check_shard_source(&row.shard).map_err(in_row)?;
            let max_message_bytes = message_limit(row, max_message_bytes).map_err(in_row)?;
            if row.max_open_calls == Some(0) {
                let what = "must be at least 1; to accept no calls, remove the route";
                return Err(in_row(("open", what.into())));
            }
            let route = Route {
                pattern: row.pattern.clone(),
                kind: row.kind,
                class: class_id(deployment, &row.class, class),
                shard: row.shard.clone(),
                merge: row.merge.filter(|merge| *merge == Merge::Concat),
                max_message_bytes,
                max_open_calls: row.max_open_calls,
                shard_count,
            };
            table.insert(index, &row.pattern, Arc::new(route))?;
        }
        Ok(table)
    }

    fn insert(&mut self, row: usize, pattern: &str, route: Arc<Route>) -> Result<(), RowError> {
        let bad = |what: String| Err(RowError { row, key: Some("match"), what });
        let previous = match split(pattern) {
            // The front serves this service itself, so such a row would have no effect.
            Some((HEALTH, _)) => return bad(format!("'{pattern}' is never reached: the front answers it")),
            None if pattern == "*" => self.rest.replace(route),
            None => {
                return bad(format!(
                    "'{pattern}' is not '/package.Service/Method', '/package.Service/*' or '*'"
                ))
            }
            Some((service, "*")) => self.services.insert(service.to_owned(), route),
            Some(_) => self.methods.insert(pattern.to_owned(), route),
        };
        if previous.is_some() {
            return bad(format!("'{pattern}' has another row"));
        }
        Ok(())
    }

    /// Returns the most specific route that matches a path.
    pub fn find(&self, path: &str) -> Option<&Arc<Route>> {
        let (service, _) = split(path).filter(|(_, method)| *method != "*")?;
        self.methods.get(path).or_else(|| self.services.get(service)).or(self.rest.as_ref())
    }

    /// Returns all routes: those of methods, then those of services, then `*`.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.methods.values().chain(self.services.values()).chain(&self.rest)
    }
}

/// Splits a path into its service, including both slashes, and its method. `None` if the path is malformed.
fn split(path: &str) -> Option<(&str, &str)> {
    let at = path.rfind('/')?;
    let (service, method) = path.split_at(at + 1);
    let name = service.strip_prefix('/')?.strip_suffix('/')?;
    let word = |w: &str| !w.is_empty() && w.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_');
    let sound = name.split('.').all(word) && (method == "*" || word(method));
    sound.then_some((service, method))
}

/// The key of a row whose value is invalid, and the reason.
type KeyError = (&'static str, String);

/// Returns the class of a row: the class from the settings, with the row's idempotency and hedging.
fn class_of(row: &RouteRow, deployment: &Deployment) -> Result<Class, KeyError> {
    let index = deployment.class_names.iter().position(|name| *name == row.class);
    let index = index.ok_or_else(|| ("class", format!("no class '{}' in settings.Classes", row.class)))?;
    let mut class = deployment.settings.classes[index];
    if let Some(idempotency) = idempotency_of(row, class.idempotency)? {
        class.idempotency = idempotency;
    }
    // Only queries of the platform API have a second step; a gRPC call has one step.
    class.second_step_parts = 0;
    class.hedging &= row.hedging;
    Ok(class)
}

/// Returns the idempotency that a row sets, if it sets one. `own` is that of the row's class.
fn idempotency_of(row: &RouteRow, own: Idempotency) -> Result<Option<Idempotency>, KeyError> {
    match row.effect {
        None if row.window_s.is_some() => Err(("window_s", "goes with effect 'keyed'".into())),
        None => Ok(None),
        Some(RepeatEffect::Safe) => Ok(Some(Idempotency::Idempotent)),
        Some(RepeatEffect::Unsafe) => Ok(Some(Idempotency::NonIdempotent)),
        Some(RepeatEffect::Keyed) => {
            let own_window = match own {
                Idempotency::Keyed { window } => Some(window),
                _ => None,
            };
            let Some(window) = row.window_s.or(own_window) else {
                return Err(("window_s", "is missing: effect 'keyed' needs a deduplication window".into()));
            };
            if !(window.is_finite() && window > 0.0) {
                return Err(("window_s", "must be over 0".into()));
            }
            Ok(Some(Idempotency::Keyed { window }))
        }
    }
}

fn check_merge(row: &RouteRow) -> Result<(), KeyError> {
    let may_name_several = matches!(row.shard, ShardSource::Metadata { mapping: KeyMapping::Number, .. });
    if row.merge.is_some() && (row.kind != MethodKind::Unary || !may_name_several) {
        return Err(("merge", "is for unary methods whose shard is a number in the metadata".into()));
    }
    Ok(())
}

fn check_shard_source(shard: &ShardSource) -> Result<(), KeyError> {
    match shard {
        ShardSource::Metadata { key, .. } => {
            let is_allowed = |b| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.');
            let is_plain = !key.is_empty() && key.bytes().all(is_allowed) && !key.ends_with("-bin");
            if !is_plain || NOT_KEYS.contains(&key.as_str()) {
                return Err(("shard", format!("'{key}' is not a metadata key that can name a shard")));
            }
        }
        ShardSource::Field { path, .. } => {
            let is_field_number = |n: &u32| (1..=MAX_FIELD_NUMBER).contains(n);
            let is_path = (1..=MAX_FIELD_DEPTH).contains(&path.len()) && path.iter().all(is_field_number);
            if !is_path {
                return Err(("shard", "path must hold 1 to 16 field numbers".into()));
            }
        }
        ShardSource::Any => {}
    }
    Ok(())
}

fn message_limit(row: &RouteRow, front_limit: usize) -> Result<usize, KeyError> {
    let bytes = row.max_message_bytes.unwrap_or(front_limit);
    if bytes == 0 || bytes > front_limit {
        return Err(("message", format!("must be 1 to grpc.front.message, which is {front_limit}")));
    }
    Ok(bytes)
}

/// Returns the number of the class with this name and content, adding it if there is none.
fn class_id(deployment: &mut Deployment, name: &str, class: Class) -> ClassId {
    let classes = &mut deployment.settings.classes;
    let names = &mut deployment.class_names;
    let known = names.iter().zip(classes.iter()).position(|(n, c)| n == name && *c == class);
    let index = known.unwrap_or(classes.len());
    if known.is_none() {
        classes.push(class);
        names.push(name.to_owned());
    }
    ClassId(index as u16)
}
