//! The events that are logged.

use crate::helpers::*;
use grebespool::host::EndpointState;
use grebespool_platform_protocol::{EndpointGroup, Event, NameList, StreamChange, TableChange, TableWeights};
use rstest::rstest;
use serde_json::Value;
use std::collections::BTreeMap;

/// The log shows each change of a proxy, of a server and of the list's version, but its length does not grow with the
/// fleet.
#[rstest]
fn logs_changes_in_few_events() {
    let mut harness = Harness::new(300);
    harness.run_until(ms(2500));
    harness.join(1, 5);
    harness.join(2, 5);
    harness.join(3, 7);
    harness.manager.connection_closed(3);
    harness.join(4, 8);
    (0..3).for_each(|_| harness.receive(4, &framed(b"{x")));
    harness.recorded.borrow_mut().events.clear();
    harness
        .receive_list(Some(3), &list(4, false, vec![server(0, "DRAINING", 0), server(1, "DELETED", 0)]))
        .unwrap();
    harness.run_until(ms(3000));
    let events = take_events(&harness);
    let group = |state, server| EndpointGroup { state, servers: names(&[server]) };
    let groups = vec![group(EndpointState::Draining, "s0"), group(EndpointState::Removed, "s1")];
    let streams = |change, proxies: &[&str]| Event::Streams { change, proxies: names(proxies) };
    assert_eq!(
        events,
        [
            Event::EndpointListChanged { version: Some(4), since: Some(3), groups },
            streams(StreamChange::Joined, &["5", "5", "7", "8"]),
            streams(StreamChange::Bound, &["5", "5", "7", "8"]),
            streams(StreamChange::Left, &["7"]),
            streams(StreamChange::Closed, &["8"]),
            streams(StreamChange::Replaced, &["5"]),
            Event::Servers { change: TableChange::Removed, servers: names(&["s0", "s1"]) },
        ]
    );
    let all: Vec<Value> = (2..300).map(|k| server(k, "DRAINING", 0)).collect();
    harness.receive_list(Some(4), &list(5, false, all)).unwrap();
    harness.run_until(ms(3500));
    let events = take_events(&harness);
    assert!(events.len() <= 3 && events.iter().all(|event| text_length(event) < 1000), "{events:?}");
    let Event::EndpointListChanged { version: Some(5), since: Some(4), groups } = &events[0] else {
        panic!("{events:?}")
    };
    let [EndpointGroup { state: EndpointState::Draining, servers }] = &groups[..] else {
        panic!("{groups:?}")
    };
    assert_eq!((servers.total(), &servers.shown[..2]), (298, &["s2".to_string(), "s3".to_string()][..]));
    assert!(servers.to_string().ends_with(" and 202 more"), "{servers}");
}

fn names(shown: &[&str]) -> NameList {
    NameList { shown: shown.iter().map(ToString::to_string).collect(), omitted: 0 }
}

fn take_events(harness: &Harness) -> Vec<Event> {
    std::mem::take(&mut harness.recorded.borrow_mut().events)
}

/// Returns the number of characters of an event's names.
fn text_length(event: &Event) -> usize {
    match event {
        Event::EndpointListChanged { groups, .. } => {
            groups.iter().map(|group| group.servers.to_string().len()).sum()
        }
        Event::Streams { proxies: names, .. } | Event::Servers { servers: names, .. } => {
            names.to_string().len()
        }
        Event::Warning(warning) => warning.cause.len(),
        Event::TableWeights(_) => 0,
    }
}

fn take_weights(harness: &Harness) -> Vec<TableWeights> {
    let events = std::mem::take(&mut harness.recorded.borrow_mut().debug_events);
    let weights = |event| match event {
        Event::TableWeights(weights) => weights,
        other => panic!("{other:?}"),
    };
    events.into_iter().map(weights).collect()
}

fn as_text(weights: &TableWeights) -> String {
    let changed: String = weights.changed.iter().map(|weight| format!(" {weight}")).collect();
    format!("{} proxies, sum {:.3}:{changed}", weights.proxies, weights.sum)
}

#[rstest]
fn logs_every_written_weight_on_request() {
    let mut harness = Harness::new(4);
    harness.manager.enable_weight_log();
    harness.run_until(ms(2500));
    harness.join(1, 5);
    harness.run_until(ms(3000));
    let proxy_table = table(&harness.written(1), BTreeMap::new());
    let weights: Vec<f64> = proxy_table.values().copied().collect();
    let named: Vec<String> = proxy_table.iter().map(|(id, weight)| format!(" {id} {weight:.3}")).collect();
    let expected = format!("1 proxies, sum {:.3}:{}", weights.iter().sum::<f64>(), named.concat());
    let first = take_weights(&harness);
    assert_eq!(first.iter().map(as_text).collect::<Vec<_>>(), [expected]);
    harness.run_until(ms(3400));
    assert_eq!(take_weights(&harness), [], "expected no report without a change");
    harness.receive_list(Some(3), &list(4, false, vec![server(2, "DRAINING", 0)])).unwrap();
    harness.run_until(ms(3700));
    let drained = as_text(&take_weights(&harness)[0]);
    assert!(drained.starts_with("1 proxies, sum ") && drained.contains(" s2 0.000"), "{drained}");
    harness.manager.connection_closed(1);
    harness.run_until(ms(4000));
    assert_eq!(take_weights(&harness)[0].proxies, 0);
}

#[rstest]
fn logs_no_weights_unless_requested() {
    let mut harness = Harness::new(4);
    harness.run_until(ms(2500));
    harness.join(1, 5);
    harness.run_until(ms(3000));
    assert_eq!(take_weights(&harness), []);
}
