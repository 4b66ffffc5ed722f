//! The file of a plan: JSON5, only what changes against its base. Read and checked whole; what is wrong is said with its
//! path and place, as for the operator's file.
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;

use num_rational::Ratio;
use serde::Deserialize;

use super::topology::{Server, Tile, Topology, MOST_HOLDERS, MOST_SERVERS, MOST_TILES};
use crate::balancer::interface::{ReplicaId, ZoneId};
use crate::config::operator::{format_path, locate, PathSegment, Position};

/// Longest text that is read: a hundred thousand tiles of three holders are 10 MB.
pub const MOST_BYTES: usize = 64 << 20;
/// The year 9999: a later time is one in other units.
const LAST_MS: u64 = 253_402_300_799_999;
/// A plan further ahead is one for a demand that nobody has seen.
const MOST_AHEAD_MS: u64 = 30 * 86_400_000;
/// Greatest number on either side of a weight's stroke: sums stay exact.
const MOST_WEIGHT: u64 = 1 << 32;

/// What is wrong with a plan, and where: lines and columns count from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanError {
    pub path: String,
    pub place: Option<Position>,
    pub what: String,
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(position) = self.place {
            write!(f, "{position}: ")?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        let words: Vec<&str> = self.what.split_whitespace().collect();
        f.write_str(&words.join(" "))
    }
}

impl std::error::Error for PlanError {}

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
    room: u8,
    #[serde(default = "one")]
    capacity: f64,
}

fn one() -> f64 {
    1.0
}

/// Tiles that go, and what comes in their place.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CutFile {
    from: Vec<u32>,
    to: Vec<TileFile>,
    /// Nothing comes in their place.
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
    /// As "2/3".
    Text(String),
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct MoveFile {
    tile: u32,
    district: Option<u32>,
    holders: Option<Vec<u64>>,
}

/// A plan as its file describes it, not yet held against its base.
#[derive(Clone, Debug)]
pub struct Plan {
    pub name: Rc<str>,
    /// Version that it changes.
    pub base: u64,
    /// Not adopted before this, fleet time in Unix milliseconds.
    pub at_ms: u64,
    text: Rc<str>,
    file: Rc<File>,
}

fn key(keys: &[(&str, Option<usize>)]) -> Vec<PathSegment> {
    let each =
        keys.iter().flat_map(|(k, n)| [Some(PathSegment::Key((*k).into())), n.map(PathSegment::Index)]);
    each.flatten().collect()
}

fn at(text: &str, path: &[PathSegment], what: String) -> PlanError {
    PlanError { path: format_path(path), place: locate(text, path), what }
}

fn weight(told: &WeightFile) -> Result<Ratio<u64>, String> {
    let (numer, denom) = match told {
        WeightFile::Whole(n) => (*n, 1),
        WeightFile::Text(text) => {
            let (a, b) = text.split_once('/').unwrap_or((text, "1"));
            match (a.trim().parse(), b.trim().parse()) {
                (Ok(a), Ok(b)) => (a, b),
                _ => return Err(format!("'{text}' is no weight: a number, or two as \"2/3\"")),
            }
        }
    };
    if (1..=MOST_WEIGHT).contains(&numer) && (1..=MOST_WEIGHT).contains(&denom) {
        Ok(Ratio::new(numer, denom))
    } else {
        Err(format!("numbers of a weight are 1 to {MOST_WEIGHT}"))
    }
}

/// An exact sum; `None` where it has no room in 128 bits.
fn sum(weights: impl Iterator<Item = Ratio<u64>>) -> Option<(u128, u128)> {
    let mut all = (0u128, 1u128);
    for w in weights {
        let (n, d) = (u128::from(*w.numer()), u128::from(*w.denom()));
        let numer = all.0.checked_mul(d)?.checked_add(n.checked_mul(all.1)?)?;
        let sum = Ratio::new(numer, all.1.checked_mul(d)?);
        all = (*sum.numer(), *sum.denom());
    }
    Some(all)
}

/// Read and check a text. Errors need no base: [`Plan::apply`] finds those that do.
pub fn parse(text: &str) -> Result<Plan, PlanError> {
    let bare = |what: String| PlanError { path: String::new(), place: None, what };
    if text.len() > MOST_BYTES {
        return Err(bare(format!("a plan of {} bytes, {MOST_BYTES} at most", text.len())));
    }
    let mut json5 = json5::Deserializer::from_str(text);
    let file: File = serde_path_to_error::deserialize(&mut json5).map_err(|e| {
        let place = e.inner().position().map(Position::from);
        let path = Some(e.path().to_string()).filter(|p| p != ".").unwrap_or_default();
        let what = e.inner().to_string();
        PlanError { path, place, what: what.split(" at line ").next().unwrap_or(&what).to_owned() }
    })?;
    let at = |path: &[(&str, Option<usize>)], what: String| at(text, &key(path), what);
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if file.plan.is_empty() || file.plan.len() > 64 || !file.plan.chars().all(plain) {
        return Err(at(&[("plan", None)], "must be 1 to 64 letters, digits, '-', '_' or '.'".into()));
    }
    if !(1..=LAST_MS).contains(&file.at_ms) {
        return Err(at(&[("at_ms", None)], "is no time in Unix milliseconds".into()));
    }
    if file.servers.len() > MOST_SERVERS || file.cuts.len() + file.moves.len() > MOST_TILES {
        return Err(bare("too many servers, cuts or moves".into()));
    }
    if file.servers.is_empty() && file.cuts.is_empty() && file.moves.is_empty() {
        return Err(bare("changes nothing".into()));
    }
    for (n, s) in file.servers.iter().enumerate() {
        if !(s.capacity > 0.0 && s.capacity.is_finite()) {
            return Err(at(&[("servers", Some(n)), ("capacity", None)], "must be over 0".into()));
        }
    }
    let holders = |list: &[u64], path: &[(&str, Option<usize>)]| {
        let distinct: BTreeSet<_> = list.iter().collect();
        match list.is_empty() || list.len() > MOST_HOLDERS || distinct.len() < list.len() {
            true => Err(at(path, format!("needs 1 to {MOST_HOLDERS} servers, none twice"))),
            false => Ok(()),
        }
    };
    for (n, cut) in file.cuts.iter().enumerate() {
        if cut.from.is_empty() {
            return Err(at(&[("cuts", Some(n)), ("from", None)], "names no tile".into()));
        }
        if cut.to.is_empty() != cut.retire {
            let what = "a hole: tiles go with nothing in their place; with `retire: true` that is meant, and `to` empty";
            return Err(at(&[("cuts", Some(n)), ("to", None)], what.into()));
        }
        for (m, t) in cut.to.iter().enumerate() {
            let here = [("cuts", Some(n)), ("to", Some(m))];
            weight(&t.weight).map_err(|what| at(&[here[0], here[1], ("weight", None)], what))?;
            holders(&t.holders, &[here[0], here[1], ("holders", None)])?;
        }
    }
    for (n, m) in file.moves.iter().enumerate() {
        if m.holders.is_none() && m.district.is_none() {
            return Err(at(&[("moves", Some(n))], "changes nothing: needs `holders` or `district`".into()));
        }
        holders(m.holders.as_deref().unwrap_or(&[0]), &[("moves", Some(n)), ("holders", None)])?;
    }
    let name = Rc::from(&file.plan[..]);
    Ok(Plan { name, base: file.base, at_ms: file.at_ms, text: text.into(), file: Rc::new(file) })
}

impl Plan {
    /// The topology that it makes of `base`. Nothing of the base is lost or held twice: each of its tiles stays, or
    /// goes in one cut whose pieces weigh as much, exactly.
    pub fn apply(&self, base: &Topology, now_ms: u64) -> Result<Topology, PlanError> {
        let at = |path: &[(&str, Option<usize>)], what: String| at(&self.text, &key(path), what);
        if base.version() != self.base {
            return Err(at(&[("base", None)], format!("the base is at version {}", base.version())));
        }
        if self.at_ms <= now_ms || self.at_ms - now_ms > MOST_AHEAD_MS {
            return Err(at(&[("at_ms", None)], "must lie ahead, by 30 days at most".into()));
        }
        let mut servers: BTreeMap<u64, Server> = base.servers().iter().map(|s| (s.id.0, s.clone())).collect();
        for (n, s) in self.file.servers.iter().enumerate() {
            let server = Server { id: ReplicaId(s.id), room: ZoneId(s.room), capacity: s.capacity };
            if servers.insert(s.id, server).is_some() {
                return Err(at(
                    &[("servers", Some(n)), ("id", None)],
                    format!("server {} stands already", s.id),
                ));
            }
        }
        let known = |list: &[u64], path: &[(&str, Option<usize>)]| match list
            .iter()
            .find(|s| !servers.contains_key(s))
        {
            Some(s) => Err(at(path, format!("unknown server {s}"))),
            None => Ok(list.iter().map(|s| ReplicaId(*s)).collect::<Rc<[ReplicaId]>>()),
        };
        // All tiles with a `from` were cut before: they are tiles as any for this plan.
        let whole = |t: &Tile| (t.tile, Tile { from: Rc::default(), ..t.clone() });
        let mut tiles: BTreeMap<u32, Tile> = base.tiles().iter().map(whole).collect();
        let mut touched: BTreeSet<u32> = BTreeSet::new();
        for (n, cut) in self.file.cuts.iter().enumerate() {
            for (m, tile) in cut.from.iter().enumerate() {
                let here = [("cuts", Some(n)), ("from", Some(m))];
                if !touched.insert(*tile) {
                    return Err(at(&here, format!("an overlap: tile {tile} goes twice")));
                }
                if tiles.remove(tile).is_none() {
                    return Err(at(&here, format!("unknown tile {tile}")));
                }
            }
        }
        for (n, cut) in self.file.cuts.iter().enumerate() {
            let from = cut.from.iter().filter_map(|t| base.tile(*t)).map(|t| t.weight);
            let to = cut.to.iter().map(|t| weight(&t.weight)).collect::<Result<Vec<_>, _>>();
            let to = to.map_err(|what| at(&[("cuts", Some(n)), ("to", None)], what))?;
            if !cut.retire {
                let here = [("cuts", Some(n)), ("to", None)];
                let (Some(old), Some(new)) = (sum(from), sum(to.iter().copied())) else {
                    return Err(at(&here, "weights too fine to be summed exactly".into()));
                };
                let (a, b) = (Ratio::new(old.0, old.1), Ratio::new(new.0, new.1));
                let what = if a > b { "a hole" } else { "an overlap" };
                if a != b {
                    return Err(at(
                        &here,
                        format!("{what}: the tiles that go weigh {a}, those that come {b}"),
                    ));
                }
            }
            for (m, (t, weight)) in cut.to.iter().zip(to).enumerate() {
                let here = |key| [("cuts", Some(n)), ("to", Some(m)), (key, None)];
                let holders = known(&t.holders, &here("holders"))?;
                let from = cut.from.clone().into();
                let new = Tile { tile: t.tile, district: t.district, weight, holders, from };
                if touched.contains(&t.tile) || tiles.insert(t.tile, new).is_some() {
                    let what = format!(
                        "an overlap: the number of tile {} is taken; a new piece has a new one",
                        t.tile
                    );
                    return Err(at(&here("tile"), what));
                }
                touched.insert(t.tile);
            }
        }
        for (n, m) in self.file.moves.iter().enumerate() {
            let here = [("moves", Some(n)), ("tile", None)];
            if !touched.insert(m.tile) {
                return Err(at(&here, format!("an overlap: tile {} is cut or moved already", m.tile)));
            }
            let Some(tile) = tiles.get_mut(&m.tile) else {
                return Err(at(&here, format!("unknown tile {}", m.tile)));
            };
            tile.district = m.district.unwrap_or(tile.district);
            if let Some(list) = &m.holders {
                tile.holders = known(list, &[here[0], ("holders", None)])?;
            }
        }
        if tiles.is_empty() {
            return Err(at(&[("cuts", None)], "a hole: no tile is left".into()));
        }
        let all = (servers.into_values().collect(), tiles.into_values().collect());
        Topology::new(self.base.saturating_add(1), all.0, all.1).map_err(|e| at(&[], e.to_string()))
    }
}
