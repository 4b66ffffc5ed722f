//! Validates the structure of the settings before any key is parsed. Otherwise, if a section had a wrong
//! type, its keys would be treated as absent.
use serde_json::Value;

use super::error::KeyProblem;
use super::value::{get, list};
use super::SettingsParseError;

const SECTIONS: [&str; 5] = ["Clients", "FamilyInfo", "Limits", "Reporting", "Safety"];
/// The keys of `FamilyInfo` whose lists have one entry for each class.
const LISTS_BY_CLASS: [&str; 4] = ["ClassNeed", "LeastShare", "ClassPartial", "FetchParts"];
const LISTS_OF_OBJECTS: [&str; 2] = ["Classes", "Tenants"];
const LISTS_OF_STRINGS: [&str; 2] = ["Reporting.Names", "Localities"];
/// Class and tenant numbers have 16 bits, and the last tenant number is reserved for tenants that are not
/// listed.
const MAX_ENTRIES: usize = u16::MAX as usize - 1;

/// Validates the types of all sections and the types and lengths of all lists.
pub(super) fn check_structure(settings: &Value) -> Result<(), SettingsParseError> {
    if !settings.is_object() {
        return Err(SettingsParseError::NotAnObject);
    }
    for path in SECTIONS {
        if get(settings, path).is_some_and(|section| !section.is_object()) {
            return Err(SettingsParseError::invalid(path, KeyProblem::NotAnObject));
        }
    }
    check_lists_by_class(settings)?;
    for path in LISTS_OF_OBJECTS {
        check_list_of_objects(settings, path)?;
    }
    for path in LISTS_OF_STRINGS {
        if list(settings, path)?.iter().any(|entry| !entry.is_string()) {
            return Err(SettingsParseError::invalid(path, KeyProblem::EntryNotAString));
        }
    }
    Ok(())
}

fn check_lists_by_class(settings: &Value) -> Result<(), SettingsParseError> {
    let classes = list(settings, "Classes")?.len();
    if classes == 0 {
        return Err(SettingsParseError::invalid("Classes", KeyProblem::MissingOrEmpty));
    }
    for key in LISTS_BY_CLASS {
        let path = format!("FamilyInfo.{key}");
        let entries = list(settings, &path)?.len();
        if entries != 0 && entries != classes {
            return Err(SettingsParseError::invalid(path, KeyProblem::WrongLength { entries, classes }));
        }
    }
    Ok(())
}

fn check_list_of_objects(settings: &Value, path: &str) -> Result<(), SettingsParseError> {
    let entries = list(settings, path)?;
    if let Some(i) = entries.iter().position(|entry| !entry.is_object()) {
        return Err(SettingsParseError::invalid(format!("{path}[{i}]"), KeyProblem::NotAnObject));
    }
    if entries.len() > MAX_ENTRIES {
        return Err(SettingsParseError::invalid(path, KeyProblem::TooManyEntries(entries.len())));
    }
    Ok(())
}
