//! Prints results as plain tables, JSON or SVG charts.

use std::error::Error;
use std::fmt;
use std::path::Path;

use plotters::prelude::*;
use serde_json::{json, Value};

/// Rows of text under a head, printed aligned with numbers right-aligned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    pub title: String,
    pub head: Vec<String>,
    pub rows: Vec<Vec<String>>,
    /// Notes below the table: assumptions, and what was not run.
    pub notes: Vec<String>,
}

impl Table {
    /// An empty table.
    pub fn new(title: impl Into<String>, head: &[&str]) -> Table {
        let head = head.iter().map(|h| (*h).to_owned()).collect();
        Table { title: title.into(), head, rows: Vec::new(), notes: Vec::new() }
    }

    /// Adds a row.
    pub fn row<T: Into<String>>(&mut self, cells: impl IntoIterator<Item = T>) {
        self.rows.push(cells.into_iter().map(Into::into).collect());
    }

    /// Adds a note.
    pub fn note(&mut self, text: impl Into<String>) {
        self.notes.push(text.into());
    }

    /// The table as JSON.
    pub fn json(&self) -> Value {
        json!({ "title": self.title, "head": self.head, "rows": self.rows, "notes": self.notes })
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(f, "{}\n", self.title)?;
        let lines: Vec<&Vec<String>> = std::iter::once(&self.head).chain(&self.rows).collect();
        let width = |column: usize| {
            lines.iter().filter_map(|l| l.get(column)).map(|c| c.chars().count()).max().unwrap_or(0)
        };
        let names = self.rows.iter().filter_map(|r| r.first()).any(|cell| number(cell).is_none());
        for line in &lines {
            let cells = line.iter().enumerate().map(|(i, cell)| {
                let wide = width(i);
                if i == 0 && names {
                    format!("{cell:<wide$}")
                } else {
                    format!("{cell:>wide$}")
                }
            });
            writeln!(f, "{}", cells.collect::<Vec<_>>().join("  ").trim_end())?;
        }
        for note in &self.notes {
            writeln!(f, "\n{note}")?;
        }
        Ok(())
    }
}

/// The number at the start of a cell; it may have thousands separators.
fn number(cell: &str) -> Option<f64> {
    let word = cell.split_whitespace().next()?.trim_end_matches('%').replace(',', "");
    word.parse().ok().filter(|n: &f64| n.is_finite())
}

/// Rounds to an integer with thousands separators.
pub fn whole(n: f64) -> String {
    let digits = format!("{:.0}", n.abs());
    let groups = digits.as_bytes().rchunks(3).rev().map(|g| String::from_utf8_lossy(g).into_owned());
    let sign = if n < 0.0 { "-" } else { "" };
    format!("{sign}{}", groups.collect::<Vec<_>>().join(","))
}

/// Formats three significant digits.
pub fn short(n: f64) -> String {
    match n.abs() {
        x if x >= 1000.0 => whole(n),
        x if x >= 100.0 => format!("{n:.0}"),
        x if x >= 10.0 => format!("{n:.1}"),
        x if x >= 1.0 || x == 0.0 => format!("{n:.2}"),
        _ => format!("{n:.3}"),
    }
}

/// The median of several runs, with minimum and maximum.
pub fn spread(values: &[f64]) -> String {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    match sorted[..] {
        [] => "-".to_owned(),
        [one] => short(one),
        [least, .., most] => {
            let (low, high) = (sorted[(sorted.len() - 1) / 2], sorted[sorted.len() / 2]);
            format!("{} ({} to {})", short((low + high) / 2.0), short(least), short(most))
        }
    }
}

const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 110, 60),
    RGBColor(190, 30, 30),
    RGBColor(30, 60, 190),
    RGBColor(190, 120, 0),
    RGBColor(120, 0, 140),
    RGBColor(90, 90, 90),
];

/// Draws each numeric column against the first, both relative to their first row, on logarithmic scales:
/// linear growth is the diagonal. Tables whose first column doesn't hold increasing numbers are left out.
///
/// # Errors
/// If the file can't be written.
pub fn draw(file: &Path, tables: &[Table]) -> Result<(), Box<dyn Error + Send + Sync>> {
    panels(file, tables).map_err(|e| e.to_string().into())
}

/// The name of a column and its points.
type Line = (String, Vec<(f64, f64)>);

fn lines(table: &Table) -> Vec<Line> {
    let column = |i: usize| -> Vec<Option<f64>> {
        table.rows.iter().map(|r| r.get(i).and_then(|cell| number(cell))).collect()
    };
    let sizes = column(0);
    let Some(first) = sizes.first().copied().flatten().filter(|n| *n > 0.0) else { return vec![] };
    if sizes.last().copied().flatten().is_none_or(|last| last <= first) {
        return vec![];
    }
    let line = |i: usize| -> Option<Line> {
        let values = column(i);
        let base = values.iter().copied().flatten().find(|v| *v > 0.0)?;
        let points = sizes.iter().zip(&values).filter_map(|(size, value)| {
            let (size, value) = ((*size)?, (*value).filter(|v| *v > 0.0)?);
            Some(((size / first).log10(), (value / base).log10()))
        });
        Some((table.head.get(i)?.clone(), points.collect()))
    };
    (1..table.head.len()).filter_map(line).collect()
}

fn panels(file: &Path, tables: &[Table]) -> Result<(), Box<dyn Error>> {
    let drawn: Vec<(&Table, Vec<Line>)> =
        tables.iter().map(|t| (t, lines(t))).filter(|(_, lines)| !lines.is_empty()).collect();
    let high = 420 * drawn.len().max(1) as u32;
    let root = SVGBackend::new(file, (1000, high)).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, (table, lines)) in root.split_evenly((drawn.len().max(1), 1)).iter().zip(&drawn) {
        let points = || lines.iter().flat_map(|l| &l.1);
        let wide = points().map(|p| p.0).fold(0.1, f64::max);
        let (low, top) =
            points().map(|p| p.1).fold((0.0, wide), |(a, b), y| (f64::min(a, y), f64::max(b, y)));
        let mut chart = ChartBuilder::on(area)
            .caption(&table.title, ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(35)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..wide * 1.05, low..top * 1.05)?;
        let label = |x: &f64| short(10f64.powf(*x));
        let name = table.head.first().map_or("size", |h| h);
        let first = table.rows.first().and_then(|r| r.first()).map_or("", |c| c);
        chart
            .configure_mesh()
            .x_desc(format!("{name}, times {first}"))
            .y_desc("times the first")
            .x_label_formatter(&label)
            .y_label_formatter(&label)
            .draw()?;
        for ((name, points), colour) in lines.iter().zip(COLOURS.iter().cycle()) {
            let colour = *colour;
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
    }
    root.present()?;
    Ok(())
}
