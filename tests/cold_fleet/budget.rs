//! What cold data nodes got, window by window, beside what the rule allows them.
use crate::world::{World, COLD};

/// What a case came to.
#[derive(Debug)]
pub struct Found {
    /// The largest sum over its bound, of all windows of all cold data nodes.
    pub worst: f64,
    /// How long after the first start, and after its own, that window ended.
    pub at: (f64, f64),
    /// The same for all sends, told or not, where over two thirds were by those that had been told.
    pub fall: f64,
    /// What the cold data nodes were sent in all, over what the rule allows them.
    pub used: f64,
    /// Parts served over parts that came in, from the first start on.
    pub served: f64,
    pub sends: usize,
}

/// Each window that ends with a send: the budget is the rule's over that very window, by the least
/// capacity, and what is put down to chance is twice its root and two.
pub fn found(world: &World) -> Found {
    let rule = world.case.rule;
    let full = rule.overload_factor * rule.overload_window * world.case.capacity;
    let (mut worst, mut at_worst, mut fall, mut sends, mut allowed) = (0.0f64, (0.0, 0.0), 0.0f64, 0, 0.0);
    for node in world.nodes.iter().filter(|n| n.born.is_finite()) {
        let end = node.born + rule.ramp;
        let seen = end.min(world.now) - node.born;
        let middle = world.share(node.listed.replica, node.born + seen / 2.0);
        allowed += full / rule.overload_window * middle * seen;
        sends += node.sent.len();
        let mut first = 0;
        for (last, (at, _)) in node.sent.iter().enumerate() {
            while node.sent[first].0 <= at - rule.overload_window {
                first += 1;
            }
            let window = &node.sent[first..=last];
            let budget = full * world.share(node.listed.replica, at - rule.overload_window / 2.0);
            let bound = budget + 2.0 * budget.sqrt() + 2.0;
            let told = window.iter().filter(|s| s.1).count() as f64;
            if told / bound > worst {
                (worst, at_worst) = (told / bound, (at - COLD, at - node.born));
            }
            if 3.0 * told > 2.0 * window.len() as f64 {
                fall = fall.max(window.len() as f64 / bound);
            }
        }
    }
    let (used, served) = (sends as f64 / allowed, world.served / world.asked);
    Found { worst, at: at_worst, fall, used, served, sends }
}
