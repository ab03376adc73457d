//! Frames parsed and written on one core, beside the same bytes copied plainly over loopback in the same run.

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

const FRAMES: usize = 1000;

/// What a planner sends and hears most: small changes, and sums of a hundred servers.
fn orders() -> Message {
    let server = |n: u16| ServerId { addr: ([127, 0, 0, 1], n).into(), number: n.into() };
    let line =
        |n: u16| Change::SetWeight(WeightChange { table: 3, version: 9, server: server(n), weight: 1.25 });
    let mut parts: Vec<Change> = (0..12).map(line).collect();
    parts.push(Change::RequestAck(7));
    Message::Update(Update {
        term: 3,
        incarnation: 1,
        stream: 2,
        sequence: 3,
        created_us: 4,
        endpoints_version: 5,
        cause: UpdateCause::Interval,
        changes: parts,
    })
}

fn sums() -> Message {
    let met = |n: u16| ServerLoad {
        server: ServerId { addr: ([127, 0, 0, 1], n).into(), number: n.into() },
        attempts: 9,
        dropped: 1,
        mean_latency_us: 4000,
        metrics: Some(ServerMetrics { incarnation: 1, sequence: 2, values: vec![0.5, 3.0] }),
    };
    Message::ProxyReport(ProxyReport {
        servers: (0..100).map(met).collect(),
        routes: vec![RouteLoad { route: 0, calls: 900 }],
    })
}

fn bytes(message: &Message) -> Vec<u8> {
    let mut out = vec![];
    (0..FRAMES).for_each(|_| message.write_frame(&mut out));
    out
}

#[divan::bench(args = ["orders", "sums"])]
fn parse(bencher: Bencher, which: &str) {
    let all = bytes(&if which == "orders" { orders() } else { sums() });
    bencher.counter(ItemsCount::new(FRAMES)).counter(BytesCount::new(all.len())).bench(|| {
        let mut inbox = FrameDecoder::new(MAX_BODY_BYTES);
        for part in all.chunks(16 << 10) {
            inbox.push(part);
            while let Ok(Some(message)) = inbox.next_message() {
                black_box(message);
            }
        }
    });
}

#[divan::bench(args = ["orders", "sums"])]
fn write(bencher: Bencher, which: &str) {
    let message = if which == "orders" { orders() } else { sums() };
    let length = bytes(&message).len();
    bencher
        .counter(ItemsCount::new(FRAMES))
        .counter(BytesCount::new(length))
        .bench(|| bytes(black_box(&message)));
}

/// The bytes of as many frames, written by one thread and read by another.
#[divan::bench(args = ["orders", "sums"])]
fn copy_over_loopback(bencher: Bencher, which: &str) {
    let all = bytes(&if which == "orders" { orders() } else { sums() });
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let mut to = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (mut from, _) = listener.accept().unwrap();
    bencher.counter(ItemsCount::new(FRAMES)).counter(BytesCount::new(all.len())).bench_local(|| {
        std::thread::scope(|scope| {
            scope.spawn(|| to.write_all(&all).unwrap());
            let (mut buffer, mut left) = (vec![0; 16 << 10], all.len());
            while left > 0 {
                left -= from.read(&mut buffer).unwrap();
            }
        });
    });
}
