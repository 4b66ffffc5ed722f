//! Pieces of the fleet by themselves.
mod configuration;
mod founding;
mod founding_first;
mod store;
mod time;
