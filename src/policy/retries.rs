//! Retries: decides when the proxies may retry a failed attempt.

use crate::host::{Idempotency, PolicyHost, RetryPolicy};
use crate::state::Policy;

/// The fraction of the ready servers that warm up above which retries are disabled, because they would overload these
/// servers.
const MAX_WARMING_FRACTION: f64 = 0.3;
/// The attempt time-out, as a multiple of the latency objective, below which a retry still starts before the objective.
const MAX_TIMEOUT_FACTOR: f64 = 0.9;

impl<H: PolicyHost> Policy<H> {
    /// Returns the retry policy of a route. Retries are allowed only if they cannot repeat an effect, if the servers have
    /// capacity, and, after any failure, only if the answer can still be in time.
    pub(super) fn retry_policy(&self, route: usize) -> RetryPolicy {
        if self.admission.overloaded || self.warming_fraction() > MAX_WARMING_FRACTION {
            return RetryPolicy::Never;
        }
        let in_time = self.capabilities.attempt_timeout_factor < MAX_TIMEOUT_FACTOR;
        match self.routes[route].idempotency {
            Idempotency::Idempotent if in_time => RetryPolicy::AfterFailure,
            _ => RetryPolicy::IfNotExecuted,
        }
    }

    /// Returns the fraction of the ready servers that warm up.
    fn warming_fraction(&self) -> f64 {
        let ready = || self.servers.iter().filter(|server| server.is_ready());
        let warming = ready().filter(|server| server.slow_start.warming).count() as f64;
        warming / f64::max(ready().count() as f64, 1.0)
    }
}
