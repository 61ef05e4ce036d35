//! Straight line through measured points, for figures at a size that cannot be run here.

use derive_more::Display;

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Size.
    pub x: f64,
    /// Cost at that size.
    pub y: f64,
}

/// Line with the share of the variance that it explains.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{base:.3} + {slope:.6} x (r2 {fit:.4})")]
pub struct Line {
    /// Cost at size 0.
    pub base: f64,
    /// Cost of one more.
    pub slope: f64,
    /// Coefficient of determination, 1 for points on a line.
    pub fit: f64,
}

impl Line {
    /// Least squares through `points`; needs two different sizes.
    pub fn through(points: &[Point]) -> Option<Self> {
        let count = points.iter().map(|_| 1.0).sum::<f64>();
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let spread = points.iter().map(|point| (point.x - mean_x).powi(2)).sum::<f64>();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let slope = points.iter().map(|point| (point.x - mean_x) * (point.y - mean_y)).sum::<f64>() / spread;
        let base = mean_y - slope * mean_x;
        let left = points.iter().map(|point| (point.y - base - slope * point.x).powi(2)).sum::<f64>();
        let total = points.iter().map(|point| (point.y - mean_y).powi(2)).sum::<f64>();
        let fit = if total == 0.0 { 1.0 } else { 1.0 - left / total };
        Some(Self { base, slope, fit })
    }

    /// Cost at size `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
