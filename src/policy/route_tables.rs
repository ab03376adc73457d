//! Route tables: decides which tables a pool has, so that routes that may not leave their zone share no table with routes
//! that may.
//!
//! With one table for all routes, the servers of other zones would have to be kept from every route while a server of the
//! zone is ready, and would get the zone-local routes' requests while none is.

use crate::host::{ALL_ROUTES, PolicyHost, Route, RouteSet};
use crate::state::{Policy, TableKind, TableScope};

impl<H: PolicyHost> Policy<H> {
    /// Returns the tables of each pool: one for all routes, or one for the zone-local routes and one for the others.
    pub(super) fn table_kinds(&self) -> Vec<TableKind> {
        let zone_local = route_set(&self.routes, |route| route.zone_local);
        let others = route_set(&self.routes, |route| !route.zone_local);
        let all_zones = |routes| TableKind { scope: TableScope::AllZones, routes };
        let own_zone = |routes| TableKind { scope: TableScope::OwnZone, routes };
        if zone_local == 0 || self.zone_spill.zones() == 1 {
            vec![all_zones(ALL_ROUTES)]
        } else if others == 0 {
            vec![own_zone(ALL_ROUTES)]
        } else {
            vec![all_zones(others), own_zone(zone_local)]
        }
    }
}

fn route_set(routes: &[Route], is_member: impl Fn(&Route) -> bool) -> RouteSet {
    let members = routes.iter().enumerate().filter(|(_, route)| is_member(route));
    members.fold(0, |set, (position, _)| set | 1 << position)
}
