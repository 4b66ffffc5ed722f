//! Records with a checksum over their key and content, and the header record of the store.
use std::hash::Hasher;

use super::error::StoreError;
use crate::cluster::consensus_log::HardState;

const CHECKSUM_BYTES: usize = 8;

fn checksum(key: &[u8], content: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(key);
    hasher.write_u64(content.len() as u64);
    hasher.write(content);
    hasher.finish().to_be_bytes()
}

/// Encodes a record for `key`: the content, followed by a checksum over key and content.
pub(super) fn encode(key: &[u8], content: &[u8]) -> Vec<u8> {
    [content, &checksum(key, content)].concat()
}

/// Decodes a record and returns its content.
///
/// # Errors
/// Returns [`StoreError::Corrupt`] if the record is too short or its checksum does not match.
pub(super) fn decode(key: &[u8], record: &[u8]) -> Result<Vec<u8>, StoreError> {
    let Some((content, sum)) = record.split_last_chunk::<CHECKSUM_BYTES>() else {
        return Err(StoreError::Corrupt("a record is too short for its checksum".into()));
    };
    if checksum(key, content) != *sum {
        return Err(StoreError::Corrupt(format!("checksum mismatch in record {}", key.escape_ascii())));
    }
    Ok(content.to_vec())
}

/// The header that each batch writes in addition to its content: nine big-endian numbers of 8 bytes each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Header {
    /// The number of the last batch.
    pub batch_number: u64,
    pub disk_id: u64,
    pub cluster_id: u64,
    pub hard_state: HardState,
    pub entry_count: u64,
    /// The index of the last log entry, or 0 if there is none.
    pub last_index: u64,
    pub has_snapshot: bool,
}

impl Header {
    pub fn encode(&self) -> Vec<u8> {
        let numbers = [
            self.batch_number,
            self.disk_id,
            self.cluster_id,
            self.hard_state.term,
            self.hard_state.vote,
            self.hard_state.commit,
            self.entry_count,
            self.last_index,
            u64::from(self.has_snapshot),
        ];
        numbers.iter().flat_map(|number| number.to_be_bytes()).collect()
    }

    pub fn decode(bytes: &[u8]) -> Result<Header, StoreError> {
        let (numbers, rest) = bytes.as_chunks::<8>();
        let numbers: Vec<u64> = numbers.iter().map(|number| u64::from_be_bytes(*number)).collect();
        let (&[batch_number, disk_id, cluster_id, term, vote, commit, entry_count, last_index, snapshot], []) =
            (numbers.as_slice(), rest)
        else {
            return Err(StoreError::Corrupt("the header has a wrong length".into()));
        };
        Ok(Header {
            batch_number,
            disk_id,
            cluster_id,
            hard_state: HardState { term, vote, commit },
            entry_count,
            last_index,
            has_snapshot: snapshot != 0,
        })
    }
}
