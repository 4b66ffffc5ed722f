//! The bench's own parts: its fit, its options, its report, and a short form of each of its runs.
#![allow(dead_code, reason = "the bench's own parts, of which this uses some")]

#[path = "../../benches/scale/client.rs"]
mod client;
#[path = "../../benches/scale/fit.rs"]
mod fit;
#[path = "../../benches/scale/hollow.rs"]
mod hollow;
#[path = "../../benches/scale/listing.rs"]
mod listing;
#[path = "../../benches/scale/meetings.rs"]
mod meetings;
#[path = "../../benches/scale/module.rs"]
mod module;
#[path = "../../benches/scale/options.rs"]
mod options;
#[path = "../../benches/scale/plan.rs"]
mod plan;
#[path = "../../benches/scale/report.rs"]
mod report;
#[path = "../../benches/scale/sockets.rs"]
mod sockets;
#[path = "../../benches/scale/standin.rs"]
mod standin;
#[path = "../../benches/scale/state.rs"]
mod state;
#[path = "../../benches/scale/table.rs"]
mod table;
#[path = "../../benches/scale/target.rs"]
mod target;
#[path = "../../benches/scale/walk.rs"]
mod walk;

mod costs;
mod fits;
mod refused;
mod rows;
