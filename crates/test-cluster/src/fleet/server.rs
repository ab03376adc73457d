//! Simulated servers, each of which is only a capacity that grows after a start.

use std::collections::VecDeque;
use std::time::Duration;

/// State of a server in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServerState {
    Serving,
    Draining,
    Removed,
}

impl ServerState {
    /// Returns the name of the state in the endpoint list.
    pub(crate) fn wire_name(self) -> &'static str {
        match self {
            ServerState::Serving => "SERVING",
            ServerState::Draining => "DRAINING",
            ServerState::Removed => "DELETED",
        }
    }
}

/// Load of a server in one step.
pub(super) struct LoadSample {
    pub(super) at: Duration,
    /// Number of attempts that were sent to the server.
    pub(super) offered: f64,
    /// Number of attempts that the server could serve.
    pub(super) capacity: f64,
}

/// Simulated server.
pub struct SimulatedServer {
    /// Capacity of the warm server, in requests per second.
    pub(super) capacity: f64,
    pub(super) up: bool,
    state: ServerState,
    pub(super) started_at: Option<Duration>,
    /// Time since which the server is draining or removed, so that no proxy's table should have it.
    pub(super) draining_since: Option<Duration>,
    /// Attempts of the last step as a multiple of the server's capacity.
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
            draining_since: None,
            load: 0.0,
            recent: VecDeque::new(),
        }
    }

    pub(super) fn state(&self) -> ServerState {
        self.state
    }

    pub(super) fn drain(&mut self, now: Duration) {
        (self.state, self.draining_since) = (ServerState::Draining, Some(now));
    }

    pub(super) fn remove_if_drained(&mut self) {
        if self.state == ServerState::Draining {
            (self.state, self.up) = (ServerState::Removed, false);
        }
    }

    /// Returns the capacity now, in requests per second; `cold` is the fraction of it that a server has right after its start.
    pub(super) fn capacity_now(&self, now: Duration, warm_up: Duration, cold: f64) -> f64 {
        if !self.up {
            return 0.0;
        }
        let elapsed_fraction =
            self.started_at.map_or(1.0, |at| (now - at).as_secs_f64() / warm_up.as_secs_f64());
        self.capacity * (cold + (1.0 - cold) * elapsed_fraction.min(1.0))
    }

    /// Adds a sample and drops the samples that are older than `window`.
    pub(super) fn add_sample(&mut self, sample: LoadSample, window: Duration) {
        let now = sample.at;
        self.recent.push_back(sample);
        while self.recent.front().is_some_and(|oldest| now - oldest.at > window) {
            self.recent.pop_front();
        }
    }

    /// Takes the server down without a notice to discovery or planners, or starts it again, cold.
    pub fn set_down(&mut self, now: Duration, down: bool) {
        self.up = !down;
        self.started_at = if down { self.started_at } else { Some(now) };
        self.recent.clear();
    }
}
