//! Context that all attempts of a query share.
use std::cell::RefCell;

use super::connection::Connection;

/// Properties of a query that its attempts need, and the rejections that its parts received.
pub struct RequestContext {
    /// Id of the query, which is the prefix of its attempt ids.
    pub id: String,
    /// Statement that each part executes, as the client sent it.
    pub statement: Vec<u8>,
    /// Rejections by attempt id and connection id. There are at most as many as attempts.
    rejections: RefCell<Vec<(String, u64)>>,
}

impl RequestContext {
    /// Creates the context of a query without rejections.
    pub fn new(id: String, statement: Vec<u8>) -> RequestContext {
        RequestContext { id, statement, rejections: RefCell::default() }
    }

    /// Records that an attempt was rejected on a connection. Returns `false` if an attempt of the same part
    /// was rejected on that connection before.
    ///
    /// This protects parts that must not run twice: an answer may be duplicated, and a rejection of an
    /// earlier attempt does not prove that a later one did not run.
    pub(super) fn record_rejection(&self, attempt_id: &str, connection: &Connection) -> bool {
        let rejection = (attempt_id.to_owned(), connection.id);
        let mut rejections = self.rejections.borrow_mut();
        let is_first = !rejections.contains(&rejection);
        rejections.push(rejection);
        is_first
    }
}
