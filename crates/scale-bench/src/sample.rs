//! Measured costs as rows of a CSV file, and the slopes that are fitted to them.

use crate::fit::{Fit, FitError, Point};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The way in which the measured planners run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlannerKind {
    // The chart of the bench lower-cases the Debug form of these names.
    /// The program as a separate process on loopback.
    Real,
    /// The program's state machines and codecs under a simulated clock.
    Hollow,
}

/// One measured cost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The name of the measurement; one curve has one series.
    pub series: String,
    /// The way in which the planners ran.
    pub kind: PlannerKind,
    /// The name of the swept size.
    pub swept: String,
    /// The value of the swept size.
    pub size: f64,
    /// The name of the measured cost.
    pub cost: String,
    /// The unit of the value.
    pub unit: String,
    /// The measured cost, in `unit`.
    pub value: f64,
}

/// The fit of one curve as a row of `slopes.csv`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// The name of the row: series, swept size and cost, as [`row_name`] joins them.
    pub row: String,
    /// The way in which the planners ran.
    pub kind: PlannerKind,
    /// The unit of the cost.
    pub unit: String,
    /// The shape of the curve: `flat`, `linear` or `power`.
    pub shape: String,
    /// The cost at size zero by the line.
    pub intercept: f64,
    /// The cost of each unit of size by the line.
    pub slope: f64,
    /// The largest error of the line, as a share of the measured cost.
    pub worst_residual: f64,
    /// The exponent of the power law.
    pub exponent: f64,
    /// The cost at size one by the power law.
    pub factor: f64,
    /// The number of different sizes that were measured.
    pub sizes: usize,
    /// The largest measured size.
    pub largest: f64,
    /// The cost measured at the largest size.
    pub at_largest: f64,
}

impl Slope {
    /// Returns the cost at a size by the fitted curve.
    pub fn cost_at(&self, size: f64) -> f64 {
        if self.shape == "power" {
            self.factor * size.powf(self.exponent)
        } else {
            (self.intercept + self.slope * size).max(0.0)
        }
    }
}

/// The reason why a file of measurements cannot be used.
#[derive(Debug, Error)]
pub enum DataFileError {
    /// The file cannot be read or written.
    #[error("{path}: {cause}")]
    Csv {
        /// The path of the file.
        path: PathBuf,
        /// The error of the CSV reader or writer.
        cause: csv::Error,
    },
    /// A curve of the file cannot be fitted.
    #[error("{row}: {cause}")]
    Curve {
        /// The name of the curve, see [`row_name`].
        row: String,
        /// The reason why the curve cannot be fitted.
        cause: FitError,
    },
}

/// Reads the rows of a CSV file with a header.
///
/// # Errors
///
/// Returns an error with the path, the line and the field if the file cannot be read or a row is not of type `T`.
pub fn read<T: for<'a> Deserialize<'a>>(path: &Path) -> Result<Vec<T>, DataFileError> {
    let bad = |cause| DataFileError::Csv { path: path.into(), cause };
    let mut reader = csv::ReaderBuilder::new().comment(Some(b'#')).from_path(path).map_err(bad)?;
    reader.deserialize().collect::<Result<_, _>>().map_err(bad)
}

/// Writes rows after a header; `remarks` become comment lines before the header.
///
/// # Errors
///
/// Returns an error with the path if a row cannot be encoded or the file cannot be written.
pub fn write<T: Serialize>(path: &Path, remarks: &[String], rows: &[T]) -> Result<(), DataFileError> {
    let bad = |cause| DataFileError::Csv { path: path.into(), cause };
    let mut text: Vec<u8> = remarks.iter().flat_map(|r| format!("# {r}\n").into_bytes()).collect();
    {
        let mut writer = csv::Writer::from_writer(&mut text);
        rows.iter().try_for_each(|row| writer.serialize(row)).map_err(bad)?;
        writer.flush().map_err(|why| bad(why.into()))?;
    }
    std::fs::write(path, text).map_err(|why| bad(why.into()))
}

/// Returns the name of the curve of a sample.
pub fn row_name(sample: &Sample) -> String {
    format!("{}/{}/{}", sample.series, sample.swept, sample.cost)
}

/// Fits each curve. Returns the slopes, and a message with the name and the reason for each curve that cannot be fitted.
pub fn slopes(samples: &[Sample]) -> (Vec<Slope>, Vec<String>) {
    let mut curves: BTreeMap<(String, PlannerKind), Vec<&Sample>> = BTreeMap::new();
    for sample in samples {
        curves.entry((row_name(sample), sample.kind)).or_default().push(sample);
    }
    let (mut slopes, mut not_fitted) = (vec![], vec![]);
    for ((row, kind), curve) in curves {
        let points: Vec<Point> = curve.iter().map(|s| Point { size: s.size, cost: s.value }).collect();
        match Fit::from_points(&points) {
            Ok(fit) => slopes.push(slope(row, kind, &curve, &fit)),
            Err(cause) => not_fitted.push(format!("{row}: {cause}")),
        }
    }
    (slopes, not_fitted)
}

fn slope(row: String, kind: PlannerKind, curve: &[&Sample], fit: &Fit) -> Slope {
    let largest = curve.iter().max_by(|a, b| a.size.total_cmp(&b.size));
    Slope {
        row,
        kind,
        unit: largest.map(|s| s.unit.clone()).unwrap_or_default(),
        shape: fit.shape.name().into(),
        intercept: rounded(fit.intercept),
        slope: rounded(fit.slope),
        worst_residual: rounded(fit.worst_residual),
        exponent: rounded(fit.exponent),
        factor: rounded(fit.factor),
        sizes: fit.size_count,
        largest: fit.largest_size,
        at_largest: rounded(largest.map_or(0.0, |s| s.value)),
    }
}

/// Rounds a value to five significant digits: further digits are noise of the machine.
pub fn rounded(value: f64) -> f64 {
    format!("{value:.4e}").parse().unwrap_or(value)
}
