//! Finds the line and column of a value in a JSON5 text by its path: reads the text once more and stops there.
use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// A step into a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PathSegment {
    Key(String),
    Index(usize),
}

/// The path as a reader writes it.
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

/// Line and column, from 1, of the value at `path`; of the innermost one that is there, if it is missing. `None`
/// where the text cannot be read that far.
pub fn locate(text: &str, path: &[PathSegment]) -> Option<(usize, usize)> {
    (0..=path.len()).rev().find_map(|n| {
        let mut json5 = json5::Deserializer::from_str(text);
        let stopped = Walk(&path[..n]).deserialize(&mut json5).err()?;
        let place = stopped.to_string().starts_with(FOUND).then(|| stopped.position())?;
        place.map(|p| (p.line + 1, p.column + 1))
    })
}

const FOUND: &str = "marlgap: here";

struct Walk<'p>(&'p [PathSegment]);

impl<'de> DeserializeSeed<'de> for Walk<'_> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_any(self)
    }
}

/// Any value that is reached with no step left ends the walk with an error, to which the reader adds its place.
macro_rules! reached {
    ($($name:ident: $type:ty),*) => {
        $(fn $name<E: Error>(self, _: $type) -> Result<(), E> { self.here() })*
    };
}

impl Walk<'_> {
    fn here<E: Error>(&self) -> Result<(), E> {
        if self.0.is_empty() {
            Err(E::custom(FOUND))
        } else {
            Ok(())
        }
    }
}

impl<'de> Visitor<'de> for Walk<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any value")
    }

    reached! { visit_bool: bool, visit_i64: i64, visit_u64: u64, visit_f64: f64, visit_str: &str }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        self.here()
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        self.here()?;
        while let Some(key) = map.next_key::<String>()? {
            match self.0.first() {
                Some(PathSegment::Key(wanted)) if *wanted == key => {
                    map.next_value_seed(Walk(&self.0[1..]))?
                }
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        self.here()?;
        let Some(PathSegment::Index(wanted)) = self.0.first() else {
            while list.next_element::<IgnoredAny>()?.is_some() {}
            return Ok(());
        };
        for n in 0.. {
            let more = match n == *wanted {
                true => list.next_element_seed(Walk(&self.0[1..]))?.is_some(),
                false => list.next_element::<IgnoredAny>()?.is_some(),
            };
            if !more {
                break;
            }
        }
        Ok(())
    }
}
