//! What a controller is created with.

use grebespool::host::{ControlChannelLimits, Observability, ProxyCapabilities, Route, Timeouts};
use std::time::Duration;
use thiserror::Error;

/// One run of a controller.
#[derive(Debug, Clone, Copy)]
pub struct Incarnation {
    /// A number that no other run has.
    pub id: u64,
    /// The seed of its random numbers.
    pub seed: u64,
    /// The leader's term, sent with every update; 0 where controllers share nothing.
    pub term: u64,
}

/// Limits of what a controller holds.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most servers in the endpoint list.
    pub servers: usize,
    /// Most names of proxies.
    pub proxies: usize,
    /// Most joins of one proxy within the window of the update limit, or within ten seconds where there is none.
    pub joins: usize,
    /// How long a proxy may leave updates unacknowledged; at most the grace for drains, and well above the worst
    /// transit.
    pub ack_timeout: Duration,
}

/// What a controller is created with.
#[derive(Debug, Clone)]
pub struct ControllerConfig {
    /// This run.
    pub incarnation: Incarnation,
    /// Limits of what it holds.
    pub limits: Limits,
    /// The names of the zones, in the order of their ids.
    pub zones: Vec<String>,
    /// The routes, by position.
    pub routes: Vec<Route>,
    /// How the proxies behave on their own.
    pub capabilities: ProxyCapabilities,
    /// Times that the policy keeps to.
    pub timeouts: Timeouts,
    /// What the updates have to fit into.
    pub channel: ControlChannelLimits,
    /// What the policy may observe.
    pub observability: Observability,
}

/// Most routes: a set of routes has 16 bits.
const MAX_ROUTES: usize = 16;

impl ControllerConfig {
    /// Checks that the deployment is of a kind that the policy decides for.
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

/// A deployment of a kind that the policy does not decide for.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum UnsupportedDeploymentError {
    /// Sites are divided into slices.
    #[error(
        "the deployment has {0} slices; sites with slices are not planned for yet, so nothing is started"
    )]
    Slices(usize),
    /// No routes, or too many.
    #[error("{0} routes are stated; 1 to 16 are possible")]
    Routes(usize),
    /// No zones.
    #[error("no zone is stated")]
    NoZones,
}
