//! Retries: when the proxies may send a failed request again.

use crate::host::{Idempotency, PolicyHost, RetryPolicy};
use crate::state::Policy;

/// Past this part of ready servers that warm up, retries would overload these.
const MAX_WARMING_PART: f64 = 0.3;
/// A retry starts before the objective where an attempt waits a smaller multiple of it.
const MAX_TIMEOUT_FACTOR: f64 = 0.9;

impl<H: PolicyHost> Policy<H> {
    /// Retries only where no request has an effect twice, the servers have capacity, and an answer may still be in time.
    pub(super) fn retry_policy(&self, route: usize) -> RetryPolicy {
        if self.admission.overloaded || self.warming_part() > MAX_WARMING_PART {
            return RetryPolicy::Never;
        }
        let in_time = self.capabilities.attempt_timeout_factor < MAX_TIMEOUT_FACTOR;
        match self.routes[route].idempotency {
            Idempotency::Idempotent if in_time => RetryPolicy::AfterFailure,
            _ => RetryPolicy::IfNotExecuted,
        }
    }

    /// The part of the ready servers that warm up.
    fn warming_part(&self) -> f64 {
        let ready = || self.servers.iter().filter(|server| server.is_ready());
        let warming = ready().filter(|server| server.slow_start.warming).count() as f64;
        warming / f64::max(ready().count() as f64, 1.0)
    }
}
