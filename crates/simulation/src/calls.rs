//! Callers, and what becomes of a call at its proxy.

use crate::agenda::{Due, HOP, TryId};
use crate::play::{Model, PlannedBy};
use grebespool_invariants::Event;
use grebespool_wire::{Call, CallOutcome, Response, RetryPolicy, ServerId, ServerMetrics};
use rand::Rng;
use std::time::Duration;

/// A first call of a recorded day: repeats follow from what becomes of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstRequest {
    pub due: Duration,
    pub route: u8,
    pub key: u64,
    pub work: Duration,
    pub proxy: usize,
}

/// A call on its way.
pub struct Active {
    kind: usize,
    call: Call,
    due: Duration,
    proxy: usize,
    attempt_from: Duration,
    tries: RetryPolicy,
    tried: Vec<ServerId>,
    /// The try that is waited for, since when.
    open: Option<(TryId, Duration)>,
}

impl Model<'_> {
    pub fn caller(&mut self, kind: usize) {
        let k = &self.day.callers[kind];
        let now = self.now();
        let rate = k.rate * self.burst;
        let gap = -self.caller_rng.random_range(f64::EPSILON..1.0).ln() / rate;
        let next = now + Duration::from_secs_f64(gap);
        if next < self.day.length.0 {
            self.agenda.borrow_mut().at(next, Due::Caller(kind));
        }
        let proxies = &self.by_zone[usize::from(self.zone(&k.zone))];
        let proxy = proxies[self.caller_rng.random_range(0..proxies.len())];
        let key = self.caller_rng.random_range(0..k.keys);
        let first = FirstRequest { due: now, route: k.route as u8, key, work: k.work.0, proxy };
        self.begin_call(kind, first);
    }

    /// A recorded day's call; its route's callers say how often, and after what waits, it comes again.
    pub fn past_call(&mut self, first: FirstRequest) {
        let of_route = |c: &grebespool_settings::CallerKind| c.route == usize::from(first.route);
        if let Some(kind) = self.day.callers.iter().position(of_route) {
            self.begin_call(kind, first);
        }
    }

    pub fn begin_call(&mut self, kind: usize, first: FirstRequest) {
        self.calls_made += 1;
        let (id, FirstRequest { due, route, key, work, proxy }) = (self.calls_made, first);
        let (work_us, zone) = (work.as_micros() as u32, self.proxies[proxy].zone);
        let asked = Event::Asked { id, route, zone, key, work_us, proxy: proxy as u16 };
        self.agenda.borrow_mut().passed.push((due, asked));
        let call = Call { id, attempt: 0, retry: 0, route, key, work_us, timeout_us: 0, proxy: 0 };
        let (tried, open) = (vec![], None);
        let active =
            Active { kind, call, due, proxy, attempt_from: due, tries: RetryPolicy::Never, tried, open };
        self.active.insert(id, active);
        self.attempt(id);
    }

    /// The caller's next attempt comes to its proxy.
    pub fn attempt(&mut self, id: u64) {
        let now = self.now();
        let Some(a) = self.active.get_mut(&id) else { return };
        let limit = self.day.deployment.routes[usize::from(a.call.route)].time_limit.0;
        let left = limit.saturating_sub(now - a.due);
        if left.is_zero() {
            return self.done(id, CallOutcome::Failed);
        }
        let patience = limit.mul_f64(self.day.callers[a.kind].patience);
        a.call.timeout_us = left.min(patience).as_micros() as u32;
        (a.attempt_from, a.tried) = (now, vec![]);
        let p = &mut self.proxies[a.proxy];
        p.sums.request_received(a.call.route);
        let admission = p.held.admission(a.call.route);
        a.tries = admission.retries;
        if p.rng.random_range(0.0..1.0) >= admission.share {
            return self.end_attempt(id, CallOutcome::Rejected);
        }
        self.try_next(id);
    }

    fn try_next(&mut self, id: u64) {
        let now = self.now();
        let Some(a) = self.active.get_mut(&id) else { return };
        let route = &self.day.deployment.routes[usize::from(a.call.route)];
        let limit = Duration::from_micros(a.call.timeout_us.into());
        let left = limit.saturating_sub(now - a.attempt_from);
        let (proxy, call) = (a.proxy, a.call);
        let picked = match self.by {
            PlannedBy::Nobody => self.best(proxy, &call, &self.active[&id].tried),
            PlannedBy::Rationed => self.rationed(proxy, &call, &self.active[&id].tried),
            PlannedBy::Planner | PlannedBy::Evenly => {
                let p = &mut self.proxies[proxy];
                let conns = &p.conns;
                let in_hand = |s| conns.get(&s).copied().unwrap_or(0);
                p.held.pick(now, &mut p.rng, call.route, &self.active[&id].tried, in_hand)
            }
        };
        let Some(a) = self.active.get_mut(&id) else { return };
        let p = &self.proxies[proxy];
        let Some(server) = picked.filter(|_| left > limit / 8) else {
            return self.end_attempt(id, CallOutcome::Rejected);
        };
        let most = if a.tries == RetryPolicy::Never { 1 } else { 2 };
        let last = a.tried.len() + 1 >= most;
        let wait = match a.tries {
            RetryPolicy::AfterFailure if !last => {
                left.min(route.slo.0.mul_f64(self.day.deployment.proxies.try_factor))
            }
            _ => left,
        };
        let this = (id, a.call.attempt, a.tried.len() as u8);
        a.tried.push(server);
        a.open = Some((this, now));
        let (proxy, known) = (a.proxy, p.conns.contains_key(&server));
        let far = self.by_id.get(&server).copied();
        self.agenda.borrow_mut().after(wait, Due::Lost { id: this, not_run: false });
        if known {
            return self.send(this, server);
        }
        let refused = match far.map(|s| &self.servers[s]) {
            // Over a cut no connection is made, and that takes its time to show.
            Some(s) if self.apart(s.zone, self.proxies[proxy].zone) => Some(Duration::from_millis(300)),
            Some(s) if s.machine.is_some() => None,
            _ => Some(HOP * 2),
        };
        let (wait, due) = match refused {
            Some(wait) => (wait, Due::Lost { id: this, not_run: true }),
            None => (HOP * 2, Due::Connect { id: this, server }),
        };
        self.agenda.borrow_mut().after(wait, due);
    }

    /// A connection is made, at some work for the server.
    pub fn connect(&mut self, id: TryId, server: ServerId) {
        let now = self.now();
        let Some(&s) = self.by_id.get(&server) else { return };
        let Some(a) = self.active.get(&id.0).filter(|a| a.open.is_some_and(|o| o.0 == id)) else { return };
        let proxy = a.proxy;
        let handshake = self.servers[s].ability.kind.handshake.0;
        let Some(machine) = &mut self.servers[s].machine else {
            return self.agenda.borrow_mut().after(Duration::ZERO, Due::Lost { id, not_run: true });
        };
        machine.add_overhead(now, handshake);
        self.work_on(s);
        self.proxies[proxy].conns.entry(server).or_default();
        self.agenda.borrow_mut().put(Event::Connected { proxy: proxy as u16, server });
        self.send(id, server);
    }

    fn send(&mut self, id: TryId, server: ServerId) {
        let Some(a) = self.active.get(&id.0) else { return };
        let call = Call { attempt: id.1, retry: id.2, proxy: a.proxy as u16, ..a.call };
        let p = &mut self.proxies[a.proxy];
        *p.conns.entry(server).or_default() += 1;
        let zone = p.zone;
        self.agenda.borrow_mut().put(Event::Sent { proxy: call.proxy, server, call });
        let Some(&s) = self.by_id.get(&server) else { return };
        if !self.apart(self.servers[s].zone, zone) {
            let life = self.servers[s].life;
            self.agenda.borrow_mut().after(HOP, Due::AtServer { id, server: s, life, call });
        }
    }

    pub fn at_proxy(&mut self, answer: Response) {
        let id = (answer.id, answer.attempt, answer.retry);
        let Some((proxy, server, since)) = self.close_try(id) else { return };
        let (now, good) =
            (self.now(), matches!(answer.outcome, CallOutcome::Answered | CallOutcome::Duplicate));
        self.count(proxy, server, good.then(|| now - since), answer.metrics);
        match answer.outcome {
            CallOutcome::Answered | CallOutcome::Duplicate => self.done(id.0, CallOutcome::Answered),
            CallOutcome::Rejected => self.follow(id, true),
            CallOutcome::Failed => self.follow(id, false),
        }
    }

    pub fn lost(&mut self, id: TryId, not_run: bool) {
        if let Some((proxy, server, _)) = self.close_try(id) {
            self.count(proxy, server, None, None);
            self.follow(id, not_run);
        }
    }

    /// Takes a try that is still waited for: its proxy, its server, and since when.
    fn close_try(&mut self, id: TryId) -> Option<(usize, ServerId, Duration)> {
        let a = self.active.get_mut(&id.0)?;
        let (_, since) = a.open.take_if(|o| o.0 == id)?;
        let server = a.tried[usize::from(id.2)];
        if let Some(in_hand) = self.proxies[a.proxy].conns.get_mut(&server) {
            *in_hand = in_hand.saturating_sub(1);
        }
        Some((a.proxy, server, since))
    }

    fn count(
        &mut self,
        proxy: usize,
        server: ServerId,
        took: Option<Duration>,
        report: Option<ServerMetrics>,
    ) {
        let (now, p) = (self.now(), &mut self.proxies[proxy]);
        p.sums.attempt_finished(server, took, report);
        p.held.attempt_finished(now, server, took.is_some());
    }

    /// Whether the proxy tries again, or the attempt has failed.
    fn follow(&mut self, id: TryId, not_run: bool) {
        let Some(a) = self.active.get(&id.0) else { return };
        let last = a.tried.len() >= if a.tries == RetryPolicy::Never { 1 } else { 2 };
        if !last && (not_run || a.tries == RetryPolicy::AfterFailure) {
            self.try_next(id.0);
        } else {
            self.end_attempt(id.0, if not_run { CallOutcome::Rejected } else { CallOutcome::Failed });
        }
    }

    fn end_attempt(&mut self, id: u64, outcome: CallOutcome) {
        let Some(a) = self.active.get_mut(&id) else { return };
        let kind = &self.day.callers[a.kind];
        a.call.attempt += 1;
        if a.call.attempt >= kind.attempts {
            return self.done(id, outcome);
        }
        let wait = kind.wait.0.mul_f64(self.caller_rng.random_range(0.5..1.5));
        let near = &self.by_zone[usize::from(self.proxies[a.proxy].zone)];
        a.proxy = near[self.caller_rng.random_range(0..near.len())];
        self.agenda.borrow_mut().after(wait, Due::Attempt(id));
    }

    fn done(&mut self, id: u64, outcome: CallOutcome) {
        if let Some(a) = self.active.remove(&id) {
            self.agenda.borrow_mut().put(Event::Done { id, route: a.call.route, outcome });
        }
    }
}
