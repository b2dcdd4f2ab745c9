//! The straight line through measured points.

use std::fmt::{self, Display, Formatter};

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LineFit {
    /// Growth for each unit.
    pub slope: f64,
    /// Value at zero.
    pub intercept: f64,
    /// Largest distance of a point from the line.
    pub spread: f64,
}

impl LineFit {
    /// Fits points of (size, cost); two different sizes are needed for a slope.
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
        let distance = |(size, cost): &(f64, f64)| (intercept + slope * size - cost).abs();
        let spread = points.iter().map(distance).fold(0.0, f64::max);
        Self { slope, intercept, spread }
    }
}

impl Display for LineFit {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self { slope, intercept, spread } = self;
        write!(formatter, "slope {slope:.5}, intercept {intercept:.3}, spread {spread:.3}")
    }
}
