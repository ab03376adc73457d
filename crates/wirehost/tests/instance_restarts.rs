//! Instances that are killed and started again, in any order with other events and in any division into batches.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, dead_code, reason = "a test may panic")]

mod batches;

use batches::{SETTINGS, frame, instance_record, record, tail_record};
use grebespool_wirehost::Instances;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use std::collections::BTreeMap;

const REPLY_HEADER_BYTES: usize = 8;
const COMMAND_BYTES: usize = 16;
const INSTANCE_COMMAND: u16 = 1050;
const BIND_COMMAND: u16 = 1080;
const SERVERS: usize = 4;
/// The events of a batch share one tail: the settings, followed by the entries of both lists.
const ENTRY_BYTES: usize = 24;
const READY: u8 = 1;
const DRAINING: u8 = 2;
const TICK: u32 = 1;

type Command = Vec<u8>;
type CommandsByInstance = BTreeMap<u32, Vec<Command>>;

/// An event of one instance, which has this number.
#[derive(Debug, Clone, Copy)]
enum Event {
    Started { seed: u64, list: u8 },
    Stopped,
    Joined(u16),
    Left(u16),
    ListUpdated(u8),
    TickFired,
    ListFailed,
}

fn entries(draining: Option<usize>) -> Vec<u8> {
    let entry = |server: usize| {
        let state = if draining == Some(server) { DRAINING } else { READY };
        let mut entry = vec![10, 0, 0, server as u8 + 1, 0x1f, 0x43, 0, 0, 0, 0, 0, state];
        entry.extend(1f32.to_be_bytes());
        entry.resize(ENTRY_BYTES, 0);
        entry
    };
    (0..SERVERS).flat_map(entry).collect()
}

fn batch_tail() -> Vec<u8> {
    [SETTINGS.as_bytes(), &entries(None), &entries(Some(0))].concat()
}

/// Returns the events that define list 0, where all servers are ready, and list 1, where the first one drains.
fn list_records() -> Vec<Vec<u8>> {
    let list = |number: u8| {
        let offset = SETTINGS.len() + usize::from(number) * SERVERS * ENTRY_BYTES;
        tail_record(1140, &[number], offset, SERVERS)
    };
    vec![list(0), list(1)]
}

fn event_records(event: Event) -> Vec<Vec<u8>> {
    let list_updated = |kind: u8, list: u8| record(1010, &[kind, 0, 0, 0, 1, list]);
    match event {
        Event::Started { seed, list } => {
            vec![tail_record(1000, &seed.to_be_bytes(), 0, SETTINGS.len()), list_updated(2, list)]
        }
        Event::Stopped => vec![record(1050, &[])],
        Event::Joined(proxy) => vec![record(1060, &[&proxy.to_be_bytes()[..], &[0, 0, 1]].concat())],
        Event::Left(proxy) => vec![record(1070, &proxy.to_be_bytes())],
        Event::ListUpdated(list) => vec![list_updated(1, list)],
        Event::TickFired => vec![record(1020, &TICK.to_be_bytes())],
        Event::ListFailed => vec![list_updated(3, 0)],
    }
}

fn batch(events: &[(u32, Event)]) -> Vec<u8> {
    let mut records = list_records();
    for (instance, event) in events {
        records.push(instance_record(*instance));
        records.extend(event_records(*event));
    }
    frame(&records, &batch_tail())
}

/// Splits a reply into the commands of each instance.
fn commands(reply: &[u8]) -> CommandsByInstance {
    let mut commands = CommandsByInstance::new();
    let mut instance = None;
    for command in reply[REPLY_HEADER_BYTES..].chunks_exact(COMMAND_BYTES) {
        if command[..2] == INSTANCE_COMMAND.to_be_bytes() {
            instance = Some(u32::from_be_bytes(command[2..6].try_into().unwrap()));
        } else {
            commands.entry(instance.unwrap()).or_default().push(command.to_vec());
        }
    }
    commands
}

/// Applies each event in a batch of its own. The commands of an instance that ends are dropped, as the simulator does with
/// those that have had no effect yet.
fn commands_one_by_one(instances: &mut Instances, events: &[(u32, Event)]) -> CommandsByInstance {
    let mut expected = CommandsByInstance::new();
    for (instance, event) in events {
        if matches!(event, Event::Started { .. } | Event::Stopped) {
            expected.remove(instance);
        }
        let reply = instances.apply_batch(&batch(&[(*instance, *event)])).unwrap();
        for (instance, mut sent) in commands(&reply) {
            expected.entry(instance).or_default().append(&mut sent);
        }
    }
    expected
}

/// Guards against orders of a killed instance that are carried out for its successor: the proxy joins, and the instance is
/// killed and started again, in one batch.
#[rstest]
#[case::killed_and_started(&[Event::Stopped, Event::Started { seed: 12, list: 1 }])]
#[case::started_anew(&[Event::Started { seed: 12, list: 1 }])]
#[case::killed(&[Event::Stopped])]
fn commands_of_a_killed_instance_leave_the_reply(#[case] end: &[Event]) {
    let started = Event::Started { seed: 11, list: 0 };
    let mut instances = Instances::default();
    instances.apply_batch(&batch(&[(3, started)])).unwrap();
    let events: Vec<(u32, Event)> = [Event::Joined(1)].iter().chain(end).map(|event| (3, *event)).collect();
    let reply = commands(&instances.apply_batch(&batch(&events)).unwrap());
    let sent = reply.get(&3).cloned().unwrap_or_default();
    assert!(sent.iter().all(|command| command[..2] != BIND_COMMAND.to_be_bytes()), "{sent:?}");

    let mut fresh = Instances::default();
    let alone: Vec<(u32, Event)> =
        end.iter().filter(|event| !matches!(event, Event::Stopped)).map(|event| (3, *event)).collect();
    let expected = commands(&fresh.apply_batch(&batch(&alone)).unwrap());
    assert_eq!(sent, expected.get(&3).cloned().unwrap_or_default());
}

/// The input that does not bring the fault: a proxy that joins the successor in the batch of the kill is bound.
#[rstest]
fn successor_binds_a_proxy_that_joins_it_in_the_batch_of_the_kill() {
    let started = |seed| (3, Event::Started { seed, list: 0 });
    let mut instances = Instances::default();
    instances.apply_batch(&batch(&[started(11)])).unwrap();
    let events = [(3, Event::Stopped), started(12), (3, Event::Joined(1))];
    let reply = commands(&instances.apply_batch(&batch(&events)).unwrap());
    assert!(reply[&3].iter().any(|command| command[..2] == BIND_COMMAND.to_be_bytes()), "{reply:?}");
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (any::<u64>(), 0..2u8).prop_map(|(seed, list)| Event::Started { seed, list }),
        2 => Just(Event::Stopped),
        4 => (0..5u16).prop_map(Event::Joined),
        1 => (0..5u16).prop_map(Event::Left),
        2 => (0..2u8).prop_map(Event::ListUpdated),
        3 => Just(Event::TickFired),
        1 => Just(Event::ListFailed),
    ]
}

/// Makes a sequence valid: an event for an instance that does not run is replaced by its start.
fn with_starts(events: Vec<(u32, Event)>) -> Vec<(u32, Event)> {
    let mut running = std::collections::BTreeSet::new();
    let valid = |(instance, event): (u32, Event)| {
        let event = match event {
            Event::Stopped if running.remove(&instance) => event,
            Event::Started { .. } => event,
            _ if running.contains(&instance) => event,
            _ => Event::Started { seed: u64::from(instance), list: 0 },
        };
        if matches!(event, Event::Started { .. }) {
            running.insert(instance);
        }
        (instance, event)
    };
    events.into_iter().map(valid).collect()
}

/// The cases are the same in each run.
fn seeded() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(10), failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(seeded())]

    /// Guards against any command that outlives its instance: whatever the order of events of several instances and their
    /// division into batches, a reply has what the running instances have sent since their start, and nothing else.
    #[test]
    fn reply_has_only_commands_of_running_instances(
        batches in prop::collection::vec(prop::collection::vec((0..3u32, any_event()), 0..12), 1..6),
    ) {
        let lengths: Vec<usize> = batches.iter().map(Vec::len).collect();
        let events = with_starts(batches.into_iter().flatten().collect());
        let (mut together, mut one_by_one) = (Instances::default(), Instances::default());
        let mut rest = &events[..];
        for length in lengths {
            let (events, later) = rest.split_at(length);
            rest = later;
            let sent = commands(&together.apply_batch(&batch(events)).unwrap());
            prop_assert_eq!(sent, commands_one_by_one(&mut one_by_one, events));
        }
    }
}
