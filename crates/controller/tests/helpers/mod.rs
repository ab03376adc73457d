//! An outlet that keeps what it was asked, and an engine on a few servers that can be driven through time.

use grebespool::host::*;
use grebespool_controller::*;
use grebespool_wire::{Entry, MetLine, Order, Orders, Reason, ServerId};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

#[derive(Default)]
pub struct Kept {
    pub welcome: Vec<StreamId>,
    pub sent: Vec<(StreamId, Orders)>,
    pub closed: Vec<(StreamId, Reason)>,
    pub probes: Vec<ServerId>,
    pub asked: Vec<u64>,
    pub refused: Vec<String>,
}

#[derive(Clone, Default)]
pub struct Desk(pub Rc<RefCell<Kept>>);

impl Outlet for Desk {
    fn welcome(&mut self, stream: StreamId) {
        self.0.borrow_mut().welcome.push(stream);
    }
    fn send(&mut self, stream: StreamId, orders: Orders) {
        self.0.borrow_mut().sent.push((stream, orders));
    }
    fn close(&mut self, stream: StreamId, reason: Reason, _: &str) {
        self.0.borrow_mut().closed.push((stream, reason));
    }
    fn probe(&mut self, server: ServerId) {
        self.0.borrow_mut().probes.push(server);
    }
    fn ask_list(&mut self, have: u64) {
        self.0.borrow_mut().asked.push(have);
    }
    fn refused(&mut self, text: &str) {
        self.0.borrow_mut().refused.push(text.into());
    }
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn id(n: u32) -> ServerId {
    ServerId { addr: ([127, 0, 0, 1], 9000 + n as u16).into(), number: n }
}

pub fn entry(n: u32, phase: grebespool_wire::Phase, started_ms: u64) -> Entry {
    Entry { server: id(n), zone: if n.is_multiple_of(2) { "a" } else { "b" }.into(), phase, started_ms }
}

pub fn ready(count: u32) -> Vec<Entry> {
    (0..count).map(|n| entry(n, grebespool_wire::Phase::Ready, 0)).collect()
}

pub const PACE: ControlChannelLimits = ControlChannelLimits {
    entries_per_s: 2000.0,
    max_queued_entries: 3000.0,
    message_overhead: 4.0,
    max_messages: 20,
    window: Duration::from_secs(10),
    max_transit: Duration::from_millis(300),
};

pub struct Rig {
    pub engine: Engine<Desk>,
    pub kept: Rc<RefCell<Kept>>,
    pub now: Duration,
    pub number: u32,
    /// What each stream's table holds, as a proxy would have it.
    pub tables: BTreeMap<StreamId, BTreeMap<ServerId, f32>>,
}

impl Rig {
    pub fn new(pace: ControlChannelLimits, slices: usize) -> Result<Rig, Unsupported> {
        let desk = Desk::default();
        let kept = desk.0.clone();
        let route = Route {
            priority_weight: 1.0,
            latency_objective: ms(500),
            idempotency: Idempotency::Idempotent,
            zone_local: false,
        };
        let plane = ProxyCapabilities {
            zones: 2,
            slices,
            admission_mode: AdmissionMode::Share,
            attempt_timeout_factor: 1.0,
            proxies: 100,
            min_server_connections: 1e4,
        };
        let sight = Observability {
            metrics: vec![LoadMetric::Utilization],
            report_interval: ms(500),
            health_checks: true,
            endpoint_poll_interval: None,
        };
        let engine = Engine::start(
            desk,
            Start { id: 77, seed: 1, epoch: 0 },
            Bounds { servers: 50, proxies: 200, joins: 4, unconfirmed: ms(4000) },
            vec!["a".into(), "b".into()],
            vec![route],
            plane,
            Timeouts { warm_up: Duration::from_secs(8), removal_is_final: true },
            pace,
            sight,
        )?;
        Ok(Rig { engine, kept, now: ms(10), number: 0, tables: BTreeMap::new() })
    }

    pub fn with_servers(count: u32) -> Rig {
        Rig::paced(PACE, count)
    }

    /// A channel that does not take even the shortest tables for a hundred proxies at once.
    pub fn narrow(count: u32) -> Rig {
        Rig::paced(ControlChannelLimits { entries_per_s: 1000.0, max_queued_entries: 1000.0, ..PACE }, count)
    }

    fn paced(pace: ControlChannelLimits, count: u32) -> Rig {
        let mut rig = Rig::new(pace, 0).unwrap();
        rig.engine.list(rig.now, 1, 0, 5000, &ready(count));
        rig
    }

    pub fn join(&mut self, stream: StreamId, name: &str, bare: bool) {
        let zone = if stream.is_multiple_of(2) { "a" } else { "b" };
        self.engine.joined(self.now, stream, Arrival { name, zone, rate: 5.0, bare });
    }

    /// Runs on, waking the engine when it is due, and answers each mark at once for the streams that do.
    pub fn run(&mut self, length: Duration, answers: impl Fn(StreamId) -> bool) {
        let end = self.now + length;
        while self.engine.due() <= end {
            self.now = self.engine.due().max(self.now);
            self.engine.woken(self.now);
            self.obey(&answers);
        }
        self.now = end;
    }

    pub fn obey(&mut self, answers: impl Fn(StreamId) -> bool) {
        let sent: Vec<_> = std::mem::take(&mut self.kept.borrow_mut().sent);
        for (stream, orders) in sent {
            let mut mark = None;
            for part in orders.parts {
                let table = self.tables.entry(stream).or_default();
                match part {
                    Order::Bind { lines, .. } => *table = lines.into_iter().collect(),
                    Order::Line { server, weight, .. } if weight > 0.0 => drop(table.insert(server, weight)),
                    Order::Line { server, .. } => drop(table.remove(&server)),
                    Order::Mark(m) => mark = Some(m),
                    _ => {}
                }
            }
            if answers(stream) {
                self.engine.applied(self.now, stream, (orders.start, orders.stream), orders.seq, mark);
            }
        }
    }

    /// Sums of one server, with a report of its load unless that is no number.
    pub fn sums(&mut self, stream: StreamId, n: u32, tries: u32, dropped: u32, load: f32) {
        self.number += 1;
        let report = Some(grebespool_wire::Report { start: 1, number: self.number, figures: vec![load] });
        let wait_us = if tries > dropped { 50_000 } else { 0 };
        let met = MetLine { server: id(n), tries, dropped, wait_us, report };
        self.engine.sums(stream, &[met], &[grebespool_wire::CameLine { route: 0, calls: tries }]);
    }
}
