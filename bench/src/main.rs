//! Benchmarks.

fn main() {}
