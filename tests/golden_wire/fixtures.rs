//! Reads the committed fixtures, one line a record: its name and its bytes in hexadecimal digits.
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// Where the fixture of this name lies.
fn path(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden_wire/data").join(file)
}

/// Whether the fixtures are to be written instead of only read.
fn is_writing() -> bool {
    std::env::var_os("WRITE_GOLDEN").is_some()
}

/// The text of a fixture. Fails where there is none; `now` is what this build would write.
pub fn text(file: &str, now: &str) -> String {
    let path = path(file);
    if is_writing() {
        std::fs::write(&path, now).expect("a fixture written");
    }
    std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("no fixture {}: {e}", path.display()))
}

/// The records of a fixture. They must be those that this build writes, by name; their bytes are for the caller to
/// compare.
pub fn records(file: &str, now: &[(&str, Vec<u8>)]) -> BTreeMap<String, Vec<u8>> {
    let mut lines = String::new();
    for (name, bytes) in now {
        writeln!(lines, "{name} {}", to_hex(bytes)).expect("a line");
    }
    let stored = text(file, &lines);
    let mut records = BTreeMap::new();
    for line in stored.lines() {
        let (name, digits) = line.split_once(' ').unwrap_or_else(|| panic!("{file}: no record: {line}"));
        let before = records.insert(name.to_owned(), from_hex(digits));
        assert_eq!(before, None, "{file}: {name} stands twice");
    }
    let mut expected: Vec<&str> = now.iter().map(|(name, _)| *name).collect();
    expected.sort_unstable();
    let names: Vec<&str> = records.keys().map(String::as_str).collect();
    assert_eq!(names, expected, "{file}: other records than this build writes");
    records
}

/// Compares bytes; a failure shows both in hexadecimal digits.
pub fn assert_same_bytes(name: &str, now: &[u8], stored: &[u8]) {
    assert_eq!(to_hex(now), to_hex(stored), "{name}: written now (left) and stored (right)");
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(digits: &str) -> Vec<u8> {
    assert!(digits.len().is_multiple_of(2), "half a byte in {digits}");
    let starts = (0..digits.len()).step_by(2);
    starts.map(|at| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits")).collect()
}
