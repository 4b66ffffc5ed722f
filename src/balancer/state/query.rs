//! Open queries and the decisions of a visit to one.
use crate::balancer::interface::{Class, ClassId, PartId, QueryId, ReplicaId, TenantId};

/// Tolerance, as a fraction of a step, for weights summed in order of arrival instead of part
/// order.
const RECEIVED_TOLERANCE: f64 = 1e-4;

/// An open query.
pub struct Query {
    /// Id of the query in actions.
    pub id: QueryId,
    /// Index of the query's class.
    pub class_id: ClassId,
    /// The query's class.
    pub class: Class,
    /// The tenant that sent the query.
    pub tenant: TenantId,
    /// When the client stops waiting, in seconds.
    pub deadline_at: f64,
    /// When the latency objective ends, in seconds; an answer until then has its full value.
    pub objective_at: f64,
    /// The parts of the current step.
    pub parts: Vec<PartId>,
    /// Whether the first step was answered completely; `None` while it runs.
    pub first_step_complete: Option<bool>,
    /// Whether the query has been admitted, so that its parts may be sent.
    pub admitted: bool,
    /// Number of parts completed so far, including those of an earlier step.
    pub completed_parts: u32,
    /// Replicas that reset their connection while holding a part of the query.
    pub reset_replicas: Vec<ReplicaId>,
    /// Number of parts of the current step whose values have been received.
    pub values_received: usize,
    /// Approximate total weight of the parts in `values_received`; infinite if one of the weights is
    /// not within 0 and 1.
    pub weight_received: f64,
    /// Parts left waiting by the last visit for something that may change at any time.
    pub waiting_parts: Vec<PartId>,
}

impl Query {
    /// Creates a query without parts that is not admitted yet.
    pub fn new(
        id: QueryId,
        (class_id, class): (ClassId, Class),
        tenant: TenantId,
        deadline_at: f64,
        objective_at: f64,
    ) -> Query {
        Query {
            id,
            class_id,
            class,
            tenant,
            deadline_at,
            objective_at,
            parts: Vec::new(),
            first_step_complete: None,
            admitted: false,
            completed_parts: 0,
            reset_replicas: Vec::new(),
            values_received: 0,
            weight_received: 0.0,
            waiting_parts: Vec::new(),
        }
    }

    /// Returns whether the query is in its first step.
    pub fn is_in_first_step(&self) -> bool {
        self.first_step_complete.is_none()
    }

    /// Returns the fraction of the current step's weight that makes a complete answer.
    pub fn target_coverage(&self) -> f64 {
        if self.is_in_first_step() {
            self.class.target_coverage
        } else {
            1.0
        }
    }

    /// Records that a part's value was received. A weight outside 0 to 1 makes the sum meaningless,
    /// so the sum becomes infinite.
    pub fn record_value(&mut self, weight: f64) {
        self.values_received += 1;
        self.weight_received += if (0.0..=1.0).contains(&weight) { weight } else { f64::INFINITY };
    }

    /// Returns whether the received values certainly do not suffice for an answer. Their weights are
    /// summed in another order than when the answer is decided; for weights whose sum is below 1,
    /// the difference between the two sums is within `RECEIVED_TOLERANCE`.
    pub fn is_far_from_answer(&self) -> bool {
        let min_coverage = self.target_coverage().min(self.class.min_coverage);
        self.values_received < self.parts.len() && self.weight_received < min_coverage - RECEIVED_TOLERANCE
    }

    /// Returns whether at least `min_resets` replicas reset their connections while holding parts of
    /// this query, and their number exceeds the number of completed parts.
    pub fn is_query_of_death(&self, min_resets: usize) -> bool {
        self.reset_replicas.len() >= min_resets && self.reset_replicas.len() > self.completed_parts as usize
    }
}

/// The result of a visit to a query.
#[derive(Clone, Copy, PartialEq)]
pub enum QueryDecision {
    /// The query stays open.
    Continue,
    /// The first step was answered; the parts of the second step will follow.
    StartSecondStep,
    /// The query has its final answer.
    Finish,
}
