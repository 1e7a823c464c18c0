//! The role that serves callers: match, claim, choose, relay, answer.
