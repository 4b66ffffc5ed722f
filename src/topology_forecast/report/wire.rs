//! The wire form of a report: a versioned Protocol Buffers message whose tags and types never change.
//! `tests/golden_wire/report.rs` compares it with stored bytes. Decoding validates all sizes, orders and
//! counts.
use std::collections::BTreeMap;
use std::rc::Rc;

use prost::Message;

use super::{
    ClassCounts, Key, Report, ReportError, Row, SetKey, MAX_BYTES, MAX_CLASSES, MAX_SERVERS,
    MAX_TILES_IN_SET, VERSION,
};
use crate::cluster::MemberId;
use crate::topology_forecast::sketch::{DistinctCounter, TimeHistogram};

/// The largest value of one counter. It ensures that sums over all rows of all collected reports fit into 64
/// bits.
const MAX_COUNT: u64 = 1 << 32;

/// The longest name of a member, in bytes.
const MAX_NAME_BYTES: usize = 64;

#[derive(Clone, PartialEq, Message)]
struct ClassWire {
    #[prost(uint32, tag = "1")]
    class: u32,
    /// In this order: queries, repeats, bytes in, bytes out, first attempts, retries, hedges, parts with
    /// reported work, and the sum of that work in microseconds.
    #[prost(uint64, repeated, tag = "2")]
    sums: Vec<u64>,
    /// The greatest time of each bucket of the part latencies that is not empty, in microseconds, ascending.
    #[prost(uint64, repeated, tag = "3")]
    took: Vec<u64>,
    /// The count of each bucket in `took`.
    #[prost(uint64, repeated, tag = "4")]
    took_n: Vec<u64>,
    /// The greatest time of each bucket of the query latencies that is not empty, in microseconds, ascending.
    #[prost(uint64, repeated, tag = "5")]
    answers: Vec<u64>,
    /// The count of each bucket in `answers`.
    #[prost(uint64, repeated, tag = "6")]
    answers_n: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct ClientsWire {
    #[prost(uint32, tag = "1")]
    district: u32,
    /// The indexes of the registers that are not zero, ascending.
    #[prost(bytes = "vec", tag = "2")]
    at: Vec<u8>,
    /// The value of each register in `at`.
    #[prost(bytes = "vec", tag = "3")]
    value: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
struct SetWire {
    #[prost(uint32, tag = "1")]
    class: u32,
    #[prost(uint32, tag = "2")]
    district: u32,
    #[prost(uint32, repeated, tag = "3")]
    tiles: Vec<u32>,
    #[prost(uint64, tag = "4")]
    count: u64,
    #[prost(uint64, tag = "5")]
    error: u64,
}

/// A table, stored by columns, that maps pairs of a `class` and a district or tile (`of`) to a fixed number
/// of sums.
#[derive(Clone, PartialEq, Message)]
struct TableWire {
    #[prost(uint32, repeated, tag = "1")]
    class: Vec<u32>,
    #[prost(uint32, repeated, tag = "2")]
    of: Vec<u32>,
    #[prost(uint64, repeated, tag = "3")]
    sums: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct Wire {
    #[prost(uint32, tag = "1")]
    version: u32,
    #[prost(string, tag = "2")]
    name: String,
    #[prost(uint64, tag = "3")]
    incarnation: u64,
    #[prost(uint64, tag = "4")]
    window: u64,
    #[prost(uint64, tag = "5")]
    window_ms: u64,
    /// The number of events that the report counts.
    #[prost(uint64, tag = "6")]
    seen: u64,
    #[prost(message, repeated, tag = "7")]
    classes: Vec<ClassWire>,
    #[prost(message, optional, tag = "8")]
    rows: Option<TableWire>,
    #[prost(message, repeated, tag = "9")]
    clients: Vec<ClientsWire>,
    #[prost(message, optional, tag = "10")]
    tiles: Option<TableWire>,
    /// The largest number of times that a tile that is not in `tiles` may have been requested.
    #[prost(uint64, tag = "11")]
    tiles_least: u64,
    #[prost(message, repeated, tag = "12")]
    sets: Vec<SetWire>,
    /// The largest number of times that a set that is not in `sets` may have been requested.
    #[prost(uint64, tag = "13")]
    sets_least: u64,
    #[prost(uint64, repeated, tag = "14")]
    servers: Vec<u64>,
    /// The number of attempts sent to each server in `servers`.
    #[prost(uint64, repeated, tag = "15")]
    servers_n: Vec<u64>,
}

fn encode_table<'a, const N: usize>(rows: impl Iterator<Item = (&'a Key, [u64; N])>) -> Option<TableWire> {
    let mut out = TableWire::default();
    for ((class, of), sums) in rows {
        out.class.push((*class).into());
        out.of.push(*of);
        out.sums.extend(sums);
    }
    Some(out)
}

/// Decodes the rows of a table. Returns an error unless the keys ascend, which excludes duplicates.
fn decode_table<const N: usize>(
    table: Option<TableWire>,
    field: &'static str,
) -> Result<Vec<(Key, [u64; N])>, ReportError> {
    let error = ReportError::Field(field);
    let columns = table.unwrap_or_default();
    if columns.class.len() != columns.of.len() || columns.sums.len() != N * columns.of.len() {
        return Err(error);
    }
    let mut out: Vec<(Key, [u64; N])> = Vec::with_capacity(columns.of.len());
    for ((class, of), sums) in columns.class.iter().zip(&columns.of).zip(columns.sums.chunks_exact(N)) {
        let key = (u16::try_from(*class).map_err(|_| error.clone())?, *of);
        if out.last().is_some_and(|(last, _)| *last >= key) {
            return Err(error);
        }
        out.push((key, sums.try_into().map_err(|_| error.clone())?));
    }
    Ok(out)
}

fn is_ascending<T: Ord>(list: impl Iterator<Item = T> + Clone) -> bool {
    list.clone().zip(list.skip(1)).all(|(a, b)| a < b)
}

/// Returns whether no counter exceeds [`MAX_COUNT`].
fn within_bounds<'a>(counts: impl IntoIterator<Item = &'a u64>) -> bool {
    counts.into_iter().all(|n| *n <= MAX_COUNT)
}

/// Returns whether the numbers of a heavy hitter are consistent: its count exceeds its error, and its error
/// is at most `untracked_bound`, the bound on the count of an untracked key.
fn is_heavy_hitter(count: u64, error: u64, untracked_bound: u64) -> bool {
    count > error && error <= untracked_bound && within_bounds(&[count, untracked_bound])
}

fn decode_histogram(times: &[u64], counts: &[u64]) -> Result<TimeHistogram, ReportError> {
    if times.len() != counts.len()
        || !is_ascending(times.iter())
        || counts.contains(&0)
        || !within_bounds(counts)
    {
        return Err(ReportError::Field("times"));
    }
    let mut out = TimeHistogram::default();
    times.iter().zip(counts).for_each(|(time, count)| out.add(*time, *count));
    Ok(out)
}

fn encode_class(class: u16, counts: &ClassCounts) -> ClassWire {
    let (took, took_n) = counts.part_latency.buckets().into_iter().unzip();
    let (answers, answers_n) = counts.query_latency.buckets().into_iter().unzip();
    let sums = vec![
        counts.queries,
        counts.repeats,
        counts.bytes_in,
        counts.bytes_out,
        counts.first_attempts,
        counts.retries,
        counts.hedges,
        counts.parts_with_work,
        counts.work_us,
    ];
    ClassWire { class: class.into(), sums, took, took_n, answers, answers_n }
}

fn decode_class(wire: &ClassWire) -> Result<(u16, ClassCounts), ReportError> {
    let error = ReportError::Field("classes");
    let sums = <[u64; 9]>::try_from(&wire.sums[..]).map_err(|_| error.clone())?;
    let [queries, repeats, bytes_in, bytes_out, first_attempts, retries, hedges, parts_with_work, work_us] =
        sums;
    if !within_bounds(&[queries, repeats, first_attempts, retries, hedges, parts_with_work]) {
        return Err(error);
    }
    let part_latency = decode_histogram(&wire.took, &wire.took_n)?;
    let query_latency = decode_histogram(&wire.answers, &wire.answers_n)?;
    let class = u16::try_from(wire.class).map_err(|_| error)?;
    let counts = ClassCounts {
        queries,
        repeats,
        bytes_in,
        bytes_out,
        first_attempts,
        retries,
        hedges,
        parts_with_work,
        work_us,
        part_latency,
        query_latency,
    };
    Ok((class, counts))
}

fn decode_classes(wire: &[ClassWire]) -> Result<BTreeMap<u16, ClassCounts>, ReportError> {
    if wire.len() > MAX_CLASSES || !is_ascending(wire.iter().map(|class| class.class)) {
        return Err(ReportError::Field("classes"));
    }
    wire.iter().map(decode_class).collect()
}

fn decode_rows(wire: Option<TableWire>) -> Result<BTreeMap<Key, Row>, ReportError> {
    let mut decoded = BTreeMap::new();
    for (key, [queries, whole_district, parts, bytes]) in decode_table(wire, "rows")? {
        if whole_district > queries || !within_bounds(&[queries, parts]) {
            return Err(ReportError::Field("rows"));
        }
        decoded.insert(key, Row { queries, whole_district, parts, bytes });
    }
    Ok(decoded)
}

fn encode_clients(district: u32, counter: &DistinctCounter) -> ClientsWire {
    let (at, value) = counter.nonzero_registers().unzip();
    ClientsWire { district, at, value }
}

/// Decodes the counters of distinct clients. The caller must have checked that the districts ascend.
fn decode_clients(wire: &[ClientsWire]) -> Result<BTreeMap<u32, DistinctCounter>, ReportError> {
    let error = ReportError::Field("clients");
    let mut decoded = BTreeMap::new();
    for clients in wire {
        if clients.at.len() != clients.value.len() || !is_ascending(clients.at.iter()) {
            return Err(error);
        }
        let registers = clients.at.iter().copied().zip(clients.value.iter().copied());
        let counter = DistinctCounter::from_registers(registers).ok_or_else(|| error.clone())?;
        decoded.insert(clients.district, counter);
    }
    Ok(decoded)
}

fn decode_tiles(
    wire: Option<TableWire>,
    untracked_bound: u64,
) -> Result<BTreeMap<Key, (u64, u64)>, ReportError> {
    let mut decoded = BTreeMap::new();
    for (key, [count, error]) in decode_table(wire, "tiles")? {
        if !is_heavy_hitter(count, error, untracked_bound) {
            return Err(ReportError::Field("tiles"));
        }
        decoded.insert(key, (count, error));
    }
    Ok(decoded)
}

fn encode_set(key: &SetKey, count: u64, error: u64) -> SetWire {
    let tiles = key.tiles.to_vec();
    SetWire { class: key.class.into(), district: key.district, tiles, count, error }
}

fn decode_sets(
    wire: Vec<SetWire>,
    untracked_bound: u64,
) -> Result<BTreeMap<SetKey, (u64, u64)>, ReportError> {
    let error = ReportError::Field("sets");
    let mut decoded: Vec<(SetKey, (u64, u64))> = Vec::with_capacity(wire.len());
    for set in wire {
        let is_set = (1..=MAX_TILES_IN_SET).contains(&set.tiles.len()) && is_ascending(set.tiles.iter());
        if !is_set || !is_heavy_hitter(set.count, set.error, untracked_bound) {
            return Err(error);
        }
        let class = u16::try_from(set.class).map_err(|_| error.clone())?;
        let key = SetKey { class, district: set.district, tiles: Rc::from(set.tiles) };
        if decoded.last().is_some_and(|(last, _)| *last >= key) {
            return Err(error);
        }
        decoded.push((key, (set.count, set.error)));
    }
    Ok(decoded.into_iter().collect())
}

fn decode_servers(servers: Vec<u64>, counts: Vec<u64>) -> Result<BTreeMap<u64, u64>, ReportError> {
    let is_table = servers.len() == counts.len() && servers.len() <= MAX_SERVERS;
    if !is_table || !is_ascending(servers.iter()) || !within_bounds(&counts) {
        return Err(ReportError::Field("servers"));
    }
    Ok(servers.into_iter().zip(counts).collect())
}

impl Report {
    /// Encodes the report. Equal reports give equal bytes.
    pub fn encode(&self) -> Vec<u8> {
        Wire {
            version: VERSION,
            name: self.member.name.to_string(),
            incarnation: self.member.incarnation,
            window: self.window,
            window_ms: self.window_ms,
            seen: self.events,
            classes: self.classes.iter().map(|(class, counts)| encode_class(*class, counts)).collect(),
            rows: encode_table(
                self.rows.iter().map(|(key, r)| (key, [r.queries, r.whole_district, r.parts, r.bytes])),
            ),
            clients: self.clients.iter().map(|(district, c)| encode_clients(*district, c)).collect(),
            tiles: encode_table(self.tiles.iter().map(|(key, (count, error))| (key, [*count, *error]))),
            tiles_least: self.untracked_tile_bound,
            sets: self.sets.iter().map(|(key, (count, error))| encode_set(key, *count, *error)).collect(),
            sets_least: self.untracked_set_bound,
            servers: self.servers.keys().copied().collect(),
            servers_n: self.servers.values().copied().collect(),
        }
        .encode_to_vec()
    }

    /// Decodes a report. The length is checked before decoding, the content afterwards.
    ///
    /// # Errors
    /// Returns an error if the bytes are too long or malformed, if their version is not supported, or if a
    /// field has a value that no coordinator writes.
    pub fn decode(bytes: &[u8]) -> Result<Report, ReportError> {
        if bytes.len() > MAX_BYTES {
            return Err(ReportError::TooLong(bytes.len()));
        }
        let wire = Wire::decode(bytes).map_err(|_| ReportError::Malformed)?;
        if wire.version != VERSION {
            return Err(ReportError::Version(wire.version));
        }
        if wire.name.is_empty() || wire.name.len() > MAX_NAME_BYTES {
            return Err(ReportError::Field("member"));
        }
        if wire.window_ms == 0 || wire.window.checked_mul(wire.window_ms).is_none() {
            return Err(ReportError::Field("window"));
        }
        let classes = decode_classes(&wire.classes)?;
        if !is_ascending(wire.clients.iter().map(|clients| clients.district)) {
            return Err(ReportError::Field("clients"));
        }
        let sets = decode_sets(wire.sets, wire.sets_least)?;
        let servers = decode_servers(wire.servers, wire.servers_n)?;
        Ok(Report {
            member: MemberId::new(&wire.name, wire.incarnation),
            window: wire.window,
            window_ms: wire.window_ms,
            events: wire.seen,
            classes,
            rows: decode_rows(wire.rows)?,
            clients: decode_clients(&wire.clients)?,
            tiles: decode_tiles(wire.tiles, wire.tiles_least)?,
            untracked_tile_bound: wire.tiles_least,
            sets,
            untracked_set_bound: wire.sets_least,
            servers,
        })
    }
}
