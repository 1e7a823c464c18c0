//! Converts byte offsets to lines and columns.

use crate::Position;

/// An index of the line starts of a text.
#[derive(Debug, Clone)]
pub struct Lines<'t> {
    text: &'t str,
    starts: Vec<usize>,
}

impl<'t> Lines<'t> {
    /// Scans `text` once and records where its lines start.
    pub fn of(text: &'t str) -> Lines<'t> {
        let after_breaks = text.match_indices('\n').map(|(at, _)| at + 1);
        Lines {
            text,
            starts: std::iter::once(0).chain(after_breaks).collect(),
        }
    }

    /// The position of the byte at offset `at`.
    ///
    /// The cost is linear in the length of the line before `at`. Call it only for positions that
    /// are shown, since a document may consist of a single line of a megabyte.
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
