//! Faults on demand.

use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::counts::CallKind;

/// Whether and how the service is down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Down {
    /// It is up.
    #[default]
    No,
    /// Each call is refused at once, as by a gateway that has lost its store.
    Refuse,
    /// No call is answered.
    Hang,
}

impl FromStr for Down {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "no" => Ok(Self::No),
            "refuse" => Ok(Self::Refuse),
            "hang" => Ok(Self::Hang),
            other => Err(format!(
                "{other:?} is not allowed; allowed: no, refuse, hang"
            )),
        }
    }
}

/// The faults in force.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether the service is down.
    pub down: Down,
    /// How long each call takes before it takes effect, in milliseconds.
    pub slow_ms: u64,
    /// How many of the next writes take effect without an answer.
    pub lose_next: u32,
    /// The share of writes that take effect without an answer, in percent.
    pub lose_percent: u32,
    /// How many of the next writes take effect only after their caller was told of a failure.
    pub late_next: u32,
    /// The share of writes that do so, in percent.
    pub late_percent: u32,
    /// How much later they take effect, in milliseconds.
    pub late_ms: u64,
    /// The share of calls that fail without an effect, in percent.
    pub fail_percent: u32,
    /// Whether watches wait without a word, as on connections that died unseen.
    pub mute: bool,
    /// Writes a second; more are refused with status 429.
    pub writes_per_s: Option<u32>,
    /// Reads a second; more are refused with status 429.
    pub reads_per_s: Option<u32>,
    /// The seed of the shares.
    pub seed: u64,
}

/// What becomes of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fate {
    /// It takes effect and is answered.
    Answer,
    /// It has no effect and is not answered.
    Fail,
    /// It takes effect and is not answered.
    Lose,
    /// It is not answered and takes effect later.
    Late(Duration),
    /// It is refused for its rate.
    Limit,
}

/// Decides what becomes of each call.
#[derive(Debug, Default)]
pub(super) struct Fates {
    pub(super) faults: Faults,
    random: u64,
    /// The second that calls are counted in, and the writes and reads in it.
    window: (u64, u32, u32),
}

impl Fates {
    pub(super) fn set(&mut self, faults: Faults) {
        self.random = faults.seed;
        self.faults = faults;
    }

    /// Decides on a call that came in at `now`.
    pub(super) fn decide(&mut self, now: Duration, kind: CallKind) -> Fate {
        if self.over_limit(now.as_secs(), kind) {
            return Fate::Limit;
        }
        if self.chance(self.faults.fail_percent) {
            return Fate::Fail;
        }
        if !kind.writes() {
            return Fate::Answer;
        }
        if take(&mut self.faults.lose_next) || self.chance(self.faults.lose_percent) {
            return Fate::Lose;
        }
        if take(&mut self.faults.late_next) || self.chance(self.faults.late_percent) {
            return Fate::Late(Duration::from_millis(self.faults.late_ms));
        }
        Fate::Answer
    }

    fn over_limit(&mut self, second: u64, kind: CallKind) -> bool {
        if self.window.0 != second {
            self.window = (second, 0, 0);
        }
        let (count, limit) = if kind.writes() {
            (&mut self.window.1, self.faults.writes_per_s)
        } else {
            (&mut self.window.2, self.faults.reads_per_s)
        };
        *count += 1;
        limit.is_some_and(|limit| *count > limit)
    }

    /// Draws whether something of this share happens.
    fn chance(&mut self, percent: u32) -> bool {
        if percent == 0 {
            return false;
        }
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut drawn = self.random;
        drawn = (drawn ^ (drawn >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        drawn = (drawn ^ (drawn >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (drawn ^ (drawn >> 31)) % 100 < u64::from(percent)
    }
}

/// Counts down and returns whether there was something left.
fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count -= u32::from(some);
    some
}
