//! What is wrong in a document, and where.

use quick_error::quick_error;

/// A place in a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
#[display("line {line}, column {column}")]
pub struct Position {
    /// The line, counted from 1.
    pub line: usize,
    /// The character in the line, counted from 1.
    pub column: usize,
}

/// One fault of a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
#[display("line {line}, column {column}: {cause}")]
pub struct Fault {
    /// The line, counted from 1.
    pub line: usize,
    /// The character in the line, counted from 1.
    pub column: usize,
    /// What is wrong and what is allowed in its place.
    pub cause: String,
}

quick_error! {
    /// A document that was refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The faults in the order of the text; there is at least one.
        Faults(faults: Vec<Fault>) {
            display("{}", lines(faults))
        }
    }
}

impl Error {
    /// The faults in the order of the text.
    pub fn faults(&self) -> &[Fault] {
        let Error::Faults(faults) = self;
        faults
    }
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
