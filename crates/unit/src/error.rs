//! Why a text is not an id, a size or a rate.

use quick_error::quick_error;

quick_error! {
    /// A text that does not parse, with what was expected in its place.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The text is not of the shape that `what` asks for.
        Shape(what: &'static str, text: String, expected: &'static str) {
            display("{text:?} is not {what}: expected {expected}")
        }
    }
}

impl Error {
    pub(crate) fn shape(what: &'static str, text: &str, expected: &'static str) -> Error {
        Error::Shape(what, text.to_string(), expected)
    }
}
