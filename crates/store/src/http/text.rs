//! The JSON of lists and changes.
//!
//! A value that is UTF-8 stands as `text`, any other as lower-case `hex`, which doubles its size.
//! Lists and watches are therefore meant for prefixes of small text objects; large binary objects
//! are read one by one, where the value travels as it is.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use unit::Version;

use crate::{Change, Deletion, Listing, Object};

#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    key: String,
    version: Version,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    hex: Option<String>,
}

#[derive(Debug, Serialize, Deserialize)]
struct Gone {
    key: String,
    version: Version,
}

#[derive(Debug, Serialize, Deserialize)]
struct List {
    objects: Vec<Entry>,
    revision: Version,
}

#[derive(Debug, Serialize, Deserialize)]
struct Changes {
    changed: Vec<Entry>,
    deleted: Vec<Gone>,
    revision: Version,
}

/// A list as JSON.
pub fn listing(listing: &Listing) -> Bytes {
    render(&List {
        objects: listing.objects.iter().map(entry).collect(),
        revision: listing.revision,
    })
}

/// A change as JSON.
pub fn change(change: &Change) -> Bytes {
    let deleted = change.deleted.iter().map(|deletion| Gone {
        key: deletion.key.clone(),
        version: deletion.version,
    });
    render(&Changes {
        changed: change.changed.iter().map(entry).collect(),
        deleted: deleted.collect(),
        revision: change.revision,
    })
}

/// Reads a list from JSON.
///
/// # Errors
///
/// Where the JSON is not a list, in words.
pub fn parse_listing(body: &[u8]) -> Result<Listing, String> {
    let list: List = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    Ok(Listing {
        objects: objects(list.objects)?,
        revision: list.revision,
    })
}

/// Reads a change from JSON.
///
/// # Errors
///
/// Where the JSON is not a change, in words.
pub fn parse_change(body: &[u8]) -> Result<Change, String> {
    let changes: Changes = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let deleted = changes.deleted.into_iter().map(|gone| Deletion {
        key: gone.key,
        version: gone.version,
    });
    Ok(Change {
        changed: objects(changes.changed)?,
        deleted: deleted.collect(),
        revision: changes.revision,
    })
}

fn render<T: Serialize>(value: &T) -> Bytes {
    // Strings and numbers alone can't fail to render.
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

fn entry(object: &Object) -> Entry {
    let text = std::str::from_utf8(&object.value).ok().map(str::to_string);
    let hex = text.is_none().then(|| to_hex(&object.value));
    Entry {
        key: object.key.clone(),
        version: object.version,
        text,
        hex,
    }
}

fn objects(entries: Vec<Entry>) -> Result<Vec<Object>, String> {
    entries.into_iter().map(object).collect()
}

fn object(entry: Entry) -> Result<Object, String> {
    let value = match (entry.text, entry.hex) {
        (Some(text), None) => Bytes::from(text),
        (None, Some(hex)) => from_hex(&hex).ok_or_else(|| format!("bad hex at {}", entry.key))?,
        _ => return Err(format!("{} has no single value", entry.key)),
    };
    Ok(Object {
        key: entry.key,
        value,
        version: entry.version,
    })
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(hex: &str) -> Option<Bytes> {
    if !hex.len().is_multiple_of(2) || !hex.is_ascii() {
        return None;
    }
    let byte = |i: usize| u8::from_str_radix(hex.get(i..i + 2)?, 16).ok();
    let bytes: Option<Vec<u8>> = (0..hex.len()).step_by(2).map(byte).collect();
    bytes.map(Bytes::from)
}
