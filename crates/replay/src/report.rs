//! Reports: a self-contained HTML page, the same page as Markdown, and the figures as JSON and CSV.

use crate::chart::{course, gains, mean};
use crate::compare::{Gain, gain};
use crate::run::{Outcome, Replayed, Replays};
use maud::{DOCTYPE, PreEscaped, html};
use std::fmt::Write;
use std::io;
use std::path::Path;

/// A table of a page.
pub(crate) struct Table {
    pub(crate) title: String,
    pub(crate) head: Vec<String>,
    pub(crate) rows: Vec<Vec<String>>,
}

impl Table {
    fn new(title: &str, head: &[&str]) -> Table {
        Table { title: title.into(), head: head.iter().map(|h| h.to_string()).collect(), rows: vec![] }
    }

    fn markdown(&self) -> String {
        // A `|` in a name would end its cell.
        let line = |cells: &[String]| {
            let cells: Vec<String> = cells.iter().map(|c| c.replace('|', "\\|")).collect();
            format!("| {} |\n", cells.join(" | "))
        };
        let rule = format!("|{}\n", " --- |".repeat(self.head.len()));
        let rows: String = self.rows.iter().map(|r| line(r)).collect();
        format!("## {}\n\n{}{rule}{rows}\n", self.title, line(&self.head))
    }

    fn html(&self) -> maud::Markup {
        html! {
            h2 { (self.title) }
            table {
                tr { @for h in &self.head { th { (h) } } }
                @for row in &self.rows { tr { @for cell in row { td { (cell) } } } }
            }
        }
    }
}

/// A page of text, tables and charts.
pub(crate) struct Page {
    pub(crate) title: String,
    pub(crate) about: Vec<String>,
    pub(crate) tables: Vec<Table>,
    /// The name and the SVG text of each chart.
    pub(crate) charts: Vec<(String, String)>,
}

const STYLE: &str = "body{font:15px/1.5 sans-serif;max-width:980px;margin:2em auto;padding:0 1em;color:#222}\
table{border-collapse:collapse;margin:.6em 0}th,td{border:1px solid #ccc;padding:3px 8px;text-align:right}\
th:first-child,td:first-child{text-align:left}svg{max-width:100%;height:auto}";

impl Page {
    fn html(&self) -> String {
        let page = html! {
            (DOCTYPE)
            html lang="en" {
                head { meta charset="utf-8"; title { (self.title) } style { (PreEscaped(STYLE)) } }
                body {
                    h1 { (self.title) }
                    @for line in &self.about { p { (line) } }
                    @for (_, svg) in &self.charts { (PreEscaped(svg)) }
                    @for table in &self.tables { (table.html()) }
                }
            }
        };
        page.into_string()
    }

    fn markdown(&self) -> String {
        let mut page = format!("# {}\n\n", self.title);
        self.about.iter().for_each(|line| page.push_str(&format!("{line}\n\n")));
        self.charts.iter().for_each(|(name, _)| page.push_str(&format!("![{name}]({name}.svg)\n\n")));
        self.tables.iter().for_each(|t| page.push_str(&t.markdown()));
        page
    }

    /// Writes `NAME.html`, `NAME.md` and the charts into `folder`, which is created if missing.
    pub(crate) fn write(&self, folder: &Path, name: &str) -> io::Result<()> {
        std::fs::create_dir_all(folder)?;
        for (chart, svg) in &self.charts {
            std::fs::write(folder.join(format!("{chart}.svg")), svg)?;
        }
        std::fs::write(folder.join(format!("{name}.html")), self.html())?;
        std::fs::write(folder.join(format!("{name}.md")), self.markdown().trim_end().to_string() + "\n")
    }
}

/// Formats a gain for a table.
pub(crate) fn format_gain(gain: &Gain) -> String {
    match gain.margin {
        None => format!("{:+.4} (one seed)", gain.mean),
        Some(m) if gain.is_noise() => format!("{:+.4} ± {m:.4}, may be chance", gain.mean),
        Some(m) => format!("{:+.4} ± {m:.4}", gain.mean),
    }
}

/// Returns the mean of a figure over the seeds of a variant.
fn mean_of(r: &Replayed, f: impl Fn(&Outcome) -> f64) -> f64 {
    mean(r.outcomes.iter().map(f))
}

/// Returns the mean service level of a variant.
pub(crate) fn mean_service(r: &Replayed) -> f64 {
    mean_of(r, |o| o.service.overall)
}

/// Formats the number of runs of a variant that broke a rule.
pub(crate) fn rules_text(r: &Replayed) -> String {
    let broken = r.outcomes.iter().filter(|o| !o.broken.is_empty()).count();
    if broken == 0 { "kept".into() } else { format!("BROKEN with {broken} seeds") }
}

/// Returns the table of service levels.
fn service_table(replays: &Replays) -> Table {
    let mut table = Table::new(
        "Service",
        &["variant", "service", "against the first", "worst 10 s", "of the way from even to best", "rules"],
    );
    let (even, best) = (mean_service(&replays.evenly), mean_service(&replays.best));
    let share_of_span = |r: &Replayed| match best - even {
        // The share is undefined if both baselines serve alike.
        span if span < 0.001 => "-".into(),
        span => format!("{:.0}%", 100.0 * (mean_service(r) - even) / span),
    };
    for (i, r) in replays.variants.iter().enumerate() {
        let against = if i == 0 { String::new() } else { format_gain(&gain(&replays.variants[0], r)) };
        let worst = mean_of(r, |o| o.service.worst);
        table.rows.push(vec![
            r.name.clone(),
            format!("{:.4}", mean_service(r)),
            against,
            format!("{worst:.4}"),
            share_of_span(r),
            rules_text(r),
        ]);
    }
    for r in [&replays.evenly, &replays.best, &replays.rationed] {
        let worst = format!("{:.4}", mean_of(r, |o| o.service.worst));
        let against = format_gain(&gain(&replays.variants[0], r));
        table.rows.push(vec![
            r.name.clone(),
            format!("{:.4}", mean_service(r)),
            against,
            worst,
            String::new(),
            "not asked".into(),
        ]);
    }
    table
}

/// Returns the variants, then the baselines.
fn all_variants(replays: &Replays) -> impl Iterator<Item = &Replayed> {
    replays.variants.iter().chain([&replays.evenly, &replays.best, &replays.rationed])
}

/// Returns the table of latencies, failures and traffic.
fn cost_table(replays: &Replays) -> Table {
    let mut table = Table::new(
        "What it cost (means over seeds)",
        &[
            "variant",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "turned away",
            "late",
            "failed",
            "work wasted",
            "tries a call",
            "to other zones",
            "connections",
            "messages",
            "lines",
            "joins",
        ],
    );
    for r in all_variants(replays) {
        let mut row = vec![r.name.clone()];
        row.extend([
            format!("{:.0}", mean_of(r, |o| o.service.p50_ms)),
            format!("{:.0}", mean_of(r, |o| o.service.p99_ms)),
            format!("{:.0}", mean_of(r, |o| o.service.p999_ms)),
            format!("{:.0}", mean_of(r, |o| o.service.rejected() as f64)),
            format!("{:.0}", mean_of(r, |o| o.service.late() as f64)),
            format!("{:.0}", mean_of(r, |o| o.service.failed() as f64)),
            format!("{:.2}%", mean_of(r, |o| 100.0 * o.service.wasted_share)),
            format!("{:.3}", mean_of(r, |o| o.service.attempts_per_request)),
            format!("{:.1}%", mean_of(r, |o| 100.0 * o.service.cross_zone_share)),
            format!("{:.0}", mean_of(r, |o| o.service.connections as f64)),
            format!("{:.0}", mean_of(r, |o| o.service.messages as f64)),
            format!("{:.0}", mean_of(r, |o| o.service.entries as f64)),
            format!("{:.0}", mean_of(r, |o| o.service.joins as f64)),
        ]);
        table.rows.push(row);
    }
    table
}

/// Returns the table of requests answered in time by route, as shares, and that of service levels by zone.
fn route_and_zone_tables(replays: &Replays) -> [Table; 2] {
    let first = &replays.variants[0].outcomes[0].service;
    let head = |names: Vec<String>| {
        let mut head = vec!["variant".to_string()];
        head.extend(names);
        head
    };
    let routes = first.routes.iter().map(|r| r.name.clone()).collect();
    let zones = first.zones.iter().map(|z| z.name.clone()).collect();
    let mut by_route = Table { title: "In time, by route".into(), head: head(routes), rows: vec![] };
    let mut by_zone =
        Table { title: "Service by zone of the caller".into(), head: head(zones), rows: vec![] };
    for r in all_variants(replays) {
        let route = |i: usize| {
            mean_of(r, |o| {
                let route = &o.service.routes[i];
                if route.requests > 0 { route.in_time as f64 / route.requests as f64 } else { 1.0 }
            })
        };
        let row = (0..first.routes.len()).map(|i| format!("{:.4}", route(i)));
        by_route.rows.push(std::iter::once(r.name.clone()).chain(row).collect());
        let row = (0..first.zones.len()).map(|i| format!("{:.4}", mean_of(r, |o| o.service.zones[i].level)));
        by_zone.rows.push(std::iter::once(r.name.clone()).chain(row).collect());
    }
    [by_route, by_zone]
}

/// Returns the table of broken rules; `None` if all rules were kept.
fn broken_rules_table(replays: &Replays) -> Option<Table> {
    let mut table = Table::new("Rules that were broken", &["variant", "seed", "rule", "first"]);
    for r in &replays.variants {
        for o in &r.outcomes {
            for (rule, first) in &o.broken {
                table.rows.push(vec![r.name.clone(), o.seed.to_string(), rule.clone(), first.clone()]);
            }
        }
    }
    (!table.rows.is_empty()).then_some(table)
}

/// Writes `report.html`, `report.md`, the charts, `runs.json` and `runs.csv` into `folder`, which is created if missing.
/// The report begins with the lines of `about`.
///
/// # Errors
///
/// Returns an error if a chart cannot be drawn or a file cannot be written.
pub fn write_report(folder: &Path, title: &str, about: &[String], replays: &Replays) -> io::Result<()> {
    let mut about = about.to_vec();
    about.push(
        "Means over seeds; a run that breaks a rule counts for nothing, whatever its service. Even weights and \
         perfect knowledge are there to compare with: no rule is asked of them."
            .into(),
    );
    let mut charts = vec![("course".to_string(), course(replays)?)];
    if replays.variants.len() > 1 {
        charts.push(("gains".into(), gains(replays)?));
    }
    let mut tables = vec![service_table(replays)];
    tables.extend(broken_rules_table(replays));
    tables.extend(route_and_zone_tables(replays));
    tables.push(cost_table(replays));
    Page { title: title.into(), about, tables, charts }.write(folder, "report")?;
    std::fs::write(folder.join("runs.json"), serde_json::to_string_pretty(replays)?)?;
    std::fs::write(folder.join("runs.csv"), csv(replays)?)
}

/// Returns the figures of all runs as CSV, a line for each run.
fn csv(replays: &Replays) -> io::Result<String> {
    let mut text = String::from(
        "variant,seed,service,worst,p50_ms,p99_ms,p999_ms,throttled,late,failed,wasted,crossings,connections,\
         messages,lines,joins,rules_broken\n",
    );
    for r in all_variants(replays) {
        for o in &r.outcomes {
            let s = &o.service;
            let name = r.name.replace(['"', ','], " ");
            let written = writeln!(
                text,
                "{name},{},{:.6},{:.6},{:.3},{:.3},{:.3},{},{},{},{:.6},{:.6},{},{},{},{},{}",
                o.seed,
                s.overall,
                s.worst,
                s.p50_ms,
                s.p99_ms,
                s.p999_ms,
                s.rejected(),
                s.late(),
                s.failed(),
                s.wasted_share,
                s.cross_zone_share,
                s.connections,
                s.messages,
                s.entries,
                s.joins,
                o.broken.len()
            );
            written.map_err(io::Error::other)?;
        }
    }
    Ok(text)
}
