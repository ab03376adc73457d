//! Servers and the service that lists them.

use crate::event_queue::{AttemptId, HOP, Scheduled};
use crate::model::{Model, PlannedBy};
use grebespool::host::HealthCheckResult;
use grebespool_invariants::{Event, List};
use grebespool_server_model::{ServerModel, ServerSpec};
use grebespool_settings::{Day, ServerKind};
use grebespool_wire::{Call, CallOutcome, EndpointEntry, EndpointList, EndpointState, Response, ServerId};
use std::collections::BTreeMap;
use std::time::Duration;

/// A simulated server. It keeps its index and its address when it restarts, and may get another number.
pub(crate) struct Server {
    pub(crate) spec: ServerSpec,
    pub(crate) zone: u16,
    pub(crate) id: ServerId,
    /// Number of starts.
    pub(crate) starts: u32,
    /// The running server, or `None` if it is down.
    pub(crate) machine: Option<ServerModel>,
    /// True if the server accepts attempts and never responds.
    pub(crate) silent: bool,
    /// True if the server fails every attempt.
    pub(crate) erring: bool,
    /// False value that the server reports for its metrics.
    pub(crate) false_metric: Option<f32>,
    /// True if the server rejects attempts because it drains.
    pub(crate) draining: bool,
    /// True if the server is about to stop, even if no list shows that yet.
    pub(crate) leaving: bool,
    /// True if the server is suspended.
    pub(crate) frozen: bool,
    /// Attempts that arrived while the server was suspended.
    pub(crate) received_while_frozen: Vec<(AttemptId, Call)>,
    /// The server's number in the recorded day.
    pub(crate) recorded_number: Option<u32>,
    /// Start time, in milliseconds of the list's clock.
    pub(crate) started_ms: u64,
    /// Accepted attempts by ticket.
    in_progress: BTreeMap<u64, (AttemptId, Call)>,
    next_ticket: u64,
    /// When the next completion is scheduled.
    next_completion_at: Option<Duration>,
}

/// Returns the model's parameters of a kind of server.
pub(crate) fn server_spec(day: &Day, kind: ServerKind) -> ServerSpec {
    ServerSpec {
        kind,
        warm_up: day.deployment.servers.warm_up.0,
        overload_multiple: day.rules.fall_multiple,
        overload_window: day.rules.fall.0,
    }
}

/// Returns the id of the server with this number, at an address of its own.
pub(crate) fn server_id(number: u32) -> ServerId {
    let addr = ([10, (number >> 16) as u8, (number >> 8) as u8, number as u8], 80).into();
    ServerId { addr, number }
}

impl Server {
    /// Creates a server that is running and warm.
    pub(crate) fn new(spec: ServerSpec, zone: u16, id: ServerId) -> Server {
        let machine = Some(ServerModel::new(spec.clone(), 1, Duration::ZERO, false));
        Server {
            spec,
            zone,
            id,
            starts: 0,
            machine,
            silent: false,
            erring: false,
            false_metric: None,
            draining: false,
            leaving: false,
            frozen: false,
            received_while_frozen: vec![],
            recorded_number: None,
            started_ms: 0,
            in_progress: BTreeMap::new(),
            next_ticket: 0,
            next_completion_at: None,
        }
    }
}

/// The service that lists the servers.
pub(crate) struct Listing {
    pub(crate) entries: BTreeMap<ServerId, EndpointEntry>,
    pub(crate) version: u64,
    /// Delay of a change until it is published.
    pub(crate) delay: Duration,
    /// True if the service publishes nothing and fails polls.
    pub(crate) failing: bool,
    /// When the last change is published. Later changes are never published before it.
    pub(crate) last_publication: Duration,
}

impl Model<'_> {
    /// Returns the time on the list's clock, in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        1_000_000_000 + self.now().as_millis() as u64
    }

    /// Returns a server's entry on the list in the given state.
    pub(crate) fn list_entry(&self, server: usize, phase: EndpointState) -> EndpointEntry {
        let s = &self.servers[server];
        let zone = self.day.deployment.zones[usize::from(s.zone)].clone();
        EndpointEntry { server: s.id, zone, state: phase, started_ms: s.started_ms }
    }

    /// Adds a server that is not running, of the first kind of its zone, or of the first kind of all if the zone has
    /// none. Returns its index.
    pub(crate) fn add_server(&mut self, zone: u16) -> usize {
        let of_zone = |k: &&ServerKind| self.zone(&k.zone) == zone;
        let kind = self.day.servers.iter().find(of_zone).unwrap_or(&self.day.servers[0]).clone();
        let spec = server_spec(
            self.day,
            ServerKind { zone: self.day.deployment.zones[usize::from(zone)].clone(), ..kind },
        );
        self.next_number += 1;
        let id = server_id(self.next_number);
        self.servers.push(Server { machine: None, ..Server::new(spec, zone, id) });
        self.by_id.insert(id, self.servers.len() - 1);
        self.servers.len() - 1
    }

    /// Schedules the publication of a new state of these servers.
    pub(crate) fn schedule_list_change(&mut self, servers: &[usize], phase: EndpointState) {
        let changed = servers.iter().map(|s| self.list_entry(*s, phase)).collect();
        let due = (self.now() + self.list.delay).max(self.list.last_publication);
        self.list.last_publication = due;
        self.queue.borrow_mut().at(due, Scheduled::PublishList { changed });
    }

    /// Applies changes to the list and sends them to the planner.
    pub(crate) fn publish(&mut self, changed: Vec<EndpointEntry>) {
        for e in &changed {
            match e.state {
                EndpointState::Removed => drop(self.list.entries.remove(&e.server)),
                _ => drop(self.list.entries.insert(e.server, e.clone())),
            }
        }
        let base = self.list.version;
        self.list.version += 1;
        if !self.list.failing {
            let version = self.list.version;
            self.queue.borrow_mut().after(HOP, Scheduled::ListArrives { version, base, entries: changed });
        }
    }

    /// Returns the arrival of the whole list at the planner.
    pub(crate) fn whole_list(&self, version: u64) -> Scheduled {
        Scheduled::ListArrives { version, base: 0, entries: self.list.entries.values().cloned().collect() }
    }

    /// Responds to the planner's poll with the whole list, or with an empty change if the planner has this version.
    pub(crate) fn poll_endpoints(&mut self, have: u64) {
        let version = self.list.version;
        if self.list.failing {
            let now = self.planner_now();
            self.with_controller(|controller| controller.endpoint_poll_failed(now));
        } else if have == version {
            let due = Scheduled::ListArrives { version, base: version, entries: vec![] };
            self.queue.borrow_mut().after(HOP, due);
        } else {
            let due = self.whole_list(version);
            self.queue.borrow_mut().after(HOP, due);
        }
    }

    /// Hands a list that arrives to the planner.
    pub(crate) fn receive_list(&mut self, version: u64, base: u64, entries: Vec<EndpointEntry>) {
        let (now_ms, now) = (self.now_ms(), self.planner_now());
        if self.by == PlannedBy::Evenly && version == self.list.version {
            self.spread_evenly();
        }
        if self.controller.is_none() && self.by == PlannedBy::Planner {
            return;
        }
        let list = List { version, base, now_ms, entries: entries.clone() };
        self.queue.borrow_mut().record(Event::ListTold(list));
        let list = EndpointList { version, base_version: base, now_ms, entries };
        self.with_controller(|controller| controller.endpoints_received(now, &list));
    }

    /// Updates the result that a health check of the server would have from now on.
    pub(crate) fn update_health_check(&mut self, server: usize) {
        let s = &self.servers[server];
        let answers = match &s.machine {
            None => None,
            Some(m) if m.crashed || s.silent || s.frozen => {
                Some((Duration::from_millis(500), HealthCheckResult::Failed))
            }
            Some(_) if s.draining => Some((HOP * 2, HealthCheckResult::Rejected)),
            Some(_) => Some((HOP * 2, HealthCheckResult::Healthy)),
        };
        let mut queue = self.queue.borrow_mut();
        match answers {
            Some(how) => drop(queue.health_checks.insert(s.id, how)),
            None => drop(queue.health_checks.remove(&s.id)),
        }
    }

    /// Stops a server at once. Its accepted attempts fail.
    pub(crate) fn stop(&mut self, server: usize) {
        let s = &mut self.servers[server];
        s.machine = None;
        (s.frozen, s.received_while_frozen) = (false, vec![]);
        let (id, in_progress) = (s.id, std::mem::take(&mut s.in_progress));
        let mut queue = self.queue.borrow_mut();
        queue.record(Event::Down { server: id });
        for (id, _) in in_progress.into_values() {
            queue.after(HOP, Scheduled::AttemptLost { id, not_run: false });
        }
        drop(queue);
        for p in &mut self.proxies {
            p.connections.remove(&id);
        }
        self.update_health_check(server);
    }

    /// Starts a server under a number. It is cold unless its `age`, the time since it started, reaches the warm-up
    /// time.
    pub(crate) fn start(&mut self, server: usize, number: u32, age: Duration) {
        let (now, now_ms) = (self.now(), self.now_ms());
        let s = &mut self.servers[server];
        s.id.number = number;
        (s.draining, s.leaving, s.starts) = (false, false, s.starts + 1);
        s.started_ms = now_ms.saturating_sub(age.as_millis() as u64);
        s.next_completion_at = None;
        let started = now.saturating_sub(age);
        let machine = ServerModel::new(s.spec.clone(), now_ms, started, age < s.spec.warm_up);
        let up = Event::Up { server: s.id, capacity: machine.full_capacity(), cold: s.spec.kind.cold };
        s.machine = Some(machine);
        let id = s.id;
        self.by_id.insert(id, server);
        self.queue.borrow_mut().record(up);
        self.update_health_check(server);
    }

    /// Handles an attempt that arrives at a server.
    pub(crate) fn receive_attempt(&mut self, id: AttemptId, server: usize, starts: u32, call: Call) {
        let now = self.now();
        let s = &mut self.servers[server];
        let Some(machine) = s.machine.as_mut().filter(|_| s.starts == starts) else {
            return self.queue.borrow_mut().after(HOP, Scheduled::AttemptLost { id, not_run: false });
        };
        if s.frozen {
            return s.received_while_frozen.push((id, call));
        }
        self.queue.borrow_mut().record(Event::Received { server: s.id, call });
        if s.silent {
            return;
        }
        if s.draining {
            return self.respond(server, call, CallOutcome::Rejected);
        }
        if s.erring {
            machine.count_error();
            return self.respond(server, call, CallOutcome::Failed);
        }
        let (had_crashed, ticket) = (machine.crashed, s.next_ticket);
        s.next_ticket += 1;
        let accepted = machine.accept(now, ticket, Duration::from_micros(call.work_us.into()), call.key);
        if machine.crashed {
            if !had_crashed {
                let crash = Event::Fell { server: s.id };
                self.queue.borrow_mut().record(crash);
                self.update_health_check(server);
            }
        } else if accepted {
            s.in_progress.insert(ticket, (id, call));
            self.schedule_completion(server);
        } else {
            self.respond(server, call, CallOutcome::Rejected);
        }
    }

    /// Suspends a server with all its attempts, or resumes it and handles the attempts that arrived meanwhile.
    pub(crate) fn set_frozen(&mut self, server: usize, frozen: bool) {
        let now = self.now();
        let s = &mut self.servers[server];
        s.frozen = frozen;
        s.machine.iter_mut().for_each(|m| m.set_frozen(now, frozen));
        s.next_completion_at = None;
        let (starts, received_while_frozen) =
            (s.starts, if frozen { vec![] } else { std::mem::take(&mut s.received_while_frozen) });
        self.update_health_check(server);
        self.schedule_completion(server);
        for (id, call) in received_while_frozen {
            self.receive_attempt(id, server, starts, call);
        }
    }

    /// Schedules the server's next completion, unless an earlier one is scheduled.
    pub(crate) fn schedule_completion(&mut self, server: usize) {
        let s = &mut self.servers[server];
        if let Some(due) = s.machine.as_ref().and_then(ServerModel::next_completion)
            && s.next_completion_at.is_none_or(|at| due < at)
        {
            s.next_completion_at = Some(due);
            self.queue.borrow_mut().at(due, Scheduled::WorkCompleted { server, starts: s.starts });
        }
    }

    /// Responds to the attempts that the server has completed.
    pub(crate) fn complete_work(&mut self, server: usize, starts: u32) {
        let now = self.now();
        let s = &mut self.servers[server];
        let Some(machine) = s.machine.as_mut().filter(|_| s.starts == starts && !s.frozen) else { return };
        let tickets = machine.take_completed(now);
        s.next_completion_at = s.next_completion_at.filter(|at| *at > now);
        for ticket in tickets {
            if let Some((_, call)) = self.servers[server].in_progress.remove(&ticket) {
                self.respond(server, call, CallOutcome::Answered);
            }
        }
        self.schedule_completion(server);
    }

    /// Sends a response to the attempt's proxy.
    fn respond(&mut self, server: usize, call: Call, outcome: CallOutcome) {
        let now = self.now();
        let s = &mut self.servers[server];
        let Some(machine) = &mut s.machine else { return };
        let report = Some(machine.report(now, &self.day.deployment.reports.fields, s.false_metric));
        let (id, zone) = (s.id, s.zone);
        self.queue.borrow_mut().record(Event::Answered { server: id, call, outcome });
        if !self.partitioned(zone, self.proxies[usize::from(call.proxy)].zone) {
            let (id, attempt, retry) = (call.id, call.attempt, call.retry);
            let answer = Response { id, attempt, retry, outcome, metrics: report };
            self.queue.borrow_mut().after(HOP, Scheduled::ResponseArrives { answer });
        }
    }
}
