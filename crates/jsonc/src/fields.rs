//! The fields of one object of a document.

use jsonc_parser::ast::{Object, ObjectProp, Value};

/// The fields of one object, each known to stand there once.
#[derive(Debug, Clone, Copy)]
pub struct Fields<'v, 't> {
    object: &'v Object<'t>,
}

/// One field of an object whose names are free.
#[derive(Debug, Clone, Copy)]
pub struct Field<'v, 't> {
    /// The field's name.
    pub name: &'v str,
    /// The byte offset of the name.
    pub at: usize,
    /// The field's value.
    pub value: &'v Value<'t>,
}

impl<'v, 't> Fields<'v, 't> {
    pub(crate) fn of(object: &'v Object<'t>) -> Fields<'v, 't> {
        Fields { object }
    }

    /// The byte offset of the object's opening brace, for faults about what is missing.
    pub fn at(&self) -> usize {
        self.object.range.start
    }

    /// The value of the field `name`, if it is given.
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
