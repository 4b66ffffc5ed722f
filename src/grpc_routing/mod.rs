//! Routes gRPC calls by a table that is compiled from the operator's file. A route determines the class of a
//! call, the shards that it goes to, its limits, and how the answers of several shards are merged. The
//! decision module then selects the servers.
//!
//! The module does no I/O and reads no clock; randomness is passed in. A compiled table is immutable. A
//! reload replaces it, and calls in flight keep the route that they started with.
#![warn(missing_docs)]

mod shard;
mod table;

use serde::Deserialize;

pub use self::shard::{find_field, first_message, stable_hash, FieldValue, MalformedMessage};
pub use self::table::{RouteTable, RowError};
use crate::balancer::interface::{ClassId, ShardId};

/// The kind of a method, by which sides stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MethodKind {
    /// One request message and one response message.
    Unary,
    /// The client streams.
    ClientStream,
    /// The server streams.
    ServerStream,
    /// Both sides stream.
    Bidi,
}

impl MethodKind {
    /// Returns whether the client may send more than one message.
    pub fn client_streams(self) -> bool {
        matches!(self, MethodKind::ClientStream | MethodKind::Bidi)
    }

    /// Returns whether the server may send more than one message.
    pub fn server_streams(self) -> bool {
        matches!(self, MethodKind::ServerStream | MethodKind::Bidi)
    }
}

/// The effect of executing a call more than once, as the operator's file declares it; see
/// [`Idempotency`](crate::balancer::interface::Idempotency).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatEffect {
    /// Executing the call again has no further effect: the call is idempotent.
    Safe,
    /// Executing the call again within a window has no further effect, because servers recognize repeats by
    /// an idempotency key and drop them.
    Keyed,
    /// Executing the call again does its work again: the call is not idempotent.
    Unsafe,
}

/// How a key is mapped to a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyMapping {
    /// The key is the shard's number.
    #[default]
    Number,
    /// The shard is the key's [`stable_hash`] modulo the number of shards.
    Hash,
}

/// The source from which the shard of a call is determined.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields, tag = "from")]
pub enum ShardSource {
    /// The value of a metadata key. With [`KeyMapping::Number`], the value may be a comma-separated list of
    /// numbers, for a call to several shards.
    Metadata {
        /// The key, in lower case.
        key: String,
        /// How its value is mapped to a shard.
        #[serde(default, rename = "as")]
        mapping: KeyMapping,
    },
    /// A field of the first message, addressed by field numbers.
    Field {
        /// Field numbers, the outermost first.
        path: Vec<u32>,
        /// How its value is mapped to a shard.
        #[serde(default, rename = "as")]
        mapping: KeyMapping,
    },
    /// Any shard can serve the call; one is chosen at random.
    Any,
}

/// How the answers of several shards are merged into one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Merge {
    /// The encoded messages are concatenated in the order of their shards. This appends repeated fields; of
    /// any other field, the last value counts (Protocol Buffers encoding, "Last One Wins").
    Concat,
}

/// A row of the routing table in the operator's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRow {
    /// `/package.Service/Method`, `/package.Service/*` or `*`.
    #[serde(rename = "match")]
    pub pattern: String,
    /// Which sides stream.
    pub kind: MethodKind,
    /// The name of the class in the settings.
    pub class: String,
    /// The effect of executing a call more than once. If unset, the class's idempotency applies.
    pub effect: Option<RepeatEffect>,
    /// The time during which servers drop repeats, in seconds. It may be set only with the effect `keyed`,
    /// and must be set there if the class has no such window.
    pub window_s: Option<f64>,
    /// Whether a call may be hedged, provided that its class allows hedging.
    #[serde(rename = "copy", default = "enabled")]
    pub hedging: bool,
    /// The source of the shard.
    pub shard: ShardSource,
    /// How the answers of several shards are merged; unset for calls to one shard.
    pub merge: Option<Merge>,
    /// The largest message, in bytes. It must not exceed the front's limit, which applies if this is unset.
    #[serde(rename = "message")]
    pub max_message_bytes: Option<usize>,
    /// The most calls of this route that may be open at the same time; unlimited if unset.
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
    /// The class of its calls.
    pub class: ClassId,
    /// The source of a call's shard.
    pub shard: ShardSource,
    /// How the answers of several shards are merged.
    pub merge: Option<Merge>,
    /// The largest message, in bytes.
    pub max_message_bytes: usize,
    /// The most calls that may be open at the same time; unlimited if `None`.
    pub max_open_calls: Option<usize>,
    /// The number of shards of the deployment.
    pub shard_count: u32,
}

/// Why the shards of a call cannot be determined.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ShardError {
    /// The metadata key or the field is missing.
    #[error("{0} is missing: it must name the call's shard")]
    Missing(String),
    /// The metadata value or the field is present but invalid.
    #[error("{0} is invalid: it must name the call's shard by number or by a single key")]
    Unusable(String),
    /// There is no such shard.
    #[error("there is no shard {0}")]
    OutOfRange(u64),
    /// The call names a shard more than once.
    #[error("shard {0} is named twice")]
    Duplicate(u32),
    /// The call names several shards, and its route does not merge their answers.
    #[error("this method takes one shard per call")]
    MergeRequired,
    /// The first message is compressed by an algorithm that is not supported.
    #[error("the first message has the unsupported encoding '{0}'")]
    UnsupportedEncoding(String),
    /// The first message decompresses to more than the limit.
    #[error("the decompressed first message exceeds the limit")]
    TooLarge,
}

impl Route {
    /// Returns whether the shard can only be determined from the first message.
    pub fn needs_first_message(&self) -> bool {
        matches!(self.shard, ShardSource::Field { .. })
    }

    /// Returns the shards of a call: at least one, in ascending order, without duplicates.
    ///
    /// `metadata` returns the values of a metadata key. `first_message` is the decompressed first message,
    /// which must be given if the route [needs it](Route::needs_first_message). `random` is a random number
    /// that selects the shard of a call that any shard can serve.
    ///
    /// # Errors
    ///
    /// Returns an error if the call does not name its shard, or names one that is invalid.
    pub fn shards<'v>(
        &self,
        metadata: impl Fn(&str) -> Vec<&'v str>,
        first_message: Option<&[u8]>,
        random: u64,
    ) -> Result<Vec<ShardId>, ShardError> {
        match &self.shard {
            ShardSource::Any => Ok(vec![self.shard_modulo(random)]),
            ShardSource::Metadata { key, mapping: KeyMapping::Hash } => {
                self.shard_from_hashed_metadata(key, &metadata(key)).map(|shard| vec![shard])
            }
            ShardSource::Metadata { key, mapping: KeyMapping::Number } => {
                self.shards_from_metadata(key, &metadata(key))
            }
            ShardSource::Field { path, mapping } => {
                self.shard_from_field(path, *mapping, first_message).map(|shard| vec![shard])
            }
        }
    }

    fn shard_from_hashed_metadata(&self, key: &str, values: &[&str]) -> Result<ShardId, ShardError> {
        match values {
            [] => Err(ShardError::Missing(format!("metadata '{key}'"))),
            [value] => Ok(self.shard_by_hash(value.as_bytes())),
            _ => Err(ShardError::Unusable(format!("metadata '{key}', which occurs more than once,"))),
        }
    }

    /// Parses the shards from metadata values that are comma-separated lists of decimal numbers.
    fn shards_from_metadata(&self, key: &str, values: &[&str]) -> Result<Vec<ShardId>, ShardError> {
        if values.is_empty() {
            return Err(ShardError::Missing(format!("metadata '{key}'")));
        }
        let mut shards = Vec::new();
        for entry in values.iter().flat_map(|value| value.split(',')).map(str::trim) {
            let is_decimal = !entry.is_empty() && entry.bytes().all(|b| b.is_ascii_digit());
            let number = entry.parse::<u64>().ok().filter(|_| is_decimal);
            let number = number.ok_or_else(|| ShardError::Unusable(format!("metadata '{key}'")))?;
            shards.push(self.shard_by_number(number)?);
            // A list with more entries than there are shards has a duplicate or a shard that does not exist,
            // so the rest of it need not be parsed.
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

    fn shard_from_field(
        &self,
        path: &[u32],
        mapping: KeyMapping,
        first_message: Option<&[u8]>,
    ) -> Result<ShardId, ShardError> {
        let name = || format!("field {}", path.iter().map(u32::to_string).collect::<Vec<_>>().join("."));
        let message = first_message.ok_or_else(|| ShardError::Missing("the first message".into()))?;
        let value = shard::find_field(message, path)
            .map_err(|MalformedMessage| ShardError::Unusable("the first message".into()))?;
        match (value, mapping) {
            (None, _) => Err(ShardError::Missing(name())),
            (Some(FieldValue::Number(n)), KeyMapping::Number) => self.shard_by_number(n),
            (Some(FieldValue::Bytes(_)), KeyMapping::Number) => Err(ShardError::Unusable(name())),
            (Some(FieldValue::Number(n)), KeyMapping::Hash) => Ok(self.shard_by_hash(&n.to_le_bytes())),
            (Some(FieldValue::Bytes(bytes)), KeyMapping::Hash) => Ok(self.shard_by_hash(bytes)),
        }
    }

    fn shard_by_number(&self, number: u64) -> Result<ShardId, ShardError> {
        let shard = u32::try_from(number).ok().filter(|n| *n < self.shard_count);
        shard.map(ShardId).ok_or(ShardError::OutOfRange(number))
    }

    fn shard_by_hash(&self, key: &[u8]) -> ShardId {
        self.shard_modulo(stable_hash(key))
    }

    fn shard_modulo(&self, number: u64) -> ShardId {
        ShardId((number % u64::from(self.shard_count)) as u32)
    }
}
