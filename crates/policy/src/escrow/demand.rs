//! Estimated demand for an account on one vm.

use std::time::Duration;

/// Half-life of the decaying average.
const HALF_LIFE: Duration = Duration::from_millis(500);

/// Exponentially decaying average of the tokens requested a second, including refused ones.
#[derive(Debug, Clone, Default)]
pub(super) struct Demand {
    weight: f64,
    updated: Duration,
}

impl Demand {
    /// Counts tokens requested at `now`.
    pub(super) fn add(&mut self, tokens: u64, now: Duration) {
        self.decay(now);
        #[expect(
            clippy::cast_precision_loss,
            reason = "an estimate needs no more precision"
        )]
        let tokens = tokens as f64;
        self.weight += tokens;
    }

    /// Returns the tokens requested a second, in thousandths.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast saturates and the weight is never negative"
    )]
    pub(super) fn rate(&mut self, now: Duration) -> u64 {
        self.decay(now);
        let per_second = self.weight * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        (per_second * 1_000.0) as u64
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated);
        self.weight *= 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.updated = self.updated.max(now);
    }
}
