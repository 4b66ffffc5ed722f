//! Ids of queries. An id is in use while its query is open. It is remembered after a query that may have run
//! and must not run again, for example because its client disconnected before the answer.
//!
//! Invariant: at most [`MAX_FINISHED`] ids of finished queries are remembered, each for [`RETENTION`] at most.
#![warn(missing_docs)]

use std::cell::RefCell;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time for which the id of a finished query is remembered.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of finished queries whose ids are remembered. The oldest is forgotten first.
const MAX_FINISHED: usize = 8192;

/// Why an id may not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdConflict {
    /// The query with this id is still open.
    Open,
    /// An earlier query with this id may have run.
    Finished,
}

#[derive(Default)]
struct State {
    /// Ids that may not be used: those of open queries and those of `finished`.
    used: BTreeMap<Rc<str>, IdConflict>,
    /// Ids of finished queries, oldest first, with the time at which each is forgotten.
    finished: VecDeque<(Rc<str>, Instant)>,
}

impl State {
    fn forget_expired(&mut self, now: Instant) {
        while let Some((id, until)) = self.finished.front() {
            if *until > now && self.finished.len() <= MAX_FINISHED {
                return;
            }
            self.used.remove(id);
            self.finished.pop_front();
        }
    }
}

/// The ids in use, shared by all connections of the front.
#[derive(Clone, Default)]
pub struct UsedIds(Rc<RefCell<State>>);

impl UsedIds {
    /// Reserves an id for a query.
    ///
    /// # Errors
    ///
    /// Returns the conflict if the id is used by an open query or remembered.
    pub fn reserve(&self, id: &str, now: Instant) -> Result<UsedIdGuard, IdConflict> {
        let mut state = self.0.borrow_mut();
        state.forget_expired(now);
        let id: Rc<str> = id.into();
        match state.used.entry(id.clone()) {
            Entry::Occupied(used) => Err(*used.get()),
            Entry::Vacant(unused) => {
                unused.insert(IdConflict::Open);
                Ok(UsedIdGuard { ids: self.clone(), id, is_remembered: false })
            }
        }
    }

    /// Returns the number of ids in use or remembered.
    pub fn count(&self) -> usize {
        self.0.borrow().used.len()
    }
}

/// Keeps an id in use until it is dropped.
pub struct UsedIdGuard {
    ids: UsedIds,
    id: Rc<str>,
    is_remembered: bool,
}

impl UsedIdGuard {
    /// Sets whether the id is remembered when the guard is dropped, because the query may have run.
    pub fn set_remembered(&mut self, is_remembered: bool) {
        self.is_remembered = is_remembered;
    }
}

impl Drop for UsedIdGuard {
    fn drop(&mut self) {
        let mut state = self.ids.0.borrow_mut();
        if !self.is_remembered {
            state.used.remove(&self.id);
            return;
        }
        let now = Instant::now();
        state.used.insert(self.id.clone(), IdConflict::Finished);
        state.finished.push_back((self.id.clone(), now + RETENTION));
        state.forget_expired(now);
    }
}
