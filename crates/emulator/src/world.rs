//! What all stand-ins of one day share: the clock, the record, and which zones are cut off.

use grebespool_invariants::{Event, Record};
use grebespool_settings::{Deployment, deployment_text};
use grebespool_trace::{Call, Event as TraceEvent, Listed, Phase, Recorder, Timed};
use grebespool_wire::FleetKey;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};
use tokio::time::Instant;

pub struct World {
    began: Cell<Instant>,
    pub key: FleetKey,
    pub deployment: Deployment,
    pub record: RefCell<Record>,
    /// The day as it is to be replayed.
    pub recorder: RefCell<Option<Recorder>>,
    /// Planners started so far; the last is the one that runs.
    pub starts: Cell<u64>,
    pub cut: RefCell<BTreeSet<u16>>,
    /// Callers call so many times as often.
    pub burst: Cell<f64>,
}

impl World {
    pub fn new(key: FleetKey, deployment: Deployment, recorder: Option<Recorder>) -> World {
        World {
            began: Cell::new(Instant::now()),
            key,
            deployment,
            record: RefCell::default(),
            recorder: RefCell::new(recorder),
            starts: Cell::new(0),
            cut: RefCell::default(),
            burst: Cell::new(1.0),
        }
    }

    pub fn began(&self) -> Instant {
        self.began.get()
    }

    /// The day begins now: what was made ready for it took a while.
    pub fn begin(&self) {
        self.began.set(Instant::now());
    }

    pub fn now(&self) -> Duration {
        self.began.get().elapsed()
    }

    pub fn put(&self, what: Event) {
        self.put_at(self.now(), what);
    }

    pub fn put_at(&self, at: Duration, what: Event) {
        if let Some(recorder) = &mut *self.recorder.borrow_mut()
            && let Some(event) = recorded(&what, &self.deployment, self.starts.get())
        {
            recorder.put(Timed { at_us: at.as_micros() as u64, event });
        }
        self.record.borrow_mut().put(at, what);
    }

    /// A planner was started: what a recording has to say of it.
    pub fn planner_began(&self) {
        self.starts.set(self.starts.get() + 1);
        if let Some(recorder) = &mut *self.recorder.borrow_mut() {
            let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
            let event = TraceEvent::Began {
                planner: self.starts.get(),
                unix_ms: unix.as_millis() as u64,
                settings: deployment_text(&self.deployment),
            };
            recorder.put(Timed { at_us: self.now().as_micros() as u64, event });
        }
    }

    /// Whether nothing passes between two zones.
    pub fn apart(&self, a: u16, b: u16) -> bool {
        let cut = self.cut.borrow();
        a != b && (cut.contains(&a) || cut.contains(&b))
    }

    pub fn zone(&self, name: &str) -> u16 {
        self.deployment.zones.iter().position(|z| z == name).unwrap_or(0) as u16
    }

    /// The list's clock.
    pub fn now_ms(&self) -> u64 {
        1_000_000_000 + self.now().as_millis() as u64
    }
}

/// A list's entry as recordings have it.
pub fn listed(entry: &grebespool_wire::EndpointEntry) -> Listed {
    Listed {
        server: entry.server.addr.to_string(),
        number: entry.server.number,
        zone: entry.zone.clone(),
        phase: match entry.state {
            grebespool_wire::EndpointState::Removed => Phase::Gone,
            grebespool_wire::EndpointState::Ready => Phase::Ready,
            grebespool_wire::EndpointState::Draining => Phase::Draining,
        },
        started_ms: entry.started_ms,
    }
}

/// What a recording keeps of what passed.
fn recorded(passed: &Event, deployment: &Deployment, planner: u64) -> Option<TraceEvent> {
    Some(match passed {
        Event::Asked { id, route, key, work_us, proxy, .. } => TraceEvent::Call(Call {
            route: *route,
            key: *key,
            importance: deployment.routes.get(usize::from(*route)).map_or(1.0, |r| r.importance as f32),
            client: Some(*id),
            proxy: (*proxy).into(),
            work_us: Some(*work_us),
            repeat: false,
        }),
        Event::ListTold(list) => {
            let entries = list.entries.iter().map(listed).collect();
            TraceEvent::List { version: list.version, base: list.base, now_ms: list.now_ms, entries }
        }
        Event::Joined { proxy, .. } => {
            TraceEvent::Joined { proxy: (*proxy).into(), zone: String::new(), bare: false }
        }
        Event::Left { proxy } => TraceEvent::Left { proxy: (*proxy).into() },
        Event::PlannerKilled => TraceEvent::PlannerLost { planner },
        _ => return None,
    })
}
