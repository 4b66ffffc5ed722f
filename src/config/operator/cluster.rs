//! The `fleet` section: the members of the cluster and the classes of queries that survive the loss of
//! their coordinator.
//!
//! The keys of the file are the serde names of these types and must not change. Each error names the path
//! of its key, starting below the section.
#![warn(missing_docs)]
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use serde::Deserialize;

use super::PathSegment;
use crate::balancer::interface::Idempotency;
use crate::cluster::configuration::MAX_GROUP_SIZE;
use crate::cluster::takeover::message::MAX_MESSAGE_BYTES;
use crate::cluster::takeover::{self, ClassRule, WhenFull};
use crate::cluster::{Configuration, Member, MemberId};
use crate::config::settings::Deployment;

/// The maximum number of members: far more than in any cluster measured, and few enough that each member
/// can keep a connection to every other one.
const MAX_MEMBERS: usize = 4096;
/// The bytes that a message needs in addition to the record that it carries.
const ENVELOPE_BYTES: usize = 4096;
/// The maximum length of a cluster or zone name, in bytes.
const MAX_LABEL_BYTES: usize = 64;
/// The minimum size of a group. In a group of two the majority is both members, so that the work item would
/// depend on more members rather than fewer.
const MIN_GROUP_SIZE: usize = 3;
/// The maximum number of attempts of a part across all owners.
const MAX_ATTEMPTS: u32 = 4;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ClusterSection {
    cluster: String,
    name: String,
    listen: SocketAddr,
    members: Vec<MemberSection>,
    store: Option<PathBuf>,
    #[serde(default)]
    protect: BTreeMap<String, ProtectSection>,
    #[serde(default = "default_lease_ms")]
    lease_ms: f64,
    #[serde(default = "default_drift", rename = "drift")]
    drift_ratio: f64,
    #[serde(default)]
    limits: LimitsSection,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MemberSection {
    name: String,
    address: SocketAddr,
    zone: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ProtectSection {
    #[serde(default = "default_group_size", rename = "guards")]
    group_size: usize,
    #[serde(default = "default_retention_s", rename = "slack_s")]
    outcome_retention_s: f64,
    #[serde(default)]
    when_full: WhenFullName,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WhenFullName {
    #[default]
    #[serde(rename = "refuse")]
    Reject,
    Unprotected,
}

/// Limits on sizes in bytes and on counts.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct LimitsSection {
    #[serde(rename = "works")]
    max_work_items: usize,
    #[serde(rename = "bytes")]
    max_total_bytes: usize,
    #[serde(rename = "record")]
    max_record_bytes: usize,
    #[serde(rename = "taken_over")]
    max_takeovers: usize,
    #[serde(rename = "frame")]
    max_frame_bytes: usize,
    #[serde(rename = "queue")]
    max_queued_frames: usize,
}

impl Default for LimitsSection {
    fn default() -> Self {
        LimitsSection {
            max_work_items: 4096,
            max_total_bytes: 64 << 20,
            max_record_bytes: 256 << 10,
            max_takeovers: 256,
            max_frame_bytes: 1 << 20,
            max_queued_frames: 1024,
        }
    }
}

fn default_lease_ms() -> f64 {
    300.0
}

fn default_drift() -> f64 {
    0.01
}

fn default_group_size() -> usize {
    3
}

fn default_retention_s() -> f64 {
    5.0
}

/// The validated configuration of the cluster.
#[derive(Clone)]
pub struct ClusterConfig {
    /// The name of the cluster. Members of other clusters are rejected.
    pub cluster: Rc<str>,
    /// The name of this member.
    pub name: Rc<str>,
    /// The address on which this member listens for other members.
    pub listen: SocketAddr,
    /// All initial members, sorted by name and including this one. Their incarnations are not known here
    /// and are 0.
    pub members: Rc<[Member]>,
    /// The file that stores the replicated log.
    pub store: Option<PathBuf>,
    /// The protection rule of each class, indexed by class; `None` if the class is not protected.
    pub rules: Vec<Option<ClassRule>>,
    /// The limits and durations of the takeover protocol.
    pub limits: takeover::Limits,
    /// The maximum length of a frame between two members, in bytes.
    pub max_frame_bytes: usize,
    /// The maximum number of frames queued for one member.
    pub max_queued_frames: usize,
}

/// The path of the invalid key below the section, and a description of the error.
type SectionError = (Vec<PathSegment>, String);

fn error(keys: &[&str], message: impl Into<String>) -> SectionError {
    (keys.iter().map(|key| PathSegment::Key((*key).into())).collect(), message.into())
}

impl ClusterConfig {
    /// Returns the zone of this member.
    pub fn zone(&self) -> Rc<str> {
        let me = self.members.iter().find(|m| m.id.name == self.name);
        me.map_or_else(|| "".into(), |m| m.zone.clone())
    }

    /// Validates the section against itself and the deployment. `has_executor` tells whether there is an
    /// API that executes protected queries. Relative paths are resolved against `folder`.
    ///
    /// # Errors
    ///
    /// Returns the first invalid key and the reason.
    pub(super) fn check(
        section: ClusterSection,
        folder: &Path,
        deployment: &Deployment,
        has_executor: bool,
    ) -> Result<ClusterConfig, SectionError> {
        if section.cluster.is_empty() || section.cluster.len() > MAX_LABEL_BYTES {
            return Err(error(&["cluster"], "must be 1 to 64 bytes"));
        }
        let members = check_members(&section.members)?;
        if !members.iter().any(|m| *m.id.name == *section.name) {
            return Err(error(&["name"], format!("'{}' is not among fleet.members", section.name)));
        }
        if !(10.0..=60_000.0).contains(&section.lease_ms) {
            return Err(error(&["lease_ms"], "must be 10 to 60000"));
        }
        if !(0.0..=0.5).contains(&section.drift_ratio) {
            return Err(error(&["drift"], "must be 0 to 0.5"));
        }
        section.limits.check()?;
        let rules = check_rules(&section.protect, deployment, has_executor)?;
        let limits = takeover::Limits {
            max_work_items: section.limits.max_work_items,
            max_total_bytes: section.limits.max_total_bytes,
            max_record_bytes: section.limits.max_record_bytes,
            max_takeovers: section.limits.max_takeovers,
            max_attempts: deployment.settings.max_attempts.min(MAX_ATTEMPTS) as u8,
            lease_duration: (section.lease_ms * 1000.0) as u64,
            drift_ratio: section.drift_ratio,
        };
        Ok(ClusterConfig {
            cluster: section.cluster.into(),
            name: section.name.into(),
            listen: section.listen,
            members: members.into(),
            store: section.store.map(|file| folder.join(file)),
            rules,
            limits,
            max_frame_bytes: section.limits.max_frame_bytes,
            max_queued_frames: section.limits.max_queued_frames,
        })
    }
}

impl LimitsSection {
    fn check(&self) -> Result<(), SectionError> {
        let min_frame = self.max_record_bytes + ENVELOPE_BYTES;
        let bounds = [
            ("works", self.max_work_items, 1..=1 << 20),
            ("record", self.max_record_bytes, 1024..=MAX_MESSAGE_BYTES - ENVELOPE_BYTES),
            ("bytes", self.max_total_bytes, self.max_record_bytes..=1 << 40),
            ("taken_over", self.max_takeovers, 1..=1 << 20),
            ("frame", self.max_frame_bytes, min_frame..=MAX_MESSAGE_BYTES),
            ("queue", self.max_queued_frames, 16..=1 << 20),
        ];
        for (key, value, range) in bounds {
            if !range.contains(&value) {
                let message = format!("must be {} to {}", range.start(), range.end());
                return Err(error(&["limits", key], message));
            }
        }
        Ok(())
    }
}

/// Validates the protected classes and returns the rule of each class, indexed by class.
fn check_rules(
    protect: &BTreeMap<String, ProtectSection>,
    deployment: &Deployment,
    has_executor: bool,
) -> Result<Vec<Option<ClassRule>>, SectionError> {
    let mut rules = vec![None; deployment.class_names.len()];
    for (name, section) in protect {
        let Some(at) = deployment.class_names.iter().position(|class| class == name) else {
            return Err(error(&["protect", name], format!("settings.Classes has no class '{name}'")));
        };
        let class = deployment.settings.classes.get(at);
        let (Some(rule), Some(class)) = (rules.get_mut(at), class) else { continue };
        if !has_executor {
            return Err(error(&["protect", name], "requires a query_api section to execute its queries"));
        }
        section.check(name)?;
        *rule = Some(ClassRule {
            // The servers remember an idempotency key only for a limited window, which may have passed
            // before a successor sends the request again.
            idempotent: class.idempotency == Idempotency::Idempotent,
            group_size: section.group_size,
            outcome_retention_ms: (section.outcome_retention_s * 1000.0) as u64,
            when_full: match section.when_full {
                WhenFullName::Reject => WhenFull::Reject,
                WhenFullName::Unprotected => WhenFull::Unprotected,
            },
            priority_weight: class.priority_weight,
        });
    }
    Ok(rules)
}

impl ProtectSection {
    fn check(&self, class: &str) -> Result<(), SectionError> {
        if !(MIN_GROUP_SIZE..=MAX_GROUP_SIZE).contains(&self.group_size) {
            let message = format!("must be {MIN_GROUP_SIZE} to {MAX_GROUP_SIZE}");
            return Err(error(&["protect", class, "guards"], message));
        }
        if !(0.0..=3600.0).contains(&self.outcome_retention_s) {
            return Err(error(&["protect", class, "slack_s"], "must be 0 to 3600"));
        }
        Ok(())
    }
}

/// Validates the initial members and returns them sorted by name.
fn check_members(listed: &[MemberSection]) -> Result<Vec<Member>, SectionError> {
    if listed.is_empty() || listed.len() > MAX_MEMBERS {
        return Err(error(&["members"], format!("must be 1 to {MAX_MEMBERS} members")));
    }
    let mut names = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    let mut members = Vec::with_capacity(listed.len());
    for (index, section) in listed.iter().enumerate() {
        let invalid = |key: &str, message: String| {
            let path = vec![
                PathSegment::Key("members".into()),
                PathSegment::Index(index),
                PathSegment::Key(key.into()),
            ];
            Err((path, message))
        };
        let member = Member {
            id: MemberId::new(&section.name, 0),
            zone: section.zone.as_str().into(),
            address: section.address,
        };
        if let Err(e) = Configuration::new(1, vec![member.clone()]) {
            return invalid("name", e.to_string());
        }
        if !names.insert(&section.name) {
            return invalid("name", format!("duplicate member name '{}'", section.name));
        }
        if section.address.port() == 0 || !addresses.insert(section.address) {
            return invalid(
                "address",
                format!("{} is the address of another member or has no port", section.address),
            );
        }
        if section.zone.is_empty() || section.zone.len() > MAX_LABEL_BYTES {
            return invalid("zone", "must be 1 to 64 bytes".into());
        }
        members.push(member);
    }
    members.sort_by(|a, b| a.id.cmp(&b.id));
    Ok(members)
}
