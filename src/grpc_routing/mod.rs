//! Where a gRPC call goes: the table of routes, compiled once from the operator's file. No I/O, no clock; what is
//! random is handed in. The decision module then chooses the server; a route only says as what class the call
//! counts, which shards it needs and what may be done with it.
mod shard;
mod table;

use std::fmt;

use serde::Deserialize;

pub use self::shard::{find_field, first_message, stable_hash, FieldValue, MalformedMessage};
pub use self::table::{RouteTable, RowError};
use crate::balancer::interface::{ClassId, ShardId};

/// What kind of call a method is, by which sides stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MethodKind {
    Unary,
    ClientStream,
    ServerStream,
    Bidi,
}

impl MethodKind {
    /// The client may send more than one message.
    pub fn client_streams(self) -> bool {
        matches!(self, MethodKind::ClientStream | MethodKind::Bidi)
    }

    /// The server may send more than one message.
    pub fn server_streams(self) -> bool {
        matches!(self, MethodKind::ServerStream | MethodKind::Bidi)
    }
}

/// What a repeat of a call may do, as the file says it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatEffect {
    Safe,
    Keyed,
    Unsafe,
}

/// How a key becomes a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyMapping {
    /// It is the shard's number.
    #[default]
    Number,
    /// Its stable hash, modulo the number of shards.
    Hash,
}

/// Where the shard of a call comes from.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, tag = "from")]
pub enum ShardSource {
    /// A metadata key; with [`As::Number`] a list of numbers for a call to several shards.
    Metadata {
        key: String,
        #[serde(default, rename = "as")]
        mapping: KeyMapping,
    },
    /// A field of the first message, by the numbers that lead to it.
    Field {
        path: Vec<u32>,
        #[serde(default, rename = "as")]
        mapping: KeyMapping,
    },
    /// Any shard serves it.
    Any,
}

/// How the answers of several shards become one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Merge {
    /// The messages one after another, in the order of their shards: repeated fields are concatenated, of others
    /// the last one counts (Protocol Buffers encoding, "Last One Wins").
    Concat,
}

/// A row of the table, as the file has it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRow {
    /// `/package.Service/Method`, `/package.Service/*` or `*`.
    #[serde(rename = "match")]
    pub pattern: String,
    pub kind: MethodKind,
    pub class: String,
    /// Unset: the class's own.
    pub effect: Option<RepeatEffect>,
    /// For how long repeats are dropped, in seconds; for `keyed` where the class has none.
    pub window_s: Option<f64>,
    /// Whether a second attempt may run beside a first one.
    #[serde(rename = "copy", default = "enabled")]
    pub hedging: bool,
    pub shard: ShardSource,
    pub merge: Option<Merge>,
    /// The largest message, in bytes; at most the front's.
    #[serde(rename = "message")]
    pub max_message_bytes: Option<usize>,
    /// Calls of this route that may be open at once.
    #[serde(rename = "open")]
    pub max_open_calls: Option<usize>,
}

fn enabled() -> bool {
    true
}

/// A compiled route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub pattern: String,
    pub kind: MethodKind,
    pub class: ClassId,
    pub shard: ShardSource,
    pub merge: Option<Merge>,
    pub max_message_bytes: usize,
    pub max_open_calls: Option<usize>,
    /// How many shards there are.
    pub shard_count: u32,
}

/// Why a call has no shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShardError {
    /// The metadata key or the field is not there.
    Missing(String),
    /// It is there and cannot be used.
    Unusable(String),
    /// There is no such shard.
    OutOfRange(u64),
    /// One shard is named twice.
    Duplicate(u32),
    /// Several shards, and the route does not merge.
    MergeRequired,
    /// The first message is packed in a way that is not read here.
    UnsupportedEncoding(String),
    /// The first message unpacks to more than may be.
    TooLarge,
}

impl fmt::Display for ShardError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ShardError::Missing(what) => write!(f, "{what} is missing: the call's shard is not known"),
            ShardError::Unusable(what) => write!(f, "{what} cannot be used as a shard"),
            ShardError::OutOfRange(n) => write!(f, "there is no shard {n}"),
            ShardError::Duplicate(n) => write!(f, "shard {n} is named twice"),
            ShardError::MergeRequired => f.write_str("this method is asked of one shard at a time"),
            ShardError::UnsupportedEncoding(how) => {
                write!(f, "the first message is packed as '{how}', which is not read here")
            }
            ShardError::TooLarge => f.write_str("the first message unpacks to more than is allowed"),
        }
    }
}

impl std::error::Error for ShardError {}

impl Route {
    /// Whether the first message must be in before the shard is known.
    pub fn needs_first_message(&self) -> bool {
        matches!(self.shard, ShardSource::Field { .. })
    }

    /// The shards of a call, each once and in order, at least one.
    ///
    /// `metadata` gives the values of a key, `first` is the first message as it was unpacked (needed where the
    /// route [looks inside](Route::looks_inside)), `random` decides for `any`.
    pub fn shards<'v>(
        &self,
        metadata: impl Fn(&str) -> Vec<&'v str>,
        first: Option<&[u8]>,
        random: u64,
    ) -> Result<Vec<ShardId>, ShardError> {
        let in_range = |n: u64| match u32::try_from(n).ok().filter(|n| *n < self.shard_count) {
            Some(n) => Ok(ShardId(n)),
            None => Err(ShardError::OutOfRange(n)),
        };
        let hashed = |bytes: &[u8]| ShardId((stable_hash(bytes) % u64::from(self.shard_count)) as u32);
        match &self.shard {
            ShardSource::Any => Ok(vec![ShardId((random % u64::from(self.shard_count)) as u32)]),
            ShardSource::Metadata { key, mapping: KeyMapping::Hash } => match metadata(key)[..] {
                [] => Err(ShardError::Missing(format!("metadata '{key}'"))),
                [value] => Ok(vec![hashed(value.as_bytes())]),
                _ => Err(ShardError::Unusable(format!("metadata '{key}', which is there twice,"))),
            },
            ShardSource::Metadata { key, mapping: KeyMapping::Number } => {
                let values = metadata(key);
                if values.is_empty() {
                    return Err(ShardError::Missing(format!("metadata '{key}'")));
                }
                let mut shards = Vec::new();
                for word in values.iter().flat_map(|v| v.split(',')).map(str::trim) {
                    let digits = !word.is_empty() && word.bytes().all(|b| b.is_ascii_digit());
                    let n = word.parse::<u64>().ok().filter(|_| digits);
                    let n = n.ok_or_else(|| ShardError::Unusable(format!("metadata '{key}'")))?;
                    shards.push(in_range(n)?);
                    // Bounded by the number of shards: a longer list names one twice, or one that is not there.
                    if shards.len() > self.shard_count as usize {
                        break;
                    }
                }
                if shards.len() > 1 && self.merge.is_none() {
                    return Err(ShardError::MergeRequired);
                }
                shards.sort();
                match shards.windows(2).find(|w| w[0] == w[1]) {
                    Some(w) => Err(ShardError::Duplicate(w[0].0)),
                    None => Ok(shards),
                }
            }
            ShardSource::Field { path, mapping } => {
                let named =
                    || format!("field {}", path.iter().map(u32::to_string).collect::<Vec<_>>().join("."));
                let message = first.ok_or_else(|| ShardError::Missing("the first message".into()))?;
                let field = shard::find_field(message, path)
                    .map_err(|_| ShardError::Unusable("the first message".into()))?;
                match (field, mapping) {
                    (None, _) => Err(ShardError::Missing(named())),
                    (Some(FieldValue::Number(n)), KeyMapping::Number) => Ok(vec![in_range(n)?]),
                    (Some(FieldValue::Bytes(_)), KeyMapping::Number) => Err(ShardError::Unusable(named())),
                    (Some(FieldValue::Number(n)), KeyMapping::Hash) => Ok(vec![hashed(&n.to_le_bytes())]),
                    (Some(FieldValue::Bytes(bytes)), KeyMapping::Hash) => Ok(vec![hashed(bytes)]),
                }
            }
        }
    }
}
