//! Decodes event records and endpoint list entries.
use std::collections::BTreeMap;

use super::record::{tail_slice, Record};
use super::WireError;
use crate::balancer::interface::{
    CellId, ClassId, Endpoint, EndpointState, EndpointUpdate, Event, LoadReport, Outcome, PartId, QueryId,
    QueryNumber, ShardId, TenantId, ZoneId,
};
use crate::config::settings::{self, LoadReportField};

const ENDPOINTS: u8 = 1;
const ARRIVAL: u8 = 2;
const STREAM: u8 = 3;
const OUTCOME: u8 = 4;
const CLIENT_DISCONNECTED: u8 = 5;
const TIMER: u8 = 6;
const HEALTH_CHECKED: u8 = 7;
const PEER_MESSAGE: u8 = 8;

/// Maximum number of values in a load report.
const MAX_REPORT_VALUES: usize = 4;
/// Arrival flag: the client has sent the query before.
const IS_RETRY: u8 = 2;

/// Decodes an event record of an instance. `lists` contains the registered endpoint lists;
/// `report_fields` defines the values in the instance's load reports.
pub(super) fn decode_event(
    record: &Record,
    tail: &[u8],
    lists: &BTreeMap<u32, Vec<Endpoint>>,
    report_fields: &[LoadReportField],
) -> Result<Event, WireError> {
    match record.code() {
        ENDPOINTS => decode_endpoints(record, lists),
        ARRIVAL => decode_arrival(record),
        // The simulator does not stream values; the event only triggers a round.
        STREAM | TIMER => Ok(Event::Timer),
        PEER_MESSAGE => {
            tail_slice(tail, record.u32(5), record.u32(9), 1, "Msg")?;
            // Messages from peers are not used; the event only triggers a round.
            Ok(Event::Timer)
        }
        OUTCOME => Ok(Event::Outcome {
            part: PartId(record.u32(1)),
            attempt: record.u8(5),
            replica: record.replica(6),
            part_finished: record.u8(12) != 0,
            outcome: decode_outcome(record.u8(13))?,
            elapsed: record.f64(14),
            report: decode_load_report(record, 22, report_fields)?,
        }),
        CLIENT_DISCONNECTED => Ok(Event::ClientDisconnected { query: QueryId(record.u32(1)) }),
        HEALTH_CHECKED => Ok(Event::HealthChecked {
            replica: record.replica(1),
            healthy: record.u8(7) == 0,
            elapsed: record.f64(8),
            report: decode_load_report(record, 16, report_fields)?,
        }),
        _ => Err(WireError::new("unknown event code")),
    }
}

/// Decodes an endpoint list entry.
pub(super) fn decode_endpoint(bytes: &[u8]) -> Result<Endpoint, WireError> {
    let entry = Record(bytes);
    let state = match entry.u8(10) {
        0 => EndpointState::Draining,
        1 => EndpointState::Ready,
        2 => EndpointState::Removed,
        other => return Err(WireError(format!("Phase {other} is unknown"))),
    };
    Ok(Endpoint {
        replica: entry.replica(0),
        zone: ZoneId(entry.u8(6)),
        cell: CellId(entry.u16(8)),
        state,
        weight: entry.f32(11),
        started: Some(entry.f64(15)).filter(|started| *started > 0.0 && started.is_finite()),
        start_uncertainty: 0.0,
    })
}

fn decode_endpoints(record: &Record, lists: &BTreeMap<u32, Vec<Endpoint>>) -> Result<Event, WireError> {
    let update = match record.u8(5) {
        0 => return Ok(Event::Endpoints { update: EndpointUpdate::Failed, endpoints: Vec::new() }),
        1 => EndpointUpdate::Full,
        2 => EndpointUpdate::Delta,
        3 => EndpointUpdate::Cached,
        other => return Err(WireError(format!("Form {other} is unknown"))),
    };
    let number = record.u32(1);
    match lists.get(&number) {
        Some(endpoints) => Ok(Event::Endpoints { update, endpoints: endpoints.clone() }),
        None => Err(WireError(format!("Sheet {number} was not registered"))),
    }
}

/// Decodes the arrival of a part, or of a query, which has a negative shard.
fn decode_arrival(record: &Record) -> Result<Event, WireError> {
    let number = QueryNumber(to_u32("WholeNo", record.f32(21))?);
    let shard = record.f32(42);
    if shard < 0.0 {
        return decode_query(record, number);
    }
    Ok(Event::Part {
        part: PartId(record.u32(1)),
        number,
        shard: ShardId(to_u32("RangeNo", shard)?),
        weight: record.f32(36),
        prior_attempts: 0,
        completed: false,
    })
}

fn decode_query(record: &Record, number: QueryNumber) -> Result<Event, WireError> {
    let time_left = record.f64(5);
    if !time_left.is_finite() {
        return Err(WireError::new("BudgetS is not finite"));
    }
    Ok(Event::Query {
        query: QueryId(record.u32(1)),
        number,
        class: ClassId(record.u16(40)),
        tenant: TenantId(record.u16(34)),
        time_left,
        parts: record.f32(36) as u32,
        is_retry: record.u8(25) & IS_RETRY != 0,
    })
}

fn to_u32(field: &str, number: f64) -> Result<u32, WireError> {
    if (0.0..=f64::from(u32::MAX)).contains(&number) {
        Ok(number as u32)
    } else {
        Err(WireError(format!("{field} {number} is out of range")))
    }
}

/// Decodes the load report at `offset`: a count, followed by that many values. `None` if there are
/// no values.
fn decode_load_report(
    record: &Record,
    offset: usize,
    fields: &[LoadReportField],
) -> Result<Option<LoadReport>, WireError> {
    let count = usize::from(record.u8(offset));
    if count > MAX_REPORT_VALUES {
        return Err(WireError(format!(
            "load report has {count} values, at most {MAX_REPORT_VALUES} are allowed"
        )));
    }
    if count == 0 {
        return Ok(None);
    }
    let values = (0..count).map(|i| record.f32(offset + 1 + 4 * i));
    Ok(Some(settings::load_report(fields, values)))
}

/// Decodes the outcome of an attempt; most codes are Linux errno values.
fn decode_outcome(code: u8) -> Result<Outcome, WireError> {
    match code {
        0 => Ok(Outcome::Succeeded),
        5 => Ok(Outcome::Error),
        11 => Ok(Outcome::Rejected),
        104 => Ok(Outcome::Reset),
        110 => Ok(Outcome::TimedOut),
        111 => Ok(Outcome::ConnectFailed),
        114 => Ok(Outcome::NeverSent),
        125 => Ok(Outcome::Cancelled),
        other => Err(WireError(format!("StateCode {other} is unknown"))),
    }
}
