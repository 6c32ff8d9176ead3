//! The limits of an entry's tables.

use chervilring_wire::Micros;

/// The limits of an entry's tables.
#[derive(Debug, Clone)]
pub struct Limits {
    /// How long stamped ids are remembered, and how old they may be.
    pub window: Micros,
    /// How far the wall clocks of callers and entries may differ.
    pub skew: Micros,
    /// The most ids remembered at once.
    pub ids: usize,
    /// The most ids without a stamp among them; these are never forgotten.
    pub unstamped: usize,
    /// The most bytes of answers kept for callers who come again.
    pub answer_bytes: usize,
    /// The most submissions that wait for their home to be settled.
    pub held: usize,
}

impl Limits {
    /// Starts from the defaults.
    pub fn builder() -> LimitsBuilder {
        LimitsBuilder(Self {
            window: Micros::from_secs(600),
            skew: Micros::from_secs(5),
            ids: 1_000_000,
            unstamped: 200_000,
            answer_bytes: 256 << 20,
            held: 10_000,
        })
    }
}

/// Builds [`Limits`].
#[derive(Debug, Clone)]
pub struct LimitsBuilder(Limits);

impl LimitsBuilder {
    /// Sets how long stamped ids are remembered.
    pub fn window(mut self, window: Micros) -> Self {
        self.0.window = window;
        self
    }

    /// Sets how far wall clocks may differ.
    pub fn skew(mut self, skew: Micros) -> Self {
        self.0.skew = skew;
        self
    }

    /// Sets the most ids remembered.
    pub fn ids(mut self, ids: usize) -> Self {
        self.0.ids = ids;
        self
    }

    /// Sets the most ids without a stamp that are remembered.
    pub fn unstamped(mut self, unstamped: usize) -> Self {
        self.0.unstamped = unstamped;
        self
    }

    /// Sets the most bytes of answers kept.
    pub fn answer_bytes(mut self, bytes: usize) -> Self {
        self.0.answer_bytes = bytes;
        self
    }

    /// Sets the most submissions that wait for their home to be settled.
    pub fn held(mut self, held: usize) -> Self {
        self.0.held = held;
        self
    }

    /// Returns the limits.
    pub fn build(self) -> Limits {
        self.0
    }
}
