//! Everything between the wire's messages and the policy ([`grebespool::policy`]), free of I/O and clocks.
//!
//! Here are the ids of servers and proxies, one update a turn for each proxy, the paced channel through which updates
//! leave, acknowledgements, and the validation of endpoint lists and load reports. Weights, admission and bindings are
//! the policy's; sockets, tasks and clocks are the host's. Times are spans since the controller's start.
//!
//! Call one method of [`Controller`] for each thing that happens; it acts by calling the [`Effects`] that it was
//! created with, before it returns. Call [`Controller::timer_fired`] at [`Controller::next_timer`]; later does no harm
//! beyond the delay.

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
