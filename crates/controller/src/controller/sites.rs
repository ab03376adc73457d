//! Watches whole sites, and carries out operators' commands on them.

use super::Controller;
use crate::effects::Effects;
use crate::site_watch::{SiteCommand, SiteWatch};
use grebespool::host::{Route, ZoneId};
use grebespool_site_failover::{CapacityPlan, FailoverParameters, OrderError, PlanError, SiteStatus};
use grebespool_wire::UpdateCause;
use std::time::Duration;
use thiserror::Error;

/// Why an operator's command on a site is not carried out.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum SiteCommandError {
    /// Sites are not watched in this deployment.
    #[error("sites are not watched")]
    NotWatched,
    /// The command cannot be carried out in the current state of the sites.
    #[error("{0}")]
    Refused(OrderError),
}

impl<E: Effects> Controller<E> {
    /// Starts to watch for the loss of whole sites (`docs/design/site-failover.md`). Until this is called, sites are not
    /// watched.
    pub fn watch_sites(&mut self, routes: &[Route], parameters: FailoverParameters) {
        self.sites = Some(SiteWatch::new(self.endpoints.zones().to_vec(), routes, parameters));
    }

    /// Returns the name and status of each site, in the order of the zones' ids; empty if sites are not watched.
    pub fn site_statuses(&self, now: Duration) -> Vec<(String, SiteStatus)> {
        let statuses = self.sites.iter().flat_map(|sites| sites.statuses(now));
        self.endpoints.zones().iter().cloned().zip(statuses).collect()
    }

    /// Returns the plan that would be in force if this site were out in addition to those that are out already.
    ///
    /// # Errors
    ///
    /// Returns the reason if the capacity of some site is unknown, if no site would be left, or if sites are not watched.
    pub fn plan_without_site(&self, zone: ZoneId) -> Result<CapacityPlan, PlanError> {
        match &self.sites {
            Some(sites) => sites.plan_without(zone),
            None => Err(PlanError::NoSiteLeft),
        }
    }

    /// Carries out an operator's command, and returns the plan that is in force afterwards.
    ///
    /// # Errors
    ///
    /// Returns the reason if the command is not carried out.
    pub fn command_site(
        &mut self,
        now: Duration,
        command: SiteCommand,
    ) -> Result<Option<CapacityPlan>, SiteCommandError> {
        let Controller { sites, policy, effects, .. } = self;
        let Some(sites) = sites else { return Err(SiteCommandError::NotWatched) };
        let plan = sites.command(now, command, policy, effects);
        self.publish(now, UpdateCause::Interval);
        plan.map_err(SiteCommandError::Refused)
    }

    /// Evaluates the evidence on sites, if an evaluation is due.
    pub(super) fn evaluate_sites(&mut self, now: Duration) {
        let Controller { sites, policy, effects, .. } = self;
        let evaluated = sites.as_mut().is_some_and(|sites| sites.evaluate(now, policy, effects));
        if evaluated {
            self.publish(now, UpdateCause::Interval);
        }
    }
}
