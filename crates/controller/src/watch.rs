//! What the engine hears, told to the sites, and what these order, told to the decisions.

use crate::engine::Outlet;
use grebespool::host::{EndpointState, LoadReport, PolicyHost, Route, ZoneId};
use grebespool::policy::Policy;
use grebespool_site_failover::{Demand, Ground, Impossible, Order, Plan, Refused, Sites, Status, Timing};
use std::time::Duration;

/// The sites as the engine watches them.
pub struct Watch {
    sites: Sites,
    names: Vec<String>,
    window: Duration,
    looked_at: Duration,
    /// Servers ready and latest starts by zone, as last told.
    listed: Vec<(usize, Option<Duration>)>,
}

/// What a verdict acts on: the decisions, and the log.
struct Act<'a, H, O> {
    now: Duration,
    planner: &'a mut Policy<H>,
    outlet: &'a mut O,
    names: &'a [String],
}

impl<H: PolicyHost, O: Outlet> Ground for Act<'_, H, O> {
    fn part(&mut self, site: usize, part: f64) {
        self.planner.limit_zone_share(self.now, site as ZoneId, part);
    }
    fn levels(&mut self, most: &[f64]) {
        self.planner.limit_admission(self.now, most);
    }
    fn say(&mut self, text: String) {
        // Sites are known by their places there, and by their names to operators.
        let named = self
            .names
            .iter()
            .enumerate()
            .fold(text, |text, (i, name)| text.replace(&format!("site {i}:"), &format!("site {name}:")));
        self.outlet.told(&named);
    }
}

impl Watch {
    /// Verdicts are looked at this often within their window.
    const LOOKS: u32 = 8;

    pub fn new(names: Vec<String>, routes: &[Route], timing: Timing) -> Watch {
        let demand = |r: &Route| Demand { importance: r.priority_weight, stays: r.zone_local };
        let zones = names.len();
        let sites = Sites::new(zones, routes.iter().map(demand).collect(), timing);
        let (window, looked_at, listed) = (timing.window, Duration::ZERO, vec![(0, None); zones]);
        Watch { sites, names, window, looked_at, listed }
    }

    pub fn met(&mut self, now: Duration, at: ZoneId, met: &LoadReport) {
        let (tries, answered) =
            (f64::from(met.attempts), f64::from(met.attempts.saturating_sub(met.failures)));
        let waited = met.latency.map_or(0.0, |w| w.as_secs_f64() * answered);
        self.sites.met(now, usize::from(met.client_zone), usize::from(at), tries, answered, waited);
    }

    pub fn heard(&mut self, now: Duration, zone: ZoneId) {
        self.sites.heard(now, usize::from(zone));
    }

    pub fn probed(&mut self, now: Duration, zone: ZoneId, answered: bool) {
        self.sites.probed(now, usize::from(zone), answered);
    }

    pub fn joined(&mut self, now: Duration, zone: ZoneId) {
        self.sites.joined(now, usize::from(zone));
    }

    pub fn left(&mut self, now: Duration, zone: ZoneId) {
        self.sites.left(now, usize::from(zone));
    }

    /// The list as it stands now: each server's zone, phase, and start on the planner's clock if that is known.
    pub fn listed(
        &mut self,
        now: Duration,
        all: impl Iterator<Item = (ZoneId, EndpointState, Option<Duration>)>,
    ) {
        self.listed.iter_mut().for_each(|l| *l = (0, None));
        for (zone, _, started) in all.filter(|(_, phase, _)| *phase == EndpointState::Ready) {
            let (ready, latest) = &mut self.listed[usize::from(zone)];
            (*ready, *latest) = (*ready + 1, (*latest).max(started));
        }
        for (zone, (ready, latest)) in self.listed.iter().enumerate() {
            self.sites.listed(now, zone, *ready, *latest);
        }
    }

    /// Whether anything was looked at.
    pub fn look<H: PolicyHost>(
        &mut self,
        now: Duration,
        planner: &mut Policy<H>,
        outlet: &mut impl Outlet,
    ) -> bool {
        if now.saturating_sub(self.looked_at) < self.window / Self::LOOKS {
            return false;
        }
        self.looked_at = now;
        for (zone, capacity) in planner.zone_capacity(now).into_iter().enumerate() {
            self.sites.room(zone, capacity.capacity_per_s, capacity.received_per_s);
        }
        self.sites.look(now, &mut Act { now, planner, outlet, names: &self.names });
        true
    }

    pub fn order<H: PolicyHost>(
        &mut self,
        now: Duration,
        (zone, order, forced): (ZoneId, Order, bool),
        planner: &mut Policy<H>,
        outlet: &mut impl Outlet,
    ) -> Result<Option<Plan>, Refused> {
        self.sites.order(
            now,
            usize::from(zone),
            order,
            forced,
            &mut Act { now, planner, outlet, names: &self.names },
        )
    }

    pub fn plan_without(&self, zone: ZoneId) -> Result<Plan, Impossible> {
        let mut lost = self.sites.out();
        lost.insert(usize::from(zone));
        self.sites.plan(&lost)
    }

    pub fn status(&self, now: Duration) -> Vec<Status> {
        self.sites.status(now)
    }
}
