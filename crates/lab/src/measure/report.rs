//! Report of a measurement as an HTML page with plots.

use std::fmt::Write;

use plotters::prelude::*;

use super::MeasureError;
use super::outcome::Measurement;
use super::outcome::Outcome;

/// Width and height of a plot in pixels.
const PLOT_SIZE_PX: (u32, u32) = (960, 280);

/// Values over the time of a run, for one plot.
struct Series {
    caption: &'static str,
    /// Time in milliseconds, and value.
    points: Vec<(u64, u64)>,
}

/// Renders a measurement as an HTML page.
///
/// # Errors
///
/// Fails if a plot cannot be drawn.
pub fn page(measurement: &Measurement) -> Result<String, MeasureError> {
    let mut page = String::from(
        "<!doctype html><meta charset=utf-8><title>mustardbay measurement</title>\
         <style>body{font-family:sans-serif;margin:2em}td{padding:0 1em}</style>",
    );
    for outcome in &measurement.outcomes {
        page.push_str(&section(measurement, outcome)?);
    }
    Ok(page)
}

/// Renders the table and the plots of one deployment.
fn section(measurement: &Measurement, outcome: &Outcome) -> Result<String, MeasureError> {
    let mut html = format!(
        "<h1>{}</h1><p>{} s, seed {}, settings: {}</p><table>",
        outcome.deployment,
        outcome.seconds,
        measurement.seed,
        escape(&measurement.settings.join("; "))
    );
    for (name, value) in outcome.rows() {
        write!(html, "<tr><td>{}<td>{}</tr>", escape(&name), escape(&value)).map_err(plot_error)?;
    }
    html.push_str("</table>");
    for series in series(outcome) {
        html.push_str(&plot(outcome, &series)?);
    }
    Ok(html)
}

fn series(outcome: &Outcome) -> Vec<Series> {
    let slices = &outcome.slices;
    let points = |value: fn(&super::outcome::Slice) -> u64| {
        let points = slices.iter().map(|slice| (slice.at_ms, value(slice)));
        points.collect()
    };
    vec![
        Series {
            caption: "writes answered in a quarter of a second",
            points: points(|slice| slice.writes),
        },
        Series {
            caption: "reads answered in a quarter of a second",
            points: points(|slice| slice.reads),
        },
        Series {
            caption: "99th percentile of read latency, microseconds",
            points: points(|slice| slice.read_p99_us),
        },
    ]
}

/// Renders a plot as SVG.
fn plot(outcome: &Outcome, series: &Series) -> Result<String, MeasureError> {
    let mut svg = String::new();
    draw(outcome, series, &mut svg)?;
    Ok(svg)
}

/// Draws a series as a line, with a vertical mark for each fault.
fn draw(outcome: &Outcome, series: &Series, svg: &mut String) -> Result<(), MeasureError> {
    let end = series.points.last().map_or(1, |(at, _)| *at);
    let top = series.points.iter().map(|(_, value)| *value).max();
    let top = top.unwrap_or(0).max(1);
    let root = SVGBackend::with_string(svg, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE).map_err(plot_error)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(series.caption, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(64)
        .build_cartesian_2d(0..end, 0..top)
        .map_err(plot_error)?;
    let mut mesh = chart.configure_mesh();
    mesh.disable_x_mesh().draw().map_err(plot_error)?;
    let line = LineSeries::new(series.points.iter().copied(), &BLUE);
    chart.draw_series(line).map_err(plot_error)?;
    for fault in &outcome.faults {
        let mark = [(fault.at_ms, 0), (fault.at_ms, top)];
        let line = LineSeries::new(mark, &RED);
        chart.draw_series(line).map_err(plot_error)?;
        let style = ("sans-serif", 10).into_font().color(&RED);
        let label = Text::new(fault.name.clone(), (fault.at_ms, top), style);
        let label = std::iter::once(label);
        chart.draw_series(label).map_err(plot_error)?;
    }
    root.present().map_err(plot_error)
}

fn plot_error(error: impl std::fmt::Display) -> MeasureError {
    MeasureError::Plot(error.to_string())
}

/// Escapes text for HTML element content.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
