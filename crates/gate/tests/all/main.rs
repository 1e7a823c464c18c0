//! Tests of the gate: what always holds, what each mechanism is for, and the guards.

mod admission;
mod fresh;
mod invariant;
mod kit;
mod law;
mod shell;
mod spell;
mod suspect;
mod token;
