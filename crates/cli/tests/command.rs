//! The program as a process: exit codes, standard output and standard error.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_controller_server::dial::{AppliedUpdate, Dialer, handshake};
use grebespool_wire::{FleetKey, Message, ProxyReport, Role, RouteLoad};
use rstest::rstest;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

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
fn a_command_ends_with_its_exit_code(#[case] arguments: &[&str], #[case] code: i32) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(code), "{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(code == 2, output.stdout.is_empty(), "bad input prints to standard error only");
}

/// Returns a short day with a deploy. `grace` is the time for which proxies may send requests to draining servers.
fn short_day(grace: &str) -> String {
    let small = include_str!("../../emulator/tests/small.ncl");
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
fn a_rehearsal_reports_a_broken_rule_by_its_exit_code(
    #[case] grace: &str,
    #[case] code: i32,
    #[case] expected: &str,
) {
    let (_folder, file) = written("day.ncl", &short_day(grace));
    let output = run(&["rehearse", &file]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(text.contains(expected), "{text}\n{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(output.status.code(), Some(code));
}

#[rstest]
fn a_short_key_is_rejected() {
    let text =
        std::fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/serve.ncl"));
    let (folder, file) = written("serve.ncl", &text.unwrap());
    std::fs::write(folder.path().join("fleet.key"), "short").unwrap();
    let output = run(&["serve", &file]);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("at least 16 bytes"));
}

#[rstest]
fn an_imported_log_can_be_shown_and_replayed() {
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
    assert!(text.contains("Recorded: 3 first calls") && text.contains("| as it is | 1.0000 |"), "{text}");
    assert_eq!(replayed.status.code(), Some(0));
}

const SERVE: &str = include_str!("../../../examples/serve.ncl");

/// Starts a planner as a process that records, and returns the process and its address.
fn recording_planner(folder: &Path, arguments: &[&str]) -> (Child, String) {
    let settings = folder.join("serve.ncl");
    std::fs::write(&settings, SERVE.replace("127.0.0.1:7401", "127.0.0.1:1")).unwrap();
    std::fs::write(folder.join("fleet.key"), KEY).unwrap();
    let mut planner = Command::new(env!("CARGO_BIN_EXE_grebespool-cli"))
        .args(["--log", "error", "serve", "serve.ncl", "--listen", "127.0.0.1:0"])
        .args(arguments)
        .current_dir(folder)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(planner.stdout.as_mut().unwrap()).read_line(&mut line).unwrap();
    (planner, line.trim().trim_start_matches("listening at ").to_string())
}

const KEY: &[u8] = b"the key of a recorded planner";

/// Joins, reports seven requests, stays for 300 ms and leaves.
async fn visit(to: &str, name: &str, zone: &str) {
    let mut socket = TcpStream::connect(to).await.unwrap();
    let peer = Dialer {
        role: Role::Proxy,
        name,
        zone,
        calls_per_s: 1.0,
        initial_table_only: true,
        applied: AppliedUpdate::default(),
        newest_term: 0,
    };
    handshake(&mut socket, &FleetKey::derive(KEY), [3; 16], &peer).await.unwrap();
    let sums =
        Message::ProxyReport(ProxyReport { servers: vec![], routes: vec![RouteLoad { route: 1, calls: 7 }] });
    socket.write_all(&sums.to_frame()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
}

#[rstest]
fn a_recording_of_a_running_planner_can_be_replayed() {
    let folder = tempfile::tempdir().unwrap();
    let (mut planner, address) = recording_planner(folder.path(), &["--record", "day.trace"]);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        visit(&address, "a", "east").await;
        visit(&address, "b", "west").await;
    });
    let stopped = Command::new("kill").args(["-TERM", &planner.id().to_string()]).status().unwrap();
    assert!(stopped.success() && planner.wait().unwrap().success());
    let trace = folder.path().join("day.trace").display().to_string();
    let shown = run(&["trace", "show", &trace]);
    let text = String::from_utf8_lossy(&shown.stdout);
    assert!(text.contains("2 proxies, 2 joins, 2 leaves"), "{text}");
    assert!(text.contains("14 calls told as counts") && text.contains("whole"), "{text}");
    // Variants are checked against the recorded deployment, not the day's: both have the same zones, but other routes.
    let replayed = run(&["replay", &trace, "--seeds", "1", "--set", "deployment.channel.most_waiting=18001"]);
    let text = String::from_utf8_lossy(&replayed.stderr);
    assert!(text.contains("channel.most_waiting: 18001 is beyond"), "{text}");
    assert_eq!(replayed.status.code(), Some(2));
    let set = ["--set", "deployment.servers.least_connections=200"];
    let replayed = run(&[&["replay", &trace, "--seeds", "1"][..], &set].concat());
    let text = String::from_utf8_lossy(&replayed.stdout);
    assert!(
        text.contains("14 calls were told as counts"),
        "{text}{}",
        String::from_utf8_lossy(&replayed.stderr)
    );
}

#[rstest]
fn a_recording_does_not_overwrite_an_existing_file() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("day.trace"), "kept").unwrap();
    let (mut planner, _) = recording_planner(folder.path(), &["--record", "day.trace"]);
    assert_eq!(planner.wait().unwrap().code(), Some(2));
    assert_eq!(std::fs::read(folder.path().join("day.trace")).unwrap(), b"kept");
}

#[rstest]
fn a_sweep_is_reported_and_reuses_its_runs() {
    let text = r#"{ name = "small", days = [{ name = "calm", set = ["length=\"3s\"", "troubles=[]"] }],
        variants = [{ name = "as it is" }, { name = "slow reports", set = ["deployment.reports.cycle=\"2s\""] }],
        seeds = 2 }"#;
    let (folder, file) = written("sweep.ncl", text);
    let out = folder.path().join("out").display().to_string();
    let first = run(&["experiment", &file, "--out", &out]);
    assert_eq!(first.status.code(), Some(0), "{}", String::from_utf8_lossy(&first.stderr));
    assert!(String::from_utf8_lossy(&first.stdout).contains("10 runs done, 0 kept"));
    let again = run(&["experiment", &file, "--out", &out]);
    assert!(String::from_utf8_lossy(&again.stdout).contains("0 runs done, 10 kept"));
    assert!(folder.path().join("out/calm/report.html").is_file());
}

#[rstest]
fn a_day_on_sockets_and_in_the_model_gives_similar_results() {
    let small = include_str!("../../emulator/tests/small.ncl");
    let text = format!("({small}) & {{ troubles = [] }}").replace("length = \"11s\"", "length = \"5s\"");
    let (_folder, file) = written("day.ncl", &text);
    let tolerance = ["--tolerance", "0.05", "--worst-tolerance", "0.1"];
    let compared = run(&[&["compare", &file, "--seeds", "1"][..], &tolerance].concat());
    let text = String::from_utf8_lossy(&compared.stdout);
    assert_eq!(compared.status.code(), Some(0), "{text}{}", String::from_utf8_lossy(&compared.stderr));
    assert!(text.contains("rules kept in both"), "{text}");
    let (_folder, file) = written("day.ncl", &short_day("50ms"));
    let broken = run(&[&["compare", &file, "--seeds", "1"][..], &tolerance].concat());
    assert!(String::from_utf8_lossy(&broken.stdout).contains("rules BROKEN"));
    assert_eq!(broken.status.code(), Some(1));
}

#[rstest]
#[case::no_recording(&["trace", "show", "Cargo.toml"], "this is no recording")]
#[case::no_file(&["trace", "show", "no-such.trace"], "no-such.trace")]
#[case::a_variant_without_a_name(&["replay", "--variant", "x=1"], "expected NAME: PATH=VALUE")]
#[case::no_such_field(&["replay", "--set", "deployment.colour=1"], "colour")]
#[case::no_seed(&["replay", "--seeds", "0"], "at least one")]
#[case::a_part_that_is_none(&["trace", "cut", "Cargo.toml", "x", "--from", "5", "--until", "2"], "not before")]
fn invalid_recordings_and_variants_are_rejected_with_the_reason(
    #[case] arguments: &[&str],
    #[case] expected: &str,
) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains(expected), "{text}");
}
