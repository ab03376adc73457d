//! Measures how the cost of a fleet grows with its size, fits the curves and writes `docs/capacity`.
//!
//!     cargo bench -p grebespool-scale-bench                                   # all of it, with the usual sizes
//!     cargo bench -p grebespool-scale-bench -- --only fleet --planners 3,10,30,100
//!
//! Without `--only` the data and the chart in `--folder` are made anew; with it, results are printed only.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

mod args;
mod series;

use args::Arguments;
use clap::Parser;
use grebespool_scale_bench::capacity::{PlanFile, page, work_out};
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
        return renew_page(arguments);
    }
    arguments.check()?;
    let samples = series::measure(arguments, &allocated)?;
    let (slopes, unfit) = slopes(&samples);
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
    unfit.iter().for_each(|why| println!("not fitted: {why}"));
    if arguments.only.is_some() {
        return Ok(());
    }
    std::fs::create_dir_all(&arguments.folder)?;
    let remarks = remarks();
    write(&arguments.folder.join("samples.csv"), &remarks, &samples)?;
    write(&arguments.folder.join("slopes.csv"), &remarks, &slopes)?;
    chart(arguments, &samples)?;
    if arguments.folder.join("../CAPACITY.md").exists() { renew_page(arguments) } else { Ok(()) }
}

/// Makes the tables of the page anew from the data.
fn renew_page(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let plan = PlanFile::open(&arguments.folder.join("plan.toml"))?;
    let slopes: Vec<Slope> = read(&arguments.folder.join("slopes.csv"))?;
    let file = arguments.folder.join("../CAPACITY.md");
    let text = std::fs::read_to_string(&file)?;
    std::fs::write(&file, page::renew(&text, &page::tables(&plan, &work_out(&plan, &slopes)?))?)?;
    Ok(())
}

/// Where and how the data was made.
fn remarks() -> Vec<String> {
    let words = |program: &str, arguments: &[&str]| {
        let output = Command::new(program).args(arguments).output().ok();
        output.map_or("unknown".into(), |o| String::from_utf8_lossy(&o.stdout).trim().to_string())
    };
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let kernel = words("uname", &["-sm"]);
    vec![
        format!("commit {} and what was changed since", words("git", &["rev-parse", "--short", "HEAD"])),
        format!(
            "machine: {kernel}, {cores} cores; processor times are of its threads, not of a reference machine"
        ),
        "command: cargo bench -p grebespool-scale-bench".into(),
    ]
}

fn chart(arguments: &Arguments, samples: &[Sample]) -> Result<(), Box<dyn Error>> {
    /// The planners that the plan names, and the bytes a second that each may spend on control.
    const PLANNED: f64 = 13_000.0;
    const BYTES_PER_SECOND: f64 = 3_000.0;
    const IN_FORCE: f64 = 3.0;
    let of = |cost: &'static str| {
        curves(samples, move |s| {
            (s.swept == "planners" && s.cost == cost)
                .then(|| format!("{} ({:?})", s.series, s.kind).to_lowercase())
        })
    };
    let (bytes, in_force) = (of("bytes_per_planner"), of("in_force_p99"));
    let charts = [
        Chart {
            title: "Control traffic of one planner",
            size: "planners",
            cost: "bytes a second sent",
            curves: &bytes,
            budget: Some((BYTES_PER_SECOND, PLANNED)),
        },
        Chart {
            title: "From a change until it is in force, 99 of 100",
            size: "planners",
            cost: "seconds",
            curves: &in_force,
            budget: Some((IN_FORCE, PLANNED)),
        },
    ];
    draw(&arguments.folder.join("slopes.svg"), &charts)
}
