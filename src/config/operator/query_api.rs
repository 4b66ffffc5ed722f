//! The `query_api` section: an OpenSearch-compatible search API.
#![warn(missing_docs)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use serde::Deserialize;

use super::{key_path, Document, OperatorConfigError, ServerSource};
use crate::config::settings::Deployment;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct QueryApiSection {
    listen: SocketAddr,
    records: PathBuf,
    service: String,
    /// Maps each index to the class of its queries.
    indices: BTreeMap<String, String>,
}

/// The validated configuration of the query API.
pub struct QueryApiConfig {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The source of the server list.
    pub source: ServerSource,
    /// The index of each class, in the order of the settings; `None` if a class has no index.
    pub indices: Vec<Option<String>>,
    /// The number of shards of each index.
    pub shards: u32,
    /// The deployment settings.
    pub deployment: Rc<Deployment>,
}

impl QueryApiSection {
    pub(super) fn compile(
        self,
        document: &Document,
        deployment: &Deployment,
        shards: u32,
    ) -> Result<QueryApiConfig, OperatorConfigError> {
        let mut indices = vec![None; deployment.class_names.len()];
        for (index, class) in &self.indices {
            let error =
                |message: String| document.error_at(&key_path(&["query_api", "indices", index]), message);
            let slot = deployment.class_names.iter().position(|name| name == class);
            let slot = slot.ok_or_else(|| error(format!("settings.Classes has no class '{class}'")))?;
            if indices[slot].replace(index.clone()).is_some() {
                return Err(error(format!("class '{class}' is already assigned to another index")));
            }
        }
        Ok(QueryApiConfig {
            listen: self.listen,
            source: document.server_source(&self.records, self.service),
            indices,
            shards,
            deployment: Rc::new(deployment.clone()),
        })
    }
}
