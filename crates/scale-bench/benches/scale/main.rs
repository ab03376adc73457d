//! Measures how the cost of a fleet grows with its size, fits the curves and writes `docs/capacity`.
//!
//!     cargo bench -p grebespool-scale-bench                                   # all groups with their default sizes
//!     cargo bench -p grebespool-scale-bench -- --only fleet --planners 3,10,30,100
//!
//! Without `--only`, the data and the chart in `--folder` and the tables of the page are replaced; with `--only`, the results
//! are only printed.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

mod args;
mod series;

use args::Arguments;
use clap::Parser;
use grebespool_scale_bench::capacity::{PlanFile, estimate_capacity, page};
use grebespool_scale_bench::chart::{Chart, curves, draw};
use grebespool_scale_bench::sample::{Sample, Slope, read, slopes, write};
use peak_alloc::PeakAlloc;
use std::error::Error;
use std::process::{Command, ExitCode};

#[global_allocator]
static ALLOCATOR: PeakAlloc = PeakAlloc;

fn allocated() -> u64 {
    ALLOCATOR.current_usage() as u64
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("scale: {why}");
            ExitCode::from(2)
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    if arguments.page {
        return update_page(arguments);
    }
    arguments.check()?;
    let samples = series::measure(arguments, &allocated)?;
    let (slopes, not_fitted) = slopes(&samples);
    for slope in &slopes {
        println!(
            "{} [{}]: {}, {:.3e} + {:.3e} a unit (misses by {:.0}%), exponent {:.2}",
            slope.row,
            slope.unit,
            slope.shape,
            slope.intercept,
            slope.slope,
            100.0 * slope.worst_residual,
            slope.exponent
        );
    }
    not_fitted.iter().for_each(|why| println!("not fitted: {why}"));
    if arguments.only.is_some() {
        return Ok(());
    }
    std::fs::create_dir_all(&arguments.folder)?;
    let remarks = remarks();
    write(&arguments.folder.join("samples.csv"), &remarks, &samples)?;
    write(&arguments.folder.join("slopes.csv"), &remarks, &slopes)?;
    chart(arguments, &samples)?;
    if arguments.folder.join("../CAPACITY.md").exists() { update_page(arguments) } else { Ok(()) }
}

/// Replaces the tables of the page by those of the data.
fn update_page(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let plan = PlanFile::open(&arguments.folder.join("plan.toml"))?;
    let slopes: Vec<Slope> = read(&arguments.folder.join("slopes.csv"))?;
    let file = arguments.folder.join("../CAPACITY.md");
    let text = std::fs::read_to_string(&file)?;
    std::fs::write(&file, page::update(&text, &page::tables(&plan, &estimate_capacity(&plan, &slopes)?))?)?;
    Ok(())
}

/// Returns the commit, the machine and the command that the data comes from, as comment lines of the CSV files.
fn remarks() -> Vec<String> {
    let output_of = |program: &str, arguments: &[&str]| {
        let output = Command::new(program).args(arguments).output().ok();
        output.map_or("unknown".into(), |o| String::from_utf8_lossy(&o.stdout).trim().to_string())
    };
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let kernel = output_of("uname", &["-sm"]);
    vec![
        format!("commit {} and what was changed since", output_of("git", &["rev-parse", "--short", "HEAD"])),
        format!(
            "machine: {kernel}, {cores} cores; processor times are of its threads, not of a reference machine"
        ),
        "command: cargo bench -p grebespool-scale-bench".into(),
    ]
}

/// Draws `slopes.svg`.
fn chart(arguments: &Arguments, samples: &[Sample]) -> Result<(), Box<dyn Error>> {
    /// The number of planners of the plan.
    const PLANNED_PLANNERS: f64 = 13_000.0;
    /// The budget of the control traffic of one planner, in bytes per second.
    const TRAFFIC_BUDGET: f64 = 3_000.0;
    /// The limit of the time until a change is active everywhere, in seconds.
    const ACTIVATION_LIMIT_S: f64 = 3.0;
    let curves_of = |cost: &'static str| {
        curves(samples, move |s| {
            // The lower-cased Debug form of the planner's kind is part of the text of the chart.
            (s.swept == "planners" && s.cost == cost)
                .then(|| format!("{} ({:?})", s.series, s.kind).to_lowercase())
        })
    };
    let (bytes, activation_times) = (curves_of("bytes_per_planner"), curves_of("in_force_p99"));
    let charts = [
        Chart {
            title: "Control traffic of one planner",
            size: "planners",
            cost: "bytes a second sent",
            curves: &bytes,
            budget: Some((TRAFFIC_BUDGET, PLANNED_PLANNERS)),
        },
        Chart {
            title: "From a change until it is in force, 99 of 100",
            size: "planners",
            cost: "seconds",
            curves: &activation_times,
            budget: Some((ACTIVATION_LIMIT_S, PLANNED_PLANNERS)),
        },
    ];
    draw(&arguments.folder.join("slopes.svg"), &charts)
}
