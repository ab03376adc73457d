//! Settings that must be the same on all nodes of a fleet.

use crate::budget::Rate;
use std::time::Duration;
use thiserror::Error;

/// Settings of leases, fan-out and budgets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// Longest lease of a planner, counted from when it sent the last renewal that its relay answered.
    pub planner_lease: Duration,
    /// Longest lease of a relay, counted from when it sent the last renewal that the leader answered. A relay grants
    /// leases only within its own.
    pub relay_lease: Duration,
    /// Time between two renewals.
    pub renew: Duration,
    /// Maximum relative error of a clock's rate, as a fraction.
    pub drift: f64,
    /// Time after a scope advanced at a relay during which a planner that is behind is still granted a lease.
    pub planner_patience: Duration,
    /// The same time for a relay at the leader. It is longer because a relay waits for its planners' leases.
    pub relay_patience: Duration,
    /// Planners of a zone per relay. Each planner has sessions with two relays.
    pub fan_out: usize,
    /// Maximum number of planners of one relay, reached while other relays of its zone are lost.
    pub most_planners: usize,
    /// Rate and burst of bytes from a relay to one planner.
    pub planner_budget: Rate,
    /// Rate and burst of bytes from the leader to one relay.
    pub relay_budget: Rate,
    /// Maximum size of one part of a snapshot, in bytes.
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
    /// Name of the setting.
    pub field: &'static str,
    /// The value and what was expected instead.
    pub cause: String,
}

fn invalid(field: &'static str, cause: impl Into<String>) -> Result<(), SettingsError> {
    Err(SettingsError { field, cause: cause.into() })
}

impl Settings {
    /// Minimum burst of a budget, in bytes: one link with a few changes.
    pub const MIN_BURST_BYTES: f64 = 1024.0;

    /// Validates each setting, and the settings that depend on each other.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is not valid, with the cause, if there is one.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.fan_out == 0 {
            return invalid("fan_out", "0: expected at least 1 planner per relay");
        }
        // A relay has to be able to take over the planners of a lost one.
        if self.most_planners < 2 * self.fan_out {
            let cause = format!("{}: expected at least 2 * fan_out of {}", self.most_planners, self.fan_out);
            return invalid("most_planners", cause);
        }
        if !(0.0..0.2).contains(&self.drift) {
            return invalid("drift", format!("{}: expected at least 0 and less than 0.2", self.drift));
        }
        if self.planner_lease < self.renew * 2 {
            return invalid(
                "planner_lease",
                format!("{:?}: expected at least 2 * renew of {:?}", self.planner_lease, self.renew),
            );
        }
        if self.relay_lease < self.planner_lease {
            return invalid(
                "relay_lease",
                format!(
                    "{:?}: expected at least planner_lease of {:?}",
                    self.relay_lease, self.planner_lease
                ),
            );
        }
        // A relay that is behind may be waiting for a planner's lease to expire.
        if self.relay_patience < self.planner_patience + self.planner_lease {
            let cause =
                format!("{:?}: expected at least planner_patience + planner_lease", self.relay_patience);
            return invalid("relay_patience", cause);
        }
        for (field, rate) in [("planner_budget", self.planner_budget), ("relay_budget", self.relay_budget)] {
            if !(rate.bytes_per_second > 0.0 && rate.burst >= Self::MIN_BURST_BYTES) {
                return invalid(
                    field,
                    format!(
                        "{rate:?}: expected a positive rate and a burst of at least {} bytes",
                        Self::MIN_BURST_BYTES
                    ),
                );
            }
        }
        // A part larger than the burst would never fit into the budget.
        if self.part_bytes == 0 || self.part_bytes as f64 > self.planner_budget.burst {
            return invalid(
                "part_bytes",
                format!("{}: expected 1 up to the burst of planner_budget", self.part_bytes),
            );
        }
        Ok(())
    }

    /// Returns the time after which a lease has certainly expired, measured from its grant by the clock of the granting
    /// node.
    pub fn lease_expiry_wait(&self, lease: Duration) -> Duration {
        // The drift is added twice: for the holder's clock, and for the clock of a relay, since a planner's lease ends
        // with the lease of its relay.
        let add_drift = |lease| grebespool_leader_election::drift_adjusted_wait(lease, self.drift);
        add_drift(add_drift(lease))
    }
}
