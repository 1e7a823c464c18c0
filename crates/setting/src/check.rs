//! Checks that addresses are allowed for their purpose and do not conflict.

use std::net::IpAddr;

use jsonc::Reader;

use crate::address::Endpoint;

/// Records a fault for each address that uses the port of an earlier one in `endpoints`.
///
/// `link` uses UDP and could share a port with the others. It needs its own port all the same, so
/// that a port in a dump or a firewall log identifies its purpose.
pub(crate) fn distinct_ports(reader: &mut Reader<'_>, endpoints: &[Endpoint]) {
    for (i, endpoint) in endpoints.iter().enumerate() {
        let earlier = endpoints[..i]
            .iter()
            .find(|earlier| overlap(earlier, endpoint));
        if let Some(earlier) = earlier {
            let (name, other, port) = (endpoint.name, earlier.name, endpoint.address.port());
            let cause = format!("{name:?} has the port {port} of {other:?}: expected its own");
            reader.fault(endpoint.offset, cause);
        }
    }
}

fn overlap(a: &Endpoint, b: &Endpoint) -> bool {
    let (ip_a, ip_b) = (a.address.ip(), b.address.ip());
    let same_ip = ip_a == ip_b || ip_a.is_unspecified() || ip_b.is_unspecified();
    same_ip && a.address.port() == b.address.port()
}

/// Records a fault for an unspecified IP address, which others cannot connect to.
pub(crate) fn specified(reader: &mut Reader<'_>, endpoint: &Endpoint) {
    if endpoint.address.ip().is_unspecified() {
        let Endpoint {
            name,
            address,
            offset,
        } = *endpoint;
        let cause = format!("{name:?} is {address}: expected an address that others can reach");
        reader.fault(offset, cause);
    }
}

/// Records a fault for an outbound address that other machines could reach.
///
/// The daemon trusts the urgency and deadline of a nested call that arrives there. If the address
/// were reachable from outside, any caller could mark its batch requests as urgent.
pub(crate) fn outbound(reader: &mut Reader<'_>, outbound: &Endpoint, target: Option<&Endpoint>) {
    let ip = outbound.address.ip();
    let target = target.map(|target| target.address.ip());
    let shares_target_ip = target == Some(ip) && !ip.is_unspecified();
    if ip.is_loopback() || shares_target_ip {
        return;
    }
    let cause =
        format!("\"outbound\" is on {ip}: expected loopback or the IP number of \"target\"");
    reader.fault(outbound.offset, cause);
}

/// Records a fault for an operator address that other machines could reach, unless `public` is set.
pub(crate) fn operator(reader: &mut Reader<'_>, operator: &Endpoint, public: bool) {
    let ip: IpAddr = operator.address.ip();
    if ip.is_loopback() || public {
        return;
    }
    let cause = format!("\"operator\" is on {ip}: expected loopback, or \"operator_public\": true");
    reader.fault(operator.offset, cause);
}
