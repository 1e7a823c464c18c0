//! The HTTP adapter against the stand-in's server, and the call budget.

mod budget;
mod http;
mod transfer;
