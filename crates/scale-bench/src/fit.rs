//! Least-squares fits of a cost over a size: a straight line, and a power of the size.
//!
//! Both fits weigh relative errors, so that the smallest size counts as much as the largest.

use thiserror::Error;

/// A cost that was measured at one size.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// The size that was swept, above zero.
    pub size: f64,
    /// The cost at that size.
    pub cost: f64,
}

/// Why points cannot be fitted.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Unfit {
    /// Too few sizes tell nothing of a curve.
    #[error("{0} sizes; a fit needs {MOST_FEWEST} or more that differ")]
    TooFewSizes(usize),
    /// A logarithm of it, or a relative error, does not exist.
    #[error(
        "size {size} with cost {cost}: both have to be finite, the size above zero and the cost not below it"
    )]
    NotAMeasurement {
        /// The size of the point.
        size: f64,
        /// The cost of the point.
        cost: f64,
    },
}

const MOST_FEWEST: usize = 3;
/// A line that misses no point by more than this part of it is taken to describe the curve.
pub const LINEAR_WITHIN: f64 = 0.2;
/// A curve is flat where the line adds no more than this part of the mean over all measured sizes.
pub const FLAT_WITHIN: f64 = 0.2;
/// Costs of nought count as this part of the largest in relative errors.
const NOUGHT: f64 = 1e-6;

/// What a curve looks like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// The cost does not depend on the size.
    Flat,
    /// The cost is a constant plus so much for each unit of size.
    Linear,
    /// The cost grows with a power of the size other than one.
    Power,
}

impl Shape {
    /// As it is written in tables.
    pub fn name(self) -> &'static str {
        match self {
            Shape::Flat => "flat",
            Shape::Linear => "linear",
            Shape::Power => "power",
        }
    }
}

/// The fits of one curve.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// The line's cost at size zero.
    pub intercept: f64,
    /// The line's cost for each unit of size.
    pub slope: f64,
    /// The largest part of a measured cost by which the line misses it.
    pub worst_residual: f64,
    /// The power of the size with which the cost grows.
    pub exponent: f64,
    /// The power law's cost at size one.
    pub factor: f64,
    /// The same as `worst_residual` for the power law.
    pub worst_power_residual: f64,
    /// Which of the two describes the curve.
    pub shape: Shape,
    /// How many sizes were measured.
    pub sizes: usize,
    /// The largest size that was measured; beyond it the fit is an extrapolation.
    pub largest: f64,
}

impl Fit {
    /// Fits both curves.
    ///
    /// # Errors
    ///
    /// There are fewer than three different sizes, or a point is no measurement.
    pub fn of(points: &[Point]) -> Result<Fit, Unfit> {
        let wrong = |p: &&Point| !(p.size.is_finite() && p.size > 0.0 && p.cost.is_finite() && p.cost >= 0.0);
        if let Some(Point { size, cost }) = points.iter().find(wrong) {
            return Err(Unfit::NotAMeasurement { size: *size, cost: *cost });
        }
        let mut sizes: Vec<f64> = points.iter().map(|p| p.size).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        if sizes.len() < MOST_FEWEST {
            return Err(Unfit::TooFewSizes(sizes.len()));
        }
        let most = points.iter().map(|p| p.cost).fold(0.0, f64::max);
        if most == 0.0 {
            return Ok(Fit::nought(sizes.len(), sizes[sizes.len() - 1]));
        }
        let least = NOUGHT * most;
        let weighed: Vec<[f64; 3]> =
            points.iter().map(|p| [p.size, p.cost, p.cost.max(least).powi(-2)]).collect();
        let (intercept, slope) = line(&weighed);
        let logs: Vec<[f64; 3]> = points.iter().map(|p| [p.size.ln(), p.cost.max(least).ln(), 1.0]).collect();
        let (log_factor, exponent) = line(&logs);
        let factor = log_factor.exp();
        let miss = |of: &dyn Fn(f64) -> f64| {
            points.iter().map(|p| (of(p.size) - p.cost).abs() / p.cost.max(least)).fold(0.0, f64::max)
        };
        let worst_residual = miss(&|size| intercept + slope * size);
        let worst_power_residual = miss(&|size| factor * size.powf(exponent));
        let mean = points.iter().map(|p| p.cost).sum::<f64>() / points.len() as f64;
        let largest = sizes[sizes.len() - 1];
        let grows = (slope * (largest - sizes[0])).abs();
        let shape = match () {
            () if worst_residual <= LINEAR_WITHIN && grows <= FLAT_WITHIN * mean => Shape::Flat,
            () if worst_residual <= LINEAR_WITHIN || worst_residual <= worst_power_residual => Shape::Linear,
            () => Shape::Power,
        };
        let sizes = sizes.len();
        Ok(Fit {
            intercept,
            slope,
            worst_residual,
            exponent,
            factor,
            worst_power_residual,
            shape,
            sizes,
            largest,
        })
    }

    /// Of a cost that there is none of at any size.
    fn nought(sizes: usize, largest: f64) -> Fit {
        Fit {
            intercept: 0.0,
            slope: 0.0,
            worst_residual: 0.0,
            exponent: 0.0,
            factor: 0.0,
            worst_power_residual: 0.0,
            shape: Shape::Flat,
            sizes,
            largest,
        }
    }

    /// What the curve's own fit says of a size.
    pub fn at(&self, size: f64) -> f64 {
        match self.shape {
            Shape::Power => self.factor * size.powf(self.exponent),
            Shape::Flat | Shape::Linear => (self.intercept + self.slope * size).max(0.0),
        }
    }
}

/// The intercept and slope of the line through points of (x, y, weight).
fn line(points: &[[f64; 3]]) -> (f64, f64) {
    let sum = |of: &dyn Fn(&[f64; 3]) -> f64| points.iter().map(of).sum::<f64>();
    let weight = sum(&|p| p[2]);
    let (x, y) = (sum(&|p| p[2] * p[0]) / weight, sum(&|p| p[2] * p[1]) / weight);
    let spread = sum(&|p| p[2] * (p[0] - x).powi(2));
    let slope = if spread > 0.0 { sum(&|p| p[2] * (p[0] - x) * (p[1] - y)) / spread } else { 0.0 };
    (y - slope * x, slope)
}
