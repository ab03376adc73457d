//! Plans for the load that the remaining sites take over.

use crate::helpers::demand;
use grebespool_site_failover::*;
use rstest::rstest;
use std::collections::BTreeSet;

fn capacity_of(capacity: f64, demand: &[f64]) -> SiteCapacity {
    SiteCapacity { capacity, demand: demand.to_vec() }
}

#[rstest]
// All load fits.
#[case(&[0], vec![capacity_of(100.0, &[10.0, 10.0]); 3], &[1.0, 4.0], &[1.0, 1.0])]
// The route with the lower weight is rejected first, and only as far as needed.
#[case(&[0], vec![capacity_of(100.0, &[40.0, 30.0]); 3], &[1.0, 4.0], &[0.75, 1.0])]
#[case(&[0], vec![capacity_of(100.0, &[30.0, 40.0]); 3], &[4.0, 1.0], &[1.0, 0.75])]
// Not even the route with the highest weight fits: it alone is admitted, as far as capacity allows.
#[case(&[0, 1], vec![capacity_of(100.0, &[40.0, 60.0]); 3], &[1.0, 4.0], &[0.0, 0.5])]
// Routes of equal weight are admitted by the same fraction.
#[case(&[0], vec![capacity_of(100.0, &[40.0, 50.0]); 3], &[2.0, 2.0], &[2.0 / 3.0, 2.0 / 3.0])]
fn admits_by_priority_weight(
    #[case] failed_sites: &[usize],
    #[case] sites: Vec<SiteCapacity>,
    #[case] priority_weights: &[f64],
    #[case] admissions: &[f64],
) {
    let routes: Vec<RouteDemand> = priority_weights.iter().map(|weight| demand(*weight)).collect();
    let plan = plan_capacity(&sites, &routes, &failed_sites.iter().copied().collect(), 0.9).unwrap();
    for (admitted, expected) in plan.admitted.iter().zip(admissions) {
        assert!((admitted - expected).abs() < 1e-9, "{:?}", plan.admitted);
    }
    assert!(plan.utilization.iter().all(|used| *used <= 0.9 + 1e-9), "{:?}", plan.utilization);
}

#[rstest]
fn site_local_route_shares_only_its_own_sites_capacity() {
    let routes = [RouteDemand { priority_weight: 2.0, is_site_local: true }, demand(1.0)];
    let sites = [
        capacity_of(100.0, &[50.0, 0.0]),
        capacity_of(100.0, &[60.0, 90.0]),
        capacity_of(100.0, &[20.0, 20.0]),
    ];
    let plan = plan_capacity(&sites, &routes, &BTreeSet::from([0]), 0.9).unwrap();
    assert_eq!(plan.admitted[0], 1.0);
    // Site 1 has 30 left and site 2 has 70, for the 110 of the route that is not site-local.
    assert!((plan.admitted[1] - 100.0 / 110.0).abs() < 1e-9, "{:?}", plan.admitted);
    assert!(plan.utilization.iter().all(|used| *used <= 0.9 + 1e-9));
}

#[rstest]
#[case(vec![capacity_of(0.0, &[1.0]), capacity_of(5.0, &[1.0])], &[0], PlanError::UnknownCapacity(0))]
#[case(vec![capacity_of(5.0, &[1.0]), capacity_of(f64::NAN, &[1.0])], &[0], PlanError::UnknownCapacity(1))]
#[case(vec![capacity_of(5.0, &[1.0]); 2], &[0, 1], PlanError::NoSiteLeft)]
fn reports_why_there_is_no_plan(
    #[case] sites: Vec<SiteCapacity>,
    #[case] failed_sites: &[usize],
    #[case] expected: PlanError,
) {
    assert_eq!(
        plan_capacity(&sites, &[demand(1.0)], &failed_sites.iter().copied().collect(), 0.9),
        Err(expected)
    );
}
