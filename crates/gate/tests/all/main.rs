//! Tests of the gate: what always holds, what each mechanism is for, and the guards.

mod admission;
mod cold_start;
mod common;
mod invariant;
mod law;
mod shell;
mod slowdown;
mod suspect;
mod token;
