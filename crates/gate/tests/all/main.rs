//! Tests of the gate: invariants, admission rules, each mechanism on its own, and the tokio guards.

mod admission;
mod cold_start;
mod common;
mod invariant;
mod law;
mod schedule;

mod shares;
mod shell;
mod short;
mod slowdown;
mod suspect;
mod throttle;
mod token;
mod urgency;
mod warmup;
