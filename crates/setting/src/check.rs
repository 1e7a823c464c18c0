//! Checks addresses against each other.

use std::net::IpAddr;

use jsonc::Reader;

use crate::address::Place;

/// Faults each address whose port another one in `places` takes already.
///
/// `link` is UDP and could share a port with the others; we ask for its own all the same, so that
/// an operator who reads a port in a dump or a firewall's log knows what it is.
pub(crate) fn distinct(reader: &mut Reader<'_>, places: &[Place]) {
    for (i, place) in places.iter().enumerate() {
        let earlier = places[..i].iter().find(|earlier| overlap(earlier, place));
        if let Some(earlier) = earlier {
            let (name, other, port) = (place.name, earlier.name, place.address.port());
            let cause = format!("{name:?} has the port {port} of {other:?}: expected its own");
            reader.fault(place.at, cause);
        }
    }
}

fn overlap(a: &Place, b: &Place) -> bool {
    let (ip_a, ip_b) = (a.address.ip(), b.address.ip());
    let same_ip = ip_a == ip_b || ip_a.is_unspecified() || ip_b.is_unspecified();
    same_ip && a.address.port() == b.address.port()
}

/// Faults an address that others can't connect to.
pub(crate) fn specified(reader: &mut Reader<'_>, place: &Place) {
    if place.address.ip().is_unspecified() {
        let Place { name, address, at } = *place;
        let cause = format!("{name:?} is {address}: expected an address that others can reach");
        reader.fault(at, cause);
    }
}

/// Faults an outbound address that other machines could reach.
///
/// Urgency and deadline of a nested call are taken from whoever sends it there. Reachable from
/// outside, any caller could mark its batch as urgent.
pub(crate) fn outbound(reader: &mut Reader<'_>, outbound: &Place, target: Option<&Place>) {
    let ip = outbound.address.ip();
    let target = target.map(|target| target.address.ip());
    let shares = target == Some(ip) && !ip.is_unspecified();
    if ip.is_loopback() || shares {
        return;
    }
    let cause =
        format!("\"outbound\" is on {ip}: expected loopback or the IP number of \"target\"");
    reader.fault(outbound.at, cause);
}

/// Faults an operator's address that other machines could reach, unless that is asked for.
pub(crate) fn operator(reader: &mut Reader<'_>, operator: &Place, public: bool) {
    let ip: IpAddr = operator.address.ip();
    if ip.is_loopback() || public {
        return;
    }
    let cause = format!("\"operator\" is on {ip}: expected loopback, or \"operator_public\": true");
    reader.fault(operator.at, cause);
}
