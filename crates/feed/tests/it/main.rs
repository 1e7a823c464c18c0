//! Feeds in a network and on a platform that fail.

mod bulk;
mod confirm;
mod cost;
mod era;
mod evacuation;
mod fault;
mod parted;
mod piece;
mod quiet;
mod rejected;
mod silent;
mod sparse;
mod spread;
mod truth;
mod world;
