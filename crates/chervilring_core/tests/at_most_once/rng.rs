//! A seeded generator for delays and choices.

/// Splitmix64.
pub(crate) struct Rng(pub u64);

impl Rng {
    /// Returns the next number.
    pub(crate) fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number from `low` to `high`, both included.
    pub(crate) fn range(&mut self, low: u64, high: u64) -> u64 {
        low + self.draw() % (high - low + 1)
    }

    /// Returns true with a chance of `percent` in a hundred.
    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.draw() % 100 < percent
    }
}
