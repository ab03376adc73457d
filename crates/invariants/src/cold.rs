//! Rule 4. A fall counts against the planner where two thirds of the work that pushed the server over came
//! from proxies whose orders knew of the start, or whose planner had known of it for long enough.

use crate::check::Pass;
use crate::record::{Event, List};
use crate::told::Ear;
use grebespool_wire::{EndpointState, ServerId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

pub(crate) struct Cold {
    knowing: Duration,
    fall: Duration,
    /// The list's version that each proxy's orders knew.
    knows: BTreeMap<u16, u64>,
    joined: BTreeSet<u16>,
    told_by_version: BTreeMap<ServerId, (u64, Duration)>,
    /// Work that came to a server lately: when, from whom, how much, and whether that proxy knew of its start.
    recent: BTreeMap<ServerId, VecDeque<(Duration, u16, u32, bool)>>,
}

impl Cold {
    pub fn new(knowing: Duration, fall: Duration) -> Cold {
        Cold {
            knowing,
            fall,
            knows: BTreeMap::new(),
            joined: BTreeSet::new(),
            told_by_version: BTreeMap::new(),
            recent: BTreeMap::new(),
        }
    }

    pub fn see(&mut self, at: Duration, passed: &Event, ear: &Ear, pass: &mut Pass) {
        match passed {
            Event::ListTold(List { version, entries, .. }) => {
                for e in entries.iter().filter(|e| e.state == EndpointState::Ready && e.started_ms > 0) {
                    let first = ear.told.starts.get(&(e.server, e.started_ms)).map_or(at, |s| s.0);
                    let known = self.told_by_version.entry(e.server).or_insert((*version, first));
                    if first > known.1 {
                        *known = (*version, first);
                    }
                }
            }
            Event::PlannerKilled => {
                self.told_by_version.clear();
                self.joined.clear();
            }
            Event::Joined { proxy, .. } => drop(self.joined.insert(*proxy)),
            Event::Left { proxy } => drop(self.joined.remove(proxy)),
            Event::Delivered { proxy, orders } => drop(self.knows.insert(*proxy, orders.endpoints_version)),
            Event::Up { server, .. } => {
                self.recent.remove(server);
                self.told_by_version.remove(server);
                pass.checked();
            }
            Event::Received { server, call } => {
                let list = self.recent.entry(*server).or_default();
                let knowing = self.told_by_version.get(server).is_some_and(|(version, told)| {
                    self.knows.get(&call.proxy).is_some_and(|k| k >= version)
                        || (self.joined.contains(&call.proxy) && at.saturating_sub(*told) >= self.knowing)
                });
                list.push_back((at, call.proxy, call.work_us, knowing));
                while list.front().is_some_and(|r| at.saturating_sub(r.0) > self.fall) {
                    list.pop_front();
                }
            }
            Event::Fell { server } => {
                let list = self.recent.remove(server).unwrap_or_default();
                let all: f64 = list.iter().map(|r| f64::from(r.2)).sum();
                let known: f64 = list.iter().filter(|r| r.3).map(|r| f64::from(r.2)).sum();
                if known * 3.0 >= all * 2.0 && all > 0.0 {
                    let id = *server;
                    let what = format!(
                        "{} fell over; {:.0}% of its work came from proxies that knew of its start",
                        server.addr,
                        100.0 * known / all
                    );
                    pass.breach(at, what, |p| match p {
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
