//! Measured costs as rows of a CSV file, and the slopes that are fitted to them.

use crate::fit::{Fit, Point, Unfit};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// How the measured planners were run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlannerKind {
    /// The program, as a process of its own on loopback.
    Real,
    /// The program's state machines and codecs under a simulated clock.
    Hollow,
}

/// One measured cost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Which measurement it belongs to; curves are told apart by it.
    pub series: String,
    /// How the planners were run.
    pub kind: PlannerKind,
    /// What was swept.
    pub swept: String,
    /// How much of it there was.
    pub size: f64,
    /// What was counted.
    pub cost: String,
    /// The unit of the value.
    pub unit: String,
    /// What it came to.
    pub value: f64,
}

/// The fit of one curve, as it is kept in `slopes.csv`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Names the row: series, what was swept and the cost.
    pub row: String,
    /// How the planners were run.
    pub kind: PlannerKind,
    /// The unit of the cost.
    pub unit: String,
    /// `flat`, `linear` or `power`.
    pub shape: String,
    /// The cost at size zero, by the line.
    pub intercept: f64,
    /// The cost for each unit of size, by the line.
    pub slope: f64,
    /// The largest relative error of the line.
    pub worst_residual: f64,
    /// The power of the size with which the cost grows.
    pub exponent: f64,
    /// The cost at size one, by the power law.
    pub factor: f64,
    /// How many sizes were measured.
    pub sizes: usize,
    /// The largest measured size.
    pub largest: f64,
    /// The cost measured there.
    pub at_largest: f64,
}

impl Slope {
    /// What the fitted curve says of a size.
    pub fn at(&self, size: f64) -> f64 {
        if self.shape == "power" {
            self.factor * size.powf(self.exponent)
        } else {
            (self.intercept + self.slope * size).max(0.0)
        }
    }
}

/// Why a file of measurements cannot be used.
#[derive(Debug, Error)]
pub enum BadFile {
    /// It cannot be read or written.
    #[error("{path}: {cause}")]
    Csv {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        cause: csv::Error,
    },
    /// One of its curves cannot be fitted.
    #[error("{row}: {cause}")]
    Curve {
        /// The curve.
        row: String,
        /// What is wrong with it.
        cause: Unfit,
    },
}

/// Reads rows of a CSV file with a header.
///
/// # Errors
///
/// The file's, with its path, line and field.
pub fn read<T: for<'a> Deserialize<'a>>(path: &Path) -> Result<Vec<T>, BadFile> {
    let bad = |cause| BadFile::Csv { path: path.into(), cause };
    let mut reader = csv::ReaderBuilder::new().comment(Some(b'#')).from_path(path).map_err(bad)?;
    reader.deserialize().collect::<Result<_, _>>().map_err(bad)
}

/// Writes rows under a header; `remarks` are comment lines before it.
///
/// # Errors
///
/// The file's.
pub fn write<T: Serialize>(path: &Path, remarks: &[String], rows: &[T]) -> Result<(), BadFile> {
    let bad = |cause| BadFile::Csv { path: path.into(), cause };
    let mut text: Vec<u8> = remarks.iter().flat_map(|r| format!("# {r}\n").into_bytes()).collect();
    {
        let mut writer = csv::Writer::from_writer(&mut text);
        rows.iter().try_for_each(|row| writer.serialize(row)).map_err(bad)?;
        writer.flush().map_err(|why| bad(why.into()))?;
    }
    std::fs::write(path, text).map_err(|why| bad(why.into()))
}

/// The name of a sample's curve.
pub fn row_name(sample: &Sample) -> String {
    format!("{}/{}/{}", sample.series, sample.swept, sample.cost)
}

/// Fits each curve that has enough sizes; the others are named.
pub fn slopes(samples: &[Sample]) -> (Vec<Slope>, Vec<String>) {
    let mut curves: BTreeMap<(String, PlannerKind), Vec<&Sample>> = BTreeMap::new();
    for sample in samples {
        curves.entry((row_name(sample), sample.kind)).or_default().push(sample);
    }
    let (mut slopes, mut unfit) = (vec![], vec![]);
    for ((row, kind), of) in curves {
        let points: Vec<Point> = of.iter().map(|s| Point { size: s.size, cost: s.value }).collect();
        match Fit::of(&points) {
            Ok(fit) => slopes.push(slope(row, kind, &of, &fit)),
            Err(cause) => unfit.push(format!("{row}: {cause}")),
        }
    }
    (slopes, unfit)
}

fn slope(row: String, kind: PlannerKind, of: &[&Sample], fit: &Fit) -> Slope {
    let last = of.iter().max_by(|a, b| a.size.total_cmp(&b.size));
    Slope {
        row,
        kind,
        unit: last.map(|s| s.unit.clone()).unwrap_or_default(),
        shape: fit.shape.name().into(),
        intercept: rounded(fit.intercept),
        slope: rounded(fit.slope),
        worst_residual: rounded(fit.worst_residual),
        exponent: rounded(fit.exponent),
        factor: rounded(fit.factor),
        sizes: fit.sizes,
        largest: fit.largest,
        at_largest: rounded(last.map_or(0.0, |s| s.value)),
    }
}

/// Five digits: more would only tell of the machine's mood.
pub fn rounded(value: f64) -> f64 {
    format!("{value:.4e}").parse().unwrap_or(value)
}
