//! Rule 3. The clock starts when the planner was told or when the proxy joined, whichever is later.

use crate::check::Pass;
use crate::record::{Event, List};
use crate::told::Ear;
use grebespool_wire::EndpointState;
use std::collections::BTreeMap;
use std::time::Duration;

pub(crate) struct Drained {
    grace: Duration,
    joined: BTreeMap<u16, Duration>,
    /// A planner that stood still is not told anything meanwhile, nor can it tell.
    stalls: Vec<(Duration, Duration)>,
}

impl Drained {
    pub fn new(grace: Duration) -> Drained {
        Drained { grace, joined: BTreeMap::new(), stalls: vec![] }
    }

    pub fn see(&mut self, at: Duration, passed: &Event, ear: &Ear, pass: &mut Pass) {
        match passed {
            Event::Joined { proxy, .. } => drop(self.joined.insert(*proxy, at)),
            Event::Left { proxy } => drop(self.joined.remove(proxy)),
            Event::PlannerKilled => self.joined.clear(),
            Event::PlannerStalled => self.stalls.push((at, Duration::MAX)),
            Event::PlannerResumed => self.stalls.iter_mut().last().into_iter().for_each(|s| s.1 = at),
            Event::Sent { proxy, server, .. } => {
                let (Some(since), Some((phase, told, _))) =
                    (self.joined.get(proxy), ear.told.entries.get(server))
                else {
                    return;
                };
                if *phase == EndpointState::Ready {
                    return;
                }
                pass.checked();
                let from = (*told).max(*since);
                let still: Duration =
                    self.stalls.iter().map(|s| s.1.min(at).saturating_sub(s.0.max(from))).sum();
                let over = at.saturating_sub(from).saturating_sub(still);
                if over > self.grace {
                    let (number, id) = (*proxy, *server);
                    let what = format!(
                        "proxy {proxy} sends to {} {:.3} s after its planner was told that it is {phase:?}",
                        server.addr,
                        over.as_secs_f64()
                    );
                    pass.breach(at, what, |p| match p {
                        Event::Delivered { proxy, .. } | Event::Joined { proxy, .. } => *proxy == number,
                        Event::ListTold(List { entries, .. }) => entries.iter().any(|e| e.server == id),
                        _ => false,
                    });
                }
            }
            // Drains that were told count as checked even where all proxies had left the server in time.
            Event::ListTold(List { entries, .. })
                if entries.iter().any(|e| e.state != EndpointState::Ready) =>
            {
                pass.checked();
            }
            _ => {}
        }
    }
}
