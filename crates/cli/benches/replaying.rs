//! Measures the speed and the memory of the model, with and without a recording, in one run. Each measurement is a process
//! of its own (this program again), because it includes peak memory.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_replay::{Job, RecordedDay};
use grebespool_settings::{Day, Span};
use grebespool_simulation::{PlannedBy, simulate};
use grebespool_trace::{Call, Event, Timed, Writer};
use std::fs::File;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

const BAD: &str = include_str!("../../../examples/bad-day.ncl");

/// Returns a day of two zones with a rolling deploy and slow servers.
fn day(proxies: usize, servers: usize, calls_per_s: f64, seconds: u64) -> Day {
    let mut day = Day::parse(BAD, "the bad day").unwrap_or_else(|bad| panic!("{bad}"));
    day.length = Span(Duration::from_secs(seconds));
    day.deployment.proxies.expected = proxies;
    (day.deployment.channel.lines_per_s, day.deployment.channel.most_waiting) = (60_000.0, 60_000.0);
    day.deployment.channel.most_messages = 0;
    day.servers.truncate(2);
    day.proxies.remove(1);
    for kind in &mut day.servers {
        kind.count = servers / 2;
    }
    for kind in &mut day.proxies {
        kind.count = proxies / 2;
    }
    let whole: f64 = day.callers.iter().map(|c| c.rate).sum();
    for kind in &mut day.callers {
        kind.rate *= calls_per_s / whole;
    }
    day.troubles.retain(|t| t.at.0 < Duration::from_secs(12));
    day
}

fn peak_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmHWM")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn pace(proxies: usize, servers: usize, calls_per_s: f64, seconds: u64) {
    let day = day(proxies, servers, calls_per_s, seconds);
    let began = Instant::now();
    let played = simulate(&day, PlannedBy::Planner, None, &mut |_, _| {}).unwrap();
    let took = began.elapsed().as_secs_f64();
    println!(
        "| {proxies} x {servers} | {calls_per_s:.0} | {:.1} | {:.0} | {:.0} | {:.4} | {} | {:.0} |",
        seconds as f64 / took,
        played.service.requests() as f64 / took,
        played.events as f64 / took,
        played.service.overall,
        if played.kept() { "kept" } else { "BROKEN" },
        peak_kib() as f64 / 1024.0
    );
}

/// Writes a recording of `count` requests and replays it.
fn many_calls(count: u64, folder: &Path) {
    let day = day(160, 160, 2000.0, 60);
    let path = folder.join("calls.trace");
    let mut writer = Writer::new(std::io::BufWriter::new(File::create(&path).unwrap())).unwrap();
    for i in 0..count {
        let call = Call {
            route: (i % 3) as u8,
            key: i % 1000,
            importance: 1.0,
            client: Some(i),
            proxy: (i % 160) as u32,
            work_us: Some(40_000),
            repeat: false,
        };
        writer.put(Timed { at_us: 2_000_000 + i * 500, event: Event::Call(call) }).unwrap();
    }
    writer.finish().unwrap();
    let stored = std::fs::metadata(&path).unwrap().len();
    let began = Instant::now();
    let recorded = RecordedDay::read(&path, false, &day).unwrap();
    let read = began.elapsed().as_secs_f64();
    let day = recorded.stats.without_recorded_troubles(&day);
    let outcome =
        Job { day: &day, seed: 1, by: PlannedBy::Planner, recorded: Some(&recorded) }.run().unwrap();
    println!(
        "| {count} | {:.1} | {:.1} | {:.0} | {:.4} | {:.0} |",
        stored as f64 / count as f64,
        read,
        outcome.service.requests() as f64 / (began.elapsed().as_secs_f64() - read),
        outcome.service.overall,
        peak_kib() as f64 / 1024.0
    );
}

/// Runs this program again with other arguments.
fn run_alone(arguments: &[&str]) {
    let program = std::env::current_exe().unwrap();
    assert!(Command::new(program).args(arguments).status().unwrap().success());
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).filter(|a| a != "--bench").collect();
    let number = |i: usize| arguments[i].parse::<u64>().unwrap();
    match arguments.first().map(String::as_str) {
        Some("pace") => {
            return pace(number(1) as usize, number(2) as usize, number(3) as f64, number(4));
        }
        Some("calls") => return many_calls(number(1), Path::new(&arguments[2])),
        _ => {}
    }
    println!(
        "| proxies x servers | calls/s | simulated s/s | calls/s of a core | events/s | service | rules | peak MiB |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    run_alone(&["pace", "12", "12", "150", "56"]);
    run_alone(&["pace", "160", "160", "2000", "30"]);
    run_alone(&["pace", "620", "474", "6000", "30"]);
    let folder = tempfile::tempdir().unwrap();
    let to = folder.path().display().to_string();
    println!("\n| recorded calls | bytes each | read, s | calls/s of a core | service | peak MiB |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for count in ["100000", "1000000", "10000000"] {
        run_alone(&["calls", count, &to]);
    }
}
