//! The persistent store of a voter: disk id, bootstrap state, hard state, log entries and snapshot.
//!
//! The store consists of two files. The first is a `redb` database in which each batch is one durable
//! transaction. The second, the mark file `FILE.mark`, holds the number of the last acknowledged batch.
//! `redb` keeps two commits and falls back to the earlier one if the later one is not intact. That is
//! correct if the process ended during a write, but after corruption of a byte it would restore an older
//! vote, which the mark file detects. The contents of entries and snapshots are opaque to the store.
//!
//! A failed write, for example on a full disk, closes the database. The next write opens it again and
//! continues from its contents. All calls block on disk I/O.
//!
//! Invariant: a write returns only when both files are durable. A store that opens therefore contains every
//! acknowledged batch; otherwise it fails to open. Each record has a checksum over its key and content, the
//! header contains the number of entries, and the mark file the batch number that the database must have
//! reached.
#![warn(missing_docs)]

mod error;
mod mark;
mod record;

use std::fs::File;
use std::path::{Path, PathBuf};

use redb::{
    Database, ReadableDatabase, ReadableTable, ReadableTableMetadata, TableDefinition, WriteTransaction,
};

use self::error::corrupt;
pub use self::error::StoreError;
use self::mark::MarkFile;
use self::record::Header;
use crate::cluster::consensus_log::{StoredLog, WriteBatch};

const META: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
const ENTRIES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("entries");
type MetaTable<'t> = redb::Table<'t, &'static str, &'static [u8]>;
/// The keys of the table `meta`.
const HEADER_KEY: &str = "head";
const SNAPSHOT_KEY: &str = "snapshot";
const BOOTSTRAP_STATE_KEY: &str = "stage";
/// The size of the page cache of `redb`, in bytes. It is small because the log is read only once, at the
/// start.
const CACHE_BYTES: usize = 4 << 20;

/// The contents of a store when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreContents {
    /// The id given to the file when it was created. A voter with another file counts as another voter.
    pub disk_id: u64,
    /// The bootstrap state as encoded by its owner; empty at first.
    pub bootstrap_state: Vec<u8>,
    /// The hard state, the snapshot and the log entries.
    pub stored: StoredLog,
}

/// An open store. Only one process at a time can open a file.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    /// `None` after a failed write. The next write reads from the file whether the failed one took effect.
    database: Option<Database>,
    mark: MarkFile,
    /// The header as of the last acknowledged batch.
    header: Header,
}

impl Store {
    /// Opens the store at `path`, or creates it with `disk_id` if it does not exist.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if a file is missing, corrupt, not consistent with its mark, or cannot be
    /// read or written.
    pub fn open(path: &Path, disk_id: u64) -> Result<(Store, StoreContents), StoreError> {
        let mark_path = MarkFile::path(path);
        let exists = path.exists();
        if exists && !mark_path.exists() {
            return Err(StoreError::Missing(mark_path));
        }
        let mark = MarkFile::open(&mark_path)?;
        let acknowledged = match mark.read()? {
            Some(batch_number) => batch_number,
            None if exists => return Err(StoreError::Corrupt(mark_path.display().to_string())),
            None => {
                mark.write(0)?;
                0
            }
        };
        if acknowledged > 0 && !exists {
            return Err(StoreError::Missing(path.into()));
        }
        if acknowledged == 0 && exists {
            // The process ended while it created the file, so nothing in it was ever acknowledged.
            std::fs::remove_file(path)?;
        }
        let mut store = Store { path: path.into(), database: None, mark, header: Header::default() };
        store.database = Some(store.open_database()?);
        let contents =
            if acknowledged == 0 { store.create(disk_id)? } else { store.recover(acknowledged)? };
        Ok((store, contents))
    }

    /// Writes the first batch of a new store.
    fn create(&mut self, disk_id: u64) -> Result<StoreContents, StoreError> {
        if let Some(folder) = self.path.canonicalize()?.parent() {
            File::open(folder)?.sync_all()?;
        }
        self.header.disk_id = disk_id;
        self.commit(&[], |_, _| Ok(()))?;
        Ok(StoreContents { disk_id, ..StoreContents::default() })
    }

    /// Reads an existing store whose last acknowledged batch is `acknowledged`.
    fn recover(&mut self, acknowledged: u64) -> Result<StoreContents, StoreError> {
        let contents = self.load()?;
        let in_file = self.header.batch_number;
        if in_file < acknowledged || in_file > acknowledged + 1 {
            return Err(StoreError::RolledBack { file: in_file, mark: acknowledged });
        }
        if in_file > acknowledged {
            // The process ended between the two writes. A batch that was not acknowledged may be present or
            // not, so accept it.
            self.mark.write(in_file)?;
        }
        Ok(contents)
    }

    fn open_database(&self) -> Result<Database, StoreError> {
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE_BYTES).set_check_integrity_on_open(true);
        builder.create(&self.path).map_err(corrupt)
    }

    /// Opens the database again after a failed write. That batch may have become durable, with or without
    /// its mark.
    ///
    /// Invariant: the last batch in the file is the acknowledged one or the next.
    fn reopen(&mut self) -> Result<(), StoreError> {
        let acknowledged = self.header;
        self.database = Some(self.open_database()?);
        let reloaded = self.reload(acknowledged.batch_number);
        if reloaded.is_err() {
            self.database = None;
            self.header = acknowledged;
        }
        reloaded
    }

    fn reload(&mut self, acknowledged: u64) -> Result<(), StoreError> {
        let loaded = self.load();
        // Before the first acknowledged batch the file may be empty.
        if acknowledged > 0 {
            loaded?;
        }
        let in_file = self.header.batch_number;
        if in_file != acknowledged && in_file != acknowledged + 1 {
            return Err(StoreError::RolledBack { file: in_file, mark: acknowledged });
        }
        self.mark.write(in_file)
    }

    /// Reads and validates the complete contents of the file.
    fn load(&mut self) -> Result<StoreContents, StoreError> {
        let database = self.database.as_ref().ok_or(StoreError::Closed)?;
        let read = database.begin_read().map_err(corrupt)?;
        let meta = read.open_table(META).map_err(corrupt)?;
        let get = |key: &str| -> Result<Option<Vec<u8>>, StoreError> {
            let found = meta.get(key).map_err(corrupt)?;
            found.map(|found| record::decode(key.as_bytes(), found.value())).transpose()
        };
        let header = get(HEADER_KEY)?.ok_or_else(|| StoreError::Corrupt("the header is missing".into()))?;
        self.header = Header::decode(&header)?;
        let snapshot = get(SNAPSHOT_KEY)?;
        let entries = load_entries(&read.open_table(ENTRIES).map_err(corrupt)?)?;
        let last_index = entries.last().map_or(0, |(index, _)| *index);
        let Header { disk_id, cluster_id, hard_state, .. } = self.header;
        let is_complete = entries.len() as u64 == self.header.entry_count
            && last_index == self.header.last_index
            && snapshot.is_some() == self.header.has_snapshot;
        if !is_complete {
            return Err(StoreError::Corrupt("log entries or the snapshot do not match the header".into()));
        }
        let bootstrap_state = get(BOOTSTRAP_STATE_KEY)?;
        let bootstrap_state =
            bootstrap_state.ok_or_else(|| StoreError::Corrupt("the bootstrap state is missing".into()))?;
        let stored = StoredLog { cluster_id, hard_state, snapshot, entries };
        Ok(StoreContents { disk_id, bootstrap_state, stored })
    }

    /// Commits one durable transaction that includes the header, then writes the mark. An empty
    /// `bootstrap_state` keeps the previous one.
    fn commit(
        &mut self,
        bootstrap_state: &[u8],
        change: impl FnOnce(&mut Header, &WriteTransaction) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        if self.database.is_none() {
            self.reopen()?;
        }
        // The database is put back only once everything is durable.
        let database = self.database.take().ok_or(StoreError::Closed)?;
        let transaction = database.begin_write().map_err(corrupt)?;
        let mut header = self.header;
        header.batch_number += 1;
        change(&mut header, &transaction)?;
        write_meta(&transaction, &mut header, bootstrap_state)?;
        transaction.commit().map_err(corrupt)?;
        self.mark.write(header.batch_number)?;
        self.header = header;
        self.database = Some(database);
        Ok(())
    }

    /// Writes `batch` and returns once it is durable.
    ///
    /// # Errors
    /// Returns a [`StoreError`] if the write failed. The batch may or may not be durable then, and the
    /// caller must write the same batch again until it is acknowledged. Writing a batch twice has the same
    /// effect as writing it once.
    pub fn persist(&mut self, batch: &WriteBatch) -> Result<(), StoreError> {
        self.commit(&[], |header, transaction| {
            header.hard_state = batch.hard_state;
            write_log(transaction, batch)
        })
    }

    /// Writes the bootstrap state and returns once it is durable. An empty state keeps the previous one.
    ///
    /// # Errors
    /// Same as [`Store::persist`].
    pub fn write_bootstrap_state(&mut self, bootstrap_state: &[u8]) -> Result<(), StoreError> {
        self.commit(bootstrap_state, |_, _| Ok(()))
    }

    /// Initializes the log with `stored` together with the bootstrap state that records it. Both are
    /// durable when this method returns.
    ///
    /// # Errors
    /// Same as [`Store::persist`].
    pub fn initialize_log(&mut self, stored: &StoredLog, bootstrap_state: &[u8]) -> Result<(), StoreError> {
        let batch = WriteBatch {
            hard_state: stored.hard_state,
            snapshot: stored.snapshot.clone(),
            truncate_from: Some(0),
            entries: stored.entries.clone(),
            first_index: 0,
        };
        self.commit(bootstrap_state, |header, transaction| {
            header.cluster_id = stored.cluster_id;
            header.hard_state = stored.hard_state;
            write_log(transaction, &batch)
        })
    }
}

fn load_entries(table: &impl ReadableTable<u64, &'static [u8]>) -> Result<Vec<(u64, Vec<u8>)>, StoreError> {
    let mut entries: Vec<(u64, Vec<u8>)> = Vec::new();
    for found in table.iter().map_err(corrupt)? {
        let (index, record) = found.map_err(corrupt)?;
        let index = index.value();
        if entries.last().is_some_and(|(last, _)| last + 1 != index) {
            return Err(StoreError::Corrupt(format!("log entries before entry {index} are missing")));
        }
        entries.push((index, record::decode(&index.to_be_bytes(), record.value())?));
    }
    Ok(entries)
}

/// Writes the bootstrap state and the header, which describes the state after all other writes of the
/// transaction.
fn write_meta(
    transaction: &WriteTransaction,
    header: &mut Header,
    bootstrap_state: &[u8],
) -> Result<(), StoreError> {
    let entries = transaction.open_table(ENTRIES).map_err(corrupt)?;
    header.entry_count = entries.len().map_err(corrupt)?;
    header.last_index = entries.last().map_err(corrupt)?.map_or(0, |(index, _)| index.value());
    let mut meta = transaction.open_table(META).map_err(corrupt)?;
    let is_first = header.batch_number == 1;
    if !bootstrap_state.is_empty() || is_first {
        insert_meta(&mut meta, BOOTSTRAP_STATE_KEY, bootstrap_state)?;
    }
    header.has_snapshot = meta.get(SNAPSHOT_KEY).map_err(corrupt)?.is_some();
    insert_meta(&mut meta, HEADER_KEY, &header.encode())
}

fn insert_meta(meta: &mut MetaTable<'_>, key: &str, content: &[u8]) -> Result<(), StoreError> {
    let record = record::encode(key.as_bytes(), content);
    meta.insert(key, record.as_slice()).map_err(corrupt)?;
    Ok(())
}

/// Writes the snapshot and the log entries of `batch`.
fn write_log(transaction: &WriteTransaction, batch: &WriteBatch) -> Result<(), StoreError> {
    if let Some(snapshot) = &batch.snapshot {
        let mut meta = transaction.open_table(META).map_err(corrupt)?;
        insert_meta(&mut meta, SNAPSHOT_KEY, snapshot)?;
    }
    let mut entries = transaction.open_table(ENTRIES).map_err(corrupt)?;
    if let Some(from) = batch.truncate_from {
        entries.retain_in(from.., |_, _| false).map_err(corrupt)?;
    }
    for (index, content) in &batch.entries {
        let record = record::encode(&index.to_be_bytes(), content);
        entries.insert(index, record.as_slice()).map_err(corrupt)?;
    }
    entries.retain_in(..batch.first_index, |_, _| false).map_err(corrupt)
}
