//! Errors of the persistent store.
use std::fmt;
use std::io;
use std::path::PathBuf;

/// Why a store cannot be opened or written. A voter whose store does not open does not take part in the
/// cluster.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file cannot be opened, read, written or synced.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The contents are corrupt; the message says what is wrong.
    #[error("corrupt: {0}")]
    Corrupt(String),
    /// The last batch in the file is neither the last acknowledged batch nor the one after it.
    #[error("last batch in the file is {file}, but last acknowledged batch is {mark}")]
    RolledBack {
        /// The number of the last batch in the file.
        file: u64,
        /// The number of the last acknowledged batch.
        mark: u64,
    },
    /// One of the two files of the store is missing.
    #[error("{path} is missing; remove both files to start as a new disk", path = .0.display())]
    Missing(PathBuf),
    /// The database is closed after a failed write and could not be opened again.
    #[error("store is closed after a failed write")]
    Closed,
}

/// Converts the errors of `redb`, which have many types. A full disk and a corrupt page both end the use of
/// the file.
pub(super) fn corrupt(error: impl fmt::Display) -> StoreError {
    StoreError::Corrupt(error.to_string())
}
