//! The role beside a target: takes calls off the link, passes them through the gate, relays to the target.
