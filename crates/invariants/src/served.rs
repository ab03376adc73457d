//! Rule 1. Counts only while the list as told shows a server that is ready and warm.

use crate::check::Pass;
use crate::record::Event;
use crate::told::{Ear, Told};
use grebespool_wire::{Change, EndpointState, ServerId, TableBinding, WeightChange};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

type Lines = BTreeMap<ServerId, f32>;
fn obey(tables: &mut BTreeMap<u16, Lines>, parts: &[Change]) {
    for part in parts {
        match part {
            Change::BindTable(TableBinding { table, weights, .. }) => {
                // A proxy is bound to one table for each route; what it held before is replaced.
                tables.clear();
                tables.insert(*table, weights.iter().map(|w| (w.server, w.weight)).collect());
            }
            Change::SetWeight(WeightChange { table, server, weight, .. }) => {
                let lines = tables.entry(*table).or_default();
                match *weight > 0.0 {
                    true => lines.insert(*server, *weight),
                    false => lines.remove(server),
                };
            }
            _ => {}
        }
    }
}

#[derive(Default)]
struct ProxyState {
    joined: bool,
    tables: BTreeMap<u16, Lines>,
    lacking: Option<Duration>,
    told_of: bool,
}

impl ProxyState {
    fn usable(&self) -> bool {
        !self.tables.is_empty() && self.tables.values().all(|t| t.values().any(|w| *w > 0.0))
    }
}

pub(crate) struct Served {
    unserved: Duration,
    warm_up: Duration,
    proxies: BTreeMap<u16, ProxyState>,
    /// Those that are joined and have no usable line.
    without: BTreeSet<u16>,
}

impl Served {
    pub fn new(unserved: Duration, warm_up: Duration) -> Served {
        Served { unserved, warm_up, proxies: BTreeMap::new(), without: BTreeSet::new() }
    }

    fn any_warm(&self, told: &Told, now: Duration) -> bool {
        told.entries.iter().any(|(id, (phase, _, started))| {
            let (told_at, age) = told.starts.get(&(*id, *started)).copied().unwrap_or_default();
            *phase == EndpointState::Ready
                && (*started == 0 || now.saturating_sub(told_at) + age >= self.warm_up)
        })
    }

    pub fn see(&mut self, at: Duration, passed: &Event, ear: &Ear, pass: &mut Pass) {
        let proxy = match passed {
            Event::Began { proxy, lines } => {
                let state = self.proxies.entry(*proxy).or_default();
                state.tables = [(u16::MAX, lines.iter().copied().collect())].into();
                Some(*proxy)
            }
            Event::Joined { proxy, .. } => {
                let state = self.proxies.entry(*proxy).or_default();
                (state.joined, state.lacking, state.told_of) = (true, None, false);
                pass.checked();
                Some(*proxy)
            }
            Event::Left { proxy } => {
                self.proxies.entry(*proxy).or_default().joined = false;
                Some(*proxy)
            }
            Event::Delivered { proxy, orders } => {
                obey(&mut self.proxies.entry(*proxy).or_default().tables, &orders.changes);
                pass.checked();
                Some(*proxy)
            }
            _ => None,
        };
        if let Some(proxy) = proxy {
            let state = self.proxies.entry(proxy).or_default();
            if state.joined && !state.usable() {
                self.without.insert(proxy);
            } else {
                (state.lacking, state.told_of) = (None, false);
                self.without.remove(&proxy);
            }
        }
        if self.without.is_empty() {
            return;
        }
        let any = self.any_warm(&ear.told, at);
        for proxy in &self.without {
            let Some(state) = self.proxies.get_mut(proxy) else { continue };
            if !any {
                (state.lacking, state.told_of) = (None, false);
                continue;
            }
            let since = *state.lacking.get_or_insert(at);
            if at.saturating_sub(since) > self.unserved && !state.told_of {
                state.told_of = true;
                let what = format!("proxy {proxy} has had no usable line since {:.3} s", since.as_secs_f64());
                let number = *proxy;
                pass.breach(at, what, |p| {
                    matches!(p, Event::Delivered { proxy, .. } | Event::Joined { proxy, .. } if *proxy == number)
                });
            }
        }
    }
}
