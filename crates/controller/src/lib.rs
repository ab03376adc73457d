//! The protocol-independent core of a planner: everything between the wire's messages and the policy
//! ([`grebespool::policy`]), free of I/O and clocks.
//!
//! The controller assigns the ids of servers and proxies, builds the updates, sends them through a paced channel, tracks
//! their acknowledgements, and validates endpoint lists and load reports. The policy decides on weights, admission and
//! bindings; the host owns sockets, tasks and clocks. Times are counted from the controller's start.
//!
//! The host calls one method of [`Controller`] for each event. The handling of one event is a *turn*: its changes reach
//! each proxy as at most one update. The controller acts by calling its [`Effects`] before the method returns. The host
//! calls [`Controller::timer_fired`] at [`Controller::next_timer`]; a late call only delays what is due.

mod acknowledgements;
mod aggregation;
mod config;
mod controller;
mod effects;
mod endpoint_registry;
mod event;
mod join_limiter;
mod metrics_validation;
mod proxy_ids;
mod sessions;
mod site_watch;
mod stream_id;
mod update_channel;

pub use acknowledgements::AckTracker;
pub use config::{ControllerConfig, Incarnation, Limits, UnsupportedDeploymentError};
pub use controller::{Controller, FleetPools, JoinRequest, PoolSnapshot, ProxyPool, SiteCommandError};
pub use effects::Effects;
pub use endpoint_registry::{EndpointListError, EndpointRegistry};
pub use event::ControllerEvent;
pub use grebespool_site_failover::{
    CapacityPlan, FailoverParameters, OrderError, RampParameters, SiteOrder, SiteState, SiteStatus,
};
pub use join_limiter::JoinLimiter;
pub use metrics_validation::MetricsValidator;
pub use site_watch::SiteCommand;
pub use stream_id::StreamId;
pub use update_channel::{ChannelFull, UpdateChannel};
