//! Encodes actions as the records of a reply.
use crate::balancer::interface::{Action, ReplicaId};

/// Size of an action record in bytes.
const ACTION_BYTES: usize = 24;

const SEND: u8 = 0;
const FAIL: u8 = 1;
const SUBSCRIBE: u8 = 2;
const HEALTH_CHECK: u8 = 3;
const TIMER: u8 = 4;
const SELECT: u8 = 7;
const CANCEL: u8 = 8;
const REJECT: u8 = 11;
const CLOSE_IDLE: u8 = 12;
const ANSWER: u8 = 13;

type ActionRecord = [u8; ACTION_BYTES];

/// A reply under construction.
#[derive(Default)]
pub(super) struct Reply {
    records: Vec<ActionRecord>,
}

impl Reply {
    /// Appends the actions of an instance, preceded by a record that selects it.
    pub(super) fn add_actions(&mut self, instance: u16, actions: &[Action]) {
        if actions.is_empty() {
            return;
        }
        let mut select = [0; ACTION_BYTES];
        select[0] = SELECT;
        select[1..3].copy_from_slice(&instance.to_le_bytes());
        self.records.push(select);
        self.records.extend(actions.iter().map(encode_action));
    }

    /// Encodes the reply: body length, number of records, then the records.
    pub(super) fn encode(&self) -> Vec<u8> {
        let body = self.records.concat();
        let mut frame = Vec::with_capacity(8 + body.len());
        frame.extend((body.len() as u32).to_le_bytes());
        frame.extend((self.records.len() as u32).to_le_bytes());
        frame.extend(body);
        frame
    }
}

fn encode_action(action: &Action) -> ActionRecord {
    match action {
        Action::Send { part, replica, timeout } => {
            let mut record = record_of(SEND, part.0);
            put_replica(&mut record[5..11], *replica);
            record[11..19].copy_from_slice(&timeout.unwrap_or(0.0).to_le_bytes());
            record
        }
        Action::Cancel { part, attempt } => {
            let mut record = record_of(CANCEL, part.0);
            record[5] = *attempt;
            record
        }
        Action::Answer { query, complete } => {
            let mut record = record_of(ANSWER, query.0);
            record[5] = u8::from(*complete);
            record
        }
        Action::Reject { query, retry_after } => {
            let mut record = record_of(REJECT, query.0);
            record[5..13].copy_from_slice(&retry_after.unwrap_or(0.0).to_le_bytes());
            record
        }
        Action::Fail { query } => record_of(FAIL, query.0),
        Action::HealthCheck { replica } => record_of_replica(HEALTH_CHECK, *replica),
        Action::CloseIdle { replica } => record_of_replica(CLOSE_IDLE, *replica),
        Action::Timer { after } => {
            let mut record = [0; ACTION_BYTES];
            record[0] = TIMER;
            record[1..9].copy_from_slice(&after.to_le_bytes());
            record
        }
        Action::Subscribe => {
            let mut record = [0; ACTION_BYTES];
            record[0] = SUBSCRIBE;
            record[1] = 1;
            record
        }
    }
}

/// Creates a record that refers to a part or a query.
fn record_of(code: u8, id: u32) -> ActionRecord {
    let mut record = [0; ACTION_BYTES];
    record[0] = code;
    record[1..5].copy_from_slice(&id.to_le_bytes());
    record
}

fn record_of_replica(code: u8, replica: ReplicaId) -> ActionRecord {
    let mut record = [0; ACTION_BYTES];
    record[0] = code;
    put_replica(&mut record[1..7], replica);
    record
}

/// Writes a replica id: 6 bytes, big-endian.
fn put_replica(field: &mut [u8], replica: ReplicaId) {
    field.copy_from_slice(&replica.0.to_be_bytes()[2..8]);
}
