//! Faults of a document and their positions.

use quick_error::quick_error;

/// A position in a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
#[display("line {line}, column {column}")]
pub struct Position {
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
}

/// One fault of a document and its position.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
#[display("line {line}, column {column}: {cause}")]
pub struct Fault {
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// What is wrong and, if applicable, what is allowed instead.
    pub cause: String,
}

quick_error! {
    /// The reason why a document was rejected.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum Error {
        /// The faults, sorted by position; there is at least one.
        Faults(faults: Vec<Fault>) {
            display("{}", join_lines(faults))
        }
    }
}

impl Error {
    /// The faults, sorted by position.
    pub fn faults(&self) -> &[Fault] {
        let Error::Faults(faults) = self;
        faults
    }
}

fn join_lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
