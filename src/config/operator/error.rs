//! Errors of the operator's file.
#![warn(missing_docs)]

use std::fmt;
use std::path::PathBuf;

use super::Position;

/// An error in the operator's file and its position. Displayed as one line, `FILE:LINE:COLUMN: PATH:
/// MESSAGE`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorConfigError {
    /// The file, as given on the command line.
    pub file: PathBuf,
    /// The path of the value from the top of the file, such as `grpc.routes[2].class`; empty if the error
    /// concerns the file as a whole.
    pub path: String,
    /// The position of the value, if the file could be parsed that far.
    pub position: Option<Position>,
    /// A description of the error.
    pub message: String,
}

impl fmt::Display for OperatorConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if let Some(position) = self.position {
            write!(f, ":{position}")?;
        }
        if !self.path.is_empty() {
            write!(f, ": {}", self.path)?;
        }
        // Keeps the error on one line even if the message of a library contains line breaks.
        let words: Vec<&str> = self.message.split_whitespace().collect();
        write!(f, ": {}", words.join(" "))
    }
}

impl std::error::Error for OperatorConfigError {}
