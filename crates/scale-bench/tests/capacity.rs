//! The page on capacity is what the data say, and the plan's file is checked.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use grebespool_scale_bench::capacity::{BadPlan, PlanFile, page, work_out};
use grebespool_scale_bench::sample::{PlannerKind, Sample, Slope, read, slopes};
use rstest::rstest;
use std::path::{Path, PathBuf};

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/capacity")
}

fn tables() -> std::collections::BTreeMap<&'static str, Vec<String>> {
    let plan = PlanFile::open(&folder().join("plan.toml")).unwrap();
    let slopes: Vec<Slope> = read(&folder().join("slopes.csv")).unwrap();
    page::tables(&plan, &work_out(&plan, &slopes).unwrap())
}

fn text() -> String {
    std::fs::read_to_string(folder().join("../CAPACITY.md")).unwrap()
}

#[rstest]
fn the_page_is_what_the_data_say() {
    let differs = page::check(&text(), &tables());
    assert!(
        differs.is_empty(),
        "cargo bench -p grebespool-scale-bench -- --page makes it anew: {differs:#?}"
    );
}

/// Each table's every figure: one digit altered is found.
#[rstest]
fn an_altered_figure_is_found() {
    let (text, tables) = (text(), tables());
    let inside = |at: usize| {
        let (before, after) = text.split_at(at);
        let table = |s: &str, mark: &str| s.matches(mark).count();
        table(before, "<!-- table:") > table(before, "<!-- end:") && after.contains("<!-- end:")
    };
    let digits: Vec<usize> =
        text.char_indices().filter(|(_, c)| c.is_ascii_digit()).map(|(at, _)| at).collect();
    let altered: Vec<usize> = digits.into_iter().filter(|at| inside(*at)).collect();
    assert!(altered.len() > 500, "{} digits", altered.len());
    for at in altered.into_iter().step_by(7) {
        let mut page = text.clone();
        let other = if &text[at..=at] == "9" { "8" } else { "9" };
        page.replace_range(at..=at, other);
        assert_eq!(page::check(&page, &tables).len(), 1, "at {at}");
    }
}

#[rstest]
fn a_page_without_its_markers_is_refused() {
    let page = text().replace("<!-- end: stops -->", "");
    assert!(page::check(&page, &tables()).contains(&page::Differs::NoMarkers("stops".into())));
    assert_eq!(page::renew(&page, &tables()), Err(page::Differs::NoMarkers("stops".into())));
}

/// The slopes are the fits of the samples beside them.
#[rstest]
fn the_slopes_are_those_of_the_samples() {
    let samples: Vec<Sample> = read(&folder().join("samples.csv")).unwrap();
    let kept: Vec<Slope> = read(&folder().join("slopes.csv")).unwrap();
    assert_eq!(slopes(&samples).0, kept);
    assert!(
        kept.iter().any(|s| s.kind == PlannerKind::Real)
            && kept.iter().any(|s| s.kind == PlannerKind::Hollow)
    );
}

#[rstest]
#[case(0.0, "0")]
#[case(1234.5, "1,230")]
#[case(0.012345, "0.0123")]
#[case(1e9, "1,000,000,000")]
#[case(12.0, "12.0")]
#[case(1.5e-12, "1.50e-12")]
fn figures_have_three_digits(#[case] value: f64, #[case] text: &str) {
    assert_eq!(page::figure(value), text);
}

#[rstest]
#[case::a_field_that_is_unknown("planners = 13_000", "planers = 13_000", "planers")]
#[case::a_size_of_nought("zones = 147", "zones = 0", "plan.zones: 0 has to be above zero")]
#[case::below_nought("servers = 50_000", "servers = -1", "plan.servers: -1 has to be above zero")]
#[case::more_regions_than_zones(
    "regions = 54",
    "regions = 200",
    "plan.regions: 200 is more than there are zones"
)]
#[case::no_budget("planner_processor = 0.037", "planner_processor = nan", "budget.planner_processor: NaN")]
#[case::beyond_its_range(
    "value = 40\nlow = 24",
    "value = 400\nlow = 24",
    "assumption.server_entry_bytes: 400 is not within"
)]
#[case::no_control_machine(
    "control_machines = 15",
    "control_machines = 0",
    "plan.control_machines: 0 has to be above"
)]
fn a_plan_that_cannot_be_is_refused_by_field(#[case] good: &str, #[case] bad: &str, #[case] says: &str) {
    let text = std::fs::read_to_string(folder().join("plan.toml")).unwrap();
    assert!(text.contains(good), "{good}");
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text.replace(good, bad)).unwrap();
    let why = PlanFile::open(file.path()).unwrap_err().to_string();
    assert!(why.contains(says), "{why}");
}

#[rstest]
fn a_missing_curve_or_assumption_is_named() {
    let mut plan = PlanFile::open(&folder().join("plan.toml")).unwrap();
    let slopes: Vec<Slope> = read(&folder().join("slopes.csv")).unwrap();
    let fewer: Vec<Slope> = slopes.iter().filter(|s| s.row != "station/zones/allocated").cloned().collect();
    assert_eq!(
        work_out(&plan, &fewer).unwrap_err().to_string(),
        "slopes.csv: no row \"station/zones/allocated\""
    );
    plan.assumptions.retain(|a| a.name != "lease_s");
    assert!(matches!(plan.assumed("lease_s"), Err(BadPlan::Unknown(name)) if name == "lease_s"));
    assert!(work_out(&plan, &slopes).is_err());
}
