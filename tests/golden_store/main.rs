//! Golden bytes: what an earlier build stored or sent is read by this one, and written again to the same
//! bytes.
//!
//! Every other test writes and reads with the same build, so that a renamed table, key or tag would pass
//! there. The files in `data/` were written once and are committed: a test that is red here says that stored
//! data of an earlier build, or messages between two builds, are not understood any more.
mod bootstrap;
mod fixture;
mod frames;
mod log;
mod sample;
mod store;
