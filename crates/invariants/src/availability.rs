//! Rule 1: no joined proxy is without a usable weight entry for longer than the limit. Time counts only while the
//! planner's list shows a server that is ready and warm.

use crate::check::RuleReporter;
use crate::planner_view::{ListView, PlannerView};
use crate::record::Event;
use grebespool_wire::{Change, EndpointState, ServerId, TableBinding, WeightChange};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Weights of a table's entries.
type Weights = BTreeMap<ServerId, f32>;

/// Applies an update's changes to a proxy's tables.
fn apply_changes(tables: &mut BTreeMap<u16, Weights>, changes: &[Change]) {
    for change in changes {
        match change {
            Change::BindTable(TableBinding { table, weights, .. }) => {
                // A binding replaces all tables that the proxy had.
                tables.clear();
                tables.insert(*table, weights.iter().map(|w| (w.server, w.weight)).collect());
            }
            Change::SetWeight(WeightChange { table, server, weight, .. }) => {
                let weights = tables.entry(*table).or_default();
                match *weight > 0.0 {
                    true => weights.insert(*server, *weight),
                    false => weights.remove(server),
                };
            }
            _ => {}
        }
    }
}

#[derive(Default)]
struct ProxyState {
    joined: bool,
    tables: BTreeMap<u16, Weights>,
    /// Since when the proxy has had no usable entry although a warm server was listed.
    unserved_since: Option<Duration>,
    /// True if a violation was reported for the present lack.
    reported: bool,
}

impl ProxyState {
    /// Returns true if the proxy has tables and each has an entry with a positive weight.
    fn usable(&self) -> bool {
        !self.tables.is_empty() && self.tables.values().all(|t| t.values().any(|w| *w > 0.0))
    }
}

/// Checks rule 1.
pub(crate) struct Availability {
    unserved: Duration,
    warm_up: Duration,
    proxies: BTreeMap<u16, ProxyState>,
    /// Joined proxies that have no usable entry.
    unserved_proxies: BTreeSet<u16>,
}

impl Availability {
    pub(crate) fn new(unserved: Duration, warm_up: Duration) -> Availability {
        Availability { unserved, warm_up, proxies: BTreeMap::new(), unserved_proxies: BTreeSet::new() }
    }

    /// Returns true if the planner's list shows a server that is ready and warm.
    fn any_warm(&self, list: &ListView, now: Duration) -> bool {
        list.entries.iter().any(|(id, (phase, _, started))| {
            let (known_since, age) = list.starts.get(&(*id, *started)).copied().unwrap_or_default();
            *phase == EndpointState::Ready
                && (*started == 0 || now.saturating_sub(known_since) + age >= self.warm_up)
        })
    }

    /// Checks one event.
    pub(crate) fn observe(
        &mut self,
        at: Duration,
        event: &Event,
        planner_view: &PlannerView,
        reporter: &mut RuleReporter,
    ) {
        let proxy = match event {
            Event::Began { proxy, lines } => {
                let state = self.proxies.entry(*proxy).or_default();
                state.tables = [(u16::MAX, lines.iter().copied().collect())].into();
                Some(*proxy)
            }
            Event::Joined { proxy, .. } => {
                let state = self.proxies.entry(*proxy).or_default();
                (state.joined, state.unserved_since, state.reported) = (true, None, false);
                reporter.count_check();
                Some(*proxy)
            }
            Event::Left { proxy } => {
                self.proxies.entry(*proxy).or_default().joined = false;
                Some(*proxy)
            }
            Event::Delivered { proxy, orders } => {
                apply_changes(&mut self.proxies.entry(*proxy).or_default().tables, &orders.changes);
                reporter.count_check();
                Some(*proxy)
            }
            _ => None,
        };
        if let Some(proxy) = proxy {
            let state = self.proxies.entry(proxy).or_default();
            if state.joined && !state.usable() {
                self.unserved_proxies.insert(proxy);
            } else {
                (state.unserved_since, state.reported) = (None, false);
                self.unserved_proxies.remove(&proxy);
            }
        }
        if self.unserved_proxies.is_empty() {
            return;
        }
        let any_warm = self.any_warm(&planner_view.list, at);
        for proxy in &self.unserved_proxies {
            let Some(state) = self.proxies.get_mut(proxy) else { continue };
            if !any_warm {
                (state.unserved_since, state.reported) = (None, false);
                continue;
            }
            let since = *state.unserved_since.get_or_insert(at);
            if at.saturating_sub(since) > self.unserved && !state.reported {
                state.reported = true;
                let what = format!("proxy {proxy} has had no usable line since {:.3} s", since.as_secs_f64());
                let number = *proxy;
                reporter.report_violation(at, what, |p| {
                    matches!(p, Event::Delivered { proxy, .. } | Event::Joined { proxy, .. } if *proxy == number)
                });
            }
        }
    }
}
