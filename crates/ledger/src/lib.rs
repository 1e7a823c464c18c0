//! Claims for requests that may not be repeated, grouped into conditional updates.
