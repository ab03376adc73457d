//! Charts as self-contained SVG.

use crate::compare::gain;
use crate::run::{Replayed, Replays};
use grebespool_server_model::ServiceLevel;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::io;

/// The result of drawing with plotters.
type DrawResult = Result<(), Box<dyn std::error::Error>>;

/// Draws a chart and returns it as SVG text.
fn svg(
    size: (u32, u32),
    draw: impl FnOnce(&DrawingArea<SVGBackend<'_>, Shift>) -> DrawResult,
) -> io::Result<String> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, size).into_drawing_area();
        let drawn = area.fill(&WHITE).map_err(Into::into).and_then(|()| draw(&area));
        drawn.map_err(|e| io::Error::other(format!("the chart cannot be drawn: {e}")))?;
        area.present().map_err(|e| io::Error::other(format!("the chart cannot be drawn: {e}")))?;
    }
    Ok(text)
}

/// Returns the mean; 0 if there are no values.
pub(crate) fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}

/// Draws the service level over the day, as the mean over seeds: a line for each variant, thinner for the baselines.
pub(crate) fn course(replays: &Replays) -> io::Result<String> {
    let all: Vec<(&Replayed, u32)> = (replays.variants.iter().map(|r| (r, 2)))
        .chain([(&replays.evenly, 1), (&replays.best, 1), (&replays.rationed, 1)])
        .collect();
    let outcomes = all.iter().flat_map(|r| &r.0.outcomes);
    let steps = outcomes.map(|o| o.service.over_time.len()).max().unwrap_or(1);
    let step = ServiceLevel::STEP_S as f64;
    svg((900, 460), |area| {
        let mut chart = ChartBuilder::on(area)
            .caption("service through the day", ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..(steps as f64 * step), 0.0..1.02)?;
        chart.configure_mesh().x_desc("seconds").y_desc("service").draw()?;
        for (i, (r, width)) in all.iter().enumerate() {
            let color = Palette99::pick(i).to_rgba();
            let at = |s: usize| mean(r.outcomes.iter().filter_map(|o| o.service.over_time.get(s).copied()));
            let style = color.stroke_width(*width);
            chart
                .draw_series(LineSeries::new((0..steps).map(|s| (s as f64 * step, at(s))), style))?
                .label(r.name.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.85))
            .border_style(BLACK.mix(0.3))
            .draw()?;
        Ok(())
    })
}

/// Draws the gain of each variant over the first, with its confidence interval.
pub(crate) fn gains(replays: &Replays) -> io::Result<String> {
    let rows: Vec<(String, f64, f64)> = replays.variants[1..]
        .iter()
        .map(|r| {
            let gain = gain(&replays.variants[0], r);
            (r.name.clone(), gain.mean, gain.margin.unwrap_or(0.0))
        })
        .collect();
    let widest = rows.iter().map(|r| r.1.abs() + r.2).fold(0.002, f64::max) * 1.15;
    let height = 90 + 34 * rows.len() as u32;
    svg((900, height), |area| {
        let mut chart = ChartBuilder::on(area)
            .caption("difference to the first, 95 of 100", ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(30)
            .build_cartesian_2d(-widest..widest, 0.0..rows.len() as f64)?;
        chart
            .configure_mesh()
            .disable_y_mesh()
            .disable_y_axis()
            .x_label_formatter(&|x| format!("{x:+.3}"))
            .draw()?;
        let zero_line = [(0.0, 0.0), (0.0, rows.len() as f64)];
        chart.draw_series(LineSeries::new(zero_line, BLACK))?;
        for (i, (name, mean, margin)) in rows.iter().enumerate() {
            let y = rows.len() as f64 - i as f64 - 0.65;
            let color = Palette99::pick(i + 1).to_rgba();
            let bar = [(mean - margin, y), (mean + margin, y)];
            chart.draw_series(LineSeries::new(bar, color.stroke_width(2)))?;
            chart.draw_series([Circle::new((*mean, y), 4, color.filled())])?;
            let label = Text::new(name.clone(), (-widest * 0.98, y + 0.4), ("sans-serif", 13));
            chart.draw_series([label])?;
        }
        Ok(())
    })
}
