//! Frames parsed and written on one core, beside the same bytes copied plainly over loopback in the same run.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use divan::counter::{BytesCount, ItemsCount};
use divan::{Bencher, black_box};
use grebespool_wire::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

fn main() {
    divan::main();
}

const FRAMES: usize = 1000;

/// What a planner sends and hears most: small changes, and sums of a hundred servers.
fn orders() -> Message {
    let server = |n: u16| ServerId { addr: ([127, 0, 0, 1], n).into(), number: n.into() };
    let line = |n: u16| Order::Line { table: 3, version: 9, server: server(n), weight: 1.25 };
    let mut parts: Vec<Order> = (0..12).map(line).collect();
    parts.push(Order::Mark(7));
    Message::Orders(Orders {
        epoch: 3,
        start: 1,
        stream: 2,
        seq: 3,
        ordered_us: 4,
        list: 5,
        cause: Cause::Interval,
        parts,
    })
}

fn sums() -> Message {
    let met = |n: u16| MetLine {
        server: ServerId { addr: ([127, 0, 0, 1], n).into(), number: n.into() },
        tries: 9,
        dropped: 1,
        wait_us: 4000,
        report: Some(Report { start: 1, number: 2, figures: vec![0.5, 3.0] }),
    };
    Message::Sums { met: (0..100).map(met).collect(), came: vec![CameLine { route: 0, calls: 900 }] }
}

fn bytes(message: &Message) -> Vec<u8> {
    let mut out = vec![];
    (0..FRAMES).for_each(|_| message.write(&mut out));
    out
}

#[divan::bench(args = ["orders", "sums"])]
fn parse(bencher: Bencher, which: &str) {
    let all = bytes(&if which == "orders" { orders() } else { sums() });
    bencher.counter(ItemsCount::new(FRAMES)).counter(BytesCount::new(all.len())).bench(|| {
        let mut inbox = Inbox::new(MOST_BODY);
        for part in all.chunks(16 << 10) {
            inbox.take(part);
            while let Ok(Some(message)) = inbox.message() {
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
