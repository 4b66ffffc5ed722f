//! Where a gRPC call goes: the table of routes, compiled once from the operator's file. No I/O, no clock; what is
//! random is handed in. The decision module then chooses the server; a route only says as what class the call
//! counts, which shards it needs and what may be done with it.
mod shard;
mod table;

use std::fmt;

use serde::Deserialize;

pub use self::shard::{field, first_message, stable_hash, Field, Malformed};
pub use self::table::{Routes, RowError};
use crate::balancer::interface::{ClassId, ShardId};

/// What kind of call a method is, by which sides stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Unary,
    ClientStream,
    ServerStream,
    Bidi,
}

impl Kind {
    /// The client may send more than one message.
    pub fn streams_up(self) -> bool {
        matches!(self, Kind::ClientStream | Kind::Bidi)
    }

    /// The server may send more than one message.
    pub fn streams_down(self) -> bool {
        matches!(self, Kind::ServerStream | Kind::Bidi)
    }
}

/// What a repeat of a call may do, as the file says it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EffectName {
    Safe,
    Keyed,
    Unsafe,
}

/// How a key becomes a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum As {
    /// It is the shard's number.
    #[default]
    Number,
    /// Its stable hash, modulo the number of shards.
    Hash,
}

/// Where the shard of a call comes from.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, tag = "from")]
pub enum ShardFrom {
    /// A metadata key; with [`As::Number`] a list of numbers for a call to several shards.
    Metadata {
        key: String,
        #[serde(default, rename = "as")]
        how: As,
    },
    /// A field of the first message, by the numbers that lead to it.
    Field {
        path: Vec<u32>,
        #[serde(default, rename = "as")]
        how: As,
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
pub struct Row {
    /// `/package.Service/Method`, `/package.Service/*` or `*`.
    #[serde(rename = "match")]
    pub pattern: String,
    pub kind: Kind,
    pub class: String,
    /// Unset: the class's own.
    pub effect: Option<EffectName>,
    /// For how long repeats are dropped, in seconds; for `keyed` where the class has none.
    pub window_s: Option<f64>,
    /// Whether a second attempt may run beside a first one.
    #[serde(default = "yes")]
    pub copy: bool,
    pub shard: ShardFrom,
    pub merge: Option<Merge>,
    /// The largest message, in bytes; at most the front's.
    pub message: Option<usize>,
    /// Calls of this route that may be open at once.
    pub open: Option<usize>,
}

fn yes() -> bool {
    true
}

/// A compiled route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub pattern: String,
    pub kind: Kind,
    pub class: ClassId,
    pub shard: ShardFrom,
    pub merge: Option<Merge>,
    pub message: usize,
    pub open: Option<usize>,
    /// How many shards there are.
    pub shards: u32,
}

/// Why a call has no shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoShard {
    /// The metadata key or the field is not there.
    Missing(String),
    /// It is there and cannot be used.
    Bad(String),
    /// There is no such shard.
    Range(u64),
    /// One shard is named twice.
    Twice(u32),
    /// Several shards, and the route does not merge.
    Several,
    /// The first message is packed in a way that is not read here.
    Packed(String),
    /// The first message unpacks to more than may be.
    TooLarge,
}

impl fmt::Display for NoShard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NoShard::Missing(what) => write!(f, "{what} is missing: the call's shard is not known"),
            NoShard::Bad(what) => write!(f, "{what} cannot be used as a shard"),
            NoShard::Range(n) => write!(f, "there is no shard {n}"),
            NoShard::Twice(n) => write!(f, "shard {n} is named twice"),
            NoShard::Several => f.write_str("this method is asked of one shard at a time"),
            NoShard::Packed(how) => {
                write!(f, "the first message is packed as '{how}', which is not read here")
            }
            NoShard::TooLarge => f.write_str("the first message unpacks to more than is allowed"),
        }
    }
}

impl std::error::Error for NoShard {}

impl Route {
    /// Whether the first message must be in before the shard is known.
    pub fn looks_inside(&self) -> bool {
        matches!(self.shard, ShardFrom::Field { .. })
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
    ) -> Result<Vec<ShardId>, NoShard> {
        let in_range = |n: u64| match u32::try_from(n).ok().filter(|n| *n < self.shards) {
            Some(n) => Ok(ShardId(n)),
            None => Err(NoShard::Range(n)),
        };
        let hashed = |bytes: &[u8]| ShardId((stable_hash(bytes) % u64::from(self.shards)) as u32);
        match &self.shard {
            ShardFrom::Any => Ok(vec![ShardId((random % u64::from(self.shards)) as u32)]),
            ShardFrom::Metadata { key, how: As::Hash } => match metadata(key)[..] {
                [] => Err(NoShard::Missing(format!("metadata '{key}'"))),
                [value] => Ok(vec![hashed(value.as_bytes())]),
                _ => Err(NoShard::Bad(format!("metadata '{key}', which is there twice,"))),
            },
            ShardFrom::Metadata { key, how: As::Number } => {
                let values = metadata(key);
                if values.is_empty() {
                    return Err(NoShard::Missing(format!("metadata '{key}'")));
                }
                let mut shards = Vec::new();
                for word in values.iter().flat_map(|v| v.split(',')).map(str::trim) {
                    let digits = !word.is_empty() && word.bytes().all(|b| b.is_ascii_digit());
                    let n = word.parse::<u64>().ok().filter(|_| digits);
                    let n = n.ok_or_else(|| NoShard::Bad(format!("metadata '{key}'")))?;
                    shards.push(in_range(n)?);
                    // Bounded by the number of shards: a longer list names one twice, or one that is not there.
                    if shards.len() > self.shards as usize {
                        break;
                    }
                }
                if shards.len() > 1 && self.merge.is_none() {
                    return Err(NoShard::Several);
                }
                shards.sort();
                match shards.windows(2).find(|w| w[0] == w[1]) {
                    Some(w) => Err(NoShard::Twice(w[0].0)),
                    None => Ok(shards),
                }
            }
            ShardFrom::Field { path, how } => {
                let named =
                    || format!("field {}", path.iter().map(u32::to_string).collect::<Vec<_>>().join("."));
                let message = first.ok_or_else(|| NoShard::Missing("the first message".into()))?;
                let field =
                    shard::field(message, path).map_err(|_| NoShard::Bad("the first message".into()))?;
                match (field, how) {
                    (None, _) => Err(NoShard::Missing(named())),
                    (Some(Field::Number(n)), As::Number) => Ok(vec![in_range(n)?]),
                    (Some(Field::Bytes(_)), As::Number) => Err(NoShard::Bad(named())),
                    (Some(Field::Number(n)), As::Hash) => Ok(vec![hashed(&n.to_le_bytes())]),
                    (Some(Field::Bytes(bytes)), As::Hash) => Ok(vec![hashed(bytes)]),
                }
            }
        }
    }
}
