//! Layouts through time against a reference model, a list of full copies; closed timestamps in a model checker.
mod closed_timestamp;
mod histories;
mod plans;
mod reference;
mod retention;
