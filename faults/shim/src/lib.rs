//! Fault injection library that is preloaded (LD_PRELOAD) into the program under test.
//!
//! It overrides functions of the C library and makes some of the calls fail according to the plan named in
//! the environment. Without a plan, every call is forwarded.
//!
//! This crate needs `unsafe` code: it defines symbols of the C library and calls the functions that they
//! override.
mod calls;
mod plan;
