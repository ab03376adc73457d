//! Charts of measured costs over sizes, both axes logarithmic, with the budget of each cost as a line.

use crate::sample::Sample;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;

/// One curve of a chart: its name and its points, in the order of the sizes.
pub type Curve = (String, Vec<(f64, f64)>);

/// The curves of these samples, by the name that `name` gives; samples without one are left out.
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

/// What a chart shows.
pub struct Chart<'a> {
    /// Its heading.
    pub title: &'a str,
    /// What is swept.
    pub size: &'a str,
    /// What is measured, with its unit.
    pub cost: &'a str,
    /// The measured curves.
    pub curves: &'a [Curve],
    /// What the cost may come to, and the size that is planned for.
    pub budget: Option<(f64, f64)>,
}

const PICTURE: (u32, u32) = (900, 520);
/// Room on each side of the measured values, as a factor.
const MARGIN: f64 = 1.6;

/// Draws charts below one another into one SVG file.
///
/// # Errors
///
/// The file cannot be written.
pub fn draw(path: &Path, charts: &[Chart]) -> Result<(), Box<dyn Error>> {
    let size = (PICTURE.0, PICTURE.1 * charts.len().max(1) as u32);
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
    let range = |of: fn(&(f64, f64)) -> f64| {
        let least = points.iter().map(of).fold(f64::INFINITY, f64::min);
        let most = points.iter().map(of).fold(0.0, f64::max);
        least / MARGIN..most * MARGIN
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
        let all = range(|p| p.0);
        let line = [(all.start, cost), (all.end, cost)];
        context.draw_series(LineSeries::new(line, BLACK.mix(0.6)))?.label("budget at the plan's size");
        context.draw_series([Cross::new((size, cost), 6, BLACK)])?;
    }
    context.configure_series_labels().border_style(BLACK.mix(0.3)).background_style(WHITE.mix(0.8)).draw()?;
    Ok(())
}
