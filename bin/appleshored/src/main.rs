//! The daemon that runs beside a target.

fn main() {}
