//! The simulator's wire: decodes batches of event records for many instances of the decision module, runs a
//! round of each instance that has events, and encodes their actions (the operators' page WIRE-marlgap).
//! Numbers are little-endian, except a replica's, which is big-endian.
//!
//! It decides nothing and reads no clock: the time of a round comes in with its batch. A malformed batch ends
//! the run with an error that names the batch, the record and the field; it is never read past its end.
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

/// Bytes of an event record.
const EVENT_BYTES: usize = 48;
/// Bytes of an entry of an endpoint list.
const ENTRY_BYTES: usize = 23;
/// Bytes of a batch header: record count, body length, clock.
const HEADER_BYTES: usize = 16;
/// Endpoint lists that can be registered at the same time.
const MAX_LISTS: u32 = 16;
/// No sane batch is larger, in bytes: a greater length is taken for a malformed header, and not allocated.
const MAX_BATCH_BYTES: usize = 1 << 30;

/// Codes of the records that the host handles itself.
const SPAWN: u8 = 0;
const REMOVE: u8 = 9;
const REGISTER_LIST: u8 = 10;
const SELECT: u8 = 11;

/// What is wrong with a batch, and where; or why reading or writing failed.
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

/// All instances of one process, and the endpoint lists that they share.
#[derive(Default)]
pub struct SimulatorHost {
    instances: BTreeMap<u16, Instance>,
    lists: BTreeMap<u32, Vec<Endpoint>>,
}

impl SimulatorHost {
    /// Handle one batch: `body` without its header, `clock` in seconds. Gives the reply, header included.
    ///
    /// # Errors
    ///
    /// A malformed batch; records before the malformed one may have been applied.
    pub fn handle_batch(&mut self, records: u32, clock: f64, body: &[u8]) -> Result<Vec<u8>, WireError> {
        let length = (records as usize).checked_mul(EVENT_BYTES).filter(|length| *length <= body.len());
        let Some(length) = length else {
            let message = format!("batch of {records} records does not fit its {} bytes", body.len());
            return Err(WireError(message));
        };
        if !clock.is_finite() {
            return Err(WireError::new("batch header: the clock is not a number"));
        }
        let (records, tail) = body.split_at(length);
        let mut selected = None;
        for (i, record) in records.chunks_exact(EVENT_BYTES).enumerate() {
            self.handle_record(&Record(record), tail, &mut selected)
                .map_err(|e| WireError(format!("record {i} (code {}): {e}", record[0])))?;
        }
        Ok(self.run_rounds(clock))
    }

    /// A round of each instance that has events.
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

    /// Apply one record. `selected` is the instance that the last select record of the batch named.
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
            return Err(WireError::new("no select before it"));
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
            return Err(WireError(format!("list number {number} is over {}", MAX_LISTS - 1)));
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

/// Read `length` bytes, or fewer where the input ends before.
fn read_up_to(input: &mut impl Read, length: usize) -> Result<Vec<u8>, WireError> {
    let mut bytes = Vec::new();
    input.take(length as u64).read_to_end(&mut bytes).map_err(|e| WireError(format!("reading: {e}")))?;
    Ok(bytes)
}

/// Serve batches until the input ends.
///
/// # Errors
///
/// A batch that is malformed or cut off, or input or output that fails.
pub fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), WireError> {
    let mut host = SimulatorHost::default();
    for batch in 0u64.. {
        let in_batch = |e: WireError| WireError(format!("batch {batch}: {e}"));
        let header = read_up_to(input, HEADER_BYTES)?;
        if header.is_empty() {
            break;
        }
        if header.len() < HEADER_BYTES {
            let message = format!("header cut off after {} bytes", header.len());
            return Err(in_batch(WireError(message)));
        }
        let header = Record(&header);
        let length = header.u32(4) as usize;
        if length > MAX_BATCH_BYTES {
            return Err(in_batch(WireError(format!("length {length} is over {MAX_BATCH_BYTES}"))));
        }
        let body = read_up_to(input, length)?;
        if body.len() < length {
            return Err(in_batch(WireError(format!("{} bytes of {length} came", body.len()))));
        }
        let reply = host.handle_batch(header.u32(0), header.f64(8), &body).map_err(in_batch)?;
        let written = output.write_all(&reply).and_then(|()| output.flush());
        written.map_err(|e| in_batch(WireError(format!("writing the reply: {e}"))))?;
    }
    Ok(())
}
