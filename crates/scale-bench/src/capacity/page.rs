//! The tables of `docs/CAPACITY.md`, between markers, made anew from the data.

use super::plan::PlanFile;
use super::rows::{Rows, Stop, Use, When};
use std::collections::BTreeMap;
use thiserror::Error;

/// Why a page is not what the data say.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Differs {
    /// A table's markers are not there, or in the wrong order.
    #[error("table {0:?}: its markers are missing or out of order")]
    NoMarkers(String),
    /// A line is another.
    #[error("table {table:?}, line {line}: the page has {found:?}, the data give {wanted:?}")]
    Line {
        /// The table.
        table: String,
        /// The line within the table, from one.
        line: usize,
        /// What the page has.
        found: String,
        /// What the data give.
        wanted: String,
    },
}

/// A figure with three digits, as the page writes it.
pub fn figure(value: f64) -> String {
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
    grouped(&text)
}

/// Thousands apart.
fn grouped(text: &str) -> String {
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

/// All tables by name.
pub fn tables(plan: &PlanFile, rows: &Rows) -> BTreeMap<&'static str, Vec<String>> {
    let of = |when: When| rows.uses.iter().filter(move |u| u.when == when);
    BTreeMap::from([
        ("assumptions", assumptions(plan)),
        ("ordinary", uses(of(When::Ordinary))),
        ("worst minute", uses(of(When::WorstMinute))),
        ("day", uses(of(When::Day))),
        ("over budget", over_budget(&rows.uses)),
        ("stops", stops(&rows.stops)),
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
            format!("{} {}", figure(a.value), a.unit),
            format!("{} to {}", figure(a.low), figure(a.high)),
            a.meaning.clone(),
            a.if_wrong.clone(),
        ]
    });
    table(&head, lines)
}

fn factor(of: &Use) -> String {
    match of.factor() {
        Some(factor) if factor >= 1.0 => format!("**{} over**", figure(factor)),
        Some(factor) => format!("{} of it", figure(factor)),
        None => "-".into(),
    }
}

fn uses<'a>(of: impl Iterator<Item = &'a Use>) -> Vec<String> {
    let head = ["role", "what", "comes to", "budget", "factor", "formula", "source", "module"];
    let lines = of.map(|u| {
        vec![
            u.role.into(),
            u.what.into(),
            format!("{} {}", figure(u.value), u.unit),
            u.budget.map_or("-".into(), figure),
            factor(u),
            u.formula.clone(),
            u.source.clone(),
            u.module.into(),
        ]
    });
    table(&head, lines)
}

fn over_budget(uses: &[Use]) -> Vec<String> {
    let mut over: Vec<(&Use, f64)> = uses.iter().filter_map(|u| Some((u, u.factor()?))).collect();
    over.retain(|(_, factor)| *factor > 1.0);
    over.sort_by(|a, b| b.1.total_cmp(&a.1));
    let head = ["place", "factor", "role", "what", "mechanism"];
    let lines = over.iter().enumerate().map(|(place, (u, factor))| {
        let place = (place + 1).to_string();
        vec![place, figure(*factor), u.role.into(), u.what.into(), u.mechanism.into()]
    });
    table(&head, lines)
}

fn stops(stops: &[Stop]) -> Vec<String> {
    let head = ["row", "budget", "reached at", "planned", "measured up to"];
    let lines = stops.iter().map(|s| {
        vec![
            s.row.clone(),
            format!("{} {}", figure(s.budget), s.unit),
            s.at.map_or("not reached".into(), |at| format!("**{} {}**", figure(at), s.swept)),
            format!("{} {}", figure(s.planned), s.swept),
            figure(s.measured),
        ]
    });
    table(&head, lines)
}

fn markers(name: &str) -> (String, String) {
    (format!("<!-- table: {name} -->"), format!("<!-- end: {name} -->"))
}

/// The lines between a table's markers, and where they begin and end in the page.
fn between<'a>(page: &'a str, name: &str) -> Option<(&'a str, usize, usize)> {
    let (begin, end) = markers(name);
    let from = page.find(&begin)? + begin.len() + 1;
    let to = from + page.get(from..)?.find(&end)?;
    Some((&page[from..to], from, to))
}

/// The page with all tables made anew.
///
/// # Errors
///
/// A table's markers are not in the page.
pub fn renew(page: &str, tables: &BTreeMap<&'static str, Vec<String>>) -> Result<String, Differs> {
    let mut page = page.to_string();
    for (name, lines) in tables {
        let (_, from, to) = between(&page, name).ok_or_else(|| Differs::NoMarkers(name.to_string()))?;
        page.replace_range(from..to, &format!("{}\n", lines.join("\n")));
    }
    Ok(page)
}

/// Where the page differs from the data.
pub fn check(page: &str, tables: &BTreeMap<&'static str, Vec<String>>) -> Vec<Differs> {
    let mut differs = vec![];
    for (name, wanted) in tables {
        let Some((found, _, _)) = between(page, name) else {
            differs.push(Differs::NoMarkers(name.to_string()));
            continue;
        };
        let found: Vec<&str> = found.lines().collect();
        for line in 0..found.len().max(wanted.len()) {
            let (have, want) =
                (found.get(line).copied().unwrap_or(""), wanted.get(line).map_or("", String::as_str));
            if have != want {
                let (table, found, wanted) = (name.to_string(), have.to_string(), want.to_string());
                differs.push(Differs::Line { table, line: line + 1, found, wanted });
            }
        }
    }
    differs
}
