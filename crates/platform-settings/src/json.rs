//! Nested JSON as plain values by path, the same as pairs have them.

use serde_json::Value;
use std::collections::BTreeMap;

/// The field beside the items of a list of objects that has their number.
const COUNT: &str = "count";

/// The plain values of nested JSON by their paths.
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
        plain_value => {
            values.insert(path, plain(plain_value));
        }
    }
}

fn child(path: &str, name: &str) -> String {
    if path.is_empty() { name.into() } else { format!("{path}.{name}") }
}

/// As pairs have it: an underscore stands for what would separate items or lines.
fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ',', '\n'], "_"),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}
