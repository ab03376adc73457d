//! Rule 3: a proxy stops sending to a draining or removed server within the grace. The grace starts when the planner
//! learns of the drain or when the proxy joins, whichever is later.

use crate::check::RuleReporter;
use crate::planner_view::PlannerView;
use crate::record::{Event, List};
use grebespool_wire::EndpointState;
use std::collections::BTreeMap;
use std::time::Duration;

/// Checks rule 3.
pub(crate) struct Drain {
    grace: Duration,
    /// By joined proxy: when it joined.
    joined: BTreeMap<u16, Duration>,
    /// Begin and end of each stall, which doesn't count against the grace: a stalled planner receives and sends
    /// nothing.
    stalls: Vec<(Duration, Duration)>,
}

impl Drain {
    pub(crate) fn new(grace: Duration) -> Drain {
        Drain { grace, joined: BTreeMap::new(), stalls: vec![] }
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
            Event::Joined { proxy, .. } => drop(self.joined.insert(*proxy, at)),
            Event::Left { proxy } => drop(self.joined.remove(proxy)),
            Event::PlannerKilled => self.joined.clear(),
            Event::PlannerStalled => self.stalls.push((at, Duration::MAX)),
            Event::PlannerResumed => self.stalls.iter_mut().last().into_iter().for_each(|s| s.1 = at),
            Event::Sent { proxy, server, .. } => {
                let (Some(joined_at), Some((phase, known_since, _))) =
                    (self.joined.get(proxy), planner_view.list.entries.get(server))
                else {
                    return;
                };
                if *phase == EndpointState::Ready {
                    return;
                }
                reporter.count_check();
                let from = (*known_since).max(*joined_at);
                let stalled: Duration =
                    self.stalls.iter().map(|s| s.1.min(at).saturating_sub(s.0.max(from))).sum();
                let over = at.saturating_sub(from).saturating_sub(stalled);
                if over > self.grace {
                    let (number, id) = (*proxy, *server);
                    let what = format!(
                        "proxy {proxy} sends to {} {:.3} s after its planner was told that it is {phase:?}",
                        server.addr,
                        over.as_secs_f64()
                    );
                    reporter.report_violation(at, what, |p| match p {
                        Event::Delivered { proxy, .. } | Event::Joined { proxy, .. } => *proxy == number,
                        Event::ListTold(List { entries, .. }) => entries.iter().any(|e| e.server == id),
                        _ => false,
                    });
                }
            }
            // A drain counts as checked even if all proxies stopped sending to the server in time.
            Event::ListTold(List { entries, .. })
                if entries.iter().any(|e| e.state != EndpointState::Ready) =>
            {
                reporter.count_check();
            }
            _ => {}
        }
    }
}
