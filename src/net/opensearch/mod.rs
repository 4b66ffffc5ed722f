//! The query API: a second front and its client side, on the same core. It listens where a deploy file says.
pub mod front;
pub mod merge;
pub mod query;
pub mod records;
pub mod servers;

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use serde::Deserialize;
use slog::{info, warn, Logger};

use self::front::Front;
use self::records::RecordsError;
use self::servers::Servers;
use super::clients::Closing;
use crate::core::Core;
use crate::interface::*;
use crate::settings::{self, Deployment, Unreadable};

/// Time between looks at the records: well under the time that a drain may take to be kept.
const LOOK: Duration = Duration::from_millis(100);

#[derive(Debug)]
pub enum SetupError {
    Read(PathBuf, io::Error),
    Toml(String),
    Settings(Unreadable),
    Refused(SettingsError),
    Records(RecordsError),
    Index(String),
    Shards,
}

impl fmt::Display for SetupError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SetupError::Read(path, e) => write!(f, "cannot read {}: {e}", path.display()),
            SetupError::Toml(e) => write!(f, "query API: {e}"),
            SetupError::Settings(e) => write!(f, "query API: {e}"),
            SetupError::Refused(e) => write!(f, "query API: {e}"),
            SetupError::Records(e) => write!(f, "query API: {e}"),
            SetupError::Index(class) => write!(f, "query API: class '{class}' has no index, or two"),
            SetupError::Shards => f.write_str("query API: settings: FamilyInfo.Shards is missing or 0"),
        }
    }
}

impl std::error::Error for SetupError {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    listen: SocketAddr,
    /// The master file; a relative path starts at the deploy file.
    records: PathBuf,
    service: String,
    index: Vec<Index>,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Index {
    name: String,
    class: String,
}

/// The second front as its deploy file describes it.
pub struct Setup {
    pub listen: SocketAddr,
    records: PathBuf,
    service: String,
    indices: Vec<String>,
    shards: u32,
    told: Rc<Deployment>,
}

impl Setup {
    pub fn read(path: &Path) -> Result<Setup, SetupError> {
        let text = std::fs::read_to_string(path).map_err(|e| SetupError::Read(path.to_owned(), e))?;
        let one_line = |e: toml::de::Error| e.to_string().split_whitespace().collect::<Vec<_>>().join(" ");
        let file: File = toml::from_str(&text).map_err(|e| SetupError::Toml(one_line(e)))?;
        let told = settings::parse(file.settings.to_string().as_bytes()).map_err(SetupError::Settings)?;
        let mut indices = Vec::new();
        for class in &told.class_names {
            let mut named = file.index.iter().filter(|i| i.class == *class);
            match (named.next(), named.next()) {
                (Some(index), None) => indices.push(index.name.clone()),
                _ => return Err(SetupError::Index(class.clone())),
            }
        }
        let shards = told.shards.filter(|n| *n > 0).ok_or(SetupError::Shards)?;
        let records = path.parent().unwrap_or(Path::new("")).join(file.records);
        let (listen, service) = (file.listen, file.service);
        // Bad records at the start end it there; later on they only change nothing.
        let text = std::fs::read(&records).map_err(|e| SetupError::Read(records.clone(), e))?;
        records::parse(&text, &service).map_err(SetupError::Records)?;
        Ok(Setup { listen, records, service, indices, shards, told: Rc::new(told) })
    }

    /// A core of its own for this front, on the same code and rules, and the front itself.
    pub fn start(
        self,
        seed: u64,
        descriptors: usize,
        executor: &Rc<LocalExecutor<'static>>,
        closing: &Rc<Closing>,
        log: &Logger,
    ) -> Result<Rc<Front>, SetupError> {
        let servers = Servers::new(self.told.sockets, descriptors, log.clone());
        let settings = self.told.settings.clone();
        let core = Core::new(settings, seed, self.told.max_open, executor.clone(), servers.clone())
            .map_err(SetupError::Refused)?;
        let mut watch = Watch {
            core: core.clone(),
            servers,
            zones: self.told.zones.clone(),
            records: self.records,
            service: self.service,
            seen: Vec::new(),
            log: log.clone(),
        };
        watch.look()?;
        executor.spawn(core.clone().run()).detach();
        executor.spawn(watch.run()).detach();
        Ok(Rc::new(Front {
            core,
            told: self.told,
            indices: self.indices,
            shards: self.shards,
            closing: closing.clone(),
            log: log.clone(),
            said: Default::default(),
        }))
    }
}

/// The records, read again whenever they change.
struct Watch {
    core: Rc<Core<Servers>>,
    servers: Rc<Servers>,
    zones: Vec<String>,
    records: PathBuf,
    service: String,
    seen: Vec<u8>,
    log: Logger,
}

impl Watch {
    /// Compares the text itself: guards against a change within one tick of the file's clock.
    fn look(&mut self) -> Result<(), SetupError> {
        let text = std::fs::read(&self.records).map_err(|e| SetupError::Read(self.records.clone(), e))?;
        if text == self.seen {
            return Ok(());
        }
        let servers = records::parse(&text, &self.service).map_err(SetupError::Records)?;
        let entries = self.servers.list(&servers, &self.zones, &self.core.clock());
        info!(self.log, "list of search servers"; "entries" => entries.len());
        self.core.members(News::Full, entries);
        self.seen = text;
        Ok(())
    }

    async fn run(mut self) {
        let mut said = String::new();
        loop {
            Timer::at(Instant::now() + LOOK).await;
            // Records that cannot be read change nothing: a file that is being written is whole soon.
            let fault = self.look().err().map(|e| e.to_string()).unwrap_or_default();
            if fault != said && !fault.is_empty() {
                warn!(self.log, "records not taken over"; "error" => &fault);
            }
            said = fault;
        }
    }
}
