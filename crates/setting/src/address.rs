//! Reads socket addresses, each an IP address and a port.

use std::net::SocketAddr;

use jsonc::{Fields, Reader, Value};

/// An address with the name and the position of the value that gave it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Endpoint {
    /// The name of the field.
    pub(crate) name: &'static str,
    pub(crate) address: SocketAddr,
    /// The byte offset of the address in the text.
    pub(crate) offset: usize,
}

/// Reads the address in the required field `name`.
pub(crate) fn required<'t>(
    reader: &mut Reader<'t>,
    fields: &Fields<'_, 't>,
    name: &'static str,
) -> Option<Endpoint> {
    let value = reader.required(fields, name)?;
    read(reader, value, name)
}

/// Reads the address in the field `name`, if present.
pub(crate) fn optional<'t>(
    reader: &mut Reader<'t>,
    fields: &Fields<'_, 't>,
    name: &'static str,
) -> Option<SocketAddr> {
    let value = fields.get(name)?;
    read(reader, value, name).map(|endpoint| endpoint.address)
}

/// Reads an address from `value`, which belongs to the field `name`.
pub(crate) fn read<'t>(
    reader: &mut Reader<'t>,
    value: &Value<'t>,
    name: &'static str,
) -> Option<Endpoint> {
    let text = reader.text(value)?;
    let Ok(address) = text.parse::<SocketAddr>() else {
        let cause = format!(
            "{text:?} is not an address: expected an IP number and a port such as 10.0.0.7:7400 or \
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
    Some(Endpoint {
        name,
        address,
        offset: jsonc::offset(value),
    })
}
