//! The file of a plan, which is a JSON5 document with the changes to a base topology. It is parsed and
//! validated completely. Errors give the path and the position of the invalid value in the text, as for the
//! operator's file.
//!
//! A [`PlanFile`] holds the text and its parsed content. [`PlanFile::apply`] applies it to a base, and
//! returns the resulting topology.
use std::collections::BTreeSet;
use std::rc::Rc;

use num_rational::Ratio;
use serde::Deserialize;

use super::topology::{MAX_HOLDERS, MAX_SERVERS, MAX_TILES};
use crate::config::operator::{format_path, locate, PathSegment, Position};

mod apply;

/// The longest text that is parsed, in bytes. For comparison, a plan with a hundred thousand tiles of three
/// holders each has 10 MB.
pub const MAX_BYTES: usize = 64 << 20;
/// The longest name of a plan, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// The end of the year 9999, in Unix milliseconds. A greater number is assumed to be a time in another unit.
const MAX_TIME_MS: u64 = 253_402_300_799_999;
/// The largest numerator and denominator of a weight, so that sums can be computed exactly.
const MAX_WEIGHT_NUMBER: u64 = 1 << 32;

/// Why a plan file is invalid, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.line())]
pub struct PlanFileError {
    /// The path of the invalid value, such as `cuts[0].to`; empty if the error concerns the whole text.
    pub path: String,
    /// The line and column of the invalid value, counted from 1, if they are known.
    pub place: Option<Position>,
    /// The reason.
    pub what: String,
}

impl PlanFileError {
    fn of_text(reason: impl Into<String>) -> PlanFileError {
        PlanFileError { path: String::new(), place: None, what: reason.into() }
    }

    /// Formats the error as one line.
    fn line(&self) -> String {
        let place = self.place.map(|position| format!("{position}: ")).unwrap_or_default();
        let path = if self.path.is_empty() { String::new() } else { format!("{}: ", self.path) };
        let words: Vec<&str> = self.what.split_whitespace().collect();
        format!("{place}{path}{}", words.join(" "))
    }
}

// The names of these types appear in the deserializer's error messages.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    plan: String,
    base: u64,
    at_ms: u64,
    #[serde(default)]
    servers: Vec<ServerFile>,
    #[serde(default)]
    cuts: Vec<CutFile>,
    #[serde(default)]
    moves: Vec<MoveFile>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServerFile {
    id: u64,
    #[serde(rename = "room")]
    zone: u8,
    #[serde(default = "default_capacity")]
    capacity: f64,
}

fn default_capacity() -> f64 {
    1.0
}

/// Tiles that are removed, and the tiles that replace them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CutFile {
    from: Vec<u32>,
    to: Vec<TileFile>,
    /// Whether the tiles are removed without replacement. `to` is then empty.
    #[serde(default)]
    retire: bool,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct TileFile {
    tile: u32,
    district: u32,
    weight: WeightFile,
    holders: Vec<u64>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
enum WeightFile {
    Whole(u64),
    /// A fraction, such as "2/3".
    Text(String),
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MoveFile {
    tile: u32,
    district: Option<u32>,
    holders: Option<Vec<u64>>,
}

/// A plan as its file describes it, not yet checked against its base.
#[derive(Clone, Debug)]
pub struct PlanFile {
    /// The plan's name: 1 to 64 letters, digits, `-`, `_` or `.`.
    pub name: Rc<str>,
    /// The version of the topology that the plan changes.
    pub base: u64,
    /// The earliest time of the adoption, as cluster time in Unix milliseconds.
    pub at_ms: u64,
    text: Rc<str>,
    file: Rc<File>,
}

/// The path of a value in the file: keys, each with an index if the key's value is a list.
type Path<'a> = [(&'a str, Option<usize>)];

fn error_at(text: &str, path: &Path<'_>, reason: impl Into<String>) -> PlanFileError {
    let segments =
        path.iter().flat_map(|(key, n)| [Some(PathSegment::Key((*key).into())), n.map(PathSegment::Index)]);
    let segments: Vec<PathSegment> = segments.flatten().collect();
    PlanFileError { path: format_path(&segments), place: locate(text, &segments), what: reason.into() }
}

fn parse_weight(weight: &WeightFile) -> Result<Ratio<u64>, String> {
    let (numer, denom) = match weight {
        WeightFile::Whole(n) => (*n, 1),
        WeightFile::Text(text) => {
            let (numer, denom) = text.split_once('/').unwrap_or((text, "1"));
            match (numer.trim().parse(), denom.trim().parse()) {
                (Ok(numer), Ok(denom)) => (numer, denom),
                _ => return Err(format!("'{text}' is no weight: must be a number or a fraction as \"2/3\"")),
            }
        }
    };
    let range = 1..=MAX_WEIGHT_NUMBER;
    if !range.contains(&numer) || !range.contains(&denom) {
        return Err(format!("numbers of a weight must be 1 to {MAX_WEIGHT_NUMBER}"));
    }
    Ok(Ratio::new(numer, denom))
}

/// Parses and validates the text of a plan file. Conditions that depend on the base are checked later, by
/// [`PlanFile::apply`].
///
/// # Errors
/// Returns the first error in the text, and its position.
pub fn parse_plan(text: &str) -> Result<PlanFile, PlanFileError> {
    if text.len() > MAX_BYTES {
        let reason = format!("plan of {} bytes, at most {MAX_BYTES} are allowed", text.len());
        return Err(PlanFileError::of_text(reason));
    }
    let file = deserialize(text)?;
    check_header(text, &file)?;
    for (n, server) in file.servers.iter().enumerate() {
        if !(server.capacity > 0.0 && server.capacity.is_finite()) {
            return Err(error_at(text, &[("servers", Some(n)), ("capacity", None)], "must be over 0"));
        }
    }
    for (n, cut) in file.cuts.iter().enumerate() {
        check_cut(text, n, cut)?;
    }
    for (n, moved) in file.moves.iter().enumerate() {
        if moved.holders.is_none() && moved.district.is_none() {
            let reason = "changes nothing: needs `holders` or `district`";
            return Err(error_at(text, &[("moves", Some(n))], reason));
        }
        if let Some(holders) = &moved.holders {
            check_holders(text, &[("moves", Some(n)), ("holders", None)], holders)?;
        }
    }
    let name = Rc::from(&file.plan[..]);
    Ok(PlanFile { name, base: file.base, at_ms: file.at_ms, text: text.into(), file: Rc::new(file) })
}

fn deserialize(text: &str) -> Result<File, PlanFileError> {
    let mut json5 = json5::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut json5).map_err(|error| {
        let place = error.inner().position().map(Position::from);
        let path = Some(error.path().to_string()).filter(|path| path != ".").unwrap_or_default();
        let reason = error.inner().to_string();
        // The position is removed from the message, because it is reported separately.
        let reason = reason.split(" at line ").next().unwrap_or(&reason).to_owned();
        PlanFileError { path, place, what: reason }
    })
}

fn check_header(text: &str, file: &File) -> Result<(), PlanFileError> {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if file.plan.is_empty() || file.plan.len() > MAX_NAME_BYTES || !file.plan.chars().all(is_plain) {
        let reason = "must be 1 to 64 letters, digits, '-', '_' or '.'";
        return Err(error_at(text, &[("plan", None)], reason));
    }
    if !(1..=MAX_TIME_MS).contains(&file.at_ms) {
        return Err(error_at(text, &[("at_ms", None)], "must be a time in Unix milliseconds"));
    }
    if file.servers.len() > MAX_SERVERS || file.cuts.len() + file.moves.len() > MAX_TILES {
        return Err(PlanFileError::of_text("too many servers, cuts or moves"));
    }
    if file.servers.is_empty() && file.cuts.is_empty() && file.moves.is_empty() {
        return Err(PlanFileError::of_text("changes nothing"));
    }
    Ok(())
}

fn check_cut(text: &str, n: usize, cut: &CutFile) -> Result<(), PlanFileError> {
    if cut.from.is_empty() {
        return Err(error_at(text, &[("cuts", Some(n)), ("from", None)], "names no tile"));
    }
    if cut.to.is_empty() != cut.retire {
        let reason =
            "a hole: `to` must be empty exactly if `retire: true` says that nothing replaces the tiles";
        return Err(error_at(text, &[("cuts", Some(n)), ("to", None)], reason));
    }
    for (m, tile) in cut.to.iter().enumerate() {
        let path = |key| [("cuts", Some(n)), ("to", Some(m)), (key, None)];
        parse_weight(&tile.weight).map_err(|reason| error_at(text, &path("weight"), reason))?;
        check_holders(text, &path("holders"), &tile.holders)?;
    }
    Ok(())
}

fn check_holders(text: &str, path: &Path<'_>, holders: &[u64]) -> Result<(), PlanFileError> {
    let distinct: BTreeSet<_> = holders.iter().collect();
    if holders.is_empty() || holders.len() > MAX_HOLDERS || distinct.len() < holders.len() {
        return Err(error_at(text, path, format!("needs 1 to {MAX_HOLDERS} distinct servers")));
    }
    Ok(())
}
