//! Frames and mutually authenticated links between daemons, over quinn.
