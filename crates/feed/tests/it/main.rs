//! Feeds in a network and on a platform that fail.

mod cost;
mod fault;
mod parted;
mod spread;
mod world;
