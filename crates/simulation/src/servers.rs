//! Servers and their list.

use crate::agenda::{Due, HOP, TryId};
use crate::play::{Model, PlannedBy};
use grebespool::host::HealthCheckResult;
use grebespool_invariants::{Event, List};
use grebespool_server_model::{ServerModel, ServerSpec};
use grebespool_settings::{Day, ServerKind};
use grebespool_wire::{Call, CallOutcome, EndpointEntry, EndpointList, EndpointState, Response, ServerId};
use std::collections::BTreeMap;
use std::time::Duration;

pub struct Server {
    pub ability: ServerSpec,
    pub zone: u16,
    pub id: ServerId,
    pub life: u32,
    pub machine: Option<ServerModel>,
    pub silent: bool,
    pub erring: bool,
    pub lie: Option<f32>,
    pub draining: bool,
    /// It drains, whoever knows.
    pub leaving: bool,
    /// It stands still, and this came meanwhile.
    pub frozen: bool,
    pub came: Vec<(TryId, Call)>,
    /// Its number in the recorded day.
    pub number_told: Option<u32>,
    pub started_ms: u64,
    waiting: BTreeMap<u64, (TryId, Call)>,
    next: u64,
    /// When its work is looked at next.
    work_at: Option<Duration>,
}

pub fn ability(day: &Day, kind: ServerKind) -> ServerSpec {
    ServerSpec {
        kind,
        warm_up: day.deployment.servers.warm_up.0,
        overload_multiple: day.rules.fall_multiple,
        overload_window: day.rules.fall.0,
    }
}

pub fn server_id(number: u32) -> ServerId {
    let addr = ([10, (number >> 16) as u8, (number >> 8) as u8, number as u8], 80).into();
    ServerId { addr, number }
}

impl Server {
    pub fn new(ability: ServerSpec, zone: u16, id: ServerId) -> Server {
        let machine = Some(ServerModel::new(ability.clone(), 1, Duration::ZERO, false));
        Server {
            ability,
            zone,
            id,
            life: 0,
            machine,
            silent: false,
            erring: false,
            lie: None,
            draining: false,
            leaving: false,
            frozen: false,
            came: vec![],
            number_told: None,
            started_ms: 0,
            waiting: BTreeMap::new(),
            next: 0,
            work_at: None,
        }
    }
}

/// The list as its service has it.
pub struct Listing {
    pub entries: BTreeMap<ServerId, EndpointEntry>,
    pub version: u64,
    pub late: Duration,
    pub fails: bool,
    /// When the last change is told; later ones are never told before it.
    pub last: Duration,
}

impl Model<'_> {
    /// The list's clock.
    pub fn now_ms(&self) -> u64 {
        1_000_000_000 + self.now().as_millis() as u64
    }

    pub fn entry(&self, server: usize, phase: EndpointState) -> EndpointEntry {
        let s = &self.servers[server];
        let zone = self.day.deployment.zones[usize::from(s.zone)].clone();
        EndpointEntry { server: s.id, zone, state: phase, started_ms: s.started_ms }
    }

    /// One more, of the first kind of its zone, or of any if the zone has none; not up yet.
    pub fn add_server(&mut self, zone: u16) -> usize {
        let of_zone = |k: &&ServerKind| self.zone(&k.zone) == zone;
        let kind = self.day.servers.iter().find(of_zone).unwrap_or(&self.day.servers[0]).clone();
        let ability = ability(
            self.day,
            ServerKind { zone: self.day.deployment.zones[usize::from(zone)].clone(), ..kind },
        );
        self.next_number += 1;
        let id = server_id(self.next_number);
        self.servers.push(Server { machine: None, ..Server::new(ability, zone, id) });
        self.by_id.insert(id, self.servers.len() - 1);
        self.servers.len() - 1
    }

    pub fn list_change(&mut self, servers: &[usize], phase: EndpointState) {
        let changed = servers.iter().map(|s| self.entry(*s, phase)).collect();
        let due = (self.now() + self.list.late).max(self.list.last);
        self.list.last = due;
        self.agenda.borrow_mut().at(due, Due::Publish { changed });
    }

    pub fn publish(&mut self, changed: Vec<EndpointEntry>) {
        for e in &changed {
            match e.state {
                EndpointState::Removed => drop(self.list.entries.remove(&e.server)),
                _ => drop(self.list.entries.insert(e.server, e.clone())),
            }
        }
        let base = self.list.version;
        self.list.version += 1;
        if !self.list.fails {
            let version = self.list.version;
            self.agenda.borrow_mut().after(HOP, Due::ListAt { version, base, entries: changed });
        }
    }

    pub fn whole_list(&self, version: u64) -> Due {
        Due::ListAt { version, base: 0, entries: self.list.entries.values().cloned().collect() }
    }

    pub fn asked(&mut self, have: u64) {
        let version = self.list.version;
        if self.list.fails {
            let now = self.planner_now();
            self.plan(|engine| engine.endpoint_poll_failed(now));
        } else if have == version {
            let due = Due::ListAt { version, base: version, entries: vec![] };
            self.agenda.borrow_mut().after(HOP, due);
        } else {
            let due = self.whole_list(version);
            self.agenda.borrow_mut().after(HOP, due);
        }
    }

    pub fn list_at(&mut self, version: u64, base: u64, entries: Vec<EndpointEntry>) {
        let (now_ms, now) = (self.now_ms(), self.planner_now());
        if self.by == PlannedBy::Evenly && version == self.list.version {
            self.spread_evenly();
        }
        if self.engine.is_none() && self.by == PlannedBy::Planner {
            return;
        }
        let told = List { version, base, now_ms, entries: entries.clone() };
        self.agenda.borrow_mut().put(Event::ListTold(told));
        let list = EndpointList { version, base_version: base, now_ms, entries };
        self.plan(|engine| engine.endpoints_received(now, &list));
    }

    /// What a probe of the server would meet from here on.
    pub fn set_probe(&mut self, server: usize) {
        let s = &self.servers[server];
        let answers = match &s.machine {
            None => None,
            Some(m) if m.crashed || s.silent || s.frozen => {
                Some((Duration::from_millis(500), HealthCheckResult::Failed))
            }
            Some(_) if s.draining => Some((HOP * 2, HealthCheckResult::Rejected)),
            Some(_) => Some((HOP * 2, HealthCheckResult::Healthy)),
        };
        let mut agenda = self.agenda.borrow_mut();
        match answers {
            Some(how) => drop(agenda.probes.insert(s.id, how)),
            None => drop(agenda.probes.remove(&s.id)),
        }
    }

    pub fn stop(&mut self, server: usize) {
        let s = &mut self.servers[server];
        s.machine = None;
        (s.frozen, s.came) = (false, vec![]);
        let (id, lost) = (s.id, std::mem::take(&mut s.waiting));
        let mut agenda = self.agenda.borrow_mut();
        agenda.put(Event::Down { server: id });
        for (id, _) in lost.into_values() {
            agenda.after(HOP, Due::Lost { id, not_run: false });
        }
        drop(agenda);
        for p in &mut self.proxies {
            p.conns.remove(&id);
        }
        self.set_probe(server);
    }

    /// `age`: it was started so long ago.
    pub fn start(&mut self, server: usize, number: u32, age: Duration) {
        let (now, now_ms) = (self.now(), self.now_ms());
        let s = &mut self.servers[server];
        s.id.number = number;
        (s.draining, s.leaving, s.life) = (false, false, s.life + 1);
        s.started_ms = now_ms.saturating_sub(age.as_millis() as u64);
        s.work_at = None;
        let started = now.saturating_sub(age);
        let machine = ServerModel::new(s.ability.clone(), now_ms, started, age < s.ability.warm_up);
        let up = Event::Up { server: s.id, capacity: machine.full_capacity(), cold: s.ability.kind.cold };
        s.machine = Some(machine);
        let id = s.id;
        self.by_id.insert(id, server);
        self.agenda.borrow_mut().put(up);
        self.set_probe(server);
    }

    pub fn at_server(&mut self, id: TryId, server: usize, life: u32, call: Call) {
        let now = self.now();
        let s = &mut self.servers[server];
        let Some(machine) = s.machine.as_mut().filter(|_| s.life == life) else {
            return self.agenda.borrow_mut().after(HOP, Due::Lost { id, not_run: false });
        };
        if s.frozen {
            return s.came.push((id, call));
        }
        self.agenda.borrow_mut().put(Event::Received { server: s.id, call });
        if s.silent {
            return;
        }
        if s.draining {
            return self.answer(server, call, CallOutcome::Rejected);
        }
        if s.erring {
            machine.count_error();
            return self.answer(server, call, CallOutcome::Failed);
        }
        let (had_fallen, ticket) = (machine.crashed, s.next);
        s.next += 1;
        let taken = machine.accept(now, ticket, Duration::from_micros(call.work_us.into()), call.key);
        if machine.crashed {
            if !had_fallen {
                let fell = Event::Fell { server: s.id };
                self.agenda.borrow_mut().put(fell);
                self.set_probe(server);
            }
        } else if taken {
            s.waiting.insert(ticket, (id, call));
            self.work_on(server);
        } else {
            self.answer(server, call, CallOutcome::Rejected);
        }
    }

    /// The server stands still with all that it has in hand, or runs on and meets what came meanwhile.
    pub fn freeze(&mut self, server: usize, still: bool) {
        let now = self.now();
        let s = &mut self.servers[server];
        s.frozen = still;
        s.machine.iter_mut().for_each(|m| m.set_frozen(now, still));
        s.work_at = None;
        let (life, came) = (s.life, if still { vec![] } else { std::mem::take(&mut s.came) });
        self.set_probe(server);
        self.work_on(server);
        for (id, call) in came {
            self.at_server(id, server, life, call);
        }
    }

    pub fn work_on(&mut self, server: usize) {
        let s = &mut self.servers[server];
        if let Some(due) = s.machine.as_ref().and_then(ServerModel::next_completion)
            && s.work_at.is_none_or(|at| due < at)
        {
            s.work_at = Some(due);
            self.agenda.borrow_mut().at(due, Due::Work { server, life: s.life });
        }
    }

    pub fn work(&mut self, server: usize, life: u32) {
        let now = self.now();
        let s = &mut self.servers[server];
        let Some(machine) = s.machine.as_mut().filter(|_| s.life == life && !s.frozen) else { return };
        let tickets = machine.take_completed(now);
        s.work_at = s.work_at.filter(|at| *at > now);
        for ticket in tickets {
            if let Some((_, call)) = self.servers[server].waiting.remove(&ticket) {
                self.answer(server, call, CallOutcome::Answered);
            }
        }
        self.work_on(server);
    }

    fn answer(&mut self, server: usize, call: Call, outcome: CallOutcome) {
        let now = self.now();
        let s = &mut self.servers[server];
        let Some(machine) = &mut s.machine else { return };
        let report = Some(machine.report(now, &self.day.deployment.reports.fields, s.lie));
        let (id, zone) = (s.id, s.zone);
        self.agenda.borrow_mut().put(Event::Answered { server: id, call, outcome });
        if !self.apart(zone, self.proxies[usize::from(call.proxy)].zone) {
            let (id, attempt, tried) = (call.id, call.attempt, call.retry);
            let answer = Response { id, attempt, retry: tried, outcome, metrics: report };
            self.agenda.borrow_mut().after(HOP, Due::AtProxy { answer });
        }
    }
}
