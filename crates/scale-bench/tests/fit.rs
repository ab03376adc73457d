//! Fits of curves whose shape is known.

#![allow(missing_docs, unreachable_pub, clippy::unwrap_used, reason = "a test stops at a surprise")]
#![allow(clippy::pedantic)] // not yet read through

use grebespool_scale_bench::fit::*;
use rstest::rstest;

fn points(sizes: &[f64], cost: impl Fn(f64) -> f64) -> Vec<Point> {
    sizes.iter().map(|size| Point { size: *size, cost: cost(*size) }).collect()
}

const SIZES: [f64; 5] = [3.0, 10.0, 30.0, 100.0, 300.0];

#[rstest]
#[case::flat(|_| 7.0, Shape::Flat, 7.0)]
#[case::linear(|n| 5.0 + 2.0 * n, Shape::Linear, 26_005.0)]
#[case::through_nought(|n| 0.5 * n, Shape::Linear, 6_500.0)]
#[case::quadratic(|n| 3.0 * n * n, Shape::Power, 5.07e8)]
#[case::nothing(|_| 0.0, Shape::Flat, 0.0)]
fn a_known_curve_is_told_and_carried_on(
    #[case] cost: fn(f64) -> f64,
    #[case] shape: Shape,
    #[case] planned: f64,
) {
    let fit = Fit::of(&points(&SIZES, cost)).unwrap();
    assert_eq!(fit.shape, shape, "{fit:?}");
    assert!((fit.at(13_000.0) - planned).abs() <= 0.001 * planned, "{fit:?}");
    assert_eq!((fit.sizes, fit.largest), (5, 300.0));
}

#[rstest]
fn an_exponent_and_its_residuals_are_those_of_the_curve() {
    let fit = Fit::of(&points(&SIZES, |n| 4.0 * n.powf(1.5))).unwrap();
    assert!((fit.exponent - 1.5).abs() < 1e-9 && (fit.factor - 4.0).abs() < 1e-6, "{fit:?}");
    assert!(fit.worst_power_residual < 1e-9 && fit.worst_residual > LINEAR_WITHIN, "{fit:?}");
}

/// The smallest size counts as much as the largest: a line that misses it would be no description.
#[rstest]
fn errors_are_relative() {
    let noisy = |n: f64| if n < 5.0 { 100.0 } else { 100.0 + 0.1 * n };
    let fit = Fit::of(&points(&SIZES, noisy)).unwrap();
    assert!(fit.worst_residual < 0.01, "{fit:?}");
}

#[rstest]
#[case::two_sizes(vec![Point { size: 1.0, cost: 1.0 }, Point { size: 2.0, cost: 1.0 }], Unfit::TooFewSizes(2))]
#[case::one_size(vec![Point { size: 1.0, cost: 1.0 }; 5], Unfit::TooFewSizes(1))]
#[case::no_size(vec![Point { size: 0.0, cost: 1.0 }; 3], Unfit::NotAMeasurement { size: 0.0, cost: 1.0 })]
#[case::below_nought(vec![Point { size: 1.0, cost: -1.0 }; 3], Unfit::NotAMeasurement { size: 1.0, cost: -1.0 })]
fn what_cannot_be_fitted_is_refused(#[case] points: Vec<Point>, #[case] why: Unfit) {
    assert_eq!(Fit::of(&points), Err(why));
}
