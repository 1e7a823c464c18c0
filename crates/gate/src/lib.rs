//! The only way to a target: slots, queues, fairness, deadlines, tokens, suspects.
