//! Writes a page with charts of the rows as one self-contained HTML file.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use eyre::{Result, WrapErr, eyre};
use plotters::prelude::*;

use super::outcomes::Row;

/// The size of a chart in pixels.
const SIZE: (u32, u32) = (620, 340);

/// The load for which the charts over time are drawn.
const TIMELINE_LOAD_PCT: u32 = 100;

/// The colours of the policies, in the order of their rows.
const COLOURS: [RGBColor; 7] = [
    RGBColor(0xb0, 0x20, 0x20),
    RGBColor(0x20, 0x60, 0xb0),
    RGBColor(0x20, 0x90, 0x50),
    RGBColor(0xc0, 0x80, 0x10),
    RGBColor(0x70, 0x40, 0xa0),
    RGBColor(0x20, 0x90, 0xa0),
    RGBColor(0x60, 0x60, 0x60),
];

/// `Line` holds the points of one policy in a chart.
struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Writes `policy.html` into the directory.
///
/// # Errors
///
/// Returns an error if the directory cannot be created or the page cannot be drawn or written.
pub fn write(dir: &Path, rows: &[Row]) -> Result<()> {
    fs::create_dir_all(dir)
        .wrap_err_with(|| format!("--report: cannot create {}", dir.display()))?;
    let mut html = String::from(
        "<!doctype html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">\n<title>Policy</title>\n\
         <style>body{font-family:sans-serif;margin:2em}svg{margin:4px}</style>\n\
         <h1>Goodput and role changes of the policies</h1>\n",
    );
    for group in groups(rows) {
        let first = group[0];
        writeln!(html, "<h2>{}: {}</h2>", first.deployment, first.scenario)?;
        html.push_str(&chart(
            "Goodput, requests/s, by load in %",
            &by_load(&group, |r| r.goodput),
        )?);
        let changes = by_load(&group, |row| f64::from(row.role_changes));
        html.push_str(&chart("Role changes, by load in %", &changes)?);
        html.push_str(&chart(
            "Goodput at 100% load, requests/s, by minute",
            &goodput_over_time(&group),
        )?);
        html.push_str(&chart(
            "Role changes so far at 100% load, by minute",
            &changes_over(&group),
        )?);
    }
    html.push_str("</html>\n");
    let path = dir.join("policy.html");
    fs::write(&path, html).wrap_err_with(|| format!("--report: cannot write {}", path.display()))
}

/// Groups the rows by site and scenario.
fn groups(rows: &[Row]) -> Vec<Vec<&Row>> {
    let mut groups: Vec<Vec<&Row>> = Vec::new();
    for row in rows {
        let key = |row: &Row| (row.deployment, row.scenario);
        match groups.iter_mut().find(|group| key(group[0]) == key(row)) {
            Some(group) => group.push(row),
            None => groups.push(vec![row]),
        }
    }
    groups
}

fn by_load(rows: &[&Row], value: impl Fn(&Row) -> f64) -> Vec<Line> {
    let mut lines: Vec<Line> = Vec::new();
    for row in rows {
        let point = (f64::from(row.load_pct), value(row));
        match lines.iter_mut().find(|line| line.name == row.policy) {
            Some(line) => line.points.push(point),
            None => lines.push(Line { name: row.policy.to_owned(), points: vec![point] }),
        }
    }
    lines
}

fn goodput_over_time(rows: &[&Row]) -> Vec<Line> {
    let rows = rows.iter().filter(|row| row.load_pct == TIMELINE_LOAD_PCT);
    let line = |row: &&Row| {
        // The first and the last minute are only partly counted.
        let whole = 1..row.by_minute.len().saturating_sub(1).max(1);
        let points = whole.map(|minute| (minute as f64, row.by_minute[minute])).collect();
        Line { name: row.policy.to_owned(), points }
    };
    rows.map(line).collect()
}

fn changes_over(rows: &[&Row]) -> Vec<Line> {
    let rows = rows.iter().filter(|row| row.load_pct == TIMELINE_LOAD_PCT);
    let line = |row: &&Row| {
        let minutes = row.by_minute.len();
        let until = |minute: usize| {
            let so_far = row.changes_at.iter().filter(|at| at.0 / 60_000 <= minute as u64);
            (minute as f64, so_far.count() as f64)
        };
        Line { name: row.policy.to_owned(), points: (0..minutes).map(until).collect() }
    };
    rows.map(line).collect()
}

fn chart(title: &str, lines: &[Line]) -> Result<String> {
    let points = || lines.iter().flat_map(|line| &line.points);
    if points().next().is_none() {
        return Ok(String::new());
    }
    let min_x = points().map(|point| point.0).fold(f64::INFINITY, f64::min);
    let max_x = points().map(|point| point.0).fold(min_x + 1.0, f64::max);
    let max_y = points().map(|point| point.1).fold(1.0, f64::max) * 1.05;
    let mut svg = String::new();
    draw(&mut svg, title, lines, min_x..max_x, max_y)
        .map_err(|err| eyre!("cannot draw a chart: {err}"))?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    title: &str,
    lines: &[Line],
    xs: std::ops::Range<f64>,
    max_y: f64,
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(44)
        .build_cartesian_2d(xs, 0.0..max_y)?;
    chart.configure_mesh().light_line_style(WHITE).draw()?;
    for (line, colour) in lines.iter().zip(COLOURS.iter().cycle()) {
        let series = LineSeries::new(line.points.iter().copied(), colour.stroke_width(2));
        chart
            .draw_series(series)?
            .label(line.name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], *colour));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}
