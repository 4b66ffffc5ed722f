//! Why a store is not used.
use std::fmt;
use std::io;
use std::path::PathBuf;

/// Why a store can't be opened or written. A voter whose store does not open takes no part.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file can't be opened, read, written or synced.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The file can't be read as it was written; what is wrong.
    #[error("corrupt: {0}")]
    Corrupt(String),
    /// The file is older than what was acknowledged, or newer than one batch after it.
    #[error("batch {file} is the file's last, and batch {mark} was acknowledged")]
    RolledBack {
        /// Number of the last batch in the file.
        file: u64,
        /// Number of the last batch that was acknowledged.
        mark: u64,
    },
    /// One of the two files is missing.
    #[error("{path} is missing; remove both files to start as a new disk", path = .0.display())]
    Missing(PathBuf),
    /// An earlier write failed, and the file is not open again yet.
    #[error("closed behind a write that failed")]
    Closed,
}

/// For the errors of `redb`, which are of many types: a full disk and a corrupt page alike end the use of the
/// file.
pub(super) fn corrupt(error: impl fmt::Display) -> StoreError {
    StoreError::Corrupt(error.to_string())
}
