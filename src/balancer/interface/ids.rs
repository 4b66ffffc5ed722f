//! Identifiers used in events and actions: integers, each wrapped in a type of its own.

/// Identifies a replica, as in discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u64);

/// Identifies a query in events and actions. Its parts refer to it by [`QueryNumber`] instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u32);

/// The number by which parts refer to their query; unique among open queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryNumber(pub u32);

/// Identifies a part of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u32);

/// Identifies a shard of the data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

/// A placement cell. A shard is held by `cells_per_shard` consecutive cells, starting with cell
/// `shard % cells`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u16);

/// Index into [`Settings::classes`](super::Settings::classes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u16);

/// Index into [`Settings::tenants`](super::Settings::tenants); ignored if there are no tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u16);

impl TenantId {
    /// The tenant of queries from fronts without tenants; such queries count against no quota.
    pub const NONE: TenantId = TenantId(u16::MAX);
}

/// Identifies a zone, whose replicas may fail together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u8);
