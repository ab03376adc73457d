//! Checks `docs/CAPACITY.md` against the data, and the checks of the plan file.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_scale_bench::capacity::{PlanError, PlanFile, estimate_capacity, page};
use grebespool_scale_bench::sample::{PlannerKind, Sample, Slope, read, slopes};
use rstest::rstest;
use std::path::{Path, PathBuf};

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/capacity")
}

fn tables() -> std::collections::BTreeMap<&'static str, Vec<String>> {
    let plan = PlanFile::open(&folder().join("plan.toml")).unwrap();
    let slopes: Vec<Slope> = read(&folder().join("slopes.csv")).unwrap();
    page::tables(&plan, &estimate_capacity(&plan, &slopes).unwrap())
}

fn text() -> String {
    std::fs::read_to_string(folder().join("../CAPACITY.md")).unwrap()
}

#[rstest]
fn the_tables_of_the_page_match_the_data() {
    let mismatches = page::check(&text(), &tables());
    assert!(
        mismatches.is_empty(),
        "cargo bench -p grebespool-scale-bench -- --page updates the tables: {mismatches:#?}"
    );
}

/// Alters every seventh digit of all tables, one at a time.
#[rstest]
fn an_altered_digit_in_a_table_is_one_mismatch() {
    let (text, tables) = (text(), tables());
    let is_in_table = |at: usize| {
        let (before, after) = text.split_at(at);
        let count = |s: &str, mark: &str| s.matches(mark).count();
        count(before, "<!-- table:") > count(before, "<!-- end:") && after.contains("<!-- end:")
    };
    let digits: Vec<usize> =
        text.char_indices().filter(|(_, c)| c.is_ascii_digit()).map(|(at, _)| at).collect();
    let in_tables: Vec<usize> = digits.into_iter().filter(|at| is_in_table(*at)).collect();
    assert!(in_tables.len() > 500, "{} digits", in_tables.len());
    for at in in_tables.into_iter().step_by(7) {
        let mut page = text.clone();
        let other = if &text[at..=at] == "9" { "8" } else { "9" };
        page.replace_range(at..=at, other);
        assert_eq!(page::check(&page, &tables).len(), 1, "at {at}");
    }
}

#[rstest]
fn a_page_without_a_marker_is_rejected() {
    let page = text().replace("<!-- end: stops -->", "");
    assert!(page::check(&page, &tables()).contains(&page::PageMismatch::NoMarkers("stops".into())));
    assert_eq!(page::update(&page, &tables()), Err(page::PageMismatch::NoMarkers("stops".into())));
}

#[rstest]
fn the_slopes_file_has_the_fits_of_the_samples_file() {
    let samples: Vec<Sample> = read(&folder().join("samples.csv")).unwrap();
    let stored: Vec<Slope> = read(&folder().join("slopes.csv")).unwrap();
    assert_eq!(slopes(&samples).0, stored);
    assert!(
        stored.iter().any(|s| s.kind == PlannerKind::Real)
            && stored.iter().any(|s| s.kind == PlannerKind::Hollow)
    );
}

#[rstest]
#[case(0.0, "0")]
#[case(1234.5, "1,230")]
#[case(0.012345, "0.0123")]
#[case(1e9, "1,000,000,000")]
#[case(12.0, "12.0")]
#[case(1.5e-12, "1.50e-12")]
fn numbers_are_written_with_three_significant_digits(#[case] value: f64, #[case] text: &str) {
    assert_eq!(page::three_digits(value), text);
}

#[rstest]
#[case::unknown_field("planners = 13_000", "planers = 13_000", "planers")]
#[case::zero_size("zones = 147", "zones = 0", "plan.zones: 0 has to be above zero")]
#[case::negative_size("servers = 50_000", "servers = -1", "plan.servers: -1 has to be above zero")]
#[case::more_regions_than_zones(
    "regions = 54",
    "regions = 200",
    "plan.regions: 200 is more than there are zones"
)]
#[case::budget_is_not_a_number(
    "planner_processor = 0.037",
    "planner_processor = nan",
    "budget.planner_processor: NaN"
)]
#[case::assumption_out_of_its_range(
    "value = 40\nlow = 24",
    "value = 400\nlow = 24",
    "assumption.server_entry_bytes: 400 is not within"
)]
#[case::zero_control_machines(
    "control_machines = 15",
    "control_machines = 0",
    "plan.control_machines: 0 has to be above"
)]
fn an_invalid_plan_is_rejected_with_its_field(#[case] good: &str, #[case] bad: &str, #[case] expected: &str) {
    let text = std::fs::read_to_string(folder().join("plan.toml")).unwrap();
    assert!(text.contains(good), "{good}");
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text.replace(good, bad)).unwrap();
    let why = PlanFile::open(file.path()).unwrap_err().to_string();
    assert!(why.contains(expected), "{why}");
}

#[rstest]
fn a_missing_curve_or_assumption_is_named_in_the_error() {
    let mut plan = PlanFile::open(&folder().join("plan.toml")).unwrap();
    let slopes: Vec<Slope> = read(&folder().join("slopes.csv")).unwrap();
    let fewer: Vec<Slope> = slopes.iter().filter(|s| s.row != "station/zones/allocated").cloned().collect();
    assert_eq!(
        estimate_capacity(&plan, &fewer).unwrap_err().to_string(),
        "slopes.csv: no row \"station/zones/allocated\""
    );
    plan.assumptions.retain(|a| a.name != "lease_s");
    assert!(
        matches!(plan.assumption("lease_s"), Err(PlanError::UnknownAssumption(name)) if name == "lease_s")
    );
    assert!(estimate_capacity(&plan, &slopes).is_err());
}
