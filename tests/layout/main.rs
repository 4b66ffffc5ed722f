//! Layouts through time against a plain model, a list of full copies; closed time in a model checker.
mod closed;
mod histories;
mod plans;
mod reference;
