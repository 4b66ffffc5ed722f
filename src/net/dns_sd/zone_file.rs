//! Parses servers from DNS-SD records (RFC 6763) in a master file (RFC 1035): PTR records name the
//! instances, SRV records give their addresses, and TXT records the remaining attributes. Performs no I/O.
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use domain::base::name::ToName;
use domain::base::Name;
use domain::rdata::ZoneRecordData;
use domain::zonefile::inplace::{Entry, Zonefile};

use crate::balancer::interface::EndpointState;

/// Maximum size of a master file in bytes. A larger file is assumed to be a mistake.
pub const MAX_BYTES: usize = 1 << 20;

/// Errors that make a zone file unusable.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ZoneFileError {
    /// The file is larger than [`MAX_BYTES`].
    #[error("records: larger than {MAX_BYTES} bytes")]
    TooLarge,
    /// The file is not a master file (RFC 1035, section 5).
    #[error("records: {0}")]
    Syntax(String),
    /// The file includes another one.
    #[error("records: $INCLUDE is not supported")]
    Include,
    /// The configured service is not a domain name.
    #[error("'{0}' is not the name of a service")]
    Service(String),
    /// A TXT record of an offered instance lacks a key or has an invalid value for it.
    #[error("TXT of {instance}: {key} cannot be used")]
    Txt {
        /// Domain name of the instance.
        instance: String,
        /// The key.
        key: &'static str,
    },
}

/// A server as described by its records.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Domain name of the instance, in lower case.
    pub name: String,
    /// Address on which it listens: the smallest address of its best SRV target.
    pub address: SocketAddr,
    /// Whether it accepts attempts.
    pub state: EndpointState,
    /// Cell of the server: its position on the ring of shards.
    pub cell: u16,
    /// Name of its zone; empty if it has none.
    pub zone: String,
    /// Capacity relative to the other servers; finite.
    pub weight: f64,
    /// Unix time of its last start in milliseconds; 0 means long ago.
    pub start_unix_ms: u64,
}

/// Address of an instance. The smallest value is the preferred one.
#[derive(PartialEq, PartialOrd)]
struct Location {
    priority: u16,
    host: String,
    port: u16,
}

/// Contents of the records of one owner name.
#[derive(Default)]
struct Instance {
    location: Option<Location>,
    txt: BTreeMap<String, String>,
}

/// All relevant records of a file.
#[derive(Default)]
struct Records {
    offered: BTreeSet<String>,
    instances: BTreeMap<String, Instance>,
    hosts: BTreeMap<String, Vec<IpAddr>>,
}

/// Returns the servers that offer `service`, ordered by name. Instances without an SRV record, or whose host
/// has no address, are omitted: they are not available yet or any more.
///
/// # Errors
///
/// See [`ZoneFileError`].
pub fn parse(text: &[u8], service: &str) -> Result<Vec<Server>, ZoneFileError> {
    if text.len() > MAX_BYTES {
        return Err(ZoneFileError::TooLarge);
    }
    let service: Name<Vec<u8>> = service.parse().map_err(|_| ZoneFileError::Service(service.to_owned()))?;
    let Records { offered, mut instances, hosts } = read_records(text, &service)?;
    let mut servers = Vec::new();
    for name in offered {
        let Some(Instance { location: Some(location), txt }) = instances.remove(&name) else { continue };
        let Some(address) = hosts.get(&location.host).and_then(|addresses| addresses.iter().min()) else {
            continue;
        };
        servers.push(server(name, SocketAddr::new(*address, location.port), &txt)?);
    }
    Ok(servers)
}

fn read_records(text: &[u8], service: &Name<Vec<u8>>) -> Result<Records, ZoneFileError> {
    let mut file = Zonefile::with_capacity(text.len() + 1);
    file.extend_from_slice(text);
    // The parser requires a terminated last line.
    file.extend_from_slice(b"\n");
    let mut records = Records::default();
    while let Some(entry) = file.next_entry().map_err(|e| ZoneFileError::Syntax(e.to_string()))? {
        let Entry::Record(record) = entry else { return Err(ZoneFileError::Include) };
        let owner = normalized(record.owner());
        match record.data() {
            ZoneRecordData::Ptr(ptr) if record.owner().name_eq(service) => {
                records.offered.insert(normalized(ptr.ptrdname()));
            }
            ZoneRecordData::Srv(srv) => {
                let host = normalized(srv.target());
                let location = Location { priority: srv.priority(), host, port: srv.port() };
                let best = &mut records.instances.entry(owner).or_default().location;
                if best.as_ref().is_none_or(|best| location < *best) {
                    *best = Some(location);
                }
            }
            ZoneRecordData::Txt(txt) => {
                let pairs = &mut records.instances.entry(owner).or_default().txt;
                for string in txt.iter_charstrs() {
                    let string = String::from_utf8_lossy(string.as_slice()).into_owned();
                    let (key, value) = string.split_once('=').unwrap_or((&string, ""));
                    // RFC 6763, section 6.4: keys are case-insensitive and the first occurrence counts.
                    pairs.entry(key.to_ascii_lowercase()).or_insert_with(|| value.to_owned());
                }
            }
            ZoneRecordData::A(a) => records.hosts.entry(owner).or_default().push(a.addr().into()),
            ZoneRecordData::Aaaa(a) => records.hosts.entry(owner).or_default().push(a.addr().into()),
            _ => {}
        }
    }
    Ok(records)
}

fn server(
    name: String,
    address: SocketAddr,
    txt: &BTreeMap<String, String>,
) -> Result<Server, ZoneFileError> {
    let unusable = |key| ZoneFileError::Txt { instance: name.clone(), key };
    let cell = txt.get("cell").and_then(|v| v.parse().ok()).ok_or_else(|| unusable("cell"))?;
    let state = match txt.get("state").map(String::as_str) {
        None | Some("up") => EndpointState::Ready,
        Some("draining") => EndpointState::Draining,
        Some(_) => return Err(unusable("state")),
    };
    let weight: f64 = txt.get("weight").map_or(Ok(1.0), |v| v.parse()).map_err(|_| unusable("weight"))?;
    if !weight.is_finite() {
        return Err(unusable("weight"));
    }
    let start_unix_ms = txt.get("born_ms").map_or(Ok(0), |v| v.parse()).map_err(|_| unusable("born_ms"))?;
    let zone = txt.get("zone").cloned().unwrap_or_default();
    Ok(Server { name, address, state, cell, zone, weight, start_unix_ms })
}

/// Returns a domain name in a form suitable as a key: names are compared case-insensitively.
fn normalized(name: &impl ToName) -> String {
    name.to_name::<Vec<u8>>().to_string().to_ascii_lowercase()
}
