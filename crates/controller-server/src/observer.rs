//! The interface for code that records the events of a controller or makes the controller part of a group.

use crate::site_request::SiteRequest;
use grebespool_leader_election::Snapshot;
use grebespool_wire::{EndpointList, RouteLoad, ServerLoad};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;

/// An observer of a controller's events. The methods are called on the controller's own thread, and must not block or
/// call the controller.
pub trait Observer: 'static {
    /// Notifies of a received endpoint list. The controller may still reject it.
    fn endpoints_received(&mut self, now: Duration, list: &EndpointList);

    /// Notifies of a proxy that joined. `initial_table_only` is true if the proxy holds only the weight table from its
    /// start.
    fn proxy_joined(&mut self, now: Duration, name: &str, zone: &str, initial_table_only: bool);

    /// Notifies of a proxy that is no longer connected to this controller.
    fn proxy_left(&mut self, now: Duration, name: &str);

    /// Notifies of the number of requests of each route that a proxy received within its last report cycle.
    fn calls_reported(&mut self, now: Duration, name: &str, routes: &[RouteLoad]);

    /// Notifies of what a proxy measured at servers within its last report cycle.
    fn load_reported(&mut self, _name: &str, _servers: &[ServerLoad]) {}

    /// Notifies of a proxy that has applied updates of a newer term than this controller's.
    fn newer_term_seen(&mut self, term: u64);

    /// Returns the snapshot of a former leader that the controller starts from, if there is one. Called once, before any
    /// proxy is accepted.
    fn initial_snapshot(&mut self) -> Option<Snapshot> {
        None
    }

    /// Returns the interval at which [`Observer::snapshot_taken`] is to be called; `None` for never.
    fn snapshot_interval(&self) -> Option<Duration> {
        None
    }

    /// Returns the channel of the operators' requests on sites, if there is one. Called once.
    fn site_requests(&mut self) -> Option<UnboundedReceiver<SiteRequest>> {
        None
    }

    /// Notifies of a snapshot of this controller's state. The observer has to set the snapshot's term and number.
    fn snapshot_taken(&mut self, _snapshot: Snapshot) {}
}

/// An observer that ignores all events.
pub struct NoObserver;

impl Observer for NoObserver {
    fn endpoints_received(&mut self, _: Duration, _: &EndpointList) {}

    fn proxy_joined(&mut self, _: Duration, _: &str, _: &str, _: bool) {}

    fn proxy_left(&mut self, _: Duration, _: &str) {}

    fn calls_reported(&mut self, _: Duration, _: &str, _: &[RouteLoad]) {}

    fn newer_term_seen(&mut self, _: u64) {}
}
