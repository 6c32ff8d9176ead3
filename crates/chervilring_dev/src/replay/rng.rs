//! A small seeded generator of pseudo-random numbers.

/// A xorshift generator; the same seed gives the same numbers everywhere.
#[derive(Debug, Clone)]
pub(crate) struct Rng(u64);

impl Rng {
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = Self(seed.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1);
        for _ in 0..8 {
            rng.next();
        }
        rng
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }

    /// Returns a number in 0 to 1.
    pub(crate) fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a number below `bound`.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        ((self.next() >> 16) % bound.max(1) as u64) as usize
    }

    /// Returns an exponentially distributed number of this mean.
    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.unit()).ln() * mean
    }

    /// Returns a normally distributed number of mean 0 and variance 1.
    pub(crate) fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.unit()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.unit()).cos()
    }
}
