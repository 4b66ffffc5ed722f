//! What a voter keeps on disk: its disk's number, how far founding is, votes, entries and the snapshot.
//!
//! One file by `redb`, each batch one durable transaction; and beside it, in `FILE.mark`, the number of the last batch
//! that was acknowledged. `redb` keeps two commits and goes back to the earlier one when the later does not check: after
//! a process that ended within a write that is right, after a spoilt byte it would be an older vote.
//!
//! A write that fails, as on a full disk, closes the file; the next one opens it again and goes by what it holds.
//!
//! Invariant: [`Store::persist`] returns only when both are durable, so that a file that opens holds every batch that
//! was acknowledged, or it does not open. Each record carries a check over its key and bytes, the head says how many
//! entries there are, and the mark says how far the file has to be.
use std::fmt;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use redb::{Database, ReadableDatabase, ReadableTable, ReadableTableMetadata, TableDefinition};

use crate::cluster::consensus_log::{HardState, StoredLog, WriteBatch};

const META: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
const ENTRIES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("entries");
/// Pages that are kept in memory: the log is read once, at the start.
const CACHE: usize = 4 << 20;
/// Two slots, written by turns, each on a block of its own: a write that is torn spoils one of them.
const SLOT: u64 = 4096;
const SLOT_BYTES: usize = 24;

/// Why a store is not used. The voter stays out.
#[derive(Debug)]
pub enum StoreError {
    Io(io::Error),
    /// The file can't be read as it was written.
    Corrupt(String),
    /// The file is older than what was acknowledged.
    RolledBack {
        file: u64,
        mark: u64,
    },
    /// One of the two files is missing.
    Missing(PathBuf),
    /// An earlier write failed, and the file is not open again yet.
    Closed,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Io(e) => write!(f, "{e}"),
            StoreError::Corrupt(why) => write!(f, "spoilt: {why}"),
            StoreError::RolledBack { file, mark } => {
                write!(f, "batch {file} is the file's last, and batch {mark} was acknowledged")
            }
            StoreError::Missing(path) => {
                write!(f, "{} is missing; remove both files to start as a new disk", path.display())
            }
            StoreError::Closed => f.write_str("closed behind a write that failed"),
        }
    }
}

impl std::error::Error for StoreError {}

impl From<io::Error> for StoreError {
    fn from(e: io::Error) -> StoreError {
        StoreError::Io(e)
    }
}

/// Errors of `redb`, of many types: a full disk and a spoilt page alike end the use of the file.
fn spoilt(e: impl fmt::Display) -> StoreError {
    StoreError::Corrupt(e.to_string())
}

/// What the file held.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreContents {
    /// Drawn when the file was made: another file is another voter.
    pub disk_id: u64,
    /// How far founding is, as whoever founds wrote it; empty at first.
    pub bootstrap_state: Vec<u8>,
    pub stored: StoredLog,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Head {
    serial: u64,
    disk: u64,
    cluster: u64,
    hard: HardState,
    /// How many entries there are, and the last one's index.
    entries: u64,
    last: u64,
    snapshot: bool,
}

#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    /// None behind a write that failed: what became of it is read from the file before the next one.
    db: Option<Database>,
    mark: File,
    head: Head,
}

fn check(key: &[u8], bytes: &[u8]) -> [u8; 8] {
    use std::hash::Hasher;
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(key);
    hasher.write_u64(bytes.len() as u64);
    hasher.write(bytes);
    hasher.finish().to_be_bytes()
}

fn seal(key: &[u8], bytes: &[u8]) -> Vec<u8> {
    [bytes, &check(key, bytes)].concat()
}

fn unseal(key: &[u8], sealed: &[u8]) -> Result<Vec<u8>, StoreError> {
    let Some((bytes, sum)) = sealed.split_last_chunk::<8>() else {
        return Err(StoreError::Corrupt("a record too short".into()));
    };
    if check(key, bytes) != *sum {
        return Err(StoreError::Corrupt(format!("record {}", key.escape_ascii())));
    }
    Ok(bytes.to_vec())
}

impl Head {
    fn encode(&self) -> Vec<u8> {
        let Head { serial, disk, cluster, hard, entries, last, snapshot } = *self;
        let all =
            [serial, disk, cluster, hard.term, hard.vote, hard.commit, entries, last, u64::from(snapshot)];
        all.iter().flat_map(|n| n.to_be_bytes()).collect()
    }

    fn decode(bytes: &[u8]) -> Result<Head, StoreError> {
        let (numbers, rest) = bytes.as_chunks::<8>();
        let numbers: Vec<u64> = numbers.iter().map(|n| u64::from_be_bytes(*n)).collect();
        let ([serial, disk, cluster, term, vote, commit, entries, last, snapshot], []) = (&numbers[..], rest)
        else {
            return Err(StoreError::Corrupt("the head's length".into()));
        };
        Ok(Head {
            serial: *serial,
            disk: *disk,
            cluster: *cluster,
            hard: HardState { term: *term, vote: *vote, commit: *commit },
            entries: *entries,
            last: *last,
            snapshot: *snapshot != 0,
        })
    }
}

fn mark_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".mark");
    name.into()
}

/// The higher of the two slots that check.
fn read_mark(mark: &File) -> Result<Option<u64>, StoreError> {
    let mut highest = None;
    for slot in 0..2 {
        let mut bytes = [0; SLOT_BYTES];
        match mark.read_exact_at(&mut bytes, slot * SLOT) {
            Ok(()) => {}
            Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => continue,
            Err(e) => return Err(e.into()),
        }
        if let Ok(serial) = unseal(b"mark", &bytes) {
            let serial = serial.first_chunk::<8>().map_or(0, |n| u64::from_be_bytes(*n));
            highest = highest.max(Some(serial));
        }
    }
    Ok(highest)
}

fn write_mark(mark: &File, serial: u64) -> Result<(), StoreError> {
    let mut bytes = serial.to_be_bytes().to_vec();
    bytes.extend_from_slice(b"marlgap1");
    mark.write_all_at(&seal(b"mark", &bytes), serial % 2 * SLOT)?;
    mark.sync_data()?;
    Ok(())
}

impl Store {
    /// Opens the file, or makes it with `disk` as its number where there is none.
    pub fn open(path: &Path, disk: u64) -> Result<(Store, StoreContents), StoreError> {
        let aside = mark_path(path);
        let there = (path.exists(), aside.exists());
        if there == (true, false) {
            return Err(StoreError::Missing(aside));
        }
        let mark = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&aside)?;
        let acknowledged = match read_mark(&mark)? {
            Some(serial) => serial,
            None if there.0 => return Err(StoreError::Corrupt(format!("{}", aside.display()))),
            None => {
                write_mark(&mark, 0)?;
                0
            }
        };
        if acknowledged > 0 && !there.0 {
            return Err(StoreError::Missing(path.into()));
        }
        if acknowledged == 0 && there.0 {
            // Ended while it was made: nothing in it was ever acknowledged.
            std::fs::remove_file(path)?;
        }
        let mut store = Store { path: path.into(), db: None, mark, head: Head::default() };
        store.db = Some(store.database()?);
        if acknowledged == 0 {
            if let Some(parent) = path.canonicalize()?.parent() {
                File::open(parent)?.sync_all()?;
            }
            store.head.disk = disk;
            store.write(|_, _| Ok(()), &[])?;
            return Ok((store, StoreContents { disk_id: disk, ..StoreContents::default() }));
        }
        let opened = store.load()?;
        let file = store.head.serial;
        if file < acknowledged || file > acknowledged + 1 {
            return Err(StoreError::RolledBack { file, mark: acknowledged });
        }
        if file > acknowledged {
            // It ended between the two writes: what was not acknowledged may be kept or not.
            write_mark(&store.mark, file)?;
        }
        Ok((store, opened))
    }

    fn database(&self) -> Result<Database, StoreError> {
        let mut builder = Database::builder();
        builder.set_cache_size(CACHE).set_check_integrity_on_open(true);
        builder.create(&self.path).map_err(spoilt)
    }

    /// Open the file again behind a write that failed: that one may have become durable, with its mark or without.
    /// Invariant: the file is the last acknowledged batch's, or the next one's.
    fn reopen(&mut self) -> Result<(), StoreError> {
        let acknowledged = self.head;
        self.db = Some(self.database()?);
        let loaded = match acknowledged.serial {
            // Nothing was ever acknowledged: the file may hold nothing yet.
            0 => self.load().map(drop).or(Ok(())),
            _ => self.load().map(drop),
        };
        let (file, mark) = (self.head.serial, acknowledged.serial);
        let sound = loaded.and_then(|()| match file == mark || file == mark + 1 {
            true => write_mark(&self.mark, file),
            false => Err(StoreError::RolledBack { file, mark }),
        });
        if sound.is_err() {
            (self.db, self.head) = (None, acknowledged);
        }
        sound
    }

    fn load(&mut self) -> Result<StoreContents, StoreError> {
        let read = self.db.as_ref().ok_or(StoreError::Closed)?.begin_read().map_err(spoilt)?;
        let meta = read.open_table(META).map_err(spoilt)?;
        let get = |key: &str| -> Result<Option<Vec<u8>>, StoreError> {
            let sealed = meta.get(key).map_err(spoilt)?;
            sealed.map(|s| unseal(key.as_bytes(), s.value())).transpose()
        };
        let head = get("head")?.ok_or_else(|| StoreError::Corrupt("no head".into()))?;
        self.head = Head::decode(&head)?;
        let snapshot = get("snapshot")?;
        let table = read.open_table(ENTRIES).map_err(spoilt)?;
        let mut entries: Vec<(u64, Vec<u8>)> = Vec::new();
        for record in table.iter().map_err(spoilt)? {
            let (index, sealed) = record.map_err(spoilt)?;
            let index = index.value();
            if entries.last().is_some_and(|(last, _)| last + 1 != index) {
                return Err(StoreError::Corrupt(format!("a gap before entry {index}")));
            }
            entries.push((index, unseal(&index.to_be_bytes(), sealed.value())?));
        }
        let last = entries.last().map_or(0, |(index, _)| *index);
        let count = (entries.len() as u64, last, snapshot.is_some());
        if count != (self.head.entries, self.head.last, self.head.snapshot) {
            return Err(StoreError::Corrupt("records are missing".into()));
        }
        let Head { disk, cluster, hard, .. } = self.head;
        let stage = get("stage")?.ok_or_else(|| StoreError::Corrupt("no stage".into()))?;
        Ok(StoreContents {
            disk_id: disk,
            bootstrap_state: stage,
            stored: StoredLog { cluster_id: cluster, hard_state: hard, snapshot, entries },
        })
    }

    /// One transaction with the head, then the mark. `stage` empty: as it is.
    fn write(
        &mut self,
        change: impl FnOnce(&mut Head, &redb::WriteTransaction) -> Result<(), StoreError>,
        stage: &[u8],
    ) -> Result<(), StoreError> {
        if self.db.is_none() {
            self.reopen()?;
        }
        // Put back once all is durable.
        let db = self.db.take().ok_or(StoreError::Closed)?;
        let txn = db.begin_write().map_err(spoilt)?;
        let mut head = self.head;
        head.serial += 1;
        change(&mut head, &txn)?;
        {
            let entries = txn.open_table(ENTRIES).map_err(spoilt)?;
            head.entries = entries.len().map_err(spoilt)?;
            head.last = entries.last().map_err(spoilt)?.map_or(0, |(index, _)| index.value());
            let mut meta = txn.open_table(META).map_err(spoilt)?;
            if !stage.is_empty() || head.serial == 1 {
                meta.insert("stage", seal(b"stage", stage).as_slice()).map_err(spoilt)?;
            }
            head.snapshot = meta.get("snapshot").map_err(spoilt)?.is_some();
            meta.insert("head", seal(b"head", &head.encode()).as_slice()).map_err(spoilt)?;
        }
        txn.commit().map_err(spoilt)?;
        write_mark(&self.mark, head.serial)?;
        self.head = head;
        self.db = Some(db);
        Ok(())
    }

    /// All of the batch is durable when this returns. After an error it may be or not, and is owed: the same batch is to
    /// be handed in again, until it is acknowledged. Written twice it is as written once.
    pub fn persist(&mut self, batch: &WriteBatch) -> Result<(), StoreError> {
        let change = |head: &mut Head, txn: &redb::WriteTransaction| {
            head.hard = batch.hard_state;
            put(txn, batch.snapshot.as_deref(), batch.truncate_from, &batch.entries, batch.first_index)
        };
        self.write(change, &[])
    }

    /// How far founding is.
    pub fn write_bootstrap_state(&mut self, stage: &[u8]) -> Result<(), StoreError> {
        self.write(|_, _| Ok(()), stage)
    }

    /// The log begins, in one step with the stage that says so.
    pub fn initialize_log(&mut self, stored: &StoredLog, stage: &[u8]) -> Result<(), StoreError> {
        let change = |head: &mut Head, txn: &redb::WriteTransaction| {
            (head.cluster, head.hard) = (stored.cluster_id, stored.hard_state);
            put(txn, stored.snapshot.as_deref(), Some(0), &stored.entries, 0)
        };
        self.write(change, stage)
    }
}

fn put(
    txn: &redb::WriteTransaction,
    snapshot: Option<&[u8]>,
    replace: Option<u64>,
    entries: &[(u64, Vec<u8>)],
    first: u64,
) -> Result<(), StoreError> {
    if let Some(snapshot) = snapshot {
        let mut meta = txn.open_table(META).map_err(spoilt)?;
        meta.insert("snapshot", seal(b"snapshot", snapshot).as_slice()).map_err(spoilt)?;
    }
    let mut table = txn.open_table(ENTRIES).map_err(spoilt)?;
    if let Some(from) = replace {
        table.retain_in(from.., |_, _| false).map_err(spoilt)?;
    }
    for (index, bytes) in entries {
        table.insert(index, seal(&index.to_be_bytes(), bytes).as_slice()).map_err(spoilt)?;
    }
    table.retain_in(..first, |_, _| false).map_err(spoilt)
}
