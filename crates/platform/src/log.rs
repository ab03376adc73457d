//! What is said of the same again and again.

use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Default)]
struct Line {
    said_at: Option<Duration>,
    kept_back: u64,
}

/// Against a log that floods: of each kind one line at once, then one for all that came within a while.
pub struct Gathered {
    every: Duration,
    lines: BTreeMap<&'static str, Line>,
}

impl Gathered {
    pub fn new(every: Duration) -> Self {
        Gathered { every, lines: BTreeMap::new() }
    }

    /// The line to be said now, if any.
    pub fn say(&mut self, now: Duration, kind: &'static str, text: &str) -> Option<String> {
        let line = self.lines.entry(kind).or_default();
        if line.said_at.is_some_and(|at| now.saturating_sub(at) < self.every) {
            line.kept_back += 1;
            return None;
        }
        let before = std::mem::take(&mut line.kept_back);
        line.said_at = Some(now);
        let text: String = text.chars().take(200).collect();
        Some(if before > 0 {
            format!("{kind}: {text} (and {before} more since the last)")
        } else {
            format!("{kind}: {text}")
        })
    }
}
