//! Runs the controller on sockets: accepts proxies, watches the endpoint list, checks the health of servers, and carries
//! out the requests of the controller ([`grebespool_controller`]).
//!
//! This crate handles streams, timers and backpressure; the controller and the policy make all decisions. Everything
//! runs on one thread, as tasks of a `LocalSet`. [`serve`] returns only an error, before it has begun to serve; dropping
//! its future stops the controller immediately, as a kill would.

mod accept;
mod connection;
pub mod dial;
mod effects;
mod endpoint_watch;
mod health_checks;
mod observer;
mod redirect;
mod requests;
mod session;
mod shared;
mod site_request;
mod site_requests;
mod snapshot;
mod timers;
mod update_filter;

pub use observer::{NoObserver, Observer};
pub use redirect::redirect_to_leader;
pub use site_request::{SiteQuery, SiteRequest, SiteRequestError};
pub use timers::HEARTBEAT_INTERVAL;
pub use update_filter::{PassThrough, UpdateFilter};

use effects::SocketEffects;
use grebespool_controller::{Controller, Incarnation, UnsupportedDeploymentError};
use grebespool_settings::{Deployment, ListSource, Listen};
use grebespool_wire::FleetKey;
use shared::Shared;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tracing::info;

/// The configuration of a controller on sockets.
pub struct ServerConfig {
    /// The identity of this run of the controller.
    pub incarnation: Incarnation,
    /// The key that proxies and the endpoint list have to prove that they hold.
    pub key: FleetKey,
    /// The deployment to control.
    pub deployment: Deployment,
    /// The settings for the connections of proxies.
    pub listen: Listen,
    /// The source of the endpoint list.
    pub endpoint_source: ListSource,
    /// Time after which a health check without a response has failed.
    pub health_check_timeout: Duration,
}

/// Serves proxies on `listener` until the future is dropped. Each update passes through `filter` before it is sent, and
/// `observer` is notified of events.
///
/// # Errors
///
/// Returns the unsupported property if the policy does not support the deployment. No proxy is served then.
pub async fn serve(
    listener: TcpListener,
    config: ServerConfig,
    filter: impl UpdateFilter,
    mut observer: impl Observer,
) -> Result<(), UnsupportedDeploymentError> {
    let ServerConfig { incarnation, key, deployment, listen, endpoint_source, health_check_timeout } = config;
    let started_at = Instant::now();
    let effects = SocketEffects::new(started_at, incarnation, Box::new(filter));
    let requests = effects.requests();
    let ack_timeout = listen.stall.0;
    let poll_within = endpoint_source.ask_within();
    let mut controller =
        Controller::new(effects, deployment.controller_config(incarnation, ack_timeout, poll_within))?;
    if let Some(timing) = deployment.watch() {
        controller.watch_sites(&deployment.routes(), timing);
    }
    if let Some(former) = observer.initial_snapshot() {
        snapshot::restore(&mut controller, &former);
    }
    let (snapshot_interval, site_requests) = (observer.snapshot_interval(), observer.site_requests());
    let shared = Rc::new(Shared::new(started_at, incarnation, key, listen, controller, requests, observer));
    info!(incarnation = incarnation.id, address = ?listener.local_addr().ok(), "serving proxies");
    let mut tasks = JoinSet::new();
    tasks.spawn_local(timers::run(shared.clone()));
    tasks.spawn_local(endpoint_watch::run(shared.clone(), endpoint_source));
    tasks.spawn_local(health_checks::run(shared.clone(), health_check_timeout));
    if incarnation.term > 0 {
        tasks.spawn_local(timers::send_heartbeats(shared.clone()));
    }
    if let Some(requests) = site_requests {
        tasks.spawn_local(site_requests::serve(shared.clone(), requests));
    }
    if let Some(interval) = snapshot_interval {
        tasks.spawn_local(snapshot::take_regularly(shared.clone(), interval));
    }
    accept::run(shared, listener, tasks).await;
    Ok(())
}
