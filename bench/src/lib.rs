//! Benchmarks with regression bounds.
//!
//! - [`policy`] runs the decisions of the entry and the gate against small fake targets on a
//!   simulated clock.
//! - [`experiment`] compares ways to choose and to queue under a workload of one's own.
//! - [`history`] checks concurrent runs of whole daemons under seeded faults.
//! - [`path`] measures on real sockets what two daemons add to a call.
//! - [`capacity`] measures slopes and works out the design size from them.

pub mod capacity;
pub mod experiment;
pub mod history;
pub mod path;
pub mod policy;
