//! A comparison as a page with plots that needs no other file.

use std::error::Error;

use maud::{DOCTYPE, Markup, PreEscaped, html};
use plotters::coord::Shift;
use plotters::prelude::*;

use super::compare::{Comparison, FIGURES, Row};
use crate::policy::CLASSES;

/// The size of one plot in pixels.
const SIZE: (u32, u32) = (860, 320);

const STYLE: &str = "body { font-family: sans-serif; max-width: 70em; margin: 2em auto; } \
                     table { border-collapse: collapse; } \
                     th, td { text-align: right; padding: .2em .6em; border-bottom: 1px solid #ddd; } \
                     th:first-child, td:first-child { text-align: left; } \
                     .clear { font-weight: bold; }";

/// Makes the page.
///
/// # Errors
///
/// When a plot can't be drawn.
pub(super) fn render(comparison: &Comparison) -> Result<String, Box<dyn Error>> {
    let title = format!("{}, {} seeds", comparison.workload, comparison.seeds.len());
    let over_time = over_time(comparison)?;
    let differences = differences(comparison)?;
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head { meta charset="utf-8"; title { (title) } style { (STYLE) } }
            body {
                h1 { (title) }
                p {
                    "Means over all seeds. Differences are to the first mode, seed by seed, with the "
                    "95 % interval by Student's t; bold ones exclude zero."
                }
                h2 { "Answered in time, by second" }
                (PreEscaped(over_time))
                @if comparison.modes.len() > 1 {
                    h2 { "Difference in what is answered in time" }
                    (PreEscaped(differences))
                }
                @for class in CLASSES { h2 { (class) } (table(comparison, class)) }
            }
        }
    };
    Ok(page.into_string())
}

fn table(comparison: &Comparison, class: &str) -> Markup {
    html! {
        table {
            tr {
                th { "mode" }
                @for figure in FIGURES { th { (figure.name) ", " (figure.unit) } }
            }
            @for side in &comparison.modes {
                tr {
                    td { (side.mode) }
                    @for row in side.rows.iter().filter(|row| row.class == class) { (cell(row)) }
                }
            }
        }
    }
}

fn cell(row: &Row) -> Markup {
    let mean = format!("{:.2}", row.mean);
    let Some(difference) = row.difference else {
        return html! { td { (mean) } };
    };
    let interval = format!("{:+.2} ± {:.2}", difference.mean, difference.margin);
    let class = difference.is_clear().then_some("clear");
    html! { td { (mean) br; small class=[class] { (interval) } } }
}

/// Draws one plot as SVG.
fn plot(
    draw: impl FnOnce(&DrawingArea<SVGBackend<'_>, Shift>) -> Result<(), Box<dyn Error>>,
) -> Result<String, Box<dyn Error>> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        draw(&area)?;
        area.present()?;
    }
    Ok(svg)
}

/// Requests answered in time for each second of arrival, a line for each mode.
fn over_time(comparison: &Comparison) -> Result<String, Box<dyn Error>> {
    let seconds = comparison
        .modes
        .first()
        .map_or(0, |side| side.seconds.len());
    let counts = comparison.modes.iter().flat_map(|side| &side.seconds);
    let most = counts.map(|second| second[0]).fold(1.0, f64::max);
    plot(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..seconds as f64, 0.0..most * 1.05)?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc("second").y_desc("requests").draw()?;
        for (number, side) in comparison.modes.iter().enumerate() {
            let color = Palette99::pick(number).to_rgba();
            let points = side.seconds.iter().enumerate();
            let points = points.map(|(second, counts)| (second as f64, counts[0]));
            let line = chart.draw_series(LineSeries::new(points, &color))?;
            line.label(side.mode.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        let mut labels = chart.configure_series_labels();
        labels.background_style(WHITE.mix(0.8)).draw()?;
        Ok(())
    })
}

/// The difference of each mode to the first in requests in time, over all classes, with its interval.
fn differences(comparison: &Comparison) -> Result<String, Box<dyn Error>> {
    let of = |rows: &[Row]| {
        let row = rows.iter().find(|row| row.class == CLASSES[0]);
        row.and_then(|row| row.difference)
    };
    let sides = comparison.modes.iter().skip(1);
    let bars: Vec<_> = sides
        .filter_map(|side| Some((side, of(&side.rows)?)))
        .collect();
    let ends = bars.iter().map(|(_, bar)| bar.mean.abs() + bar.margin);
    let most = ends.filter(|end| end.is_finite()).fold(0.1, f64::max) * 1.1;
    plot(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(180)
            .build_cartesian_2d(-most..most, 0.0..bars.len() as f64)?;
        let name = |at: &f64| {
            let bar = bars.get(at.floor() as usize).filter(|_| at.fract() > 0.4);
            bar.map_or(String::new(), |(side, _)| side.mode.clone())
        };
        let mut mesh = chart.configure_mesh();
        mesh.disable_y_mesh()
            .y_labels(bars.len() * 2 + 1)
            .y_label_formatter(&name)
            .x_desc("percent of the requests")
            .draw()?;
        for (place, (_, bar)) in bars.iter().enumerate() {
            let color = Palette99::pick(place + 1).to_rgba();
            let (low, high) = (place as f64 + 0.25, place as f64 + 0.75);
            let body = Rectangle::new([(0.0, low), (bar.mean, high)], color.mix(0.6).filled());
            let (from, to) = (bar.mean - bar.margin, bar.mean + bar.margin);
            let middle = place as f64 + 0.5;
            let whisker = PathElement::new([(from, middle), (to, middle)], BLACK);
            chart.draw_series([body])?;
            chart.draw_series([whisker])?;
        }
        Ok(())
    })
}
