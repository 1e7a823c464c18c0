//! The ordered rules: parse, check, match, explain.
