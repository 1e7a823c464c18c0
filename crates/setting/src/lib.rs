//! The settings of one daemon, checked whole before start.
