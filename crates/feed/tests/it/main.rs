//! Feeds in a network and on a platform that fail.

mod fault;
mod parted;
mod spread;
mod world;
