//! What is said of the same again and again, and what happened to whom.

use grebespool::host::{Endpoint, EndpointState, ProxyId, ServerIndex};
use grebespool_assignments::ServerWeight;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::time::Duration;

/// The first few by name, and how many more there are: a line is no longer for a fleet of thousands.
fn named<T: Display>(all: impl ExactSizeIterator<Item = T>) -> String {
    const MOST: usize = 96;
    let more = all.len().saturating_sub(MOST);
    let names: Vec<String> = all.take(MOST).map(|name| name.to_string()).collect();
    let more = if more > 0 { format!(" and {more} more") } else { String::new() };
    names.join(" ") + &more
}

/// What happened to proxies and servers since the last lines: with the planners' logs beside one another, enough to
/// follow one of them through a day. Lines are as many as looks, whatever happens.
#[derive(Default)]
pub struct Diary {
    joined: Vec<ProxyId>,
    bound: Vec<ProxyId>,
    left: Vec<ProxyId>,
    closed: Vec<ProxyId>,
    replaced: Vec<ProxyId>,
    ordered: BTreeMap<ServerIndex, f32>,
    out: BTreeSet<ServerIndex>,
}

/// How a proxy's stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Left {
    ByItself,
    /// It was let go here.
    Closed,
    /// By a newer one of the same proxy.
    Replaced,
}

impl Diary {
    pub fn joined(&mut self, proxy: ProxyId) {
        self.joined.push(proxy);
    }

    /// A whole table was written to it.
    pub fn bound(&mut self, proxy: ProxyId) {
        self.bound.push(proxy);
    }

    pub fn left(&mut self, proxy: ProxyId, how: Left) {
        let of = match how {
            Left::ByItself => &mut self.left,
            Left::Closed => &mut self.closed,
            Left::Replaced => &mut self.replaced,
        };
        of.push(proxy);
    }

    /// Of several tables the least weight counts: it is what a drain or a fault is seen by.
    pub fn ordered(&mut self, lines: &[ServerWeight]) {
        for ServerWeight { server, weight } in lines {
            let least = self.ordered.entry(*server).or_insert(f32::MAX);
            *least = least.min(*weight);
        }
    }

    /// A line for each kind of which there is anything. Weights are in none, only who was taken out of some table and
    /// who is back in all that changed.
    pub fn lines<'a>(&mut self, id: impl Fn(ServerIndex) -> &'a str) -> Vec<String> {
        let fresh = Diary { out: std::mem::take(&mut self.out), ..Diary::default() };
        let Diary { joined, bound, left, closed, replaced, ordered, .. } = std::mem::replace(self, fresh);
        let proxies = [
            ("joined", joined),
            ("bound", bound),
            ("left", left),
            ("closed", closed),
            ("replaced", replaced),
        ];
        let proxies = proxies.into_iter().filter(|(_, of)| !of.is_empty());
        let mut lines: Vec<String> =
            proxies.map(|(how, of)| format!("proxies {how}: {}", named(of.iter()))).collect();
        let (gone, kept): (Vec<_>, Vec<_>) = ordered.into_iter().partition(|(_, weight)| *weight <= 0.0);
        let gone: Vec<ServerIndex> = gone.into_iter().map(|o| o.0).filter(|s| self.out.insert(*s)).collect();
        let back: Vec<ServerIndex> = kept.into_iter().map(|o| o.0).filter(|s| self.out.remove(s)).collect();
        for (how, of) in [("out", gone), ("back", back)] {
            if !of.is_empty() {
                lines.push(format!("servers {how}: {}", named(of.iter().map(|s| id(*s)))));
            }
        }
        lines
    }
}

/// What an answer of the list changed.
pub fn list_line(version: Option<u64>, since: Option<u64>, entries: &[(String, Endpoint)]) -> String {
    let version = version.map_or("none".into(), |v| v.to_string());
    let since = since.map_or("the start".into(), |v| v.to_string());
    let mut line = format!("list {version} since {since}:");
    for (state, phase) in [
        ("draining", EndpointState::Draining),
        ("gone", EndpointState::Removed),
        ("ready", EndpointState::Ready),
    ] {
        let of: Vec<&String> = entries.iter().filter(|e| e.1.state == phase).map(|e| &e.0).collect();
        if !of.is_empty() {
            line += &format!(" {} {state} ({})", of.len(), named(of.into_iter()));
        }
    }
    line
}

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
