//! Draws handshakes and goodput per tenth of a second as SVG.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::summary::Summary;

const COLOURS: [RGBColor; 3] = [RGBColor(0, 110, 60), RGBColor(190, 120, 0), RGBColor(190, 30, 30)];

/// Selects the counters to draw.
type Selector = fn(&Summary) -> &Vec<u64>;

/// Draws the chart to `file`; `killed` and `restarted` are the times, in seconds, at which the marshal was
/// killed and restarted.
///
/// # Errors
/// If the file can't be written.
pub fn draw(
    file: &Path, summaries: &[Summary], killed: f64, restarted: f64,
) -> Result<(), Box<dyn Error + Send + Sync>> {
    panels(file, summaries, killed, restarted).map_err(|e| e.to_string().into())
}

fn panels(file: &Path, summaries: &[Summary], killed: f64, restarted: f64) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(file, (1000, 700)).into_drawing_area();
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(400);
    let peak =
        |counters: Selector| summaries.iter().flat_map(counters).max().copied().unwrap_or(1).max(1) as f64;
    let duration_s = summaries.iter().map(|s| s.connects.len()).max().unwrap_or(1) as f64 / 10.0;
    let charts: [(_, &str, Selector, bool); 2] = [
        (upper, "handshakes in 0.1 s (logarithmic)", |summary| &summary.connects, true),
        (lower, "ok answers in 0.1 s", |summary| &summary.ok, false),
    ];
    for (area, title, counters, logarithmic) in charts {
        let peak_count = peak(counters);
        let y_value = |n: f64| if logarithmic { (n + 1.0).log10() } else { n };
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..duration_s, 0.0..y_value(peak_count) * 1.05)?;
        let label =
            |y: &f64| if logarithmic { format!("{:.0}", 10f64.powf(*y) - 1.0) } else { format!("{y:.0}") };
        chart.configure_mesh().x_desc("seconds").y_label_formatter(&label).draw()?;
        for at in [killed, restarted] {
            let line = [(at, 0.0), (at, y_value(peak_count))];
            chart.draw_series(LineSeries::new(line, BLACK.mix(0.4)))?;
        }
        for (summary, colour) in summaries.iter().zip(COLOURS) {
            let points =
                counters(summary).iter().enumerate().map(|(i, n)| (i as f64 / 10.0, y_value(*n as f64)));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))?
                .label(summary.manner.name())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    }
    area.present()?;
    Ok(())
}
