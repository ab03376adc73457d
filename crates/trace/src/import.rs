//! Recordings from logs: CSV and JSON lines, by a stated mapping of their fields.

use crate::cloak::Cloak;
use crate::event::{Call, Event, Timed};
use crate::write::Writer;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use thiserror::Error;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    Csv,
    JsonLines,
}

/// Which field of a row holds what.
#[derive(Debug, Clone, Default)]
pub struct Mapping {
    /// When the call was due, a number; `unit_us` microseconds each.
    pub due: String,
    pub unit_us: f64,
    pub route: String,
    /// Names of the routes in the settings' order, with their importance; a number is a place among them.
    pub routes: Vec<(String, f32)>,
    pub proxy: String,
    pub key: Option<String>,
    pub client: Option<String>,
    pub work_us: Option<String>,
    /// A field that is `true` or a number above 0 for repeats.
    pub repeat: Option<String>,
}

#[derive(Debug, Error)]
pub enum BadRow {
    #[error("line {line}: no field {field:?}")]
    Missing { line: u64, field: String },
    #[error("line {line}: field {field:?}: {value:?} is no {expected}")]
    Value { line: u64, field: String, value: String, expected: &'static str },
    #[error("line {line}: {why}")]
    Row { line: u64, why: String },
    #[error("the mapping names no field for {0}")]
    Mapping(&'static str),
    #[error("{0}")]
    Io(#[from] io::Error),
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Imported {
    pub calls: u64,
    pub repeats: u64,
    pub proxies: u64,
    /// Rows without a client: whether these are repeats can't be known.
    pub anonymous: u64,
    pub out_of_order: u64,
}

type Row = BTreeMap<String, String>;

/// Reads rows one at a time and writes a recording whose zero is the first row's time. Names of proxies and
/// clients and texts as keys are replaced by numbers; under `cloak`, by keyed hashes.
///
/// # Errors
///
/// The first bad row, by line and field. What was written up to there is whole and has no end block.
pub fn import(
    from: impl Read,
    form: Form,
    mapping: &Mapping,
    cloak: Option<&Cloak>,
    to: impl Write,
) -> Result<Imported, BadRow> {
    for (name, field) in [("due", &mapping.due), ("route", &mapping.route), ("proxy", &mapping.proxy)] {
        if field.is_empty() {
            return Err(BadRow::Mapping(name));
        }
    }
    let mut rows = Rows { mapping, cloak, zero: None, last: 0, proxies: BTreeMap::new() };
    let (mut writer, mut told) = (Writer::new(to)?, Imported::default());
    match form {
        Form::Csv => {
            let mut csv = csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(from);
            let bad = |e: csv::Error| {
                let line = e.position().map_or(1, csv::Position::line);
                BadRow::Row { line, why: e.to_string() }
            };
            let names = csv.headers().map_err(bad)?.clone();
            for record in csv.records() {
                let record = record.map_err(bad)?;
                let line = record.position().map_or(0, csv::Position::line);
                let row = names.iter().zip(&record).map(|(n, v)| (n.into(), v.into())).collect();
                writer.put(rows.take(line, &row, &mut told)?)?;
            }
        }
        Form::JsonLines => {
            for (i, text) in BufReader::new(from).lines().enumerate() {
                let (line, text) = (i as u64 + 1, text?);
                if text.trim().is_empty() {
                    continue;
                }
                let value: serde_json::Map<String, serde_json::Value> =
                    serde_json::from_str(&text).map_err(|e| BadRow::Row { line, why: e.to_string() })?;
                let plain = |v: serde_json::Value| match v {
                    serde_json::Value::String(s) => s,
                    other => other.to_string(),
                };
                let row =
                    value.into_iter().filter(|(_, v)| !v.is_null()).map(|(n, v)| (n, plain(v))).collect();
                writer.put(rows.take(line, &row, &mut told)?)?;
            }
        }
    }
    writer.finish()?;
    told.proxies = rows.proxies.len() as u64;
    Ok(told)
}

struct Rows<'a> {
    mapping: &'a Mapping,
    cloak: Option<&'a Cloak>,
    zero: Option<f64>,
    last: u64,
    proxies: BTreeMap<String, u32>,
}

impl Rows<'_> {
    fn take(&mut self, line: u64, row: &Row, told: &mut Imported) -> Result<Timed, BadRow> {
        let m = self.mapping;
        let field = |name: &str| {
            let found = row.get(name).map(String::as_str).filter(|v| !v.is_empty());
            found.ok_or_else(|| BadRow::Missing { line, field: name.into() })
        };
        let value = |name: &str, value: &str, expected| BadRow::Value {
            line,
            field: name.into(),
            value: value.into(),
            expected,
        };
        let due = field(&m.due)?;
        let number: f64 = due.parse().map_err(|_| value(&m.due, due, "time"))?;
        let us = number * m.unit_us;
        if !us.is_finite() {
            return Err(value(&m.due, due, "time"));
        }
        let zero = *self.zero.get_or_insert(us);
        let at_us = (us - zero).max(0.0).round() as u64;
        // What lies before the first row is put at the recording's zero.
        told.out_of_order += u64::from(at_us < self.last || us < zero);
        self.last = self.last.max(at_us);
        let name = field(&m.route)?;
        let by_name = m.routes.iter().position(|r| r.0 == name);
        let place = by_name.or_else(|| name.parse().ok()).filter(|p| *p < m.routes.len());
        let place = place.ok_or_else(|| value(&m.route, name, "route that is stated"))?;
        let proxy = field(&m.proxy)?;
        let next = self.proxies.len() as u32;
        let proxy = *self.proxies.entry(proxy.into()).or_insert(next);
        let hidden = |text: &str| match self.cloak {
            Some(cloak) => cloak.number(hash(text)),
            None => text.parse().unwrap_or_else(|_| hash(text)),
        };
        let optional = |name: &Option<String>| name.as_ref().and_then(|n| field(n).ok());
        let client = optional(&m.client).map(hidden);
        let work_us = match optional(&m.work_us) {
            Some(text) => {
                let name = m.work_us.as_deref().unwrap_or_default();
                Some(text.parse().map_err(|_| value(name, text, "whole number of microseconds"))?)
            }
            None => None,
        };
        let repeat =
            optional(&m.repeat).is_some_and(|r| r == "true" || r.parse().is_ok_and(|n: f64| n > 0.0));
        told.calls += 1;
        told.repeats += u64::from(repeat);
        told.anonymous += u64::from(client.is_none());
        let (route, importance) = (place as u8, m.routes[place].1);
        let key = optional(&m.key).map_or(0, hidden);
        Ok(Timed {
            at_us,
            event: Event::Call(Call { route, key, importance, client, proxy, work_us, repeat }),
        })
    }
}

/// A number for a text, the same wherever it is imported.
fn hash(text: &str) -> u64 {
    blake3::hash(text.as_bytes()).as_bytes().first_chunk::<8>().map_or(0, |b| u64::from_be_bytes(*b))
}
