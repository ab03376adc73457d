//! Charts of measured costs over sizes, with logarithmic axes and the budget of each cost as a line.

use crate::sample::Sample;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;

/// The name of a curve and its points (size, cost), sorted by size.
pub type Curve = (String, Vec<(f64, f64)>);

/// Groups samples into curves by the name that `name` returns. Leaves out samples without a name, and those whose size or
/// cost is not above zero, which a logarithmic axis cannot show.
pub fn curves(samples: &[Sample], name: impl Fn(&Sample) -> Option<String>) -> Vec<Curve> {
    let mut curves: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for sample in samples.iter().filter(|s| s.size > 0.0 && s.value > 0.0) {
        if let Some(name) = name(sample) {
            curves.entry(name).or_default().push((sample.size, sample.value));
        }
    }
    curves.values_mut().for_each(|points| points.sort_by(|a, b| a.0.total_cmp(&b.0)));
    curves.into_iter().collect()
}

/// The content of one chart.
pub struct Chart<'a> {
    /// The heading of the chart.
    pub title: &'a str,
    /// The label of the horizontal axis: the swept size.
    pub size: &'a str,
    /// The label of the vertical axis: the measured cost with its unit.
    pub cost: &'a str,
    /// The measured curves.
    pub curves: &'a [Curve],
    /// The budget of the cost, and the planned size.
    pub budget: Option<(f64, f64)>,
}

/// Width and height of one chart, in pixels.
const CHART_SIZE: (u32, u32) = (900, 520);
/// The factor by which the axes extend beyond the smallest and the largest value.
const MARGIN: f64 = 1.6;

/// Draws charts from top to bottom into one SVG file.
///
/// # Errors
///
/// Returns an error if a chart cannot be drawn or the file cannot be written.
pub fn draw(path: &Path, charts: &[Chart]) -> Result<(), Box<dyn Error>> {
    let size = (CHART_SIZE.0, CHART_SIZE.1 * charts.len().max(1) as u32);
    let root = SVGBackend::new(path, size).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, chart) in root.split_evenly((charts.len().max(1), 1)).iter().zip(charts) {
        draw_one(area, chart)?;
    }
    root.present()?;
    Ok(())
}

fn draw_one(
    area: &DrawingArea<SVGBackend, plotters::coord::Shift>,
    chart: &Chart,
) -> Result<(), Box<dyn Error>> {
    let budget = chart.budget.map(|(cost, size)| (size, cost));
    let points: Vec<(f64, f64)> =
        chart.curves.iter().flat_map(|c| c.1.iter().copied()).chain(budget).collect();
    let range = |axis: fn(&(f64, f64)) -> f64| {
        let min = points.iter().map(axis).fold(f64::INFINITY, f64::min);
        let max = points.iter().map(axis).fold(0.0, f64::max);
        min / MARGIN..max * MARGIN
    };
    let mut context = ChartBuilder::on(area)
        .caption(chart.title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(80)
        .build_cartesian_2d(range(|p| p.0).log_scale(), range(|p| p.1).log_scale())?;
    context.configure_mesh().x_desc(chart.size).y_desc(chart.cost).draw()?;
    for (number, (name, points)) in chart.curves.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        context
            .draw_series(LineSeries::new(points.iter().copied(), color).point_size(3))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    if let Some((cost, size)) = chart.budget {
        let sizes = range(|p| p.0);
        let line = [(sizes.start, cost), (sizes.end, cost)];
        context.draw_series(LineSeries::new(line, BLACK.mix(0.6)))?.label("budget at the plan's size");
        context.draw_series([Cross::new((size, cost), 6, BLACK)])?;
    }
    context.configure_series_labels().border_style(BLACK.mix(0.3)).background_style(WHITE.mix(0.8)).draw()?;
    Ok(())
}
