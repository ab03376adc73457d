//! Rule 4: no cold server is pushed over. A crash counts against the planner if two thirds of the work that
//! it was sent came from proxies whose updates took its start into account, or whose planner had known of it for long
//! enough.

use crate::check::RuleReporter;
use crate::planner_view::PlannerView;
use crate::record::{Event, List};
use grebespool_wire::{EndpointState, ServerId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Checks rule 4.
pub(crate) struct SlowStart {
    knowing: Duration,
    fall: Duration,
    /// By proxy: the version of the list that its newest update is based on.
    applied_version: BTreeMap<u16, u64>,
    joined: BTreeSet<u16>,
    /// By server: the version of the list that first had its current start, and when the planner learned of it.
    start_listed: BTreeMap<ServerId, (u64, Duration)>,
    /// By server: work that arrived within `fall`, as time, proxy, microseconds, and true if the proxy or its planner
    /// knew of the start.
    recent: BTreeMap<ServerId, VecDeque<(Duration, u16, u32, bool)>>,
}

impl SlowStart {
    pub(crate) fn new(knowing: Duration, fall: Duration) -> SlowStart {
        SlowStart {
            knowing,
            fall,
            applied_version: BTreeMap::new(),
            joined: BTreeSet::new(),
            start_listed: BTreeMap::new(),
            recent: BTreeMap::new(),
        }
    }

    /// Checks one event.
    pub(crate) fn observe(
        &mut self,
        at: Duration,
        event: &Event,
        planner_view: &PlannerView,
        reporter: &mut RuleReporter,
    ) {
        match event {
            Event::ListTold(List { version, entries, .. }) => {
                for e in entries.iter().filter(|e| e.state == EndpointState::Ready && e.started_ms > 0) {
                    let first = planner_view.list.starts.get(&(e.server, e.started_ms)).map_or(at, |s| s.0);
                    let known = self.start_listed.entry(e.server).or_insert((*version, first));
                    if first > known.1 {
                        *known = (*version, first);
                    }
                }
            }
            Event::PlannerKilled => {
                self.start_listed.clear();
                self.joined.clear();
            }
            Event::Joined { proxy, .. } => drop(self.joined.insert(*proxy)),
            Event::Left { proxy } => drop(self.joined.remove(proxy)),
            Event::Delivered { proxy, orders } => {
                self.applied_version.insert(*proxy, orders.endpoints_version);
            }
            Event::Up { server, .. } => {
                self.recent.remove(server);
                self.start_listed.remove(server);
                reporter.count_check();
            }
            Event::Received { server, call } => {
                let received = self.recent.entry(*server).or_default();
                let knowing = self.start_listed.get(server).is_some_and(|(version, known_since)| {
                    self.applied_version.get(&call.proxy).is_some_and(|k| k >= version)
                        || (self.joined.contains(&call.proxy)
                            && at.saturating_sub(*known_since) >= self.knowing)
                });
                received.push_back((at, call.proxy, call.work_us, knowing));
                while received.front().is_some_and(|r| at.saturating_sub(r.0) > self.fall) {
                    received.pop_front();
                }
            }
            Event::Fell { server } => {
                let received = self.recent.remove(server).unwrap_or_default();
                let all: f64 = received.iter().map(|r| f64::from(r.2)).sum();
                let known: f64 = received.iter().filter(|r| r.3).map(|r| f64::from(r.2)).sum();
                if known * 3.0 >= all * 2.0 && all > 0.0 {
                    let id = *server;
                    let what = format!(
                        "{} fell over; {:.0}% of its work came from proxies that knew of its start",
                        server.addr,
                        100.0 * known / all
                    );
                    reporter.report_violation(at, what, |p| match p {
                        Event::ListTold(List { entries, .. }) => entries.iter().any(|e| e.server == id),
                        Event::Up { server, .. } => *server == id,
                        _ => false,
                    });
                }
            }
            _ => {}
        }
    }
}
