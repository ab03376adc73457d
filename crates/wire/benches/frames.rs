//! Measures how fast frames are decoded and encoded on one core, compared with copying the same bytes over loopback.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use divan::counter::{BytesCount, ItemsCount};
use divan::{Bencher, black_box};
use grebespool_wire::{
    Change, FrameDecoder, MAX_BODY_BYTES, Message, ProxyReport, RouteLoad, ServerId, ServerLoad,
    ServerMetrics, Update, UpdateCause, WeightChange,
};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

fn main() {
    divan::main();
}

/// Number of frames in each iteration.
const FRAMES: usize = 1000;

/// Returns the message that a planner sends most often: an update with a few changed weights.
fn small_update() -> Message {
    let server = |n: u16| ServerId { addr: ([127, 0, 0, 1], n).into(), number: n.into() };
    let set_weight =
        |n: u16| Change::SetWeight(WeightChange { table: 3, version: 9, server: server(n), weight: 1.25 });
    let mut changes: Vec<Change> = (0..12).map(set_weight).collect();
    changes.push(Change::RequestAck(7));
    Message::Update(Update {
        term: 3,
        incarnation: 1,
        stream: 2,
        sequence: 3,
        created_us: 4,
        endpoints_version: 5,
        cause: UpdateCause::Interval,
        changes,
    })
}

/// Returns the message that a planner receives most often: a report about a hundred servers.
fn proxy_report() -> Message {
    let load = |n: u16| ServerLoad {
        server: ServerId { addr: ([127, 0, 0, 1], n).into(), number: n.into() },
        attempts: 9,
        dropped: 1,
        mean_latency_us: 4000,
        metrics: Some(ServerMetrics { incarnation: 1, sequence: 2, values: vec![0.5, 3.0] }),
    };
    Message::ProxyReport(ProxyReport {
        servers: (0..100).map(load).collect(),
        routes: vec![RouteLoad { route: 0, calls: 900 }],
    })
}

/// Returns the bytes of [`FRAMES`] frames of a message.
fn frames(message: &Message) -> Vec<u8> {
    let mut out = vec![];
    (0..FRAMES).for_each(|_| message.write_frame(&mut out));
    out
}

// The report of a run shows the names of the benchmarks and of their arguments: do not rename.
#[divan::bench(args = ["orders", "sums"])]
fn parse(bencher: Bencher, which: &str) {
    let all = frames(&if which == "orders" { small_update() } else { proxy_report() });
    bencher.counter(ItemsCount::new(FRAMES)).counter(BytesCount::new(all.len())).bench(|| {
        let mut decoder = FrameDecoder::new(MAX_BODY_BYTES);
        for chunk in all.chunks(16 << 10) {
            decoder.push(chunk);
            while let Ok(Some(message)) = decoder.next_message() {
                black_box(message);
            }
        }
    });
}

#[divan::bench(args = ["orders", "sums"])]
fn write(bencher: Bencher, which: &str) {
    let message = if which == "orders" { small_update() } else { proxy_report() };
    let length = frames(&message).len();
    bencher
        .counter(ItemsCount::new(FRAMES))
        .counter(BytesCount::new(length))
        .bench(|| frames(black_box(&message)));
}

/// Copies the bytes of the same frames: one thread writes and another reads.
#[divan::bench(args = ["orders", "sums"])]
fn copy_over_loopback(bencher: Bencher, which: &str) {
    let all = frames(&if which == "orders" { small_update() } else { proxy_report() });
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let mut writer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut reader, _) = listener.accept().unwrap();
    bencher.counter(ItemsCount::new(FRAMES)).counter(BytesCount::new(all.len())).bench_local(|| {
        std::thread::scope(|scope| {
            scope.spawn(|| writer.write_all(&all).unwrap());
            let (mut buffer, mut remaining) = (vec![0; 16 << 10], all.len());
            while remaining > 0 {
                remaining -= reader.read(&mut buffer).unwrap();
            }
        });
    });
}
