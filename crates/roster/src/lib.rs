//! Which instances exist, which are live, which leave, and who watches for whom.
