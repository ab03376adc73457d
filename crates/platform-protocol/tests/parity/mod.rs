//! The policy receives the same events through the simulator's protocol and through the platform's protocol, and sends
//! the same updates, message by message.

mod simulator;

use crate::helpers::*;
use rstest::rstest;
use serde_json::{Value, json};
use simulator::{SERVERS, Simulator};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The update that one proxy receives in a step. `admission` holds the admission level and the retry code by route.
#[derive(Debug, Default, Clone, PartialEq)]
struct Update {
    full: bool,
    weights: BTreeMap<String, f32>,
    admission: BTreeMap<usize, (f32, u8)>,
    ack_token: Option<u64>,
}

impl Update {
    /// Adds one part of a message on the platform's protocol.
    fn add_part(&mut self, part: &Value) {
        const ROUTE_NAMES: [&str; 2] = ["look up", "store"];
        self.full |= part["whole"] == true;
        for line in part["lines"].as_array().into_iter().flatten() {
            self.weights.insert(line[0].as_str().unwrap().into(), line[1].as_f64().unwrap() as f32);
        }
        if let Some(level) = part["level"].as_f64() {
            let routes = part.get("classes").and_then(Value::as_array);
            let applies =
                |route: &usize| routes.is_none_or(|names| names.contains(&json!(ROUTE_NAMES[*route])));
            let rule = (level as f32, part["retry"].as_u64().unwrap() as u8);
            self.admission.extend((0..ROUTE_NAMES.len()).filter(applies).map(|route| (route, rule)));
        }
        self.ack_token = self.ack_token.or(part["ticket"].as_u64());
    }
}

/// Updates by proxy.
type Updates = BTreeMap<u16, Update>;

/// The load that all servers report.
#[derive(Clone, Copy)]
struct Load {
    utilization: f64,
    failures: u32,
}

/// The planner on both protocols, with the same events.
struct Parity {
    harness: Harness,
    simulator: Simulator,
    proxies: BTreeSet<u16>,
    load: Load,
}

impl Parity {
    const COLLECTOR: u64 = 900;
    const PROXIES: usize = 12;

    fn new(load: Load) -> Self {
        let mut harness = Harness::new(SERVERS);
        let mut simulator = Simulator::default();
        simulator.start();
        harness.open(Self::COLLECTOR);
        harness.receive_message(Self::COLLECTOR, &json!({"msg": "SOURCE", "locality": "north"}));
        Parity { harness, simulator, proxies: BTreeSet::new(), load }
    }

    /// Returns the updates that the platform's proxies received since the last call, with the parts of a message
    /// merged.
    fn platform_updates(&mut self) -> Updates {
        let mut updates = Updates::new();
        for proxy in &self.proxies {
            let parts = self.harness.written(u64::from(*proxy));
            let mut update = Update::default();
            parts.iter().for_each(|part| update.add_part(part));
            if !parts.is_empty() {
                updates.insert(*proxy, update);
            }
        }
        updates
    }

    /// Fires the timers on both sides and compares the updates.
    fn fire_timers(&mut self, now: Duration) {
        let expected = self.simulator.fire_timers(now);
        self.harness.now = now;
        self.harness.manager.timer_fired(now);
        assert_eq!(self.platform_updates(), expected, "timers at {now:?}");
    }

    /// Passes the event of a step to both sides. Returns the updates on the simulator's side.
    fn step(&mut self, now: Duration, step: u64) -> Updates {
        match step {
            s if s % 20 == 3 && self.proxies.len() < Self::PROXIES => self.join_proxy(now),
            90 | 91 => self.change_list(now, step - 87),
            s => self.report_load(now, s),
        }
    }

    fn join_proxy(&mut self, now: Duration) -> Updates {
        let proxy = self.proxies.len() as u16;
        let updates = self.simulator.join_proxy(now, proxy);
        self.proxies.insert(proxy);
        self.harness.join(u64::from(proxy), u64::from(proxy));
        updates
    }

    fn change_list(&mut self, now: Duration, since: u64) -> Updates {
        let updates = self.simulator.change_list(now, &[(2, 2), (5, 0)]);
        let changes = vec![server(2, "DRAINING", 0), server(5, "DELETED", 0)];
        self.harness.receive_list(Some(since), &list(since + 1, false, changes)).unwrap();
        updates
    }

    fn report_load(&mut self, now: Duration, step: u64) -> Updates {
        let Load { utilization, failures } = self.load;
        let k = step as usize % SERVERS;
        // The policy would discount a report that never changes.
        let jitter = 0.001 * (step % 7) as f64;
        let share = if k < 2 && failures == 0 { utilization * 0.4 } else { utilization } - jitter;
        let updates = self.simulator.report_load(now, k, share as f32, failures);
        self.harness.receive_message(
            Self::COLLECTOR,
            &json!({"msg": "LOAD", "locality": "north", "endpoint": format!("s{k}"), "total": 20,
                    "errors": failures, "rtt": 80.0, "interval": 500.0,
                    "metrics": {"cpu_share": share as f32, "pending": 1.0}}),
        );
        self.harness.receive_message(
            Self::COLLECTOR,
            &json!({"msg": "RATE", "node": 0, "route": "store", "total": 20, "errors": 0, "interval": 500.0}),
        );
        updates
    }
}

#[rstest]
#[case::at_normal_load(0.5, 0)]
#[case::in_overload(0.99, 5)]
fn updates_are_the_same_on_the_platform_and_in_the_simulator(
    #[case] utilization: f64,
    #[case] failures: u32,
) {
    let mut parity = Parity::new(Load { utilization, failures });
    let (mut messages, mut sheds_load) = (0, false);
    for step in 1..400u64 {
        let now = ms(step * 50);
        parity.fire_timers(now);
        let expected = parity.step(now, step);
        let updates = parity.platform_updates();
        sheds_load |= updates.values().any(|update| update.admission.values().any(|rule| rule.0 < 1.0));
        messages += updates.len();
        assert_eq!(updates, expected, "step {step}");
    }
    assert!(messages > 15, "{messages}");
    assert_eq!(sheds_load, utilization > 0.9 && failures > 0, "the compared updates cover admission");
}
