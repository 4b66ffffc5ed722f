//! The section `query_api`: searches in the OpenSearch form.
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
pub(super) struct QueryApiFile {
    listen: SocketAddr,
    records: PathBuf,
    service: String,
    /// Index to class.
    indices: BTreeMap<String, String>,
}

/// The query API as the file describes it.
pub struct QueryApiConfig {
    /// Where clients connect to.
    pub listen: SocketAddr,
    /// Where its servers are listed.
    pub source: ServerSource,
    /// The index of each class, in the order of the settings; `None` where it has none.
    pub indices: Vec<Option<String>>,
    /// Shards of each index.
    pub shards: u32,
    /// The settings.
    pub deployment: Rc<Deployment>,
}

impl QueryApiFile {
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
            let slot = slot.ok_or_else(|| error(format!("no class '{class}' in settings.Classes")))?;
            if indices[slot].replace(index.clone()).is_some() {
                return Err(error(format!("class '{class}' has another index")));
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
