//! The troubles of a day, as they come and go.

use crate::agenda::{Due, HOP};
use crate::play::{Model, PlannedBy};
use grebespool_invariants::Event;
use grebespool_settings::What;
use grebespool_wire::EndpointState;
use rand::seq::SliceRandom;
use std::time::Duration;

/// What a trouble has in hand while it lasts.
#[derive(Default)]
pub struct InHand {
    servers: Vec<usize>,
    proxies: Vec<usize>,
    usual: Duration,
}

impl Model<'_> {
    fn take(&mut self, count: usize) -> Vec<usize> {
        let mut free: Vec<usize> = (0..self.servers.len()).filter(|i| !self.taken.contains(i)).collect();
        free.shuffle(&mut self.trouble_rng);
        free.truncate(count);
        self.taken.extend(free.iter());
        free
    }

    fn some_proxies(&mut self, count: usize) -> Vec<usize> {
        let mut some: Vec<usize> = (0..self.proxies.len()).collect();
        some.shuffle(&mut self.trouble_rng);
        some.truncate(count);
        some
    }

    fn share(&self, share: f64) -> usize {
        (self.proxies.len() as f64 * share).ceil() as usize
    }

    pub fn begin(&mut self, i: usize) {
        let trouble = self.day.troubles[i].clone();
        let mut hand = InHand::default();
        match &trouble.what {
            What::Silent { servers }
            | What::Slow { servers, .. }
            | What::Erring { servers }
            | What::Frozen { servers }
            | What::Lying { servers, .. } => {
                hand.servers = self.take(*servers);
                self.set(&trouble.what, &hand.servers, true);
            }
            What::Deploy { servers, every, drain, down } => {
                for (n, server) in self.take(*servers).into_iter().enumerate() {
                    let (drain, down, other) = (drain.0, down.0, false);
                    let due = Due::Redeploy { server, step: 0, drain, down, other };
                    self.agenda.borrow_mut().after(every.0 * n as u32, due);
                }
            }
            What::Replaced { servers } => {
                for server in self.take(*servers) {
                    let (drain, down, other) = (Duration::ZERO, Duration::from_millis(100), true);
                    let due = Due::Redeploy { server, step: 1, drain, down, other };
                    self.agenda.borrow_mut().after(Duration::ZERO, due);
                }
            }
            What::PlannerKilled | What::Takeover => {
                self.kill_planner();
            }
            What::PlannerStalled => {
                self.stalled = true;
                self.agenda.borrow_mut().put(Event::PlannerStalled);
            }
            What::StreamsBreak { share, mid_frame } => {
                for (n, p) in self.some_proxies(self.share(*share)).into_iter().enumerate() {
                    // Every third is broken at the proxy's end alone.
                    self.end_stream(p, *mid_frame || n % 3 != 2);
                }
            }
            What::NoPlanner { share } => {
                hand.proxies = self.some_proxies(self.share(*share));
                for p in &hand.proxies {
                    self.agenda.borrow_mut().ways[*p].closed = true;
                    self.end_stream(*p, true);
                }
            }
            What::SlowOrders { delay, bytes_per_s } => {
                let ways = &mut self.agenda.borrow_mut().ways;
                ways.iter_mut().for_each(|w| (w.delay, w.bytes_per_s) = (delay.0, *bytes_per_s));
            }
            What::ListLate { by } => {
                hand.usual = self.list.late;
                self.list.late += by.0;
            }
            What::ListFails => self.list.fails = true,
            What::ListOld => {
                let due = Due::ListAt { version: 1, base: 0, entries: self.first_list.clone() };
                self.agenda.borrow_mut().after(HOP, due);
            }
            What::ListTwice => {
                let due = self.whole_list(self.list.version);
                self.agenda.borrow_mut().after(HOP, due);
            }
            What::ZoneCut { zone } => {
                let zone = self.zone(zone);
                self.cut.insert(zone);
                // The planner is in the first zone.
                let apart = |p: &usize| self.apart(self.proxies[*p].zone, 0);
                hand.proxies = (0..self.proxies.len()).filter(apart).collect();
                hand.proxies.iter().for_each(|p| self.agenda.borrow_mut().hold(*p, true));
            }
            What::ZoneLoss { zone } | What::SiteLoss { zone } => {
                let zone = self.zone(zone);
                // The planner is in the first zone.
                if zone == 0 && matches!(trouble.what, What::SiteLoss { .. }) {
                    self.kill_planner();
                }
                let lost = |i: &usize| self.servers[*i].zone == zone && !self.taken.contains(i);
                hand.servers = (0..self.servers.len()).filter(lost).collect();
                self.taken.extend(hand.servers.iter());
                hand.servers.iter().for_each(|s| self.stop(*s));
                self.list_change(&hand.servers, EndpointState::Removed);
            }
            What::Burst { factor } => self.burst = *factor,
            What::Unmarked { proxies } => {
                hand.proxies = self.some_proxies(*proxies);
                hand.proxies.iter().for_each(|p| self.agenda.borrow_mut().ways[*p].unmarked = true);
            }
            What::Trickle { proxies, bytes_per_s } => {
                hand.proxies = self.some_proxies(*proxies);
                hand.proxies
                    .iter()
                    .for_each(|p| self.agenda.borrow_mut().ways[*p].bytes_per_s = *bytes_per_s);
            }
            // Joins by others than the day's proxies are played on sockets only.
            What::JoinLoop { .. } | What::DoubleJoin { .. } => {}
        }
        self.in_hand.insert(i, hand);
        self.agenda.borrow_mut().after(trouble.lasts.0, Due::End(i));
    }

    pub fn kill_planner(&mut self) {
        self.engine = None;
        self.agenda.borrow_mut().put(Event::PlannerKilled);
        (0..self.proxies.len()).for_each(|p| self.end_stream(p, false));
    }

    fn set(&mut self, what: &What, servers: &[usize], on: bool) {
        for s in servers {
            if let What::Frozen { .. } = what {
                self.freeze(*s, on);
                continue;
            }
            let server = &mut self.servers[*s];
            match what {
                What::Silent { .. } => server.silent = on,
                What::Erring { .. } => server.erring = on,
                What::Lying { figure, .. } => server.lie = on.then_some(*figure as f32),
                What::Slow { factor, .. } => {
                    let slow = if on { *factor } else { 1.0 };
                    server.machine.iter_mut().for_each(|m| m.slowdown = slow);
                }
                _ => {}
            }
            self.set_probe(*s);
        }
    }

    pub fn end(&mut self, i: usize) {
        let Some(hand) = self.in_hand.remove(&i) else { return };
        let what = self.day.troubles[i].what.clone();
        match &what {
            What::Silent { .. }
            | What::Slow { .. }
            | What::Erring { .. }
            | What::Frozen { .. }
            | What::Lying { .. } => {
                self.set(&what, &hand.servers, false);
                self.taken.retain(|s| !hand.servers.contains(s));
            }
            What::PlannerKilled => self.start_planner(),
            What::Takeover => self.take_over(),
            What::PlannerStalled => {
                self.stalled = false;
                self.agenda.borrow_mut().put(Event::PlannerResumed);
                for due in std::mem::take(&mut self.missed) {
                    self.agenda.borrow_mut().after(Duration::ZERO, due);
                }
            }
            What::NoPlanner { .. } => {
                hand.proxies.iter().for_each(|p| self.agenda.borrow_mut().ways[*p].closed = false);
            }
            What::SlowOrders { .. } => {
                let ways = &mut self.agenda.borrow_mut().ways;
                ways.iter_mut().for_each(|w| (w.delay, w.bytes_per_s) = (Duration::ZERO, f64::INFINITY));
            }
            What::ListLate { .. } => self.list.late = hand.usual,
            What::ListFails => {
                self.list.fails = false;
                let due = self.whole_list(self.list.version);
                self.agenda.borrow_mut().after(HOP, due);
            }
            What::ZoneCut { zone } => {
                let zone = self.zone(zone);
                self.cut.remove(&zone);
                hand.proxies.iter().for_each(|p| self.agenda.borrow_mut().hold(*p, false));
            }
            What::ZoneLoss { .. } | What::SiteLoss { .. } => {
                if self.engine.is_none() && self.by == PlannedBy::Planner {
                    self.start_planner();
                }
                for s in &hand.servers {
                    self.start(*s, self.servers[*s].id.number, Duration::ZERO);
                }
                self.list_change(&hand.servers, EndpointState::Ready);
                self.taken.retain(|s| !hand.servers.contains(s));
            }
            What::Burst { .. } => self.burst = 1.0,
            What::Unmarked { .. } => {
                hand.proxies.iter().for_each(|p| self.agenda.borrow_mut().ways[*p].unmarked = false);
            }
            What::Trickle { .. } => {
                for p in &hand.proxies {
                    let way = &mut self.agenda.borrow_mut().ways[*p];
                    way.bytes_per_s = f64::INFINITY;
                }
            }
            _ => {}
        }
    }

    pub fn redeploy(&mut self, server: usize, step: u8, drain: Duration, down: Duration, other: bool) {
        let next = |step| Due::Redeploy { server, step, drain, down, other };
        match step {
            0 => {
                self.servers[server].leaving = true;
                self.list_change(&[server], EndpointState::Draining);
                self.agenda.borrow_mut().after(drain, next(1));
            }
            1 => {
                self.servers[server].draining = true;
                self.stop(server);
                if !other {
                    self.list_change(&[server], EndpointState::Removed);
                }
                self.agenda.borrow_mut().after(down, next(2));
            }
            _ => {
                let number = if other {
                    self.next_number += 1;
                    self.next_number
                } else {
                    self.servers[server].id.number
                };
                self.start(server, number, Duration::ZERO);
                self.list_change(&[server], EndpointState::Ready);
                self.taken.remove(&server);
            }
        }
    }
}
