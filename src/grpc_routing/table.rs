//! The table itself: rows checked and compiled, the most specific match found in two look-ups.
use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Merge, MethodKind, RepeatEffect, Route, RouteRow, ShardSource};
use crate::balancer::interface::{Class, ClassId, Idempotency};
use crate::config::settings::Deployment;

/// What is wrong with a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowError {
    pub row: usize,
    /// The key at fault, if it is one.
    pub key: Option<&'static str>,
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

/// The service that the front itself is (gRPC health checking protocol).
const HEALTH: &str = "/grpc.health.v1.Health/";

impl RouteTable {
    /// Compile the rows. A class gets a variant of its own in `told` for each effect, or ban on copies, that a row
    /// gives it: the decision module goes by classes alone. Variants that are there already are used again, so that a table
    /// that is reread adds classes behind those that a core knows.
    pub fn compile(
        rows: &[RouteRow],
        told: &mut Deployment,
        shards: u32,
        most: usize,
    ) -> Result<RouteTable, RowError> {
        let mut table = RouteTable::default();
        for (n, row) in rows.iter().enumerate() {
            let bad = |key, what: String| Err(RowError { row: n, key: Some(key), what });
            let class = told.class_names.iter().position(|c| *c == row.class);
            let Some(class) = class else {
                return bad("class", format!("no class '{}' in settings.Classes", row.class));
            };
            let mut wanted = told.settings.classes[class];
            let own = match wanted.idempotency {
                Idempotency::Keyed { window } => Some(window),
                _ => None,
            };
            match row.effect {
                None if row.window_s.is_some() => return bad("window_s", "goes with effect 'keyed'".into()),
                None => {}
                Some(RepeatEffect::Safe) => wanted.idempotency = Idempotency::Idempotent,
                Some(RepeatEffect::Unsafe) => wanted.idempotency = Idempotency::NonIdempotent,
                Some(RepeatEffect::Keyed) => match row.window_s.or(own) {
                    Some(window) if window.is_finite() && window > 0.0 => {
                        wanted.idempotency = Idempotency::Keyed { window }
                    }
                    Some(_) => return bad("window_s", "must be over 0".into()),
                    None => return bad("window_s", "is missing: for how long are repeats dropped?".into()),
                },
            }
            // A second step belongs to the platform's classes; a call has one.
            wanted.second_step_parts = 0;
            wanted.hedging &= row.hedging;
            let several =
                matches!(row.shard, ShardSource::Metadata { mapping: super::KeyMapping::Number, .. });
            if row.merge.is_some() && (row.kind != MethodKind::Unary || !several) {
                return bad("merge", "is for unary methods whose shard is a number in the metadata".into());
            }
            match &row.shard {
                ShardSource::Metadata { key, .. } => {
                    let lower =
                        key.bytes().all(|b| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.'));
                    if key.is_empty() || !lower || key.ends_with("-bin") || NOT_KEYS.contains(&key.as_str()) {
                        return bad("shard", format!("'{key}' is not a metadata key that can name a shard"));
                    }
                }
                ShardSource::Field { path, .. } => {
                    if path.is_empty() || path.len() > 16 || path.iter().any(|f| *f == 0 || *f >= 1 << 29) {
                        return bad("shard", "path must hold 1 to 16 field numbers".into());
                    }
                }
                ShardSource::Any => {}
            }
            let message = row.max_message_bytes.unwrap_or(most);
            if message == 0 || message > most {
                return bad("message", format!("must be 1 to grpc.front.message, which is {most}"));
            }
            if row.max_open_calls == Some(0) {
                return bad("open", "must be at least 1: a route that takes no call is left out".into());
            }
            let same = |(name, class): (&String, &Class)| *name == row.class && *class == wanted;
            let held = told.class_names.iter().zip(&told.settings.classes).position(same);
            let id = ClassId(held.unwrap_or(told.settings.classes.len()) as u16);
            if held.is_none() {
                told.settings.classes.push(wanted);
                told.class_names.push(row.class.clone());
            }
            let merge = row.merge.filter(|m| *m == Merge::Concat);
            let (pattern, kind, shard, open) =
                (row.pattern.clone(), row.kind, row.shard.clone(), row.max_open_calls);
            let route = Arc::new(Route {
                pattern,
                kind,
                class: id,
                shard,
                merge,
                max_message_bytes: message,
                max_open_calls: open,
                shard_count: shards,
            });
            table.insert(n, &row.pattern, route)?;
        }
        Ok(table)
    }

    fn insert(&mut self, row: usize, pattern: &str, route: Arc<Route>) -> Result<(), RowError> {
        let bad = |what: String| Err(RowError { row, key: Some("match"), what });
        let taken = match split(pattern) {
            // Guards against a row that looks as if it counted: the front serves this one by itself.
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
        match taken {
            Some(_) => bad(format!("'{pattern}' has another row")),
            None => Ok(()),
        }
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
