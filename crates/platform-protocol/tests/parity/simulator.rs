//! The simulator's side of the comparison: sends batches of records to the adapter, and keeps tables and bindings as
//! the simulator does.

use super::{Update, Updates};
use grebespool_wirehost::Instances;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The number of servers of the deployment.
pub const SERVERS: usize = 8;
/// The simulator's clock at the start, in milliseconds.
const START_MS: f64 = 5000.0;
const EVENT_LENGTH: usize = 56;
const REPLY_LENGTH: usize = 16;
const REPLY_HEADER_LENGTH: usize = 8;
const ROUTES: usize = 2;

/// The codes of event records.
mod event {
    pub const INSTANCE_STARTED: u16 = 1000;
    pub const ENDPOINTS_UPDATED: u16 = 1010;
    pub const TIMER: u16 = 1020;
    pub const PROXY_JOINED: u16 = 1060;
    pub const LOAD_REPORT: u16 = 1090;
    pub const REQUESTS: u16 = 1100;
    pub const ENDPOINT_LIST: u16 = 1140;
    pub const INSTANCE: u16 = 1150;
}

/// The codes of reply records.
mod reply {
    pub const ACK_REQUEST: u16 = 1010;
    pub const TIMER: u16 = 1030;
    pub const ADMISSION: u16 = 1060;
    pub const BINDING: u16 = 1080;
    pub const WEIGHT: u16 = 1110;
}

fn record(code: u16, fields: &[&[u8]]) -> Vec<u8> {
    let mut bytes = [&code.to_be_bytes()[..], &fields.concat()].concat();
    bytes.resize(EVENT_LENGTH, 0);
    bytes
}

fn address(server: usize) -> [u8; 6] {
    [10, 0, 0, 1, 0, server as u8]
}

/// One record of a reply.
struct Reply<'a>(&'a [u8]);

impl Reply<'_> {
    fn u16_at(&self, at: usize) -> u16 {
        u16::from_be_bytes([self.0[at], self.0[at + 1]])
    }

    fn u32_at(&self, at: usize) -> u32 {
        u32::from_be_bytes(std::array::from_fn(|i| self.0[at + i]))
    }

    fn f32_at(&self, at: usize) -> f32 {
        f32::from_bits(self.u32_at(at))
    }

    fn f64_at(&self, at: usize) -> f64 {
        f64::from_be_bytes(std::array::from_fn(|i| self.0[at + i]))
    }
}

/// The changes in the reply to one batch.
#[derive(Default)]
struct Changes {
    bound: BTreeSet<u16>,
    weights: BTreeMap<u16, BTreeMap<String, f32>>,
    admission: BTreeMap<usize, (f32, u8)>,
    ack_token: Option<u64>,
}

#[derive(Default)]
pub struct Simulator {
    instances: Instances,
    tables: BTreeMap<u16, BTreeMap<String, f32>>,
    /// The table that each proxy is bound to.
    bindings: BTreeMap<u16, u16>,
    admission: BTreeMap<usize, (f32, u8)>,
    timers: BTreeSet<(Duration, u32)>,
}

impl Simulator {
    pub fn start(&mut self) {
        const ALL_NEW: u8 = 2;
        let entries: Vec<(usize, u8)> = (0..SERVERS).map(|server| (server, 1)).collect();
        self.list(Duration::ZERO, ALL_NEW, &entries);
    }

    /// Sends a list that changes these servers to these states.
    pub fn change_list(&mut self, now: Duration, entries: &[(usize, u8)]) -> Updates {
        const CHANGES: u8 = 0;
        self.list(now, CHANGES, entries)
    }

    /// Fires each due timer once, at the first step at or after its time.
    pub fn fire_timers(&mut self, now: Duration) -> Updates {
        let tokens: BTreeSet<u32> =
            self.timers.iter().filter(|timer| timer.0 <= now).map(|timer| timer.1).collect();
        self.timers.retain(|timer| timer.0 > now);
        let events: Vec<_> =
            tokens.iter().map(|token| record(event::TIMER, &[&token.to_be_bytes()])).collect();
        if events.is_empty() { Updates::new() } else { self.batch(now, &events, &[]) }
    }

    pub fn join_proxy(&mut self, now: Duration, proxy: u16) -> Updates {
        let zone = (proxy % 2).to_be_bytes();
        let fields: [&[u8]; 4] = [&proxy.to_be_bytes(), &zone, &[1], &3.5f32.to_be_bytes()];
        self.batch(now, &[record(event::PROXY_JOINED, &fields)], &[])
    }

    pub fn report_load(&mut self, now: Duration, server: usize, share: f32, failures: u32) -> Updates {
        let metrics = [&[2][..], &share.to_be_bytes(), &1f32.to_be_bytes()].concat();
        let fields: [&[u8]; 7] = [
            &failures.to_be_bytes(),
            &[0, 0],
            &80f64.to_be_bytes(),
            &500f64.to_be_bytes(),
            &20u32.to_be_bytes(),
            &address(server),
            &metrics,
        ];
        let report = record(event::LOAD_REPORT, &fields);
        let requests = record(event::REQUESTS, &[&500f64.to_be_bytes(), &[0, 0], &[1], &20u32.to_be_bytes()]);
        self.batch(now, &[report, requests], &[])
    }

    fn list(&mut self, now: Duration, how: u8, entries: &[(usize, u8)]) -> Updates {
        let text = settings_text();
        let entry = |(server, state): &(usize, u8)| {
            let zone = (*server as u16 % 2).to_be_bytes();
            [&address(*server)[..], &zone, &[0, 0, 0, *state], &1f32.to_be_bytes(), &[0; 8]].concat()
        };
        let bytes: Vec<u8> = entries.iter().flat_map(entry).collect();
        let (count, at) = ((entries.len() as u32).to_be_bytes(), (text.len() as u32).to_be_bytes());
        let mut events = vec![
            record(event::ENDPOINT_LIST, &[&[0], &at, &count]),
            record(event::ENDPOINTS_UPDATED, &[&[how, 0, 0, 0, 1, 0]]),
        ];
        if how == 2 {
            let fields: [&[u8]; 3] = [&0x8c1fu64.to_be_bytes(), &0u32.to_be_bytes(), &at];
            events.insert(0, record(event::INSTANCE_STARTED, &fields));
        }
        self.batch(now, &events, &[text.as_bytes(), &bytes].concat())
    }

    fn batch(&mut self, now: Duration, events: &[Vec<u8>], tail: &[u8]) -> Updates {
        let mut frame = vec![0; 4];
        frame.extend((START_MS + now.as_secs_f64() * 1000.0).to_be_bytes());
        frame.extend((events.len() as u32 + 1).to_be_bytes());
        frame.extend(record(event::INSTANCE, &[&3u32.to_be_bytes()]));
        events.iter().for_each(|event| frame.extend(event));
        frame.extend(tail);
        let length = (frame.len() as u32).to_be_bytes();
        frame[..4].copy_from_slice(&length);
        let reply = self.instances.apply_batch(&frame).unwrap();
        let mut changes = Changes::default();
        for record in reply[REPLY_HEADER_LENGTH..].chunks_exact(REPLY_LENGTH) {
            self.apply(&Reply(record), &mut changes);
        }
        self.admission.extend(changes.admission.clone());
        self.updates(&changes)
    }

    fn apply(&mut self, record: &Reply, changes: &mut Changes) {
        match record.u16_at(0) {
            reply::WEIGHT => {
                let (table, id) = (record.u16_at(6), format!("s{}", record.0[13]));
                let weight = record.f32_at(2);
                let weights = self.tables.entry(table).or_default();
                if weight > 0.0 {
                    weights.insert(id.clone(), weight);
                } else {
                    weights.remove(&id);
                }
                changes.weights.entry(table).or_default().insert(id, weight);
            }
            reply::BINDING => {
                self.bindings.insert(record.u16_at(2), record.u16_at(4));
                changes.bound.insert(record.u16_at(2));
            }
            reply::ADMISSION => {
                let routes = (0..ROUTES).filter(|route| record.u16_at(3) & (1 << route) != 0);
                let rule = (record.f32_at(7), record.0[2]);
                changes.admission.extend(routes.map(|route| (route, rule)));
            }
            reply::ACK_REQUEST => changes.ack_token = Some(u64::from(record.u32_at(3))),
            reply::TIMER => {
                // The reply holds the time as a floating-point number of milliseconds, so it is rounded to
                // microseconds.
                let due = Duration::from_micros(((record.f64_at(2) - START_MS) * 1000.0).round() as u64);
                self.timers.insert((due, record.u32_at(10)));
            }
            _ => {}
        }
    }

    fn updates(&self, changes: &Changes) -> Updates {
        let mut updates = Updates::new();
        for (proxy, table) in &self.bindings {
            let full = changes.bound.contains(proxy);
            let weights = if full { self.tables.get(table) } else { changes.weights.get(table) };
            let admission = if full { &self.admission } else { &changes.admission };
            let update = Update {
                full,
                weights: weights.cloned().unwrap_or_default(),
                admission: admission.clone(),
                ack_token: changes.ack_token,
            };
            if full || !update.weights.is_empty() || !update.admission.is_empty() {
                updates.insert(*proxy, update);
            }
        }
        updates
    }
}

fn settings_text() -> String {
    "classes.count=2\nclasses.0.aimMs=900\nclasses.0.effect=retryable\nclasses.0.points=1\nclasses.1.aimMs=700\n\
     classes.1.effect=fragile\nclasses.1.points=3\nfamilyInfo.cycleMs=500\nfamilyInfo.dataPlaneSize=12\n\
     familyInfo.head=3\nfamilyInfo.linesPerS=8000\nfamilyInfo.mostWaiting=9000\nfamilyInfo.throttleBy=share\n\
     familyInfo.tryFactor=0.7\nfamilyInfo.worstTransitMs=400\ninvariants.askEveryMs=9000\n\
     invariants.warmUpMs=12000\nregistryMode=on_request\nreport.fields=cpu_share,pending\nreport.how=inline\n\
     allowed.probing=true\nzones=north,south"
        .into()
}
