//! Evaluating a file against its records.

use nickel_lang::{Context, ErrorFormat, Expr};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::path::Path;
use thiserror::Error;

const RECORDS: &str = include_str!("records.ncl");

/// What is wrong with a file.
#[derive(Debug, Error)]
pub enum Bad {
    #[error("{path} cannot be read: {why}")]
    Unreadable { path: String, why: std::io::Error },
    /// Already says where: file, line, field and the constraint.
    #[error("{0}")]
    Record(String),
    #[error("{path}: {field}: {why}")]
    Field { path: String, field: String, why: String },
}

fn evaluate_file(path: &Path, record: &str) -> Result<(Context, Expr), Bad> {
    evaluate(&imported(path)?, &path.display().to_string(), record)
}

/// A file in Nickel's words.
pub(crate) fn imported(path: &Path) -> Result<String, Bad> {
    let name = path.display().to_string();
    let unreadable = |why| Bad::Unreadable { path: name.clone(), why };
    let whole = path.canonicalize().map_err(unreadable)?;
    let text = std::fs::read_to_string(&whole).map_err(unreadable)?;
    if whole.extension().is_some_and(|e| e == "json") {
        // Put into Nickel's own words first: its own reader of JSON fails an assertion in debug builds where a
        // record is then merged with defaults.
        let value = serde_json::from_str(&text).map_err(|e| Bad::Record(format!("{name}: {e}")))?;
        return Ok(format!("({})", nickel(&value)));
    }
    let quoted = nickel(&Value::String(whole.display().to_string()));
    Ok(format!("(import {quoted} as 'Nickel)"))
}

/// Text of a file with values put in place of its own: each `path=value`, the value in Nickel's words.
pub(crate) fn with_values(file: &str, name: &str, values: &[String]) -> Result<String, Bad> {
    let mut text = file.to_string();
    for value in values {
        let bad = |why: &str| Err(field(Path::new(name), value, why));
        let Some((path, to)) = value.split_once('=') else {
            return bad("expected path=value, such as deployment.proxies.try_factor=0.8");
        };
        let part = |p: &str| !p.is_empty() && p.chars().all(|c| c.is_ascii_alphanumeric() || c == '_');
        if !path.trim().split('.').all(part) {
            return bad("the path is names of fields with dots between");
        }
        text = format!("({text} & {{ {} | force = {to} }})", path.trim());
    }
    Ok(text)
}

/// A JSON value in Nickel's words.
pub(crate) fn nickel(value: &Value) -> String {
    match value {
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(nickel).collect();
            format!("[{}]", items.join(", "))
        }
        Value::Object(fields) => {
            let field = |(name, value): (&String, &Value)| {
                format!("{} = {}", nickel(&Value::String(name.clone())), nickel(value))
            };
            let fields: Vec<String> = fields.iter().map(field).collect();
            format!("{{ {} }}", fields.join(", "))
        }
        // Else a text could have parts of itself worked out.
        Value::String(_) => value.to_string().replace("%{", "\\%{"),
        other => other.to_string(),
    }
}

fn evaluate(file: &str, name: &str, record: &str) -> Result<(Context, Expr), Bad> {
    let mut context = Context::new().with_source_name("grebespool's records".into());
    let source = format!("let records = {RECORDS}\nin {file} | records.{record}");
    match context.eval_deep_for_export(&source) {
        Ok(expr) => Ok((context, expr)),
        Err(error) => {
            let mut text = Vec::new();
            if error.format(&mut text, ErrorFormat::Text).is_err() {
                text = b"the file cannot be evaluated".to_vec();
            }
            Err(Bad::Record(format!("{name}: {}", String::from_utf8_lossy(&text).trim_end())))
        }
    }
}

pub(crate) fn parse<T: DeserializeOwned>(text: &str, name: &str, record: &str) -> Result<T, Bad> {
    let (_, expr) = evaluate(text, name, record)?;
    expr.to_serde().map_err(|e| field(Path::new(name), "the record", e))
}

pub(crate) fn read<T: DeserializeOwned>(path: &Path, record: &str) -> Result<T, Bad> {
    let (_, expr) = evaluate_file(path, record)?;
    expr.to_serde().map_err(|e| field(path, "the record", e))
}

/// The file with all defaults filled in, as JSON, which is read as well (by its ending, `.json`). `record`: "Settings" or "Day".
///
/// # Errors
///
/// As for reading it.
pub fn show(path: &Path, record: &str) -> Result<String, Bad> {
    let (context, expr) = evaluate_file(path, record)?;
    context.expr_to_json(&expr).map_err(|e| field(path, "the record", format!("{e:?}")))
}

pub(crate) fn field(path: &Path, field: &str, why: impl ToString) -> Bad {
    Bad::Field { path: path.display().to_string(), field: field.into(), why: why.to_string() }
}
