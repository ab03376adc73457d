//! A report: a Markdown page with a chart beside it, and the same as JSON and CSV.

use crate::compare::gain;
use crate::run::Replayed;
use plotters::prelude::*;
use std::fmt::Write;
use std::io;
use std::path::Path;

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, n) = values.fold((0.0, 0.0), |(s, n), v| (s + v, n + 1.0));
    if n > 0.0 { sum / n } else { 0.0 }
}

/// Writes `report.md`, `course.svg`, `runs.json` and `runs.csv` into `folder`, which is made if it is not there.
/// The first variant is what the others are compared with. `about` stands at the top.
///
/// # Errors
///
/// The files'.
pub fn write_report(folder: &Path, title: &str, about: &[String], replayed: &[Replayed]) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let mut page = format!("# {title}\n\n");
    about.iter().for_each(|line| page.push_str(&format!("{line}\n\n")));
    page.push_str(
        "| variant | service | against the first | worst 10 s | throttled | lines | joins | rules |\n",
    );
    page.push_str("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for r in replayed {
        let pairs: Vec<(f64, f64)> =
            replayed[0].outcomes.iter().zip(&r.outcomes).map(|(a, b)| (a.service, b.service)).collect();
        let gain = gain(&pairs);
        let against = match gain.margin {
            _ if std::ptr::eq(r, &replayed[0]) => String::new(),
            None => format!("{:+.4} (one seed)", gain.mean),
            Some(m) if gain.is_noise() => format!("{:+.4} ± {m:.4}, may be chance", gain.mean),
            Some(m) => format!("{:+.4} ± {m:.4}", gain.mean),
        };
        let of = |f: &dyn Fn(&crate::run::Outcome) -> f64| mean(r.outcomes.iter().map(f));
        let throttled = of(&|o| o.routes.iter().map(|r| r.4 as f64).sum());
        let broken = r.outcomes.iter().filter(|o| !o.broken.is_empty()).count();
        let rules = if broken == 0 { "kept".into() } else { format!("BROKEN with {broken} seeds") };
        let _ = writeln!(
            page,
            "| {} | {:.4} | {against} | {:.4} | {throttled:.0} | {:.0} | {:.0} | {rules} |",
            r.name,
            of(&|o| o.service),
            of(&|o| o.worst),
            of(&|o| o.lines as f64),
            of(&|o| o.joins as f64)
        );
    }
    for r in replayed {
        for o in r.outcomes.iter().filter(|o| !o.broken.is_empty()) {
            for (rule, first) in &o.broken {
                let _ = writeln!(page, "\n{} with seed {} breaks rule {rule}: {first}", r.name, o.seed);
            }
        }
    }
    page.push_str("\n![service through the day](course.svg)\n\nMeans over seeds; a run that breaks a rule counts for nothing, whatever its service.\n");
    std::fs::write(folder.join("report.md"), page)?;
    std::fs::write(folder.join("course.svg"), chart(replayed)?)?;
    let runs: Vec<_> = replayed.iter().map(|r| (&r.name, &r.outcomes)).collect();
    std::fs::write(folder.join("runs.json"), serde_json::to_string_pretty(&runs)?)?;
    let mut csv = String::from("variant,seed,service,worst,messages,lines,joins,rules_broken\n");
    for r in replayed {
        for o in &r.outcomes {
            let name = r.name.replace(['"', ','], " ");
            let _ = writeln!(
                csv,
                "{name},{},{:.6},{:.6},{},{},{},{}",
                o.seed,
                o.service,
                o.worst,
                o.messages,
                o.lines,
                o.joins,
                o.broken.len()
            );
        }
    }
    std::fs::write(folder.join("runs.csv"), csv)
}

/// Service through the day, a line a variant, mean over seeds.
fn chart(replayed: &[Replayed]) -> io::Result<String> {
    let mut svg = String::new();
    let drawn = draw(&mut svg, replayed);
    drawn.map_err(|e| io::Error::other(format!("the chart cannot be drawn: {e}")))?;
    Ok(svg)
}

fn draw(svg: &mut String, replayed: &[Replayed]) -> Result<(), Box<dyn std::error::Error>> {
    let steps = replayed.iter().flat_map(|r| &r.outcomes).map(|o| o.course.len()).max().unwrap_or(1);
    let area = SVGBackend::with_string(svg, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("service by two seconds", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..(steps as f64 * 2.0), 0.0..1.02)?;
    chart.configure_mesh().x_desc("seconds").y_desc("service").draw()?;
    for (i, r) in replayed.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let at = |s: usize| mean(r.outcomes.iter().filter_map(|o| o.course.get(s).copied()));
        let line = (0..steps).map(|s| (s as f64 * 2.0, at(s)));
        chart
            .draw_series(LineSeries::new(line, color.stroke_width(2)))?
            .label(r.name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3)).draw()?;
    area.present()?;
    Ok(())
}
