//! Instances, targets and clients together, in virtual time.

mod engine;
mod oracle;
mod overload;
mod roster;
mod target;
mod world;
