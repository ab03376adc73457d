//! The configuration of a controller.

use grebespool::host::{ControlChannelLimits, Observability, ProxyCapabilities, Route, Timeouts};
use std::time::Duration;
use thiserror::Error;

/// The identity of one run of a controller.
#[derive(Debug, Clone, Copy)]
pub struct Incarnation {
    /// A number that differs for each run.
    pub id: u64,
    /// The seed of the run's random numbers.
    pub seed: u64,
    /// The leader's term, sent with every update; 0 if controllers do not elect a leader.
    pub term: u64,
}

/// The limits of a controller's state and of the joins and delays that it accepts.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of servers on the endpoint list.
    pub servers: usize,
    /// Maximum number of proxy names over the whole run.
    pub proxies: usize,
    /// Maximum number of joins of one proxy within the window of the update limit, or within ten seconds if the channel
    /// has no such window.
    pub joins: usize,
    /// Time for which a proxy may leave updates unacknowledged. It is at most the time allowed for a drain, and well
    /// above the longest transit time.
    pub ack_timeout: Duration,
}

/// The configuration that a controller is created with.
#[derive(Debug, Clone)]
pub struct ControllerConfig {
    /// The identity of this run.
    pub incarnation: Incarnation,
    /// The limits of the controller.
    pub limits: Limits,
    /// The names of the zones, in the order of their ids.
    pub zones: Vec<String>,
    /// The routes; reports and updates refer to them by position.
    pub routes: Vec<Route>,
    /// The capabilities of the proxies.
    pub capabilities: ProxyCapabilities,
    /// The deadlines that the policy applies.
    pub timeouts: Timeouts,
    /// The limits of the channel through which updates are sent.
    pub channel: ControlChannelLimits,
    /// The observations that are available to the policy.
    pub observability: Observability,
}

/// Maximum number of routes: a set of routes is a mask of 16 bits.
const MAX_ROUTES: usize = 16;

impl ControllerConfig {
    /// Returns an error unless the policy supports the deployment.
    pub(crate) fn check(&self) -> Result<(), UnsupportedDeploymentError> {
        if self.capabilities.slices > 0 {
            return Err(UnsupportedDeploymentError::Slices(self.capabilities.slices));
        }
        if self.routes.is_empty() || self.routes.len() > MAX_ROUTES {
            return Err(UnsupportedDeploymentError::Routes(self.routes.len()));
        }
        if self.zones.is_empty() {
            return Err(UnsupportedDeploymentError::NoZones);
        }
        Ok(())
    }
}

/// The property of a deployment that the policy does not support.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum UnsupportedDeploymentError {
    /// The deployment has this number of slices.
    #[error("the deployment has {0} slices; expected 0, because the policy does not support slices")]
    Slices(usize),
    /// The deployment has no routes or too many.
    #[error("the deployment has {0} routes; expected 1 to 16")]
    Routes(usize),
    /// The deployment has no zones.
    #[error("the deployment has 0 zones; expected at least 1")]
    NoZones,
}
