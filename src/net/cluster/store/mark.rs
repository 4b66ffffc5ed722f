//! The mark file, which holds the number of the last acknowledged batch.
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use super::error::StoreError;
use super::record;

/// The two slots are written alternately and lie in separate blocks, so that a torn write damages only one
/// of them.
const SLOT_SPACING_BYTES: u64 = 4096;
const SLOT_COUNT: u64 = 2;
/// The size of a slot: batch number, magic and checksum, 8 bytes each.
const SLOT_BYTES: usize = 24;
const MAGIC: &[u8] = b"marlgap1";
const KEY: &[u8] = b"mark";

#[derive(Debug)]
pub(super) struct MarkFile(File);

impl MarkFile {
    /// Returns the path of the mark file that belongs to the store at `store`.
    pub fn path(store: &Path) -> PathBuf {
        let mut name = store.as_os_str().to_owned();
        name.push(".mark");
        name.into()
    }

    /// Opens the mark file, or creates an empty one.
    pub fn open(path: &Path) -> Result<MarkFile, StoreError> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        Ok(MarkFile(file))
    }

    /// Returns the highest batch number among the intact slots, or `None` if no slot is intact.
    pub fn read(&self) -> Result<Option<u64>, StoreError> {
        let mut highest = None;
        for slot in 0..SLOT_COUNT {
            let mut bytes = [0; SLOT_BYTES];
            match self.0.read_exact_at(&mut bytes, slot * SLOT_SPACING_BYTES) {
                Ok(()) => {}
                Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => continue,
                Err(e) => return Err(e.into()),
            }
            if let Ok(content) = record::decode(KEY, &bytes) {
                let number = content.first_chunk::<8>().map_or(0, |number| u64::from_be_bytes(*number));
                highest = highest.max(Some(number));
            }
        }
        Ok(highest)
    }

    /// Acknowledges batch `batch_number`, durably when this method returns.
    pub fn write(&self, batch_number: u64) -> Result<(), StoreError> {
        let content = [&batch_number.to_be_bytes(), MAGIC].concat();
        let offset = batch_number % SLOT_COUNT * SLOT_SPACING_BYTES;
        self.0.write_all_at(&record::encode(KEY, &content), offset)?;
        self.0.sync_data()?;
        Ok(())
    }
}
