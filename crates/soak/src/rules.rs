//! The rules that the daemons of a run have.

use std::time::Duration;

use workspace::{Key, Salt};

use crate::workspaces::{Bounds, Member, Members};

/// The longest that a caller waits, by the rules.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(2);

/// A removed key is refused everywhere so long after the store has acknowledged its removal.
pub(crate) const REVOKE: Duration = Duration::from_secs(5);
/// How requests are counted. A short window with little beside the limit shows excess soon.
pub(crate) const WINDOW: Duration = Duration::from_secs(2);
pub(crate) const OVERAGE: f64 = 0.1;
pub(crate) const SLACK: u32 = 2;

/// What the settings bound.
pub(crate) fn bounds() -> Bounds {
    Bounds {
        revoke: REVOKE,
        window: WINDOW,
        overage: OVERAGE,
        slack: SLACK,
    }
}

/// The workspaces of the rules, with a comma behind them.
fn workspaces(members: &Members) -> String {
    let salt = Salt::of(b"soak");
    let member = |(name, member): (&String, &Member)| {
        let keys = member
            .keys
            .iter()
            .filter_map(|key| Key::new(key.as_bytes()));
        let keys: Vec<String> = keys
            .map(|key| format!("{:?}", salt.digest(&key).to_string()))
            .collect();
        let quota = member.quota.map_or(String::new(), |quota| {
            let rate = quota.rate.per_second();
            format!(r#", "rate": "{rate}/s", "burst": {}"#, quota.burst)
        });
        format!(r#""{name}": {{ "keys": [{}]{quota} }}"#, keys.join(", "))
    };
    let members: Vec<String> = members.iter().map(member).collect();
    let members = members.join(",\n        ");
    format!(
        r#""workspaces": {{ "salt": "{salt}", "members": {{
        {members}
    }} }},"#
    )
}

/// Version `number` of the rules; all versions treat requests alike, but for what they say of workspaces.
pub(crate) fn text(number: u64, members: Option<&Members>) -> String {
    let workspaces = members.map_or(String::new(), workspaces);
    format!(
        r#"{{
    // Version {number}.
    {workspaces}
    "caller": {{ "header": "x-caller" }},
    "rules": [
        {{ "name": "orders", "when": {{ "method": "POST", "path": "/order/**" }},
          "then": {{ "service": "desk", "once": {{ "header": "idempotency-key" }}, "timeout": "2s" }} }},
        {{ "name": "bookings", "when": {{ "method": "POST" }},
          "then": {{ "service": "desk", "repeat": false, "timeout": "2s" }} }},
        {{ "name": "rest", "then": {{ "service": "desk", "timeout": "2s" }} }}
    ]
}}"#
    )
}
