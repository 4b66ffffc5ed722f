//! Cooperative scheduling of tasks that always have something to read: limits the work that a task does
//! each time it is polled.
//!
//! All tasks share one thread. A peer that sends faster than its requests are handled would otherwise keep
//! the task of its connection busy, and all other tasks would wait until everything it has sent is handled.
//! Each poll of a task therefore has a budget, which its reads and writes use up. Once it is used up, the
//! next read waits:
//!
//! - A connection to a client waits for a *turn*. The run loop ([`super::run_loop`]) grants turns one at a
//!   time, in the order in which they were requested. Without a turn it may read [`BYTES_WITHOUT_TURN`] in
//!   one poll, which is enough for a usual request.
//! - Any other task yields to the tasks that are ready. Connections to servers and to members of the cluster
//!   are few, and clients must not hold up their answers.
//!
//! Invariants: a task reads at most [`BYTES_PER_POLL`] in one poll, and handles at most
//! [`BYTES_PER_POLL`] / [`MIN_CHARGE_BYTES`] requests and one more. One peer therefore delays a step of any
//! other task by no more than that, all clients that wait for turns together by no more than one of them, and
//! each further client that has sent something by no more than [`BYTES_WITHOUT_TURN`].
//!
//! Outside of the run loop nothing is limited.
#![warn(missing_docs)]

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use event_listener::{Event, EventListener, IntoNotification};

/// Budget of a task for one poll, in bytes read and written. One request of the maximum size uses it up.
pub const BYTES_PER_POLL: usize = 64 * 1024;
/// Least charge for an operation, in bytes, since small requests cost more than their bytes.
pub const MIN_CHARGE_BYTES: usize = 2 * 1024;
/// Input of a client that is handled in one poll without a turn, in bytes. Hundreds of clients may have sent
/// something at the same time, so it is much less than [`BYTES_PER_POLL`].
pub const BYTES_WITHOUT_TURN: usize = 8 * 1024;

thread_local! {
    static BUDGET: Budget = const { Budget::new() };
}

/// The budget of the task that is being polled on this thread, and the connections that wait for a turn.
struct Budget {
    /// Whether the run loop is running. Otherwise nobody would grant turns.
    enforced: Cell<bool>,
    /// What the current poll may still use, in bytes.
    remaining: Cell<usize>,
    /// What the current poll may still read from a client without a turn, in bytes.
    remaining_without_turn: Cell<usize>,
    turns: Event,
}

impl Budget {
    const fn new() -> Budget {
        Budget {
            enforced: Cell::new(false),
            remaining: Cell::new(BYTES_PER_POLL),
            remaining_without_turn: Cell::new(BYTES_WITHOUT_TURN),
            turns: Event::new(),
        }
    }

    fn requires_turn(&self) -> bool {
        self.enforced.get() && self.remaining.get().min(self.remaining_without_turn.get()) == 0
    }

    fn is_exhausted(&self) -> bool {
        self.enforced.get() && self.remaining.get() == 0
    }
}

/// Enforces the budget on this thread until it is dropped.
pub(super) struct Enforcement(());

impl Enforcement {
    pub(super) fn start() -> Enforcement {
        BUDGET.with(|budget| budget.enforced.set(true));
        Enforcement(())
    }
}

impl Drop for Enforcement {
    fn drop(&mut self) {
        BUDGET.with(|budget| {
            budget.enforced.set(false);
            budget.turns.notify(usize::MAX);
        });
    }
}

/// Refills the budget for the next poll of a task. Returns the bytes that the last one used.
pub(super) fn refill() -> usize {
    BUDGET.with(|budget| {
        budget.remaining_without_turn.set(BYTES_WITHOUT_TURN);
        BYTES_PER_POLL - budget.remaining.replace(BYTES_PER_POLL)
    })
}

/// Grants a turn to the connection that has waited for one for longest. Returns whether there was one.
pub(super) fn grant_turn() -> bool {
    // An additional one, since the connection that was granted the turn before may not read at the moment.
    BUDGET.with(|budget| budget.turns.notify(1.additional()) > 0)
}

/// Charges an operation that transferred `bytes` to the task that is being polled.
pub(super) fn charge(bytes: usize) {
    BUDGET.with(|budget| {
        let charged = bytes.max(MIN_CHARGE_BYTES);
        budget.remaining.set(budget.remaining.get().saturating_sub(charged));
    });
}

/// Charges input of a client, of this many bytes, to what the task that is being polled may handle without a
/// turn.
pub(super) fn charge_client_input(bytes: usize) {
    BUDGET.with(|budget| {
        let remaining = budget.remaining_without_turn.get().saturating_sub(bytes.max(MIN_CHARGE_BYTES));
        budget.remaining_without_turn.set(remaining);
    });
}

/// Yields to other ready tasks if the budget is used up. Cancel safe.
pub(super) async fn yield_if_exhausted() {
    if BUDGET.with(Budget::is_exhausted) {
        futures_lite::future::yield_now().await;
    }
}

/// How a connection waits when the budget is used up.
#[derive(Debug)]
pub(super) enum Reading {
    /// Yields to the tasks that are ready.
    Yielding,
    /// Waits for a turn. Contains the position in the queue while it waits.
    InTurn(RefCell<Option<EventListener>>),
}

impl Reading {
    /// Returns how many of `bytes` the task that is being polled may read at once.
    pub(super) fn limit(&self, bytes: usize) -> usize {
        let limit = BUDGET.with(|budget| {
            let limit = match self {
                Reading::Yielding => budget.remaining.get(),
                Reading::InTurn(_) => budget.remaining.get().min(budget.remaining_without_turn.get()),
            };
            budget.enforced.get().then_some(limit)
        });
        limit.map_or(bytes, |limit| bytes.min(limit.max(1)))
    }

    /// Charges a read of `bytes` to the task that is being polled.
    pub(super) fn charge_read(&self, bytes: usize) {
        charge(bytes);
        if matches!(self, Reading::InTurn(_)) {
            charge_client_input(bytes);
        }
    }

    /// Completes when the task may read. If it does, and the task then reads within the same poll and
    /// without another operation in between, that read does not wait for the budget.
    pub(super) fn poll_allowed(&self, cx: &mut Context<'_>) -> Poll<()> {
        match self {
            Reading::Yielding => {
                if !BUDGET.with(Budget::is_exhausted) {
                    return Poll::Ready(());
                }
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Reading::InTurn(position) => poll_turn(&mut position.borrow_mut(), cx),
        }
    }
}

fn poll_turn(position: &mut Option<EventListener>, cx: &mut Context<'_>) -> Poll<()> {
    if position.is_none() {
        if !BUDGET.with(Budget::requires_turn) {
            return Poll::Ready(());
        }
        *position = Some(BUDGET.with(|budget| budget.turns.listen()));
    }
    if let Some(turn) = position {
        ready!(std::future::Future::poll(Pin::new(turn), cx));
    }
    *position = None;
    BUDGET.with(|budget| budget.remaining_without_turn.set(BYTES_PER_POLL));
    Poll::Ready(())
}
