//! The platform's object API: a plain struct of closures, its HTTP adapter, and the call budget.
