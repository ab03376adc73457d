//! What site failover acts on.

use crate::SiteId;
use crate::event::FailoverEvent;

/// The effects that [`SiteFailover`](crate::SiteFailover) asks for.
pub trait FailoverHost {
    /// Limits the weight of a site's servers to this fraction: 0 for none of it, 1 for all.
    fn limit_site_weight(&mut self, site: SiteId, fraction: f64);
    /// Admits at most these fractions of each route's requests; 1 is no limit.
    fn limit_admission(&mut self, fractions: &[f64]);
    /// Logs an event.
    fn log(&mut self, event: FailoverEvent);
}
