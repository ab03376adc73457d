//! Instances: events turned into calls on their planners, their orders into records.

use crate::frame::{Address, Batch, ENTRY, Fields, Malformed, Reply, malformed};
use grebespool::host::*;
use grebespool::policy::Policy;
use grebespool_platform_settings::PlatformSettings;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// The ids of one instance's servers: an address on the wire, a small index inside.
#[derive(Default)]
struct Doorway {
    indices: HashMap<Address, ServerIndex>,
    addresses: Vec<Address>,
}

impl Doorway {
    fn enter(&mut self, address: Address) -> ServerIndex {
        *self.indices.entry(address).or_insert_with(|| {
            self.addresses.push(address);
            self.addresses.len() - 1
        })
    }
}

struct WireHost {
    instance: u32,
    born: f64,
    door: Rc<RefCell<Doorway>>,
    reply: Rc<RefCell<Reply>>,
}

impl WireHost {
    fn put(&self, code: u16, fields: &[&[u8]]) {
        self.reply.borrow_mut().put(self.instance, code, fields);
    }

    fn address(&self, server: ServerIndex) -> Address {
        self.door.borrow().addresses[server]
    }
}

/// Table 65535: all joined proxies.
const EVERY_TABLE: u16 = 65535;

const TICK_TOKEN: u32 = 1;
const URGENT_PUBLISH_TOKEN: u32 = 2;

/// The number by which the simulator returns a timer.
fn timer_token(timer: Timer) -> u32 {
    match timer {
        Timer::Tick => TICK_TOKEN,
        Timer::UrgentPublish => URGENT_PUBLISH_TOKEN,
    }
}

/// The timer of a returned number; an unknown one publishes what has changed and evaluates no rule.
fn timer_of_token(token: u32) -> Timer {
    if token == TICK_TOKEN { Timer::Tick } else { Timer::UrgentPublish }
}

impl PolicyHost for WireHost {
    fn set_timer(&mut self, at: Duration, timer: Timer) {
        let ms = self.born + at.as_secs_f64() * 1000.0;
        self.put(1030, &[&ms.to_be_bytes(), &timer_token(timer).to_be_bytes()]);
    }
    fn set_weight(&mut self, table: TableId, server: ServerIndex, weight: f32) {
        self.put(1110, &[&weight.to_be_bytes(), &table.to_be_bytes(), &self.address(server)]);
    }
    fn bind_proxy(&mut self, proxy: ProxyId, table: TableId, routes: RouteSet) {
        self.put(1080, &[&proxy.to_be_bytes(), &table.to_be_bytes(), &routes.to_be_bytes()]);
    }
    fn set_admission(&mut self, routes: RouteSet, level: f32, tries: RetryPolicy) {
        let mode = match tries {
            RetryPolicy::Never => 0,
            RetryPolicy::IfNotExecuted => 1,
            RetryPolicy::AfterFailure => 2,
        };
        self.put(1060, &[&[mode], &routes.to_be_bytes(), &EVERY_TABLE.to_be_bytes(), &level.to_be_bytes()]);
    }
    fn request_ack(&mut self, number: u16) {
        self.put(1010, &[&[0], &u32::from(number).to_be_bytes()]);
    }
    fn start_health_check(&mut self, server: ServerIndex) {
        self.put(1070, &[&self.address(server)]);
    }
    fn poll_endpoints(&mut self) {
        self.put(1040, &[&[1]]);
    }
}

struct Instance {
    born: f64,
    door: Rc<RefCell<Doorway>>,
    planner: Policy<WireHost>,
}

/// One entry of an `Inventory`, before it is known whose list it joins.
struct Entry {
    address: Address,
    zone: ZoneId,
    kind: ServerKind,
    phase: EndpointState,
    started: f64,
}

impl Entry {
    fn read(bytes: &[u8]) -> Result<Self, Malformed> {
        let f = Fields(bytes);
        let phase = match f.u8(11) {
            0 => EndpointState::Removed,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            other => return malformed(format!("a list entry of phase {other}")),
        };
        Ok(Entry { address: f.address(0), zone: f.u16(6), kind: f.u8(8).into(), phase, started: f.f64(16) })
    }
}

/// All instances of one process. They share nothing but the frames.
#[derive(Default)]
pub struct Hosted {
    instances: BTreeMap<u32, Instance>,
    lists: [Vec<Entry>; 16],
    reply: Rc<RefCell<Reply>>,
}

impl Hosted {
    pub fn batch(&mut self, frame: &[u8]) -> Result<Vec<u8>, Malformed> {
        let batch = Batch::parse(frame)?;
        let mut target = None;
        for (i, event) in batch.events().enumerate() {
            self.event(&batch, event, &mut target)
                .map_err(|m| Malformed(format!("record {i} (code {}): {}", event.u16(0), m.0)))?;
        }
        Ok(self.reply.borrow_mut().frame())
    }

    fn event(&mut self, batch: &Batch, event: Fields, target: &mut Option<u32>) -> Result<(), Malformed> {
        match event.u16(0) {
            1150 => *target = Some(event.u32(2)),
            1140 => {
                let Some(list) = self.lists.get_mut(usize::from(event.u8(2))) else {
                    return malformed(format!("list number {}", event.u8(2)));
                };
                *list = batch
                    .tail(event, 3, ENTRY)?
                    .chunks_exact(ENTRY)
                    .map(Entry::read)
                    .collect::<Result<_, _>>()?;
            }
            code => {
                let Some(number) = *target else {
                    return malformed("an event for no instance");
                };
                match code {
                    1000 => self.born(batch, event, number)?,
                    1050 => drop(self.instances.remove(&number)),
                    _ => match self.instances.get_mut(&number) {
                        Some(instance) => instance.event(batch.clock, event, code, &self.lists)?,
                        None => return malformed(format!("instance {number} was not started")),
                    },
                }
            }
        }
        Ok(())
    }

    fn born(&mut self, batch: &Batch, event: Fields, number: u32) -> Result<(), Malformed> {
        let stated = PlatformSettings::from_pairs(batch.tail(event, 10, 1)?)?;
        let door = Rc::new(RefCell::new(Doorway::default()));
        let born = batch.clock;
        let host = WireHost { instance: number, born, door: door.clone(), reply: self.reply.clone() };
        let planner = Policy::new(
            host,
            event.u64(2),
            stated.routes()?,
            stated.proxy_capabilities()?,
            stated.timeouts()?,
            stated.control_channel_limits()?,
            stated.observability()?,
        );
        self.instances.insert(number, Instance { born, door, planner });
        Ok(())
    }
}

/// A span on the wire; what is no span counts as nought.
fn span(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1000.0).unwrap_or_default()
}

impl Instance {
    fn event(&mut self, clock: f64, event: Fields, code: u16, lists: &[Vec<Entry>]) -> Result<(), Malformed> {
        let now = span(clock - self.born);
        let server = |at| self.door.borrow().indices.get(&event.address(at)).copied();
        match code {
            1010 => match event.u8(2) {
                how @ 0..=2 => {
                    let Some(list) = lists.get(usize::from(event.u8(7))) else {
                        return malformed(format!("list number {}", event.u8(7)));
                    };
                    let entries = self.entries(clock, list);
                    self.planner.endpoints_updated(now, how != 0, &entries);
                }
                3 => self.planner.endpoint_poll_failed(now),
                how => return malformed(format!("a list of sort {how}")),
            },
            1020 => self.planner.timer_fired(now, timer_of_token(event.u32(2))),
            1030 => {
                let result = match event.u16(8) {
                    100 => HealthCheckResult::Healthy,
                    302 => HealthCheckResult::Rejected,
                    301 | 303..=307 => HealthCheckResult::Failed,
                    other => return malformed(format!("a probe result of {other}")),
                };
                event.report(18)?;
                if let Some(s) = server(2) {
                    self.planner.health_check_finished(s, result);
                }
            }
            1060 => {
                let rate = event.f32(7).max(0.0).into();
                self.planner.proxy_joined(now, event.u16(2), event.u16(4), event.u8(6) != 0, rate);
            }
            1070 => self.planner.proxy_left(event.u16(2)),
            1080 => self.planner.acknowledged(now, event.u32(2) as u16),
            1090 => {
                let wait = Some(event.f64(8)).filter(|w| *w > 0.0).map(span);
                let report = event.report(34)?;
                let (tries, dropped) = (event.u32(24), event.u32(2));
                let met = LoadReport {
                    client_zone: event.u16(6),
                    attempts: tries,
                    failures: dropped,
                    latency: wait,
                    metrics: &report,
                };
                if let Some(s) = server(28) {
                    self.planner.load_reported(now, s, &met);
                }
            }
            1100 => {
                self.planner.requests_received(now, event.u16(10), usize::from(event.u8(12)), event.u32(13));
            }
            // Peers, slices and their stores: nothing is decided on them yet (docs/design.md).
            1040 | 1110 | 1120 | 1130 => {}
            _ => return malformed("unknown code"),
        }
        Ok(())
    }

    fn entries(&self, clock: f64, list: &[Entry]) -> Vec<Endpoint> {
        let mut door = self.door.borrow_mut();
        let age = |started: f64| Some(started).filter(|s| *s > 0.0 && s.is_finite()).map(|s| span(clock - s));
        list.iter()
            .map(|e| Endpoint {
                server: door.enter(e.address),
                zone: e.zone,
                kind: e.kind,
                state: e.phase,
                age: age(e.started),
            })
            .collect()
    }
}
