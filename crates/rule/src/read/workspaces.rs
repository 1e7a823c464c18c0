//! Parses the workspaces of a document.

use std::collections::BTreeMap;

use jsonc::{Reader, Value};
use unit::{Rate, Region};
use workspace::{Directory, KeyDigest, Quota, Salt, Workspace};

use super::MAX_PRIORITY;

const FIELDS: [&str; 5] = ["keys", "priority", "rate", "burst", "regions"];

/// Maximum number of keys of a workspace.
const MAX_KEYS: usize = 1_000;

/// Maximum number of regions of a route or workspace.
const MAX_REGIONS: usize = 64;

const MAX_RATE: Rate = Rate::of(1_000_000_000.0);
const MAX_BURST: u32 = 1_000_000_000;

/// A digest with the byte offset of its text.
type Placed = (usize, KeyDigest);

/// Parses the object of workspaces. The faults of all of them are recorded.
pub(super) fn workspaces<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Directory> {
    let fields = reader.object(value, &["salt", "members"])?;
    let salt = reader.required(&fields, "salt");
    let salt = salt.and_then(|value| reader.parsed::<Salt>(value));
    let members = reader.required(&fields, "members")?;
    let members = reader.entries(members, "an object of workspaces")?;
    // A salt that is missing is a fault already; the members are read on for theirs.
    let mut directory = Directory::new(salt.unwrap_or(Salt::of(b"")));
    let mut places = BTreeMap::new();
    for field in members.iter() {
        let name = field.name.parse::<unit::Workspace>();
        if let Err(cause) = &name {
            reader.fault(field.at, cause.to_string());
        }
        let name = name.ok();
        let Some((workspace, keys)) = member(reader, field.value, name) else {
            continue;
        };
        check_keys(reader, &workspace.name, &keys, &mut places);
        let digests: Vec<KeyDigest> = keys.into_iter().map(|(_, digest)| digest).collect();
        // What is refused here is recorded as a fault by the checks above and by the reader, which
        // finds names that are given twice.
        drop(directory.add(workspace, &digests));
    }
    Some(directory)
}

/// Records a fault for each key that belongs to a workspace already. A fault names places and
/// workspaces, and no digest.
fn check_keys(
    reader: &mut Reader<'_>,
    name: &unit::Workspace,
    keys: &[Placed],
    places: &mut BTreeMap<KeyDigest, (usize, unit::Workspace)>,
) {
    for (at, digest) in keys {
        match places.get(digest) {
            Some((first, owner)) => {
                let first = reader.position(*first);
                let cause = format!(
                    "a key of workspace \"{name}\" already belongs to workspace \"{owner}\" at \
                     {first}: expected it once"
                );
                reader.fault(*at, cause);
            }
            None => {
                places.insert(*digest, (*at, name.clone()));
            }
        }
    }
}

fn member<'t>(
    reader: &mut Reader<'t>,
    value: &Value<'t>,
    name: Option<unit::Workspace>,
) -> Option<(Workspace, Vec<Placed>)> {
    let fields = reader.object(value, &FIELDS)?;
    let keys = fields.get("keys").map(|value| keys(reader, value));
    let priority = fields.get("priority");
    let priority = priority.and_then(|value| reader.count(value, 0..=MAX_PRIORITY));
    let rate = fields.get("rate").and_then(|value| rate(reader, value));
    let burst = fields.get("burst");
    if let (Some(value), None) = (burst, fields.get("rate")) {
        reader.fault_at(
            value,
            "\"burst\" without \"rate\": expected both or neither",
        );
    }
    let burst = burst.and_then(|value| reader.count(value, 0..=MAX_BURST));
    let regions = fields.get("regions");
    let regions = regions.and_then(|value| regions_of(reader, value));
    let workspace = Workspace {
        priority,
        quota: rate
            .filter(|rate| rate.per_second() > 0.0)
            .map(|rate| Quota {
                rate,
                burst: burst.unwrap_or(0),
            }),
        regions,
        ..Workspace::named(name?)
    };
    Some((workspace, keys.unwrap_or_default()))
}

/// Parses the digests of keys. A workspace may have none; then nobody can send its requests.
fn keys<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Vec<Placed> {
    if matches!(value, Value::Array(array) if array.elements.is_empty()) {
        return Vec::new();
    }
    let list = reader.list(value, MAX_KEYS).unwrap_or_default();
    let keys = list.iter().filter_map(|value| {
        let digest = reader.parsed::<KeyDigest>(value)?;
        Some((jsonc::offset(value), digest))
    });
    keys.collect()
}

fn rate<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Rate> {
    let rate: Rate = reader.parsed(value)?;
    if rate > MAX_RATE {
        let cause = format!("{rate} is out of range: expected at most {MAX_RATE}");
        reader.fault_at(value, cause);
        return None;
    }
    Some(rate)
}

/// Parses the regions of a route or workspace. An empty list is a fault: it could mean all regions as
/// well as none.
pub(super) fn regions_of<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Vec<Region>> {
    let list = reader.list(value, MAX_REGIONS)?;
    Some(
        list.iter()
            .filter_map(|value| reader.parsed(value))
            .collect(),
    )
}
