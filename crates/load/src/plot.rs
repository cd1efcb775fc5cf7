//! Plots of the experiment's results as SVG.

use crate::experiment::Strategy;
use crate::report::{Line, Report};
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// Upper end of the vertical axis; a larger slowdown is drawn at this value.
const MAX_RATIO: f64 = 10.0;

/// Width and height of a plot in pixels.
const SIZE: (u32, u32) = (900, 540);

/// Draws the 99th percentile of the slowdown against the load into `p99-skew-<skew>.svg`, one file
/// for each skew. An error names the file that could not be drawn.
pub fn draw(report: &Report, directory: &Path) -> Result<(), String> {
    let mut skews: Vec<u32> = report.lines.iter().map(|line| line.skew).collect();
    skews.sort_unstable();
    skews.dedup();
    for skew in skews {
        let path = directory.join(format!("p99-skew-{skew}.svg"));
        let lines: Vec<&Line> = report.lines.iter().filter(|line| line.skew == skew).collect();
        draw_p99(&lines, skew, &path).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    Ok(())
}

fn draw_p99(lines: &[&Line], skew: u32, path: &Path) -> Result<(), Box<dyn Error>> {
    let first = lines.iter().map(|line| line.load).min().unwrap_or(0);
    let last = lines.iter().map(|line| line.load).max().unwrap_or(0);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(first..last.max(first + 1), (1.0..MAX_RATIO).log_scale())?;
    chart
        .configure_mesh()
        .x_desc(format!("offered load in percent, {skew}% of the jobs at one instance"))
        .y_desc("99th percentile of response over ideal")
        .draw()?;
    for (number, strategy) in Strategy::ALL.into_iter().enumerate() {
        let points: Vec<(u32, f64)> = lines
            .iter()
            .filter(|line| line.strategy == strategy)
            .map(|line| (line.load, line.p99.clamp(1.0, MAX_RATIO)))
            .collect();
        if points.is_empty() {
            continue;
        }
        let color = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(strategy.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}
