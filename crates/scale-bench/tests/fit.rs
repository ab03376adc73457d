//! Fits curves of known shapes.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]

use grebespool_scale_bench::fit::{Fit, FitError, LINEAR_TOLERANCE, Point, Shape};
use rstest::rstest;

fn points(sizes: &[f64], cost: impl Fn(f64) -> f64) -> Vec<Point> {
    sizes.iter().map(|size| Point { size: *size, cost: cost(*size) }).collect()
}

const SIZES: [f64; 5] = [3.0, 10.0, 30.0, 100.0, 300.0];

#[rstest]
#[case::flat(|_| 7.0, Shape::Flat, 7.0)]
#[case::linear(|n| 5.0 + 2.0 * n, Shape::Linear, 26_005.0)]
#[case::linear_through_zero(|n| 0.5 * n, Shape::Linear, 6_500.0)]
#[case::quadratic(|n| 3.0 * n * n, Shape::Power, 5.07e8)]
#[case::zero_cost(|_| 0.0, Shape::Flat, 0.0)]
fn a_known_curve_is_recognized_and_extrapolated(
    #[case] cost: fn(f64) -> f64,
    #[case] shape: Shape,
    #[case] planned: f64,
) {
    let fit = Fit::from_points(&points(&SIZES, cost)).unwrap();
    assert_eq!(fit.shape, shape, "{fit:?}");
    assert!((fit.cost_at(13_000.0) - planned).abs() <= 0.001 * planned, "{fit:?}");
    assert_eq!((fit.size_count, fit.largest_size), (5, 300.0));
}

#[rstest]
fn a_power_law_is_fitted_with_its_exponent_and_residuals() {
    let fit = Fit::from_points(&points(&SIZES, |n| 4.0 * n.powf(1.5))).unwrap();
    assert!((fit.exponent - 1.5).abs() < 1e-9 && (fit.factor - 4.0).abs() < 1e-6, "{fit:?}");
    assert!(fit.worst_power_residual < 1e-9 && fit.worst_residual > LINEAR_TOLERANCE, "{fit:?}");
}

/// Guards against a fit by absolute errors, in which the largest sizes hide an error at the smallest size.
#[rstest]
fn a_line_that_is_close_at_all_sizes_has_a_small_relative_error() {
    let noisy = |n: f64| if n < 5.0 { 100.0 } else { 100.0 + 0.1 * n };
    let fit = Fit::from_points(&points(&SIZES, noisy)).unwrap();
    assert!(fit.worst_residual < 0.01, "{fit:?}");
}

#[rstest]
#[case::two_sizes(vec![Point { size: 1.0, cost: 1.0 }, Point { size: 2.0, cost: 1.0 }], FitError::TooFewSizes(2))]
#[case::one_size(vec![Point { size: 1.0, cost: 1.0 }; 5], FitError::TooFewSizes(1))]
#[case::zero_size(vec![Point { size: 0.0, cost: 1.0 }; 3], FitError::InvalidPoint { size: 0.0, cost: 1.0 })]
#[case::negative_cost(vec![Point { size: 1.0, cost: -1.0 }; 3], FitError::InvalidPoint { size: 1.0, cost: -1.0 })]
fn points_that_cannot_be_fitted_are_rejected(#[case] points: Vec<Point>, #[case] why: FitError) {
    assert_eq!(Fit::from_points(&points), Err(why));
}
