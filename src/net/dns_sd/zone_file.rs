//! Servers from DNS-SD records (RFC 6763) in a master file: PTR names the instances, SRV their places, TXT
//! what else is to be known of them.
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::{IpAddr, SocketAddr};

use domain::base::name::ToName;
use domain::base::Name;
use domain::rdata::ZoneRecordData;
use domain::zonefile::inplace::{Entry, Zonefile};

use crate::balancer::interface::EndpointState;

/// A master file larger than this is taken for a mistake.
pub const MOST_BYTES: usize = 1 << 20;

#[derive(Debug, PartialEq)]
pub enum ZoneFileError {
    TooLarge,
    Syntax(String),
    Include,
    Service(String),
    Txt { instance: String, key: &'static str },
}

impl fmt::Display for ZoneFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ZoneFileError::TooLarge => write!(f, "records of over {MOST_BYTES} bytes"),
            ZoneFileError::Syntax(e) => write!(f, "records: {e}"),
            ZoneFileError::Include => f.write_str("records: $INCLUDE is not supported"),
            ZoneFileError::Service(name) => write!(f, "'{name}' is not the name of a service"),
            ZoneFileError::Txt { instance, key } => write!(f, "TXT of {instance}: {key} cannot be used"),
        }
    }
}

impl std::error::Error for ZoneFileError {}

/// A server as its records describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub state: EndpointState,
    pub cell: u16,
    pub zone: String,
    pub weight: f64,
    /// Unix time in milliseconds of its last start; 0 means long ago.
    pub start_unix_ms: u64,
}

#[derive(Default)]
struct Instance {
    place: Option<(u16, String, u16)>,
    txt: BTreeMap<String, String>,
}

/// The servers that offer a service. One without SRV, or whose host has no address, is left out: it is not
/// there yet, or no more.
pub fn parse(text: &[u8], service: &str) -> Result<Vec<Server>, ZoneFileError> {
    if text.len() > MOST_BYTES {
        return Err(ZoneFileError::TooLarge);
    }
    let wanted: Name<Vec<u8>> = service.parse().map_err(|_| ZoneFileError::Service(service.to_owned()))?;
    let mut file = Zonefile::with_capacity(text.len() + 1);
    file.extend_from_slice(text);
    // The parser wants the last line ended.
    file.extend_from_slice(b"\n");
    let mut offered: BTreeSet<String> = BTreeSet::new();
    let mut instances: BTreeMap<String, Instance> = BTreeMap::new();
    let mut hosts: BTreeMap<String, Vec<IpAddr>> = BTreeMap::new();
    while let Some(entry) = file.next_entry().map_err(|e| ZoneFileError::Syntax(e.to_string()))? {
        let Entry::Record(record) = entry else { return Err(ZoneFileError::Include) };
        let owner = key(record.owner());
        match record.data() {
            ZoneRecordData::Ptr(ptr) if record.owner().name_eq(&wanted) => {
                offered.insert(key(ptr.ptrdname()));
            }
            ZoneRecordData::Srv(srv) => {
                let place = (srv.priority(), key(srv.target()), srv.port());
                let held = &mut instances.entry(owner).or_default().place;
                if held.as_ref().is_none_or(|p| place < *p) {
                    *held = Some(place);
                }
            }
            ZoneRecordData::Txt(txt) => {
                let pairs = &mut instances.entry(owner).or_default().txt;
                for string in txt.iter_charstrs() {
                    let string = String::from_utf8_lossy(string.as_slice()).into_owned();
                    let (name, value) = string.split_once('=').unwrap_or((&string, ""));
                    // RFC 6763, 6.4: names are compared without case and the first one counts.
                    pairs.entry(name.to_ascii_lowercase()).or_insert_with(|| value.to_owned());
                }
            }
            ZoneRecordData::A(a) => hosts.entry(owner).or_default().push(a.addr().into()),
            ZoneRecordData::Aaaa(a) => hosts.entry(owner).or_default().push(a.addr().into()),
            _ => {}
        }
    }
    let mut servers = Vec::new();
    for name in offered {
        let Some(Instance { place: Some((_, host, port)), txt }) = instances.remove(&name) else { continue };
        let Some(address) = hosts.get(&host).and_then(|a| a.iter().min()) else { continue };
        servers.push(server(name, SocketAddr::new(*address, port), &txt)?);
    }
    Ok(servers)
}

fn server(
    name: String,
    address: SocketAddr,
    txt: &BTreeMap<String, String>,
) -> Result<Server, ZoneFileError> {
    let bad = |key| ZoneFileError::Txt { instance: name.clone(), key };
    let cell = txt.get("cell").and_then(|v| v.parse().ok()).ok_or(bad("cell"))?;
    let phase = match txt.get("state").map(String::as_str) {
        None | Some("up") => EndpointState::Ready,
        Some("draining") => EndpointState::Draining,
        Some(_) => return Err(bad("state")),
    };
    let weight: f64 = txt.get("weight").map_or(Ok(1.0), |v| v.parse()).map_err(|_| bad("weight"))?;
    if !weight.is_finite() {
        return Err(bad("weight"));
    }
    let born = txt.get("born_ms").map_or(Ok(0), |v| v.parse()).map_err(|_| bad("born_ms"))?;
    let zone = txt.get("zone").cloned().unwrap_or_default();
    Ok(Server { name, address, state: phase, cell, zone, weight, start_unix_ms: born })
}

fn key(name: &impl ToName) -> String {
    name.to_name::<Vec<u8>>().to_string().to_ascii_lowercase()
}
