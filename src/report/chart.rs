//! Line charts over the time since a failover, as SVG.

use plotters::prelude::*;

use super::ReportError;

/// Width and height of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (760, 260);
/// Colors of the lines. A chart with more lines uses them again from the first.
const COLORS: [RGBColor; 3] = [RGBColor(30, 100, 200), RGBColor(200, 60, 40), RGBColor(60, 140, 60)];
/// The end of the vertical axis as a multiple of the largest value.
const HEADROOM: f64 = 1.05;
/// Minimum extent of either axis, in the unit of the axis.
const MIN_EXTENT: f64 = 1.0;
/// Length in pixels of the line beside a name in the legend.
const LEGEND_LINE_LENGTH: i32 = 16;

/// A point of a chart's line.
#[derive(Clone, Copy)]
pub(super) struct Point {
    /// Seconds since the failover.
    pub(super) after_s: f64,
    pub(super) value: f64,
}

/// The data of one line of a chart.
pub(super) struct Series {
    /// Name of the line in the legend.
    pub(super) name: &'static str,
    pub(super) points: Vec<Point>,
}

/// Renders a chart with one line for each series, as SVG.
pub(super) fn render_chart(title: &str, series: &[Series]) -> Result<String, ReportError> {
    let mut svg = String::new();
    draw(&mut svg, title, series).map_err(|error| ReportError::Chart(error.to_string()))?;
    Ok(svg)
}

fn draw(svg: &mut String, title: &str, series: &[Series]) -> Result<(), Box<dyn std::error::Error>> {
    let points = || series.iter().flat_map(|series| &series.points);
    let end = points().map(|point| point.after_s).fold(MIN_EXTENT, f64::max);
    let top = points().map(|point| point.value).fold(MIN_EXTENT, f64::max) * HEADROOM;
    let area = SVGBackend::with_string(svg, CHART_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..end, 0.0..top)?;
    chart.configure_mesh().x_desc("seconds since the failover").draw()?;
    for (series, &color) in series.iter().zip(COLORS.iter().cycle()) {
        let line = series.points.iter().map(|point| (point.after_s, point.value));
        chart
            .draw_series(LineSeries::new(line, color))?
            .label(series.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LINE_LENGTH, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
