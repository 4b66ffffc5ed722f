//! Discovery as a stand-in: the list of data nodes with its versions, whole and as changes, in the form of the protocol.
use std::collections::HashMap;
use std::fmt::Write as _;
use std::rc::Rc;

use super::links::Place;

/// What a data node is said to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Up,
    Draining,
    Removed,
}

impl Health {
    pub fn name(self) -> &'static str {
        match self {
            Health::Up => "up",
            Health::Draining => "draining",
            Health::Removed => "removed",
        }
    }
}

struct Listed {
    health: Health,
    born_ms: u64,
    /// The version in which it changed last.
    changed: u64,
}

/// The list; entries keep their numbers.
pub struct Catalogue {
    pub seq: u64,
    entries: Vec<Listed>,
    /// Changes before this version are forgotten: whoever asks for them gets the whole list.
    oldest: u64,
    /// Answers of the current version, by the version that was asked for.
    made: HashMap<Option<u64>, Rc<[u8]>>,
}

impl Catalogue {
    pub fn new(entries: usize) -> Catalogue {
        let listed = |_| Listed { health: Health::Up, born_ms: 0, changed: 1 };
        Catalogue { seq: 1, entries: (0..entries).map(listed).collect(), oldest: 1, made: HashMap::new() }
    }

    /// One new version in which all of these changed.
    pub fn change(&mut self, hosts: impl IntoIterator<Item = usize>, health: Health, unix_ms: u64) {
        self.seq += 1;
        self.made.clear();
        for host in hosts {
            let entry = &mut self.entries[host];
            entry.born_ms = if health == Health::Up { unix_ms } else { entry.born_ms };
            (entry.health, entry.changed) = (health, self.seq);
        }
    }

    /// Forget all changes up to now, as a discovery that was started anew does.
    pub fn forget(&mut self) {
        self.oldest = self.seq;
    }

    /// Whether there is something newer than that version.
    pub fn newer(&self, than: Option<u64>) -> bool {
        than.is_none_or(|seq| seq < self.seq)
    }

    /// The answer to a call, as it goes over the wire.
    pub fn answer(&mut self, index: Option<u64>) -> Rc<[u8]> {
        if let Some(made) = self.made.get(&index) {
            return made.clone();
        }
        let since = index.filter(|seq| *seq >= self.oldest);
        let body = self.body(since);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let answer: Rc<[u8]> = answer.into_bytes().into();
        self.made.insert(index, answer.clone());
        answer
    }

    fn body(&self, since: Option<u64>) -> String {
        let told = |e: &Listed| match since {
            Some(seq) => e.changed > seq,
            None => e.health != Health::Removed,
        };
        let mut body = format!("{{\"seq\":{},\"whole\":{},\"hosts\":[", self.seq, since.is_none());
        let mut first = true;
        for (number, entry) in self.entries.iter().enumerate().filter(|(_, e)| told(e)) {
            body.push_str(if first { "\n" } else { ",\n" });
            first = false;
            self.write(&mut body, number, entry);
        }
        body.push_str("]}");
        body
    }

    fn write(&self, body: &mut String, number: usize, entry: &Listed) {
        let place = Place::of(number);
        // A write to a string does not fail.
        let _ = write!(
            body,
            "{{\"host\":\"{}\",\"dial\":\"10.{}.{}.{}:8081\",\"site\":\"r{}z{}\",\"class\":\"m2\",\"block\":{},\
             \"health\":\"{}\",\"share\":1.0,\"born_ms\":{}}}",
            host(number),
            16 + place.zone,
            number >> 8 & 255,
            number & 255,
            place.region,
            place.zone,
            number % 32,
            entry.health.name(),
            entry.born_ms
        );
    }

    /// A sum over what is listed: what a coordinator that has it all holds.
    pub fn held(&self) -> Vec<u8> {
        self.entries.iter().map(|e| e.health as u8).collect()
    }
}

/// The name of a data node, which is the same at every coordinator.
pub fn host(number: usize) -> String {
    format!("s-{number:08x}")
}

/// The number of a data node by its name.
pub fn number(host: &str) -> Option<usize> {
    host.strip_prefix("s-").and_then(|hex| usize::from_str_radix(hex, 16).ok())
}
