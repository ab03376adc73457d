//! Whole sites, and operators' commands on them.

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
    /// The command cannot be carried out as things are.
    #[error("{0}")]
    Refused(OrderError),
}

impl<E: Effects> Controller<E> {
    /// Watches for the loss of whole sites from here on (`docs/design/site-failover.md`). Without it nothing of that is
    /// done.
    pub fn watch_sites(&mut self, routes: &[Route], parameters: FailoverParameters) {
        self.sites = Some(SiteWatch::new(self.endpoints.zones().to_vec(), routes, parameters));
    }

    /// The status of each site, by its name; empty where sites are not watched.
    pub fn site_statuses(&self, now: Duration) -> Vec<(String, SiteStatus)> {
        let statuses = self.sites.iter().flat_map(|sites| sites.statuses(now));
        self.endpoints.zones().iter().cloned().zip(statuses).collect()
    }

    /// What would be done with a site out beside those that are out already.
    ///
    /// # Errors
    ///
    /// The capacity of some site is unknown, or no site would be left.
    pub fn plan_without_site(&self, zone: ZoneId) -> Result<CapacityPlan, PlanError> {
        match &self.sites {
            Some(sites) => sites.plan_without(zone),
            None => Err(PlanError::NoSiteLeft),
        }
    }

    /// Carries out an operator's command. Gives the plan that is in force with it.
    ///
    /// # Errors
    ///
    /// Why it is not carried out.
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

    /// Looks at the evidence on sites, if that is due.
    pub(super) fn evaluate_sites(&mut self, now: Duration) {
        let Controller { sites, policy, effects, .. } = self;
        let evaluated = sites.as_mut().is_some_and(|sites| sites.evaluate(now, policy, effects));
        if evaluated {
            self.publish(now, UpdateCause::Interval);
        }
    }
}
