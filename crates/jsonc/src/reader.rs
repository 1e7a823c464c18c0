//! Walks a parsed document and collects its faults.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use jsonc_parser::ast::{NumberLit, Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::{Error, Fault, Field, Fields, Lines, Position};

/// Most faults that are listed of one document.
///
/// A wrong file, say a page of a proxy's error, would else fill the operator's screen.
const MAX_FAULTS: usize = 200;

/// Turns values into Rust types and notes a fault for each that does not fit.
///
/// Every method gives `None` after it has noted a fault, so a caller reads on and finds the rest.
#[derive(Debug)]
pub struct Reader<'t> {
    text: &'t str,
    lines: Lines<'t>,
    faults: Vec<Fault>,
}

/// Reads `text` of at most `max` bytes with `build`, which turns the tree into a `T`.
///
/// # Errors
///
/// All faults that `build` noted, or the one place where the text is no JSON with comments.
pub fn read<'t, T>(
    text: &'t str,
    max: usize,
    build: impl FnOnce(&mut Reader<'t>, &Value<'t>) -> Option<T>,
) -> Result<T, Error> {
    let mut reader = Reader::of(text);
    if text.len() > max {
        let cause = format!("{} bytes are too many: expected at most {max}", text.len());
        reader.fault(0, cause);
        return Err(reader.into_error());
    }
    let Some(root) = reader.tree() else {
        return Err(reader.into_error());
    };
    let built = build(&mut reader, &root);
    match built {
        Some(built) if reader.faults.is_empty() => Ok(built),
        _ => Err(reader.into_error()),
    }
}

impl<'t> Reader<'t> {
    fn of(text: &'t str) -> Reader<'t> {
        Reader {
            text,
            lines: Lines::of(text),
            faults: Vec::new(),
        }
    }

    fn tree(&mut self) -> Option<Value<'t>> {
        let parsed = parse_to_ast(self.text, &CollectOptions::default(), &options());
        match parsed {
            Ok(result) if result.value.is_some() => result.value,
            Ok(_) => {
                self.fault(self.text.len(), "the document is empty: expected an object");
                None
            }
            Err(error) => {
                let cause = format!("not JSON with comments: {}", error.kind());
                self.fault(error.range().start, cause);
                None
            }
        }
    }

    fn into_error(mut self) -> Error {
        if self.faults.is_empty() {
            self.fault(0, "the document could not be read");
        }
        self.faults.sort();
        Error::Faults(self.faults)
    }

    /// The place of the byte at offset `at`.
    pub fn position(&self, at: usize) -> Position {
        self.lines.position(at)
    }

    /// Notes a fault at the byte offset `at`.
    pub fn fault(&mut self, at: usize, cause: impl Into<String>) {
        if self.faults.len() >= MAX_FAULTS {
            return;
        }
        let Position { line, column } = self.position(at);
        let cause = cause.into();
        self.faults.push(Fault {
            line,
            column,
            cause,
        });
    }

    /// Notes a fault at a value.
    pub fn fault_at(&mut self, value: &Value<'t>, cause: impl Into<String>) {
        self.fault(value.start(), cause);
    }

    fn mismatch(&mut self, value: &Value<'t>, expected: &str) {
        let cause = format!("found {}: expected {expected}", kind(value));
        self.fault_at(value, cause);
    }

    /// The fields of an object that knows `allowed` only.
    pub fn object<'v>(&mut self, value: &'v Value<'t>, allowed: &[&str]) -> Option<Fields<'v, 't>> {
        let expected = format!("an object of {}", one_of(allowed));
        let object = self.whole_object(value, &expected)?;
        let fields = Fields::of(object);
        for field in fields.iter() {
            self.check_known(&field, allowed);
        }
        Some(fields)
    }

    /// The fields of an object whose names are free.
    pub fn entries<'v>(&mut self, value: &'v Value<'t>, expected: &str) -> Option<Fields<'v, 't>> {
        self.whole_object(value, expected).map(Fields::of)
    }

    fn whole_object<'v>(&mut self, value: &'v Value<'t>, expected: &str) -> Option<&'v Object<'t>> {
        let Value::Object(object) = value else {
            self.mismatch(value, expected);
            return None;
        };
        let mut seen = BTreeSet::new();
        for field in Fields::of(object).iter() {
            if !seen.insert(field.name) {
                let cause = format!("field {:?} is given twice: expected it once", field.name);
                self.fault(field.at, cause);
            }
        }
        Some(object)
    }

    fn check_known(&mut self, field: &Field<'_, 't>, allowed: &[&str]) {
        if !allowed.contains(&field.name) {
            let cause = format!(
                "unknown field {:?}: expected {}",
                field.name,
                one_of(allowed)
            );
            self.fault(field.at, cause);
        }
    }

    /// The value of a field that must be given.
    pub fn required<'v>(&mut self, fields: &Fields<'v, 't>, name: &str) -> Option<&'v Value<'t>> {
        let found = fields.get(name);
        if found.is_none() {
            self.fault(fields.at(), format!("field {name:?} is missing"));
        }
        found
    }

    /// A text.
    pub fn text<'v>(&mut self, value: &'v Value<'t>) -> Option<&'v str> {
        let Value::StringLit(text) = value else {
            self.mismatch(value, "a text in double quotes");
            return None;
        };
        Some(&text.value)
    }

    /// A text that `T` parses.
    pub fn parsed<T>(&mut self, value: &Value<'t>) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.text(value)?;
        match text.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.fault_at(value, error.to_string());
                None
            }
        }
    }

    /// A text that is one of the names of `choices`, as the thing named.
    pub fn choice<T: Clone>(&mut self, value: &Value<'t>, choices: &[(&str, T)]) -> Option<T> {
        let text = self.text(value)?;
        let found = choices.iter().find(|(name, _)| *name == text);
        if found.is_none() {
            let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
            self.fault_at(
                value,
                format!("unknown {text:?}: expected {}", one_of(&names)),
            );
        }
        found.map(|(_, choice)| choice.clone())
    }

    /// A whole number within `range`.
    pub fn whole(&mut self, value: &Value<'t>, range: RangeInclusive<u64>) -> Option<u64> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let Value::NumberLit(number) = value else {
            self.mismatch(value, &expected);
            return None;
        };
        let found = digits(number).filter(|found| range.contains(found));
        if found.is_none() {
            let cause = format!("{} is out of range: expected {expected}", number.value);
            self.fault_at(value, cause);
        }
        found
    }

    /// A whole number within `range`, as `u32`.
    pub fn count(&mut self, value: &Value<'t>, range: RangeInclusive<u32>) -> Option<u32> {
        let wide = u64::from(*range.start())..=u64::from(*range.end());
        let found = self.whole(value, wide)?;
        u32::try_from(found).ok()
    }

    /// The text of a number, which may stand in quotes. Where another system fills the quotes in, they
    /// are empty if it has no such number.
    pub fn numeral<'v>(&mut self, value: &'v Value<'t>) -> Option<&'v str> {
        match value {
            Value::NumberLit(number) => Some(number.value),
            Value::StringLit(text) => Some(&text.value),
            _ => {
                self.mismatch(value, "a number");
                None
            }
        }
    }

    /// `true` or `false`.
    pub fn flag(&mut self, value: &Value<'t>) -> Option<bool> {
        let Value::BooleanLit(flag) = value else {
            self.mismatch(value, "true or false");
            return None;
        };
        Some(flag.value)
    }

    /// The elements of a list with at least one and at most `max`.
    pub fn list<'v>(&mut self, value: &'v Value<'t>, max: usize) -> Option<&'v [Value<'t>]> {
        let Value::Array(array) = value else {
            self.mismatch(value, "a list");
            return None;
        };
        let count = array.elements.len();
        if count == 0 || count > max {
            let cause = format!("a list of {count} elements: expected 1 to {max}");
            self.fault_at(value, cause);
            return None;
        }
        Some(&array.elements)
    }

    /// A single value, or a list of at most `max` of them.
    pub fn one_or_list<'v>(&mut self, value: &'v Value<'t>, max: usize) -> Option<&'v [Value<'t>]> {
        match value {
            Value::Array(_) => self.list(value, max),
            _ => Some(std::slice::from_ref(value)),
        }
    }
}

fn digits(number: &NumberLit<'_>) -> Option<u64> {
    number.value.parse().ok()
}

fn options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

fn one_of(names: &[&str]) -> String {
    match names {
        [name] => name.to_string(),
        _ => format!("one of {}", names.join(", ")),
    }
}

fn kind(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}

/// The byte offset at which a value begins, for [`Reader::position`] and [`Reader::fault`].
pub fn offset(value: &Value<'_>) -> usize {
    value.start()
}
