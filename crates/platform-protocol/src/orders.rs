//! Orders to bytes.

use grebespool::host::{RetryPolicy, RouteSet, ServerIndex};
use grebespool_assignments::{Level, Told};
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
fn levels(levels: &[Level], routes: usize) -> Vec<(RouteSet, f32, RetryPolicy)> {
    let every = (0..routes).fold(0, |set, r| set | (1 << r));
    let mut merged: Vec<Level> = vec![];
    for (set, share, tries) in levels {
        match merged.iter_mut().find(|l| l.1 == *share && l.2 == *tries) {
            Some(same) => same.0 |= set,
            None => merged.push((*set, *share, *tries)),
        }
    }
    merged.sort_by_key(|l| l.0);
    merged.into_iter().map(|(set, share, t)| (if set == every { 0 } else { set }, share, t)).collect()
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
pub fn frame<'a, F: Fn(ServerIndex) -> &'a str>(told: &Told, words: &Words<'a, F>) -> Vec<u8> {
    let mut parts: Vec<Map<String, Value>> = vec![];
    let mut levels = levels(told.levels, words.routes.len()).into_iter().peekable();
    let mut first = Map::new();
    if told.bound.is_some() || !told.lines.is_empty() {
        let line = |(s, weight): &(ServerIndex, f32)| json!([(words.server)(*s), shortest(*weight)]);
        first.insert("lines".into(), told.lines.iter().map(line).collect());
    }
    if let Some(set) = told.bound {
        first.insert("whole".into(), json!(true));
        classes(&mut first, set, words.routes);
    }
    if let Some((_, share, t)) = levels.next_if(|l| l.0 == told.bound.unwrap_or(0)) {
        first.insert("level".into(), shortest(share));
        first.insert("retry".into(), json!(tries(t)));
    }
    if !first.is_empty() {
        parts.push(first);
    }
    for (set, share, t) in levels {
        let mut part = Map::new();
        classes(&mut part, set, words.routes);
        part.insert("level".into(), shortest(share));
        part.insert("retry".into(), json!(tries(t)));
        parts.push(part);
    }
    if let (Some(mark), Some(last)) = (told.mark, parts.last_mut()) {
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
