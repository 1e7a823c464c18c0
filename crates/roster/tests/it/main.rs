//! What a roster holds to when instances, links, zones and the platform fail.

mod fan;
mod join;
mod listing;
mod parted;
mod removal;
mod world;
