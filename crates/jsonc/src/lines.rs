//! Finds the line and column of an offset.

use crate::Position;

/// Where the lines of a text begin.
#[derive(Debug, Clone)]
pub struct Lines<'t> {
    text: &'t str,
    starts: Vec<usize>,
}

impl<'t> Lines<'t> {
    /// Looks through `text` once for its lines.
    pub fn of(text: &'t str) -> Lines<'t> {
        let ends = text.match_indices('\n').map(|(at, _)| at + 1);
        Lines {
            text,
            starts: std::iter::once(0).chain(ends).collect(),
        }
    }

    /// The place of the byte at offset `at`.
    ///
    /// It counts the characters of the line before `at`: ask only for places that are shown, since
    /// a document may be one line of a megabyte.
    pub fn position(&self, at: usize) -> Position {
        let line = self.starts.partition_point(|start| *start <= at).max(1);
        let start = self.starts[line - 1];
        let before = self.text.get(start..at).unwrap_or_default();
        Position {
            line,
            column: before.chars().count() + 1,
        }
    }
}
