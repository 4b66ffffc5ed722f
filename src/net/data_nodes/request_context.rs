//! What all attempts of a query share on their way to data nodes.
use std::cell::RefCell;

use super::connection::Connection;

/// What a data node needs of a query, and the rejections that its parts met.
pub struct RequestContext {
    /// The query's id; attempt ids begin with it.
    pub id: String,
    /// What each part runs, as the client sent it.
    pub statement: Vec<u8>,
    /// Rejections by attempt id and connection id. At most as many as attempts.
    rejections: RefCell<Vec<(String, u64)>>,
}

impl RequestContext {
    /// The context of a query without rejections.
    pub fn new(id: String, statement: Vec<u8>) -> RequestContext {
        RequestContext { id, statement, rejections: RefCell::default() }
    }

    /// Record that an attempt was rejected on a connection; `false` if one of its part was rejected there
    /// before.
    ///
    /// Protects parts that must not run twice: an answer may be duplicated, and one that rejected an earlier
    /// attempt proves nothing about a later one.
    pub(super) fn record_rejection(&self, attempt_id: &str, connection: &Connection) -> bool {
        let rejection = (attempt_id.to_owned(), connection.id);
        let mut rejections = self.rejections.borrow_mut();
        let is_first = !rejections.contains(&rejection);
        rejections.push(rejection);
        is_first
    }
}
