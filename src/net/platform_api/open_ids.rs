//! The ids of the queries that are open: an id may be used for one query at a time.
#![warn(missing_docs)]

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// The ids in use, shared by all connections of the front.
#[derive(Clone, Default)]
pub struct OpenIds(Rc<RefCell<BTreeSet<String>>>);

impl OpenIds {
    pub(super) fn contains(&self, id: &str) -> bool {
        self.0.borrow().contains(id)
    }

    /// Use an id, which nobody uses yet, until the guard is dropped.
    pub(super) fn reserve(&self, id: &str) -> OpenIdGuard {
        self.0.borrow_mut().insert(id.to_owned());
        OpenIdGuard { open_ids: self.clone(), id: id.to_owned() }
    }
}

/// An id that is in use until this is dropped.
pub(super) struct OpenIdGuard {
    open_ids: OpenIds,
    id: String,
}

impl Drop for OpenIdGuard {
    fn drop(&mut self) {
        self.open_ids.0.borrow_mut().remove(&self.id);
    }
}
