//! The choice of a target at the entry, and the budgets for measuring and retries.
