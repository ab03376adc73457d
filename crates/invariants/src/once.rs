//! Rule 2: a proxy sends a call again only where the earlier try is proven not to have run, or where its
//! repeat is dropped; and no order is obeyed twice, or after one of a newer start.

use crate::check::{Pass, RouteFacts};
use crate::record::{Event, List};
use grebespool_wire::{Call, CallOutcome, ServerId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// A proxy's try of a call: its number, where to, and when.
type Try = (u8, ServerId, Duration);

pub(crate) struct Once {
    routes: Vec<RouteFacts>,
    refused: BTreeMap<(u64, u8, u8), Duration>,
    tries: BTreeMap<(u64, u8), Vec<Try>>,
    zones: BTreeMap<ServerId, String>,
    /// By proxy: the epoch and the start, stream and number of its newest orders.
    newest: BTreeMap<u16, (u64, (u64, u32, u64))>,
    former: BTreeMap<u16, BTreeSet<u64>>,
    /// Calls that are over, since when.
    over: VecDeque<(Duration, u64)>,
    kept: Duration,
}

impl Once {
    /// A proxy may still be trying what its caller has given up.
    const LINGERS: Duration = Duration::from_secs(120);

    pub fn new(routes: Vec<RouteFacts>) -> Once {
        let window = |r: &RouteFacts| match r {
            RouteFacts::Marked { window, .. } => *window,
            RouteFacts::Freely | RouteFacts::Never => Duration::ZERO,
        };
        let kept = Self::LINGERS + routes.iter().map(window).max().unwrap_or_default();
        Once {
            routes,
            refused: BTreeMap::new(),
            tries: BTreeMap::new(),
            zones: BTreeMap::new(),
            newest: BTreeMap::new(),
            former: BTreeMap::new(),
            over: VecDeque::new(),
            kept,
        }
    }

    fn forget(&mut self, at: Duration) {
        while let Some((_, id)) = self.over.pop_front_if(|o| at.saturating_sub(o.0) > self.kept) {
            let tries: Vec<_> = self.tries.range((id, 0)..=(id, u8::MAX)).map(|t| *t.0).collect();
            tries.iter().for_each(|t| drop(self.tries.remove(t)));
            let refused = self.refused.range((id, 0, 0)..=(id, u8::MAX, u8::MAX));
            let refused: Vec<_> = refused.map(|r| *r.0).collect();
            for r in refused {
                self.refused.remove(&r);
            }
        }
    }

    pub fn see(&mut self, at: Duration, passed: &Event, pass: &mut Pass) {
        let key = |c: &Call| (c.id, c.attempt, c.retry);
        match passed {
            Event::ListTold(List { entries, .. }) => {
                self.zones.extend(entries.iter().map(|e| (e.server, e.zone.clone())));
            }
            Event::Answered { call, outcome: CallOutcome::Rejected, .. } => {
                self.refused.entry(key(call)).or_insert(at);
            }
            Event::Sent { proxy, server, call } => {
                let earlier = self.tries.entry((call.id, call.attempt)).or_default();
                let mut wrong = None;
                for (tried, where_to, sent) in earlier.iter() {
                    let proven = self.refused.contains_key(&(call.id, call.attempt, *tried));
                    let kept = match self.routes.get(usize::from(call.route)) {
                        Some(RouteFacts::Freely) => true,
                        Some(RouteFacts::Marked { window, by_zone }) => {
                            at.saturating_sub(*sent) <= *window
                                && (!by_zone || self.zones.get(where_to) == self.zones.get(server))
                        }
                        Some(RouteFacts::Never) | None => false,
                    };
                    if !proven && !kept {
                        wrong = Some((*tried, *where_to));
                    }
                }
                earlier.push((call.retry, *server, at));
                pass.checked();
                if let Some((tried, to)) = wrong {
                    let (id, what) = (
                        call.id,
                        format!(
                            "proxy {proxy} sends call {} of route {} again to {}, though try {tried} at {} may have run",
                            call.id, call.route, server.addr, to.addr
                        ),
                    );
                    pass.breach(at, what, |p| {
                        matches!(p, Event::Sent { call, .. } | Event::Received { call, .. }
                            | Event::Answered { call, .. } if call.id == id)
                    });
                }
            }
            Event::Delivered { proxy, orders } => {
                pass.checked();
                let this = (orders.incarnation, orders.stream, orders.sequence);
                let (epoch, last) = self.newest.get(proxy).map_or((0, None), |n| (n.0, Some(n.1)));
                let repeated = last.is_some_and(|l| l.0 == this.0 && l.1 == this.1 && l.2 >= this.2);
                let stale = orders.term < epoch
                    || self.former.get(proxy).is_some_and(|f| f.contains(&this.0))
                    || last.is_some_and(|l| l.0 == this.0 && l.1 > this.1);
                if let Some(l) = last.filter(|l| l.0 != this.0) {
                    self.former.entry(*proxy).or_default().insert(l.0);
                }
                if repeated || stale {
                    let how = if repeated { "again" } else { "after newer ones" };
                    let what = format!("orders {this:?} come to proxy {proxy} {how} (last {last:?})");
                    let number = *proxy;
                    pass.breach(
                        at,
                        what,
                        |p| matches!(p, Event::Delivered { proxy, .. } if *proxy == number),
                    );
                } else {
                    self.newest.insert(*proxy, (orders.term, this));
                }
            }
            Event::Done { id, .. } => {
                self.over.push_back((at, *id));
                self.forget(at);
            }
            _ => {}
        }
    }
}
