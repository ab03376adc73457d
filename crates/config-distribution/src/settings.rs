//! Settings that all nodes of a fleet must state alike.

use crate::budget::Rate;
use std::time::Duration;
use thiserror::Error;

/// Leases, fan-out and budgets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// How long a planner may apply scopes after it sent the last renewal that its relay answered.
    pub planner_lease: Duration,
    /// How long a relay may grant leases after it sent the last renewal that the leader answered.
    pub relay_lease: Duration,
    /// Time between two renewals.
    pub renew: Duration,
    /// Maximum relative error of a clock's rate, as a fraction.
    pub drift: f64,
    /// How long after its relay has a link a planner may be without it and still be granted a lease.
    pub planner_patience: Duration,
    /// The same for a relay and the leader. Longer, since a relay waits for its planners' leases.
    pub relay_patience: Duration,
    /// Planners of one relay; each planner has two relays.
    pub fan_out: usize,
    /// The most planners of one relay, while others of its zone are lost.
    pub most_planners: usize,
    /// Rate and burst of bytes to one planner.
    pub planner_budget: Rate,
    /// Rate and burst of bytes to one relay.
    pub relay_budget: Rate,
    /// Bytes of one part of a snapshot.
    pub part_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Settings {
            planner_lease: ms(1000),
            relay_lease: ms(1500),
            renew: ms(400),
            drift: 0.01,
            planner_patience: ms(400),
            relay_patience: ms(2000),
            fan_out: 8,
            most_planners: 32,
            planner_budget: Rate { bytes_per_second: 2000.0, burst: 128.0 * 1024.0 },
            relay_budget: Rate { bytes_per_second: 20_000.0, burst: 1024.0 * 1024.0 },
            part_bytes: 16 * 1024,
        }
    }
}

/// A setting that is not valid.
#[derive(Debug, Clone, PartialEq, Error)]
#[error("{field}: {cause}")]
pub struct SettingsError {
    /// The field.
    pub field: &'static str,
    /// What is wrong with it.
    pub cause: String,
}

fn invalid(field: &'static str, cause: impl Into<String>) -> Result<(), SettingsError> {
    Err(SettingsError { field, cause: cause.into() })
}

impl Settings {
    /// The smallest burst of a budget, in bytes: one link of some entries.
    pub const LEAST_BURST: f64 = 1024.0;

    /// Validates the settings, and those that depend on one another.
    ///
    /// # Errors
    ///
    /// The first field that is not valid, and why.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.fan_out == 0 {
            return invalid("fan_out", "0: a relay has one planner at least");
        }
        if self.most_planners < 2 * self.fan_out {
            let cause =
                format!("{} is less than two relays' planners of {} each", self.most_planners, self.fan_out);
            return invalid("most_planners", cause);
        }
        if !(0.0..0.2).contains(&self.drift) {
            return invalid("drift", format!("{}: 0 to 0.2 can be", self.drift));
        }
        if self.planner_lease < self.renew * 2 {
            return invalid(
                "planner_lease",
                format!("{:?} is shorter than two renewals", self.planner_lease),
            );
        }
        if self.relay_lease < self.planner_lease {
            return invalid("relay_lease", format!("{:?} is shorter than planner_lease", self.relay_lease));
        }
        if self.relay_patience < self.planner_patience + self.planner_lease {
            let cause = format!("{:?} does not let a relay wait for a planner's lease", self.relay_patience);
            return invalid("relay_patience", cause);
        }
        for (field, rate) in [("planner_budget", self.planner_budget), ("relay_budget", self.relay_budget)] {
            if !(rate.bytes_per_second > 0.0 && rate.burst >= Self::LEAST_BURST) {
                return invalid(
                    field,
                    format!("{rate:?} does not let one link of {} bytes through", Self::LEAST_BURST),
                );
            }
        }
        if self.part_bytes == 0 || self.part_bytes as f64 > self.planner_budget.burst {
            return invalid(
                "part_bytes",
                format!("{}: a part has to fit into planner_budget", self.part_bytes),
            );
        }
        Ok(())
    }

    /// Time from granting a lease after which it has expired, by the clock of the node that granted it.
    pub fn outlasting(&self, lease: Duration) -> Duration {
        // Once for the holder's clock, and once for a relay's, by which a planner's lease ends with its relay's.
        let once = |lease| grebespool_leader_election::drift_adjusted_wait(lease, self.drift);
        once(once(lease))
    }
}
