//! The ledger on the stand-in: failures, segments, and a race of three owners.

mod common;
mod era;
mod fault;
mod race;
mod segment;
