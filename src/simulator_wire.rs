//! The simulator's wire: a codec for frames and the table of instances. It decides nothing.
use std::collections::BTreeMap;
use std::fmt;
use std::io::{Read, Write};

use crate::balancer::interface::*;
use crate::config::settings::{self, Deployment, LoadReportField};
use crate::Balancer;

const EVENT_BYTES: usize = 48;
const ENTRY_BYTES: usize = 23;
const LISTS: u32 = 16;
/// No sane batch is larger; a length beyond it is taken for a broken frame, not allocated.
const LARGEST_FRAME: usize = 1 << 30;

/// What was wrong, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireError(pub String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WireError {}

fn bad<T>(text: impl Into<String>) -> Result<T, WireError> {
    Err(WireError(text.into()))
}

/// Fields of a record by offset; an offset outside it reads as zero, which no fixed-size record meets.
struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn bytes<const N: usize>(&self, at: usize) -> [u8; N] {
        let mut out = [0; N];
        if let Some(slice) = self.0.get(at..at + N) {
            out.copy_from_slice(slice);
        }
        out
    }
    fn u8(&self, at: usize) -> u8 {
        self.bytes::<1>(at)[0]
    }
    fn u16(&self, at: usize) -> u16 {
        u16::from_le_bytes(self.bytes(at))
    }
    fn u32(&self, at: usize) -> u32 {
        u32::from_le_bytes(self.bytes(at))
    }
    fn u64(&self, at: usize) -> u64 {
        u64::from_le_bytes(self.bytes(at))
    }
    fn f32(&self, at: usize) -> f64 {
        f64::from(f32::from_le_bytes(self.bytes(at)))
    }
    fn f64(&self, at: usize) -> f64 {
        f64::from_le_bytes(self.bytes(at))
    }
    fn replica(&self, at: usize) -> ReplicaId {
        let b: [u8; 6] = self.bytes(at);
        ReplicaId(u64::from_be_bytes([0, 0, b[0], b[1], b[2], b[3], b[4], b[5]]))
    }
}

fn put_replica(out: &mut [u8], replica: ReplicaId) {
    out.copy_from_slice(&replica.0.to_be_bytes()[2..8]);
}

fn report(record: &Fields, at: usize, names: &[LoadReportField]) -> Result<Option<LoadReport>, WireError> {
    let n = usize::from(record.u8(at));
    if n > 4 {
        return bad(format!("load report of {n} values, at most 4 fit"));
    }
    if n == 0 {
        return Ok(None);
    }
    let values = (0..n).map(|i| record.f32(at + 1 + 4 * i));
    Ok(Some(settings::load_report(names, values)))
}

struct Instance {
    balancer: Balancer,
    names: Vec<LoadReportField>,
    events: Vec<Event>,
}

/// All instances of one process, and the lists they share the carriage of.
#[derive(Default)]
pub struct SimulatorHost {
    instances: BTreeMap<u16, Instance>,
    lists: BTreeMap<u32, Vec<Endpoint>>,
}

impl SimulatorHost {
    /// Take one batch (without its header) and give back the reply, header included.
    pub fn handle_batch(&mut self, records: u32, clock: f64, body: &[u8]) -> Result<Vec<u8>, WireError> {
        let Some(split) = (records as usize).checked_mul(EVENT_BYTES).filter(|n| *n <= body.len()) else {
            return bad(format!("batch of {records} records does not fit its {} bytes", body.len()));
        };
        if !clock.is_finite() {
            return bad("batch header: the clock is not a number");
        }
        let (records, tail) = body.split_at(split);
        let mut current = None;
        for (i, record) in records.chunks_exact(EVENT_BYTES).enumerate() {
            self.event(&Fields(record), tail, &mut current)
                .map_err(|e| WireError(format!("record {i} (code {}): {e}", record[0])))?;
        }
        let mut reply = Reply::default();
        for (number, instance) in &mut self.instances {
            let events = std::mem::take(&mut instance.events);
            if !events.is_empty() {
                reply.actions(*number, &instance.balancer.round(clock, &events));
            }
        }
        Ok(reply.frame())
    }

    fn event(&mut self, r: &Fields, tail: &[u8], current: &mut Option<u16>) -> Result<(), WireError> {
        match r.u8(0) {
            11 => *current = Some(r.u16(1)),
            10 => self.register(r, tail)?,
            code => {
                let Some(number) = *current else {
                    return bad("no select before it");
                };
                match code {
                    0 => self.spawn(number, r, tail)?,
                    9 => drop(self.instances.remove(&number)),
                    _ => self.deliver(number, code, r, tail)?,
                }
            }
        }
        Ok(())
    }

    fn spawn(&mut self, number: u16, r: &Fields, tail: &[u8]) -> Result<(), WireError> {
        let info = slice(tail, r.u32(9), r.u32(13), 1, "BootInfo")?;
        let told = settings::parse(info).map_err(|e| WireError(e.to_string()))?;
        let Deployment { settings, report_fields: names, .. } = told;
        let balancer = Balancer::new(settings, r.u64(1)).map_err(|e| WireError(e.to_string()))?;
        self.instances.insert(number, Instance { balancer, names, events: Vec::new() });
        Ok(())
    }

    fn register(&mut self, r: &Fields, tail: &[u8]) -> Result<(), WireError> {
        let sheet = r.u32(1);
        if sheet >= LISTS {
            return bad(format!("list number {sheet} is over {}", LISTS - 1));
        }
        let bytes = slice(tail, r.u32(5), r.u32(9), ENTRY_BYTES, "NodesList")?;
        let entries: Result<_, _> = bytes.chunks_exact(ENTRY_BYTES).map(entry).collect();
        self.lists.insert(sheet, entries?);
        Ok(())
    }

    fn deliver(&mut self, number: u16, code: u8, r: &Fields, tail: &[u8]) -> Result<(), WireError> {
        let lists = &self.lists;
        let Some(instance) = self.instances.get_mut(&number) else {
            return bad(format!("instance {number} is not running"));
        };
        let event = match code {
            1 => members(r, lists)?,
            2 => arrival(r)?,
            // Nothing streams here and peers are not listened to; the round still happens.
            3 => Event::Timer,
            8 => {
                slice(tail, r.u32(5), r.u32(9), 1, "Msg")?;
                Event::Timer
            }
            4 => Event::Outcome {
                part: PartId(r.u32(1)),
                attempt: r.u8(5),
                replica: r.replica(6),
                part_finished: r.u8(12) != 0,
                outcome: outcome(r.u8(13))?,
                elapsed: r.f64(14),
                report: report(r, 22, &instance.names)?,
            },
            5 => Event::ClientDisconnected { query: QueryId(r.u32(1)) },
            6 => Event::Timer,
            7 => Event::HealthChecked {
                replica: r.replica(1),
                healthy: r.u8(7) == 0,
                elapsed: r.f64(8),
                report: report(r, 16, &instance.names)?,
            },
            _ => return bad("unknown event code"),
        };
        instance.events.push(event);
        Ok(())
    }
}

fn slice<'a>(tail: &'a [u8], at: u32, n: u32, size: usize, name: &str) -> Result<&'a [u8], WireError> {
    let start = at as usize;
    let end = (n as usize).checked_mul(size).and_then(|bytes| bytes.checked_add(start));
    match end.and_then(|end| tail.get(start..end)) {
        Some(bytes) => Ok(bytes),
        None => bad(format!("{name} at {at}, length {n}, lies outside the tail of {} bytes", tail.len())),
    }
}

fn entry(bytes: &[u8]) -> Result<Endpoint, WireError> {
    let r = Fields(bytes);
    Ok(Endpoint {
        replica: r.replica(0),
        zone: ZoneId(r.u8(6)),
        cell: CellId(r.u16(8)),
        state: match r.u8(10) {
            0 => EndpointState::Draining,
            1 => EndpointState::Ready,
            2 => EndpointState::Removed,
            other => return bad(format!("Phase {other} is unknown")),
        },
        weight: r.f32(11),
        started: Some(r.f64(15)).filter(|t| *t > 0.0 && t.is_finite()),
    })
}

fn members(r: &Fields, lists: &BTreeMap<u32, Vec<Endpoint>>) -> Result<Event, WireError> {
    let news = match r.u8(5) {
        0 => return Ok(Event::Endpoints { update: EndpointUpdate::Failed, endpoints: Vec::new() }),
        1 => EndpointUpdate::Full,
        2 => EndpointUpdate::Delta,
        3 => EndpointUpdate::Cached,
        other => return bad(format!("Form {other} is unknown")),
    };
    match lists.get(&r.u32(1)) {
        Some(entries) => Ok(Event::Endpoints { update: news, endpoints: entries.clone() }),
        None => bad(format!("Sheet {} was not registered", r.u32(1))),
    }
}

fn arrival(r: &Fields) -> Result<Event, WireError> {
    let (number, shard, amount) = (r.f32(21), r.f32(42), r.f32(36));
    if !(0.0..=u32::MAX as f64).contains(&number) {
        return bad(format!("WholeNo {number} is out of range"));
    }
    let number = QueryNumber(number as u32);
    if shard < 0.0 {
        let patience = r.f64(5);
        if !patience.is_finite() {
            return bad("BudgetS is not a number");
        }
        return Ok(Event::Query {
            query: QueryId(r.u32(1)),
            number,
            class: ClassId(r.u16(40)),
            tenant: TenantId(r.u16(34)),
            time_left: patience,
            parts: amount as u32,
            is_retry: r.u8(25) & 2 != 0,
        });
    }
    if !(0.0..=u32::MAX as f64).contains(&shard) {
        return bad(format!("RangeNo {shard} is out of range"));
    }
    Ok(Event::Part {
        part: PartId(r.u32(1)),
        number,
        shard: ShardId(shard as u32),
        weight: amount,
        prior_attempts: 0,
        completed: false,
    })
}

fn outcome(code: u8) -> Result<Outcome, WireError> {
    Ok(match code {
        0 => Outcome::Succeeded,
        5 => Outcome::Error,
        11 => Outcome::Rejected,
        104 => Outcome::Reset,
        110 => Outcome::TimedOut,
        111 => Outcome::ConnectFailed,
        114 => Outcome::NeverSent,
        125 => Outcome::Cancelled,
        other => return bad(format!("StateCode {other} is unknown")),
    })
}

/// A reply in the making.
#[derive(Default)]
struct Reply {
    records: Vec<[u8; 24]>,
}

impl Reply {
    fn actions(&mut self, instance: u16, actions: &[Action]) {
        if actions.is_empty() {
            return;
        }
        let mut select = [0; 24];
        select[0] = 7;
        select[1..3].copy_from_slice(&instance.to_le_bytes());
        self.records.push(select);
        self.records.extend(actions.iter().map(action));
    }

    fn frame(&self) -> Vec<u8> {
        let body = self.records.concat();
        let mut out = Vec::with_capacity(8 + body.len());
        out.extend((body.len() as u32).to_le_bytes());
        out.extend((self.records.len() as u32).to_le_bytes());
        out.extend(body);
        out
    }
}

fn action(action: &Action) -> [u8; 24] {
    let mut r = [0; 24];
    let mut head = |code: u8, id: u32| {
        r[0] = code;
        r[1..5].copy_from_slice(&id.to_le_bytes());
    };
    match action {
        Action::Send { part, replica, timeout } => {
            head(0, part.0);
            put_replica(&mut r[5..11], *replica);
            r[11..19].copy_from_slice(&timeout.unwrap_or(0.0).to_le_bytes());
        }
        Action::Cancel { part, attempt } => {
            head(8, part.0);
            r[5] = *attempt;
        }
        Action::Answer { query, complete } => {
            head(13, query.0);
            r[5] = u8::from(*complete);
        }
        Action::Reject { query, retry_after } => {
            head(11, query.0);
            r[5..13].copy_from_slice(&retry_after.unwrap_or(0.0).to_le_bytes());
        }
        Action::Fail { query } => head(1, query.0),
        Action::HealthCheck { replica } => {
            r[0] = 3;
            put_replica(&mut r[1..7], *replica);
        }
        Action::CloseIdle { replica } => {
            r[0] = 12;
            put_replica(&mut r[1..7], *replica);
        }
        Action::Timer { after } => {
            r[0] = 4;
            r[1..9].copy_from_slice(&after.to_le_bytes());
        }
        Action::Subscribe => {
            r[0] = 2;
            r[1] = 1;
        }
    }
    r
}

/// Read at most `len` bytes; the count tells how many came before the input ended.
fn read_up_to(input: &mut impl Read, len: usize) -> Result<Vec<u8>, WireError> {
    let mut buf = Vec::new();
    match input.take(len as u64).read_to_end(&mut buf) {
        Ok(_) => Ok(buf),
        Err(e) => bad(format!("reading: {e}")),
    }
}

/// Serve batches until the input ends.
pub fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), WireError> {
    let mut host = SimulatorHost::default();
    for batch in 0u64.. {
        let head = read_up_to(input, 16)?;
        if head.is_empty() {
            break;
        }
        let fields = Fields(&head);
        let length = fields.u32(4) as usize;
        if head.len() < 16 {
            return bad(format!("batch {batch}: header cut off after {} bytes", head.len()));
        }
        if length > LARGEST_FRAME {
            return bad(format!("batch {batch}: length {length} is over {LARGEST_FRAME}"));
        }
        let body = read_up_to(input, length)?;
        if body.len() < length {
            return bad(format!("batch {batch}: {} bytes of {length} came", body.len()));
        }
        let reply = host
            .handle_batch(fields.u32(0), fields.f64(8), &body)
            .map_err(|e| WireError(format!("batch {batch}: {e}")))?;
        let sent = output.write_all(&reply).and_then(|()| output.flush());
        sent.map_err(|e| WireError(format!("batch {batch}: writing the reply: {e}")))?;
    }
    Ok(())
}
