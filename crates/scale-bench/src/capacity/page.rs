//! The tables of `docs/CAPACITY.md`, which stand between markers and are generated from the data.
//!
//! The names of the tables, their heads and their cells are text of the page: [`check`] compares them letter for letter.

use super::estimate::{CapacityEstimate, CostPeriod, ResourceUse, SizeLimit};
use super::plan::PlanFile;
use std::collections::BTreeMap;
use thiserror::Error;

/// A difference between the page and the data.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PageMismatch {
    /// The markers of a table are missing or out of order.
    #[error("table {0:?}: its markers are missing or out of order")]
    NoMarkers(String),
    /// A line of a table differs from the data.
    #[error("table {table:?}, line {line}: found {found:?} in the page, expected {expected:?} from the data")]
    Line {
        /// The name of the table.
        table: String,
        /// The number of the line within the table, from one.
        line: usize,
        /// The line of the page.
        found: String,
        /// The line that the data result in.
        expected: String,
    },
}

/// Formats a number with three significant digits, as in the tables of the page.
pub fn three_digits(value: f64) -> String {
    const DIGITS: i32 = 3;
    if value == 0.0 {
        return "0".into();
    }
    let places = DIGITS - 1 - value.abs().log10().floor() as i32;
    if !(-9..=9).contains(&places) {
        return format!("{value:.2e}");
    }
    let unit = 10f64.powi(places);
    let rounded = (value * unit).round() / unit;
    let text = format!("{rounded:.*}", places.max(0) as usize);
    group_thousands(&text)
}

/// Separates the thousands of a number by commas.
fn group_thousands(text: &str) -> String {
    let (whole, rest) = text.split_once('.').map_or((text, None), |(whole, rest)| (whole, Some(rest)));
    let digits = whole.trim_start_matches('-');
    let mut grouped = String::new();
    for (place, digit) in digits.chars().enumerate() {
        if place > 0 && (digits.len() - place).is_multiple_of(3) {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    let sign = if whole.starts_with('-') { "-" } else { "" };
    rest.map_or(format!("{sign}{grouped}"), |rest| format!("{sign}{grouped}.{rest}"))
}

/// Returns the lines of all tables by the name of the table.
pub fn tables(plan: &PlanFile, estimate: &CapacityEstimate) -> BTreeMap<&'static str, Vec<String>> {
    let in_period = |period: CostPeriod| estimate.uses.iter().filter(move |u| u.period == period);
    BTreeMap::from([
        ("assumptions", assumptions(plan)),
        ("ordinary", uses(in_period(CostPeriod::Ordinary))),
        ("worst minute", uses(in_period(CostPeriod::WorstMinute))),
        ("day", uses(in_period(CostPeriod::Day))),
        ("over budget", over_budget(&estimate.uses)),
        ("stops", size_limits(&estimate.size_limits)),
    ])
}

fn table(head: &[&str], lines: impl Iterator<Item = Vec<String>>) -> Vec<String> {
    let row = |cells: &[String]| format!("| {} |", cells.join(" | "));
    let head: Vec<String> = head.iter().map(|h| h.to_string()).collect();
    let rule = vec!["---".to_string(); head.len()];
    [row(&head), row(&rule)].into_iter().chain(lines.map(|cells| row(&cells))).collect()
}

fn assumptions(plan: &PlanFile) -> Vec<String> {
    let head = ["name", "taken", "range", "stands for", "if it is wrong"];
    let lines = plan.assumptions.iter().map(|a| {
        vec![
            format!("`{}`", a.name),
            format!("{} {}", three_digits(a.value), a.unit),
            format!("{} to {}", three_digits(a.low), three_digits(a.high)),
            a.meaning.clone(),
            a.if_wrong.clone(),
        ]
    });
    table(&head, lines)
}

fn factor(resource_use: &ResourceUse) -> String {
    match resource_use.budget_factor() {
        Some(factor) if factor >= 1.0 => format!("**{} over**", three_digits(factor)),
        Some(factor) => format!("{} of it", three_digits(factor)),
        None => "-".into(),
    }
}

fn uses<'a>(uses: impl Iterator<Item = &'a ResourceUse>) -> Vec<String> {
    let head = ["role", "what", "comes to", "budget", "factor", "formula", "source", "module"];
    let lines = uses.map(|u| {
        vec![
            u.role.into(),
            u.what.into(),
            format!("{} {}", three_digits(u.value), u.unit),
            u.budget.map_or("-".into(), three_digits),
            factor(u),
            u.formula.clone(),
            u.source.clone(),
            u.module.into(),
        ]
    });
    table(&head, lines)
}

fn over_budget(uses: &[ResourceUse]) -> Vec<String> {
    let mut over: Vec<(&ResourceUse, f64)> =
        uses.iter().filter_map(|u| Some((u, u.budget_factor()?))).collect();
    over.retain(|(_, factor)| *factor > 1.0);
    over.sort_by(|a, b| b.1.total_cmp(&a.1));
    let head = ["place", "factor", "role", "what", "mechanism"];
    let lines = over.iter().enumerate().map(|(place, (u, factor))| {
        let place = (place + 1).to_string();
        vec![place, three_digits(*factor), u.role.into(), u.what.into(), u.mechanism.into()]
    });
    table(&head, lines)
}

fn size_limits(limits: &[SizeLimit]) -> Vec<String> {
    let head = ["row", "budget", "reached at", "planned", "measured up to"];
    let lines = limits.iter().map(|l| {
        vec![
            l.row.clone(),
            format!("{} {}", three_digits(l.budget), l.unit),
            l.reached_at.map_or("not reached".into(), |at| format!("**{} {}**", three_digits(at), l.swept)),
            format!("{} {}", three_digits(l.planned), l.swept),
            three_digits(l.largest_measured),
        ]
    });
    table(&head, lines)
}

fn markers(name: &str) -> (String, String) {
    (format!("<!-- table: {name} -->"), format!("<!-- end: {name} -->"))
}

/// Returns the text between the markers of a table, and its start and end offsets in the page.
fn between_markers<'a>(page: &'a str, name: &str) -> Option<(&'a str, usize, usize)> {
    let (begin, end) = markers(name);
    let from = page.find(&begin)? + begin.len() + 1;
    let to = from + page.get(from..)?.find(&end)?;
    Some((&page[from..to], from, to))
}

/// Returns the page with all tables replaced by those of the data.
///
/// # Errors
///
/// Returns an error if the markers of a table are missing or out of order.
pub fn update(page: &str, tables: &BTreeMap<&'static str, Vec<String>>) -> Result<String, PageMismatch> {
    let mut page = page.to_string();
    for (name, lines) in tables {
        let (_, from, to) =
            between_markers(&page, name).ok_or_else(|| PageMismatch::NoMarkers(name.to_string()))?;
        page.replace_range(from..to, &format!("{}\n", lines.join("\n")));
    }
    Ok(page)
}

/// Returns all differences between the page and the tables of the data.
pub fn check(page: &str, tables: &BTreeMap<&'static str, Vec<String>>) -> Vec<PageMismatch> {
    let mut mismatches = vec![];
    for (name, expected) in tables {
        let Some((found, _, _)) = between_markers(page, name) else {
            mismatches.push(PageMismatch::NoMarkers(name.to_string()));
            continue;
        };
        let found: Vec<&str> = found.lines().collect();
        for line in 0..found.len().max(expected.len()) {
            let (found, expected) =
                (found.get(line).copied().unwrap_or(""), expected.get(line).map_or("", String::as_str));
            if found != expected {
                let (table, found, expected) = (name.to_string(), found.to_string(), expected.to_string());
                mismatches.push(PageMismatch::Line { table, line: line + 1, found, expected });
            }
        }
    }
    mismatches
}
