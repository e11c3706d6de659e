//! Least-squares fit of a line.

/// Returns the slope of the least-squares line through points `(x, y)`.
///
/// The slope is 0 if there are fewer than two different values of `x`.
#[must_use]
pub fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.iter().fold(0.0, |sum, _| sum + 1.0);
    if count < 2.0 {
        return 0.0;
    }
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let spread = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum::<f64>();
    if spread == 0.0 {
        return 0.0;
    }
    points
        .iter()
        .map(|p| (p.0 - mean_x) * (p.1 - mean_y))
        .sum::<f64>()
        / spread
}
