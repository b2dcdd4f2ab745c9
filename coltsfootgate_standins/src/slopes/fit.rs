//! Fits a straight line through measured points.

use std::fmt::{self, Display, Formatter};

/// A straight line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// Growth of the cost per unit of size.
    pub slope: f64,
    /// Cost at size zero.
    pub intercept: f64,
    /// Largest absolute difference between a measured cost and the line.
    pub spread: f64,
}

impl LineFit {
    /// Fits points of (size, cost); without two different sizes, the slope is zero.
    pub fn of(points: impl Iterator<Item = (f64, f64)>) -> Self {
        let points: Vec<_> = points.collect();
        let count = points.len().max(1) as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_cost = points.iter().map(|(_, cost)| cost).sum::<f64>() / count;
        let covariance: f64 =
            points.iter().map(|(size, cost)| (size - mean_size) * (cost - mean_cost)).sum();
        let variance: f64 = points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        let slope = if variance > 0.0 { covariance / variance } else { 0.0 };
        let intercept = mean_cost - slope * mean_size;
        let residual = |(size, cost): &(f64, f64)| (intercept + slope * size - cost).abs();
        let spread = points.iter().map(residual).fold(0.0, f64::max);
        Self { slope, intercept, spread }
    }
}

impl Display for LineFit {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self { slope, intercept, spread } = self;
        write!(formatter, "slope {slope:.5}, intercept {intercept:.3}, spread {spread:.3}")
    }
}
