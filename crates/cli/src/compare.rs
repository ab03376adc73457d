//! `compare`: the same day on sockets and in the model.

use crate::rehearse::{BAD_DAY, Runs, host};
use clap::Args;
use grebespool_emulator::rehearse;
use grebespool_server_model::ServiceLevel;
use grebespool_settings::Day;
use grebespool_simulation::{PlannedBy, model};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Args)]
pub struct CompareArguments {
    /// A day file; the built-in bad day if left out
    day: Option<PathBuf>,
    /// Days on sockets, one after another, and seeds in the model
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// The most by which the mean services may differ
    #[arg(long, default_value_t = 0.015)]
    tolerance: f64,
    /// The most by which the mean services of the worst ten seconds may differ
    #[arg(long, default_value_t = 0.05)]
    worst_tolerance: f64,
    /// Run the planner as a process of its own, or as a thread of this one
    #[arg(long, value_enum, default_value = "process")]
    planner: Runs,
}

type Figure = (&'static str, fn(&ServiceLevel) -> f64);

/// What is shown of both.
const FIGURES: [Figure; 10] = [
    ("service", |s| s.overall),
    ("worst 10 s", |s| s.worst),
    ("p50 ms", |s| s.p50_ms),
    ("p99 ms", |s| s.p99_ms),
    ("turned away", |s| s.rejected() as f64),
    ("late", |s| s.late() as f64),
    ("failed", |s| s.failed() as f64),
    ("tries a call", |s| s.attempts_per_request),
    ("connections", |s| s.connections as f64),
    ("lines ordered", |s| s.entries as f64),
];

pub fn compare(a: &CompareArguments) -> Result<ExitCode, String> {
    let day = match &a.day {
        Some(file) => Day::read(file),
        None => Day::parse(BAD_DAY, "the built-in bad day"),
    };
    let mut day = day.map_err(|bad| bad.to_string())?;
    if a.seeds == 0 {
        return Err("--seeds 0: at least one".into());
    }
    let (mut sockets, mut modelled, mut kept) = (vec![], vec![], true);
    for seed in (0..a.seeds).map(|i| day.seed + i).collect::<Vec<_>>() {
        day.seed = seed;
        let accounts = tempfile::tempdir().map_err(|e| e.to_string())?;
        let played = rehearse(&day, host(a.planner, &day, accounts.path())?, None, None)
            .map_err(|e| format!("the day broke off: {e}"))?;
        kept &= played.kept();
        sockets.push(played.service);
        let played = model(&day, PlannedBy::Planner, None, &mut |_, _| {}).map_err(|why| why.to_string())?;
        kept &= played.kept();
        modelled.push(played.service);
    }
    let spread = |all: &[ServiceLevel], of: fn(&ServiceLevel) -> f64| {
        let values = all.iter().map(of);
        let (least, most) = values.clone().fold((f64::MAX, f64::MIN), |(l, m), v| (l.min(v), m.max(v)));
        (values.sum::<f64>() / all.len() as f64, least, most)
    };
    println!("| {} seeds | on sockets | least to most | in the model | least to most |", a.seeds);
    println!("| --- | --- | --- | --- | --- |");
    let shown = |v: f64| if v.abs() < 10.0 { format!("{v:.4}") } else { format!("{v:.0}") };
    for (name, of) in FIGURES {
        let ((s, s0, s1), (m, m0, m1)) = (spread(&sockets, of), spread(&modelled, of));
        println!(
            "| {name} | {} | {} to {} | {} | {} to {} |",
            shown(s),
            shown(s0),
            shown(s1),
            shown(m),
            shown(m0),
            shown(m1)
        );
    }
    let apart = |of: fn(&ServiceLevel) -> f64| (spread(&sockets, of).0 - spread(&modelled, of).0).abs();
    let (whole, worst) = (apart(|s| s.overall), apart(|s| s.worst));
    println!(
        "\nservice {whole:.4} apart (at most {}), worst ten seconds {worst:.4} (at most {}); rules {}",
        a.tolerance,
        a.worst_tolerance,
        if kept { "kept in both" } else { "BROKEN" }
    );
    let alike = whole <= a.tolerance && worst <= a.worst_tolerance && kept;
    Ok(if alike { ExitCode::SUCCESS } else { ExitCode::from(1) })
}
