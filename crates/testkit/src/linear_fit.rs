//! Linear regression over measured points, to extrapolate to sizes that cannot be measured.

use derive_more::Display;

/// Measured cost at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Size of the measured input.
    pub x: f64,
    /// Cost at that size.
    pub y: f64,
}

/// Regression line and its goodness of fit.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{base:.3} + {slope:.6} x (r2 {r_squared:.4})")]
pub struct LinearFit {
    /// Cost at size 0, the intercept.
    pub base: f64,
    /// Additional cost per unit of size.
    pub slope: f64,
    /// Coefficient of determination; 1 if all points lie on the line.
    pub r_squared: f64,
}

impl LinearFit {
    /// Fits a line to `points` by least squares; returns `None` for fewer than two different sizes.
    pub fn least_squares(points: &[Point]) -> Option<Self> {
        let count = points.iter().map(|_| 1.0).sum::<f64>();
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let variation_x = points.iter().map(|point| (point.x - mean_x).powi(2)).sum::<f64>();
        if points.len() < 2 || variation_x == 0.0 {
            return None;
        }
        let slope = points.iter().map(|point| (point.x - mean_x) * (point.y - mean_y)).sum::<f64>() / variation_x;
        let base = mean_y - slope * mean_x;
        let residual = points.iter().map(|point| (point.y - base - slope * point.x).powi(2)).sum::<f64>();
        let variation_y = points.iter().map(|point| (point.y - mean_y).powi(2)).sum::<f64>();
        let r_squared = if variation_y == 0.0 { 1.0 } else { 1.0 - residual / variation_y };
        Some(Self { base, slope, r_squared })
    }

    /// Estimated cost at size `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
