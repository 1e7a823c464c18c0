//! Measured points and the straight line through them.

use std::fmt;

use serde::Serialize;

/// One measured point.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Point {
    /// The size that was set.
    pub x: f64,
    /// What was measured at it.
    pub y: f64,
}

/// A line by least squares, and how far the points lie from it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    /// What each unit of x adds.
    pub slope: f64,
    /// What is there at x = 0.
    pub base: f64,
    /// The largest distance of a point from the line, as a share of the largest y.
    pub residual: f64,
}

/// Points of one experiment with their fit.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Slope {
    /// What was measured, with its unit.
    pub what: String,
    /// What x counts.
    pub per: String,
    /// The points, in the order in which they were measured.
    pub points: Vec<Point>,
    /// The line through them.
    pub fit: Fit,
}

impl Fit {
    /// The line through `points` by least squares.
    pub fn of(points: &[Point]) -> Fit {
        let count = points.len() as f64;
        let mean = |value: fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (x, y) = (mean(|p| p.x), mean(|p| p.y));
        let spread: f64 = points.iter().map(|p| (p.x - x).powi(2)).sum();
        let joint: f64 = points.iter().map(|p| (p.x - x) * (p.y - y)).sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
        let base = y - slope * x;
        let off = |p: &Point| (p.y - base - slope * p.x).abs();
        let most = points.iter().map(off).fold(0.0, f64::max);
        let largest = points.iter().map(|p| p.y.abs()).fold(0.0, f64::max);
        let residual = if largest > 0.0 { most / largest } else { 0.0 };
        Fit {
            slope,
            base,
            residual,
        }
    }

    /// The line's value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

impl Slope {
    /// Fits `points`, pairs of a size and what was measured at it.
    pub fn of(what: &str, per: &str, points: &[(usize, f64)]) -> Slope {
        let points: Vec<Point> = points
            .iter()
            .map(|(x, y)| Point {
                x: *x as f64,
                y: *y,
            })
            .collect();
        Slope {
            what: what.to_string(),
            per: per.to_string(),
            fit: Fit::of(&points),
            points,
        }
    }

    /// The line's value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.fit.at(x)
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let points = self.points.iter();
        let points: Vec<String> = points.map(|p| format!("{}: {}", p.x, short(p.y))).collect();
        write!(
            f,
            "| {} | {} | {} | {} | {} | {:.0}% |",
            self.what,
            self.per,
            points.join(", "),
            short(self.fit.slope),
            short(self.fit.base),
            self.fit.residual * 100.0,
        )
    }
}

/// A number with three digits that count.
pub(crate) fn short(value: f64) -> String {
    let size = value.abs();
    if size >= 1_000.0 {
        let whole = format!("{:.0}", value.abs());
        let (mut text, first) = (String::new(), whole.len() % 3);
        for (place, digit) in whole.chars().enumerate() {
            if place > 0 && place % 3 == first {
                text.push(',');
            }
            text.push(digit);
        }
        return if value < 0.0 {
            format!("-{text}")
        } else {
            text
        };
    }
    match size {
        100.0.. => format!("{value:.0}"),
        10.0.. => format!("{value:.1}"),
        1.0.. => format!("{value:.2}"),
        0.0 => "0".to_string(),
        _ => format!("{value:.3}"),
    }
}
