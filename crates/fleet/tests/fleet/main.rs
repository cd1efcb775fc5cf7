//! Tests of the engine, its parts and whole fleets in virtual time.

mod boot;
mod crash;
mod engine;
mod estimate;
mod evacuation;
mod identity;
mod interference;
mod listed;
mod oracle;
mod overload;
mod pause;
mod reports;
mod roster;
mod speed;
mod target;
mod thin_link;
mod world;
