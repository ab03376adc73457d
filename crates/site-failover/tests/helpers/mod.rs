//! How fast the tests' verdicts come.

use grebespool_site_failover::{Pacing, Timing};
use std::time::Duration;

pub const TIMING: Timing = Timing {
    window: Duration::from_secs(2),
    confirm: Duration::from_millis(500),
    calm: Duration::from_secs(60),
    trickle: 0.0,
    fill: 0.9,
    pacing: Pacing { warm_up: Duration::from_secs(5), settling: Duration::from_millis(800), late: 0.3 },
};
