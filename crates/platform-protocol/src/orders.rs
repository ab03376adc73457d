//! Orders to bytes.

use grebespool::host::{RetryPolicy, RouteSet, ServerIndex};
use grebespool_assignments::{AdmissionRule, ProxyUpdate, ServerWeight};
use serde_json::{Map, Value, json};

/// What the platform calls routes and servers.
pub struct Words<'a, F: Fn(ServerIndex) -> &'a str> {
    pub routes: &'a [String],
    pub server: F,
}

fn tries(tries: RetryPolicy) -> u8 {
    match tries {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNotExecuted => 1,
        RetryPolicy::AfterFailure => 2,
    }
}

/// One part for each level that differs, of which the first also has the lines and the mark: `whole` forgets levels,
/// so these come after it, and a level for all routes is one line where they agree.
fn levels(levels: &[AdmissionRule], routes: usize) -> Vec<AdmissionRule> {
    let every = (0..routes).fold(0, |set, r| set | (1 << r));
    let mut merged: Vec<AdmissionRule> = vec![];
    for rule in levels {
        let same =
            |other: &&mut AdmissionRule| other.level == rule.level && other.retry_policy == rule.retry_policy;
        match merged.iter_mut().find(same) {
            Some(same) => same.routes |= rule.routes,
            None => merged.push(*rule),
        }
    }
    merged.sort_by_key(|rule| rule.routes);
    for rule in merged.iter_mut().filter(|rule| rule.routes == every) {
        rule.routes = 0;
    }
    merged
}

fn classes(part: &mut Map<String, Value>, set: RouteSet, routes: &[String]) {
    if set != 0 {
        let named =
            routes.iter().enumerate().filter(|(r, _)| set & (1 << r) != 0).map(|(_, name)| json!(name));
        part.insert("classes".into(), named.collect());
    }
}

fn shortest(weight: f32) -> Value {
    // By way of its text: as a wider number it would be written with digits that it does not have.
    weight.to_string().parse::<f64>().map_or(Value::Null, |w| json!(w))
}

/// One message, as one frame for each of its parts.
pub fn frame<'a, F: Fn(ServerIndex) -> &'a str>(update: &ProxyUpdate, words: &Words<'a, F>) -> Vec<u8> {
    let mut parts: Vec<Map<String, Value>> = vec![];
    let mut levels = levels(update.admission, words.routes.len()).into_iter().peekable();
    let mut first = Map::new();
    if update.bound_routes.is_some() || !update.weights.is_empty() {
        let line = |w: &ServerWeight| json!([(words.server)(w.server), shortest(w.weight)]);
        first.insert("lines".into(), update.weights.iter().map(line).collect());
    }
    if let Some(set) = update.bound_routes {
        first.insert("whole".into(), json!(true));
        classes(&mut first, set, words.routes);
    }
    if let Some(rule) = levels.next_if(|rule| rule.routes == update.bound_routes.unwrap_or(0)) {
        first.insert("level".into(), shortest(rule.level));
        first.insert("retry".into(), json!(tries(rule.retry_policy)));
    }
    if !first.is_empty() {
        parts.push(first);
    }
    for rule in levels {
        let mut part = Map::new();
        classes(&mut part, rule.routes, words.routes);
        part.insert("level".into(), shortest(rule.level));
        part.insert("retry".into(), json!(tries(rule.retry_policy)));
        parts.push(part);
    }
    if let (Some(mark), Some(last)) = (update.ack_token, parts.last_mut()) {
        last.insert("ticket".into(), json!(mark));
    }
    let last = parts.len().saturating_sub(1);
    let mut bytes = vec![];
    for (i, mut part) in parts.into_iter().enumerate() {
        part.insert("msg".into(), json!("CONFIG"));
        if i < last {
            part.insert("more".into(), json!(true));
        }
        bytes.extend(framed(&Value::Object(part)));
    }
    bytes
}

/// One object as a frame.
pub fn framed(object: &Value) -> Vec<u8> {
    let body = object.to_string();
    [&(body.len() as u32).to_be_bytes()[..], body.as_bytes()].concat()
}
