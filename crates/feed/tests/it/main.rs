//! Feeds in a network and on a platform that fail.

mod bulk;
mod cost;
mod era;
mod fault;
mod parted;
mod spread;
mod world;
