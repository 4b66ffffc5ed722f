//! Errors in the settings: which key is invalid, and why.
use thiserror::Error;

/// An error in the settings. The message is one line and names the invalid key.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum SettingsParseError {
    /// The text is not JSON (RFC 8259).
    #[error("settings are not valid JSON: {0}")]
    InvalidJson(String),
    /// The JSON value is not an object.
    #[error("settings: not an object")]
    NotAnObject,
    /// A key is missing or has an invalid value.
    #[error("settings: {path} {problem}")]
    InvalidKey {
        /// The keys that lead to the value, joined by dots, with indices in brackets.
        path: String,
        /// The problem with the value.
        problem: KeyProblem,
    },
    /// A key in an entry of `Classes` is invalid.
    #[error("{error} (class {index})")]
    InClass {
        /// The index of the entry, starting at 0.
        index: usize,
        /// The error in the entry.
        error: Box<SettingsParseError>,
    },
    /// A key in an entry of `Tenants` is invalid.
    #[error("{0} (Tenants)")]
    InTenants(Box<SettingsParseError>),
}

impl SettingsParseError {
    pub(super) fn invalid(path: impl Into<String>, problem: KeyProblem) -> SettingsParseError {
        SettingsParseError::InvalidKey { path: path.into(), problem }
    }

    pub(super) fn in_class(self, index: usize) -> SettingsParseError {
        SettingsParseError::InClass { index, error: Box::new(self) }
    }

    pub(super) fn in_tenants(self) -> SettingsParseError {
        SettingsParseError::InTenants(Box::new(self))
    }
}

/// A problem with the value of a key.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum KeyProblem {
    /// A required key is absent or null.
    #[error("is missing")]
    Missing,
    /// A list that needs at least one entry is missing or empty.
    #[error("is missing or empty")]
    MissingOrEmpty,
    /// The value is not a number.
    #[error("is not a number")]
    NotANumber,
    /// The value is not a string.
    #[error("is not a string")]
    NotAString,
    /// The value is not a boolean.
    #[error("is not a boolean")]
    NotABoolean,
    /// The value is not an array.
    #[error("is not an array")]
    NotAList,
    /// The value is not an object.
    #[error("is not an object")]
    NotAnObject,
    /// A list of strings has an entry of another type.
    #[error("contains an entry that is not a string")]
    EntryNotAString,
    /// The number is less than the minimum.
    #[error("is less than {minimum}")]
    BelowMinimum {
        /// The minimum, in the unit of the key.
        minimum: f64,
    },
    /// The number is zero or negative but must be positive.
    #[error("is not above 0")]
    NotPositive,
    /// The number is not in the range from 0 to 1.
    #[error("is not a number from 0 to 1")]
    NotAFraction,
    /// The number is not an integer or is out of range.
    #[error("is not an integer from {min} to {max}")]
    NotAnInteger {
        /// The minimum.
        min: u32,
        /// The maximum.
        max: u32,
    },
    /// The string is not one of the values defined for the key.
    #[error("has the unknown value '{0}'")]
    UnknownValue(String),
    /// The name is already used by an earlier entry of the list.
    #[error("has the duplicate value '{0}'")]
    DuplicateName(String),
    /// A list that needs one entry for each class has a different number of entries.
    #[error("has {entries} entries for {classes} classes")]
    WrongLength {
        /// The number of entries in the list.
        entries: usize,
        /// The number of entries in `Classes`.
        classes: usize,
    },
    /// The list has more entries than there are numbers for them.
    #[error("has too many entries: {0}")]
    TooManyEntries(usize),
}
