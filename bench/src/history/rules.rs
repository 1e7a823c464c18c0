//! The rules of a history, and operators who race each other in editing them.

use std::time::Duration;

use standin::Platform;
use store::{Condition, Store};
use tokio::time::{Instant, sleep_until};

use super::record::{Edit, EditEnd};

/// Where the rules lie.
pub(crate) const KEY: &str = "rules";

/// How often a refused edit is tried again, from a fresh read.
const TRIES: usize = 20;

const EDIT: &str = "edit-";

/// The rules with these edits in them.
pub(crate) fn text(edits: &[String]) -> String {
    let edits = edits.iter().map(|name| {
        format!(
            r#"{{ "name": "{name}", "when": {{ "path": "/{name}/**" }},
               "then": {{ "refuse": {{ "status": 403, "reason": "no" }} }} }}, "#
        )
    });
    let edits: String = edits.collect();
    format!(
        r#"{{ "caller": {{ "header": "x-caller" }}, "rules": [ {edits}
            {{ "name": "orders", "when": {{ "method": "POST" }},
              "then": {{ "service": "desk", "once": {{ "header": "idempotency-key" }}, "timeout": "2500ms" }} }},
            {{ "name": "rest", "then": {{ "service": "desk", "timeout": "2500ms" }} }}
        ] }}"#
    )
}

/// The edits that the platform holds now.
pub(crate) async fn kept(store: &Store) -> Result<Vec<String>, store::Error> {
    let object = store.get(KEY).await?;
    Ok(object.map_or_else(Vec::new, |object| names(&object.value)))
}

fn names(value: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(value);
    let quoted = text.split('"').filter(|word| word.starts_with(EDIT));
    quoted.map(ToString::to_string).collect()
}

/// One operator's edits, each at its time.
pub(crate) async fn operate(
    platform: Platform,
    operator: usize,
    times: Vec<Duration>,
    begin: Instant,
) -> Vec<Edit> {
    let store = platform.store_named(&format!("operator-{operator}"));
    let mut edits = Vec::new();
    for (number, at) in times.into_iter().enumerate() {
        sleep_until(begin + at).await;
        let name = format!("{EDIT}{operator}-{number}");
        let end = edit(&store, &name).await;
        let at = begin.elapsed();
        edits.push(Edit { name, at, end });
    }
    edits
}

async fn edit(store: &Store, name: &str) -> EditEnd {
    for _ in 0..TRIES {
        let Ok(Some(object)) = store.get(KEY).await else {
            return EditEnd::Refused;
        };
        let mut edits = names(&object.value);
        edits.push(name.to_string());
        let put = store.put(KEY, text(&edits).into(), Condition::Match(object.version));
        match put.await {
            Ok(_) => return EditEnd::Accepted,
            Err(error) if error.may_have_written() => return EditEnd::Unknown,
            Err(error) if error.is_conflict() => {}
            Err(_) => return EditEnd::Refused,
        }
    }
    EditEnd::Refused
}
