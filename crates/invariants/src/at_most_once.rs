//! Rule 2: a proxy sends a request again only if the earlier attempt is proven not to have run, or if the duplicate is
//! harmless. A proxy applies no update twice, and none from an older planner, stream or term than its newest.

use crate::check::{RouteFacts, RuleReporter};
use crate::record::{Event, List};
use grebespool_wire::{Call, CallOutcome, ServerId, Update};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// One attempt of a proxy: its retry number, its server, and when it was sent.
type Attempt = (u8, ServerId, Duration);

/// Checks rule 2.
pub(crate) struct AtMostOnce {
    routes: Vec<RouteFacts>,
    /// Attempts (request, client attempt, retry) that a server rejected, so that they did not run.
    rejected: BTreeMap<(u64, u8, u8), Duration>,
    /// Attempts by request and client attempt.
    attempts: BTreeMap<(u64, u8), Vec<Attempt>>,
    zones: BTreeMap<ServerId, String>,
    /// By proxy: the term, and the incarnation, stream and sequence number, of its newest update.
    newest: BTreeMap<u16, (u64, (u64, u32, u64))>,
    /// By proxy: incarnations whose updates it applied before those of its newest one.
    former_incarnations: BTreeMap<u16, BTreeSet<u64>>,
    /// Requests that ended, and when, in that order.
    finished: VecDeque<(Duration, u64)>,
    /// Time for which a finished request is remembered.
    retention: Duration,
}

impl AtMostOnce {
    /// Time for which a proxy may still send attempts of a request that its client gave up.
    const MAX_LATE_ATTEMPT: Duration = Duration::from_secs(120);

    pub(crate) fn new(routes: Vec<RouteFacts>) -> AtMostOnce {
        let window = |r: &RouteFacts| match r {
            RouteFacts::Marked { window, .. } => *window,
            RouteFacts::Freely | RouteFacts::Never => Duration::ZERO,
        };
        let retention = Self::MAX_LATE_ATTEMPT + routes.iter().map(window).max().unwrap_or_default();
        AtMostOnce {
            routes,
            rejected: BTreeMap::new(),
            attempts: BTreeMap::new(),
            zones: BTreeMap::new(),
            newest: BTreeMap::new(),
            former_incarnations: BTreeMap::new(),
            finished: VecDeque::new(),
            retention,
        }
    }

    /// Drops finished requests whose retention has expired.
    fn evict_expired(&mut self, now: Duration) {
        while let Some((_, id)) =
            self.finished.pop_front_if(|finished| now.saturating_sub(finished.0) > self.retention)
        {
            let keys: Vec<_> = self.attempts.range((id, 0)..=(id, u8::MAX)).map(|entry| *entry.0).collect();
            keys.iter().for_each(|key| drop(self.attempts.remove(key)));
            let rejected = self.rejected.range((id, 0, 0)..=(id, u8::MAX, u8::MAX));
            let rejected: Vec<_> = rejected.map(|entry| *entry.0).collect();
            for key in rejected {
                self.rejected.remove(&key);
            }
        }
    }

    /// Checks one event.
    pub(crate) fn observe(&mut self, at: Duration, event: &Event, reporter: &mut RuleReporter) {
        match event {
            Event::ListTold(List { entries, .. }) => {
                self.zones.extend(entries.iter().map(|e| (e.server, e.zone.clone())));
            }
            Event::Answered { call, outcome: CallOutcome::Rejected, .. } => {
                self.rejected.entry((call.id, call.attempt, call.retry)).or_insert(at);
            }
            Event::Sent { proxy, server, call } => self.check_attempt(at, *proxy, *server, call, reporter),
            Event::Delivered { proxy, orders } => self.check_update(at, *proxy, orders, reporter),
            Event::Done { id, .. } => {
                self.finished.push_back((at, *id));
                self.evict_expired(at);
            }
            _ => {}
        }
    }

    /// Checks an attempt against all earlier attempts of the same request and client attempt.
    fn check_attempt(
        &mut self,
        at: Duration,
        proxy: u16,
        server: ServerId,
        call: &Call,
        reporter: &mut RuleReporter,
    ) {
        let earlier = self.attempts.entry((call.id, call.attempt)).or_default();
        let mut unsafe_retry_of = None;
        for (retry, earlier_server, sent) in earlier.iter() {
            let proven = self.rejected.contains_key(&(call.id, call.attempt, *retry));
            let harmless = match self.routes.get(usize::from(call.route)) {
                Some(RouteFacts::Freely) => true,
                Some(RouteFacts::Marked { window, by_zone }) => {
                    at.saturating_sub(*sent) <= *window
                        && (!by_zone || self.zones.get(earlier_server) == self.zones.get(&server))
                }
                Some(RouteFacts::Never) | None => false,
            };
            if !proven && !harmless {
                unsafe_retry_of = Some((*retry, *earlier_server));
            }
        }
        earlier.push((call.retry, server, at));
        reporter.count_check();
        if let Some((tried, to)) = unsafe_retry_of {
            let (id, what) = (
                call.id,
                format!(
                    "proxy {proxy} sends call {} of route {} again to {}, though try {tried} at {} may have run",
                    call.id, call.route, server.addr, to.addr
                ),
            );
            reporter.report_violation(at, what, |event| {
                matches!(event, Event::Sent { call, .. } | Event::Received { call, .. }
                    | Event::Answered { call, .. } if call.id == id)
            });
        }
    }

    /// Checks an update against the proxy's newest one.
    fn check_update(&mut self, at: Duration, proxy: u16, update: &Update, reporter: &mut RuleReporter) {
        reporter.count_check();
        let this = (update.incarnation, update.stream, update.sequence);
        let (term, last) = self.newest.get(&proxy).map_or((0, None), |n| (n.0, Some(n.1)));
        let repeated = last.is_some_and(|l| l.0 == this.0 && l.1 == this.1 && l.2 >= this.2);
        let stale = update.term < term
            || self.former_incarnations.get(&proxy).is_some_and(|former| former.contains(&this.0))
            || last.is_some_and(|l| l.0 == this.0 && l.1 > this.1);
        if let Some(l) = last.filter(|l| l.0 != this.0) {
            self.former_incarnations.entry(proxy).or_default().insert(l.0);
        }
        if repeated || stale {
            let how = if repeated { "again" } else { "after newer ones" };
            let what = format!("orders {this:?} come to proxy {proxy} {how} (last {last:?})");
            let number = proxy;
            reporter.report_violation(
                at,
                what,
                |event| matches!(event, Event::Delivered { proxy, .. } if *proxy == number),
            );
        } else {
            self.newest.insert(proxy, (update.term, this));
        }
    }
}
