//! Command line arguments of the benchmark.
//!
//! The doc comments of the types and fields are the text that `--help` prints, and their names are the flags.

use clap::{Parser, ValueEnum};
use std::path::PathBuf;

/// Groups of curves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Group {
    /// Hollow planners: election, tasks and configuration consensus.
    Fleet,
    /// The configuration's content, by its entries.
    Content,
    /// The platform's planner, hollow, by servers, routes, zones and proxies.
    Station,
    /// Real planners as processes.
    Processes,
}

/// Measures how the cost of a fleet grows with its size.
#[derive(Debug, Parser)]
pub struct Arguments {
    /// Measure only this group, and print what it gave.
    #[arg(long)]
    pub only: Option<Group>,
    /// How many hollow planners.
    #[arg(long, value_delimiter = ',', default_values_t = [3, 10, 30, 100, 300, 1000])]
    pub planners: Vec<usize>,
    /// How many real members of one fleet.
    #[arg(long, value_delimiter = ',', default_values_t = [3, 6, 12, 24])]
    pub members: Vec<usize>,
    /// How many real planners that share nothing.
    #[arg(long, value_delimiter = ',', default_values_t = [3, 10, 30, 100])]
    pub processes: Vec<usize>,
    /// How many servers a planner's list has.
    #[arg(long, value_delimiter = ',', default_values_t = [30, 100, 300, 1000, 3000])]
    pub servers: Vec<usize>,
    /// How many entries a configuration has.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 1000, 10_000, 50_000])]
    pub entries: Vec<usize>,
    /// Changes of the configuration a day.
    #[arg(long, value_delimiter = ',', default_values_t = [4000.0, 16_000.0, 64_000.0, 256_000.0])]
    pub changes_a_day: Vec<f64>,
    /// Restarts a day.
    #[arg(long, value_delimiter = ',', default_values_t = [1000.0, 11_000.0, 44_000.0, 110_000.0])]
    pub restarts_a_day: Vec<f64>,
    /// Measure nothing: make the tables of docs/CAPACITY.md anew from the data in the folder.
    #[arg(long)]
    pub page: bool,
    /// Where the data and the chart go.
    #[arg(long, default_value = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/capacity"))]
    pub folder: PathBuf,
    /// Passed by cargo.
    #[arg(long, hide = true)]
    pub bench: bool,
}

impl Arguments {
    /// Checks the sizes and rates.
    ///
    /// # Errors
    ///
    /// Returns an error with the first argument that has a size of zero or a rate that is not above zero.
    pub fn check(&self) -> Result<(), String> {
        let counts = [
            ("planners", &self.planners),
            ("members", &self.members),
            ("processes", &self.processes),
            ("servers", &self.servers),
            ("entries", &self.entries),
        ];
        if let Some((name, _)) = counts.iter().find(|(_, sizes)| sizes.contains(&0)) {
            return Err(format!("--{name}: size 0; expected one or more"));
        }
        let rates = [("changes-a-day", &self.changes_a_day), ("restarts-a-day", &self.restarts_a_day)];
        let is_invalid = |rate: &f64| !(rate.is_finite() && *rate > 0.0);
        match rates.iter().find(|(_, rates)| rates.iter().any(is_invalid)) {
            Some((name, _)) => Err(format!("--{name}: expected rates above zero")),
            None => Ok(()),
        }
    }
}
