//! Servers as arithmetic: a capacity that grows after a start.

use std::collections::VecDeque;
use std::time::Duration;

/// The state of a server in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServerState {
    Serving,
    Draining,
    Removed,
}

impl ServerState {
    /// Its name in the list.
    pub(crate) fn listed(self) -> &'static str {
        match self {
            ServerState::Serving => "SERVING",
            ServerState::Draining => "DRAINING",
            ServerState::Removed => "DELETED",
        }
    }
}

/// The load of one moment.
pub(super) struct LoadSample {
    pub(super) at: Duration,
    /// Requests that came.
    pub(super) offered: f64,
    /// Requests that there was time for.
    pub(super) capacity: f64,
}

/// A server.
pub struct SimulatedServer {
    /// Requests a second that it has time for once it is warm.
    pub(super) capacity: f64,
    pub(super) up: bool,
    state: ServerState,
    pub(super) started_at: Option<Duration>,
    /// Since when it drains or is removed: no proxy should go on naming it.
    pub(super) left_at: Option<Duration>,
    /// Requests that came as a multiple of its capacity.
    pub(super) load: f64,
    pub(super) recent: VecDeque<LoadSample>,
}

impl SimulatedServer {
    pub(super) fn new(capacity: f64, started_at: Option<Duration>) -> Self {
        SimulatedServer {
            capacity,
            up: true,
            state: ServerState::Serving,
            started_at,
            left_at: None,
            load: 0.0,
            recent: VecDeque::new(),
        }
    }

    pub(super) fn state(&self) -> ServerState {
        self.state
    }

    pub(super) fn drain(&mut self, now: Duration) {
        (self.state, self.left_at) = (ServerState::Draining, Some(now));
    }

    pub(super) fn remove_if_drained(&mut self) {
        if self.state == ServerState::Draining {
            (self.state, self.up) = (ServerState::Removed, false);
        }
    }

    /// Requests a second that it has time for now; `cold` is the part of that right after its start.
    pub(super) fn capacity_now(&self, now: Duration, warm_up: Duration, cold: f64) -> f64 {
        if !self.up {
            return 0.0;
        }
        let warmth = self.started_at.map_or(1.0, |at| (now - at).as_secs_f64() / warm_up.as_secs_f64());
        self.capacity * (cold + (1.0 - cold) * warmth.min(1.0))
    }

    /// Keeps the samples of the last `window`.
    pub(super) fn add_sample(&mut self, sample: LoadSample, window: Duration) {
        let now = sample.at;
        self.recent.push_back(sample);
        while self.recent.front().is_some_and(|oldest| now - oldest.at > window) {
            self.recent.pop_front();
        }
    }

    /// Takes it down, without a word to anybody, or up again, cold.
    pub fn set_down(&mut self, now: Duration, down: bool) {
        self.up = !down;
        self.started_at = if down { self.started_at } else { Some(now) };
        self.recent.clear();
    }
}
