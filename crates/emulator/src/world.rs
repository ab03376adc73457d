//! The state that all emulated systems of a day share: the clock, the record, and the zones that are cut off.

use grebespool_invariants::{Event, Record};
use grebespool_settings::{Deployment, deployment_text};
use grebespool_trace::{Call, Event as TraceEvent, Listed, Phase, Recorder, Timed};
use grebespool_wire::FleetKey;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};
use tokio::time::Instant;

/// The shared state of a day.
pub(crate) struct World {
    began: Cell<Instant>,
    pub(crate) key: FleetKey,
    pub(crate) deployment: Deployment,
    pub(crate) record: RefCell<Record>,
    /// Recorder of the day for a later replay.
    pub(crate) recorder: RefCell<Option<Recorder>>,
    /// Number of planners started. The last one is the one that runs.
    pub(crate) starts: Cell<u64>,
    /// Zones that are cut off from the others.
    pub(crate) cut_zones: RefCell<BTreeSet<u16>>,
    /// Factor on the clients' request rate.
    pub(crate) rate_factor: Cell<f64>,
}

impl World {
    /// Creates the state of a day that begins now.
    pub(crate) fn new(key: FleetKey, deployment: Deployment, recorder: Option<Recorder>) -> World {
        World {
            began: Cell::new(Instant::now()),
            key,
            deployment,
            record: RefCell::default(),
            recorder: RefCell::new(recorder),
            starts: Cell::new(0),
            cut_zones: RefCell::default(),
            rate_factor: Cell::new(1.0),
        }
    }

    /// Returns the beginning of the day.
    pub(crate) fn began(&self) -> Instant {
        self.began.get()
    }

    /// Restarts the day's clock, after the preparations.
    pub(crate) fn begin(&self) {
        self.began.set(Instant::now());
    }

    /// Returns the time since the day's beginning.
    pub(crate) fn now(&self) -> Duration {
        self.began.get().elapsed()
    }

    /// Records an event that happens now.
    pub(crate) fn put(&self, event: Event) {
        self.put_at(self.now(), event);
    }

    /// Records an event that happened at the given time.
    pub(crate) fn put_at(&self, at: Duration, event: Event) {
        if let Some(recorder) = &mut *self.recorder.borrow_mut()
            && let Some(traced) = trace_event(&event, &self.deployment, self.starts.get())
        {
            recorder.put(Timed { at_us: at.as_micros() as u64, event: traced });
        }
        self.record.borrow_mut().put(at, event);
    }

    /// Counts a started planner and writes its start to the recorder.
    pub(crate) fn planner_began(&self) {
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

    /// Returns true if no message passes between two zones.
    pub(crate) fn partitioned(&self, a: u16, b: u16) -> bool {
        let cut_zones = self.cut_zones.borrow();
        a != b && (cut_zones.contains(&a) || cut_zones.contains(&b))
    }

    /// Returns the index of a zone.
    pub(crate) fn zone(&self, name: &str) -> u16 {
        self.deployment.zones.iter().position(|z| z == name).unwrap_or(0) as u16
    }

    /// Returns the time on the list's clock, in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        1_000_000_000 + self.now().as_millis() as u64
    }
}

/// Converts an entry of a list to the form that recordings use.
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

/// Returns the recording's form of an event, or `None` if recordings don't contain the event.
fn trace_event(event: &Event, deployment: &Deployment, planner: u64) -> Option<TraceEvent> {
    Some(match event {
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
