//! How a report is sent: a prost message with a version.
use std::collections::BTreeMap;

use prost::Message;

use super::{
    Class, Key, Report, ReportError, Row, SetKey, MOST_BYTES, MOST_CLASSES, MOST_IN_SET, MOST_SERVERS,
    VERSION,
};
use crate::cluster::MemberId;
use crate::topology_forecast::sketch::{Distinct, Times};

/// Most that one counter of a window may say: sums over all rows of all reports that are kept stay within 64 bits.
const MOST_COUNT: u64 = 1 << 32;

#[derive(Clone, PartialEq, Message)]
struct ClassWire {
    #[prost(uint32, tag = "1")]
    class: u32,
    /// queries, repeats, bytes in and out, first, again, copies, worked, work.
    #[prost(uint64, repeated, tag = "2")]
    sums: Vec<u64>,
    #[prost(uint64, repeated, tag = "3")]
    took: Vec<u64>,
    #[prost(uint64, repeated, tag = "4")]
    took_n: Vec<u64>,
    #[prost(uint64, repeated, tag = "5")]
    answers: Vec<u64>,
    #[prost(uint64, repeated, tag = "6")]
    answers_n: Vec<u64>,
}

#[derive(Clone, PartialEq, Message)]
struct ClientsWire {
    #[prost(uint32, tag = "1")]
    district: u32,
    #[prost(bytes = "vec", tag = "2")]
    at: Vec<u8>,
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

/// Pairs of numbers with some sums each, column by column.
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
    #[prost(uint64, tag = "11")]
    tiles_least: u64,
    #[prost(message, repeated, tag = "12")]
    sets: Vec<SetWire>,
    #[prost(uint64, tag = "13")]
    sets_least: u64,
    #[prost(uint64, repeated, tag = "14")]
    servers: Vec<u64>,
    #[prost(uint64, repeated, tag = "15")]
    servers_n: Vec<u64>,
}

fn table<'a, const N: usize>(rows: impl Iterator<Item = (&'a Key, [u64; N])>) -> Option<TableWire> {
    let mut out = TableWire::default();
    for ((class, of), sums) in rows {
        out.class.push((*class).into());
        out.of.push(*of);
        out.sums.extend(sums);
    }
    Some(out)
}

/// The rows of a table: keys ascend, so that none occurs twice.
fn rows<const N: usize>(
    table: Option<TableWire>,
    field: &'static str,
) -> Result<Vec<(Key, [u64; N])>, ReportError> {
    let bad = ReportError::Field(field);
    let t = table.unwrap_or_default();
    if t.class.len() != t.of.len() || t.sums.len() != N * t.of.len() {
        return Err(bad);
    }
    let mut out: Vec<(Key, [u64; N])> = Vec::with_capacity(t.of.len());
    for ((class, of), sums) in t.class.iter().zip(&t.of).zip(t.sums.chunks_exact(N)) {
        let key = (u16::try_from(*class).map_err(|_| bad.clone())?, *of);
        if out.last().is_some_and(|(last, _)| *last >= key) {
            return Err(bad);
        }
        out.push((key, sums.try_into().map_err(|_| bad.clone())?));
    }
    Ok(out)
}

fn ascending<T: Ord>(list: impl Iterator<Item = T> + Clone) -> bool {
    list.clone().zip(list.skip(1)).all(|(a, b)| a < b)
}

/// Whether no counter says more than can be.
fn sound<'a>(counts: impl IntoIterator<Item = &'a u64>) -> bool {
    counts.into_iter().all(|n| *n <= MOST_COUNT)
}

/// A heavy hitter's count can't be under its error, nor that over what may be left out.
fn counted(count: u64, error: u64, least: u64) -> bool {
    count > error && error <= least && sound(&[count, least])
}

fn times(at: &[u64], n: &[u64]) -> Result<Times, ReportError> {
    if at.len() != n.len() || !ascending(at.iter()) || n.contains(&0) || !sound(n) {
        return Err(ReportError::Field("times"));
    }
    let mut out = Times::default();
    at.iter().zip(n).for_each(|(at, n)| out.add(*at, *n));
    Ok(out)
}

impl Report {
    pub fn encode(&self) -> Vec<u8> {
        let class = |(class, c): (&u16, &Class)| {
            let (took, took_n) = c.took.buckets().into_iter().unzip();
            let (answers, answers_n) = c.answers.buckets().into_iter().unzip();
            let sums = [
                c.queries,
                c.repeats,
                c.bytes_in,
                c.bytes_out,
                c.first,
                c.again,
                c.copies,
                c.worked,
                c.work_us,
            ];
            ClassWire { class: (*class).into(), sums: sums.into(), took, took_n, answers, answers_n }
        };
        let clients = |(district, d): (&u32, &Distinct)| {
            let (at, value) = d.set().unzip();
            ClientsWire { district: *district, at, value }
        };
        let set = |(k, (count, error)): (&SetKey, &(u64, u64))| SetWire {
            class: k.class.into(),
            district: k.district,
            tiles: k.tiles.to_vec(),
            count: *count,
            error: *error,
        };
        Wire {
            version: VERSION,
            name: self.member.name.to_string(),
            incarnation: self.member.incarnation,
            window: self.window,
            window_ms: self.window_ms,
            seen: self.seen,
            classes: self.classes.iter().map(class).collect(),
            rows: table(self.rows.iter().map(|(k, r)| (k, [r.queries, r.whole, r.parts, r.bytes]))),
            clients: self.clients.iter().map(clients).collect(),
            tiles: table(self.tiles.iter().map(|(k, (n, e))| (k, [*n, *e]))),
            tiles_least: self.tiles_least,
            sets: self.sets.iter().map(set).collect(),
            sets_least: self.sets_least,
            servers: self.servers.keys().copied().collect(),
            servers_n: self.servers.values().copied().collect(),
        }
        .encode_to_vec()
    }

    /// Bounded before it is decoded. Errors change nothing.
    pub fn decode(bytes: &[u8]) -> Result<Report, ReportError> {
        use ReportError::Field;
        if bytes.len() > MOST_BYTES {
            return Err(ReportError::TooLong(bytes.len()));
        }
        let wire = Wire::decode(bytes).map_err(|_| ReportError::Spoilt)?;
        if wire.version != VERSION {
            return Err(ReportError::Version(wire.version));
        }
        if wire.name.is_empty() || wire.name.len() > 64 {
            return Err(Field("member"));
        }
        if wire.window_ms == 0 || wire.window.checked_mul(wire.window_ms).is_none() {
            return Err(Field("window"));
        }
        if wire.classes.len() > MOST_CLASSES || !ascending(wire.classes.iter().map(|c| c.class)) {
            return Err(Field("classes"));
        }
        let mut classes = BTreeMap::new();
        for c in &wire.classes {
            let sums = <[u64; 9]>::try_from(&c.sums[..]).map_err(|_| Field("classes"))?;
            let [queries, repeats, bytes_in, bytes_out, first, again, copies, worked, work_us] = sums;
            if !sound(&[queries, repeats, first, again, copies, worked]) {
                return Err(Field("classes"));
            }
            let (took, answers) = (times(&c.took, &c.took_n)?, times(&c.answers, &c.answers_n)?);
            let class = u16::try_from(c.class).map_err(|_| Field("classes"))?;
            let c = Class {
                queries,
                repeats,
                bytes_in,
                bytes_out,
                first,
                again,
                copies,
                worked,
                work_us,
                took,
                answers,
            };
            classes.insert(class, c);
        }
        let row = |(k, [queries, whole, parts, bytes]): (Key, [u64; 4])| match whole <= queries
            && sound(&[queries, parts])
        {
            true => Ok((k, Row { queries, whole, parts, bytes })),
            false => Err(Field("rows")),
        };
        if !ascending(wire.clients.iter().map(|c| c.district)) {
            return Err(Field("clients"));
        }
        let clients = wire.clients.iter().map(|c| {
            let pairs = c.at.iter().copied().zip(c.value.iter().copied());
            let whole = c.at.len() == c.value.len() && ascending(c.at.iter());
            let all = Distinct::from_set(pairs).filter(|_| whole);
            all.map(|d| (c.district, d)).ok_or(Field("clients"))
        });
        let tile = |(k, [n, e]): (Key, [u64; 2])| match counted(n, e, wire.tiles_least) {
            true => Ok((k, (n, e))),
            false => Err(Field("tiles")),
        };
        let set = |s: SetWire| {
            let whole = (1..=MOST_IN_SET).contains(&s.tiles.len()) && ascending(s.tiles.iter());
            let class =
                u16::try_from(s.class).ok().filter(|_| whole && counted(s.count, s.error, wire.sets_least));
            let class = class.ok_or(Field("sets"))?;
            let key = SetKey { class, district: s.district, tiles: s.tiles.into() };
            Ok((key, (s.count, s.error)))
        };
        let sets: Vec<_> = wire.sets.into_iter().map(set).collect::<Result<_, _>>()?;
        if !ascending(sets.iter().map(|(k, _)| k)) {
            return Err(Field("sets"));
        }
        let servers = (&wire.servers, &wire.servers_n);
        if !sound(servers.1) {
            return Err(Field("servers"));
        }
        if servers.0.len() != servers.1.len()
            || servers.0.len() > MOST_SERVERS
            || !ascending(servers.0.iter())
        {
            return Err(Field("servers"));
        }
        Ok(Report {
            member: MemberId::new(&wire.name, wire.incarnation),
            window: wire.window,
            window_ms: wire.window_ms,
            seen: wire.seen,
            classes,
            rows: rows(wire.rows, "rows")?.into_iter().map(row).collect::<Result<_, _>>()?,
            clients: clients.collect::<Result<_, _>>()?,
            tiles: rows(wire.tiles, "tiles")?.into_iter().map(tile).collect::<Result<_, _>>()?,
            tiles_least: wire.tiles_least,
            sets: sets.into_iter().collect(),
            sets_least: wire.sets_least,
            servers: wire.servers.into_iter().zip(wire.servers_n).collect(),
        })
    }
}
