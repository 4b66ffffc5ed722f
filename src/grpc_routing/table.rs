//! The table itself: rows checked and compiled, the most specific match found in two look-ups.
use std::collections::BTreeMap;
use std::sync::Arc;

use super::{KeyMapping, Merge, MethodKind, RepeatEffect, Route, RouteRow, ShardSource};
use crate::balancer::interface::{Class, ClassId, Idempotency};
use crate::config::settings::Deployment;

/// What is wrong with a row of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowError {
    /// Index of the row, from 0.
    pub row: usize,
    /// The key at fault, if it is one.
    pub key: Option<&'static str>,
    /// What is wrong with it.
    pub what: String,
}

/// The compiled table. Cheap to clone: a snapshot that a call keeps while the table is replaced.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    methods: BTreeMap<String, Arc<Route>>,
    /// By service, with its slashes: `/package.Service/`.
    services: BTreeMap<String, Arc<Route>>,
    rest: Option<Arc<Route>>,
}

/// Metadata that a route may not take its shard from: it is not the caller's word, or changes on its way.
const NOT_KEYS: [&str; 4] = ["grpc-timeout", "content-type", "te", "user-agent"];

/// Largest field number of a protobuf message.
const MAX_FIELD_NUMBER: u32 = (1 << 29) - 1;
/// Longest path to a field.
const MAX_FIELD_DEPTH: usize = 16;

/// The service that the front itself is (gRPC health checking protocol).
const HEALTH: &str = "/grpc.health.v1.Health/";

impl RouteTable {
    /// Compile the rows. `max_message_bytes` is the front's limit.
    ///
    /// A class gets a variant of its own in `deployment` for each idempotency, or ban on hedging, that a row
    /// gives it: the decision module goes by classes alone. Variants that are there already are used again,
    /// so that a reload adds classes behind those that a running coordinator knows.
    ///
    /// # Errors
    ///
    /// The first row that cannot be used, and why.
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
                let what = "must be at least 1: a route that takes no call is left out";
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
        let taken = match split(pattern) {
            // Prevents a row without effect: the front serves this service by itself.
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
        if taken.is_some() {
            return bad(format!("'{pattern}' has another row"));
        }
        Ok(())
    }

    /// The route of a path, the most specific one that fits it.
    pub fn find(&self, path: &str) -> Option<&Arc<Route>> {
        let (service, _) = split(path).filter(|(_, method)| *method != "*")?;
        self.methods.get(path).or_else(|| self.services.get(service)).or(self.rest.as_ref())
    }

    /// All routes, the most specific first.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.methods.values().chain(self.services.values()).chain(&self.rest)
    }
}

/// A path's service, with both its slashes, and its method.
fn split(path: &str) -> Option<(&str, &str)> {
    let at = path.rfind('/')?;
    let (service, method) = path.split_at(at + 1);
    let name = service.strip_prefix('/')?.strip_suffix('/')?;
    let word = |w: &str| !w.is_empty() && w.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_');
    let sound = name.split('.').all(word) && (method == "*" || word(method));
    sound.then_some((service, method))
}

/// A key of a row, and what is wrong with its value.
type KeyError = (&'static str, String);

/// The class that a row asks for: the settings' class with the row's idempotency and hedging.
fn class_of(row: &RouteRow, deployment: &Deployment) -> Result<Class, KeyError> {
    let index = deployment.class_names.iter().position(|name| *name == row.class);
    let index = index.ok_or_else(|| ("class", format!("no class '{}' in settings.Classes", row.class)))?;
    let mut class = deployment.settings.classes[index];
    if let Some(idempotency) = idempotency_of(row, class.idempotency)? {
        class.idempotency = idempotency;
    }
    // A second step belongs to the platform's classes; a call has one.
    class.second_step_parts = 0;
    class.hedging &= row.hedging;
    Ok(class)
}

/// The idempotency that a row gives its class, if it does; `own` is the class's.
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
                return Err(("window_s", "is missing: for how long are repeats dropped?".into()));
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

/// The number of a class of this name and content, which is added if there is none.
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
