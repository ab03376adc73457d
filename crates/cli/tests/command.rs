//! The command line as it is called: exit codes, what is printed where.

use rstest::rstest;
use std::path::Path;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_grebespool-cli"))
        .args(arguments)
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("../.."))
        .output()
        .unwrap()
}

fn written(name: &str, text: &str) -> (tempfile::TempDir, String) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join(name);
    std::fs::write(&file, text).unwrap();
    let file = file.display().to_string();
    (folder, file)
}

#[rstest]
#[case::nothing(&[], 2)]
#[case::no_such_command(&["fly"], 2)]
#[case::checked(&["settings", "check", "examples/serve.ncl"], 0)]
#[case::a_checked_day(&["settings", "check", "--kind", "day", "examples/bad-day.ncl"], 0)]
#[case::a_day_as_settings(&["settings", "check", "examples/bad-day.ncl"], 2)]
#[case::no_such_day(&["rehearse", "no-such-day.ncl"], 2)]
#[case::no_such_settings(&["serve", "no-such.ncl"], 2)]
#[case::a_filter_that_is_none(&["--log", "=,=", "settings", "check", "examples/serve.ncl"], 2)]
fn exit_codes(#[case] arguments: &[&str], #[case] code: i32) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(code), "{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(code == 2, output.stdout.is_empty(), "bad input is told on standard error alone");
}

/// A short day with a deploy; `grace` says how long proxies may go on sending to what drains.
fn short_day(grace: &str) -> String {
    let small = include_str!("../../standin/tests/small.ncl");
    let slow =
        "{ at = \"1s\", lasts = \"4s\", what = 'SlowOrders { delay = \"350ms\", bytes_per_s = 90000 } }";
    let deploy = "what = 'Deploy { servers = 2, every = \"100ms\", drain = \"2500ms\", down = \"200ms\" }";
    format!("({small}) & {{ troubles = [{slow}, {{ at = \"2s\", {deploy} }}] }}")
        .replace("length = \"11s\"", "length = \"6s\"")
        .replace("grace = \"2500ms\"", &format!("grace = {grace:?}"))
}

#[rstest]
#[case::kept("2500ms", 0, "3 drains kept within the grace: kept")]
#[case::broken("50ms", 1, "3 drains kept within the grace: BROKEN")]
fn a_rehearsal_with_the_planner_as_a_process_tells_by_its_exit_code(
    #[case] grace: &str,
    #[case] code: i32,
    #[case] says: &str,
) {
    let (_folder, file) = written("day.ncl", &short_day(grace));
    let output = run(&["rehearse", &file]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.contains(says), "{text}\n{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(output.status.code(), Some(code));
}

#[rstest]
fn a_short_key_is_refused() {
    let text =
        std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/serve.ncl"));
    let (folder, file) = written("serve.ncl", &text.unwrap());
    std::fs::write(folder.path().join("fleet.key"), "short").unwrap();
    let output = run(&["serve", &file]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("at least 16 bytes"));
}

#[rstest]
fn a_log_becomes_a_recording_that_can_be_shown_and_replayed() {
    let log = "ts,what,host,client\n0,read,a,1\n400,save,b,2\n900,read,a,1\n";
    let (folder, csv) = written("log.csv", log);
    let trace = folder.path().join("day.trace").display().to_string();
    let form = ["--form", "csv", "--due", "ts", "--route", "what", "--routes", "read=1,save=2,pay=3"];
    let fields = ["--proxy", "host", "--client", "client"];
    let import = run(&[&["trace", "import", &csv, &trace][..], &form, &fields].concat());
    assert_eq!(import.status.code(), Some(0), "{}", String::from_utf8_lossy(&import.stderr));
    let shown = run(&["trace", "show", &trace]);
    assert!(String::from_utf8_lossy(&shown.stdout).contains("3 calls, 0 of them repeats"));
    let set = ["--set", "length=\"3s\"", "--set", "troubles=[]"];
    let replayed = run(&[&["replay", &trace, "--seeds", "2"][..], &set].concat());
    let text = String::from_utf8_lossy(&replayed.stdout);
    assert!(text.contains("3 recorded first calls") && text.contains("| as it is | 1.0000 |"), "{text}");
    assert_eq!(replayed.status.code(), Some(0));
}

#[rstest]
#[case::no_recording(&["trace", "show", "Cargo.toml"], "this is no recording")]
#[case::no_file(&["trace", "show", "no-such.trace"], "no-such.trace")]
#[case::a_variant_without_a_name(&["replay", "--variant", "x=1"], "expected NAME: PATH=VALUE")]
#[case::no_such_field(&["replay", "--set", "deployment.colour=1"], "colour")]
#[case::no_seed(&["replay", "--seeds", "0"], "at least one")]
#[case::a_part_that_is_none(&["trace", "cut", "Cargo.toml", "x", "--from", "5", "--until", "2"], "not before")]
fn bad_recordings_and_variants_are_named(#[case] arguments: &[&str], #[case] says: &str) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains(says), "{text}");
}
