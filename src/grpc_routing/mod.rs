//! Where a gRPC call goes: the table of routes, compiled from the operator's file. A route says which class a
//! call counts as, which shards it needs, its limits, and how answers are merged. The decision module then
//! selects the server.
//!
//! No I/O and no clock; randomness is passed in. A table is never changed once compiled: a reload replaces
//! it, and calls in flight keep the route that they started with.
#![warn(missing_docs)]

mod shard;
mod table;

use serde::Deserialize;

pub use self::shard::{find_field, first_message, stable_hash, FieldValue, MalformedMessage};
pub use self::table::{RouteTable, RowError};
use crate::balancer::interface::{ClassId, ShardId};

/// What kind of call a method is, by which sides stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MethodKind {
    /// One message each way.
    Unary,
    /// The client streams.
    ClientStream,
    /// The server streams.
    ServerStream,
    /// Both sides stream.
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

/// What a repeated call does, as the file says it; see
/// [`Idempotency`](crate::balancer::interface::Idempotency).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatEffect {
    /// The same as one call: it is idempotent.
    Safe,
    /// The same as one call within a window, by its idempotency key.
    Keyed,
    /// The work is done again.
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
    /// A metadata key; with [`KeyMapping::Number`] a list of numbers for a call to several shards.
    Metadata {
        /// The key, in lower case.
        key: String,
        /// How its value becomes a shard.
        #[serde(default, rename = "as")]
        mapping: KeyMapping,
    },
    /// A field of the first message, by the numbers that lead to it.
    Field {
        /// Field numbers, the outermost first.
        path: Vec<u32>,
        /// How its value becomes a shard.
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
    /// The messages one after another, in the order of their shards: repeated fields are concatenated, of
    /// others the last one counts (Protocol Buffers encoding, "Last One Wins").
    Concat,
}

/// A row of the table, as the file has it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRow {
    /// `/package.Service/Method`, `/package.Service/*` or `*`.
    #[serde(rename = "match")]
    pub pattern: String,
    /// Which sides stream.
    pub kind: MethodKind,
    /// Name of the class, as the settings have it.
    pub class: String,
    /// What a repeat does; that of the class if unset.
    pub effect: Option<RepeatEffect>,
    /// For how long repeats are dropped, in seconds; for `keyed` where the class has none.
    pub window_s: Option<f64>,
    /// Whether a call may be hedged, if its class allows it.
    #[serde(rename = "copy", default = "enabled")]
    pub hedging: bool,
    /// Where the shard comes from.
    pub shard: ShardSource,
    /// How the answers of several shards become one; unset for calls to one shard.
    pub merge: Option<Merge>,
    /// The largest message, in bytes; at most the front's, which holds if unset.
    #[serde(rename = "message")]
    pub max_message_bytes: Option<usize>,
    /// Calls of this route that may be open at the same time; unlimited if unset.
    #[serde(rename = "open")]
    pub max_open_calls: Option<usize>,
}

fn enabled() -> bool {
    true
}

/// A compiled route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// `/package.Service/Method`, `/package.Service/*` or `*`.
    pub pattern: String,
    /// Which sides stream.
    pub kind: MethodKind,
    /// The class that its calls count as.
    pub class: ClassId,
    /// Where the shard of a call comes from.
    pub shard: ShardSource,
    /// How the answers of several shards become one.
    pub merge: Option<Merge>,
    /// The largest message, in bytes.
    pub max_message_bytes: usize,
    /// Calls that may be open at the same time.
    pub max_open_calls: Option<usize>,
    /// How many shards there are.
    pub shard_count: u32,
}

/// Why a call has no shard.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ShardError {
    /// The metadata key or the field is not there.
    #[error("{0} is missing: the call's shard is not known")]
    Missing(String),
    /// It is there and cannot be used.
    #[error("{0} cannot be used as a shard")]
    Unusable(String),
    /// There is no such shard.
    #[error("there is no shard {0}")]
    OutOfRange(u64),
    /// One shard is named twice.
    #[error("shard {0} is named twice")]
    Duplicate(u32),
    /// The call names several shards, and its route does not merge their answers.
    #[error("this method is asked of one shard at a time")]
    MergeRequired,
    /// The first message is compressed by an algorithm that is not supported.
    #[error("the first message is packed as '{0}', which is not read here")]
    UnsupportedEncoding(String),
    /// The first message decompresses to more than the limit.
    #[error("the first message unpacks to more than is allowed")]
    TooLarge,
}

impl Route {
    /// Whether the first message must have arrived before the shard is known.
    pub fn needs_first_message(&self) -> bool {
        matches!(self.shard, ShardSource::Field { .. })
    }

    /// The shards of a call, each once and in order, at least one.
    ///
    /// `metadata` gives the values of a key. `first` is the first message, decompressed, and needed where the
    /// route [needs it](Route::needs_first_message). `random` selects the shard where any will do.
    ///
    /// # Errors
    ///
    /// The call does not name its shard, or names one that cannot be used.
    pub fn shards<'v>(
        &self,
        metadata: impl Fn(&str) -> Vec<&'v str>,
        first: Option<&[u8]>,
        random: u64,
    ) -> Result<Vec<ShardId>, ShardError> {
        match &self.shard {
            ShardSource::Any => Ok(vec![self.shard_modulo(random)]),
            ShardSource::Metadata { key, mapping: KeyMapping::Hash } => {
                self.hashed_metadata(key, &metadata(key)).map(|shard| vec![shard])
            }
            ShardSource::Metadata { key, mapping: KeyMapping::Number } => {
                self.numbered_metadata(key, &metadata(key))
            }
            ShardSource::Field { path, mapping } => {
                self.shard_of_field(path, *mapping, first).map(|shard| vec![shard])
            }
        }
    }

    fn hashed_metadata(&self, key: &str, values: &[&str]) -> Result<ShardId, ShardError> {
        match values {
            [] => Err(ShardError::Missing(format!("metadata '{key}'"))),
            [value] => Ok(self.hashed(value.as_bytes())),
            _ => Err(ShardError::Unusable(format!("metadata '{key}', which is there twice,"))),
        }
    }

    /// The shards of lists of decimal numbers, separated by commas.
    fn numbered_metadata(&self, key: &str, values: &[&str]) -> Result<Vec<ShardId>, ShardError> {
        if values.is_empty() {
            return Err(ShardError::Missing(format!("metadata '{key}'")));
        }
        let mut shards = Vec::new();
        for word in values.iter().flat_map(|value| value.split(',')).map(str::trim) {
            let is_decimal = !word.is_empty() && word.bytes().all(|b| b.is_ascii_digit());
            let number = word.parse::<u64>().ok().filter(|_| is_decimal);
            let number = number.ok_or_else(|| ShardError::Unusable(format!("metadata '{key}'")))?;
            shards.push(self.numbered(number)?);
            // A longer list names a shard twice, or one that does not exist: no need to read all of it.
            if shards.len() > self.shard_count as usize {
                break;
            }
        }
        if shards.len() > 1 && self.merge.is_none() {
            return Err(ShardError::MergeRequired);
        }
        shards.sort();
        match shards.windows(2).find(|pair| pair[0] == pair[1]) {
            Some(pair) => Err(ShardError::Duplicate(pair[0].0)),
            None => Ok(shards),
        }
    }

    fn shard_of_field(
        &self,
        path: &[u32],
        mapping: KeyMapping,
        first: Option<&[u8]>,
    ) -> Result<ShardId, ShardError> {
        let name = || format!("field {}", path.iter().map(u32::to_string).collect::<Vec<_>>().join("."));
        let message = first.ok_or_else(|| ShardError::Missing("the first message".into()))?;
        let value = shard::find_field(message, path)
            .map_err(|MalformedMessage| ShardError::Unusable("the first message".into()))?;
        match (value, mapping) {
            (None, _) => Err(ShardError::Missing(name())),
            (Some(FieldValue::Number(n)), KeyMapping::Number) => self.numbered(n),
            (Some(FieldValue::Bytes(_)), KeyMapping::Number) => Err(ShardError::Unusable(name())),
            (Some(FieldValue::Number(n)), KeyMapping::Hash) => Ok(self.hashed(&n.to_le_bytes())),
            (Some(FieldValue::Bytes(bytes)), KeyMapping::Hash) => Ok(self.hashed(bytes)),
        }
    }

    fn numbered(&self, number: u64) -> Result<ShardId, ShardError> {
        let shard = u32::try_from(number).ok().filter(|n| *n < self.shard_count);
        shard.map(ShardId).ok_or(ShardError::OutOfRange(number))
    }

    fn hashed(&self, key: &[u8]) -> ShardId {
        self.shard_modulo(stable_hash(key))
    }

    fn shard_modulo(&self, number: u64) -> ShardId {
        ShardId((number % u64::from(self.shard_count)) as u32)
    }
}
