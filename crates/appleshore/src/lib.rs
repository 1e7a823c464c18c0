//! A load balancer for servers whose load shifts in milliseconds: a library of coordination parts.
