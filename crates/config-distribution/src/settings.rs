//! What all nodes of a fleet state alike.

use crate::budget::Rate;
use std::time::Duration;
use thiserror::Error;

/// Leases, fan-out and budgets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Settings {
    /// A planner acts so long after sending the newest renewal that its relay answered.
    pub planner_lease: Duration,
    /// A relay answers for its planners so long after sending the newest renewal that the leader answered.
    pub relay_lease: Duration,
    /// Between two renewals.
    pub renew: Duration,
    /// By how much of the time a clock may be fast or slow.
    pub drift: f64,
    /// A planner that has not confirmed a link so long after its relay had it is not renewed until it has.
    pub planner_patience: Duration,
    /// The same for a relay and the leader. Longer, since a relay waits for its planners' leases.
    pub relay_patience: Duration,
    /// Planners of one relay; each planner has two relays.
    pub fan_out: usize,
    /// Planners that a relay takes at the most, when others of its zone are lost.
    pub most_planners: usize,
    /// Bytes to one planner, in the long run and at once.
    pub planner_budget: Rate,
    /// Bytes to one relay.
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

/// Settings that cannot be.
#[derive(Debug, Clone, PartialEq, Error)]
#[error("{field}: {cause}")]
pub struct BadSettings {
    /// The field.
    pub field: &'static str,
    /// What is wrong with it.
    pub cause: String,
}

fn bad(field: &'static str, cause: impl Into<String>) -> Result<(), BadSettings> {
    Err(BadSettings { field, cause: cause.into() })
}

impl Settings {
    /// The least bytes that a budget has to let through at once: one link of some entries.
    pub const LEAST_BURST: f64 = 1024.0;

    /// Checks what depends on one another.
    ///
    /// # Errors
    ///
    /// The first field that cannot be, and why.
    pub fn check(&self) -> Result<(), BadSettings> {
        if self.fan_out == 0 {
            return bad("fan_out", "0: a relay has one planner at least");
        }
        if self.most_planners < 2 * self.fan_out {
            let cause =
                format!("{} is less than two relays' planners of {} each", self.most_planners, self.fan_out);
            return bad("most_planners", cause);
        }
        if !(0.0..0.2).contains(&self.drift) {
            return bad("drift", format!("{}: 0 to 0.2 can be", self.drift));
        }
        if self.planner_lease < self.renew * 2 {
            return bad("planner_lease", format!("{:?} is shorter than two renewals", self.planner_lease));
        }
        if self.relay_lease < self.planner_lease {
            return bad("relay_lease", format!("{:?} is shorter than planner_lease", self.relay_lease));
        }
        if self.relay_patience < self.planner_patience + self.planner_lease {
            let cause = format!("{:?} does not let a relay wait for a planner's lease", self.relay_patience);
            return bad("relay_patience", cause);
        }
        for (field, rate) in [("planner_budget", self.planner_budget), ("relay_budget", self.relay_budget)] {
            if !(rate.bytes_per_second > 0.0 && rate.burst >= Self::LEAST_BURST) {
                return bad(
                    field,
                    format!("{rate:?} does not let one link of {} bytes through", Self::LEAST_BURST),
                );
            }
        }
        if self.part_bytes == 0 || self.part_bytes as f64 > self.planner_budget.burst {
            return bad("part_bytes", format!("{}: a part has to fit into planner_budget", self.part_bytes));
        }
        Ok(())
    }

    /// How long after the last answer a lease is surely over, by the clock of who granted it.
    pub fn outlasting(&self, lease: Duration) -> Duration {
        // Once for the holder's clock, and once for a relay's, by which a planner's lease ends with its relay's.
        let once = |lease| grebespool_leader_election::drift_adjusted_wait(lease, self.drift);
        once(once(lease))
    }
}
