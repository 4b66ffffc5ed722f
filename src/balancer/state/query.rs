//! Open queries and what a look at one decides.
use crate::balancer::interface::{Class, ClassId, PartId, QueryId, ReplicaId, TenantId};

/// Slack, as a share of a step, between the order in which weights arrive and the one in which they are
/// summed.
const RECEIVED_TOLERANCE: f64 = 1e-4;

/// An open query.
pub struct Query {
    /// Its name in actions.
    pub id: QueryId,
    /// Its class by number.
    pub class_id: ClassId,
    /// Its class.
    pub class: Class,
    /// Who asks.
    pub tenant: TenantId,
    /// When its client stops waiting, in seconds.
    pub deadline_at: f64,
    /// Until when an answer has its full value, in seconds.
    pub objective_at: f64,
    /// The parts of its present step.
    pub parts: Vec<PartId>,
    /// Whether the first step was answered completely; `None` while it runs.
    pub first_step_complete: Option<bool>,
    /// Whether its parts may be sent.
    pub admitted: bool,
    /// How many of its parts were completed, those of an earlier step included.
    pub completed_parts: u32,
    /// Replicas that reset their connection while they held one of its parts.
    pub reset_replicas: Vec<ReplicaId>,
    /// How many parts of the present step have their value in.
    pub values_received: usize,
    /// About what these weigh together; infinite if one of the weights is no share.
    pub weight_received: f64,
    /// The parts that wait for what may change at any time, as the last visit left them.
    pub waiting_parts: Vec<PartId>,
}

impl Query {
    /// A query as it comes in, without parts and not admitted.
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

    /// Whether it is in its first step.
    pub fn is_in_first_step(&self) -> bool {
        self.first_step_complete.is_none()
    }

    /// The share of the present step's weight that makes a complete answer.
    pub fn target_coverage(&self) -> f64 {
        if self.is_in_first_step() {
            self.class.target_coverage
        } else {
            1.0
        }
    }

    /// The value of a part is in. A weight that is no share may sum to anything.
    pub fn record_value(&mut self, weight: f64) {
        self.values_received += 1;
        self.weight_received += if (0.0..=1.0).contains(&weight) { weight } else { f64::INFINITY };
    }

    /// Whether the values that are in are surely too little for an answer. They are summed in another order
    /// than an answer's are: for shares whose sum is below 1, that makes no difference near the tolerance.
    pub fn is_far_from_answer(&self) -> bool {
        let least = self.target_coverage().min(self.class.min_coverage);
        self.values_received < self.parts.len() && self.weight_received < least - RECEIVED_TOLERANCE
    }

    /// Whether at least so many replicas reset their connection over its parts, and more than completed one.
    pub fn is_query_of_death(&self, least: usize) -> bool {
        self.reset_replicas.len() >= least && self.reset_replicas.len() > self.completed_parts as usize
    }
}

/// What becomes of a query after a visit.
#[derive(Clone, Copy, PartialEq)]
pub enum QueryDecision {
    /// It stays as it is.
    Continue,
    /// Its first step was answered; the parts of the second one will come.
    StartSecondStep,
    /// It has its final answer.
    Finish,
}
