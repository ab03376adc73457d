//! Least-squares fits of a cost over a size: a straight line, and a power of the size.
//!
//! Both fits minimize relative errors, which gives the smallest size the same weight as the largest.

use thiserror::Error;

/// A cost that was measured at one size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// The value of the swept size, above zero.
    pub size: f64,
    /// The measured cost at that size.
    pub cost: f64,
}

/// The reason why points cannot be fitted.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum FitError {
    /// Fewer than three different sizes don't determine the shape of a curve.
    #[error("{0} sizes; a fit needs {MIN_SIZES} or more that differ")]
    TooFewSizes(usize),
    /// The logarithm or the relative error of the point is not defined.
    #[error(
        "size {size} with cost {cost}: both have to be finite, the size above zero and the cost not below it"
    )]
    InvalidPoint {
        /// The size of the point.
        size: f64,
        /// The cost of the point.
        cost: f64,
    },
}

/// The smallest number of different sizes for a fit.
const MIN_SIZES: usize = 3;
/// The largest relative error of a line that counts as a description of the curve.
pub const LINEAR_TOLERANCE: f64 = 0.2;
/// The largest growth of the line of a flat curve over all measured sizes, as a share of the mean cost.
pub const FLAT_TOLERANCE: f64 = 0.2;
/// The smallest cost in relative errors, as a share of the largest cost; avoids a division by zero.
const ZERO_COST_SHARE: f64 = 1e-6;

/// The shape of a curve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// The cost does not depend on the size.
    Flat,
    /// The cost is a constant plus a fixed amount for each unit of size.
    Linear,
    /// The cost grows with a power of the size other than one.
    Power,
}

impl Shape {
    /// Returns the name of the shape in `slopes.csv`.
    pub fn name(self) -> &'static str {
        match self {
            Shape::Flat => "flat",
            Shape::Linear => "linear",
            Shape::Power => "power",
        }
    }
}

/// The line and the power law that are fitted to one curve.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
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
    /// The largest error of the power law, as a share of the measured cost.
    pub worst_power_residual: f64,
    /// The shape of the curve, which selects the fit that [`Fit::cost_at`] uses.
    pub shape: Shape,
    /// The number of different sizes that were measured.
    pub size_count: usize,
    /// The largest measured size; costs at larger sizes are extrapolated.
    pub largest_size: f64,
}

impl Fit {
    /// Fits both a line and a power law to the points.
    ///
    /// # Errors
    ///
    /// Returns an error if there are fewer than three different sizes, or if a size or a cost of a point is out of range.
    pub fn from_points(points: &[Point]) -> Result<Fit, FitError> {
        let is_invalid =
            |p: &&Point| !(p.size.is_finite() && p.size > 0.0 && p.cost.is_finite() && p.cost >= 0.0);
        if let Some(Point { size, cost }) = points.iter().find(is_invalid) {
            return Err(FitError::InvalidPoint { size: *size, cost: *cost });
        }
        let mut sizes: Vec<f64> = points.iter().map(|p| p.size).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        if sizes.len() < MIN_SIZES {
            return Err(FitError::TooFewSizes(sizes.len()));
        }
        let max_cost = points.iter().map(|p| p.cost).fold(0.0, f64::max);
        if max_cost == 0.0 {
            return Ok(Fit::zero_cost(sizes.len(), sizes[sizes.len() - 1]));
        }
        let min_cost = ZERO_COST_SHARE * max_cost;
        let weighted: Vec<[f64; 3]> =
            points.iter().map(|p| [p.size, p.cost, p.cost.max(min_cost).powi(-2)]).collect();
        let (intercept, slope) = line(&weighted);
        let logs: Vec<[f64; 3]> =
            points.iter().map(|p| [p.size.ln(), p.cost.max(min_cost).ln(), 1.0]).collect();
        let (log_factor, exponent) = line(&logs);
        let factor = log_factor.exp();
        let worst_error = |fitted: &dyn Fn(f64) -> f64| {
            points.iter().map(|p| (fitted(p.size) - p.cost).abs() / p.cost.max(min_cost)).fold(0.0, f64::max)
        };
        let worst_residual = worst_error(&|size| intercept + slope * size);
        let worst_power_residual = worst_error(&|size| factor * size.powf(exponent));
        let mean = points.iter().map(|p| p.cost).sum::<f64>() / points.len() as f64;
        let largest_size = sizes[sizes.len() - 1];
        let growth = (slope * (largest_size - sizes[0])).abs();
        let shape = match () {
            () if worst_residual <= LINEAR_TOLERANCE && growth <= FLAT_TOLERANCE * mean => Shape::Flat,
            () if worst_residual <= LINEAR_TOLERANCE || worst_residual <= worst_power_residual => {
                Shape::Linear
            }
            () => Shape::Power,
        };
        let size_count = sizes.len();
        Ok(Fit {
            intercept,
            slope,
            worst_residual,
            exponent,
            factor,
            worst_power_residual,
            shape,
            size_count,
            largest_size,
        })
    }

    /// Returns the fit of a cost that is zero at all sizes.
    fn zero_cost(size_count: usize, largest_size: f64) -> Fit {
        Fit {
            intercept: 0.0,
            slope: 0.0,
            worst_residual: 0.0,
            exponent: 0.0,
            factor: 0.0,
            worst_power_residual: 0.0,
            shape: Shape::Flat,
            size_count,
            largest_size,
        }
    }

    /// Returns the cost at a size, by the power law if the shape is [`Shape::Power`] and by the line otherwise.
    pub fn cost_at(&self, size: f64) -> f64 {
        match self.shape {
            Shape::Power => self.factor * size.powf(self.exponent),
            Shape::Flat | Shape::Linear => (self.intercept + self.slope * size).max(0.0),
        }
    }
}

/// Returns the intercept and the slope of the weighted least-squares line through points of (x, y, weight).
fn line(points: &[[f64; 3]]) -> (f64, f64) {
    let sum = |term: &dyn Fn(&[f64; 3]) -> f64| points.iter().map(term).sum::<f64>();
    let weight = sum(&|p| p[2]);
    let (x, y) = (sum(&|p| p[2] * p[0]) / weight, sum(&|p| p[2] * p[1]) / weight);
    let spread = sum(&|p| p[2] * (p[0] - x).powi(2));
    let slope = if spread > 0.0 { sum(&|p| p[2] * (p[0] - x) * (p[1] - y)) / spread } else { 0.0 };
    (y - slope * x, slope)
}
