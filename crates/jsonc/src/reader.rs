//! Converts a parsed document to Rust types and collects its faults.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use jsonc_parser::ast::{NumberLit, Object, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::{Error, Fault, Field, Fields, Lines, Position};

/// The maximum number of faults reported for one document.
///
/// Without a limit, a wrong file such as a proxy's error page would fill the operator's screen.
const MAX_FAULTS: usize = 200;

/// Converts values to Rust types and records a fault for each value that is not allowed.
///
/// A method that cannot return a value records a fault and returns `None`, so that the caller can
/// read on and find the remaining faults. [`read()`] fails if any fault was recorded.
#[derive(Debug)]
pub struct Reader<'t> {
    text: &'t str,
    lines: Lines<'t>,
    faults: Vec<Fault>,
}

/// Parses `text` of at most `max` bytes and converts its root value to a `T` with `build`.
///
/// # Errors
///
/// Returns the faults that `build` recorded, up to a fixed number, or a single fault if the text is
/// too long, empty or not valid JSON with comments.
pub fn read<'t, T>(
    text: &'t str,
    max: usize,
    build: impl FnOnce(&mut Reader<'t>, &Value<'t>) -> Option<T>,
) -> Result<T, Error> {
    let mut reader = Reader::new(text);
    if text.len() > max {
        let cause = format!("{} bytes are too many: expected at most {max}", text.len());
        reader.fault(0, cause);
        return Err(reader.into_error());
    }
    let Some(root) = reader.parse() else {
        return Err(reader.into_error());
    };
    let built = build(&mut reader, &root);
    match built {
        Some(built) if reader.faults.is_empty() => Ok(built),
        _ => Err(reader.into_error()),
    }
}

impl<'t> Reader<'t> {
    fn new(text: &'t str) -> Reader<'t> {
        Reader {
            text,
            lines: Lines::of(text),
            faults: Vec::new(),
        }
    }

    fn parse(&mut self) -> Option<Value<'t>> {
        let parsed = parse_to_ast(self.text, &CollectOptions::default(), &parse_options());
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

    /// The position of the byte at offset `at`.
    pub fn position(&self, at: usize) -> Position {
        self.lines.position(at)
    }

    /// Records a fault at the byte offset `at`, unless the maximum number is reached.
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

    /// Records a fault at the start of `value`.
    pub fn fault_at(&mut self, value: &Value<'t>, cause: impl Into<String>) {
        self.fault(value.start(), cause);
    }

    fn mismatch(&mut self, value: &Value<'t>, expected: &str) {
        let cause = format!("found {}: expected {expected}", kind(value));
        self.fault_at(value, cause);
    }

    /// The fields of an object. Each field that is not in `allowed` is recorded as a fault.
    pub fn object<'v>(&mut self, value: &'v Value<'t>, allowed: &[&str]) -> Option<Fields<'v, 't>> {
        let expected = format!("an object of {}", one_of(allowed));
        let object = self.checked_object(value, &expected)?;
        let fields = Fields::new(object);
        for field in fields.iter() {
            self.check_known(&field, allowed);
        }
        Some(fields)
    }

    /// The fields of an object with arbitrary names. `expected` describes the object in the fault
    /// for any other type.
    pub fn entries<'v>(&mut self, value: &'v Value<'t>, expected: &str) -> Option<Fields<'v, 't>> {
        self.checked_object(value, expected).map(Fields::new)
    }

    /// The object in `value`. Each repeated field is recorded as a fault.
    fn checked_object<'v>(
        &mut self,
        value: &'v Value<'t>,
        expected: &str,
    ) -> Option<&'v Object<'t>> {
        let Value::Object(object) = value else {
            self.mismatch(value, expected);
            return None;
        };
        let mut seen = BTreeSet::new();
        for field in Fields::new(object).iter() {
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

    /// The value of a required field.
    pub fn required<'v>(&mut self, fields: &Fields<'v, 't>, name: &str) -> Option<&'v Value<'t>> {
        let found = fields.get(name);
        if found.is_none() {
            self.fault(fields.at(), format!("field {name:?} is missing"));
        }
        found
    }

    /// The contents of a string.
    pub fn text<'v>(&mut self, value: &'v Value<'t>) -> Option<&'v str> {
        let Value::StringLit(text) = value else {
            self.mismatch(value, "a text in double quotes");
            return None;
        };
        Some(&text.value)
    }

    /// A string, parsed as a `T`.
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

    /// A string that is one of the names in `choices`, converted to the value paired with the name.
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

    /// An integer within `range`.
    pub fn whole(&mut self, value: &Value<'t>, range: RangeInclusive<u64>) -> Option<u64> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let Value::NumberLit(number) = value else {
            self.mismatch(value, &expected);
            return None;
        };
        let found = parse_u64(number).filter(|found| range.contains(found));
        if found.is_none() {
            let cause = format!("{} is out of range: expected {expected}", number.value);
            self.fault_at(value, cause);
        }
        found
    }

    /// An integer within `range`, as `u32`.
    pub fn count(&mut self, value: &Value<'t>, range: RangeInclusive<u32>) -> Option<u32> {
        let wide = u64::from(*range.start())..=u64::from(*range.end());
        let found = self.whole(value, wide)?;
        u32::try_from(found).ok()
    }

    /// The unparsed text of a number, which may be quoted. If another system fills in the quoted
    /// text, it is empty where that system has no such number.
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

    /// A boolean.
    pub fn flag(&mut self, value: &Value<'t>) -> Option<bool> {
        let Value::BooleanLit(flag) = value else {
            self.mismatch(value, "true or false");
            return None;
        };
        Some(flag.value)
    }

    /// The elements of a list of 1 to `max` elements.
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

    /// A single value, or the elements of a list of 1 to `max` values.
    pub fn one_or_list<'v>(&mut self, value: &'v Value<'t>, max: usize) -> Option<&'v [Value<'t>]> {
        match value {
            Value::Array(_) => self.list(value, max),
            _ => Some(std::slice::from_ref(value)),
        }
    }
}

fn parse_u64(number: &NumberLit<'_>) -> Option<u64> {
    number.value.parse().ok()
}

fn parse_options() -> ParseOptions {
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

/// The byte offset at which `value` starts, for [`Reader::position`] and [`Reader::fault`].
pub fn offset(value: &Value<'_>) -> usize {
    value.start()
}
