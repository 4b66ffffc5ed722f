//! Snapshots contain the first retained version in full and the changes that follow it, which are applied
//! again when the snapshot is read. A snapshot of many versions is therefore only slightly larger than one
//! of the first version.
use std::hash::Hasher;
use std::sync::Arc;

use prost::Message;

use super::convert::{self, decode_timestamp, encode_timestamp};
use super::{decode, messages, WireError, MAX_SNAPSHOT_BYTES};
use crate::shard_layout::limits::LayoutLimits;
use crate::shard_layout::state::{replay, Layouts, Lease};
use crate::shard_layout::version::{AcceptedChange, Version, VersionPosition};
use crate::shard_layout::District;

/// The snapshot format that is written and read.
pub const FORMAT: u32 = 1;

fn checksum(body: &[u8]) -> u64 {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(body);
    hasher.finish()
}

impl Layouts {
    /// Encodes the complete state. The result is the same on every member that applied the same log.
    pub fn snapshot(&self) -> Vec<u8> {
        let first = self.versions.first().unwrap_or(&self.newest);
        let names = first
            .names
            .iter()
            .map(|(name, district)| messages::DistrictName { district: district.0, name: name.to_string() });
        let later_changes = self.versions.iter().skip(1).map(|version| messages::LoggedChange {
            valid_from: Some(encode_timestamp(version.valid_from)),
            index: version.index,
            edits: version.edits.iter().map(convert::encode_edit).collect(),
        });
        let lease = messages::Lease {
            number: self.lease.number,
            incarnation: self.lease.incarnation,
            until: Some(encode_timestamp(self.lease.until)),
            closed: None,
        };
        let body = messages::SnapshotBody {
            applied: self.applied,
            closed: Some(encode_timestamp(self.closed)),
            horizon: Some(encode_timestamp(self.horizon)),
            lease: Some(lease),
            number: first.number,
            valid_from: Some(encode_timestamp(first.valid_from)),
            index: first.index,
            tiles: first.tiles.iter().map(|(id, tile)| convert::encode_tile(*id, tile)).collect(),
            names: names.collect(),
            later_changes: later_changes.collect(),
            total_weight: convert::encode_weight(first.total_weight),
        }
        .encode_to_vec();
        messages::Snapshot { format: FORMAT, checksum: checksum(&body), body }.encode_to_vec()
    }

    /// Restores the state from a snapshot. Each list is checked against the limits, and each change is
    /// applied again.
    ///
    /// # Errors
    /// Returns an error if the bytes are too long, malformed or of another format, or if they describe an
    /// invalid state.
    pub fn restore(bytes: &[u8], limits: LayoutLimits) -> Result<Layouts, WireError> {
        let snapshot: messages::Snapshot = decode(bytes, MAX_SNAPSHOT_BYTES)?;
        if snapshot.format != FORMAT {
            return Err(WireError::UnknownFormat(snapshot.format));
        }
        if checksum(&snapshot.body) != snapshot.checksum {
            return Err(WireError::ChecksumMismatch);
        }
        let mut body: messages::SnapshotBody = decode(&snapshot.body, MAX_SNAPSHOT_BYTES)?;
        if body.tiles.len() > limits.max_tiles || body.later_changes.len() >= limits.max_versions {
            return Err(WireError::Invalid("snapshot exceeds the limits"));
        }
        let base = base_version(&mut body)?;
        let changes = later_changes(&mut body, base.position())?;
        let mut layouts = Layouts::new(limits);
        let replayed = replay(base, changes.into_iter(), &layouts.limits).map_err(WireError::Plan)?;
        layouts.versions = replayed.versions;
        layouts.newest = replayed.newest;
        let lease = body.lease.unwrap_or_default();
        layouts.lease = Lease {
            number: lease.number,
            incarnation: lease.incarnation,
            until: decode_timestamp(lease.until),
        };
        layouts.applied = body.applied;
        layouts.closed = decode_timestamp(body.closed);
        layouts.horizon = decode_timestamp(body.horizon);
        Ok(layouts)
    }
}

/// Builds the first version, taking its tiles and names out of `body`.
fn base_version(body: &mut messages::SnapshotBody) -> Result<Version, WireError> {
    let mut base = Version::empty();
    base.number = body.number;
    base.valid_from = decode_timestamp(body.valid_from);
    base.index = body.index;
    // The total is not computed again, because in another order an intermediate sum might not fit into 64
    // bits.
    base.total_weight = convert::decode_weight(body.total_weight)?;
    for tile in std::mem::take(&mut body.tiles) {
        let (id, tile) = convert::decode_tile(tile)?;
        base.insert_tile(id, tile).map_err(WireError::Plan)?;
    }
    for named in std::mem::take(&mut body.names) {
        base.name_district(District(named.district), named.name.into()).map_err(WireError::Plan)?;
    }
    base.check_invariants().map_err(|_| WireError::Invalid("snapshot with inconsistent tiles"))?;
    Ok(base)
}

/// Decodes the changes after the first version, taking them out of `body`. They must be in the order of
/// versions, each at an applied log index.
fn later_changes(
    body: &mut messages::SnapshotBody,
    base: VersionPosition,
) -> Result<Vec<AcceptedChange>, WireError> {
    let mut changes = Vec::with_capacity(body.later_changes.len());
    let mut last = base;
    for change in std::mem::take(&mut body.later_changes) {
        let position =
            VersionPosition { valid_from: decode_timestamp(change.valid_from), index: change.index };
        let in_order = position.valid_from >= last.valid_from && position.index > last.index;
        if !in_order || position.index > body.applied {
            return Err(WireError::Invalid("changes out of order"));
        }
        last = position;
        let edits = change.edits.into_iter().map(convert::decode_edit).collect::<Result<Vec<_>, _>>()?;
        changes.push(AcceptedChange { position, edits: Arc::from(edits) });
    }
    Ok(changes)
}
