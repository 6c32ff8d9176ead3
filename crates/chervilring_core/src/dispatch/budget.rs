//! Budgets that limit retries and hedges to a share of first attempts.

/// Second attempts that a budget can save up.
const MAX_TOKENS: f64 = 10.0;

/// Token budget for second attempts, filled by a share of the first attempts.
///
/// Only the home of a submission sends second attempts; forwarding entries and agents never do, so
/// shares do not multiply along the path.
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
    /// Adds `percent` hundredths of a token for a first attempt.
    pub(crate) fn deposit(&mut self, percent: u32) {
        self.tokens = (self.tokens + f64::from(percent) / 100.0).min(MAX_TOKENS);
    }

    /// Withdraws a token for a second attempt; returns whether it may be sent.
    ///
    /// A share of zero percent allows none.
    pub(crate) fn try_withdraw(&mut self, percent: u32) -> bool {
        if percent == 0 || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
