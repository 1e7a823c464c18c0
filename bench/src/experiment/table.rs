//! A comparison as text.

use std::fmt;

use super::compare::{Comparison, FIGURES, Row, Side};
use crate::policy::CLASSES;

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.modes.first().map_or("", |side| side.mode.as_str());
        writeln!(f, "{}, {} seeds", self.workload, self.seeds.len())?;
        writeln!(
            f,
            "Differences are to {first}, seed by seed, with 95 % intervals."
        )?;
        for class in CLASSES {
            writeln!(f, "\n{class}")?;
            write!(f, "{:24}", "")?;
            for figure in FIGURES {
                write!(f, " {:>17}", format!("{} {}", figure.name, figure.unit))?;
            }
            writeln!(f)?;
            for side in &self.modes {
                line(f, side, class)?;
            }
        }
        for side in self.modes.iter().filter(|side| side.false_not_run > 0) {
            let count = side.false_not_run;
            writeln!(
                f,
                "\n{}: {count} refused as not run, and a target saw them",
                side.mode
            )?;
        }
        Ok(())
    }
}

fn line(f: &mut fmt::Formatter<'_>, side: &Side, class: &str) -> fmt::Result {
    write!(f, "{:24}", side.mode)?;
    for row in side.rows.iter().filter(|row| row.class == class) {
        write!(f, " {:>17}", cell(row))?;
    }
    writeln!(f)
}

/// The mean, and behind it the difference: with a star if it is none of chance.
fn cell(row: &Row) -> String {
    let Some(difference) = row.difference else {
        return format!("{:.2}", row.mean);
    };
    let star = if difference.is_clear() { "*" } else { "" };
    let (mean, margin) = (difference.mean, difference.margin);
    format!("{mean:+.2}±{margin:.2}{star}")
}
