//! Whole sites: what the command line says of a loss, and a loss played with several planners, a process each.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use rstest::rstest;
use std::path::Path;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> (Output, String) {
    let day = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/sites.ncl");
    let arguments = arguments.iter().map(|a| if *a == "DAY" { day.to_str().unwrap() } else { a });
    let out = Command::new(env!("CARGO_BIN_EXE_grebespool-cli")).args(arguments).output().unwrap();
    let said = String::from_utf8_lossy(&[out.stdout.clone(), out.stderr.clone()].concat()).into_owned();
    (out, said)
}

#[rstest]
// 3 sites of 8, 9 asked for: two of them fill to 0.9 with room to spare.
#[case::all_fits(&["sites", "plan", "DAY"], 0, "headroom left")]
#[case::a_burst_of_twice_as_much(&["sites", "plan", "DAY", "--fill", "0.4"], 1, "BELOW")]
#[case::two_at_a_time(&["sites", "plan", "DAY", "--pairs"], 0, "without core and left")]
#[case::a_part_that_is_none(&["sites", "plan", "DAY", "--service", "1.5"], 2, "--service 1.5")]
#[case::no_day(&["sites", "plan", "/nowhere.ncl"], 2, "/nowhere.ncl")]
#[case::a_site_without_servers(
    &["sites", "plan", "DAY", "--set", "servers=[{ zone = \"core\", count = 4 }]"], 2, "site \"left\"")]
fn a_plan(#[case] arguments: &[&str], #[case] exit: i32, #[case] says: &str) {
    let (out, said) = run(arguments);
    assert_eq!(out.status.code(), Some(exit), "{said}");
    assert!(said.contains(says), "{said}");
}

/// A site goes with its planner amid a deploy, a planner is killed in mid-return, another site is cut off: the five rules
/// are kept over all planners, and what was there before is served.
#[rstest]
fn a_site_lost_with_its_planner_under_planners_that_share_nothing() {
    let (out, said) = run(&["rehearse", "DAY", "--planner", "several"]);
    assert_eq!(out.status.code(), Some(0), "{said}");
    let service =
        said.lines().find_map(|l| l.strip_prefix("service ")?.split(',').next()?.parse::<f64>().ok());
    assert!(service.is_some_and(|s| s > 0.85), "{said}");
}
