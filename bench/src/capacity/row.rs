//! One row of the table: a figure of a role against its limit.

use serde::Serialize;

use super::design;
use super::slope::short;

/// One figure against its limit.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// The role.
    pub role: &'static str,
    /// What is counted.
    pub what: String,
    /// The figure, with its unit.
    pub figure: String,
    /// The limit, with its unit; empty where none was given.
    pub limit: String,
    /// The figure as a share of the limit.
    pub share: Option<f64>,
    /// What carries it.
    pub mechanism: &'static str,
}

/// A limit of the design.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Limit {
    Core,
    Memory,
    Bytes,
    Force,
    Reads,
    None,
}

impl Limit {
    fn value(self) -> Option<f64> {
        match self {
            Limit::Core => Some(design::CORE * 1e6),
            Limit::Memory => Some(design::MEMORY),
            Limit::Bytes => Some(design::BYTES),
            Limit::Force => Some(design::FORCE),
            Limit::Reads => Some(design::READS),
            Limit::None => None,
        }
    }

    fn show(self, figure: f64) -> String {
        match self {
            Limit::Core => format!("{:.3}% of a core", figure / 1e4),
            Limit::Memory => format!("{:.2} MB", figure / 1e6),
            Limit::Bytes => format!("{} B/s", short(figure)),
            Limit::Force => format!("{} s", short(figure)),
            Limit::Reads => format!("{} calls/s", short(figure)),
            Limit::None => short(figure),
        }
    }
}

pub(crate) fn row(
    role: &'static str,
    what: impl Into<String>,
    figure: f64,
    limit: Limit,
    mechanism: &'static str,
) -> Row {
    Row {
        role,
        what: what.into(),
        figure: limit.show(figure),
        limit: limit.value().map(|l| limit.show(l)).unwrap_or_default(),
        share: limit.value().map(|l| figure / l),
        mechanism,
    }
}

/// A figure without a limit of its own.
pub(crate) fn plain(role: &'static str, what: &str, figure: String) -> Row {
    Row {
        role,
        what: what.to_string(),
        figure,
        limit: String::new(),
        share: None,
        mechanism: "",
    }
}

/// Microseconds a second as a share of a core.
pub(crate) fn core(us: f64) -> String {
    Limit::Core.show(us)
}
