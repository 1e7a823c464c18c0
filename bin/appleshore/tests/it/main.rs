//! The command line as an operator runs it: the built binary, against the store's stand-in.

mod daemon;
mod document;
mod evacuate;
mod kit;
mod race;
mod top;
mod trace;
