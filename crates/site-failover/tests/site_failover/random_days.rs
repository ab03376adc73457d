//! Random days of failures, partitions and returns. Properties are checked after every tick, and each injected fault
//! violates one of them.

use crate::helpers::{PARAMETERS, demand, report};
use grebespool_site_failover::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

const SITES: usize = 3;
/// The number of proxies of each site.
const PROXIES: usize = 5;
const TICKS: u32 = 240;
/// The length of a tick, in seconds.
const TICK: f64 = 0.5;

/// The actual condition of a site.
#[derive(Clone, Copy, PartialEq)]
enum Condition {
    Up,
    Down,
    /// No requests pass between the site and the others.
    Partitioned,
}

#[derive(Clone, Copy, PartialEq)]
enum InjectedFault {
    None,
    /// The weight of a returning site rises by more than the step allows.
    StepsUnproven,
    /// The admission limits are applied to the wrong routes.
    WrongOrder,
    /// The whole weight of a returning site is used at once.
    NoRamp,
}

/// The host of the failover: the actual condition of each site, and the limits in force.
struct Environment {
    conditions: [Condition; SITES],
    weights: [f64; SITES],
    admission: Vec<f64>,
    /// The number of attempts answered at each site since its weight was last set.
    answered: [f64; SITES],
    injected: InjectedFault,
    violation: Option<String>,
}

impl FailoverHost for Environment {
    fn limit_site_weight(&mut self, site: SiteId, fraction: f64) {
        let fraction = match self.injected {
            InjectedFault::NoRamp if fraction > 0.0 => 1.0,
            InjectedFault::StepsUnproven if fraction > 0.0 => (fraction * 2.0).min(1.0),
            _ => fraction,
        };
        let rises = fraction > self.weights[site];
        if rises && fraction > 0.11 && self.answered[site] < 6.0 {
            self.violation
                .get_or_insert(format!("site {site} rises to {fraction} without enough answered attempts"));
        }
        if rises && fraction > 3.0 * self.weights[site].max(0.1) {
            self.violation
                .get_or_insert(format!("site {site} rises from {} to {fraction}", self.weights[site]));
        }
        (self.weights[site], self.answered[site]) = (fraction, 0.0);
    }
    fn limit_admission(&mut self, fractions: &[f64]) {
        self.admission = fractions.to_vec();
        if self.injected == InjectedFault::WrongOrder {
            self.admission.reverse();
        }
        // The priority weight rises with the route's index.
        if self.admission.windows(2).any(|pair| pair[0] > pair[1] + 1e-9) {
            self.violation.get_or_insert(format!(
                "a route with a higher weight is admitted by a smaller fraction: {:?}",
                self.admission
            ));
        }
    }
    fn log(&mut self, _: FailoverEvent) {}
}

/// A day that is played tick by tick.
struct Day {
    rng: Pcg64Mcg,
    /// The demand at each site, as a fraction of its capacity.
    load: f64,
    sites: SiteFailover,
    environment: Environment,
    /// The time for which each site has been up but counted as failed, in seconds.
    wrongly_failed_for: [f64; SITES],
    /// The time for which each site has been down while another site was in use, in seconds.
    down_for: [f64; SITES],
}

impl Day {
    fn new(seed: u64, injected: InjectedFault) -> Day {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let load = rng.random_range(0.4..0.95);
        let routes = vec![demand(1.0), demand(3.0)];
        let mut sites = SiteFailover::new(SITES, routes, PARAMETERS);
        (0..SITES).for_each(|site| join_proxies(&mut sites, Duration::ZERO, site));
        let environment = Environment {
            conditions: [Condition::Up; SITES],
            weights: [1.0; SITES],
            admission: vec![1.0; 2],
            answered: [0.0; SITES],
            injected,
            violation: None,
        };
        let (wrongly_failed_for, down_for) = ([0.0; SITES], [0.0; SITES]);
        Day { rng, load, sites, environment, wrongly_failed_for, down_for }
    }

    /// Plays one tick. The error is the property that does not hold.
    fn play(&mut self, tick: u32) -> Result<(), String> {
        let now = Duration::from_secs_f64(f64::from(tick) * TICK);
        for site in 0..SITES {
            self.change_condition(now, site, tick > 10);
            self.sites.capacity_reported(site, 100.0, vec![self.load * 60.0, self.load * 40.0]);
        }
        self.report_attempts(now);
        for site in 0..SITES {
            let is_up = self.environment.conditions[site] == Condition::Up;
            self.sites.observations().health_check_finished(now, site, is_up);
            // The list drops a failed site 2 s late, and not while all other sites are out of use.
            let listed = self.environment.conditions[site] != Condition::Down || self.down_for[site] < 2.0;
            self.sites.observations().endpoints_listed(now, site, if listed { 10 } else { 0 }, None);
        }
        self.sites.evaluate(now, &mut self.environment);
        self.check()
    }

    fn change_condition(&mut self, now: Duration, site: SiteId, may_fail: bool) {
        let condition = self.environment.conditions[site];
        let next = match condition {
            Condition::Up if may_fail && self.rng.random_bool(0.01) => Condition::Down,
            Condition::Up if may_fail && self.rng.random_bool(0.01) => Condition::Partitioned,
            Condition::Down | Condition::Partitioned if self.rng.random_bool(0.06) => Condition::Up,
            same => same,
        };
        if next != condition && next == Condition::Down {
            (0..PROXIES).for_each(|_| self.sites.observations().proxy_left(now, site));
        }
        if next == Condition::Up && condition == Condition::Down {
            join_proxies(&mut self.sites, now, site);
        }
        self.environment.conditions[site] = next;
    }

    fn report_attempts(&mut self, now: Duration) {
        let environment = &mut self.environment;
        for from in 0..SITES {
            for to in 0..SITES {
                let is_connected = from == to
                    || (environment.conditions[from] != Condition::Partitioned
                        && environment.conditions[to] != Condition::Partitioned);
                if environment.conditions[from] == Condition::Down || self.rng.random_bool(0.05) {
                    continue;
                }
                let are_answered = is_connected && environment.conditions[to] == Condition::Up;
                let share = if from == to { 1.0 } else { 0.2 };
                let variation = self.rng.random_range(0.5..1.5_f64);
                let attempts = (40.0 * share * environment.weights[to] * variation).round();
                let answered = if are_answered { attempts } else { 0.0 };
                environment.answered[to] += answered;
                let report = report(from, to, attempts, answered, answered * 0.05);
                self.sites.observations().attempts_reported(now, report);
            }
        }
    }

    fn check(&mut self) -> Result<(), String> {
        if self.environment.weights.iter().all(|weight| *weight == 0.0) {
            return Err("no site is left in use".into());
        }
        for site in 0..SITES {
            self.check_site(site)?;
        }
        if let Some(violation) = &self.environment.violation {
            return Err(violation.clone());
        }
        // At the last step of a return the whole weight is in use, but the step is not proven yet. Admission may rise only
        // afterwards, so it is checked once the site is healthy.
        let is_healthy = |site| self.sites.state(site) == Some(SiteState::Healthy);
        let are_all_up = self.environment.conditions.iter().all(|condition| *condition == Condition::Up);
        let admission = &self.environment.admission;
        if are_all_up && (0..SITES).all(is_healthy) && admission.iter().any(|fraction| *fraction < 1.0) {
            return Err(format!("all sites are healthy and only {admission:?} is admitted"));
        }
        Ok(())
    }

    fn check_site(&mut self, site: SiteId) -> Result<(), String> {
        let (environment, state) = (&self.environment, self.sites.state(site).unwrap());
        // A wrong failover is costly: if the site answers, it must end soon.
        let is_wrongly_failed = environment.conditions[site] == Condition::Up && state == SiteState::Failed;
        self.wrongly_failed_for[site] =
            if is_wrongly_failed { self.wrongly_failed_for[site] + TICK } else { 0.0 };
        if self.wrongly_failed_for[site] > 3.0 {
            return Err(format!("site {site} is up and stays failed"));
        }
        // A failure must be detected in time, unless the site is the last one in use, which stays in use.
        let others_in_use = (0..SITES).any(|other| other != site && environment.weights[other] > 0.0);
        let is_down = environment.conditions[site] == Condition::Down && others_in_use;
        self.down_for[site] = if is_down { self.down_for[site] + TICK } else { 0.0 };
        if self.down_for[site] > 8.0 && environment.weights[site] >= 0.2 {
            return Err(format!("site {site} is down and its state is {state}"));
        }
        Ok(())
    }
}

fn join_proxies(sites: &mut SiteFailover, now: Duration, site: SiteId) {
    (0..PROXIES).for_each(|_| sites.observations().proxy_joined(now, site));
}

/// Plays a day and returns the first property that does not hold, if any.
fn play_day(seed: u64, injected: InjectedFault) -> Option<String> {
    let mut day = Day::new(seed, injected);
    (0..TICKS).find_map(|tick| {
        let violation = day.play(tick).err()?;
        Some(format!("seed {seed} at {} s: {violation}", f64::from(tick) * TICK))
    })
}

#[rstest]
fn random_days_violate_no_property() {
    let violations: Vec<String> = (0..1000).filter_map(|seed| play_day(seed, InjectedFault::None)).collect();
    assert!(
        violations.is_empty(),
        "{} of 1000: {:#?}",
        violations.len(),
        &violations[..violations.len().min(5)]
    );
}

#[rstest]
#[case::unproven_steps(InjectedFault::StepsUnproven)]
#[case::wrong_order(InjectedFault::WrongOrder)]
#[case::no_ramp(InjectedFault::NoRamp)]
fn finds_injected_faults(#[case] injected: InjectedFault) {
    assert!((0..50).any(|seed| play_day(seed, injected).is_some()));
}

/// For random demands and failed sites, a plan fills no site beyond the maximum utilization, admits no route while a route of
/// higher weight is limited, and rejects nothing that fits.
#[rstest]
fn random_plans_admit_by_priority_and_never_exceed_the_maximum_utilization() {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    for _ in 0..10_000 {
        let (site_count, routes) = (rng.random_range(2..6), rng.random_range(1..5));
        let sites: Vec<SiteCapacity> = (0..site_count)
            .map(|_| SiteCapacity {
                capacity: rng.random_range(1.0..100.0),
                demand: (0..routes).map(|_| rng.random_range(0.0..40.0)).collect(),
            })
            .collect();
        let demands: Vec<RouteDemand> = (0..routes)
            .map(|_| RouteDemand { priority_weight: f64::from(rng.random_range(1..4)), is_site_local: false })
            .collect();
        let failed: BTreeSet<SiteId> =
            (0..site_count).filter(|_| rng.random_bool(0.3)).take(site_count - 1).collect();
        let plan = plan_capacity(&sites, &demands, &failed, 0.9).unwrap();
        assert!(plan.utilization.iter().all(|used| *used <= 0.9 + 1e-6), "{plan:?}");
        for (a, b) in (0..routes).flat_map(|a| (0..routes).map(move |b| (a, b))) {
            let is_lower = demands[a].priority_weight < demands[b].priority_weight;
            assert!(!(is_lower && plan.admitted[a] > 1e-9 && plan.admitted[b] < 1.0 - 1e-9), "{plan:?}");
        }
        assert!(plan.rejected < 1e-6 || plan.spare < 1e-6, "{plan:?}");
        assert!(failed.iter().all(|site| plan.utilization[*site] == 0.0));
    }
}
