//! Reads addresses: an IP number and a port, as a process learns its places from its settings.

use std::net::SocketAddr;

use jsonc::{Fields, Reader, Value};

/// An address together with where it stands in the text.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Place {
    pub(crate) name: &'static str,
    pub(crate) address: SocketAddr,
    /// The byte offset of the address in the text.
    pub(crate) at: usize,
}

/// Reads the address in the field `name`.
pub(crate) fn required<'t>(
    reader: &mut Reader<'t>,
    fields: &Fields<'_, 't>,
    name: &'static str,
) -> Option<Place> {
    let value = reader.required(fields, name)?;
    read(reader, value, name)
}

/// Reads the address in the field `name`, if it is given.
pub(crate) fn optional<'t>(
    reader: &mut Reader<'t>,
    fields: &Fields<'_, 't>,
    name: &'static str,
) -> Option<SocketAddr> {
    let value = fields.get(name)?;
    read(reader, value, name).map(|place| place.address)
}

pub(crate) fn read<'t>(
    reader: &mut Reader<'t>,
    value: &Value<'t>,
    name: &'static str,
) -> Option<Place> {
    let text = reader.text(value)?;
    let Ok(address) = text.parse::<SocketAddr>() else {
        let cause = format!(
            "{text:?} is no address: expected an IP number and a port such as 10.0.0.7:7400 or \
             [::1]:7400"
        );
        reader.fault_at(value, cause);
        return None;
    };
    if address.port() == 0 {
        let cause = format!("{address} has port 0: expected 1 to 65535");
        reader.fault_at(value, cause);
        return None;
    }
    Some(Place {
        name,
        address,
        at: jsonc::offset(value),
    })
}
