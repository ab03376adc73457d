//! Feeds altered frames to the parser for a stated time: `cargo run --release -p grebespool-wire --example fuzz
//! -- SECONDS SEED`. A panic is a finding; so is a message that is not written as it was read. It says how many
//! inputs were tried and how many of them were read whole.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_wire::{
    AdmissionRule, Change, Close, CloseReason, EndpointEntry, EndpointList, EndpointState, Exclusion,
    FrameDecoder, HealthCheckResponse, HealthStatus, Hello, Message, ProxyReport, RetryPolicy, Role,
    RouteLoad, ServerId, ServerLoad, ServerMetrics, ServerWeight, TableBinding, Update, UpdateCause,
    WeightChange,
};
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
    let report = Some(ServerMetrics { incarnation: 1, sequence: 2, values: vec![0.5, 2.0] });
    let levels =
        vec![AdmissionRule { routes: 3, admitted_fraction: 0.5, retry_policy: RetryPolicy::AfterFailure }];
    let parts = vec![
        Change::BindTable(TableBinding {
            table: 1,
            version: 2,
            routes: 0,
            weights: vec![ServerWeight { server, weight: 1.5 }; 3],
            admission: levels,
        }),
        Change::SetWeight(WeightChange { table: 1, version: 3, server, weight: 0.0 }),
        Change::Exclude(Exclusion { server, excluded: true }),
        Change::RequestAck(9),
    ];
    let entry = EndpointEntry { server, zone: "east".into(), state: EndpointState::Ready, started_ms: 8 };
    [
        Message::Hello(Hello { version: 1, role: Role::Proxy, name: "p".into(), nonce: [1; 16] }),
        Message::Update(Update {
            term: 3,
            incarnation: 1,
            stream: 2,
            sequence: 3,
            created_us: 4,
            endpoints_version: 5,
            cause: UpdateCause::EndpointsChanged,
            changes: parts,
        }),
        Message::ProxyReport(ProxyReport {
            servers: vec![
                ServerLoad {
                    server,
                    attempts: 2,
                    dropped: 1,
                    mean_latency_us: 3,
                    metrics: report.clone()
                };
                2
            ],
            routes: vec![RouteLoad { route: 0, calls: 5 }],
        }),
        Message::EndpointList(EndpointList {
            version: 2,
            base_version: 1,
            now_ms: 3,
            entries: vec![entry; 2],
        }),
        Message::HealthCheckResponse(HealthCheckResponse {
            server_number: 1,
            status: HealthStatus::Busy,
            metrics: report,
        }),
        Message::Close(Close { reason: CloseReason::TooSlow, text: "slow".into() }),
    ]
    .iter()
    .map(Message::to_frame)
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
            let mut inbox = FrameDecoder::new(1 << 12);
            let cut = chance.below(frame.len());
            inbox.push(&frame[..cut]);
            let mut messages = vec![];
            while let Ok(Some(m)) = inbox.next_message() {
                messages.push(m);
            }
            inbox.push(&frame[cut..]);
            while let Ok(Some(m)) = inbox.next_message() {
                messages.push(m);
            }
            for m in messages {
                read += 1;
                let again = m.to_frame();
                assert_eq!(
                    Message::decode(&again[4..]).map(|m| m.to_frame()),
                    Ok(again),
                    "written otherwise: {m:?}"
                );
            }
        }
    }
    println!("{tried} inputs tried in {seconds} s, {read} messages read, none panicked");
}
