//! How rules and roster reach every daemon: watchers, relays, fall-backs.
