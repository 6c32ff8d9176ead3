//! Budgets for second attempts.

/// Second attempts that a budget can save up.
const MAX_TOKENS: f64 = 10.0;

/// Allows second attempts as a share of the first ones.
///
/// Only the home of a submission sends second attempts; forwarding entries and agents never do, so
/// that the share holds for the whole path.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS }
    }
}

impl Budget {
    /// Earns from a first attempt, with the share in percent.
    pub(crate) fn deposit(&mut self, percent: u32) {
        self.tokens = (self.tokens + f64::from(percent) / 100.0).min(MAX_TOKENS);
    }

    /// Pays for a second attempt; returns whether it may be sent.
    pub(crate) fn try_withdraw(&mut self, percent: u32) -> bool {
        if percent == 0 || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
