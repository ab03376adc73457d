//! Converts a day's settings to the facts that the invariant checker needs.

use grebespool_invariants::{Facts, Limits, RouteFacts};
use grebespool_settings::{Day, Group, Repeats, Route};

/// Returns the limits and routes of a day for the invariant checker.
pub fn invariant_facts(day: &Day) -> Facts {
    let (deployment, rules) = (&day.deployment, &day.rules);
    let limits = Limits {
        unserved: rules.unserved.0,
        grace: rules.grace.0,
        fall_multiple: rules.fall_multiple,
        fall: rules.fall.0,
        knowing: rules.knowing.0,
        warm_up: deployment.servers.warm_up.0,
        most_waiting: deployment.channel.most_waiting,
        head: deployment.channel.head,
        most_messages: deployment.channel.most_messages,
        window: deployment.channel.window.0,
    };
    Facts { limits, routes: deployment.routes.iter().map(route_facts).collect() }
}

fn route_facts(route: &Route) -> RouteFacts {
    match route.repeats {
        Repeats::Freely => RouteFacts::Freely,
        Repeats::Marked => RouteFacts::Marked { window: route.window.0, by_zone: route.group != Group::All },
        Repeats::Never => RouteFacts::Never,
    }
}
