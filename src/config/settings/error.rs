//! Why settings were refused: which key, and what is wrong with it.
use thiserror::Error;

/// Settings that cannot be read. The message is one line and names the key at fault.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum SettingsParseError {
    /// The text is not JSON (RFC 8259).
    #[error("settings are not valid JSON: {0}")]
    InvalidJson(String),
    /// The JSON value is not an object.
    #[error("settings: not an object")]
    NotAnObject,
    /// A key is missing, or holds what it may not.
    #[error("settings: {path} {problem}")]
    InvalidKey {
        /// The keys that lead to the value, joined by dots, with indices in brackets.
        path: String,
        /// What is wrong with the value.
        problem: KeyProblem,
    },
    /// A key of an entry of `Classes` is at fault.
    #[error("{error} (class {index})")]
    InClass {
        /// Index of the entry, from 0.
        index: usize,
        /// What is wrong with it.
        error: Box<SettingsParseError>,
    },
    /// A key of an entry of `Tenants` is at fault.
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

/// What is wrong with the value of a key.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum KeyProblem {
    /// A required key is absent or null.
    #[error("is missing")]
    Missing,
    /// A list that needs an entry has none.
    #[error("is missing or empty")]
    MissingOrEmpty,
    /// Another type than a number.
    #[error("is not a number")]
    NotANumber,
    /// Another type than a string.
    #[error("is not a text")]
    NotAString,
    /// Another type than a boolean.
    #[error("is not true or false")]
    NotABoolean,
    /// Another type than an array.
    #[error("is not a list")]
    NotAList,
    /// Another type than an object.
    #[error("is not an object")]
    NotAnObject,
    /// A list of strings that holds another type.
    #[error("holds something that is not a text")]
    EntryNotAString,
    /// A number below the least one allowed.
    #[error("is under {minimum}")]
    BelowMinimum {
        /// The least number allowed, in the unit of the key.
        minimum: f64,
    },
    /// Zero or a negative number where only positive ones make sense.
    #[error("is not above 0")]
    NotPositive,
    /// A share outside 0 to 1.
    #[error("is not a share from 0 to 1")]
    NotAFraction,
    /// A fractional number, or one outside the range.
    #[error("is not a whole number from {min} to {max}")]
    NotAnInteger {
        /// The least integer allowed.
        min: u32,
        /// The greatest integer allowed.
        max: u32,
    },
    /// A string that is none of the values defined for the key.
    #[error("'{0}' is unknown")]
    UnknownValue(String),
    /// A name that an earlier entry of the list has.
    #[error("'{0}' is there twice")]
    DuplicateName(String),
    /// A list that needs one entry for each class has another number of them.
    #[error("has {entries} entries for {classes} classes")]
    WrongLength {
        /// Entries of the list.
        entries: usize,
        /// Entries of `Classes`.
        classes: usize,
    },
    /// More entries than can be numbered.
    #[error("has {0} entries")]
    TooManyEntries(usize),
}
