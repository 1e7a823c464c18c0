//! Feeds in a network and on a platform that fail.

mod bulk;
mod cost;
mod era;
mod evacuation;
mod fault;
mod parted;
mod piece;
mod rejected;
mod spread;
mod world;
