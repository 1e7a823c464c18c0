//! Metrics of what callers make this process hold.

use std::fmt;

use clients::Count;
use prometheus_client::encoding::DescriptorEncoder;

use crate::metric::{encode_counters, gauge};

pub(crate) fn encode(encoder: &mut DescriptorEncoder<'_>, count: &Count) -> fmt::Result {
    gauge(
        encoder,
        "client_connections",
        "Connections of callers",
        count.connections,
    )?;
    gauge(
        encoder,
        "client_bytes",
        "What the callers make this process and its sockets hold",
        count.held,
    )?;
    let counters = [
        (
            "clients_shed",
            "Connections closed for what they held while waiting for their callers",
            count.shed,
        ),
        (
            "clients_evicted",
            "Connections that waited for their callers, closed to make room for others",
            count.evicted,
        ),
        (
            "clients_turned_away",
            "Connections for which there was no room",
            count.turned_away,
        ),
        (
            "clients_refused",
            "Requests refused for lack of memory",
            count.refused,
        ),
    ];
    encode_counters(encoder, &counters)
}
