//! Proxies and their streams.

use crate::event_queue::{HOP, Scheduled};
use crate::model::{Model, PlannedBy};
use grebespool_controller::{JoinRequest, StreamId};
use grebespool_invariants::Event;
use grebespool_server_model::{ProxyTables, ReportAggregator};
use grebespool_settings::ProxyKind;
use grebespool_wire::{Message, ServerId, UpdateAck};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

/// A simulated proxy.
pub(crate) struct Proxy {
    pub(crate) kind: ProxyKind,
    pub(crate) zone: u16,
    pub(crate) tables: ProxyTables,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) stream: Option<StreamId>,
    pub(crate) joined: bool,
    /// By connected server: the number of attempts in flight.
    pub(crate) connections: BTreeMap<ServerId, usize>,
    pub(crate) reports: ReportAggregator,
}

impl Model<'_> {
    /// Schedules the proxy's next dial after a random wait.
    pub(crate) fn redial(&mut self, proxy: usize) {
        let p = &mut self.proxies[proxy];
        let wait = p.kind.redial.0.mul_f64(p.rng.random_range(0.2..1.0));
        self.queue.borrow_mut().after(wait, Scheduled::Dial(proxy));
    }

    /// Dials the planner, unless the proxy has a stream. Retries later if the planner cannot be reached.
    pub(crate) fn dial(&mut self, proxy: usize) {
        let link = self.queue.borrow().links[proxy].clone();
        let (closed, held) = (link.closed, link.held);
        if self.proxies[proxy].stream.is_some() {
            return;
        }
        if closed || held || self.controller.is_none() {
            return self.redial(proxy);
        }
        self.last_stream += 1;
        let stream = self.last_stream;
        self.proxies[proxy].stream = Some(stream);
        let mut queue = self.queue.borrow_mut();
        queue.streams.insert(stream, proxy);
        queue.after(HOP * 4, Scheduled::Join(stream));
    }

    /// Hands a proxy's join to the controller.
    pub(crate) fn join(&mut self, stream: StreamId) {
        let Some(proxy) = self.queue.borrow().streams.get(&stream).copied() else { return };
        let (now, p) = (self.planner_now(), &self.proxies[proxy]);
        let (name, bare) = (format!("proxy-{proxy}"), p.tables.is_unconfigured());
        let zone = self.day.deployment.zones[usize::from(p.zone)].clone();
        let rate = self.rate as f32;
        let request = JoinRequest { name: &name, zone: &zone, calls_per_s: rate, initial_table_only: bare };
        self.with_controller(|controller| {
            controller.proxy_joined(now, stream, request);
        });
    }

    /// Ends a proxy's stream and schedules the next dial. The planner learns of the end if `planner_notified` is true.
    pub(crate) fn end_stream(&mut self, proxy: usize, planner_notified: bool) {
        let p = &mut self.proxies[proxy];
        let Some(stream) = p.stream.take() else { return };
        if std::mem::take(&mut p.joined) {
            p.tables.stream_closed();
            self.queue.borrow_mut().record(Event::Left { proxy: proxy as u16 });
        }
        let mut queue = self.queue.borrow_mut();
        queue.streams.remove(&stream);
        if planner_notified {
            queue.after(HOP, Scheduled::StreamEnded(stream));
        }
        drop(queue);
        self.redial(proxy);
    }

    /// Handles a message that arrives at a proxy, or holds it back with its link.
    pub(crate) fn deliver_to_proxy(&mut self, stream: StreamId, message: Message) {
        let Some(proxy) = self.queue.borrow().streams.get(&stream).copied() else { return };
        if self.queue.borrow().links[proxy].held {
            let due = Scheduled::ToProxy { stream, message };
            return self.queue.borrow_mut().links[proxy].held_back.push(due);
        }
        let (number, start) = (proxy as u16, self.incarnation);
        match message {
            Message::Welcome(_) => {
                let p = &mut self.proxies[proxy];
                // All planners of a simulated day have term 0, so none is stale.
                p.joined = p.tables.stream_accepted(start, stream, 0).is_ok();
                let mut queue = self.queue.borrow_mut();
                queue.record(Event::Joined { proxy: number, start });
                queue.after(Duration::ZERO, Scheduled::SendReport(stream));
            }
            Message::Update(orders) => {
                let applied = self.proxies[proxy].tables.apply(&orders);
                let mut queue = self.queue.borrow_mut();
                if let Ok(token) = applied {
                    let (incarnation, sequence) = (orders.incarnation, orders.sequence);
                    if !queue.links[proxy].drops_acks {
                        let message = Message::UpdateAck(UpdateAck { incarnation, stream, sequence, token });
                        queue.after(HOP, Scheduled::ToPlanner { stream, message });
                    }
                }
                queue.record(Event::Delivered { proxy: number, orders });
                drop(queue);
                let p = &mut self.proxies[proxy];
                p.connections.retain(|server, in_flight| p.tables.contains(*server) || *in_flight > 0);
            }
            _ => self.end_stream(proxy, false),
        }
    }

    /// Handles a message that arrives at the planner, or holds it back with its link.
    pub(crate) fn deliver_to_planner(&mut self, stream: StreamId, message: Message) {
        let Some(proxy) = self.queue.borrow().streams.get(&stream).copied() else { return };
        if self.queue.borrow().links[proxy].held {
            let due = Scheduled::ToPlanner { stream, message };
            return self.queue.borrow_mut().links[proxy].held_back.push(due);
        }
        let now = self.planner_now();
        self.with_controller(|controller| match message {
            Message::ProxyReport(report) => controller.load_reported(stream, &report),
            Message::UpdateAck(ack) => controller.update_acknowledged(now, stream, &ack),
            _ => {}
        });
    }

    /// Takes the planner from a proxy, or lets the proxy dial again.
    pub(crate) fn set_unreachable(&mut self, proxy: usize, apart: bool) {
        self.queue.borrow_mut().links[proxy].closed = apart;
        if apart {
            self.end_stream(proxy, true);
        } else if self.proxies[proxy].stream.is_none() && self.by == PlannedBy::Planner {
            self.queue.borrow_mut().after(Duration::ZERO, Scheduled::Dial(proxy));
        }
    }

    /// Sends a proxy's report and schedules the next.
    pub(crate) fn send_report(&mut self, stream: StreamId) {
        let Some(proxy) = self.queue.borrow().streams.get(&stream).copied() else { return };
        let message = self.proxies[proxy].reports.take_report();
        let mut queue = self.queue.borrow_mut();
        queue.after(HOP, Scheduled::ToPlanner { stream, message });
        queue.after(self.day.deployment.reports.cycle.0, Scheduled::SendReport(stream));
    }
}
