//! Proxies and their streams.

use crate::agenda::{Due, HOP};
use crate::play::{Model, PlannedBy};
use grebespool_controller::{JoinRequest, StreamId};
use grebespool_invariants::Event;
use grebespool_server_model::{ProxyTables, ReportAggregator};
use grebespool_settings::ProxyKind;
use grebespool_wire::{Message, ServerId, UpdateAck};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;

pub struct Proxy {
    pub kind: ProxyKind,
    pub zone: u16,
    pub held: ProxyTables,
    pub rng: Pcg64Mcg,
    pub stream: Option<StreamId>,
    pub joined: bool,
    /// Connections, and the calls in hand on each.
    pub conns: BTreeMap<ServerId, usize>,
    pub sums: ReportAggregator,
}

impl Model<'_> {
    pub fn redial(&mut self, proxy: usize) {
        let p = &mut self.proxies[proxy];
        let wait = p.kind.redial.0.mul_f64(p.rng.random_range(0.2..1.0));
        self.agenda.borrow_mut().after(wait, Due::Dial(proxy));
    }

    pub fn dial(&mut self, proxy: usize) {
        let way = self.agenda.borrow().ways[proxy].clone();
        let (closed, held) = (way.closed, way.held);
        if self.proxies[proxy].stream.is_some() {
            return;
        }
        if closed || held || self.engine.is_none() {
            return self.redial(proxy);
        }
        self.last_stream += 1;
        let stream = self.last_stream;
        self.proxies[proxy].stream = Some(stream);
        let mut agenda = self.agenda.borrow_mut();
        agenda.streams.insert(stream, proxy);
        agenda.after(HOP * 4, Due::Join(stream));
    }

    pub fn join(&mut self, stream: StreamId) {
        let Some(proxy) = self.agenda.borrow().streams.get(&stream).copied() else { return };
        let (now, p) = (self.planner_now(), &self.proxies[proxy]);
        let (name, bare) = (format!("proxy-{proxy}"), p.held.is_unconfigured());
        let zone = self.day.deployment.zones[usize::from(p.zone)].clone();
        let rate = self.rate as f32;
        let request = JoinRequest { name: &name, zone: &zone, calls_per_s: rate, initial_table_only: bare };
        self.plan(|engine| {
            engine.proxy_joined(now, stream, request);
        });
    }

    /// The proxy's end of a stream is gone. `told`: whether the planner learns of it.
    pub fn end_stream(&mut self, proxy: usize, told: bool) {
        let p = &mut self.proxies[proxy];
        let Some(stream) = p.stream.take() else { return };
        if std::mem::take(&mut p.joined) {
            p.held.stream_closed();
            self.agenda.borrow_mut().put(Event::Left { proxy: proxy as u16 });
        }
        let mut agenda = self.agenda.borrow_mut();
        agenda.streams.remove(&stream);
        if told {
            agenda.after(HOP, Due::Ended(stream));
        }
        drop(agenda);
        self.redial(proxy);
    }

    pub fn reach_proxy(&mut self, stream: StreamId, message: Message) {
        let Some(proxy) = self.agenda.borrow().streams.get(&stream).copied() else { return };
        if self.agenda.borrow().ways[proxy].held {
            let due = Due::ToProxy { stream, message };
            return self.agenda.borrow_mut().ways[proxy].kept.push(due);
        }
        let (number, start) = (proxy as u16, self.start_id);
        match message {
            Message::Welcome(_) => {
                let p = &mut self.proxies[proxy];
                // All planners of a modelled day share nothing, so none is older than another.
                p.joined = p.held.stream_accepted(start, stream, 0).is_ok();
                let mut agenda = self.agenda.borrow_mut();
                agenda.put(Event::Joined { proxy: number, start });
                agenda.after(Duration::ZERO, Due::Sums(stream));
            }
            Message::Update(orders) => {
                let obeyed = self.proxies[proxy].held.apply(&orders);
                let mut agenda = self.agenda.borrow_mut();
                if let Ok(mark) = obeyed {
                    let (start, seq) = (orders.incarnation, orders.sequence);
                    if !agenda.ways[proxy].unmarked {
                        let message = Message::UpdateAck(UpdateAck {
                            incarnation: start,
                            stream,
                            sequence: seq,
                            token: mark,
                        });
                        agenda.after(HOP, Due::ToPlanner { stream, message });
                    }
                }
                agenda.put(Event::Delivered { proxy: number, orders });
                drop(agenda);
                let p = &mut self.proxies[proxy];
                p.conns.retain(|server, in_hand| p.held.contains(*server) || *in_hand > 0);
            }
            _ => self.end_stream(proxy, false),
        }
    }

    pub fn reach_planner(&mut self, stream: StreamId, message: Message) {
        let Some(proxy) = self.agenda.borrow().streams.get(&stream).copied() else { return };
        if self.agenda.borrow().ways[proxy].held {
            let due = Due::ToPlanner { stream, message };
            return self.agenda.borrow_mut().ways[proxy].kept.push(due);
        }
        let now = self.planner_now();
        self.plan(|engine| match message {
            Message::ProxyReport(report) => engine.load_reported(stream, &report),
            Message::UpdateAck(ack) => engine.update_acknowledged(now, stream, &ack),
            _ => {}
        });
    }

    /// The proxy has no planner from here on, or can have one again.
    pub fn keep_apart(&mut self, proxy: usize, apart: bool) {
        self.agenda.borrow_mut().ways[proxy].closed = apart;
        if apart {
            self.end_stream(proxy, true);
        } else if self.proxies[proxy].stream.is_none() && self.by == PlannedBy::Planner {
            self.agenda.borrow_mut().after(Duration::ZERO, Due::Dial(proxy));
        }
    }

    pub fn sums(&mut self, stream: StreamId) {
        let Some(proxy) = self.agenda.borrow().streams.get(&stream).copied() else { return };
        let message = self.proxies[proxy].sums.take_report();
        let mut agenda = self.agenda.borrow_mut();
        agenda.after(HOP, Due::ToPlanner { stream, message });
        agenda.after(self.day.deployment.reports.cycle.0, Due::Sums(stream));
    }
}
