//! Paired comparison over seeds.

use crate::run::Replayed;

/// By how much one variant serves better than another: the mean of the differences, seed by seed, and the
/// interval in which it lies with 95 of 100.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Gain {
    pub mean: f64,
    /// Half the interval; unknown with fewer than two seeds.
    pub margin: Option<f64>,
}

impl Gain {
    /// Whether it may well be chance.
    pub fn is_noise(&self) -> bool {
        self.margin.is_none_or(|m| self.mean.abs() <= m)
    }
}

/// Student's t for 95 of 100, by degrees of freedom from 1.
const T: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];

/// By how much the second variant serves better than the first, seed by seed.
pub fn gain(before: &Replayed, after: &Replayed) -> Gain {
    let services = before.outcomes.iter().zip(&after.outcomes);
    gain_of(&services.map(|(a, b)| (a.service.overall, b.service.overall)).collect::<Vec<_>>())
}

/// `pairs`: what each seed gave, the one to compare with first.
pub fn gain_of(pairs: &[(f64, f64)]) -> Gain {
    let n = pairs.len() as f64;
    let differences: Vec<f64> = pairs.iter().map(|(before, after)| after - before).collect();
    let mean = differences.iter().sum::<f64>() / n.max(1.0);
    let margin = (pairs.len() >= 2).then(|| {
        let variance = differences.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / (n - 1.0);
        T.get(pairs.len() - 2).copied().unwrap_or(1.96) * (variance / n).sqrt()
    });
    Gain { mean, margin }
}
