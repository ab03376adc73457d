//! Operators' orders on sites.

use crate::scene::{HEALTHY, failed, healthy, play, s, state_of_first};
use grebespool_site_failover::*;
use rstest::rstest;

#[rstest]
fn rejects_an_order_that_would_cause_rejections_unless_forced() {
    let (mut sites, mut host) = healthy();
    let result = sites.execute(s(5.0), 0, SiteOrder::TakeOut, false, &mut host);
    assert!(matches!(&result, Err(OrderError::WouldReject(r)) if r.len() == 1 && r[0].0 == 0), "{result:?}");
    assert!(host.weights.is_empty() && state_of_first(&sites) == SiteState::Healthy);
    assert_eq!(
        sites.execute(s(5.0), 7, SiteOrder::TakeOut, true, &mut host),
        Err(OrderError::UnknownSite(7))
    );
    assert!(matches!(
        sites.execute(s(5.0), 0, SiteOrder::Restore, false, &mut host),
        Err(OrderError::AlreadyInState(..))
    ));
    assert!(sites.execute(s(5.0), 0, SiteOrder::TakeOut, true, &mut host).is_ok());
    assert!(matches!(
        sites.execute(s(5.0), 0, SiteOrder::TakeOut, true, &mut host),
        Err(OrderError::AlreadyInState(..))
    ));
    // The site stays taken out while it answers, and returns only when ordered to.
    for site in [1, 2] {
        sites.capacity_reported(site, 300.0, vec![40.0, 30.0]);
    }
    play(&mut sites, &mut host, 5.0, 8.0, HEALTHY);
    assert_eq!(state_of_first(&sites), SiteState::TakenOut);
    assert!(sites.execute(s(8.0), 0, SiteOrder::Restore, false, &mut host).is_ok());
    play(&mut sites, &mut host, 8.0, 22.0, HEALTHY);
    assert_eq!(state_of_first(&sites), SiteState::Healthy);
}

#[rstest]
fn rejects_restoring_a_failed_site() {
    let (mut sites, mut host) = failed();
    let result = sites.execute(s(10.0), 0, SiteOrder::Restore, true, &mut host);
    assert_eq!(result, Err(OrderError::StillFailed(0)));
}
