//! Feeds altered frames to the parser for a stated time: `cargo run --release -p grebespool-wire --example fuzz
//! -- SECONDS SEED`. A panic is a finding; so is a message that is not written as it was read. It says how many
//! inputs were tried and how many of them were read whole.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use grebespool_wire::*;
use std::time::{Duration, Instant};

/// Xorshift: the example brings no crate for chance.
struct Chance(u64);

impl Chance {
    fn below(&mut self, n: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % n.max(1) as u64) as usize
    }
}

fn samples() -> Vec<Vec<u8>> {
    let server = ServerId { addr: ([127, 0, 0, 1], 80).into(), number: 4 };
    let report = Some(Report { start: 1, number: 2, figures: vec![0.5, 2.0] });
    let levels = vec![Level { routes: 3, share: 0.5, tries: Tries::AfterFailure }];
    let parts = vec![
        Order::Bind { table: 1, version: 2, routes: 0, lines: vec![(server, 1.5); 3], levels },
        Order::Line { table: 1, version: 3, server, weight: 0.0 },
        Order::Withdraw { server, out: true },
        Order::Mark(9),
    ];
    let entry = Entry { server, zone: "east".into(), phase: Phase::Ready, started_ms: 8 };
    [
        Message::Hello { version: 1, role: Role::Proxy, name: "p".into(), nonce: [1; 16] },
        Message::Orders(Orders {
            epoch: 3,
            start: 1,
            stream: 2,
            seq: 3,
            ordered_us: 4,
            list: 5,
            cause: Cause::List,
            parts,
        }),
        Message::Sums {
            met: vec![MetLine { server, tries: 2, dropped: 1, wait_us: 3, report: report.clone() }; 2],
            came: vec![CameLine { route: 0, calls: 5 }],
        },
        Message::List { version: 2, base: 1, now_ms: 3, entries: vec![entry; 2] },
        Message::Probed { number: 1, state: ProbeState::Busy, report },
        Message::Bye { reason: Reason::Slow, text: "slow".into() },
    ]
    .iter()
    .map(Message::frame)
    .collect()
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(|a| a.parse::<u64>().expect("a whole number"));
    let (seconds, seed) = (arguments.next().unwrap_or(10), arguments.next().unwrap_or(1));
    let (mut chance, samples) = (Chance(seed | 1), samples());
    let (end, mut tried, mut read) = (Instant::now() + Duration::from_secs(seconds), 0u64, 0u64);
    while Instant::now() < end {
        for _ in 0..1000 {
            let mut frame = samples[chance.below(samples.len())].clone();
            for _ in 0..chance.below(4) {
                let at = chance.below(frame.len());
                match chance.below(4) {
                    0 => frame[at] = chance.below(256) as u8,
                    1 => frame.truncate(at.max(1)),
                    2 => frame.insert(at, chance.below(256) as u8),
                    _ => drop(frame.remove(at)),
                }
                if frame.is_empty() {
                    frame.push(0);
                }
            }
            tried += 1;
            let mut inbox = Inbox::new(1 << 12);
            let cut = chance.below(frame.len());
            inbox.take(&frame[..cut]);
            let mut messages = vec![];
            while let Ok(Some(m)) = inbox.message() {
                messages.push(m);
            }
            inbox.take(&frame[cut..]);
            while let Ok(Some(m)) = inbox.message() {
                messages.push(m);
            }
            for m in messages {
                read += 1;
                let again = m.frame();
                assert_eq!(
                    Message::read(&again[4..]).map(|m| m.frame()),
                    Ok(again),
                    "written otherwise: {m:?}"
                );
            }
        }
    }
    println!("{tried} inputs tried in {seconds} s, {read} messages read, none panicked");
}
