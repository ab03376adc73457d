//! A small stored recording replays to exactly the stored figures and report.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_replay::{RecordedDay, Replays, RunStore, Variant, replay, write_report};
use grebespool_settings::Day;
use rstest::rstest;
use std::path::{Path, PathBuf};

const BAD: &str = include_str!("../../../examples/bad-day.ncl");

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn variant(name: &str, values: &[&str]) -> Variant {
    let values: Vec<String> = values.iter().map(|v| v.to_string()).collect();
    let day = Day::parse_with(BAD, "the bad day", None, &values).unwrap_or_else(|bad| panic!("{bad}"));
    Variant { name: name.into(), day }
}

/// Replays the stored recording under two settings and two seeds.
fn replayed() -> Replays {
    let variants = [
        variant("recorded settings", &["length=\"6s\"", "troubles=[]"]),
        variant("reports every 2 s", &["length=\"6s\"", "troubles=[]", "deployment.reports.cycle=\"2s\""]),
    ];
    let recorded = RecordedDay::read(&fixture("recording.bin"), false, &variants[0].day).unwrap();
    replay(&variants, &[1, 2], Some(&recorded), 2, &|_| {}).unwrap()
}

#[rstest]
fn stored_recording_replays_to_the_stored_figures_and_report() {
    let folder = tempfile::tempdir().unwrap();
    write_report(folder.path(), "stored recording", &["fixture".into()], &replayed()).unwrap();
    for file in ["runs.json", "runs.csv", "report.md"] {
        let written = std::fs::read_to_string(folder.path().join(file)).unwrap();
        let stored = std::fs::read_to_string(fixture(file)).unwrap();
        assert_eq!(written, stored, "{file}");
    }
}

#[rstest]
fn stored_figures_are_read_and_encode_to_the_same_text() {
    let stored = std::fs::read_to_string(fixture("runs.json")).unwrap();
    let replays: Replays = serde_json::from_str(&stored).unwrap();
    assert_eq!(replays, replayed());
}

#[rstest]
fn stored_runs_of_a_sweep_are_read_without_a_damaged_line() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::copy(fixture("runs.jsonl"), folder.path().join("runs.jsonl")).unwrap();
    assert_eq!(RunStore::open(folder.path()).unwrap().damaged, 0);
}
