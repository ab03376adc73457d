//! Paired comparison of variants over seeds.

use crate::run::Replayed;

/// The gain in service of one variant over another: the mean of the differences for each seed, with its 95% confidence
/// interval.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Gain {
    /// Mean of the differences in service level.
    pub mean: f64,
    /// Half the width of the confidence interval; `None` with fewer than two seeds.
    pub margin: Option<f64>,
}

impl Gain {
    /// Returns true if the confidence interval contains zero, or if there is none.
    pub fn is_noise(&self) -> bool {
        self.margin.is_none_or(|m| self.mean.abs() <= m)
    }
}

/// Two-sided 95% quantiles of Student's t-distribution, by degrees of freedom from 1.
const T_95: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];

/// Returns the gain of the second variant over the first.
pub fn gain(before: &Replayed, after: &Replayed) -> Gain {
    let services = before.outcomes.iter().zip(&after.outcomes);
    paired_gain(&services.map(|(a, b)| (a.service.overall, b.service.overall)).collect::<Vec<_>>())
}

/// Returns the gain over pairs of service levels, one pair for each seed: the level to compare with, then the other.
pub fn paired_gain(pairs: &[(f64, f64)]) -> Gain {
    let count = pairs.len() as f64;
    let differences: Vec<f64> = pairs.iter().map(|(before, after)| after - before).collect();
    let mean = differences.iter().sum::<f64>() / count.max(1.0);
    let margin = (pairs.len() >= 2).then(|| {
        let variance = differences.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / (count - 1.0);
        T_95.get(pairs.len() - 2).copied().unwrap_or(1.96) * (variance / count).sqrt()
    });
    Gain { mean, margin }
}
