//! Tests of the ledger on an in-memory platform: store failures, rollbacks of the store, sealed
//! segments, and concurrent owners.

mod common;
mod era;
mod fault;
mod race;
mod segment;
