//! What the entries of the fleet may send again.

use jsonc::{Reader, Value};

const FIELDS: [&str; 2] = ["share", "saved"];
const MAX_SAVED: u32 = 1_000_000;

/// What all entries together may send again to one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Retry {
    /// Repeats for each request; 0.1 by default.
    pub share: f64,
    /// Repeats beyond that, within some seconds; 20 for each entry by default.
    pub saved: Option<u32>,
}

impl Default for Retry {
    fn default() -> Retry {
        Retry {
            share: 0.1,
            saved: None,
        }
    }
}

pub(crate) fn read<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<Retry> {
    let fields = reader.object(value, &FIELDS)?;
    let share = fields.get("share").and_then(|value| share(reader, value));
    let saved = fields
        .get("saved")
        .and_then(|value| reader.count(value, 0..=MAX_SAVED));
    Some(Retry {
        share: share.unwrap_or(Retry::default().share),
        saved,
    })
}

fn share<'t>(reader: &mut Reader<'t>, value: &Value<'t>) -> Option<f64> {
    let text = reader.text(value)?;
    let share = text.parse::<f64>().ok();
    let share = share.filter(|share| (0.0..=1.0).contains(share));
    if share.is_none() {
        reader.fault_at(
            value,
            format!("{text:?} is no share: expected a text from \"0\" to \"1\""),
        );
    }
    share
}
