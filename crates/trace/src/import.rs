//! Import of recordings from logs in CSV or JSON lines, by a mapping of their fields.

use crate::anonymize::Anonymizer;
use crate::event::{Call, Event, Timed};
use crate::write::Writer;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use thiserror::Error;

/// The format of a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// CSV with a row of field names.
    Csv,
    /// A JSON object in each line.
    JsonLines,
}

/// The names of a log's fields.
#[derive(Debug, Clone, Default)]
pub struct Mapping {
    /// Field of the time at which the request was due, a number in units of `unit_us`.
    pub due: String,
    /// Length of one unit of `due`, in microseconds.
    pub unit_us: f64,
    /// Field of the route: a name out of `routes`, or an index into them.
    pub route: String,
    /// Names of the routes with their priority weights, in the order of the settings.
    pub routes: Vec<(String, f32)>,
    /// Field of the proxy's name.
    pub proxy: String,
    /// Field of the request's key, if the log has one.
    pub key: Option<String>,
    /// Field of the client's id, if the log has one.
    pub client: Option<String>,
    /// Field of the request's work in microseconds, if the log has one.
    pub work_us: Option<String>,
    /// Field that is `true` or a number above 0 for repeats, if the log has one.
    pub repeat: Option<String>,
}

/// The reason why a log cannot be imported.
#[derive(Debug, Error)]
pub enum ImportError {
    /// A row lacks a field, or the field is empty.
    #[error("line {line}: no field {field:?}")]
    Missing {
        /// Line of the log, from 1.
        line: u64,
        /// Name of the field.
        field: String,
    },
    /// A field has a value of another kind.
    #[error("line {line}: field {field:?}: {value:?} is no {expected}")]
    Value {
        /// Line of the log, from 1.
        line: u64,
        /// Name of the field.
        field: String,
        /// The value found.
        value: String,
        /// The kind of value that was expected.
        expected: &'static str,
    },
    /// A row cannot be parsed.
    #[error("line {line}: {why}")]
    Row {
        /// Line of the log, from 1.
        line: u64,
        /// The parser's message.
        why: String,
    },
    /// The mapping lacks a required field.
    #[error("the mapping names no field for {0}")]
    Mapping(&'static str),
    /// The log cannot be read, or the recording cannot be written.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Counts of what was imported.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Imported {
    /// Requests, repeats included.
    pub calls: u64,
    /// Requests that are marked as repeats.
    pub repeats: u64,
    /// Distinct proxies.
    pub proxies: u64,
    /// Rows without a client. These may be repeats that are not marked.
    pub without_client: u64,
    /// Rows with an earlier time than a row before.
    pub out_of_order: u64,
}

type Row = BTreeMap<String, String>;

/// Reads rows one at a time and writes a recording that starts at the first row's time. Proxies are numbered in the
/// order of their first row. Clients and keys that are texts are replaced by hashes; with an `anonymizer`, all clients
/// and keys by keyed hashes.
///
/// # Errors
///
/// Returns the first invalid row, by line and field. The recording up to that row is readable and lacks its end block.
pub fn import(
    from: impl Read,
    form: Form,
    mapping: &Mapping,
    anonymizer: Option<&Anonymizer>,
    to: impl Write,
) -> Result<Imported, ImportError> {
    for (name, field) in [("due", &mapping.due), ("route", &mapping.route), ("proxy", &mapping.proxy)] {
        if field.is_empty() {
            return Err(ImportError::Mapping(name));
        }
    }
    let mut rows = RowDecoder { mapping, anonymizer, start_us: None, latest_us: 0, proxies: BTreeMap::new() };
    let (mut writer, mut imported) = (Writer::new(to)?, Imported::default());
    match form {
        Form::Csv => {
            let mut csv = csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(from);
            let row_error = |e: csv::Error| {
                let line = e.position().map_or(1, csv::Position::line);
                ImportError::Row { line, why: e.to_string() }
            };
            let names = csv.headers().map_err(row_error)?.clone();
            for record in csv.records() {
                let record = record.map_err(row_error)?;
                let line = record.position().map_or(0, csv::Position::line);
                let row = names.iter().zip(&record).map(|(n, v)| (n.into(), v.into())).collect();
                writer.put(rows.decode(line, &row, &mut imported)?)?;
            }
        }
        Form::JsonLines => {
            for (i, text) in BufReader::new(from).lines().enumerate() {
                let (line, text) = (i as u64 + 1, text?);
                if text.trim().is_empty() {
                    continue;
                }
                let value: serde_json::Map<String, serde_json::Value> =
                    serde_json::from_str(&text).map_err(|e| ImportError::Row { line, why: e.to_string() })?;
                let to_text = |v: serde_json::Value| match v {
                    serde_json::Value::String(s) => s,
                    other => other.to_string(),
                };
                let row =
                    value.into_iter().filter(|(_, v)| !v.is_null()).map(|(n, v)| (n, to_text(v))).collect();
                writer.put(rows.decode(line, &row, &mut imported)?)?;
            }
        }
    }
    writer.finish()?;
    imported.proxies = rows.proxies.len() as u64;
    Ok(imported)
}

/// Converts rows into events.
struct RowDecoder<'a> {
    mapping: &'a Mapping,
    anonymizer: Option<&'a Anonymizer>,
    /// Time of the first row in microseconds, by the log's clock.
    start_us: Option<f64>,
    /// Latest time of a row so far, in microseconds since `start_us`.
    latest_us: u64,
    /// Number of each proxy by its name.
    proxies: BTreeMap<String, u32>,
}

impl RowDecoder<'_> {
    /// Converts one row and counts it in `imported`.
    fn decode(&mut self, line: u64, row: &Row, imported: &mut Imported) -> Result<Timed, ImportError> {
        let mapping = self.mapping;
        let field = |name: &str| {
            let found = row.get(name).map(String::as_str).filter(|v| !v.is_empty());
            found.ok_or_else(|| ImportError::Missing { line, field: name.into() })
        };
        let value_error = |name: &str, value: &str, expected| ImportError::Value {
            line,
            field: name.into(),
            value: value.into(),
            expected,
        };
        let due = field(&mapping.due)?;
        let number: f64 = due.parse().map_err(|_| value_error(&mapping.due, due, "time"))?;
        let us = number * mapping.unit_us;
        if !us.is_finite() {
            return Err(value_error(&mapping.due, due, "time"));
        }
        let start_us = *self.start_us.get_or_insert(us);
        // A row with an earlier time than the first row moves to the start of the recording.
        let at_us = (us - start_us).max(0.0).round() as u64;
        imported.out_of_order += u64::from(at_us < self.latest_us || us < start_us);
        self.latest_us = self.latest_us.max(at_us);
        let name = field(&mapping.route)?;
        let by_name = mapping.routes.iter().position(|r| r.0 == name);
        let route = by_name.or_else(|| name.parse().ok()).filter(|p| *p < mapping.routes.len());
        let route = route.ok_or_else(|| value_error(&mapping.route, name, "route that is stated"))?;
        let proxy = field(&mapping.proxy)?;
        let next = self.proxies.len() as u32;
        let proxy = *self.proxies.entry(proxy.into()).or_insert(next);
        let to_number = |text: &str| match self.anonymizer {
            Some(anonymizer) => anonymizer.hash_number(hash(text)),
            None => text.parse().unwrap_or_else(|_| hash(text)),
        };
        let optional = |name: &Option<String>| name.as_ref().and_then(|n| field(n).ok());
        let client = optional(&mapping.client).map(to_number);
        let work_us = match optional(&mapping.work_us) {
            Some(text) => {
                let name = mapping.work_us.as_deref().unwrap_or_default();
                Some(text.parse().map_err(|_| value_error(name, text, "whole number of microseconds"))?)
            }
            None => None,
        };
        let repeat =
            optional(&mapping.repeat).is_some_and(|r| r == "true" || r.parse().is_ok_and(|n: f64| n > 0.0));
        imported.calls += 1;
        imported.repeats += u64::from(repeat);
        imported.without_client += u64::from(client.is_none());
        let (route, importance) = (route as u8, mapping.routes[route].1);
        let key = optional(&mapping.key).map_or(0, to_number);
        Ok(Timed {
            at_us,
            event: Event::Call(Call { route, key, importance, client, proxy, work_us, repeat }),
        })
    }
}

/// Returns a number for a text. The number depends on the text only, so that separate imports agree.
fn hash(text: &str) -> u64 {
    blake3::hash(text.as_bytes()).as_bytes().first_chunk::<8>().map_or(0, |b| u64::from_be_bytes(*b))
}
