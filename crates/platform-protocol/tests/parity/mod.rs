//! The same events given to the module through the simulator's wire and through the platform's protocol: the same
//! orders, message by message.

use crate::helpers::*;
use grebespool_wirehost::Instances;
use rstest::rstest;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const BORN: f64 = 5000.0;

/// One proxy's message: whether it is whole, its lines, its levels by route, its mark.
#[derive(Debug, Default, Clone, PartialEq)]
struct Seen {
    whole: bool,
    lines: BTreeMap<String, f32>,
    levels: BTreeMap<usize, (f32, u8)>,
    mark: Option<u64>,
}

/// The wire's side: tables and bindings, as the simulator would keep them.
#[derive(Default)]
struct Wire {
    instances: Instances,
    tables: BTreeMap<u16, BTreeMap<String, f32>>,
    bound: BTreeMap<u16, u16>,
    levels: BTreeMap<usize, (f32, u8)>,
    timers: BTreeSet<(Duration, u32)>,
}

fn record(code: u16, fields: &[&[u8]]) -> Vec<u8> {
    let mut bytes = [&code.to_be_bytes()[..], &fields.concat()].concat();
    bytes.resize(56, 0);
    bytes
}

fn address(k: usize) -> [u8; 6] {
    [10, 0, 0, 1, 0, k as u8]
}

impl Wire {
    fn batch(&mut self, now: Duration, events: &[Vec<u8>], tail: &[u8]) -> BTreeMap<u16, Seen> {
        let mut frame = vec![0; 4];
        frame.extend((BORN + now.as_secs_f64() * 1000.0).to_be_bytes());
        frame.extend((events.len() as u32 + 1).to_be_bytes());
        frame.extend(record(1150, &[&3u32.to_be_bytes()]));
        events.iter().for_each(|e| frame.extend(e));
        frame.extend(tail);
        let length = (frame.len() as u32).to_be_bytes();
        frame[..4].copy_from_slice(&length);
        let reply = self.instances.apply_batch(&frame).unwrap();
        self.reply(&reply)
    }

    fn reply(&mut self, reply: &[u8]) -> BTreeMap<u16, Seen> {
        let (mut fresh, mut changed) = (BTreeSet::new(), BTreeMap::<u16, BTreeMap<String, f32>>::new());
        let (mut levels, mut mark) = (BTreeMap::new(), None);
        for r in reply[8..].chunks_exact(16) {
            let u16_at = |at: usize| u16::from_be_bytes([r[at], r[at + 1]]);
            let u32_at = |at: usize| u32::from_be_bytes([r[at], r[at + 1], r[at + 2], r[at + 3]]);
            match u16_at(0) {
                1110 => {
                    let (weight, id) = (f32::from_bits(u32_at(2)), format!("s{}", r[13]));
                    let table = self.tables.entry(u16_at(6)).or_default();
                    if weight > 0.0 {
                        table.insert(id.clone(), weight)
                    } else {
                        table.remove(&id)
                    };
                    changed.entry(u16_at(6)).or_default().insert(id, weight);
                }
                1080 => {
                    self.bound.insert(u16_at(2), u16_at(4));
                    fresh.insert(u16_at(2));
                }
                1060 => {
                    let routes = (0..2).filter(|k| u16_at(3) & (1 << k) != 0);
                    levels.extend(routes.map(|k| (k, (f32::from_bits(u32_at(7)), r[2]))));
                }
                1010 => mark = Some(u64::from(u32_at(3))),
                1030 => {
                    let at = f64::from_be_bytes(std::array::from_fn(|i| r[2 + i]));
                    // A time that went through a number of milliseconds is not the same to the nanosecond.
                    let due = Duration::from_micros(((at - BORN) * 1000.0).round() as u64);
                    self.timers.insert((due, u32_at(10)));
                }
                _ => {}
            }
        }
        self.levels.extend(levels.clone());
        let mut seen = BTreeMap::new();
        for (proxy, table) in &self.bound {
            let whole = fresh.contains(proxy);
            let lines = if whole { self.tables.get(table) } else { changed.get(table) };
            let levels = if whole { &self.levels } else { &levels };
            let message =
                Seen { whole, lines: lines.cloned().unwrap_or_default(), levels: levels.clone(), mark };
            if whole || !message.lines.is_empty() || !message.levels.is_empty() {
                seen.insert(*proxy, message);
            }
        }
        seen
    }

    fn list(&mut self, now: Duration, how: u8, entries: &[(usize, u8)]) -> BTreeMap<u16, Seen> {
        let text = settings_text();
        let entry = |(k, phase): &(usize, u8)| {
            let zone = (*k as u16 % 2).to_be_bytes();
            [&address(*k)[..], &zone, &[0, 0, 0, *phase], &1f32.to_be_bytes(), &[0; 8]].concat()
        };
        let bytes: Vec<u8> = entries.iter().flat_map(entry).collect();
        let (count, at) = ((entries.len() as u32).to_be_bytes(), (text.len() as u32).to_be_bytes());
        let mut events = vec![record(1140, &[&[0], &at, &count]), record(1010, &[&[how, 0, 0, 0, 1, 0]])];
        if how == 2 {
            events.insert(0, record(1000, &[&0x8c1fu64.to_be_bytes(), &0u32.to_be_bytes(), &at]));
        }
        self.batch(now, &events, &[text.as_bytes(), &bytes].concat())
    }
}

fn settings_text() -> String {
    "classes.count=2\nclasses.0.aimMs=900\nclasses.0.effect=retryable\nclasses.0.points=1\nclasses.1.aimMs=700\n\
     classes.1.effect=fragile\nclasses.1.points=3\nfamilyInfo.cycleMs=500\nfamilyInfo.dataPlaneSize=12\n\
     familyInfo.head=3\nfamilyInfo.linesPerS=8000\nfamilyInfo.mostWaiting=9000\nfamilyInfo.throttleBy=share\n\
     familyInfo.tryFactor=0.7\nfamilyInfo.worstTransitMs=400\ninvariants.askEveryMs=9000\n\
     invariants.warmUpMs=12000\nregistryMode=on_request\nreport.fields=cpu_share,pending\nreport.how=inline\n\
     allowed.probing=true\nzones=north,south"
        .into()
}

/// What the platform's proxies were told since this was last asked, parts of a message put together.
fn told(harness: &mut Harness, proxies: &BTreeSet<u16>) -> BTreeMap<u16, Seen> {
    let names = ["look up", "store"];
    let mut told = BTreeMap::new();
    for proxy in proxies {
        let messages = harness.written(u64::from(*proxy));
        let mut seen = Seen::default();
        for m in &messages {
            seen.whole |= m["whole"] == true;
            for line in m["lines"].as_array().into_iter().flatten() {
                seen.lines.insert(line[0].as_str().unwrap().into(), line[1].as_f64().unwrap() as f32);
            }
            if let Some(level) = m["level"].as_f64() {
                let classes = m.get("classes").and_then(Value::as_array);
                let meant = |k: &usize| classes.is_none_or(|c| c.contains(&json!(names[*k])));
                let level = (level as f32, m["retry"].as_u64().unwrap() as u8);
                seen.levels.extend((0..2).filter(meant).map(|k| (k, level)));
            }
            seen.mark = seen.mark.or(m["ticket"].as_u64());
        }
        if !messages.is_empty() {
            told.insert(*proxy, seen);
        }
    }
    told
}

#[rstest]
#[case::calm(0.5, 0)]
#[case::crowded(0.99, 5)]
fn orders_are_the_same_on_the_sockets_and_on_the_wire(#[case] busy: f64, #[case] dropped: u32) {
    let (mut harness, mut wire, mut proxies) = (Harness::new(8), Wire::default(), BTreeSet::new());
    wire.list(Duration::ZERO, 2, &(0..8).map(|k| (k, 1)).collect::<Vec<_>>());
    harness.open(900);
    harness.receive_message(900, &json!({"msg": "SOURCE", "locality": "north"}));
    let (mut messages, mut levelled) = (0, false);
    for step in 1..400u64 {
        let now = ms(step * 50);
        // Timers: each due token once, at the first step at or after its time.
        let due: Vec<_> = wire.timers.iter().filter(|t| t.0 <= now).copied().collect();
        let tokens: BTreeSet<u32> = due.iter().map(|t| t.1).collect();
        wire.timers.retain(|t| t.0 > now);
        let fired: Vec<_> = tokens.iter().map(|t| record(1020, &[&t.to_be_bytes()])).collect();
        let mut expected = if fired.is_empty() { BTreeMap::new() } else { wire.batch(now, &fired, &[]) };
        harness.now = now;
        harness.manager.timer_fired(now);
        assert_eq!(told(&mut harness, &proxies), expected, "timers at {now:?}");
        match step {
            s if s % 20 == 3 && proxies.len() < 12 => {
                let proxy = proxies.len() as u16;
                let zone = (proxy % 2).to_be_bytes();
                let event = record(1060, &[&proxy.to_be_bytes(), &zone, &[1], &3.5f32.to_be_bytes()]);
                expected = wire.batch(now, &[event], &[]);
                proxies.insert(proxy);
                harness.join(u64::from(proxy), u64::from(proxy));
            }
            90 | 91 => {
                expected = wire.list(now, 0, &[(2, 2), (5, 0)]);
                let changes = vec![server(2, "DRAINING", 0), server(5, "DELETED", 0)];
                harness.receive_list(Some(step - 87), &list(step - 86, false, changes)).unwrap();
            }
            s => {
                let k = s as usize % 8;
                // One that stands still would not be believed.
                let cpu = if k < 2 && dropped == 0 { busy * 0.4 } else { busy } - 0.001 * (s % 7) as f64;
                let report = [&[2][..], &(cpu as f32).to_be_bytes(), &1f32.to_be_bytes()].concat();
                let met = record(
                    1090,
                    &[
                        &dropped.to_be_bytes(),
                        &[0, 0],
                        &80f64.to_be_bytes(),
                        &500f64.to_be_bytes(),
                        &20u32.to_be_bytes(),
                        &address(k),
                        &report,
                    ],
                );
                let came = record(1100, &[&500f64.to_be_bytes(), &[0, 0], &[1], &20u32.to_be_bytes()]);
                expected = wire.batch(now, &[met, came], &[]);
                harness.receive_message(
                    900,
                    &json!({"msg": "LOAD", "locality": "north", "endpoint": format!("s{k}"), "total": 20,
                    "errors": dropped, "rtt": 80.0, "interval": 500.0,
                    "metrics": {"cpu_share": cpu as f32, "pending": 1.0}}),
                );
                harness.receive_message(
                    900,
                    &json!({"msg": "RATE", "node": 0, "route": "store", "total": 20, "errors": 0,
                    "interval": 500.0}),
                );
            }
        }
        let told = told(&mut harness, &proxies);
        levelled |= told.values().any(|s| s.levels.values().any(|l| l.0 < 1.0));
        messages += told.len();
        assert_eq!(told, expected, "step {step}");
    }
    assert!(messages > 15, "{messages}");
    assert_eq!(levelled, busy > 0.9 && dropped > 0, "levels are part of what is compared");
}
