//! The section `fleet`: the members that work together, and which classes of work outlive their coordinator.
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use serde::Deserialize;

use super::Seg;
use crate::balancer::interface::Idempotency;
use crate::cluster::configuration::MAX_GROUP_SIZE;
use crate::cluster::takeover::message::MAX_MESSAGE_BYTES;
use crate::cluster::takeover::{self, ClassRule, WhenFull};
use crate::cluster::{Configuration, Member, MemberId};
use crate::config::settings::Deployment;

/// The most members: far more than any fleet that was measured, few enough that each keeps a link to each other one.
const MOST_MEMBERS: usize = 4096;
/// What a message needs beside the record that it carries.
const ENVELOPE: usize = 4096;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ClusterSection {
    cluster: String,
    name: String,
    listen: SocketAddr,
    members: Vec<MemberFile>,
    store: Option<PathBuf>,
    #[serde(default)]
    protect: BTreeMap<String, ProtectFile>,
    #[serde(default = "lease_ms")]
    lease_ms: f64,
    #[serde(default = "drift")]
    drift: f64,
    #[serde(default)]
    limits: LimitsFile,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MemberFile {
    name: String,
    address: SocketAddr,
    zone: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ProtectFile {
    #[serde(default = "guards")]
    guards: usize,
    #[serde(default = "slack_s")]
    slack_s: f64,
    #[serde(default)]
    when_full: WhenFullName,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WhenFullName {
    #[default]
    Refuse,
    Unprotected,
}

/// Sizes in bytes.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct LimitsFile {
    works: usize,
    bytes: usize,
    record: usize,
    taken_over: usize,
    frame: usize,
    queue: usize,
}

impl Default for LimitsFile {
    fn default() -> Self {
        let (works, bytes, record) = (4096, 64 << 20, 256 << 10);
        LimitsFile { works, bytes, record, taken_over: 256, frame: 1 << 20, queue: 1024 }
    }
}

fn lease_ms() -> f64 {
    300.0
}

fn drift() -> f64 {
    0.01
}

fn guards() -> usize {
    3
}

fn slack_s() -> f64 {
    5.0
}

/// The fleet as the file describes it.
#[derive(Clone)]
pub struct ClusterConfig {
    pub cluster: Rc<str>,
    /// This member.
    pub name: Rc<str>,
    pub listen: SocketAddr,
    /// The founding members by name, this one among them; their incarnations (0) are not known here.
    pub members: Rc<[Member]>,
    /// The log's file.
    pub store: Option<PathBuf>,
    /// By class; `None` where it is not protected.
    pub rules: Vec<Option<ClassRule>>,
    pub limits: takeover::Limits,
    /// The largest message between two members, in bytes.
    pub frame: usize,
    /// How many messages may wait for one member.
    pub queue: usize,
}

impl ClusterConfig {
    pub fn zone(&self) -> Rc<str> {
        let me = self.members.iter().find(|m| m.id.name == self.name);
        me.map_or_else(|| "".into(), |m| m.zone.clone())
    }

    /// Guards against a fleet that could not work: the path of what is at fault from the section on, and what.
    pub(super) fn check(
        file: ClusterSection,
        folder: &Path,
        told: &Deployment,
        served: bool,
    ) -> Result<ClusterConfig, (Vec<Seg>, String)> {
        fn bad<T>(keys: &[&str], what: &str) -> Result<T, (Vec<Seg>, String)> {
            Err((keys.iter().map(|k| Seg::Key((*k).into())).collect(), what.into()))
        }
        if file.cluster.is_empty() || file.cluster.len() > 64 {
            return bad(&["cluster"], "must be 1 to 64 bytes");
        }
        let members = members(&file.members)?;
        if !members.iter().any(|m| *m.id.name == *file.name) {
            return bad(&["name"], &format!("'{}' is not among fleet.members", file.name));
        }
        if !(10.0..=60_000.0).contains(&file.lease_ms) {
            return bad(&["lease_ms"], "must be 10 to 60000");
        }
        if !(0.0..=0.5).contains(&file.drift) {
            return bad(&["drift"], "must be 0 to 0.5");
        }
        let l = &file.limits;
        let bounds = [
            ("works", l.works, 1, 1 << 20),
            ("record", l.record, 1024, MAX_MESSAGE_BYTES - ENVELOPE),
            ("bytes", l.bytes, l.record, 1 << 40),
            ("taken_over", l.taken_over, 1, 1 << 20),
            ("frame", l.frame, l.record + ENVELOPE, MAX_MESSAGE_BYTES),
            ("queue", l.queue, 16, 1 << 20),
        ];
        for (key, value, least, most) in bounds {
            if !(least..=most).contains(&value) {
                return bad(&["limits", key], &format!("must be {least} to {most}"));
            }
        }
        let mut rules = vec![None; told.class_names.len()];
        for (name, protect) in &file.protect {
            let here = |key| ["protect", name.as_str(), key];
            let Some(at) = told.class_names.iter().position(|c| c == name) else {
                return bad(&["protect", name], &format!("no class '{name}' in settings.Classes"));
            };
            let (Some(rule), Some(class)) = (rules.get_mut(at), told.settings.classes.get(at)) else {
                continue;
            };
            if !served {
                return bad(&["protect", name], "there is no query_api that could execute it");
            }
            // A majority of two is both: one guard would make the work depend on more members, not on fewer.
            if !(3..=MAX_GROUP_SIZE).contains(&protect.guards) {
                return bad(&here("guards"), &format!("must be 3 to {MAX_GROUP_SIZE}"));
            }
            if !(0.0..=3600.0).contains(&protect.slack_s) {
                return bad(&here("slack_s"), "must be 0 to 3600");
            }
            *rule = Some(ClassRule {
                // A key's window is the servers' and may be over before a successor asks.
                repeats: class.idempotency == Idempotency::Idempotent,
                guards: protect.guards,
                slack_ms: (protect.slack_s * 1000.0) as u64,
                when_full: match protect.when_full {
                    WhenFullName::Refuse => WhenFull::Refuse,
                    WhenFullName::Unprotected => WhenFull::Unprotected,
                },
                worth: class.priority_weight,
            });
        }
        let limits = takeover::Limits {
            works: l.works,
            bytes: l.bytes,
            record: l.record,
            taken_over: l.taken_over,
            most_tries: told.settings.max_attempts.min(4) as u8,
            lease: (file.lease_ms * 1000.0) as u64,
            drift: file.drift,
        };
        Ok(ClusterConfig {
            cluster: file.cluster.into(),
            name: file.name.into(),
            listen: file.listen,
            members: members.into(),
            store: file.store.map(|s| folder.join(s)),
            rules,
            limits,
            frame: l.frame,
            queue: l.queue,
        })
    }
}

fn members(listed: &[MemberFile]) -> Result<Vec<Member>, (Vec<Seg>, String)> {
    let bad = |n: usize, key: &str, what: String| {
        Err((vec![Seg::Key("members".into()), Seg::Index(n), Seg::Key(key.into())], what))
    };
    if listed.is_empty() || listed.len() > MOST_MEMBERS {
        return Err((vec![Seg::Key("members".into())], format!("must be 1 to {MOST_MEMBERS} members")));
    }
    let (mut names, mut addresses, mut members) = (BTreeSet::new(), BTreeSet::new(), Vec::new());
    for (n, m) in listed.iter().enumerate() {
        let member =
            Member { id: MemberId::new(&m.name, 0), zone: m.zone.as_str().into(), address: m.address };
        if let Err(e) = Configuration::new(1, vec![member.clone()]) {
            return bad(n, "name", e.to_string());
        }
        if !names.insert(&m.name) {
            return bad(n, "name", format!("member '{}' is named twice", m.name));
        }
        if m.address.port() == 0 || !addresses.insert(m.address) {
            return bad(n, "address", format!("{} is another member's, or has no port", m.address));
        }
        if m.zone.is_empty() || m.zone.len() > 64 {
            return bad(n, "zone", "must be 1 to 64 bytes".into());
        }
        members.push(member);
    }
    members.sort_by(|a, b| a.id.cmp(&b.id));
    Ok(members)
}
