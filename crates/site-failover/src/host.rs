//! The interface through which site failover acts.

use crate::SiteId;
use crate::event::FailoverEvent;

/// The effects that [`SiteFailover`](crate::SiteFailover) asks for.
pub trait FailoverHost {
    /// Limits the weight of a site's servers to this fraction of their full weight.
    fn limit_site_weight(&mut self, site: SiteId, fraction: f64);
    /// Limits the admission of each route to this fraction of its requests; 1 sets no limit.
    fn limit_admission(&mut self, fractions: &[f64]);
    /// Logs an event.
    fn log(&mut self, event: FailoverEvent);
}
