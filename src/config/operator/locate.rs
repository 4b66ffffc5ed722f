//! Finds the line and column of a value in a JSON5 text by its path, for error messages.
//!
//! The text is parsed again with a visitor that follows the path and returns an error at the value, to
//! which the JSON5 parser adds the position.
#![warn(missing_docs)]

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// One segment of a path into a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PathSegment {
    /// A key in an object.
    Key(String),
    /// An index into an array, starting at 0.
    Index(usize),
}

/// A position in a text. Lines and columns start at 1. Displayed as `LINE:COLUMN`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

impl From<json5::Position> for Position {
    fn from(zero_based: json5::Position) -> Position {
        Position { line: zero_based.line + 1, column: zero_based.column + 1 }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// Formats a path, for example as `grpc.routes[2].class`.
pub fn format_path(path: &[PathSegment]) -> String {
    let mut out = String::new();
    for segment in path {
        match segment {
            PathSegment::Key(key) if out.is_empty() => out += key,
            PathSegment::Key(key) => out += &format!(".{key}"),
            PathSegment::Index(n) => out += &format!("[{n}]"),
        }
    }
    out
}

/// Returns the position of the value at `path`, or of the innermost existing value around it. Returns
/// `None` if the text cannot be parsed that far.
pub fn locate(text: &str, path: &[PathSegment]) -> Option<Position> {
    (0..=path.len()).rev().find_map(|depth| {
        let mut json5 = json5::Deserializer::from_str(text);
        let stopped = PathFollower { remaining: &path[..depth] }.deserialize(&mut json5).err()?;
        if !stopped.to_string().starts_with(FOUND) {
            return None;
        }
        stopped.position().map(Position::from)
    })
}

/// The text of the error that marks the value.
const FOUND: &str = "marlgap: here";

/// Follows a path into a document.
struct PathFollower<'p> {
    remaining: &'p [PathSegment],
}

impl<'de> DeserializeSeed<'de> for PathFollower<'_> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_any(self)
    }
}

/// Implements the visitor methods for scalar values, which contain no further segments.
macro_rules! visit_scalars {
    ($($name:ident: $type:ty),*) => {
        $(fn $name<E: Error>(self, _: $type) -> Result<(), E> { self.stop_if_found() })*
    };
}

impl PathFollower<'_> {
    /// Returns an error, which ends the search, if no segments of the path are left.
    fn stop_if_found<E: Error>(&self) -> Result<(), E> {
        if self.remaining.is_empty() {
            Err(E::custom(FOUND))
        } else {
            Ok(())
        }
    }

    /// Returns a follower for the value at the first segment.
    fn descend(&self) -> PathFollower<'_> {
        PathFollower { remaining: &self.remaining[1..] }
    }
}

impl<'de> Visitor<'de> for PathFollower<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any value")
    }

    visit_scalars! { visit_bool: bool, visit_i64: i64, visit_u64: u64, visit_f64: f64, visit_str: &str }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        self.stop_if_found()
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        self.stop_if_found()?;
        while let Some(key) = map.next_key::<String>()? {
            match self.remaining.first() {
                Some(PathSegment::Key(wanted)) if *wanted == key => map.next_value_seed(self.descend())?,
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        self.stop_if_found()?;
        let Some(PathSegment::Index(wanted)) = self.remaining.first() else {
            while list.next_element::<IgnoredAny>()?.is_some() {}
            return Ok(());
        };
        for index in 0.. {
            let more = if index == *wanted {
                list.next_element_seed(self.descend())?.is_some()
            } else {
                list.next_element::<IgnoredAny>()?.is_some()
            };
            if !more {
                break;
            }
        }
        Ok(())
    }
}
