//! Conversion of nested JSON to plain values by path, in the format of `path=value` pairs.

use serde_json::Value;
use std::collections::BTreeMap;

/// The key of the number of items in a list of objects.
const COUNT: &str = "count";

/// Returns the plain values of nested JSON by their paths.
pub(crate) fn flatten(nested: &Value) -> BTreeMap<String, String> {
    let mut values = BTreeMap::new();
    insert(String::new(), nested, &mut values);
    values
}

fn insert(path: String, value: &Value, values: &mut BTreeMap<String, String>) {
    match value {
        Value::Null => {}
        Value::Object(fields) => {
            for (name, field) in fields {
                insert(child(&path, name), field, values);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            values.insert(child(&path, COUNT), items.len().to_string());
            for (position, item) in items.iter().enumerate() {
                insert(child(&path, &position.to_string()), item, values);
            }
        }
        Value::Array(items) => {
            values.insert(path, items.iter().map(plain).collect::<Vec<_>>().join(","));
        }
        scalar => {
            values.insert(path, plain(scalar));
        }
    }
}

fn child(path: &str, name: &str) -> String {
    if path.is_empty() { name.into() } else { format!("{path}.{name}") }
}

/// Formats a scalar as in `path=value` pairs: spaces, commas and line breaks in a text become underscores, because they
/// separate items or lines.
fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ',', '\n'], "_"),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
