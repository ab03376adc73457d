//! Losses of whole sites: plans on the command line, and a day with several planners, a process each.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use rstest::rstest;
use std::path::Path;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> (Output, String) {
    let day = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/sites.ncl");
    let arguments = arguments.iter().map(|a| if *a == "DAY" { day.to_str().unwrap() } else { a });
    let out = Command::new(env!("CARGO_BIN_EXE_grebespool-cli")).args(arguments).output().unwrap();
    let output = String::from_utf8_lossy(&[out.stdout.clone(), out.stderr.clone()].concat()).into_owned();
    (out, output)
}

#[rstest]
// Three sites with a capacity of 8 each and a demand of 9: two sites at a utilization of 0.9 have capacity to spare.
#[case::all_fits(&["sites", "plan", "DAY"], 0, "headroom left")]
#[case::a_burst_of_twice_as_much(&["sites", "plan", "DAY", "--fill", "0.4"], 1, "BELOW")]
#[case::two_at_a_time(&["sites", "plan", "DAY", "--pairs"], 0, "without core and left")]
#[case::a_part_that_is_none(&["sites", "plan", "DAY", "--service", "1.5"], 2, "--service 1.5")]
#[case::no_day(&["sites", "plan", "/nowhere.ncl"], 2, "/nowhere.ncl")]
#[case::a_site_without_servers(
    &["sites", "plan", "DAY", "--set", "servers=[{ zone = \"core\", count = 4 }]"], 2, "site \"left\"")]
fn a_plan_reports_losses_and_rejects_invalid_input(
    #[case] arguments: &[&str],
    #[case] exit: i32,
    #[case] expected: &str,
) {
    let (out, output) = run(arguments);
    assert_eq!(out.status.code(), Some(exit), "{output}");
    assert!(output.contains(expected), "{output}");
}

/// A site is lost with its planner during a deploy, a planner is killed during the site's return, and another site is cut
/// off. The five rules are kept over all planners, and the service stays above its bound.
#[rstest]
fn a_site_lost_with_its_planner_under_planners_that_share_nothing() {
    let (out, output) = run(&["rehearse", "DAY", "--planner", "several"]);
    assert_eq!(out.status.code(), Some(0), "{output}");
    let service =
        output.lines().find_map(|l| l.strip_prefix("service ")?.split(',').next()?.parse::<f64>().ok());
    assert!(service.is_some_and(|s| s > 0.85), "{output}");
}
