//! Hands what the controller hears to site failover, and what that decides to the policy.

use crate::effects::Effects;
use crate::endpoint_registry::EndpointSummary;
use crate::event::ControllerEvent;
use grebespool::host::{EndpointState, LoadReport, PolicyHost, Route, ZoneId};
use grebespool::policy::Policy;
use grebespool_site_failover::{Demand, Ground, Impossible, Order, Plan, Refused, Sites, Status, Timing};
use std::time::Duration;

/// How often within its window the evidence is evaluated.
const EVALUATIONS_PER_WINDOW: u32 = 8;

/// What the endpoint list says of a site.
#[derive(Debug, Clone, Copy, Default)]
struct ListedSite {
    ready_servers: usize,
    /// Of the ready servers, on the controller's clock.
    latest_start: Option<Duration>,
}

/// The sites as the controller watches them. A site is a zone, by its id.
pub(crate) struct SiteWatch {
    sites: Sites,
    names: Vec<String>,
    window: Duration,
    evaluated_at: Duration,
    listed: Vec<ListedSite>,
}

/// An operator's command on a site.
#[derive(Debug, Clone, Copy)]
pub struct SiteCommand {
    /// The site's zone.
    pub zone: ZoneId,
    /// What is to be done.
    pub order: Order,
    /// Whether it is to be done even if routes are throttled by it.
    pub forced: bool,
}

/// What verdicts on sites act on.
struct VerdictTarget<'a, H, E> {
    now: Duration,
    policy: &'a mut Policy<H>,
    effects: &'a mut E,
    names: &'a [String],
}

impl<H: PolicyHost, E: Effects> Ground for VerdictTarget<'_, H, E> {
    fn part(&mut self, site: usize, part: f64) {
        self.policy.limit_zone_share(self.now, site as ZoneId, part);
    }

    fn levels(&mut self, most: &[f64]) {
        self.policy.limit_admission(self.now, most);
    }

    fn say(&mut self, text: String) {
        self.effects.report(ControllerEvent::Site(with_site_names(text, self.names)));
    }
}

/// Site failover knows sites by their ids, operators by their names.
fn with_site_names(text: String, names: &[String]) -> String {
    let mut named = text;
    for (id, name) in names.iter().enumerate() {
        named = named.replace(&format!("site {id}:"), &format!("site {name}:"));
    }
    named
}

impl SiteWatch {
    /// `names`: the names of the zones, in the order of their ids.
    pub(crate) fn new(names: Vec<String>, routes: &[Route], timing: Timing) -> SiteWatch {
        let demand = |route: &Route| Demand { importance: route.priority_weight, stays: route.zone_local };
        let sites = Sites::new(names.len(), routes.iter().map(demand).collect(), timing);
        let listed = vec![ListedSite::default(); names.len()];
        SiteWatch { sites, names, window: timing.window, evaluated_at: Duration::ZERO, listed }
    }

    /// Proxies of `report.client_zone` measured a server of `zone`.
    pub(crate) fn load_reported(&mut self, now: Duration, zone: ZoneId, report: &LoadReport) {
        let answered = f64::from(report.attempts.saturating_sub(report.failures));
        let latency_s = report.latency.map_or(0.0, |latency| latency.as_secs_f64() * answered);
        let (from, site) = (usize::from(report.client_zone), usize::from(zone));
        self.sites.met(now, from, site, f64::from(report.attempts), answered, latency_s);
    }

    /// A proxy of the zone reported.
    pub(crate) fn zone_reported(&mut self, now: Duration, zone: ZoneId) {
        self.sites.heard(now, usize::from(zone));
    }

    /// A health check of a server of the zone ended.
    pub(crate) fn health_check_finished(&mut self, now: Duration, zone: ZoneId, answered: bool) {
        self.sites.probed(now, usize::from(zone), answered);
    }

    /// A proxy of the zone joined.
    pub(crate) fn proxy_joined(&mut self, now: Duration, zone: ZoneId) {
        self.sites.joined(now, usize::from(zone));
    }

    /// A proxy of the zone left.
    pub(crate) fn proxy_left(&mut self, now: Duration, zone: ZoneId) {
        self.sites.left(now, usize::from(zone));
    }

    /// The whole endpoint list in force.
    pub(crate) fn endpoints_changed(
        &mut self,
        now: Duration,
        endpoints: impl Iterator<Item = EndpointSummary>,
    ) {
        self.listed.fill(ListedSite::default());
        for endpoint in endpoints.filter(|endpoint| endpoint.state == EndpointState::Ready) {
            let site = &mut self.listed[usize::from(endpoint.zone)];
            site.ready_servers += 1;
            site.latest_start = site.latest_start.max(endpoint.started_at);
        }
        for (site, listed) in self.listed.iter().enumerate() {
            self.sites.listed(now, site, listed.ready_servers, listed.latest_start);
        }
    }

    /// Evaluates the evidence, unless that was done a short while ago. Gives whether it was done.
    pub(crate) fn evaluate<H: PolicyHost>(
        &mut self,
        now: Duration,
        policy: &mut Policy<H>,
        effects: &mut impl Effects,
    ) -> bool {
        if now.saturating_sub(self.evaluated_at) < self.window / EVALUATIONS_PER_WINDOW {
            return false;
        }
        self.evaluated_at = now;
        for (zone, capacity) in policy.zone_capacity(now).into_iter().enumerate() {
            self.sites.room(zone, capacity.capacity_per_s, capacity.received_per_s);
        }
        self.sites.look(now, &mut VerdictTarget { now, policy, effects, names: &self.names });
        true
    }

    /// Carries out an operator's command.
    pub(crate) fn command<H: PolicyHost>(
        &mut self,
        now: Duration,
        command: SiteCommand,
        policy: &mut Policy<H>,
        effects: &mut impl Effects,
    ) -> Result<Option<Plan>, Refused> {
        let SiteCommand { zone, order, forced } = command;
        let mut target = VerdictTarget { now, policy, effects, names: &self.names };
        self.sites.order(now, usize::from(zone), order, forced, &mut target)
    }

    /// What would be done with the zone out beside those that are out already.
    pub(crate) fn plan_without(&self, zone: ZoneId) -> Result<Plan, Impossible> {
        let mut lost = self.sites.out();
        lost.insert(usize::from(zone));
        self.sites.plan(&lost)
    }

    /// The status of each site, in the order of their ids.
    pub(crate) fn statuses(&self, now: Duration) -> Vec<Status> {
        self.sites.status(now)
    }
}
