//! Clients, and the handling of their requests at the proxies.

use crate::event_queue::{AttemptId, HOP, Scheduled};
use crate::model::{Model, PlannedBy};
use grebespool_invariants::Event;
use grebespool_wire::{Call, CallOutcome, Response, RetryPolicy, ServerId, ServerMetrics};
use rand::Rng;
use std::time::Duration;

/// A client's request of a recorded day. The client's further attempts follow from the simulated outcome.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstRequest {
    /// When the request becomes due, since the day's beginning.
    pub due: Duration,
    /// Index of the route.
    pub route: u8,
    /// Key of the request.
    pub key: u64,
    /// Work of the request on a core of speed 1.
    pub work: Duration,
    /// Index of the proxy that the client tries first.
    pub proxy: usize,
}

/// A request that has not ended.
pub(crate) struct ActiveRequest {
    kind: usize,
    call: Call,
    due: Duration,
    proxy: usize,
    attempt_started: Duration,
    retry_policy: RetryPolicy,
    tried: Vec<ServerId>,
    /// The attempt that the proxy waits for, and since when.
    open_attempt: Option<(AttemptId, Duration)>,
}

impl Model<'_> {
    /// Begins a request of this kind of client and schedules the next.
    pub(crate) fn client_request(&mut self, kind: usize) {
        let k = &self.day.callers[kind];
        let now = self.now();
        let rate = k.rate * self.rate_factor;
        let gap = -self.client_rng.random_range(f64::EPSILON..1.0).ln() / rate;
        let next = now + Duration::from_secs_f64(gap);
        if next < self.day.length.0 {
            self.queue.borrow_mut().at(next, Scheduled::ClientRequest(kind));
        }
        let proxies = &self.by_zone[usize::from(self.zone(&k.zone))];
        let proxy = proxies[self.client_rng.random_range(0..proxies.len())];
        let key = self.client_rng.random_range(0..k.keys);
        let first = FirstRequest { due: now, route: k.route as u8, key, work: k.work.0, proxy };
        self.begin_request(kind, first);
    }

    /// Begins a recorded request. The first kind of client of its route decides on further attempts.
    pub(crate) fn recorded_request(&mut self, first: FirstRequest) {
        let of_route = |c: &grebespool_settings::CallerKind| c.route == usize::from(first.route);
        if let Some(kind) = self.day.callers.iter().position(of_route) {
            self.begin_request(kind, first);
        }
    }

    /// Begins a request with the client's first attempt.
    pub(crate) fn begin_request(&mut self, kind: usize, first: FirstRequest) {
        self.request_count += 1;
        let (id, FirstRequest { due, route, key, work, proxy }) = (self.request_count, first);
        let (work_us, zone) = (work.as_micros() as u32, self.proxies[proxy].zone);
        let asked = Event::Asked { id, route, zone, key, work_us, proxy: proxy as u16 };
        self.queue.borrow_mut().unrecorded.push((due, asked));
        let call = Call { id, attempt: 0, retry: 0, route, key, work_us, timeout_us: 0, proxy: 0 };
        let request = ActiveRequest {
            kind,
            call,
            due,
            proxy,
            attempt_started: due,
            retry_policy: RetryPolicy::Never,
            tried: vec![],
            open_attempt: None,
        };
        self.active_requests.insert(id, request);
        self.client_attempt(id);
    }

    /// Handles a client's attempt that arrives at its proxy.
    pub(crate) fn client_attempt(&mut self, id: u64) {
        let now = self.now();
        let Some(a) = self.active_requests.get_mut(&id) else { return };
        let limit = self.day.deployment.routes[usize::from(a.call.route)].time_limit.0;
        let left = limit.saturating_sub(now - a.due);
        if left.is_zero() {
            return self.end_request(id, CallOutcome::Failed);
        }
        let patience = limit.mul_f64(self.day.callers[a.kind].patience);
        a.call.timeout_us = left.min(patience).as_micros() as u32;
        (a.attempt_started, a.tried) = (now, vec![]);
        let p = &mut self.proxies[a.proxy];
        p.reports.request_received(a.call.route);
        let admission = p.tables.admission(a.call.route);
        a.retry_policy = admission.retries;
        if p.rng.random_range(0.0..1.0) >= admission.share {
            return self.end_client_attempt(id, CallOutcome::Rejected);
        }
        self.send_to_next_server(id);
    }

    /// Picks the next server for the client's attempt and sends the attempt there, or ends the client's attempt.
    fn send_to_next_server(&mut self, id: u64) {
        let now = self.now();
        let Some(a) = self.active_requests.get_mut(&id) else { return };
        let route = &self.day.deployment.routes[usize::from(a.call.route)];
        let limit = Duration::from_micros(a.call.timeout_us.into());
        let left = limit.saturating_sub(now - a.attempt_started);
        let (proxy, call) = (a.proxy, a.call);
        let picked = match self.by {
            PlannedBy::Nobody => self.fastest_server(proxy, &call, &self.active_requests[&id].tried),
            PlannedBy::Rationed => {
                self.fastest_server_within_budget(proxy, &call, &self.active_requests[&id].tried)
            }
            PlannedBy::Planner | PlannedBy::Evenly => {
                let p = &mut self.proxies[proxy];
                let connections = &p.connections;
                let in_flight = |s| connections.get(&s).copied().unwrap_or(0);
                p.tables.pick(now, &mut p.rng, call.route, &self.active_requests[&id].tried, in_flight)
            }
        };
        let Some(a) = self.active_requests.get_mut(&id) else { return };
        let p = &self.proxies[proxy];
        let Some(server) = picked.filter(|_| left > limit / 8) else {
            return self.end_client_attempt(id, CallOutcome::Rejected);
        };
        let max_attempts = if a.retry_policy == RetryPolicy::Never { 1 } else { 2 };
        let last = a.tried.len() + 1 >= max_attempts;
        let wait = match a.retry_policy {
            RetryPolicy::AfterFailure if !last => {
                left.min(route.slo.0.mul_f64(self.day.deployment.proxies.try_factor))
            }
            _ => left,
        };
        let this = (id, a.call.attempt, a.tried.len() as u8);
        a.tried.push(server);
        a.open_attempt = Some((this, now));
        let (proxy, connected) = (a.proxy, p.connections.contains_key(&server));
        let server_index = self.by_id.get(&server).copied();
        self.queue.borrow_mut().after(wait, Scheduled::AttemptLost { id: this, not_run: false });
        if connected {
            return self.send(this, server);
        }
        let refused = match server_index.map(|s| &self.servers[s]) {
            // Across a partition, the connection attempt fails only after a timeout.
            Some(s) if self.partitioned(s.zone, self.proxies[proxy].zone) => Some(Duration::from_millis(300)),
            Some(s) if s.machine.is_some() => None,
            _ => Some(HOP * 2),
        };
        let (wait, due) = match refused {
            Some(wait) => (wait, Scheduled::AttemptLost { id: this, not_run: true }),
            None => (HOP * 2, Scheduled::Connect { id: this, server }),
        };
        self.queue.borrow_mut().after(wait, due);
    }

    /// Opens a connection, whose handshake costs the server some work, and sends the attempt.
    pub(crate) fn connect(&mut self, id: AttemptId, server: ServerId) {
        let now = self.now();
        let Some(&s) = self.by_id.get(&server) else { return };
        let Some(a) = self.active_requests.get(&id.0).filter(|a| a.open_attempt.is_some_and(|o| o.0 == id))
        else {
            return;
        };
        let proxy = a.proxy;
        let handshake = self.servers[s].spec.kind.handshake.0;
        let Some(machine) = &mut self.servers[s].machine else {
            return self
                .queue
                .borrow_mut()
                .after(Duration::ZERO, Scheduled::AttemptLost { id, not_run: true });
        };
        machine.add_overhead(now, handshake);
        self.schedule_completion(s);
        self.proxies[proxy].connections.entry(server).or_default();
        self.queue.borrow_mut().record(Event::Connected { proxy: proxy as u16, server });
        self.send(id, server);
    }

    /// Sends an attempt over an open connection.
    fn send(&mut self, id: AttemptId, server: ServerId) {
        let Some(a) = self.active_requests.get(&id.0) else { return };
        let call = Call { attempt: id.1, retry: id.2, proxy: a.proxy as u16, ..a.call };
        let p = &mut self.proxies[a.proxy];
        *p.connections.entry(server).or_default() += 1;
        let zone = p.zone;
        self.queue.borrow_mut().record(Event::Sent { proxy: call.proxy, server, call });
        let Some(&s) = self.by_id.get(&server) else { return };
        if !self.partitioned(self.servers[s].zone, zone) {
            let starts = self.servers[s].starts;
            self.queue.borrow_mut().after(HOP, Scheduled::AttemptArrives { id, server: s, starts, call });
        }
    }

    /// Handles a response that arrives at the proxy.
    pub(crate) fn receive_response(&mut self, answer: Response) {
        let id = (answer.id, answer.attempt, answer.retry);
        let Some((proxy, server, since)) = self.close_attempt(id) else { return };
        let (now, succeeded) =
            (self.now(), matches!(answer.outcome, CallOutcome::Answered | CallOutcome::Duplicate));
        self.record_result(proxy, server, succeeded.then(|| now - since), answer.metrics);
        match answer.outcome {
            CallOutcome::Answered | CallOutcome::Duplicate => self.end_request(id.0, CallOutcome::Answered),
            CallOutcome::Rejected => self.retry_or_end(id, true),
            CallOutcome::Failed => self.retry_or_end(id, false),
        }
    }

    /// Handles the failure of an attempt without a response.
    pub(crate) fn attempt_lost(&mut self, id: AttemptId, not_run: bool) {
        if let Some((proxy, server, _)) = self.close_attempt(id) {
            self.record_result(proxy, server, None, None);
            self.retry_or_end(id, not_run);
        }
    }

    /// Ends the wait for an attempt, and returns its proxy, its server and when it was sent. Returns `None` if the
    /// proxy no longer waits for it.
    fn close_attempt(&mut self, id: AttemptId) -> Option<(usize, ServerId, Duration)> {
        let a = self.active_requests.get_mut(&id.0)?;
        let (_, since) = a.open_attempt.take_if(|o| o.0 == id)?;
        let server = a.tried[usize::from(id.2)];
        if let Some(in_flight) = self.proxies[a.proxy].connections.get_mut(&server) {
            *in_flight = in_flight.saturating_sub(1);
        }
        Some((a.proxy, server, since))
    }

    /// Updates the proxy's report and its view of the server with an attempt's result.
    fn record_result(
        &mut self,
        proxy: usize,
        server: ServerId,
        took: Option<Duration>,
        report: Option<ServerMetrics>,
    ) {
        let (now, p) = (self.now(), &mut self.proxies[proxy]);
        p.reports.attempt_finished(server, took, report);
        p.tables.attempt_finished(now, server, took.is_some());
    }

    /// Retries after a failed attempt where the policy allows that, or ends the client's attempt.
    fn retry_or_end(&mut self, id: AttemptId, not_run: bool) {
        let Some(a) = self.active_requests.get(&id.0) else { return };
        let last = a.tried.len() >= if a.retry_policy == RetryPolicy::Never { 1 } else { 2 };
        if !last && (not_run || a.retry_policy == RetryPolicy::AfterFailure) {
            self.send_to_next_server(id.0);
        } else {
            self.end_client_attempt(id.0, if not_run { CallOutcome::Rejected } else { CallOutcome::Failed });
        }
    }

    /// Ends a client's attempt that failed, and schedules the client's next attempt or ends the request.
    fn end_client_attempt(&mut self, id: u64, outcome: CallOutcome) {
        let Some(a) = self.active_requests.get_mut(&id) else { return };
        let kind = &self.day.callers[a.kind];
        a.call.attempt += 1;
        if a.call.attempt >= kind.attempts {
            return self.end_request(id, outcome);
        }
        let wait = kind.wait.0.mul_f64(self.client_rng.random_range(0.5..1.5));
        let near = &self.by_zone[usize::from(self.proxies[a.proxy].zone)];
        a.proxy = near[self.client_rng.random_range(0..near.len())];
        self.queue.borrow_mut().after(wait, Scheduled::ClientAttempt(id));
    }

    /// Ends a request.
    fn end_request(&mut self, id: u64, outcome: CallOutcome) {
        if let Some(a) = self.active_requests.remove(&id) {
            self.queue.borrow_mut().record(Event::Done { id, route: a.call.route, outcome });
        }
    }
}
