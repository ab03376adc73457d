//! What records a controller's day, or takes part in a group of controllers, is told here.

use crate::site_request::SiteRequest;
use grebespool_leader_election::Snapshot;
use grebespool_wire::{EndpointList, RouteLoad, ServerLoad};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;

/// Is told what happens, as it happens. It is called on the controller's own thread, and must not wait or call the
/// controller.
pub trait Observer: 'static {
    /// An endpoint list came; it may still be rejected.
    fn endpoints_received(&mut self, now: Duration, list: &EndpointList);

    /// A proxy joined. `initial_table_only`: it holds only the table that it started with.
    fn proxy_joined(&mut self, now: Duration, name: &str, zone: &str, initial_table_only: bool);

    /// A proxy is without this controller from here on.
    fn proxy_left(&mut self, now: Duration, name: &str);

    /// So many calls of each route came to a proxy within its last cycle.
    fn calls_reported(&mut self, now: Duration, name: &str, routes: &[RouteLoad]);

    /// What a proxy measured at servers within its last cycle.
    fn load_reported(&mut self, _name: &str, _servers: &[ServerLoad]) {}

    /// A proxy holds updates of a newer term than this controller's.
    fn newer_term_seen(&mut self, term: u64);

    /// What a former leader of the fleet knew, to begin with. Asked once, before any proxy is accepted.
    fn initial_snapshot(&mut self) -> Option<Snapshot> {
        None
    }

    /// How often [`Observer::snapshot_taken`] is to be called, if at all.
    fn snapshot_interval(&self) -> Option<Duration> {
        None
    }

    /// Where operators' requests on sites come from, if any do. Asked once.
    fn site_requests(&mut self) -> Option<UnboundedReceiver<SiteRequest>> {
        None
    }

    /// What this controller knows now; its term and number are the observer's to set.
    fn snapshot_taken(&mut self, _snapshot: Snapshot) {}
}

/// Observes nothing.
pub struct NoObserver;

impl Observer for NoObserver {
    fn endpoints_received(&mut self, _: Duration, _: &EndpointList) {}

    fn proxy_joined(&mut self, _: Duration, _: &str, _: &str, _: bool) {}

    fn proxy_left(&mut self, _: Duration, _: &str) {}

    fn calls_reported(&mut self, _: Duration, _: &str, _: &[RouteLoad]) {}

    fn newer_term_seen(&mut self, _: u64) {}
}
