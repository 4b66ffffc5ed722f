//! What is wrong with the operator's file.
#![warn(missing_docs)]

use std::fmt;
use std::path::PathBuf;

use super::Position;

/// What is wrong with the operator's file, and where. Shown as one line, `FILE:LINE:COLUMN: PATH: MESSAGE`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorConfigError {
    /// The file, as the command line names it.
    pub file: PathBuf,
    /// Keys and indices from the top, as `grpc.routes[2].class`; empty for the file as a whole.
    pub path: String,
    /// Where the value is, if the file could be parsed that far.
    pub position: Option<Position>,
    /// What is wrong with the value.
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
        // One line, whatever line breaks a library's message has.
        let words: Vec<&str> = self.message.split_whitespace().collect();
        write!(f, ": {}", words.join(" "))
    }
}

impl std::error::Error for OperatorConfigError {}
