//! Failure tests of the decisions at the entry.

mod budget;
mod choice;
mod subset;
mod world;
