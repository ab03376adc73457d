//! Feeds altered frames to the decoder for a given time: `cargo run --release -p grebespool-wire --example fuzz
//! -- SECONDS SEED`. Panics if the decoder panics or if a decoded message does not survive another encoding and decoding.
//! Prints the number of inputs and of decoded messages.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_wire::{
    AdmissionRule, Change, Close, CloseReason, EndpointEntry, EndpointList, EndpointState, Exclusion,
    FrameDecoder, HealthCheckResponse, HealthStatus, Hello, Message, ProxyReport, RetryPolicy, Role,
    RouteLoad, ServerId, ServerLoad, ServerMetrics, ServerWeight, TableBinding, Update, UpdateCause,
    WeightChange,
};
use std::time::{Duration, Instant};

/// A xorshift generator, so that the example needs no crate for random numbers.
struct Random(u64);

impl Random {
    /// Returns a number below `n`; 0 if `n` is 0.
    fn below(&mut self, n: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % n.max(1) as u64) as usize
    }
}

/// Returns the frames of valid messages to alter.
fn samples() -> Vec<Vec<u8>> {
    let server = ServerId { addr: ([127, 0, 0, 1], 80).into(), number: 4 };
    let metrics = Some(ServerMetrics { incarnation: 1, sequence: 2, values: vec![0.5, 2.0] });
    let admission =
        vec![AdmissionRule { routes: 3, admitted_fraction: 0.5, retry_policy: RetryPolicy::AfterFailure }];
    let changes = vec![
        Change::BindTable(TableBinding {
            table: 1,
            version: 2,
            routes: 0,
            weights: vec![ServerWeight { server, weight: 1.5 }; 3],
            admission,
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
            changes,
        }),
        Message::ProxyReport(ProxyReport {
            servers: vec![
                ServerLoad {
                    server,
                    attempts: 2,
                    dropped: 1,
                    mean_latency_us: 3,
                    metrics: metrics.clone()
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
            metrics,
        }),
        Message::Close(Close { reason: CloseReason::TooSlow, text: "slow".into() }),
    ]
    .iter()
    .map(Message::to_frame)
    .collect()
}

fn main() {
    let mut arguments =
        std::env::args().skip(1).map(|argument| argument.parse::<u64>().expect("a whole number"));
    let (seconds, seed) = (arguments.next().unwrap_or(10), arguments.next().unwrap_or(1));
    let (mut random, samples) = (Random(seed | 1), samples());
    let (end, mut tried, mut decoded) = (Instant::now() + Duration::from_secs(seconds), 0u64, 0u64);
    while Instant::now() < end {
        for _ in 0..1000 {
            let mut frame = samples[random.below(samples.len())].clone();
            for _ in 0..random.below(4) {
                let at = random.below(frame.len());
                match random.below(4) {
                    0 => frame[at] = random.below(256) as u8,
                    1 => frame.truncate(at.max(1)),
                    2 => frame.insert(at, random.below(256) as u8),
                    _ => drop(frame.remove(at)),
                }
                if frame.is_empty() {
                    frame.push(0);
                }
            }
            tried += 1;
            let mut decoder = FrameDecoder::new(1 << 12);
            let cut = random.below(frame.len());
            decoder.push(&frame[..cut]);
            let mut messages = vec![];
            while let Ok(Some(message)) = decoder.next_message() {
                messages.push(message);
            }
            decoder.push(&frame[cut..]);
            while let Ok(Some(message)) = decoder.next_message() {
                messages.push(message);
            }
            for message in messages {
                decoded += 1;
                let encoded = message.to_frame();
                assert_eq!(
                    Message::decode(&encoded[4..]).map(|message| message.to_frame()),
                    Ok(encoded),
                    "encoded differently after decoding: {message:?}"
                );
            }
        }
    }
    println!("{tried} inputs tried in {seconds} s, {decoded} messages read, none panicked");
}
