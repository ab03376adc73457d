//! The faults of a day: how each begins and ends.

use crate::event_queue::{HOP, Scheduled};
use crate::model::{Model, PlannedBy};
use grebespool_invariants::Event;
use grebespool_settings::What;
use grebespool_wire::EndpointState;
use rand::seq::SliceRandom;
use std::time::Duration;

/// What a fault affects while it lasts.
#[derive(Default)]
pub(crate) struct FaultTargets {
    servers: Vec<usize>,
    proxies: Vec<usize>,
    /// The list's delay before the fault.
    previous_delay: Duration,
}

impl Model<'_> {
    /// Picks servers at random that no fault affects yet, and marks them as affected.
    fn pick_servers(&mut self, count: usize) -> Vec<usize> {
        let mut free: Vec<usize> =
            (0..self.servers.len()).filter(|i| !self.affected_servers.contains(i)).collect();
        free.shuffle(&mut self.fault_rng);
        free.truncate(count);
        self.affected_servers.extend(free.iter());
        free
    }

    /// Picks proxies at random.
    fn pick_proxies(&mut self, count: usize) -> Vec<usize> {
        let mut some: Vec<usize> = (0..self.proxies.len()).collect();
        some.shuffle(&mut self.fault_rng);
        some.truncate(count);
        some
    }

    /// Returns the number of proxies that a share amounts to, rounded up.
    fn proxy_share(&self, share: f64) -> usize {
        (self.proxies.len() as f64 * share).ceil() as usize
    }

    /// Begins a fault and schedules its end.
    #[expect(clippy::too_many_lines, reason = "one arm for each kind of fault")]
    pub(crate) fn begin_fault(&mut self, i: usize) {
        let fault = self.day.troubles[i].clone();
        let mut targets = FaultTargets::default();
        match &fault.what {
            What::Silent { servers }
            | What::Slow { servers, .. }
            | What::Erring { servers }
            | What::Frozen { servers }
            | What::Lying { servers, .. } => {
                targets.servers = self.pick_servers(*servers);
                self.set_fault(&fault.what, &targets.servers, true);
            }
            What::Deploy { servers, every, drain, down } => {
                for (n, server) in self.pick_servers(*servers).into_iter().enumerate() {
                    let (drain, down, other) = (drain.0, down.0, false);
                    let due = Scheduled::Redeploy { server, step: 0, drain, down, other };
                    self.queue.borrow_mut().after(every.0 * n as u32, due);
                }
            }
            What::Replaced { servers } => {
                for server in self.pick_servers(*servers) {
                    let (drain, down, other) = (Duration::ZERO, Duration::from_millis(100), true);
                    let due = Scheduled::Redeploy { server, step: 1, drain, down, other };
                    self.queue.borrow_mut().after(Duration::ZERO, due);
                }
            }
            What::PlannerKilled | What::Takeover => {
                self.kill_planner();
            }
            What::PlannerStalled => {
                self.stalled = true;
                self.queue.borrow_mut().record(Event::PlannerStalled);
            }
            What::StreamsBreak { share, mid_frame } => {
                for (n, p) in self.pick_proxies(self.proxy_share(*share)).into_iter().enumerate() {
                    // Of every third stream, the planner doesn't learn that it ended.
                    self.end_stream(p, *mid_frame || n % 3 != 2);
                }
            }
            What::NoPlanner { share } => {
                targets.proxies = self.pick_proxies(self.proxy_share(*share));
                for p in &targets.proxies {
                    self.queue.borrow_mut().links[*p].closed = true;
                    self.end_stream(*p, true);
                }
            }
            What::SlowOrders { delay, bytes_per_s } => {
                let links = &mut self.queue.borrow_mut().links;
                links.iter_mut().for_each(|link| (link.delay, link.bytes_per_s) = (delay.0, *bytes_per_s));
            }
            What::ListLate { by } => {
                targets.previous_delay = self.list.delay;
                self.list.delay += by.0;
            }
            What::ListFails => self.list.failing = true,
            What::ListOld => {
                let due = Scheduled::ListArrives { version: 1, base: 0, entries: self.first_list.clone() };
                self.queue.borrow_mut().after(HOP, due);
            }
            What::ListTwice => {
                let due = self.whole_list(self.list.version);
                self.queue.borrow_mut().after(HOP, due);
            }
            What::ZoneCut { zone } => {
                let zone = self.zone(zone);
                self.cut_zones.insert(zone);
                // The planner is in the first zone.
                let unreachable = |p: &usize| self.partitioned(self.proxies[*p].zone, 0);
                targets.proxies = (0..self.proxies.len()).filter(unreachable).collect();
                targets.proxies.iter().for_each(|p| self.queue.borrow_mut().hold(*p, true));
            }
            What::ZoneLoss { zone } | What::SiteLoss { zone } => {
                let zone = self.zone(zone);
                // The planner is in the first zone.
                if zone == 0 && matches!(fault.what, What::SiteLoss { .. }) {
                    self.kill_planner();
                }
                let lost = |i: &usize| self.servers[*i].zone == zone && !self.affected_servers.contains(i);
                targets.servers = (0..self.servers.len()).filter(lost).collect();
                self.affected_servers.extend(targets.servers.iter());
                targets.servers.iter().for_each(|s| self.stop(*s));
                self.schedule_list_change(&targets.servers, EndpointState::Removed);
            }
            What::Burst { factor } => self.rate_factor = *factor,
            What::Unmarked { proxies } => {
                targets.proxies = self.pick_proxies(*proxies);
                targets.proxies.iter().for_each(|p| self.queue.borrow_mut().links[*p].drops_acks = true);
            }
            What::Trickle { proxies, bytes_per_s } => {
                targets.proxies = self.pick_proxies(*proxies);
                targets
                    .proxies
                    .iter()
                    .for_each(|p| self.queue.borrow_mut().links[*p].bytes_per_s = *bytes_per_s);
            }
            // Joins by clients other than the day's proxies are emulated on sockets only.
            What::JoinLoop { .. } | What::DoubleJoin { .. } => {}
        }
        self.active_faults.insert(i, targets);
        self.queue.borrow_mut().after(fault.lasts.0, Scheduled::FaultEnds(i));
    }

    /// Kills the planner, which ends all streams.
    pub(crate) fn kill_planner(&mut self) {
        self.controller = None;
        self.queue.borrow_mut().record(Event::PlannerKilled);
        (0..self.proxies.len()).for_each(|p| self.end_stream(p, false));
    }

    /// Applies a fault to servers, or ends it.
    fn set_fault(&mut self, what: &What, servers: &[usize], on: bool) {
        for s in servers {
            if let What::Frozen { .. } = what {
                self.set_frozen(*s, on);
                continue;
            }
            let server = &mut self.servers[*s];
            match what {
                What::Silent { .. } => server.silent = on,
                What::Erring { .. } => server.erring = on,
                What::Lying { figure, .. } => server.false_metric = on.then_some(*figure as f32),
                What::Slow { factor, .. } => {
                    let slow = if on { *factor } else { 1.0 };
                    server.machine.iter_mut().for_each(|m| m.slowdown = slow);
                }
                _ => {}
            }
            self.update_health_check(*s);
        }
    }

    /// Ends a fault.
    #[expect(clippy::too_many_lines, reason = "one arm for each kind of fault")]
    pub(crate) fn end_fault(&mut self, i: usize) {
        let Some(targets) = self.active_faults.remove(&i) else { return };
        let what = self.day.troubles[i].what.clone();
        match &what {
            What::Silent { .. }
            | What::Slow { .. }
            | What::Erring { .. }
            | What::Frozen { .. }
            | What::Lying { .. } => {
                self.set_fault(&what, &targets.servers, false);
                self.affected_servers.retain(|s| !targets.servers.contains(s));
            }
            What::PlannerKilled => self.start_planner(),
            What::Takeover => self.take_over(),
            What::PlannerStalled => {
                self.stalled = false;
                self.queue.borrow_mut().record(Event::PlannerResumed);
                for due in std::mem::take(&mut self.deferred) {
                    self.queue.borrow_mut().after(Duration::ZERO, due);
                }
            }
            What::NoPlanner { .. } => {
                targets.proxies.iter().for_each(|p| self.queue.borrow_mut().links[*p].closed = false);
            }
            What::SlowOrders { .. } => {
                let links = &mut self.queue.borrow_mut().links;
                links
                    .iter_mut()
                    .for_each(|link| (link.delay, link.bytes_per_s) = (Duration::ZERO, f64::INFINITY));
            }
            What::ListLate { .. } => self.list.delay = targets.previous_delay,
            What::ListFails => {
                self.list.failing = false;
                let due = self.whole_list(self.list.version);
                self.queue.borrow_mut().after(HOP, due);
            }
            What::ZoneCut { zone } => {
                let zone = self.zone(zone);
                self.cut_zones.remove(&zone);
                targets.proxies.iter().for_each(|p| self.queue.borrow_mut().hold(*p, false));
            }
            What::ZoneLoss { .. } | What::SiteLoss { .. } => {
                if self.controller.is_none() && self.by == PlannedBy::Planner {
                    self.start_planner();
                }
                for s in &targets.servers {
                    self.start(*s, self.servers[*s].id.number, Duration::ZERO);
                }
                self.schedule_list_change(&targets.servers, EndpointState::Ready);
                self.affected_servers.retain(|s| !targets.servers.contains(s));
            }
            What::Burst { .. } => self.rate_factor = 1.0,
            What::Unmarked { .. } => {
                targets.proxies.iter().for_each(|p| self.queue.borrow_mut().links[*p].drops_acks = false);
            }
            What::Trickle { .. } => {
                for p in &targets.proxies {
                    let link = &mut self.queue.borrow_mut().links[*p];
                    link.bytes_per_s = f64::INFINITY;
                }
            }
            _ => {}
        }
    }

    /// Performs a step of a server's redeployment and schedules the next: 0 drains, 1 stops, 2 starts. `other` is
    /// true if the server returns as another one, whose predecessor is never listed as removed.
    pub(crate) fn redeploy(&mut self, server: usize, step: u8, drain: Duration, down: Duration, other: bool) {
        let next = |step| Scheduled::Redeploy { server, step, drain, down, other };
        match step {
            0 => {
                self.servers[server].leaving = true;
                self.schedule_list_change(&[server], EndpointState::Draining);
                self.queue.borrow_mut().after(drain, next(1));
            }
            1 => {
                self.servers[server].draining = true;
                self.stop(server);
                if !other {
                    self.schedule_list_change(&[server], EndpointState::Removed);
                }
                self.queue.borrow_mut().after(down, next(2));
            }
            _ => {
                let number = if other {
                    self.next_number += 1;
                    self.next_number
                } else {
                    self.servers[server].id.number
                };
                self.start(server, number, Duration::ZERO);
                self.schedule_list_change(&[server], EndpointState::Ready);
                self.affected_servers.remove(&server);
            }
        }
    }
}
