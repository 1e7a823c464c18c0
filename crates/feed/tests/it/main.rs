//! Feeds in a network and on a platform that fail.

mod spread;
mod world;
