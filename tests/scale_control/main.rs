//! The days of failures of the control plane at a small size, in the same code as the bench's: what has to hold at every
//! size holds here exactly.
#[path = "../../benches/scale/control/plane/mod.rs"]
#[allow(dead_code, unused_imports, reason = "the bench's own parts, of which this uses some")]
mod plane;

mod days;
mod idle;
mod version;
