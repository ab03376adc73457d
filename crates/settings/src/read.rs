//! Evaluation of files against the records of their format.

use nickel_lang::{Context, ErrorFormat, Expr};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::path::Path;
use thiserror::Error;

const RECORDS: &str = include_str!("records.ncl");

/// The reason why a file is invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path} cannot be read: {why}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The error of the system.
        why: std::io::Error,
    },
    /// The file does not match its record. The text names file, line, field and constraint.
    #[error("{0}")]
    Record(String),
    /// A field has a value that the records cannot exclude.
    #[error("{path}: {field}: {why}")]
    Field {
        /// Path of the file.
        path: String,
        /// Path of the field within the file.
        field: String,
        /// The reason, with the value.
        why: String,
    },
}

fn evaluate_file(path: &Path, record: &str) -> Result<(Context, Expr), SettingsError> {
    evaluate(&imported(path)?, &path.display().to_string(), record)
}

/// Returns a Nickel expression for the contents of a file.
pub(crate) fn imported(path: &Path) -> Result<String, SettingsError> {
    let name = path.display().to_string();
    let unreadable = |why| SettingsError::Unreadable { path: name.clone(), why };
    let whole = path.canonicalize().map_err(unreadable)?;
    let text = std::fs::read_to_string(&whole).map_err(unreadable)?;
    if whole.extension().is_some_and(|e| e == "json") {
        // JSON is converted here: Nickel's own JSON reader fails an assertion in debug builds when the record is then
        // merged with defaults.
        let value = serde_json::from_str(&text).map_err(|e| SettingsError::Record(format!("{name}: {e}")))?;
        return Ok(format!("({})", nickel(&value)));
    }
    let quoted = nickel(&Value::String(whole.display().to_string()));
    Ok(format!("(import {quoted} as 'Nickel)"))
}

/// Returns a Nickel expression for a file in which values are replaced. Each of `values` has the form `path=value`, with
/// a Nickel expression as the value.
pub(crate) fn with_values(file: &str, name: &str, values: &[String]) -> Result<String, SettingsError> {
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

/// Returns a Nickel expression for a JSON value.
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
        // Escapes interpolation, which would evaluate a part of the text.
        Value::String(_) => value.to_string().replace("%{", "\\%{"),
        other => other.to_string(),
    }
}

/// Evaluates an expression against a record. Errors call the expression `name`.
fn evaluate(file: &str, name: &str, record: &str) -> Result<(Context, Expr), SettingsError> {
    let mut context = Context::new().with_source_name("grebespool's records".into());
    let source = format!("let records = {RECORDS}\nin {file} | records.{record}");
    match context.eval_deep_for_export(&source) {
        Ok(expr) => Ok((context, expr)),
        Err(error) => {
            let mut text = Vec::new();
            if error.format(&mut text, ErrorFormat::Text).is_err() {
                text = b"the file cannot be evaluated".to_vec();
            }
            Err(SettingsError::Record(format!("{name}: {}", String::from_utf8_lossy(&text).trim_end())))
        }
    }
}

/// Evaluates an expression against a record and deserializes the result.
pub(crate) fn parse<T: DeserializeOwned>(text: &str, name: &str, record: &str) -> Result<T, SettingsError> {
    let (_, expr) = evaluate(text, name, record)?;
    expr.to_serde().map_err(|e| field(Path::new(name), "the record", e))
}

/// Evaluates a file against a record and deserializes the result.
pub(crate) fn read<T: DeserializeOwned>(path: &Path, record: &str) -> Result<T, SettingsError> {
    let (_, expr) = evaluate_file(path, record)?;
    expr.to_serde().map_err(|e| field(path, "the record", e))
}

/// Returns a file as JSON with all defaults filled in. The JSON can be read again from a file that ends in `.json`.
/// `record` is "Settings" or "Day".
///
/// # Errors
///
/// Returns an error if the file is invalid.
pub fn show(path: &Path, record: &str) -> Result<String, SettingsError> {
    let (context, expr) = evaluate_file(path, record)?;
    context.expr_to_json(&expr).map_err(|e| field(path, "the record", format!("{e:?}")))
}

/// Creates the error of a field.
pub(crate) fn field(path: &Path, field: &str, why: impl ToString) -> SettingsError {
    SettingsError::Field { path: path.display().to_string(), field: field.into(), why: why.to_string() }
}
