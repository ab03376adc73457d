//! How servers work and proxies pick, and what a day came to: free of I/O, so that the stand-ins on sockets and
//! the model under a simulated clock have the same.

#![allow(missing_docs, unreachable_pub, clippy::restriction, clippy::pedantic)] // not yet read through

mod held;
mod machine;
mod service;
mod sums;

pub use held::{Held, Stale};
pub use machine::{Ability, Machine};
pub use service::{RouteService, Service, Tally, ZoneService};
pub use sums::Sums;

use grebespool_invariants::{Facts, Limits, RouteFacts};
use grebespool_settings::{Day, Group, Repeats};

/// What the rules need to know of a day.
pub fn facts(day: &Day) -> Facts {
    let (d, r) = (&day.deployment, &day.rules);
    let route = |r: &grebespool_settings::Route| match r.repeats {
        Repeats::Freely => RouteFacts::Freely,
        Repeats::Marked => RouteFacts::Marked { window: r.window.0, by_zone: r.group != Group::All },
        Repeats::Never => RouteFacts::Never,
    };
    let limits = Limits {
        unserved: r.unserved.0,
        grace: r.grace.0,
        fall_multiple: r.fall_multiple,
        fall: r.fall.0,
        knowing: r.knowing.0,
        warm_up: d.servers.warm_up.0,
        most_waiting: d.channel.most_waiting,
        head: d.channel.head,
        most_messages: d.channel.most_messages,
        window: d.channel.window.0,
    };
    Facts { limits, routes: d.routes.iter().map(route).collect() }
}
