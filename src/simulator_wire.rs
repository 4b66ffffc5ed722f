//! The simulator protocol: decodes batches of event records for many instances of the decision
//! module, runs a round of each instance that has events, and encodes the resulting actions
//! (specified in the operators' page WIRE-marlgap). Integers are little-endian, except replica ids,
//! which are big-endian.
//!
//! This module makes no decisions and reads no clock: the time of a round is part of its batch. A
//! malformed batch ends the run with an error that names the batch, the record and the field. A
//! batch is never read beyond its end.
#![warn(missing_docs)]

mod action;
mod event;
mod record;

use std::collections::BTreeMap;
use std::io::{Read, Write};

use thiserror::Error;

use self::action::Reply;
use self::event::{decode_endpoint, decode_event};
use self::record::{tail_slice, Record};
use crate::balancer::interface::{Endpoint, Event};
use crate::config::settings::{self, Deployment, LoadReportField};
use crate::Balancer;

/// Size of an event record in bytes.
const EVENT_BYTES: usize = 48;
/// Size of an endpoint list entry in bytes.
const ENTRY_BYTES: usize = 23;
/// Size of a batch header in bytes: record count, body length and clock.
const HEADER_BYTES: usize = 16;
/// Maximum number of endpoint lists registered at the same time.
const MAX_LISTS: u32 = 16;
/// Upper bound on the body length of a batch, in bytes. A greater length indicates a malformed
/// header; no buffer is allocated for it.
const MAX_BATCH_BYTES: usize = 1 << 30;

/// Codes of the records that the host handles itself.
const SPAWN: u8 = 0;
const REMOVE: u8 = 9;
const REGISTER_LIST: u8 = 10;
const SELECT: u8 = 11;

/// A malformed batch, with the location of the error, or a failed read or write.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct WireError(String);

impl WireError {
    fn new(message: impl Into<String>) -> WireError {
        WireError(message.into())
    }
}

struct Instance {
    balancer: Balancer,
    report_fields: Vec<LoadReportField>,
    /// Events of the current batch.
    events: Vec<Event>,
}

/// Hosts all instances of a process and the endpoint lists that they share.
#[derive(Default)]
pub struct SimulatorHost {
    instances: BTreeMap<u16, Instance>,
    lists: BTreeMap<u32, Vec<Endpoint>>,
}

impl SimulatorHost {
    /// Handles one batch and returns the reply, including its header. `body` excludes the batch
    /// header; `clock` is in seconds.
    ///
    /// # Errors
    ///
    /// Returns an error if the batch is malformed. Records before the malformed one may have been
    /// applied.
    pub fn handle_batch(&mut self, records: u32, clock: f64, body: &[u8]) -> Result<Vec<u8>, WireError> {
        let length = (records as usize).checked_mul(EVENT_BYTES).filter(|length| *length <= body.len());
        let Some(length) = length else {
            let message = format!("batch of {records} records does not fit in its {} bytes", body.len());
            return Err(WireError(message));
        };
        if !clock.is_finite() {
            return Err(WireError::new("batch header: the clock is not finite"));
        }
        let (records, tail) = body.split_at(length);
        let mut selected = None;
        for (i, record) in records.chunks_exact(EVENT_BYTES).enumerate() {
            self.handle_record(&Record(record), tail, &mut selected)
                .map_err(|e| WireError(format!("record {i} (code {}): {e}", record[0])))?;
        }
        Ok(self.run_rounds(clock))
    }

    /// Runs a round of each instance that has events, and encodes the reply.
    fn run_rounds(&mut self, clock: f64) -> Vec<u8> {
        let mut reply = Reply::default();
        for (number, instance) in &mut self.instances {
            let events = std::mem::take(&mut instance.events);
            if !events.is_empty() {
                reply.add_actions(*number, &instance.balancer.round(clock, &events));
            }
        }
        reply.encode()
    }

    /// Applies one record. `selected` is the instance named by the batch's last select record.
    fn handle_record(
        &mut self,
        record: &Record,
        tail: &[u8],
        selected: &mut Option<u16>,
    ) -> Result<(), WireError> {
        let code = record.code();
        if code == SELECT {
            *selected = Some(record.u16(1));
            return Ok(());
        }
        if code == REGISTER_LIST {
            return self.register_list(record, tail);
        }
        let Some(number) = *selected else {
            return Err(WireError::new("no instance is selected before this record"));
        };
        match code {
            SPAWN => self.spawn(number, record, tail),
            REMOVE => {
                self.instances.remove(&number);
                Ok(())
            }
            _ => self.queue_event(number, record, tail),
        }
    }

    fn spawn(&mut self, number: u16, record: &Record, tail: &[u8]) -> Result<(), WireError> {
        let text = tail_slice(tail, record.u32(9), record.u32(13), 1, "BootInfo")?;
        let Deployment { settings, report_fields, .. } =
            settings::parse(text).map_err(|e| WireError(e.to_string()))?;
        let balancer = Balancer::new(settings, record.u64(1)).map_err(|e| WireError(e.to_string()))?;
        self.instances.insert(number, Instance { balancer, report_fields, events: Vec::new() });
        Ok(())
    }

    fn register_list(&mut self, record: &Record, tail: &[u8]) -> Result<(), WireError> {
        let number = record.u32(1);
        if number >= MAX_LISTS {
            return Err(WireError(format!("list number {number} exceeds the maximum of {}", MAX_LISTS - 1)));
        }
        let bytes = tail_slice(tail, record.u32(5), record.u32(9), ENTRY_BYTES, "NodesList")?;
        let endpoints: Result<_, _> = bytes.chunks_exact(ENTRY_BYTES).map(decode_endpoint).collect();
        self.lists.insert(number, endpoints?);
        Ok(())
    }

    fn queue_event(&mut self, number: u16, record: &Record, tail: &[u8]) -> Result<(), WireError> {
        let Some(instance) = self.instances.get_mut(&number) else {
            return Err(WireError(format!("instance {number} is not running")));
        };
        let event = decode_event(record, tail, &self.lists, &instance.report_fields)?;
        instance.events.push(event);
        Ok(())
    }
}

/// Reads `length` bytes, or fewer if the input ends first.
fn read_up_to(input: &mut impl Read, length: usize) -> Result<Vec<u8>, WireError> {
    let mut bytes = Vec::new();
    input
        .take(length as u64)
        .read_to_end(&mut bytes)
        .map_err(|e| WireError(format!("reading failed: {e}")))?;
    Ok(bytes)
}

/// Serves batches until the input ends.
///
/// # Errors
///
/// Returns an error if a batch is malformed or truncated, or if reading or writing fails.
pub fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), WireError> {
    let mut host = SimulatorHost::default();
    for batch in 0u64.. {
        let in_batch = |e: WireError| WireError(format!("batch {batch}: {e}"));
        let header = read_up_to(input, HEADER_BYTES)?;
        if header.is_empty() {
            break;
        }
        if header.len() < HEADER_BYTES {
            let message = format!("header truncated after {} bytes", header.len());
            return Err(in_batch(WireError(message)));
        }
        let header = Record(&header);
        let length = header.u32(4) as usize;
        if length > MAX_BATCH_BYTES {
            return Err(in_batch(WireError(format!("body length {length} exceeds {MAX_BATCH_BYTES} bytes"))));
        }
        let body = read_up_to(input, length)?;
        if body.len() < length {
            return Err(in_batch(WireError(format!(
                "body truncated after {} of {length} bytes",
                body.len()
            ))));
        }
        let reply = host.handle_batch(header.u32(0), header.f64(8), &body).map_err(in_batch)?;
        let written = output.write_all(&reply).and_then(|()| output.flush());
        written.map_err(|e| in_batch(WireError(format!("writing the reply failed: {e}"))))?;
    }
    Ok(())
}
