//! Access to the fields of an object in a document.

use jsonc_parser::ast::{Object, ObjectProp, Value};

/// The fields of one object. Duplicate names have already been recorded as faults.
#[derive(Debug, Clone, Copy)]
pub struct Fields<'v, 't> {
    object: &'v Object<'t>,
}

/// One field of an object.
#[derive(Debug, Clone, Copy)]
pub struct Field<'v, 't> {
    /// The name of the field.
    pub name: &'v str,
    /// The byte offset of the name in the text.
    pub at: usize,
    /// The value of the field.
    pub value: &'v Value<'t>,
}

impl<'v, 't> Fields<'v, 't> {
    pub(crate) fn new(object: &'v Object<'t>) -> Fields<'v, 't> {
        Fields { object }
    }

    /// The byte offset of the object's opening brace, where a missing field is reported.
    pub fn at(&self) -> usize {
        self.object.range.start
    }

    /// The value of the field `name`, if present.
    pub fn get(&self, name: &str) -> Option<&'v Value<'t>> {
        self.iter()
            .find(|field| field.name == name)
            .map(|field| field.value)
    }

    /// The fields in the order of the text.
    pub fn iter(&self) -> impl Iterator<Item = Field<'v, 't>> + use<'v, 't> {
        self.object.properties.iter().map(field)
    }
}

fn field<'v, 't>(property: &'v ObjectProp<'t>) -> Field<'v, 't> {
    Field {
        name: property.name.as_str(),
        at: property.range.start,
        value: &property.value,
    }
}
